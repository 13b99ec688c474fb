#include "process/request_record.h"

#include "process/span_place.h"

#include <utility> // move

namespace hickorykeel {

namespace detail {
namespace {

// label of requests whose profile is not published: its text is the caller's
constexpr std::string_view no_profile = "none";

constexpr std::string_view outcome_whole = "ok";
constexpr std::string_view outcome_repeat = "repeat";

// the caller went before the end
constexpr std::string_view outcome_abandoned = "abandoned";

} // namespace
} // namespace detail

entry_metrics::entry_metrics(metrics& registry)
    : requests(registry.counters("hickorykeel_requests_total", "Requests that ended",
                                 {"profile", "outcome"})),
      first_byte(registry.histograms("hickorykeel_first_byte_seconds",
                                     "Time to the first byte of an answer", time_buckets(),
                                     {"profile"})),
      whole_answer(registry.histograms("hickorykeel_answer_seconds", "Time to the whole answer",
                                       time_buckets(), {"profile"})),
      streams(registry.gauges("hickorykeel_streams_under_way", "Streamed answers under way")),
      retries(registry.counters("hickorykeel_retries_total",
                                "Further dispatch processes that requests were handed to")),
      refused_reservations(registry.counters("hickorykeel_reservations_refused_total",
                                             "Requests refused by the limits", {"profile"})),
      tokens(registry.counters("hickorykeel_tokens_total", "Tokens of requests", {"state"})),
      tickets(
          registry.counters("hickorykeel_tickets_total", "Tickets made and presented", {"event"}))
{
}

request_record::request_record(entry_metrics& counts, trace_exporter* spans,
                               std::string_view traceparent)
    : m_counts(counts), m_spans(spans), m_profile(detail::no_profile), m_begin(boot_clock::now())
{
    if (m_spans != nullptr) {
        const span_place place = to_span_place(traceparent);
        m_span.emplace(span_name{"request"}, span_side::server, place.context, place.parent,
                       trace_span::clock::now());
        m_traceparent = to_traceparent(place.context);
    }
    else if (from_traceparent(traceparent)) {
        m_traceparent = traceparent;
    }
}

request_record::~request_record()
{
    end(detail::outcome_abandoned);
    if (m_is_stream) {
        m_counts.streams.with({}).Decrement();
    }
    if (m_span) {
        const bool is_good =
            m_outcome == detail::outcome_whole || m_outcome == detail::outcome_repeat;
        m_span->end(trace_span::clock::now(), is_good ? span_status::ok : span_status::error);
        m_spans->add(std::move(*m_span));
    }
}

void request_record::on_admitted(const admitted_request& admitted)
{
    m_profile = admitted.matched_profile->name;
    if (m_span) {
        m_span->set(span_attribute::organisation, admitted.organisation);
        m_span->set(span_attribute::profile, m_profile);
        m_span->set(span_attribute::target, admitted.matched_target->name);
        m_span->set(span_attribute::revision, static_cast<std::int64_t>(admitted.revision));
    }
}

void request_record::on_reserved(std::uint64_t tokens)
{
    m_counts.tokens.with({"reserved"}).Increment(static_cast<double>(tokens));
    if (m_span) {
        m_span->set(span_attribute::tokens_reserved, static_cast<std::int64_t>(tokens));
    }
}

void request_record::on_reservation_refused()
{
    m_counts.refused_reservations.with({m_profile}).Increment();
}

void request_record::on_used(std::uint64_t tokens)
{
    m_counts.tokens.with({"used"}).Increment(static_cast<double>(tokens));
    if (m_span) {
        m_span->set(span_attribute::tokens_used, static_cast<std::int64_t>(tokens));
    }
}

void request_record::on_first_byte()
{
    m_counts.first_byte.with({m_profile}).Observe(to_seconds(boot_clock::now() - m_begin));
}

void request_record::on_stream()
{
    m_is_stream = true;
    m_counts.streams.with({}).Increment();
}

void request_record::on_attempts(unsigned attempts)
{
    if (attempts > 1) {
        m_counts.retries.with({}).Increment(attempts - 1);
    }
    if (m_span) {
        m_span->set(span_attribute::attempt, static_cast<std::int64_t>(attempts));
    }
}

void request_record::on_whole(bool is_repeat)
{
    if (m_outcome.empty() && !is_repeat) {
        m_counts.whole_answer.with({m_profile}).Observe(to_seconds(boot_clock::now() - m_begin));
    }
    end(is_repeat ? detail::outcome_repeat : detail::outcome_whole);
}

void request_record::on_refused(const refusal& why)
{
    const std::string_view name = to_kind(why.code).name;
    if (m_span && m_outcome.empty()) {
        m_span->set(span_attribute::refusal, name);
        m_span->set(span_attribute::ran, to_name(why.ran));
    }
    end(name);
}

void request_record::end(std::string_view outcome)
{
    if (m_outcome.empty()) {
        m_outcome = outcome;
        m_counts.requests.with({m_profile, m_outcome}).Increment();
    }
}

} // namespace hickorykeel
