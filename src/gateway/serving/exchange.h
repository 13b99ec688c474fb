#pragma once

#include "gateway/http/body_buffer.h"
#include "gateway/http/http_server.h"
#include "gateway/serving/attempt_rule.h"
#include "gateway/serving/authorisation.h"
#include "gateway/serving/event_splitter.h"
#include "gateway/serving/fair_order.h"
#include "gateway/serving/placement_failures.h"
#include "gateway/serving/serving_context.h"

#include <cstddef>     // size_t
#include <cstdint>     // int64_t, uint64_t
#include <memory>      // enable_shared_from_this, shared_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <asio/steady_timer.hpp> // steady_timer

namespace hickorykeel::gateway {

/// @name headers between hosts
/// @{
/// Name of the host that forwarded the request.
inline constexpr std::string_view forwarded_header = "Keel-Forwarded-By";
/// Age of the request in milliseconds at the expected receipt by the peer host.
inline constexpr std::string_view age_header = "Keel-Age-Ms";
inline constexpr std::string_view refusal_header = "Keel-Refusal"; ///< code of a refusal
/// Id of the refused request.
inline constexpr std::string_view refused_id_header = "Keel-Refused-Id";
/// Whether the request was executed: "no" or "unknown".
inline constexpr std::string_view ran_header = "Keel-Ran";
/// In a refusal, the endpoint that broke off the response to the request: the hashes of its id and
/// of its incarnation, as "ID/INCARNATION" in decimal.
inline constexpr std::string_view broken_off_header = "Keel-Broken-Off-By";
/// Whether the refused request has reached an endpoint, which may have rejected it: "yes" or "no".
inline constexpr std::string_view reached_header = "Keel-Reached-Endpoint";
/// In a forwarded request, the only software version whose endpoints may serve it; in the response,
/// that of the endpoint that serves it. The hash of its name, in decimal.
inline constexpr std::string_view software_version_header = "Keel-Software-Version";
/// @}

/// Returns the fields of a response to a request of another host that was refused before its head
/// was read, so that it has not run and never will.
/// @param request_id empty if it has not been received. The connection closes after the response, so
///                   that this is no response to another request.
[[nodiscard]] header_list rejection_fields(const std::string& request_id, std::string_view code);

/// One caller's request, from its receipt to its final response.
///
/// Chooses an endpoint or a peer host, relays the response, and retries failed attempts if that is
/// safe. A request that isn't repeatable is retried only if it certainly has not been executed.
///
/// Thread safety: none; all calls come from the loop's thread.
class exchange : public std::enable_shared_from_this<exchange> {
public:
    /// @param is_forwarded the request was forwarded by another host and must not be forwarded again
    exchange(serving_context& context, std::shared_ptr<server_exchange> caller, bool is_forwarded);

    /// Checks the request, and sends, queues or refuses it.
    void start();

    /// Retries the placement of a queued request. Returns whether the request still waits.
    bool retry_placement();

    /// Ends the request now, since the host is stopping: refuses it, or breaks its response off. No
    /// effect on a request that has ended.
    void end_for_shutdown();

    /// Called when the request has been removed from the queue.
    void on_left_queue() noexcept { m_is_queued = false; }

    /// @name state for the queue
    /// @{
    [[nodiscard]] const std::string& service_name() const noexcept { return m_service; }

    /// Precondition: the request has been authorised.
    [[nodiscard]] order_key queue_key() const;

    /// Returns what the request needs now. Precondition: it has been authorised.
    [[nodiscard]] placement_need current_need() const;

    /// Lowest expected time to first byte among the options that were too late in the last failed
    /// placement; `duration::max()` if there was no option.
    [[nodiscard]] duration lowest_expected() const noexcept { return m_lowest_expected; }

    [[nodiscard]] bool is_waiting() const noexcept { return m_stage == stage::waiting; }

    /// Whether the request is being sent, or was sent and hasn't ended.
    [[nodiscard]] bool is_placed() const noexcept
    {
        return m_stage == stage::sending || m_stage == stage::relaying;
    }
    /// @}

private:
    enum class stage { placing, waiting, sending, relaying, done };

    /// Where the request may be sent now.
    struct placement_options {
        std::optional<placement> here;
        std::vector<region_option> others;
        bool is_overloaded = false;         ///< an option was left out as too late
        std::optional<placement> late_here; ///< the endpoint here that was left out
        /// Lowest expected time to first byte of those left out; `duration::max()`: none was.
        duration lowest_expected = duration::max();
    };

    /// Where the request is sent: to an endpoint here, or to another host.
    struct destination {
        std::optional<placement> endpoint;
        const member* host = nullptr;
        duration expected{0};   ///< time to first byte; without the round trip to the host
        duration round_trip{0}; ///< to the host
    };

    /// The latest attempt.
    struct attempt_state {
        std::string endpoint; ///< endpoint id; empty if the request was forwarded to a host
        std::string peer;     ///< "ip:port"
        std::int64_t endpoint_started_ms = 0; ///< of the endpoint's incarnation; 0: unknown
        /// Hash of the endpoint's; nothing while a host hasn't told it.
        std::optional<std::uint32_t> software_version;
        std::shared_ptr<client_connection> call;
        std::uint64_t connection = 0;       ///< its number among those opened by the client
        std::uint64_t connection_calls = 0; ///< calls on it, this one included
        time_point placed_at{};             ///< when the peer was chosen
        time_point sent_at{};
        time_point last_received{};       ///< any bytes of a response
        duration expected{0};             ///< expected time to first byte when the request was sent
        duration first_byte{0};           ///< measured time to first byte
        first_byte_conditions conditions; ///< that `expected` was computed from, if known
        std::uint32_t waiting_tokens = 0;
        bool is_sent = false;     ///< the endpoint or host may have received bytes of the request
        bool is_on_trial = false; ///< of the request after its quarantine
        bool has_head = false;
        bool has_relayed = false;   ///< events of this attempt were relayed
        bool is_held_back = false;  ///< not read until the caller has received what was relayed
        bool was_held_back = false; ///< at some time
        message_head head;
        body_buffer body; ///< of a response that isn't relayed as it arrives
    };

    /// How an attempt failed.
    struct attempt_failure {
        endpoint_outcome outcome = endpoint_outcome::cut;
        bool may_have_run = true;
        bool uses_retry_budget = true; ///< a retry is charged to the retry budget
        std::string_view reason;
    };

    // checks
    [[nodiscard]] bool charge_fields();
    [[nodiscard]] authorisation_result check_authorisation() const;
    bool authorise();
    void refuse_authorisation(const authorisation_refusal& refusal);
    bool admit();
    [[nodiscard]] double units() const;

    // placement
    bool place();
    bool refuse_quarantined();
    bool refuse_unknown_origin(time_point now);
    [[nodiscard]] bool resumes_stream() const;
    [[nodiscard]] std::optional<std::uint32_t> find_origin(time_point now) const;
    [[nodiscard]] std::uint64_t fingerprint();
    [[nodiscard]] std::optional<duration> request_refusal();
    bool place_again();
    /// Returns the request's prompt, or null if it has none or `of` is no engine.
    [[nodiscard]] const prompt* engine_prompt(const service& of) const;
    [[nodiscard]] placement_request to_placement_request(const service& of,
                                                         std::vector<std::string> excluded) const;
    [[nodiscard]] std::optional<placement> choose_endpoint(placement_request request,
                                                           time_point now) const;
    [[nodiscard]] bool allows_own_region(const authorisation& authorised) const;
    [[nodiscard]] placement_options find_placements(const authorisation& authorised,
                                                    const service& of,
                                                    const std::vector<std::string>& excluded,
                                                    time_point now) const;
    [[nodiscard]] std::vector<region_option>
    find_other_region_options(const authorisation& authorised, time_point now) const;
    [[nodiscard]] duration max_time_ahead(time_point now) const;
    void remove_late(placement_options& options, time_point now) const;
    [[nodiscard]] std::optional<destination> choose_destination(const authorisation& allowed,
                                                                const placement_options& options,
                                                                time_point now) const;
    [[nodiscard]] const member* find_room_holder(const authorisation& allowed,
                                                 time_point now) const;
    void send(const destination& chosen);
    [[nodiscard]] bool may_be_last() const;
    [[nodiscard]] bool is_known_hopeless(const service& of, const placement_options& options,
                                         time_point now);
    bool refuse_at_once(const service& of, const placement_options& options, time_point now);
    void give_up_after_wait(const placement_options& options, time_point now);
    void note_wait();
    void enqueue();
    void choose_service();
    [[nodiscard]] retry_budget& service_retry_budget();
    [[nodiscard]] const std::string& last_event_id() const; ///< a resumed stream continues after it
    void send_to_endpoint(const placement& chosen);
    [[nodiscard]] attempt_state new_attempt() const;
    [[nodiscard]] duration max_idle_time() const; ///< of a connection that is reused
    [[nodiscard]] std::string address_of(const member& host) const;
    void send_to_host(const member& chosen, duration expected, duration round_trip);
    void begin_call(call_options options, outgoing_request request);
    [[nodiscard]] duration time_left() const;
    [[nodiscard]] time_point wait_deadline() const;
    [[nodiscard]] duration max_expected_first_byte(time_point now) const;

    // course of an attempt
    call_handlers handlers();
    void on_sent();
    void on_head(const message_head& head);
    [[nodiscard]] endpoint_incarnation attempted_endpoint() const;
    void note_connection();
    void note_disconnection();
    void note_no_connection();
    void record_endpoint_statement();
    void record_endpoint_end();
    void on_body(std::string& bytes);
    void on_end(call_end end);
    void on_complete_response();
    void on_refusal_of_host();
    void on_rejection();
    void on_answer();
    void on_complete_stream();
    void relay(std::string_view bytes);
    void start_relay();
    void record_origin(time_point now);
    void resume_reading();
    [[nodiscard]] bool is_genuine(const message_head& head) const;
    [[nodiscard]] bool is_relayable_stream(const message_head& head) const;
    [[nodiscard]] std::string_view stream_fault() const;
    [[nodiscard]] std::string_view event_fault() const;
    [[nodiscard]] std::size_t max_unsent_bytes() const;
    [[nodiscard]] bool is_memory_scarce() const;
    [[nodiscard]] const std::string& peer_name() const noexcept;
    [[nodiscard]] duration connect_time() const noexcept;
    void note_broken_off();
    void note_broken_off_elsewhere(std::string_view endpoint);
    void record_broken_off(broken_response broken);
    void note_answered();
    void note_survived();
    void end_attempt(endpoint_outcome outcome);
    void fail_attempt(const attempt_failure& failure);
    void end_failed_attempt(const attempt_failure& failure, retry_decision decision);
    [[nodiscard]] bool may_retry(const attempt_failure& failure) const;
    [[nodiscard]] retry_decision decide_retry(const attempt_failure& failure);
    [[nodiscard]] attempt_rule rule() const;
    [[nodiscard]] bool is_stream() const noexcept;

    // time
    void arm();
    void on_timer();
    void abandon_attempt(endpoint_outcome outcome);
    [[nodiscard]] std::optional<time_point> inactivity_deadline() const;
    [[nodiscard]] std::optional<destination> find_other_destination(const authorisation& allowed,
                                                                    time_point now) const;
    void move_silent_attempt(time_point now);
    void keep_silent_attempt(time_point now);

    // final responses
    void refuse(int status, std::string_view code, std::string_view ran, duration retry_after);
    void give_up(std::string_view code, std::optional<duration> retry_after = std::nullopt);
    [[nodiscard]] duration next_return_delay();
    void count_return(return_kind kind);
    void give_up_without_endpoint(const service& of);
    void finish(std::string_view outcome, int status);
    void on_disconnect();

    serving_context& m_context;
    instance_registry<exchange>::entry m_registration;
    std::shared_ptr<server_exchange> m_caller;
    bool m_is_forwarded;
    time_point m_received;
    duration m_age{0}; ///< at the receipt; 0 unless forwarded by another host
    time_point m_deadline{};
    caller_fields m_fields;
    memory_charge m_fields_charge;
    authorisation m_authorised; // as of the last placement
    std::string m_service;
    double m_charged_units = 0;
    stage m_stage = stage::placing;
    attempt_state m_attempt;
    std::vector<std::string> m_excluded;
    attempt_count m_attempt_count;
    bool m_is_queued = false;
    bool m_has_waited = false;                    ///< a placement failed while it could wait
    duration m_lowest_expected = duration::max(); ///< see `lowest_expected()`
    bool m_has_reached_endpoint = false;          ///< here or at the host to which it was forwarded
    bool m_has_response_started = false;
    std::uint64_t m_fingerprint = 0; ///< 0 until it is needed
    /// The latest response that an endpoint broke off; set until the next attempt.
    std::optional<broken_response> m_broken_off;
    /// Hash of the software version that has begun the stream, which alone may continue it; nothing
    /// if no event of it has been received, here or by the caller's request that this one continues.
    std::optional<std::uint32_t> m_software_version;
    int m_started_status = 0; ///< of the response, once it has started
    time_point m_last_progress{};
    time_point m_last_attempt_end{};
    /// Next check whether a silent attempt can be moved; unset until one could not be.
    time_point m_next_move_check{};
    /// Maximum time from an event, or a resumed attempt's head, to the next event relayed.
    duration m_max_event_gap{0};
    event_splitter m_events;
    asio::steady_timer m_timer;
};

} // namespace hickorykeel::gateway
