#pragma once

#include "process/clock.h"

#include <memory>        // unique_ptr
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
template <typename T>
class Family;
} // namespace prometheus

namespace hickorykeel::gateway {

/// Metrics of the gateway, exported in the Prometheus text format.
///
/// Thread safety: none; all calls come from the loop's thread.
class gateway_metrics {
public:
    gateway_metrics();
    gateway_metrics(const gateway_metrics&) = delete;
    gateway_metrics& operator=(const gateway_metrics&) = delete;
    gateway_metrics(gateway_metrics&&) = delete;
    gateway_metrics& operator=(gateway_metrics&&) = delete;
    ~gateway_metrics();

    /// Records a final response to a caller; `elapsed` is the time since its request was received.
    void on_response(const std::string& route, const std::string& outcome, duration elapsed);

    /// Records the time to first byte of an endpoint's response, and its ratio to the time expected
    /// when the request was sent. No ratio is recorded if `expected` is 0.
    void on_first_byte(duration elapsed, duration expected);

    /// Increments the counter of `event`, e.g. "retry" or "source_failure".
    void count(const std::string& event);

    void set_gauge(const std::string& name, double value);

    /// Sets the gauge of one organisation.
    void set_gauge(const std::string& name, const std::string& organisation, double value);

    [[nodiscard]] std::string to_text() const;

private:
    std::unique_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>* m_responses;
    prometheus::Family<prometheus::Counter>* m_events;
    prometheus::Family<prometheus::Gauge>* m_state;
    prometheus::Histogram* m_response_time;
    prometheus::Histogram* m_first_byte_time;
    prometheus::Histogram* m_first_byte_ratio;
    std::unordered_map<std::string, prometheus::Counter*> m_event_counters;
};

} // namespace hickorykeel::gateway
