#pragma once

#include "process/dispatch_job.h"
#include "process/dispatcher.h"
#include "process/metrics.h"
#include "process/trace_exporter.h"

#include <cstddef> // size_t
#include <memory>  // unique_ptr
#include <set>     // set
#include <string>  // string
#include <utility> // pair
#include <vector>  // vector

namespace hickorykeel {

/// Metrics and spans of a dispatch process.
///
/// Thread safety: every public method may be called from any thread.
class dispatch_telemetry : public attempt_observer {
public:
    /// @param registry  outlives this
    /// @param spans     of no address: none are sent
    dispatch_telemetry(metrics& registry, trace_exporter::options spans);

    /// The request of an attempt leaves the queue.
    void on_taken(const dispatch_job& job);

    /// State of the queues and the endpoints; endpoints that are not listed any more are in none.
    /// O(n log n) in their number. Only one thread calls it.
    void set_state(const std::vector<link::target_load>& loads,
                   const std::vector<dispatcher::endpoint_status>& endpoints);

    /// Place of the call's span.
    [[nodiscard]] span_place begin_call(const dispatch_job& job) const override;
    void end_call(const dispatch_attempt& attempt, const span_place& place,
                  trace_span::clock::time_point begun, const attempt_result& result) override;

private:
    void forget_unlisted(const std::vector<dispatcher::endpoint_status>& endpoints);
    void add_queue_span(const dispatch_job& job, trace_span::clock::time_point now);

    std::set<std::pair<std::string, std::string>> m_shown; // targets and endpoints
    gauge_family m_queued;
    gauge_family m_wait;
    gauge_family m_running;
    gauge_family m_live;
    gauge_family m_breakers;
    gauge_family m_in_flight;
    counter_family m_attempts;
    histogram_family m_waited;
    std::unique_ptr<trace_exporter> m_spans; // null: none are sent
};

} // namespace hickorykeel
