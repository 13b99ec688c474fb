#include "process/dispatch_job.h"

#include "connection/response_events.h"

#include <algorithm> // max
#include <utility>   // move

namespace hickorykeel {
namespace detail {

constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

// answers that say that another endpoint may do better
bool is_retryable_status(int status)
{
    return status == too_many_requests || status == bad_gateway || status == service_unavailable ||
           status == gateway_timeout;
}

refusal to_refusal(const endpoint_call::failed& failure, time_point deadline)
{
    const bool is_late = boot_clock::now() >= deadline;
    return {is_late ? refusal_code::deadline_exceeded : refusal_code::endpoint_failed,
            failure.may_have_run ? ran_state::unknown : ran_state::no,
            failure.why.step,
            failure.why.peer,
            failure.why.message,
            {}};
}

} // namespace detail

namespace {

attempt_result call_endpoint(const dispatch_attempt& attempt, const std::string& traceparent,
                             response_events& answer)
{
    attempt_result result;
    dispatch_job& job = *attempt.job;
    if (auto refused = attempt.last_check()) {
        result.outcome = attempt_result::outcome_t::refused_by_check;
        result.why = *refused;
        result.is_endpoint_at_fault = false;
        return result;
    }
    const auto budget =
        std::chrono::duration_cast<std::chrono::milliseconds>(job.deadline - boot_clock::now());
    bool is_turned_away = false;
    const auto outcome = attempt.call->run(
        job.request, {job.request_id, traceparent}, std::max(budget, std::chrono::milliseconds{1}),
        [&](int status, const std::vector<link::header>& headers) {
            if (job.request.idempotent() && detail::is_retryable_status(status)) {
                is_turned_away = true;
                return false;
            }
            result.has_head = true;
            result.status = status;
            answer.on_head(status, headers);
            attempt.on_head();
            return true;
        },
        [&](const char* bytes, std::size_t size) {
            answer.on_data({bytes, size});
            return true;
        });
    if (const auto* whole = std::get_if<endpoint_call::completed>(&outcome)) {
        result.outcome = attempt_result::outcome_t::whole;
        result.used_tokens = whole->used_tokens;
        return result;
    }
    answer.flush();
    result.why = detail::to_refusal(std::get<endpoint_call::failed>(outcome), job.deadline);
    if (is_turned_away) {
        result.why.message = "the endpoint turned the request away";
        result.why.code = refusal_code::overloaded;
    }
    return result;
}

attempt_result observe_call(const dispatch_attempt& attempt, response_events& answer)
{
    if (attempt.observer == nullptr) {
        return call_endpoint(attempt, attempt.job->request.traceparent(), answer);
    }
    const auto begun = trace_span::clock::now();
    const span_place place = attempt.observer->begin_call(*attempt.job);
    const bool is_traced = place.context != trace_context{};
    attempt_result result =
        call_endpoint(attempt, is_traced ? to_traceparent(place.context) : std::string{}, answer);
    attempt.observer->end_call(attempt, place, begun, result);
    return result;
}

} // namespace

attempt_result run_attempt(const dispatch_attempt& attempt)
{
    const dispatch_job& job = *attempt.job;
    response_events answer{*job.events, attempt.endpoint_name, job.request.takes_whole()};
    attempt_result result = observe_call(attempt, answer);
    // sent from here, as the owner of the job has nothing to decide after a whole answer
    if (result.outcome == attempt_result::outcome_t::whole) {
        answer.on_end(result.used_tokens);
    }
    return result;
}

} // namespace hickorykeel
