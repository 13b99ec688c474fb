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

/// What an endpoint says about its load. It lags behind by `age`.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0; ///< 0: not said
    duration age{0};
};

/// State of a circuit breaker: `open` takes nothing, `half_open` one probe at a time.
enum class breaker_state { closed, open, half_open };

/// Times and weights of an endpoint table.
struct endpoint_table_settings {
    std::uint32_t failures_to_open = 3;             ///< consecutive
    duration open_minimum{std::chrono::seconds{1}}; ///< first time that a breaker stays open
    duration open_maximum{std::chrono::seconds{30}};
    duration slow_start{std::chrono::seconds{10}};   ///< slots grow over this after a return
    duration report_expiry{std::chrono::seconds{5}}; ///< older reports are not used
    duration speed_memory{
        std::chrono::seconds{20}}; ///< a learned speed fades to the mean over this
    double sample_weight = 0.1;    ///< of a new sample in a moving average
    double usual_factor = 1.5;     ///< times the usual time to the first token that is still usual
};

/// Moving averages of a time and of the tokens that it was spent on. Their quotient weighs each
/// sample by its size, so that a short request's fixed cost does not spoil the speed of long ones.
struct speed_average {
    double seconds = 0;
    double tokens = 0;
    time_point sampled{};

    /// Adds a sample with `weight` in (0, 1].
    void add(duration elapsed, std::uint64_t spent_tokens, double weight, time_point now);

    /// Seconds for a token; 0 where there was no sample.
    [[nodiscard]] double per_token() const noexcept { return tokens > 0 ? seconds / tokens : 0; }
};

/// What a choice sees of an endpoint.
struct endpoint_state {
    std::string name;
    std::uint32_t slots = 1;
    bool is_leaving = false;
    bool is_listed = false; ///< in the configuration; an unlisted one may still run requests
    breaker_state breaker = breaker_state::closed;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t in_flight = 0; ///< sent by this process and not ended
    speed_average first_token;
    speed_average whole_answer;
};

/// State of the endpoints of one target in one failure domain, as one dispatch process sees them.
/// An index names an endpoint for as long as it is listed or runs a request of this process.
///
/// Thread safety: none; one owner. All members that take `now` expect it not to go backwards.
class endpoint_table {
public:
    /// Endpoints that a prefix prefers, best first.
    static constexpr std::size_t affinity_count = 2;
    using affinity = std::array<std::size_t, affinity_count>;

    /// Stands in an affinity where there are too few endpoints.
    static constexpr std::size_t no_index = static_cast<std::size_t>(-1);

    explicit endpoint_table(endpoint_table_settings settings = {});

    /// @name configuration
    /// @{

    /// Takes over the listed endpoints. Those of an earlier list that are missing get no new
    /// requests. One that returns, or is added to a table in use, starts slowly. O(n) for each of
    /// the prefix shards; not on a request's path.
    void assign(std::span<const endpoint> endpoints, time_point now);

    /// Number of live hosts of this failure domain, which share the endpoints' slots. At least 1.
    void set_live_hosts(std::size_t count, time_point now);

    /// @}
    /// @name events
    /// Precondition: the index came from this table. O(1) amortised.
    /// @{

    /// Takes over a report. One from an endpoint that is half-open and not being probed closes its
    /// breaker, so that an endpoint without requests comes back; it opens at the next failure.
    void on_report(std::size_t index, const load_report& report, time_point now);
    void on_dispatch(std::size_t index, time_point now);

    /// The first token came `elapsed` after the dispatch of a request of `tokens` tokens.
    void on_first_token(std::size_t index, duration elapsed, std::uint64_t tokens, time_point now);

    /// The whole answer came `elapsed` after the dispatch.
    void on_success(std::size_t index, duration elapsed, std::uint64_t tokens, time_point now);

    /// The endpoint failed the request. `random` spreads the time that the breaker stays open.
    void on_failure(std::size_t index, time_point now, random_source& random);

    /// The request ended without saying anything about the endpoint.
    void on_cancelled(std::size_t index, time_point now);

    /// Lets time pass: breakers half-open and slow starts go on. O(n); call it each 100 ms or so.
    void refresh(time_point now);

    /// @}
    /// @name element access
    /// @{

    [[nodiscard]] const endpoint_state& state(std::size_t index) const;
    [[nodiscard]] std::optional<std::size_t> find(const std::string& name) const; ///< O(n)

    /// Listed endpoints that are not leaving and whose breaker is not open.
    [[nodiscard]] std::span<const std::size_t> available() const noexcept { return m_available; }

    /// Available endpoints that may take one more request of this process.
    [[nodiscard]] std::span<const std::size_t> with_free_slot() const noexcept
    {
        return m_with_free_slot;
    }

    /// Available endpoints whose breaker is closed: what a failure domain counts as live. O(n).
    [[nodiscard]] std::size_t live_count() const;

    [[nodiscard]] bool is_available(std::size_t index) const;
    [[nodiscard]] bool has_free_slot(std::size_t index) const;

    /// Number of listed endpoints, whatever their state.
    [[nodiscard]] std::size_t listed_count() const noexcept { return m_listed; }

    /// Endpoints that a prefix prefers among the listed ones that are not leaving: rendezvous
    /// hashing, computed ahead for a fixed number of shards of the hash space.
    [[nodiscard]] const affinity& preferred(std::uint64_t prefix_hash) const;

    /// @}
    /// @name estimates
    /// @{

    /// Requests at the endpoint: its report, plus own dispatches since then, minus own ends; never
    /// below the own requests in flight. Without a fresh report: own in flight times live hosts.
    [[nodiscard]] double estimated_load(std::size_t index) const;

    /// Slots that count now: all, or fewer during a slow start. At least 1.
    [[nodiscard]] double usable_slots(std::size_t index) const;

    /// Estimated load over usable slots, mean of the available endpoints. O(1).
    [[nodiscard]] double mean_utilisation() const noexcept;

    /// Seconds to the first token of a request of `tokens` tokens, as learned at this endpoint; a
    /// learned speed that gets no sample fades towards the mean of all, so that an endpoint that
    /// was slow once is tried again.
    [[nodiscard]] double learned_first_token_seconds(std::size_t index, std::uint64_t tokens) const;

    /// The same at the load that the endpoint has now.
    [[nodiscard]] double first_token_seconds(std::size_t index, std::uint64_t tokens) const;

    /// As `learned_first_token_seconds()`, for the whole answer.
    [[nodiscard]] double answer_seconds(std::size_t index, std::uint64_t tokens) const;

    /// The same at the endpoints that served most lately; 0 until a speed was learned.
    [[nodiscard]] double usual_first_token_seconds(std::uint64_t tokens) const noexcept;
    [[nodiscard]] double usual_answer_seconds(std::uint64_t tokens) const noexcept;

    /// Seconds that a request must be expected to wait at least for an endpoint about as fast as
    /// usual that isn't among `excluded`, as of the last refresh: 0 where one has room or ended a
    /// request within its mean answer, else for how long none of them did, since what has taken
    /// longer than usual is likely to take as long again; infinite where there is none. O(1)
    /// without `excluded`, else O(n).
    [[nodiscard]] double usual_wait_seconds(std::span<const std::size_t> excluded = {}) const
    {
        return excluded.empty() ? m_usual_wait : find_usual_wait(excluded);
    }

    /// Tokens a second that this host's part of the slots of the available endpoints serves; 0
    /// until a speed was learned. O(n).
    [[nodiscard]] double tokens_per_second() const;

    /// @}

private:
    struct load_event {
        time_point moment{};
        int change = 0;
    };

    struct entry {
        endpoint_state state;
        std::uint64_t hash = 0;
        load_report report;
        std::optional<time_point> reported; ///< moment that the report describes
        std::deque<load_event> events;      ///< own dispatches and ends since `reported`
        int change_since_report = 0;
        std::optional<time_point> returned; ///< start of the slow start
        time_point open_until{};
        std::uint32_t times_opened = 0;
        bool is_probing = false;
        time_point changed{};                      ///< last own dispatch or end
        double usual_load = 0;                     ///< moving average at dispatches
        double utilisation = 0;                    ///< its part of m_utilisation_sum
        std::size_t available_position = no_index; ///< place in m_available
        std::size_t free_slot_position = no_index; ///< place in m_with_free_slot
    };

    std::size_t add(const endpoint& listed);
    void update(std::size_t index);
    void end_request(std::size_t index);
    void note_change(entry& changed, int change);
    void close_breaker(entry& closed);
    void open_breaker(entry& opened, random_source& random);
    void rebuild_shards();
    [[nodiscard]] double find_usual_wait(std::span<const std::size_t> excluded) const;
    [[nodiscard]] bool is_report_fresh(const entry& reported) const;
    [[nodiscard]] bool may_take(const entry& asked) const;
    [[nodiscard]] double load_of(const entry& asked) const;
    [[nodiscard]] double slots_of(const entry& asked) const;
    [[nodiscard]] double faded(const speed_average& own, const speed_average& all) const;
    void place(std::vector<std::size_t>& list, std::size_t entry::*at, std::size_t index,
               bool belongs);

    endpoint_table_settings m_settings;
    std::vector<entry> m_entries;
    std::vector<std::size_t> m_available;
    std::vector<std::size_t> m_with_free_slot;
    std::vector<affinity> m_shards;
    std::size_t m_listed = 0;
    std::size_t m_live_hosts = 1;
    double m_utilisation_sum = 0;
    speed_average m_first_token; // of all endpoints
    speed_average m_whole_answer;
    double m_usual_wait = 0;
    time_point m_now{};
};

} // namespace hickorykeel
