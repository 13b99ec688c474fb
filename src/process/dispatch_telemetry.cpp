#include "process/dispatch_telemetry.h"

#include <array>       // array
#include <chrono>      // duration, duration_cast
#include <string_view> // string_view
#include <utility>     // move

namespace hickorykeel {

namespace detail {
namespace {

struct breaker_name {
    breaker_state state;
    std::string_view name;
};

constexpr std::array breaker_names{
    breaker_name{breaker_state::closed, "closed"},
    breaker_name{breaker_state::open, "open"},
    breaker_name{breaker_state::half_open, "half_open"},
};

std::string_view to_outcome(const attempt_result& result)
{
    switch (result.outcome) {
    case attempt_result::outcome_t::whole:
        return "ok";
    case attempt_result::outcome_t::refused_by_check:
        return "refused_by_check";
    default:
        return to_kind(result.why.code).name;
    }
}

} // namespace
} // namespace detail

dispatch_telemetry::dispatch_telemetry(metrics& registry, trace_exporter::options spans)
    : m_queued(registry.gauges("hickorykeel_queue_length", "Requests that wait", {"target"})),
      m_wait(registry.gauges("hickorykeel_queue_expected_wait_seconds",
                             "Expected wait of a new interactive request", {"target"})),
      m_running(registry.gauges("hickorykeel_target_requests_running",
                                "Requests at available endpoints", {"target"})),
      m_live(registry.gauges("hickorykeel_target_live_endpoints", "Endpoints that can be used",
                             {"target"})),
      m_breakers(registry.gauges("hickorykeel_endpoint_breaker",
                                 "1 for the state that the endpoint's circuit breaker is in",
                                 {"target", "endpoint", "state"})),
      m_in_flight(registry.gauges("hickorykeel_endpoint_requests_running",
                                  "Requests of this process at the endpoint",
                                  {"target", "endpoint"})),
      m_attempts(registry.counters("hickorykeel_attempts_total", "Calls of endpoints that ended",
                                   {"target", "outcome"})),
      m_waited(registry.histograms("hickorykeel_queue_wait_seconds", "Time in the queue",
                                   time_buckets(), {"target"}))
{
    if (!spans.address.empty()) {
        m_spans = std::make_unique<trace_exporter>(std::move(spans));
    }
}

void dispatch_telemetry::on_taken(const dispatch_job& job)
{
    const auto now = trace_span::clock::now();
    const std::chrono::duration<double> waited = now - job.waiting_since;
    m_waited.with({job.request.target()}).Observe(waited.count());
    if (m_spans) {
        add_queue_span(job, now);
    }
}

void dispatch_telemetry::add_queue_span(const dispatch_job& job, trace_span::clock::time_point now)
{
    const span_place place = to_span_place(job.request.traceparent());
    trace_span span{span_name{"queue"}, span_side::internal, place.context, place.parent,
                    job.waiting_since};
    span.set(span_attribute::target, job.request.target());
    const auto waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - job.waiting_since);
    span.set(span_attribute::waited_ms, static_cast<std::int64_t>(waited.count()));
    span.end(now, span_status::ok);
    m_spans->add(std::move(span));
}

void dispatch_telemetry::set_state(const std::vector<link::target_load>& loads,
                                   const std::vector<dispatcher::endpoint_status>& endpoints)
{
    for (const link::target_load& load : loads) {
        m_queued.with({load.target()}).Set(load.queued());
        m_wait.with({load.target()}).Set(load.wait_seconds());
        m_running.with({load.target()}).Set(load.running());
        m_live.with({load.target()}).Set(load.live_endpoints());
    }
    forget_unlisted(endpoints);
    for (const dispatcher::endpoint_status& each : endpoints) {
        m_in_flight.with({each.target_name, each.endpoint_name}).Set(each.in_flight);
        for (const auto& [state, name] : detail::breaker_names) {
            m_breakers.with({each.target_name, each.endpoint_name, name})
                .Set(each.breaker == state ? 1 : 0);
        }
    }
}

void dispatch_telemetry::forget_unlisted(const std::vector<dispatcher::endpoint_status>& endpoints)
{
    std::set<std::pair<std::string, std::string>> listed;
    for (const dispatcher::endpoint_status& each : endpoints) {
        listed.emplace(each.target_name, each.endpoint_name);
    }
    for (const auto& [target_name, endpoint_name] : m_shown) {
        if (listed.contains({target_name, endpoint_name})) {
            continue;
        }
        m_in_flight.with({target_name, endpoint_name}).Set(0);
        for (const detail::breaker_name& each : detail::breaker_names) {
            m_breakers.with({target_name, endpoint_name, each.name}).Set(0);
        }
    }
    m_shown = std::move(listed);
}

span_place dispatch_telemetry::begin_call(const dispatch_job& job) const
{
    const std::string& above = job.request.traceparent();
    if (m_spans) {
        return to_span_place(above);
    }
    // no span of this process is told: the endpoint's is below the entry's
    return {from_traceparent(above).value_or(trace_context{}), {}};
}

void dispatch_telemetry::end_call(const dispatch_attempt& attempt, const span_place& place,
                                  trace_span::clock::time_point begun, const attempt_result& result)
{
    const std::string& target_name = attempt.job->request.target();
    m_attempts.with({target_name, detail::to_outcome(result)}).Increment();
    if (!m_spans) {
        return;
    }
    trace_span span{span_name{"endpoint call"}, span_side::client, place.context, place.parent,
                    begun};
    span.set(span_attribute::target, target_name);
    span.set(span_attribute::endpoint, attempt.endpoint_name);
    const bool is_whole = result.outcome == attempt_result::outcome_t::whole;
    if (is_whole) {
        span.set(span_attribute::tokens_used, static_cast<std::int64_t>(result.used_tokens));
    }
    else {
        span.set(span_attribute::refusal, to_kind(result.why.code).name);
        span.set(span_attribute::ran, to_name(result.why.ran));
    }
    if (result.status != 0) {
        span.set(span_attribute::http_status, std::int64_t{result.status});
    }
    span.end(trace_span::clock::now(), is_whole ? span_status::ok : span_status::error);
    m_spans->add(std::move(span));
}

} // namespace hickorykeel
