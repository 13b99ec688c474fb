#pragma once

#include "connection/endpoint_call.h"
#include "connection/event_sender.h"
#include "process/clock.h"
#include "process/span_place.h"
#include "process/trace_exporter.h"
#include "request/refusal.h"

#include <atomic>     // atomic
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

namespace hickorykeel {

/// One request in a dispatch process. The dispatcher actor owns it; a worker uses the parts that
/// its call needs.
struct dispatch_job {
    std::uint64_t id = 0;
    std::string request_id; ///< the endpoint's X-Request-Id, the same for each attempt
    link::dispatch_request request;
    std::unique_ptr<event_sender> events;
    double weight = 1;                   ///< of its organisation among those that wait
    time_point deadline{};               ///< of the whole answer; no attempt begins later
    std::vector<std::size_t> tried;      ///< endpoints, by index in the table of the target
    std::shared_ptr<endpoint_call> call; ///< while a worker runs it
    std::size_t endpoint_index = 0;
    std::string endpoint_name;
    trace_span::clock::time_point waiting_since; ///< this time in the queue
    time_point sent{};
    bool is_cancelled = false;
    std::optional<refusal> withdrawal; ///< why a newer configuration ended it
    bool may_have_run = false;         ///< an earlier attempt may have
};

class attempt_observer;

/// One attempt, as a worker runs it.
struct dispatch_attempt {
    std::shared_ptr<dispatch_job> job;
    std::shared_ptr<endpoint_call> call;
    std::string endpoint_name;
    /// Whether the request may still begin, asked right before it does.
    std::function<std::optional<refusal>()> last_check;
    /// Told when the endpoint's answer has begun and its head is on its way.
    std::function<void()> on_head;
    attempt_observer* observer = nullptr; ///< outlives the attempt; null: none
};

/// How an attempt ended.
struct attempt_result {
    enum class outcome_t {
        whole,            ///< the answer was passed on to its end
        refused_by_check, ///< not begun
        failed,           ///< see `why`
    };
    outcome_t outcome = outcome_t::failed;
    refusal why{refusal_code::endpoint_failed, ran_state::unknown, "", "", "", {}};
    bool has_head = false; ///< part of the answer was passed on
    bool is_endpoint_at_fault = true;
    int status = 0; ///< of the answer; 0: none began
    std::uint64_t used_tokens = 0;
};

/// Told of each call of an endpoint. Thread safety: called from several threads.
class attempt_observer {
public:
    attempt_observer() = default;
    attempt_observer(const attempt_observer&) = delete;
    attempt_observer& operator=(const attempt_observer&) = delete;
    attempt_observer(attempt_observer&&) = delete;
    attempt_observer& operator=(attempt_observer&&) = delete;
    virtual ~attempt_observer() = default;

    /// Place of the call's span, which the endpoint is told; of no trace: nothing is told.
    [[nodiscard]] virtual span_place begin_call(const dispatch_job& job) const = 0;

    virtual void end_call(const dispatch_attempt& attempt, const span_place& place,
                          trace_span::clock::time_point begun, const attempt_result& result) = 0;
};

/// Runs one attempt: last check, call, events to the entry process; of a whole answer the end too,
/// of a failure none. Blocks until it ended.
/// Thread safety: one attempt of a job at a time.
[[nodiscard]] attempt_result run_attempt(const dispatch_attempt& attempt);

} // namespace hickorykeel
