#pragma once

#include "process/clock.h"

#include <chrono>  // seconds
#include <cstddef> // size_t
#include <deque>   // deque

namespace hickorykeel::gateway {

/// Limits the requests to one cold endpoint over a sliding window slightly longer than one second,
/// so that no more than the given number arrive in any second.
///
/// Complexity: amortised constant.
///
/// Thread safety: none.
class cold_rate_limiter {
public:
    /// Whether one more request may be sent at `now` if the endpoint accepts `per_second` requests
    /// per second, rounded down.
    [[nodiscard]] bool has_capacity(double per_second, time_point now)
    {
        drop_old(now);
        return m_sent_at.size() < static_cast<std::size_t>(per_second);
    }

    /// Records a request sent at `now`. Precondition: `now` is not before that of earlier calls.
    void on_sent(time_point now)
    {
        drop_old(now);
        m_sent_at.push_back(now);
    }

private:
    // longer than one second, since requests with different transit times can arrive closer
    // together than they were sent
    static constexpr duration window = std::chrono::milliseconds{1'150};

    void drop_old(time_point now)
    {
        while (!m_sent_at.empty() && now - m_sent_at.front() >= window) {
            m_sent_at.pop_front();
        }
    }

    std::deque<time_point> m_sent_at;
};

} // namespace hickorykeel::gateway
