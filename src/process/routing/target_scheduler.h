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

/// Request to be scheduled, with the properties that decide its endpoint.
struct scheduled_request {
    queued_request queued;          ///< its `deadline`: latest time to start the request
    time_point response_deadline{}; ///< latest time for the end of the response
    std::uint64_t prefix_hash = 0;  ///< 0: none
    bool is_idempotent = true;
    std::vector<std::size_t> excluded{}; ///< endpoints that already had the request
};

/// Requests that left the queue in one call. A request is in one of the lists only.
struct schedule_result {
    /// Request to be sent now; already counted as in flight at the endpoint.
    struct assignment {
        std::uint64_t id;
        std::size_t endpoint;
    };

    std::vector<assignment> started;    ///< in the order in which they were scheduled
    std::vector<std::uint64_t> expired; ///< the deadline passed before the request was started
    /// No endpoint is live, or none is available that may get the request.
    std::vector<std::uint64_t> unservable;
};

/// Assigns the requests of one target to its endpoints at one dispatch process. Combines the
/// request queue, the endpoint table, the endpoint policy and the retry budget.
///
/// Thread safety: none. Each `now` passed to a member must not be earlier than the one before.
class target_scheduler {
public:
    /// @param policy  picks the endpoints; not null
    /// @param seed    of the random choices
    target_scheduler(std::unique_ptr<endpoint_policy> policy, std::uint64_t seed);

    /// @name configuration and load reports
    /// @{

    /// As in endpoint_table.
    void assign(std::span<const endpoint> endpoints, time_point now);

    /// As in endpoint_table.
    void set_live_hosts(std::size_t count, time_point now);

    /// As in endpoint_table.
    void on_report(std::size_t endpoint, const load_report& report, time_point now);

    /// @}
    /// @name requests
    /// @{

    /// Counts a new request in the retry budget and checks its expected wait, by
    /// request_queue::tokens_ahead(), not by expected_wait().
    /// @return the expected wait if it would end after the deadline of the response, so that the
    ///         request is better refused now; else empty
    std::optional<duration> check_expected_wait(const scheduled_request& request, time_point now);

    /// Adds a request, new or to be retried, to the queue. It waits only if the result is `queued`.
    push_outcome push(scheduled_request request, time_point now);

    /// Removes a request whose caller has disconnected. Returns whether it was waiting.
    bool remove(std::uint64_t id);

    /// Starts the next requests while there are free slots. To be called after each push, end of a
    /// request and load report. O(log n + e) for each request that leaves the queue, for n waiting
    /// requests and e endpoints.
    schedule_result schedule(time_point now);

    /// Refreshes the endpoint table, starts requests, and empties the queue if no endpoint is live.
    /// To be called about every 100 ms.
    schedule_result tick(time_point now);

    /// Chooses an endpoint for a request that is not in the queue: for a hedge or where requests do
    /// not wait. Does not count the request as in flight: call on_dispatch() when it is sent.
    [[nodiscard]] endpoint_choice choose_endpoint(const scheduled_request& request,
                                                  choice_pool pool, time_point now);

    /// @}
    /// @name outcome of a request at its endpoint
    /// @{

    void on_dispatch(std::size_t endpoint, time_point now); ///< only after choose_endpoint()
    void on_first_token(std::size_t endpoint, duration elapsed, std::uint64_t tokens,
                        time_point now);
    void on_success(std::size_t endpoint, duration elapsed, std::uint64_t tokens, time_point now);
    void on_failure(std::size_t endpoint, time_point now);
    void on_cancelled(std::size_t endpoint, time_point now);

    /// Corrects the charge of a request to the tokens that it used instead of those it reserved.
    void settle(const queued_request& served, std::uint64_t used_tokens);

    /// Budget of retries and hedges.
    [[nodiscard]] retry_budget& budget() noexcept { return m_budget; }

    /// @}
    /// @name observers
    /// @{

    /// Time to serve the waiting requests of the class and of the class that precedes it; 0 until a
    /// speed was learned.
    [[nodiscard]] duration expected_wait(bool is_interactive) const;

    [[nodiscard]] const endpoint_table& table() const noexcept { return m_table; }
    [[nodiscard]] std::size_t queued_count() const noexcept { return m_queue.size(); }

    /// @}

private:
    void start_ready(schedule_result& result, time_point now);
    bool start_next(const std::optional<queued_request>& next, schedule_result& result,
                    time_point now);
    void take_expired(schedule_result& result, time_point now);
    void take_unservable(schedule_result& result, time_point now);
    [[nodiscard]] duration service_time(std::uint64_t tokens) const;

    std::unique_ptr<endpoint_policy> m_policy;
    random_source m_random;
    endpoint_table m_table;
    request_queue m_queue;
    retry_budget m_budget;
    std::unordered_map<std::uint64_t, scheduled_request> m_waiting;
};

} // namespace hickorykeel
