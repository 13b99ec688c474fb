#include "gateway/observability/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace hickorykeel::gateway {

namespace {

const prometheus::Histogram::BucketBoundaries second_buckets{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2, 4, 8, 16};

const prometheus::Histogram::BucketBoundaries ratio_buckets{0.1,  0.25, 0.5, 0.7, 0.85, 1,
                                                            1.15, 1.4,  2,   4,   10};

prometheus::Histogram&
add_histogram(prometheus::Registry& registry, const char* name, const char* help,
              const prometheus::Histogram::BucketBoundaries& buckets = second_buckets)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, buckets);
}

} // namespace

gateway_metrics::gateway_metrics()
    : m_registry{std::make_unique<prometheus::Registry>()},
      m_responses{&prometheus::BuildCounter()
                       .Name("hickorykeel_gateway_answers_total")
                       .Help("final answers to callers by route and outcome")
                       .Register(*m_registry)},
      m_events{&prometheus::BuildCounter()
                    .Name("hickorykeel_gateway_events_total")
                    .Help("decisions and failures by name")
                    .Register(*m_registry)},
      m_state{&prometheus::BuildGauge()
                   .Name("hickorykeel_gateway_state")
                   .Help("state of the process by name")
                   .Register(*m_registry)},
      m_response_time{&add_histogram(*m_registry, "hickorykeel_gateway_answer_seconds",
                                     "receipt of a request to its final answer")},
      m_first_byte_time{&add_histogram(*m_registry, "hickorykeel_gateway_first_byte_seconds",
                                       "sending to an endpoint to the first byte of its answer")},
      m_first_byte_ratio{&add_histogram(*m_registry, "hickorykeel_gateway_first_byte_ratio",
                                        "measured to expected time to first byte", ratio_buckets)}
{
}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::on_response(const std::string& route, const std::string& outcome,
                                  duration elapsed)
{
    m_responses->Add({{"route", route}, {"outcome", outcome}}).Increment();
    m_response_time->Observe(to_seconds(elapsed));
}

void gateway_metrics::on_first_byte(duration elapsed, duration expected)
{
    m_first_byte_time->Observe(to_seconds(elapsed));
    if (expected > duration{0}) {
        m_first_byte_ratio->Observe(to_seconds(elapsed) / to_seconds(expected));
    }
}

void gateway_metrics::count(const std::string& event)
{
    prometheus::Counter*& counter = m_event_counters[event];
    if (counter == nullptr) {
        counter = &m_events->Add({{"event", event}});
    }
    counter->Increment();
}

void gateway_metrics::set_gauge(const std::string& name, double value)
{
    m_state->Add({{"name", name}}).Set(value);
}

void gateway_metrics::set_gauge(const std::string& name, const std::string& organisation,
                                double value)
{
    m_state->Add({{"name", name}, {"organisation", organisation}}).Set(value);
}

std::string gateway_metrics::to_text() const
{
    return prometheus::TextSerializer{}.Serialize(m_registry->Collect());
}

} // namespace hickorykeel::gateway
