#include "process/dispatch_actor.h"

#include "process/dispatch_worker.h"

#include <algorithm> // count_if, min
#include <random>    // random_device
#include <utility>   // move

namespace hickorykeel {
namespace detail {

using actor_t = caf::stateful_actor<dispatch_state>;

constexpr auto tick_interval = std::chrono::milliseconds{100};
constexpr std::uint64_t ticks_between_keepalives = 10;
constexpr std::uint64_t ticks_between_reports = 5;

std::string to_question(const received_message& received)
{
    return received.route + ' ' + std::to_string(received.message.correlation());
}

std::string to_request_id(const messenger& links, std::uint64_t job_id)
{
    return std::to_string(links.incarnation()) + '-' + std::to_string(job_id);
}

caf::actor take_worker(actor_t* self)
{
    auto& idle = self->state.idle_workers;
    if (idle.empty()) {
        return self->spawn<caf::detached + caf::linked>(dispatch_worker,
                                                        caf::actor_cast<caf::actor>(self));
    }
    caf::actor worker = idle.back();
    idle.pop_back();
    return worker;
}

// a request whose age cannot be bounded, or that is too old, must not begin
// model: at_most_once.pml, TOO_OLD on the step to queued
std::optional<refusal> check_age(const received_message& received)
{
    const link::dispatch_request& request = received.message.dispatch_request();
    const std::chrono::milliseconds limit{request.maximum_age_ms()};
    const bool is_known = received.maximum_age.has_value();
    const bool is_too_old = is_known && *received.maximum_age > limit;
    if (is_too_old || (!is_known && !request.idempotent())) {
        return refusal{refusal_code::deadline_exceeded,
                       ran_state::no,
                       "dispatch",
                       "",
                       is_known ? "the request came too late" : "the request's age is not known",
                       {}};
    }
    return std::nullopt;
}

void send_refusal(event_sender& events, const refusal& why)
{
    link::dispatch_event event;
    event.set_kind(link::dispatch_event::kind_failed);
    event.set_ran(false);
    event.set_error_code(std::string(to_kind(why.code).name));
    event.set_error_step(why.step);
    event.set_error_message(why.message);
    events.send(std::move(event));
}

void submit(actor_t* self, received_message& received, time_point arrived)
{
    dispatch_state& state = self->state;
    auto job = std::make_shared<dispatch_job>();
    job->events = std::make_unique<event_sender>(*state.links, received.route,
                                                 received.message.correlation());
    if (!state.in_force) {
        send_refusal(*job->events, {refusal_code::not_ready,
                                    ran_state::no,
                                    "dispatch",
                                    "",
                                    "no configuration is in force yet",
                                    {}});
        return;
    }
    if (const auto why = check_age(received)) {
        send_refusal(*job->events, *why);
        return;
    }
    job->request = std::move(*received.message.mutable_dispatch_request());
    job->id = state.next_job_id++;
    job->waiting_since = trace_span::clock::now();
    job->request_id = to_request_id(*state.links, job->id);
    job->deadline = arrived + std::chrono::milliseconds{job->request.deadline_ms()};
    const std::string question = to_question(received);
    state.jobs_by_question[question] = job->id;
    state.questions_by_job[job->id] = question;
    state.decisions->submit(job, boot_clock::now());
}

void answer_ping(actor_t* self, const received_message& received)
{
    dispatch_state& state = self->state;
    link::envelope answer;
    answer.set_correlation(received.message.correlation());
    link::pong& pong = *answer.mutable_pong();
    pong.set_leaving(state.is_leaving);
    if (state.in_force) {
        pong.set_configuration_revision(state.in_force->revision);
        for (link::target_load& load : state.decisions->loads()) {
            *pong.add_loads() = std::move(load);
        }
    }
    state.links->send_reply(received.route, std::move(answer));
}

void on_link_message(actor_t* self, dispatching::link_message& message)
{
    received_message& received = *message.received;
    if (received.message.has_dispatch_request()) {
        submit(self, received, message.arrived);
    }
    else if (received.message.has_dispatch_cancel()) {
        const auto found = self->state.jobs_by_question.find(to_question(received));
        if (found != self->state.jobs_by_question.end()) {
            self->state.decisions->cancel(found->second, boot_clock::now());
        }
    }
    else if (received.message.has_ping()) {
        answer_ping(self, received);
    }
}

// requests that the dispatcher has ended need not be found by their question any more
void forget_ended(dispatch_state& state)
{
    if (state.questions_by_job.size() == state.decisions->size()) {
        return;
    }
    for (auto it = state.questions_by_job.begin(); it != state.questions_by_job.end();) {
        if (state.decisions->is_known(it->first)) {
            ++it;
            continue;
        }
        state.jobs_by_question.erase(it->second);
        it = state.questions_by_job.erase(it);
    }
}

void ask_loads(actor_t* self)
{
    for (const dispatcher::observed_endpoint& each : self->state.decisions->observed()) {
        caf::anon_send(take_worker(self),
                       working::ask_load{each.target_name, each.where, self->state.tls});
    }
}

void begin_attempt(actor_t* self, dispatch_attempt&& attempt)
{
    dispatch_state& state = self->state;
    state.telemetry->on_taken(*attempt.job);
    attempt.observer = state.telemetry;
    attempt.call->set_tls(state.tls);
    caf::anon_send(take_worker(self), working::run{std::move(attempt)});
}

dispatching::description describe(const dispatch_state& state)
{
    dispatching::description described{state.decisions->size(), 0, state.is_leaving};
    for (const link::target_load& load : state.decisions->loads()) {
        described.waiting += load.queued();
    }
    return described;
}

void on_tick(actor_t* self)
{
    dispatch_state& state = self->state;
    ++state.ticks;
    state.decisions->tick(boot_clock::now());
    forget_ended(state);
    if (state.ticks % ticks_between_keepalives == 0) {
        state.decisions->send_keepalives();
    }
    if (state.ticks % ticks_between_reports == 0) {
        ask_loads(self);
        state.telemetry->set_state(state.decisions->loads(), state.decisions->endpoint_statuses());
    }
    self->delayed_send(self, tick_interval, dispatching::tick{});
}

std::size_t count_live(const host_list& listed, const std::string& failure_domain_name)
{
    return static_cast<std::size_t>(
        std::count_if(listed.hosts.begin(), listed.hosts.end(), [&](const host& each) {
            return each.failure_domain == failure_domain_name && each.state == host_state::live;
        }));
}

} // namespace detail

caf::behavior dispatch_actor(caf::stateful_actor<dispatch_state>* self,
                             dispatch_environment provided)
{
    dispatch_state& state = self->state;
    configuration_client* published = provided.published;
    state.failure_domain = provided.failure_domain;
    state.links = provided.links;
    state.published = published;
    state.telemetry = provided.telemetry;
    state.tls = std::move(provided.tls);
    state.decisions = std::make_unique<dispatcher>(
        std::move(provided.failure_domain),
        [self](dispatch_attempt attempt) { detail::begin_attempt(self, std::move(attempt)); },
        [published] { return published->current(); }, std::random_device{}());
    self->delayed_send(self, detail::tick_interval, dispatching::tick{});
    return {
        [self](dispatching::link_message& message) { detail::on_link_message(self, message); },
        [self](const dispatching::new_configuration& message) {
            self->state.in_force = message.in_force;
            self->state.decisions->apply(message.in_force, boot_clock::now());
        },
        [self](const dispatching::new_hosts& message) {
            self->state.decisions->set_live_hosts(
                detail::count_live(*message.listed, self->state.failure_domain), boot_clock::now());
        },
        [self](const dispatching::attempt_head& message) {
            self->state.decisions->on_head(message.job_id, boot_clock::now());
        },
        [self](const dispatching::attempt_end& message) {
            self->state.idle_workers.push_back(message.worker);
            self->state.decisions->on_result(message.job_id, message.result, boot_clock::now());
        },
        [self](const dispatching::endpoint_report& message) {
            self->state.idle_workers.push_back(message.worker);
            if (message.report) {
                self->state.decisions->on_report(message.target_name, message.endpoint_name,
                                                 *message.report, boot_clock::now());
            }
        },
        [self](const dispatching::tick&) { detail::on_tick(self); },
        [self](const dispatching::leave&) { self->state.is_leaving = true; },
        [self](const dispatching::describe&) { return detail::describe(self->state); },
    };
}

} // namespace hickorykeel
