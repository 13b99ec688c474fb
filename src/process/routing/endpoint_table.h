#pragma once

#include "process/clock.h"
#include "process/routing/random_source.h"
#include "version/configuration.h"

#include <array>    // array
#include <chrono>   // seconds
#include <cstddef>  // size_t
#include <cstdint>  // uint32_t, uint64_t
#include <deque>    // deque
#include <optional> // optional
#include <span>     // span
#include <string>   // string
#include <vector>   // vector

namespace hickorykeel {

/// Load of an endpoint as the endpoint reports it.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0; ///< 0: not reported
    duration age{0};         ///< time since the endpoint was in the reported state
};

/// State of a circuit breaker: an `open` one admits no request, a `half_open` one admits a probe
/// request, and the next only after a request has ended.
enum class breaker_state { closed, open, half_open };

/// Settings of an endpoint table.
struct endpoint_table_settings {
    std::uint32_t failures_to_open = 3; ///< consecutive failures that open a breaker
    /// Backoff of a breaker's first opening, before jitter; doubled at each further one.
    duration first_backoff{std::chrono::seconds{1}};
    duration max_backoff{std::chrono::seconds{30}};  ///< max. backoff, before jitter
    duration slow_start{std::chrono::seconds{10}};   ///< time in which the usable slots grow
    duration report_expiry{std::chrono::seconds{5}}; ///< older load reports are not used
    /// Time constant with which a learned speed without new samples decays to the mean.
    duration speed_decay_time{std::chrono::seconds{20}};
    double sample_weight = 0.1; ///< of a new sample in an exponential moving average
    /// An endpoint is of typical speed while its time to the first token is at most this factor
    /// times the mean.
    double typical_factor = 1.5;
};

/// Learned speed, as seconds per token: exponential moving averages of a duration and of the tokens
/// processed in it. Their quotient weights each sample by its number of tokens, so that the fixed
/// cost of short requests does not distort the speed learned for long ones.
struct speed_average {
    double seconds = 0;
    double tokens = 0;
    time_point sampled{}; ///< time of the newest sample

    /// Adds a sample with `weight` in (0, 1]. The first sample counts in full.
    void add(duration elapsed, std::uint64_t sample_tokens, double weight, time_point now);

    /// Mean seconds per token; 0 without a sample.
    [[nodiscard]] double seconds_per_token() const noexcept
    {
        return tokens > 0 ? seconds / tokens : 0;
    }
};

/// State of an endpoint that endpoint policies may use.
struct endpoint_state {
    std::string name;
    std::uint32_t slots = 1;
    bool is_leaving = false;
    bool is_listed = false; ///< in the configuration; an unlisted endpoint may still run requests
    breaker_state breaker = breaker_state::closed;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t in_flight = 0;  ///< requests sent by this process that have not ended
    speed_average first_token;    ///< time to the first token
    speed_average whole_response; ///< time to the end of the response
};

/// State of the endpoints of one target in one failure domain, as known to one dispatch process.
/// An index denotes an endpoint for as long as the endpoint is listed or runs a request of this
/// process.
///
/// Thread safety: none. Each `now` passed to a member must not be earlier than the one before.
class endpoint_table {
public:
    /// Number of endpoints that a prefix prefers.
    static constexpr std::size_t affinity_count = 2;

    /// Indices of the endpoints that a prefix prefers, best first.
    using affinity = std::array<std::size_t, affinity_count>;

    /// No endpoint. Fills an affinity where there are too few endpoints.
    static constexpr std::size_t no_index = static_cast<std::size_t>(-1);

    explicit endpoint_table(endpoint_table_settings settings = {});

    /// @name configuration
    /// @{

    /// Replaces the list of endpoints. Endpoints of the former list that are missing get no new
    /// requests. An endpoint that stops leaving, is listed again, or is added to a table that
    /// already had endpoints begins a slow start. Computes the preferred endpoints of all prefix
    /// shards, O(n) each, and finds each endpoint by name, O(n): not for each request.
    void assign(std::span<const endpoint> endpoints, time_point now);

    /// Sets the number of live hosts of this failure domain, which share the slots of the
    /// endpoints. 0 counts as 1. O(n).
    void set_live_hosts(std::size_t count, time_point now);

    /// @}
    /// @name events
    /// Precondition: `index` came from this table. O(1) amortised where no other cost is given.
    /// @{

    /// Applies a load report; ignores one that describes an earlier time than the report in use.
    /// A report from after the end of the backoff closes a half-open breaker without a probe under
    /// way, so that an endpoint that gets no requests becomes live again, with a slow start. The
    /// counts of failures and openings are kept: if the next request fails, the breaker opens
    /// again, with a longer backoff up to `max_backoff`.
    void on_report(std::size_t index, const load_report& report, time_point now);

    /// A request was sent to the endpoint.
    void on_dispatch(std::size_t index, time_point now);

    /// The first token of the response to a request of `tokens` tokens came `elapsed` after its
    /// dispatch.
    void on_first_token(std::size_t index, duration elapsed, std::uint64_t tokens, time_point now);

    /// The response to a request of `tokens` tokens was complete `elapsed` after its dispatch.
    /// Closes a half-open breaker.
    void on_success(std::size_t index, duration elapsed, std::uint64_t tokens, time_point now);

    /// The endpoint failed the request. Opens the breaker after `failures_to_open` consecutive
    /// failures, or after any failure while it is half-open; `random` gives the jitter of the
    /// backoff.
    void on_failure(std::size_t index, time_point now, random_source& random);

    /// The request ended in a way that tells nothing about the endpoint.
    void on_cancelled(std::size_t index, time_point now);

    /// Turns breakers half-open whose backoff has ended, advances slow starts and recomputes the
    /// estimates. To be called about every 100 ms. O(n).
    void refresh(time_point now);

    /// @}
    /// @name element access
    /// @{

    [[nodiscard]] const endpoint_state& state(std::size_t index) const;

    /// Index of the endpoint called `name`, if the table has one. O(n).
    [[nodiscard]] std::optional<std::size_t> find(const std::string& name) const;

    /// Listed endpoints that are not leaving and whose breaker is not open.
    [[nodiscard]] std::span<const std::size_t> available() const noexcept { return m_available; }

    /// Available endpoints with a free slot for a request of this process.
    [[nodiscard]] std::span<const std::size_t> with_free_slot() const noexcept
    {
        return m_with_free_slot;
    }

    /// Number of available endpoints whose breaker is closed, which count as live. O(n).
    [[nodiscard]] std::size_t live_count() const;

    [[nodiscard]] bool is_available(std::size_t index) const;
    [[nodiscard]] bool has_free_slot(std::size_t index) const;

    /// Number of listed endpoints, whatever their state.
    [[nodiscard]] std::size_t listed_count() const noexcept { return m_listed; }

    /// Endpoints that the prefix prefers among those that are listed and not leaving, by rendezvous
    /// hashing. Precomputed for a fixed number of shards of the hash space. O(1).
    [[nodiscard]] const affinity& preferred(std::uint64_t prefix_hash) const;

    /// @}
    /// @name estimates
    /// @{

    /// Estimated number of requests at the endpoint: the reported number, plus the requests that
    /// this process has dispatched since, minus those that have ended since; at least the own
    /// requests in flight. Without a fresh report: own requests in flight times live hosts.
    [[nodiscard]] double estimated_load(std::size_t index) const;

    /// All slots of the endpoint, or fewer during a slow start. At least 1.
    [[nodiscard]] double usable_slots(std::size_t index) const;

    /// Mean of estimated load / usable slots over the available endpoints; 0 without any. O(1).
    [[nodiscard]] double mean_utilisation() const noexcept;

    /// Expected seconds to the first token of a request of `tokens` tokens, by the speed learned at
    /// this endpoint. A learned speed without new samples decays to the mean of all endpoints, so
    /// that an endpoint that was slow once is used again. The mean of all endpoints where this
    /// endpoint has no sample; 0 until a speed was learned.
    [[nodiscard]] double learned_first_token_seconds(std::size_t index, std::uint64_t tokens) const;

    /// As learned_first_token_seconds(), scaled by (1 + present load) / (1 + mean load at
    /// dispatches).
    [[nodiscard]] double first_token_seconds(std::size_t index, std::uint64_t tokens) const;

    /// As learned_first_token_seconds(), for the complete response.
    [[nodiscard]] double response_seconds(std::size_t index, std::uint64_t tokens) const;

    /// Expected seconds to the first token, by the moving average over the samples of all
    /// endpoints, in which those that served most recently weigh most; 0 until a speed was learned.
    [[nodiscard]] double mean_first_token_seconds(std::uint64_t tokens) const noexcept;

    /// As mean_first_token_seconds(), for the complete response.
    [[nodiscard]] double mean_response_seconds(std::uint64_t tokens) const noexcept;

    /// Lower bound of the expected seconds until an endpoint of typical speed accepts the request.
    /// Considers available endpoints with a closed breaker that are not in `excluded`; infinite if
    /// none of them is of typical speed. An endpoint contributes 0 if it has a free slot or had a
    /// dispatch or an end of a request within its mean response time, else the time since the last
    /// such event, since requests that take longer than usual are likely to take as long again; the
    /// least counts.
    /// Without `excluded`: O(1), as of the last refresh(), or 0 if a request has ended since. With
    /// `excluded`: O(n).
    [[nodiscard]] double typical_wait_seconds(std::span<const std::size_t> excluded = {}) const
    {
        return excluded.empty() ? m_typical_wait : compute_typical_wait(excluded);
    }

    /// Tokens per second that the available endpoints serve in this host's share of their usable
    /// slots; 0 until a speed was learned. O(n).
    [[nodiscard]] double tokens_per_second() const;

    /// @}

private:
    struct load_event {
        time_point time{};
        int change = 0; ///< 1: dispatch, -1: end
    };

    struct entry {
        endpoint_state state;
        std::uint64_t hash = 0;
        load_report report;
        std::optional<time_point> report_time; ///< time that the report describes
        std::deque<load_event> events;         ///< own dispatches and ends since `report_time`
        int change_since_report = 0;
        std::optional<time_point> slow_start_begin; ///< empty: no slow start
        time_point backoff_until{};
        std::uint32_t times_opened = 0;
        bool is_probing = false;
        time_point last_change{};                  ///< last own dispatch or end
        double mean_load = 0;                      ///< moving average of the load at dispatches
        double utilisation = 0;                    ///< its contribution to m_utilisation_sum
        std::size_t available_position = no_index; ///< position in m_available
        std::size_t free_slot_position = no_index; ///< position in m_with_free_slot
    };

    std::size_t add(const endpoint& listed);
    void update(std::size_t index);
    void end_request(std::size_t index);
    void record_change(entry& changed, int change);
    void close_breaker(entry& closed);
    void open_breaker(entry& opened, random_source& random);
    void rebuild_shards();
    [[nodiscard]] double compute_typical_wait(std::span<const std::size_t> excluded) const;
    [[nodiscard]] bool is_report_fresh(const entry& reported) const;
    [[nodiscard]] bool can_accept(const entry& item) const;
    [[nodiscard]] double load_of(const entry& item) const;
    [[nodiscard]] double slots_of(const entry& item) const;
    /// Learned seconds per token of `own`, decayed towards those of `all` by the age of its
    /// samples.
    [[nodiscard]] double decayed_seconds_per_token(const speed_average& own,
                                                   const speed_average& all) const;
    /// Adds `index` to `list` or removes it, as `is_member` demands, and updates its position.
    void update_list(std::vector<std::size_t>& list, std::size_t entry::*position_member,
                     std::size_t index, bool is_member);

    endpoint_table_settings m_settings;
    std::vector<entry> m_entries;
    std::vector<std::size_t> m_available;
    std::vector<std::size_t> m_with_free_slot;
    std::vector<affinity> m_shards;
    std::size_t m_listed = 0;
    std::size_t m_live_hosts = 1;
    double m_utilisation_sum = 0;
    speed_average m_first_token; // over all endpoints
    speed_average m_whole_response;
    double m_typical_wait = 0;
    time_point m_now{};
};

} // namespace hickorykeel
