#pragma once

#include "process/clock.h"

#include <chrono> // seconds
#include <map>    // map
#include <mutex>  // mutex
#include <string> // string

namespace hickorykeel {

/// Other hosts whose entry processes said that they leave, before the list of hosts says so.
///
/// Thread safety: all methods may be called from any thread.
class leaving_hosts {
public:
    /// A process that leaves repeats it; after this long without a word it has ended or is new.
    static constexpr duration memory = std::chrono::seconds{3};

    /// Notes that `name` said at `now` that it leaves.
    void note(const std::string& name, time_point now)
    {
        const std::lock_guard lock(m_mutex);
        m_heard[name] = now;
    }

    /// Whether callers should not be sent to `name`.
    [[nodiscard]] bool is_leaving(const std::string& name, time_point now) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_heard.find(name);
        return found != m_heard.end() && now - found->second < memory;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, time_point> m_heard; // by host
};

} // namespace hickorykeel
