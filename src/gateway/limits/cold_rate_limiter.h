#pragma once

#include "process/clock.h"

#include <chrono>  // seconds
#include <cstddef> // size_t
#include <deque>   // deque

namespace hickorykeel::gateway {

/// Limits the requests to one cold endpoint to a number in any span of one second.
///
/// Thread safety: none.
class cold_rate_limiter {
public:
    /// Whether one more request may be sent at `now` with `per_second` allowed, rounded down.
    [[nodiscard]] bool is_open(double per_second, time_point now)
    {
        while (!m_sent.empty() && now - m_sent.front() >= span) {
            m_sent.pop_front();
        }
        return m_sent.size() < static_cast<std::size_t>(per_second);
    }

    void on_sent(time_point now) { m_sent.push_back(now); }

private:
    // a little more than the second, for requests that travel at different speeds
    static constexpr duration span = std::chrono::milliseconds{1'150};

    std::deque<time_point> m_sent;
};

} // namespace hickorykeel::gateway
