#pragma once

#include "support/http_caller.h"
#include "support/wait_for.h"

#include <algorithm> // max
#include <chrono>    // milliseconds
#include <string>    // string
#include <thread>    // sleep_for

namespace hickorykeel::tests {

/// Whether `answer` is a refusal that a caller may meet while a host starts or its rights fill, and
/// says that nothing ran.
inline bool is_passing_refusal(const outcome& answer)
{
    return answer.kind == outcome_kind::refused && answer.ran == "no" &&
           (answer.code == "over_limit" || answer.code == "not_ready" ||
            answer.code == "no_endpoint");
}

/// Calls `ask` again after each passing refusal, once its `retry_after` is over.
/// @return the first other outcome, or the last refusal once the longest wait has passed
template <typename Ask>
outcome repeat_passing_refusals(Ask ask)
{
    constexpr std::chrono::milliseconds least_pause{100};
    outcome answer = ask();
    const time_point end = boot_clock::now() + longest_wait;
    while (is_passing_refusal(answer) && boot_clock::now() < end) {
        const std::chrono::milliseconds hint{answer.retry_after_ms};
        std::this_thread::sleep_for(std::max(hint, least_pause));
        answer = ask();
    }
    return answer;
}

} // namespace hickorykeel::tests
