#pragma once

#include "gateway/configuration/publication.h"
#include "gateway/membership/member_table.h"
#include "gateway/routing/endpoint_history.h"
#include "gateway/routing/endpoint_notices.h"
#include "gateway/routing/first_byte_model.h"
#include "gateway/routing/load_estimate.h"
#include "gateway/routing/load_statement.h"
#include "gateway/routing/prompt.h"
#include "gateway/routing/start_share.h"
#include "process/clock.h"
#include "process/limits/token_bucket.h"
#include "process/routing/random_source.h"

#include <array>         // array
#include <chrono>        // milliseconds, seconds
#include <cstddef>       // size_t
#include <cstdint>       // int64_t, uint32_t, uint64_t
#include <functional>    // function
#include <limits>        // numeric_limits
#include <map>           // map
#include <optional>      // optional
#include <set>           // set
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace hickorykeel::gateway {

struct endpoint_pool_options {
    double nominal_prefill_rate = 100; ///< prompt tokens per ms at slowness 1
    /// Time to first byte of an idle engine, without prompt processing.
    duration engine_base = std::chrono::milliseconds{20};
    duration step_per_request = std::chrono::microseconds{400}; ///< added by each running request
    /// Time to first byte of an idle endpoint of a plain service, that is, one without an engine.
    duration plain_base = std::chrono::milliseconds{50};
    /// Weight of prompt processing in the expected time to first byte. Above 1, because the
    /// requests that an engine runs also wait while it processes a prompt.
    double prefill_weight = 1.5;
    /// Endpoints whose expected times to first byte differ by less are equivalent.
    duration equivalence_range = std::chrono::milliseconds{20};
    duration prefix_retention = std::chrono::seconds{8}; ///< time that an engine caches a prefix
    /// Fewer tokens are recomputed rather than fetched from another engine.
    std::uint64_t min_fetched_tokens = 1'000;
    duration initial_backoff = std::chrono::milliseconds{250};
    duration max_backoff = std::chrono::seconds{2};
    duration shed_backoff = std::chrono::milliseconds{60};
    unsigned max_plain_queue = 10; ///< requests beyond an endpoint's slots, plain services only
    /// Time after a contact for which the hosts of the region would still see an endpoint's end; nothing:
    /// endpoints are taken for warm without contact.
    std::optional<duration> contact_retention;
};

/// Outcome of an attempt, as far as it affects the endpoint's health.
enum class endpoint_outcome {
    answered,    ///< a complete response that isn't a failure
    failed,      ///< a response that reports a failure
    shed,        ///< rejected without being executed
    refused,     ///< the endpoint's machine refused the connection: nothing listens there
    unreachable, ///< no connection could be established otherwise
    cut,         ///< the endpoint ended the connection before the response was complete
    malformed,   ///< the response was invalid
    timed_out,   ///< no data within the timeout
    abandoned,   ///< cancelled by this host; doesn't affect the endpoint's health
    gone,        ///< another incarnation uses the address
};

/// Name of `outcome` as written to logs and used in metric names. Thread safe.
[[nodiscard]] std::string_view to_name(endpoint_outcome outcome) noexcept;

/// The endpoint chosen for a request.
struct placement {
    std::string endpoint; ///< id
    std::string address;
    duration expected{0}; ///< expected time to first byte, raised by the endpoint's failure rate
    bool is_cold = false;
    std::string prompt_source;        ///< address of the engine to fetch a prefix from; empty: none
    std::uint64_t fetched_tokens = 0; ///< size of the part that is fetched
    std::int64_t started_ms = 0;      ///< start of the incarnation; 0: unknown
    first_byte_conditions conditions; ///< that `expected` was computed from, if they are known
    duration ahead{0}; ///< part of `expected` before the endpoint reads this prompt; 0: unknown
    std::uint32_t software_version = 0; ///< hash of the endpoint's
};

/// An endpoint's room for requests.
struct endpoint_room {
    std::string endpoint; ///< id
    std::uint32_t places = 0;
};

/// Requirements of a request on its endpoint.
struct placement_request {
    const service* requested_service = nullptr;
    const prompt* request_prompt = nullptr; ///< null: not a generation request
    std::vector<std::string> excluded;      ///< ids of endpoints that failed the request
    /// Hash of the only software version that may serve the request; nothing: any may.
    std::optional<std::uint32_t> software_version = {};
};

/// The endpoints of this host's region with their load and health, and the placement on them.
///
/// The load of an endpoint is the sum of this host's requests and of those that the other hosts of
/// the region report. The slowness of an endpoint is estimated from the measured time to first
/// byte, relative to the one expected under that load. From the first load statement of one of its
/// endpoints on, a service is served by what its endpoints state and a `first_byte_model` instead;
/// see docs/design/endpoint-load.md.
///
/// An endpoint is ejected when it is unreachable, or when a connection breaks or times out, or a
/// response is invalid, and this isn't the first of these failures since its last complete response
/// that isn't a failure. The
/// backoff doubles with each such failure, up to a maximum. A response that reports a failure only
/// raises the failure rate. An endpoint that sheds a request gets a backoff of fixed length. One
/// that has said that it is leaving, or at whose address another incarnation responds, gets no
/// request any more, whatever is published of it. One that has turned this host away with a time
/// gets none until that time is over. One that names a rate gets this host's share of it, and isn't
/// offered to other regions. One that names a rejection limit gets no more requests at a time than
/// this host's share of its room.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class endpoint_pool {
public:
    /// Returns the requests per second that this host may send to the cold endpoint `id`, whose
    /// service's cold rate is `rate`.
    using cold_allowance_function = std::function<double(const std::string& id, double rate)>;

    /// Returns the requests per second that this host may send to the endpoint `id`, which takes
    /// `rate` of them from all hosts together.
    using rate_share_function = std::function<double(const std::string& id, double rate)>;

    /// Returns the requests that this host may have under way at the endpoint `id`, which has `places`
    /// for those of all hosts together.
    using room_share_function =
        std::function<std::uint32_t(const std::string& id, std::uint32_t places)>;

    /// @param to_room_share default: this host has all the room
    endpoint_pool(
        endpoint_pool_options options, cold_allowance_function to_cold_allowance,
        rate_share_function to_rate_share,
        room_share_function to_room_share = [](const std::string&,
                                               std::uint32_t places) { return places; })
        : m_options{options}, m_to_cold_allowance{std::move(to_cold_allowance)},
          m_to_rate_share{std::move(to_rate_share)}, m_to_room_share{std::move(to_room_share)}
    {
    }

    /// @name updates of the endpoints' state
    /// @{

    /// Hosts whose word is taken for the end of an incarnation; the error of one alone can't take an
    /// endpoint out of its region.
    static constexpr std::uint32_t min_end_witnesses = 2;

    /// Whether requests may be sent to the endpoint of an entry.
    enum class usability {
        usable,
        evacuated,    ///< not for now; it may be cold when it is reinstated
        other_region, ///< never, the endpoint is not in this region
    };

    /// Replaces the endpoints by those of `entries`. Load and health of an endpoint are kept unless
    /// its entry has another start time. Entries that are not of this region, or for whose service
    /// `find_service` returns null, are left out.
    /// @param read_at latest time at which the entries are known to have been the newest ones
    void update(const std::map<std::string, endpoint_entry>& entries,
                const std::function<usability(const endpoint_entry&)>& to_usability,
                const std::function<const service*(const std::string&)>& find_service,
                time_point read_at, time_point now);

    /// Records that another host of the region has sent a prefix to an endpoint, which caches it.
    void on_peer_prefix(const sent_prefix& received, time_point now);

    /// Returns, for the heartbeat, the prefixes sent by this host since the last call; if there are
    /// too many for one heartbeat, the first ones.
    [[nodiscard]] std::vector<sent_prefix> take_sent_prefixes();

    /// Records that `endpoint` has said that it is leaving. Returns whether that is new. The
    /// incarnation may be a former one, or not be published at present.
    bool on_leaving(const endpoint_incarnation& endpoint, time_point now);

    /// Whether the end of the incarnation was announced: by itself, or in its entry.
    [[nodiscard]] bool is_stopping(const endpoint_incarnation& endpoint) const;

    /// Records that another incarnation responds at the address of `endpoint`, which has ended for
    /// good, whatever is published of it later. Returns whether that is new. The incarnation may be
    /// a former one, or not be published at present.
    bool on_ended(const endpoint_incarnation& endpoint, time_point now);

    /// Returns, for the heartbeat, the published incarnations that this host itself has seen the end
    /// of.
    [[nodiscard]] std::vector<end_report> own_ended_endpoints() const;

    /// Replaces what the hosts of the region have seen. An incarnation that at least
    /// `min_end_witnesses` have seen the end of gets no request while that holds.
    /// @return ids of the endpoints that this host learns to have ended
    std::vector<std::string> set_ended_endpoints(const end_witnesses& witnesses);

    /// Records that `endpoint` wants no request of this host for `delay`; at most
    /// `endpoint_notices::max_turn_away` counts. The incarnation may be a former one, or not be
    /// published at present.
    void on_turned_away(const endpoint_incarnation& endpoint, duration delay, time_point now);

    /// Records what `endpoint` has said of its rate; see `endpoint_notices::on_rate_statement()`.
    /// Returns whether the rate is another one now. The incarnation may be a former one, or not be
    /// published at present.
    bool on_rate_statement(const endpoint_incarnation& endpoint, const rate_statement& statement,
                           time_point now);

    /// Records what `endpoint` has said of its rejection limit; see
    /// `endpoint_notices::on_rejection_statement()`. Returns whether the limit is another one now. The
    /// incarnation may be a former one, or not be published at present.
    bool on_rejection_statement(const endpoint_incarnation& endpoint,
                                const rejection_statement& statement, time_point now);

    /// Returns, for the heartbeat, the newest statements that are known of published endpoints which
    /// have named a rejection limit; the newest ones if there are too many for one heartbeat.
    [[nodiscard]] std::vector<rejection_report> rejection_reports(time_point now) const;

    /// Records what an endpoint has said of its rejection limit to another host. Returns whether the
    /// limit is another one now.
    /// @param heard_since as in `on_peer_rate()`
    bool on_peer_rejections(const rejection_report& report, time_point heard_since, time_point now);

    /// Whether the endpoint survives fewer rejections in a second than it has slots.
    [[nodiscard]] bool is_brittle(const endpoint_incarnation& endpoint) const;

    /// Returns, for the heartbeat, the newest statements that are known of published endpoints which
    /// have named a rate; the newest `max_rate_reports` if there are more.
    [[nodiscard]] std::vector<rate_report> rate_reports(time_point now) const;

    /// Records what an endpoint has said of its rate to another host. Returns whether the rate is
    /// another one now.
    /// @param heard_since the report can't have arrived before this time; it may have waited since
    /// then if the process stood still
    bool on_peer_rate(const rate_report& report, time_point heard_since, time_point now);

    /// Returns the endpoints whose evacuation has ended since the last call, but for those that
    /// wanted no requests then. Each endpoint whose evacuation has ended is in doubt.
    [[nodiscard]] std::vector<endpoint_entry> take_reinstated();

    /// Returns the endpoints that have ended a connection with this host since the last call, which
    /// puts them in doubt, and that were taken for warm.
    [[nodiscard]] std::vector<endpoint_entry> take_disconnected();

    /// Returns the endpoints that could get requests, as was found since the last call, if it were proven
    /// that they are warm.
    [[nodiscard]] std::vector<endpoint_entry> take_wanted();

    /// Whether `take_wanted()` would return any.
    [[nodiscard]] bool has_wanted() const noexcept { return !m_wanted.empty(); }

    /// Records that this host has seen a sign that the endpoint may have restarted. No effect if its
    /// service doesn't limit the requests to cold endpoints.
    void on_restart_sign(const std::string& endpoint, restart_sign sign, time_point now);

    /// Records that the endpoint at `address` has ended a connection between two calls.
    void on_idle_connection_ended(const std::string& address, time_point now);

    /// Records that the endpoint itself has reported, as asked at `asked_at`, that it is warm.
    void on_warm(const std::string& endpoint, time_point asked_at, time_point now);

    /// Records that this host has started and read the present entries at `read_at`: which endpoints
    /// have restarted under their ids just before, it can't tell.
    void on_host_start(time_point read_at);

    /// Returns the endpoints of which this host doesn't know, since it started, whether they had
    /// restarted before, and that would get requests if they hadn't.
    [[nodiscard]] std::vector<endpoint_entry> past_unknown(time_point now) const;

    /// Number of endpoints of which this host doesn't know, since it started, whether they had
    /// restarted before.
    [[nodiscard]] std::size_t past_unknown_count(time_point now) const;

    /// Records that another host of the region takes all its endpoints for warm, and would know
    /// otherwise.
    void on_peer_all_warm(time_point now);

    /// Whether this host takes all endpoints with which the region is in contact for warm, and would know
    /// if one had restarted of late.
    [[nodiscard]] bool are_all_warm(time_point now) const;

    /// Records what another host has learned of restarts of an endpoint.
    void on_peer_restart(const restart_report& report, time_point now);

    /// Returns, for the heartbeat, what this host itself has learned of restarts of late.
    [[nodiscard]] std::vector<restart_report> own_restarts(time_point now);

    /// Records that the endpoint is being asked for its health, which may count as a request.
    void on_asked(const std::string& endpoint, time_point now);

    /// Whether the other hosts of the region have to learn at once that an endpoint may have
    /// restarted, is cold by its own word, or is warm though this host didn't know it since its start:
    /// this host has learned it since `own_restarts()`.
    [[nodiscard]] bool has_urgent_news() const noexcept { return m_has_urgent_news; }

    /// Returns the endpoints of which some host doesn't know whether they have restarted, and that
    /// would get requests if they haven't.
    [[nodiscard]] std::vector<endpoint_entry> unconfirmed(time_point now) const;

    /// Records whether this host would see the end of an endpoint without requests there.
    void set_end_seen(const std::string& endpoint, bool is_seen);

    /// Returns the endpoints with which the region is out of contact, or soon would be, though this
    /// host would see their ends.
    [[nodiscard]] std::vector<endpoint_entry> needing_contact(time_point now) const;

    /// Records that the endpoint itself has said, as asked at `asked_at`, that it is cold for
    /// `remaining`; at most its service's cold time counts. Returns whether this host took it for
    /// warm.
    bool on_cold(const std::string& endpoint, duration remaining, time_point asked_at,
                 time_point now);

    /// Records that an endpoint has said to another host that it is cold.
    void on_peer_cold(const cold_report& report, time_point now);

    /// Returns, for the heartbeat, the endpoints that have said to this host that they are cold, and
    /// still are.
    [[nodiscard]] std::vector<cold_report> own_cold_endpoints(time_point now) const;

    /// Returns the endpoints that this host sends to as warm ones, and whose service limits the
    /// requests to cold ones.
    [[nodiscard]] std::vector<endpoint_entry> assumed_warm(time_point now) const;

    /// Replaces the load placed by the other hosts of the region, by hash of the endpoint's id.
    /// @param as_of time of which the loads are on average; default: they are always of the present
    void set_peer_loads(const std::unordered_map<std::uint32_t, endpoint_load>& loads,
                        time_point as_of = time_point::max());
    /// @}

    /// @name load that endpoints state
    /// @{

    /// Records a load statement of `endpoint` to this host. Of two statements the later one is kept. No
    /// effect if the entry of another incarnation is known.
    void on_load_statement(const endpoint_incarnation& endpoint, const load_statement& load,
                           time_point as_of, time_point now);

    /// Records a load statement of an endpoint to another host.
    /// @param arrived_after time after which the report arrived; it may have waited to be read since
    void on_peer_load(const load_report& report, time_point arrived_after, time_point now);

    /// Returns, for the heartbeat, the newest statements made to this host since the last call, at
    /// most `max_load_reports`.
    [[nodiscard]] std::vector<load_report> take_load_reports(time_point now);

    /// Records that this host starts. Until its peers have been heard, it takes a share of the
    /// endpoints that state their load; see `start_share`.
    void begin_start(const start_share_options& options, time_point now);

    /// Records what is known of the hosts of the region; to be called with `set_peer_loads()`.
    void set_known_hosts(const known_hosts& hosts, time_point now);

    /// Whether the service's requests are limited by load that this host assumes since its start.
    [[nodiscard]] bool is_start_limited(const std::string& service, time_point now) const;

    /// Returns the endpoints of services with engines whose load a host may ask for after its start:
    /// at most `count` of each, chosen at random, and none that gets no requests or may be cold.
    [[nodiscard]] std::vector<endpoint_entry> choose_load_samples(std::size_t count, time_point now,
                                                                  random_source& random) const;

    /// Whether an endpoint has stated its load.
    [[nodiscard]] bool has_load_statements() const noexcept { return m_has_load_statements; }

    /// Statements in one heartbeat; at 15 bytes each and ten heartbeats a second to the aggregators
    /// these are at most 2.5 KB a second.
    static constexpr std::size_t max_load_reports = 16;
    /// @}

    /// @name placement
    /// @{

    /// Returns one of the endpoints with a free slot whose `placement::expected` is lowest, or
    /// nothing if no endpoint can take the request now. Among equivalent ones the choice is random,
    /// so that hosts with the same view don't all choose the same one at once.
    [[nodiscard]] std::optional<placement> choose(const placement_request& request, time_point now,
                                                  random_source& random);

    /// Whether any endpoint of the service could take the request now, or once slots are free or
    /// a backoff of less than `max_backoff` is over. An endpoint that turns this host away until
    /// `wait_until` or longer doesn't count, nor does one whose rate doesn't admit the request before
    /// that.
    /// @param waiting_ahead requests that wait for the service, and are placed first
    [[nodiscard]] bool has_candidate(const placement_request& request, time_point now,
                                     time_point wait_until = time_point::max(),
                                     std::size_t waiting_ahead = 0);

    /// Whether some endpoint of the service that can't take the request now, for example because its
    /// slots are taken, may be able to before `until`.
    [[nodiscard]] bool may_gain_endpoint(const placement_request& request, time_point now,
                                         time_point until);

    /// Returns the time until the first of the service's endpoints wants requests of this host
    /// again, or nothing unless there are some and all of them turn it away or admit none now by
    /// the rates that they have named. Those of whose rate this host has no share are left out.
    [[nodiscard]] std::optional<duration> time_turned_away(const placement_request& request,
                                                           time_point now);

    /// Returns the requests per second that this host may send to those of the service's endpoints
    /// that name a rate; 0 if there are none.
    [[nodiscard]] double total_share(const placement_request& request) const;

    /// Returns a random one of the endpoints that may take the request, with its places, if all of
    /// them name rejection limits and this host has a share of none; nothing otherwise, or if there are
    /// none. Hosts with a share may send the request there.
    [[nodiscard]] std::optional<endpoint_room> find_room_elsewhere(const placement_request& request,
                                                                   random_source& random) const;

    /// Takes a request out of this host's share of the endpoint's rate, for a health probe. Returns
    /// false, without effect, if the share admits none now, or if the endpoint is brittle and has no
    /// room; true otherwise if the endpoint names no rate.
    [[nodiscard]] bool try_take_share(const std::string& endpoint, time_point now);

    /// Returns the free slots of the region for a service and the lowest expected time to first
    /// byte of a typical request. Cold endpoints, those in backoff and those that turn this host
    /// away are left out.
    /// The expected time is 10 s if no slot is free.
    [[nodiscard]] service_load free_capacity(const service& queried_service, time_point now) const;
    /// @}

    /// @name without a path to endpoints
    /// @{

    /// Sets whether this host has lost its path to the endpoints. While it has, a refused connection
    /// isn't a sign of a restart on which other hosts act.
    void set_path_lost(bool is_lost) noexcept { m_is_path_lost = is_lost; }

    /// The same as `free_capacity()` for hosts of the region that reach its endpoints: what this host
    /// has found itself, failures and doubts, doesn't count.
    [[nodiscard]] service_load peer_capacity(const service& queried_service, time_point now) const;

    /// Returns at most `count` random endpoints among those that get requests.
    [[nodiscard]] std::vector<endpoint_entry> choose_path_samples(std::size_t count,
                                                                  random_source& random) const;

    /// Number of endpoints that get requests.
    [[nodiscard]] std::size_t listed() const;

    /// Number of this host's requests that endpoints are executing.
    [[nodiscard]] std::size_t own_active() const;
    /// @}

    /// @name events of an attempt
    /// @{

    /// Records that a request is being sent. Precondition: `endpoint` and `fetched_tokens`, the
    /// part of the prompt that the endpoint fetches from another one, come from `choose()`.
    /// @return prompt tokens of this request that the endpoint has yet to process; 0 without a
    /// prompt
    [[nodiscard]] std::uint32_t on_sent(const std::string& endpoint, const prompt* request_prompt,
                                        time_point now, std::uint64_t fetched_tokens = 0);

    /// Records the first byte of the response, `elapsed` after the request was sent; `expected` is
    /// the time predicted by `choose()`, `waiting_tokens` the value returned by `on_sent()`. No
    /// effect if the entry of another incarnation is known by now.
    void on_first_byte(const endpoint_incarnation& endpoint, std::uint32_t waiting_tokens,
                       duration elapsed, duration expected)
    {
        on_first_byte(endpoint, waiting_tokens, elapsed, expected, {}, time_point{});
    }

    /// The same for a request with the conditions that `choose()` has found.
    void on_first_byte(const endpoint_incarnation& endpoint, std::uint32_t waiting_tokens,
                       duration elapsed, duration expected, const first_byte_conditions& conditions,
                       time_point now);

    /// Records the end of an attempt. `waiting_tokens` is the value returned by `on_sent()`, or 0
    /// after the first byte. If the entry of another incarnation is known by now, only what it tells
    /// of a restart counts.
    /// @param elapsed time since the request was sent; 0: unknown
    void on_end(const endpoint_incarnation& endpoint, std::uint32_t waiting_tokens,
                endpoint_outcome outcome, time_point now, duration elapsed = duration{0});
    /// @}

    /// @name state
    /// @{

    /// Returns, for the heartbeat, the load placed by this host, by hash of the endpoint's id.
    [[nodiscard]] std::unordered_map<std::uint32_t, endpoint_load> own_loads() const;
    [[nodiscard]] std::size_t size() const noexcept { return m_endpoints.size(); }
    /// @}

private:
    /// Bounds a measured time to first byte, and stands for the expected time of a region without a
    /// free slot.
    static constexpr duration max_expected_wait = std::chrono::seconds{10};

    /// A prompt prefix that an engine has processed or is about to process.
    struct cached_prefix {
        time_point last_used{};
        /// Expected end of its processing; from then on another engine can fetch it.
        time_point processed_at{};
    };

    /// What this host has learned of the load and speed of a service's endpoints.
    struct service_state {
        first_byte_model model;
        service_means means;
        bool states_load = false; ///< an endpoint has stated its load
        start_share share;
        std::size_t endpoints = 0; ///< listed
        assumed_load assumed;      ///< as of `assumed_at`
        time_point assumed_at{};
        rejection_statement rejections{}; ///< the newest of any endpoint
    };

    /// The newest statement of an endpoint.
    struct held_statement {
        load_statement load;
        time_point as_of{};
        double mean_pace = 1;   ///< over the last statements
        bool is_untold = false; ///< made to this host and not yet in a heartbeat
    };

    /// A request of this host that was sent or ended.
    struct own_change {
        time_point at{};
        bool is_end = false;
    };

    struct endpoint_state {
        endpoint_entry entry;
        std::uint32_t hash = 0;
        bool is_listed = true;
        bool is_leaving = false;         ///< the incarnation has said so itself
        bool is_ended = false;           ///< another incarnation has responded at its address
        bool is_ended_elsewhere = false; ///< other hosts have seen its end
        std::uint32_t incarnation_hash = 0;
        std::uint32_t software_version = 0; ///< hash
        bool is_engine = false;
        double transfer_rate = 0;
        double cold_rate = 0;
        endpoint_load own;
        endpoint_load peers;
        double slowness = 1; ///< estimated factor on the time to first byte
        double failure_rate = 0;
        /// Failures to connect, broken connections and timeouts since the last complete response
        /// that isn't a failure; see `on_end()`.
        unsigned failures = 0;
        bool is_evacuated = false;
        /// Set when a backoff starts; once it is over, one request is sent at a time until a
        /// complete response arrives.
        bool is_half_open = false;
        time_point backoff_until{};
        time_point turned_away_until{};      ///< by the incarnation itself
        endpoint_history* history = nullptr; ///< in `m_histories`; never null
        rate_statement rate;                 ///< its newest
        std::optional<token_bucket> share;   ///< this host's of the rate; set if it names one
        rejection_statement rejections;      ///< its newest
        bool has_stated_rejections = false;  ///< it has responded, with a limit or without one
        std::vector<time_point> rejected_at; ///< requests of this host, while it is brittle
        unsigned rejections_in_row = 0;
        /// Requests that this host may have under way by what rejections have shown.
        double learned_room = std::numeric_limits<double>::max();
        service_state* of_service = nullptr; ///< in `m_services`; never null
        std::optional<held_statement> stated;
        std::vector<own_change> own_changes; ///< of the last seconds, oldest first
        endpoint_correction correction;
        std::unordered_map<std::uint64_t, cached_prefix> cached_prefixes; ///< by prefix id
    };

    /// What outlives an endpoint's entry for a while.
    struct held_history {
        endpoint_history history;
        std::optional<time_point> unlisted_since; ///< set while there is no entry
        /// Start of the incarnation that is evacuated, or was when its entry was seen last.
        std::optional<std::int64_t> evacuated_start;
    };

    [[nodiscard]] static bool is_cold(const endpoint_state& state, time_point now) noexcept
    {
        return state.history->is_cold(now);
    }
    /// Whether it would get a full load if it were warm, and its service limits cold ones.
    [[nodiscard]] static bool is_worth_asking(const endpoint_state& state, time_point now) noexcept
    {
        return state.cold_rate > 0 && state.is_listed && !state.is_leaving && !state.is_ended &&
               !state.is_ended_elsewhere && now >= state.turned_away_until;
    }
    [[nodiscard]] endpoint_state* find_incarnation(const endpoint_incarnation& endpoint);
    void record_restart_sign(const std::string& endpoint, endpoint_outcome outcome, time_point now);
    void on_disconnected(endpoint_state& state, time_point now);
    [[nodiscard]] std::vector<endpoint_entry> find_entries(const std::set<std::string>& ids) const;
    [[nodiscard]] held_history& history_of(const std::string& id);
    void drop_old_histories(time_point now);
    /// Whether the endpoint gets nothing now, after failures or by its own wish.
    [[nodiscard]] static bool is_blocked(const endpoint_state& state, time_point now) noexcept
    {
        return now < state.backoff_until || now < state.turned_away_until;
    }
    [[nodiscard]] static bool is_candidate(const endpoint_state& state,
                                           const placement_request& request);
    [[nodiscard]] static bool is_unrestricted(const endpoint_state& state,
                                              const placement_request& request, time_point now);
    [[nodiscard]] bool has_free_slot(const endpoint_state& state, time_point now) const;
    [[nodiscard]] bool may_send(endpoint_state& state, time_point now);
    [[nodiscard]] static const std::optional<std::uint32_t>&
    rejection_limit(const endpoint_state& state);
    [[nodiscard]] static bool is_brittle(const endpoint_state& state);
    [[nodiscard]] static std::uint32_t room_of(const endpoint_state& state);
    [[nodiscard]] bool is_without_share(const endpoint_state& state) const;
    [[nodiscard]] static bool has_stated_waiting(const endpoint_state& state, time_point now);
    [[nodiscard]] bool has_room(const endpoint_state& state, time_point now) const;
    void on_rejected(endpoint_state& state, time_point now) const;
    static void on_room_used(endpoint_state& state);
    void add_capacity(const endpoint_state& state, service_load& load, time_point now) const;
    void update_rate(endpoint_state& state, time_point now) const;
    void update_share(endpoint_state& state, time_point now) const;
    [[nodiscard]] std::optional<duration> time_to_share(endpoint_state& state,
                                                        time_point now) const;
    [[nodiscard]] std::optional<duration> time_unwanted(endpoint_state& state,
                                                        time_point now) const;
    /// Endpoints that get the prompts with a given prefix.
    static constexpr std::size_t max_prefix_owners = 3;
    using prefix_owners = std::array<const endpoint_state*, max_prefix_owners>;
    using owner_weights = std::array<std::uint64_t, max_prefix_owners>;

    /// For a given prompt: the endpoint that is preferred for it, and the one from which others can
    /// fetch its prefix.
    struct prefix_locations {
        /// Owner of the longest shareable prefix by rendezvous hashing, among the warm endpoints
        /// that are not blocked.
        const endpoint_state* preferred = nullptr;
        /// The owner, and the next ones in the order of their weights, which get the prompts that
        /// are too many for it. Null where there are fewer.
        prefix_owners owners{};
        /// The one of these endpoints that has processed the longest prefix.
        const endpoint_state* source = nullptr;
        std::uint64_t source_tokens = 0; ///< length of the prefix at `source`
    };

    static void add_owner(prefix_owners& owners, owner_weights& weights,
                          const endpoint_state& state, std::uint64_t weight);
    [[nodiscard]] static double failure_factor(const endpoint_state& state) noexcept;
    [[nodiscard]] duration expected_time(const endpoint_state& state, const prompt* request_prompt,
                                         const prefix_locations& locations, time_point now) const;
    [[nodiscard]] std::uint64_t cached_tokens(const endpoint_state& state,
                                              const prompt& request_prompt, time_point now,
                                              time_point processed_by = time_point::max()) const;
    [[nodiscard]] std::uint64_t tokens_to_fetch(const endpoint_state& state, std::uint64_t cached,
                                                const prefix_locations& locations) const;
    [[nodiscard]] double prefill_tokens(const endpoint_state& state, const prompt& request_prompt,
                                        const prefix_locations& locations, time_point now) const;
    struct placement_option {
        endpoint_state* state = nullptr;
        duration expected{0};
        first_byte_conditions conditions;
        double load = 0;    ///< requests; known if `conditions` are
        double reserve = 0; ///< tokens added ahead in the decision only, while peers are unheard
    };

    [[nodiscard]] std::vector<placement_option> find_options(const placement_request& request,
                                                             const prefix_locations& locations,
                                                             time_point now);
    [[nodiscard]] const placement_option& pick(std::vector<placement_option>& options,
                                               const endpoint_state* preferred,
                                               random_source& random) const;
    [[nodiscard]] prefix_locations find_locations(const placement_request& request,
                                                  time_point now) const;
    [[nodiscard]] service_state& state_of(const service& of);
    [[nodiscard]] static assumed_load assumed_at(const endpoint_state& state, time_point now);
    [[nodiscard]] load_estimate estimated_load(const endpoint_state& state, time_point now) const;
    [[nodiscard]] duration peer_loads_age(time_point now) const;
    [[nodiscard]] double unread_tokens(const endpoint_state& state, const prompt* request_prompt,
                                       const prefix_locations& locations, time_point now) const;
    [[nodiscard]] first_byte_conditions conditions_of(const endpoint_state& state,
                                                      const prompt* request_prompt,
                                                      const prefix_locations& locations,
                                                      time_point now) const;
    [[nodiscard]] static duration time_ahead(const placement_option& option, time_point now);
    [[nodiscard]] static duration modelled_time(const endpoint_state& state,
                                                const first_byte_conditions& conditions,
                                                time_point now);
    [[nodiscard]] placement_option modelled_option(endpoint_state& state,
                                                   const prompt* request_prompt,
                                                   const prefix_locations& locations,
                                                   time_point now) const;
    [[nodiscard]] static duration prefix_preference(const std::vector<placement_option>& options,
                                                    const prompt& request_prompt);
    [[nodiscard]] const placement_option&
    pick_modelled(const std::vector<placement_option>& options, const placement_request& request,
                  const prefix_locations& locations, time_point now, random_source& random) const;
    void learn_first_byte(endpoint_state& state, duration elapsed,
                          const first_byte_conditions& conditions, time_point now);
    static void add_own_change(endpoint_state& state, const own_change& change);
    [[nodiscard]] std::uint32_t max_active(const endpoint_state& state) const;
    void start_backoff(endpoint_state& state, time_point now) const;
    void count_failure(endpoint_state& state, time_point now) const;
    static void remove_waiting_tokens(endpoint_state& state, std::uint32_t waiting_tokens);

    static void add_cached_prefix(endpoint_state& state, std::uint64_t prefix, cached_prefix added);
    [[nodiscard]] const cached_prefix* find_cached(const endpoint_state& state,
                                                   std::uint64_t prefix, time_point now) const;
    [[nodiscard]] duration prefill_time(const endpoint_state& state) const;

    std::vector<sent_prefix> m_sent_prefixes;
    std::vector<endpoint_entry> m_reinstated;
    std::set<std::string> m_disconnected; ///< ids, since `take_disconnected()`
    std::set<std::string> m_wanted;       ///< ids, since `take_wanted()`
    bool m_has_urgent_news = false;
    bool m_is_path_lost = false;
    endpoint_notices m_notices;
    endpoint_pool_options m_options;
    cold_allowance_function m_to_cold_allowance;
    rate_share_function m_to_rate_share;
    room_share_function m_to_room_share;
    time_point m_peer_loads_as_of = time_point::max();
    bool m_has_load_statements = false;
    std::optional<start_share> m_start; ///< of services without requests so far; set at the start
    std::map<std::string, service_state> m_services;                        ///< by name
    std::map<std::string, held_history> m_histories;                        ///< by id
    std::map<std::string, endpoint_state> m_endpoints;                      ///< by id
    std::unordered_map<std::uint32_t, endpoint_incarnation> m_incarnations; ///< of these, by hash
};

} // namespace hickorykeel::gateway
