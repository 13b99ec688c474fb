#pragma once

#include <chrono> // steady_clock, milliseconds
#include <thread> // sleep_for

namespace hickorykeel::testing {

/// Waits until `is_so()` holds. @return false only after so long that it must count as never
template <typename Condition>
bool eventually(Condition is_so)
{
    constexpr std::chrono::seconds limit{30};
    constexpr std::chrono::milliseconds step{2};
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!is_so()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(step);
    }
    return true;
}

} // namespace hickorykeel::testing
