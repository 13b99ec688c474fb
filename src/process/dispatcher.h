#pragma once

#include "process/dispatch_job.h"
#include "process/routing/random_source.h"
#include "process/routing/target_scheduler.h"
#include "version/configuration.h"

#include <cstdint>       // uint64_t
#include <functional>    // function
#include <map>           // map
#include <memory>        // shared_ptr
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace hickorykeel {

/// Queues of all targets in this failure domain, and what runs at their endpoints. Decides; the
/// actor around it moves the messages.
///
/// Thread safety: none; one owner.
class dispatcher {
public:
    /// Starts an attempt on a worker; the result comes back through `on_result`.
    using starter = std::function<void(dispatch_attempt)>;
    /// The configuration that is in force right now, for the check before an attempt begins. Called
    /// from workers.
    using configuration_source = std::function<configuration_ptr()>;

    dispatcher(std::string failure_domain, starter start, configuration_source in_force,
               std::uint64_t seed);

    /// @name published state
    /// @{

    /// Takes over the endpoints, and ends requests that are no longer allowed.
    void apply(const configuration_ptr& in_force, time_point now);

    /// Number of live hosts in this failure domain, which share the endpoints.
    void set_live_hosts(std::size_t count, time_point now);

    /// @}
    /// @name requests
    /// @{

    /// Takes a request in; one that cannot be served is refused through its event sender.
    void submit(const std::shared_ptr<dispatch_job>& job, time_point now);

    /// The caller has gone.
    void cancel(std::uint64_t job_id, time_point now);

    /// An attempt's answer has begun.
    void on_head(std::uint64_t job_id, time_point now);

    /// An attempt has ended.
    void on_result(std::uint64_t job_id, const attempt_result& result, time_point now);

    /// @}
    /// @name time and load
    /// @{

    void on_report(const std::string& target_name, const std::string& endpoint_name,
                   const load_report& report, time_point now);

    /// Call it each 100 ms or so: refuses what expired in a queue.
    void tick(time_point now);

    /// Sends a sign of life for each request.
    void send_keepalives();

    /// @}
    /// @name observers
    /// @{

    /// What each target can take, for heartbeats.
    [[nodiscard]] std::vector<link::target_load> loads() const;

    /// Endpoints whose load is to be asked for.
    struct observed_endpoint {
        std::string target_name;
        endpoint where;
    };
    [[nodiscard]] std::vector<observed_endpoint> observed() const;

    /// Circuit breaker of each listed endpoint.
    struct endpoint_status {
        std::string target_name;
        std::string endpoint_name;
        breaker_state breaker = breaker_state::closed;
        std::uint32_t in_flight = 0;
    };
    [[nodiscard]] std::vector<endpoint_status> endpoint_statuses() const;

    /// Requests queued or running.
    [[nodiscard]] std::size_t size() const noexcept { return m_jobs.size(); }

    /// Whether the request is queued or running.
    [[nodiscard]] bool is_known(std::uint64_t job_id) const { return m_jobs.contains(job_id); }

    /// @}

private:
    struct target_state {
        explicit target_state(std::uint64_t seed)
            : scheduler(std::make_unique<weigh_policy>(), seed)
        {
        }

        target_kind kind = target_kind::model;
        std::map<std::string, endpoint> endpoints;
        target_scheduler scheduler;
    };

    static void refuse(dispatch_job& job, refusal why);
    void refuse_and_forget(const std::shared_ptr<dispatch_job>& job, refusal why);
    [[nodiscard]] refusal refuse_unservable(const dispatch_job& job) const;
    target_state& state_of(const std::string& target_name);
    void enqueue(const std::shared_ptr<dispatch_job>& job, target_state& target, time_point now);
    void start_ready(target_state& target, time_point now);
    void apply_step(const schedule_result& step, target_state& target, time_point now);
    void start(const std::shared_ptr<dispatch_job>& job, std::size_t index, target_state& target,
               time_point now);
    [[nodiscard]] std::function<std::optional<refusal>()>
    make_last_check(const std::shared_ptr<dispatch_job>& job) const;
    static void account(target_state& target, const dispatch_job& job, const attempt_result& result,
                        time_point now);
    void finish(const std::shared_ptr<dispatch_job>& job, const attempt_result& result);
    [[nodiscard]] static bool may_try_again(target_state& target, const dispatch_job& job,
                                            const attempt_result& result, time_point now);

    const std::string m_failure_domain;
    const starter m_start;
    const configuration_source m_in_force;
    std::map<std::string, target_state> m_targets;
    std::unordered_map<std::uint64_t, std::shared_ptr<dispatch_job>> m_jobs;
    random_source m_random;
    std::size_t m_live_hosts = 1;
};

} // namespace hickorykeel
