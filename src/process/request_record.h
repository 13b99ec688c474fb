#pragma once

#include "process/clock.h"
#include "process/metrics.h"
#include "process/trace_exporter.h"
#include "request/caller_request.h"

#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel {

/// Metrics of the requests of an entry process. Thread safety: as metric_family.
struct entry_metrics {
    explicit entry_metrics(metrics& registry);

    counter_family requests;       ///< by profile and outcome
    histogram_family first_byte;   ///< seconds, by profile
    histogram_family whole_answer; ///< seconds, by profile
    gauge_family streams;          ///< under way
    counter_family retries;
    counter_family refused_reservations; ///< by profile
    counter_family tokens;               ///< by "reserved" and "used"
    counter_family tickets;              ///< by event
};

/// What is told of one request: counts, times and its span. It is told whole at the end of the
/// record's life.
///
/// Thread safety: none.
class request_record {
public:
    /// @param counts       outlives the record
    /// @param spans        outlives the record; null: none are sent
    /// @param traceparent  header of the caller; may be malformed
    request_record(entry_metrics& counts, trace_exporter* spans, std::string_view traceparent);
    request_record(const request_record&) = delete;
    request_record& operator=(const request_record&) = delete;
    request_record(request_record&&) = delete;
    request_record& operator=(request_record&&) = delete;
    ~request_record();

    /// Header for whom the request goes to; empty: none.
    [[nodiscard]] const std::string& traceparent() const noexcept { return m_traceparent; }

    /// @name events
    /// @{
    void on_admitted(const admitted_request& admitted);
    void on_reserved(std::uint64_t tokens);
    void on_reservation_refused();
    void on_used(std::uint64_t tokens);
    void on_first_byte();
    void on_stream();
    void on_attempts(unsigned attempts);

    /// The answer is whole. Only the first end counts.
    void on_whole(bool is_repeat);
    void on_refused(const refusal& why);
    /// @}

private:
    void end(std::string_view outcome);

    entry_metrics& m_counts;
    trace_exporter* m_spans;
    std::optional<trace_span> m_span;
    std::string m_traceparent;
    std::string m_profile;
    std::string m_outcome; // empty: not ended
    time_point m_begin;
    bool m_is_stream = false;
};

} // namespace hickorykeel
