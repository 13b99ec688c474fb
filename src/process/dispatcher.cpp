#include "process/dispatcher.h"

#include "request/caller_request.h"
#include "request/residency.h"

#include <algorithm> // max, min
#include <utility>   // move

namespace hickorykeel {
namespace detail {

constexpr unsigned maximum_attempts = 3;

std::string to_queue_name(const link::dispatch_request& request)
{
    return request.organisation().empty() ? "open:" + request.profile() : request.organisation();
}

scheduled_request to_scheduled(const dispatch_job& job)
{
    scheduled_request scheduled;
    scheduled.queued.id = job.id;
    scheduled.queued.organisation = to_queue_name(job.request);
    scheduled.queued.tokens = std::max<std::uint64_t>(1, job.request.reserved_tokens());
    scheduled.queued.is_interactive = job.request.interactive();
    scheduled.queued.weight = job.weight;
    scheduled.queued.deadline = job.deadline;
    scheduled.response_deadline = job.deadline;
    scheduled.prefix_hash = job.request.prefix_hash();
    scheduled.is_idempotent = job.request.idempotent();
    scheduled.excluded = job.tried;
    return scheduled;
}

// an organisation's share of the endpoints follows its rate
double to_weight(const configuration& in_force, const link::dispatch_request& request)
{
    const auto found = in_force.organisations.find(request.organisation());
    return found == in_force.organisations.end() ? 1.0 : std::max(1.0, found->second.rate);
}

// where no breaker is closed, requests are needed that probe the half-open ones
std::uint32_t count_usable(const endpoint_table& table)
{
    const std::size_t live = table.live_count();
    return static_cast<std::uint32_t>(live > 0 ? live : table.available().size());
}

refusal refuse_late(const dispatch_job& job)
{
    return {refusal_code::deadline_exceeded,
            job.may_have_run ? ran_state::unknown : ran_state::no,
            "queue",
            "",
            "no endpoint became free in time",
            {}};
}

// the entry process filters by region before it chooses; a request that comes here all the same
// does not reach an endpoint
std::optional<refusal> check_residency(const configuration& in_force,
                                       const std::string& failure_domain_name,
                                       const dispatch_job& job)
{
    const auto matched = in_force.profiles.find(job.request.profile());
    const auto own = in_force.failure_domains.find(failure_domain_name);
    if (matched != in_force.profiles.end() && own != in_force.failure_domains.end() &&
        is_allowed_region(matched->second.regions, own->second.region)) {
        return std::nullopt;
    }
    return refusal{refusal_code::no_endpoint,
                   job.may_have_run ? ran_state::unknown : ran_state::no,
                   "residency",
                   failure_domain_name,
                   "the profile does not allow this region",
                   {}};
}

} // namespace detail

dispatcher::dispatcher(std::string failure_domain, starter start, configuration_source in_force,
                       std::uint64_t seed)
    : m_failure_domain(std::move(failure_domain)), m_start(std::move(start)),
      m_in_force(std::move(in_force)), m_random(seed)
{
}

void dispatcher::apply(const configuration_ptr& in_force, time_point now)
{
    for (const auto& [name, published] : in_force->targets) {
        target_state& target = state_of(name);
        target.kind = published.kind;
        target.endpoints.clear();
        std::vector<endpoint> own;
        for (const endpoint& each : published.endpoints) {
            if (each.failure_domain == m_failure_domain) {
                own.push_back(each);
                target.endpoints.emplace(each.name, each);
            }
        }
        target.scheduler.set_live_hosts(m_live_hosts, now);
        target.scheduler.assign(own, now);
    }
    for (auto& [name, target] : m_targets) {
        if (!in_force->targets.contains(name)) {
            target.endpoints.clear();
            target.scheduler.assign({}, now);
        }
    }
    const auto jobs = m_jobs; // ending one changes the map
    for (const auto& [id, job] : jobs) {
        const link::dispatch_request& request = job->request;
        auto why = check_still_allowed(*in_force, request.organisation(), request.key_digest(),
                                       request.profile(), request.target());
        if (why) {
            job->withdrawal = std::move(why);
            cancel(id, now);
        }
    }
    for (auto& [name, target] : m_targets) {
        start_ready(target, now);
    }
}

void dispatcher::set_live_hosts(std::size_t count, time_point now)
{
    m_live_hosts = std::max<std::size_t>(1, count);
    for (auto& [name, target] : m_targets) {
        target.scheduler.set_live_hosts(m_live_hosts, now);
    }
}

void dispatcher::submit(const std::shared_ptr<dispatch_job>& job, time_point now)
{
    const auto found = m_targets.find(job->request.target());
    if (found == m_targets.end() || found->second.endpoints.empty()) {
        refuse(*job, {refusal_code::no_endpoint,
                      ran_state::no,
                      "route",
                      m_failure_domain,
                      "no endpoint of the target in this failure domain",
                      {}});
        return;
    }
    target_state& target = found->second;
    const configuration_ptr in_force = m_in_force();
    if (auto why = detail::check_residency(*in_force, m_failure_domain, *job)) {
        refuse(*job, std::move(*why));
        return;
    }
    if (target.scheduler.table().available().empty()) {
        refuse(*job, refuse_unservable(*job));
        return;
    }
    job->weight = detail::to_weight(*in_force, job->request);
    if (const auto wait = target.scheduler.check_expected_wait(detail::to_scheduled(*job), now)) {
        refuse(*job, {refusal_code::overloaded, ran_state::no, "queue", m_failure_domain,
                      "the queue is longer than the deadline allows",
                      std::chrono::duration_cast<std::chrono::milliseconds>(*wait)});
        return;
    }
    m_jobs.emplace(job->id, job);
    enqueue(job, target, now);
    start_ready(target, now);
}

refusal dispatcher::refuse_unservable(const dispatch_job& job) const
{
    return {refusal_code::no_endpoint,
            job.may_have_run ? ran_state::unknown : ran_state::no,
            "route",
            m_failure_domain,
            "no endpoint is available",
            {}};
}

dispatcher::target_state& dispatcher::state_of(const std::string& target_name)
{
    const auto found = m_targets.find(target_name);
    return found != m_targets.end() ? found->second
                                    : m_targets.emplace(target_name, m_random()).first->second;
}

void dispatcher::enqueue(const std::shared_ptr<dispatch_job>& job, target_state& target,
                         time_point now)
{
    switch (target.scheduler.push(detail::to_scheduled(*job), now)) {
    case push_outcome::queued:
        return;
    case push_outcome::expired:
        refuse_and_forget(job, detail::refuse_late(*job));
        return;
    default:
        refuse_and_forget(
            job, {refusal_code::overloaded, job->may_have_run ? ran_state::unknown : ran_state::no,
                  "queue", m_failure_domain, "the queue is full", std::chrono::milliseconds{1000}});
        return;
    }
}

void dispatcher::start_ready(target_state& target, time_point now)
{
    apply_step(target.scheduler.schedule(now), target, now);
}

void dispatcher::apply_step(const schedule_result& step, target_state& target, time_point now)
{
    for (const std::uint64_t id : step.expired) {
        const std::shared_ptr<dispatch_job> job = m_jobs.at(id);
        refuse_and_forget(job, detail::refuse_late(*job));
    }
    for (const std::uint64_t id : step.unservable) {
        const std::shared_ptr<dispatch_job> job = m_jobs.at(id);
        refuse_and_forget(job, refuse_unservable(*job));
    }
    for (const schedule_result::assignment& each : step.started) {
        start(m_jobs.at(each.id), each.endpoint, target, now);
    }
}

void dispatcher::start(const std::shared_ptr<dispatch_job>& job, std::size_t index,
                       target_state& target, time_point now)
{
    const endpoint& where = target.endpoints.at(target.scheduler.table().state(index).name);
    job->tried.push_back(index);
    job->endpoint_index = index;
    job->endpoint_name = where.name;
    job->sent = now;
    job->call = std::make_shared<endpoint_call>(where, target.kind);
    dispatch_attempt attempt;
    attempt.job = job;
    attempt.call = job->call;
    attempt.endpoint_name = where.name;
    attempt.last_check = make_last_check(job);
    m_start(std::move(attempt));
}

// model: at_most_once.pml, the step from queued to checked
std::function<std::optional<refusal>()>
dispatcher::make_last_check(const std::shared_ptr<dispatch_job>& job) const
{
    // runs on a worker: reads only what does not change after the job was queued
    return [job, name = job->endpoint_name, domain = m_failure_domain,
            in_force = m_in_force]() -> std::optional<refusal> {
        const time_point now = boot_clock::now();
        if (now >= job->deadline) {
            return detail::refuse_late(*job);
        }
        const configuration_ptr current = in_force();
        const link::dispatch_request& request = job->request;
        if (auto why = check_still_allowed(*current, request.organisation(), request.key_digest(),
                                           request.profile(), request.target())) {
            return why;
        }
        if (auto why = detail::check_residency(*current, domain, *job)) {
            return why;
        }
        for (const endpoint& each : current->targets.at(request.target()).endpoints) {
            if (each.name == name && !each.is_leaving) {
                return std::nullopt;
            }
        }
        return refusal{
            refusal_code::no_endpoint, ran_state::no, "route", name, "the endpoint is leaving", {}};
    };
}

void dispatcher::cancel(std::uint64_t job_id, time_point now)
{
    const auto found = m_jobs.find(job_id);
    if (found == m_jobs.end()) {
        return;
    }
    const std::shared_ptr<dispatch_job> job = found->second;
    job->is_cancelled = true;
    if (job->call) {
        // the worker's result ends the job
        job->call->cancel();
        return;
    }
    m_targets.at(job->request.target()).scheduler.remove(job_id);
    refuse_and_forget(job, job->withdrawal.value_or(detail::refuse_late(*job)));
    static_cast<void>(now);
}

void dispatcher::on_head(std::uint64_t job_id, time_point now)
{
    const auto found = m_jobs.find(job_id);
    if (found != m_jobs.end()) {
        const dispatch_job& job = *found->second;
        m_targets.at(job.request.target())
            .scheduler.on_first_token(job.endpoint_index, now - job.sent,
                                      std::max<std::uint64_t>(1, job.request.reserved_tokens()),
                                      now);
    }
}

void dispatcher::on_result(std::uint64_t job_id, const attempt_result& result, time_point now)
{
    const auto found = m_jobs.find(job_id);
    if (found == m_jobs.end()) {
        return;
    }
    const std::shared_ptr<dispatch_job> job = found->second;
    target_state& target = m_targets.at(job->request.target());
    job->call.reset();
    account(target, *job, result, now);
    if (result.outcome != attempt_result::outcome_t::whole &&
        may_try_again(target, *job, result, now)) {
        job->may_have_run = job->may_have_run || result.why.ran == ran_state::unknown;
        enqueue(job, target, now);
    }
    else {
        finish(job, result);
    }
    start_ready(target, now);
}

void dispatcher::account(target_state& target, const dispatch_job& job,
                         const attempt_result& result, time_point now)
{
    if (result.outcome == attempt_result::outcome_t::whole) {
        target.scheduler.on_success(job.endpoint_index, now - job.sent,
                                    std::max<std::uint64_t>(1, result.used_tokens), now);
        if (result.used_tokens > 0) {
            target.scheduler.settle(detail::to_scheduled(job).queued, result.used_tokens);
        }
    }
    else if (job.is_cancelled || !result.is_endpoint_at_fault) {
        target.scheduler.on_cancelled(job.endpoint_index, now);
    }
    else {
        target.scheduler.on_failure(job.endpoint_index, now);
    }
}

void dispatcher::finish(const std::shared_ptr<dispatch_job>& job, const attempt_result& result)
{
    if (result.outcome == attempt_result::outcome_t::whole) {
        // the attempt has sent the end
        m_jobs.erase(job->id);
        return;
    }
    refusal why = result.why;
    if (job->withdrawal) {
        // the cancelled call only knows that its connection ended
        why = *job->withdrawal;
        why.ran = result.why.ran;
    }
    refuse_and_forget(job, std::move(why));
}

bool dispatcher::may_try_again(target_state& target, const dispatch_job& job,
                               const attempt_result& result, time_point now)
{
    return !job.is_cancelled && !result.has_head &&
           may_retry(result.why.ran, job.request.idempotent()) &&
           job.tried.size() < detail::maximum_attempts && now < job.deadline &&
           target.scheduler.budget().try_take();
}

void dispatcher::refuse(dispatch_job& job, refusal why)
{
    link::dispatch_event event;
    event.set_kind(link::dispatch_event::kind_failed);
    event.set_ran(why.ran == ran_state::unknown || job.may_have_run);
    event.set_error_code(std::string(to_kind(why.code).name));
    event.set_error_step(why.step);
    event.set_error_message(why.message);
    event.set_endpoint(why.peer);
    event.set_retry_after_ms(static_cast<std::uint32_t>(why.retry_after.count()));
    job.events->send(std::move(event));
}

void dispatcher::refuse_and_forget(const std::shared_ptr<dispatch_job>& job, refusal why)
{
    refuse(*job, std::move(why));
    m_jobs.erase(job->id);
}

void dispatcher::on_report(const std::string& target_name, const std::string& endpoint_name,
                           const load_report& report, time_point now)
{
    const auto found = m_targets.find(target_name);
    if (found == m_targets.end()) {
        return;
    }
    if (const auto index = found->second.scheduler.table().find(endpoint_name)) {
        found->second.scheduler.on_report(*index, report, now);
        start_ready(found->second, now);
    }
}

void dispatcher::tick(time_point now)
{
    for (auto& [name, target] : m_targets) {
        apply_step(target.scheduler.tick(now), target, now);
    }
}

void dispatcher::send_keepalives()
{
    for (const auto& [id, job] : m_jobs) {
        job->events->send_keepalive();
    }
}

std::vector<link::target_load> dispatcher::loads() const
{
    std::vector<link::target_load> all;
    for (const auto& [name, target] : m_targets) {
        link::target_load& load = all.emplace_back();
        const endpoint_table& table = target.scheduler.table();
        std::uint32_t running = 0;
        std::uint32_t slots = 0;
        for (const std::size_t index : table.available()) {
            running += table.state(index).in_flight;
            slots += table.state(index).slots;
        }
        load.set_target(name);
        load.set_live_endpoints(detail::count_usable(table));
        load.set_running(running);
        load.set_queued(static_cast<std::uint32_t>(target.scheduler.queued_count()));
        load.set_slots(slots);
        load.set_wait_seconds(to_seconds(target.scheduler.expected_wait(true)));
        load.set_batch_wait_seconds(to_seconds(target.scheduler.expected_wait(false)));
    }
    return all;
}

std::vector<dispatcher::endpoint_status> dispatcher::endpoint_statuses() const
{
    std::vector<endpoint_status> all;
    for (const auto& [name, target] : m_targets) {
        for (const auto& [endpoint_name, where] : target.endpoints) {
            if (const auto index = target.scheduler.table().find(endpoint_name)) {
                const endpoint_state& state = target.scheduler.table().state(*index);
                all.push_back({name, endpoint_name, state.breaker, state.in_flight});
            }
        }
    }
    return all;
}

std::vector<dispatcher::observed_endpoint> dispatcher::observed() const
{
    std::vector<observed_endpoint> all;
    for (const auto& [name, target] : m_targets) {
        for (const auto& [endpoint_name, where] : target.endpoints) {
            all.push_back({name, where});
        }
    }
    return all;
}

} // namespace hickorykeel
