#pragma once

#include "process/clock.h"
#include "process/routing/endpoint_choice.h"
#include "process/routing/endpoint_table.h"
#include "process/routing/random_source.h"
#include "process/routing/request_queue.h"
#include "process/routing/retry_budget.h"

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <memory>        // unique_ptr
#include <optional>      // optional
#include <span>          // span
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace hickorykeel {

/// A request as the scheduling of its target sees it.
struct scheduled_request {
    queued_request queued;          ///< `deadline`: when it must have begun
    time_point response_deadline{}; ///< when its answer must have ended
    std::uint64_t prefix_hash = 0;  ///< 0: none
    bool is_idempotent = true;
    std::vector<std::size_t> excluded{}; ///< endpoints that already had it
};

/// What a step of the scheduling decided. A request is in one list at most, and waits no longer.
struct schedule_result {
    /// To be sent now; already counted as in flight at the endpoint.
    struct assignment {
        std::uint64_t id;
        std::size_t endpoint;
    };

    std::vector<assignment> started;       ///< in the order of their turns
    std::vector<std::uint64_t> expired;    ///< no endpoint became free in time
    std::vector<std::uint64_t> unservable; ///< no endpoint is live, or each available one had it
};

/// Which request goes to which endpoint of one target at one dispatch process: queue, endpoint
/// table, policy and retry budget.
///
/// Thread safety: none; one owner. All members that take `now` expect it not to go backwards.
class target_scheduler {
public:
    /// @param seed  of the random choices
    target_scheduler(std::unique_ptr<endpoint_policy> policy, std::uint64_t seed);

    /// @name published state and reports
    /// @{

    void assign(std::span<const endpoint> endpoints, time_point now);
    void set_live_hosts(std::size_t count, time_point now);
    void on_report(std::size_t endpoint, const load_report& report, time_point now);

    /// @}
    /// @name requests
    /// @{

    /// A request came in for the first time.
    /// @return the expected wait where it cannot end in time, so that it is better refused now
    std::optional<duration> check_expected_wait(const scheduled_request& asked, time_point now);

    /// Lets a request wait, also one that is tried again. Only `queued` is taken in.
    push_outcome push(scheduled_request asked, time_point now);

    /// Removes a request whose caller went away. Returns whether it waited.
    bool remove(std::uint64_t id);

    /// Takes the requests whose turn it is while there is room. Call it after each push, end and
    /// report. O(log n) for each request taken.
    schedule_result schedule(time_point now);

    /// Lets time pass, and empties the queue where no endpoint is live. Call it each 100 ms or so.
    schedule_result tick(time_point now);

    /// Chooses an endpoint out of turn, for a hedge or without a queue. Counts nothing.
    [[nodiscard]] endpoint_choice choose_endpoint(const scheduled_request& asked, choice_pool pool,
                                                  time_point now);

    /// @}
    /// @name what became of a request at its endpoint
    /// @{

    void on_dispatch(std::size_t endpoint, time_point now); ///< after choose_endpoint only
    void on_first_token(std::size_t endpoint, duration elapsed, std::uint64_t tokens,
                        time_point now);
    void on_success(std::size_t endpoint, duration elapsed, std::uint64_t tokens, time_point now);
    void on_failure(std::size_t endpoint, time_point now);
    void on_cancelled(std::size_t endpoint, time_point now);

    /// Corrects the charge of a request that used other than its reserved tokens.
    void settle(const queued_request& served, std::uint64_t used_tokens);

    /// Retries and hedges are taken out of it.
    [[nodiscard]] retry_budget& budget() noexcept { return m_budget; }

    /// @}
    /// @name observers
    /// @{

    /// Time to serve all that waits before a new request of the class.
    [[nodiscard]] duration expected_wait(bool is_interactive) const;

    [[nodiscard]] const endpoint_table& table() const noexcept { return m_table; }
    [[nodiscard]] std::size_t queued_count() const noexcept { return m_queue.size(); }

    /// @}

private:
    void start_ready(schedule_result& step, time_point now);
    bool start_next(const std::optional<queued_request>& next, schedule_result& step,
                    time_point now);
    void take_expired(schedule_result& step, time_point now);
    void take_unservable(schedule_result& step, time_point now);
    [[nodiscard]] duration time_for(std::uint64_t tokens) const;

    std::unique_ptr<endpoint_policy> m_policy;
    random_source m_random;
    endpoint_table m_table;
    request_queue m_queue;
    retry_budget m_budget;
    std::unordered_map<std::uint64_t, scheduled_request> m_waiting;
};

} // namespace hickorykeel
