#pragma once

#include "process/clock.h"

#include <chrono>   // seconds
#include <map>      // erase_if, map
#include <optional> // optional
#include <utility>  // pair

namespace hickorykeel::gateway {

/// Settings of `prompt_room`.
struct prompt_room_options {
    /// Fraction of the shortest objective that the work ahead of a request with a longer one may take.
    /// The rest is for the prompt itself, and for what other hosts send at the same time.
    double ahead_fraction = 0.5;
    /// Time after a request for which its objective is taken into account.
    duration retention = std::chrono::seconds{3};
};

/// Keeps room on a service's engines for the more urgent requests with a shorter objective.
///
/// An engine reads prompts in the order of their arrival. If requests with a long objective are sent
/// to it as long as they themselves are in time, a request with a shorter one is never in time there.
/// So they are sent only where the work ahead leaves it room, and wait at the host otherwise, where
/// the more urgent ones go first. Services whose requests have equal objectives aren't affected, nor
/// are requests that are more urgent than those with a shorter objective.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class prompt_room {
public:
    explicit prompt_room(prompt_room_options options = {}) : m_options{options} {}

    /// Records a request for the service. O(kinds of requests).
    /// @param priority  of its route; 0 is the most urgent
    /// @param objective time to first byte that its response should meet
    void on_request(int priority, duration objective, time_point now)
    {
        m_last_seen[{objective, priority}] = now;
        std::erase_if(m_last_seen, [&](const auto& item) { return is_outdated(item.second, now); });
    }

    /// Returns the maximum time that the work ahead of a request may take at an engine, or nothing if no
    /// recent request was at least as urgent and had a shorter objective.
    [[nodiscard]] std::optional<duration> max_time_ahead(int priority, duration objective,
                                                         time_point now) const
    {
        for (const auto& [kind, seen] : m_last_seen) {
            const auto& [shortest, urgency] = kind;
            if (shortest >= objective) {
                break;
            }
            if (urgency <= priority && !is_outdated(seen, now)) {
                return from_seconds(to_seconds(shortest) * m_options.ahead_fraction);
            }
        }
        return std::nullopt;
    }

private:
    [[nodiscard]] bool is_outdated(time_point seen, time_point now) const noexcept
    {
        return now - seen >= m_options.retention;
    }

    prompt_room_options m_options;
    /// By objective and priority.
    std::map<std::pair<duration, int>, time_point> m_last_seen;
};

} // namespace hickorykeel::gateway
