#pragma once

#include "gateway/http/http_server.h"
#include "gateway/serving/attempt_rule.h"
#include "gateway/serving/event_splitter.h"
#include "gateway/serving/serving_context.h"

#include <cstdint>     // uint64_t
#include <memory>      // enable_shared_from_this, shared_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <asio/steady_timer.hpp> // steady_timer

namespace hickorykeel::gateway {

/// @name headers between hosts
/// @{
inline constexpr std::string_view forwarded_header = "Keel-Forwarded-By"; ///< of a request
inline constexpr std::string_view age_header = "Keel-Age-Ms";      ///< since the caller sent it
inline constexpr std::string_view refusal_header = "Keel-Refusal"; ///< code of a refusal
inline constexpr std::string_view ran_header = "Keel-Ran";         ///< "no" or "unknown"
/// @}

/// One caller's request from its receipt to its final answer.
///
/// Chooses an endpoint or another host, relays the answer, and tries again where that is safe. A
/// request that is not repeatable is tried again only while it certainly has not run.
///
/// Thread safety: none; all calls come from the loop's thread.
class exchange : public std::enable_shared_from_this<exchange> {
public:
    /// `from_host`: another host has passed the request on, which may not be done again.
    exchange(serving_context& context, std::shared_ptr<server_exchange> caller, bool from_host);

    /// Checks the request and tries to place it.
    void start();

    /// Tries again to place a request that waits. Returns whether it still waits.
    bool retry_placement();

    /// The queue has dropped the request.
    void on_left_queue() noexcept { m_is_queued = false; }

    /// @name order of the queue
    /// @{
    /// 0 is the most urgent of new requests; a stream that has begun goes before them.
    [[nodiscard]] int priority() const noexcept { return m_has_response_started ? -1 : m_priority; }
    [[nodiscard]] const std::string& service_name() const noexcept { return m_service; }
    /// @}

private:
    enum class stage { placing, waiting, sending, relaying, done };

    /// The endpoint or host that has the request now.
    struct attempt_state {
        std::string endpoint; ///< id; empty: another host
        std::string peer;     ///< address
        std::shared_ptr<client_connection> call;
        time_point sent_at{};
        duration expected{0};   ///< from the sending to the first byte, when it was sent
        duration first_byte{0}; ///< the same as it was
        std::uint32_t waiting_tokens = 0;
        bool is_sent = false; ///< a byte of the request may have arrived
        bool has_head = false;
        message_head head;
        std::string body;
    };

    /// What a failed try means for the request.
    struct attempt_failure {
        endpoint_outcome outcome = endpoint_outcome::cut;
        bool may_have_run = true;
        bool has_arrived = true; ///< counts as an arrival
        std::string_view reason;
    };

    // checks
    bool authorise();
    bool admit();
    [[nodiscard]] double units() const;
    [[nodiscard]] const organisation* caller_organisation() const;

    // placement
    bool place();
    bool place_again();
    [[nodiscard]] const prompt* engine_prompt(const service& of) const; ///< null: not for an engine
    [[nodiscard]] std::vector<region_option> find_other_region_options(time_point now) const;
    [[nodiscard]] bool remove_late_options(std::optional<placement>& here,
                                           std::vector<region_option>& others,
                                           time_point now) const;
    bool send(const std::optional<placement>& here, const std::vector<region_option>& others,
              time_point now);
    void enqueue();
    void choose_service();
    [[nodiscard]] retry_budget& service_retry_budget();
    [[nodiscard]] const std::string& last_event_id() const; ///< behind which a stream goes on
    void send_to_endpoint(const placement& chosen);
    [[nodiscard]] duration max_idle_time() const; ///< of a connection that may be used
    void send_to_host(const member& chosen, duration expected);
    [[nodiscard]] duration time_left() const;
    [[nodiscard]] time_point wait_deadline() const;
    [[nodiscard]] duration max_expected_first_byte(time_point now) const; ///< to the first byte

    // course of a try
    call_handlers handlers();
    void on_sent();
    void on_head(const message_head& head);
    void on_body(std::string& bytes);
    void on_end(call_end end);
    void on_complete_response();
    void relay(std::string_view bytes);
    void start_relay();
    [[nodiscard]] bool is_genuine(const message_head& head) const;
    void end_attempt(endpoint_outcome outcome);
    void fail_attempt(const attempt_failure& failure);
    [[nodiscard]] bool may_retry(const attempt_failure& failure) const;
    [[nodiscard]] attempt_rule rule() const;
    [[nodiscard]] bool is_stream() const noexcept;

    // time
    void arm();
    void on_timer();
    [[nodiscard]] std::optional<time_point> inactivity_deadline() const;

    // final answers
    void refuse(int status, std::string_view code, std::string_view ran, duration retry_after);
    void give_up(std::string_view code);
    void finish(std::string_view outcome, int status);
    void on_gone();

    serving_context& m_context;
    std::shared_ptr<server_exchange> m_caller;
    bool m_is_forwarded;
    time_point m_received;
    duration m_age{0}; ///< at the receipt, where another host has passed the request on
    time_point m_deadline{};
    caller_fields m_fields;
    publication_ptr m_published;
    const route* m_route = nullptr; // in m_published
    std::string m_organisation;
    std::string m_service;
    int m_priority = 0;
    double m_charged_units = 0;
    stage m_stage = stage::placing;
    attempt_state m_attempt;
    std::vector<std::string> m_excluded;
    attempt_count m_attempt_count;
    bool m_is_queued = false;
    bool m_has_response_started = false;
    time_point m_last_event{};
    duration m_max_event_gap{0}; ///< between two events for the caller
    event_splitter m_events;
    asio::steady_timer m_timer;
};

} // namespace hickorykeel::gateway
