#pragma once

#include "gateway/membership/member_table.h"
#include "process/clock.h"

#include <chrono>  // milliseconds
#include <cstdint> // uint64_t

namespace hickorykeel::gateway {

struct version_check_options {
    /// Rounds after which the hosts that can answer have done so: a heartbeat has crossed the longest
    /// distance, the answer went with the next one, and one of them may be lost.
    int rounds = 3;
    /// The same while no other host has been heard: the seeds may be out of date, and those that
    /// look for this host may still do so.
    int rounds_alone = 15;
    /// Age of the configuration of another host from which its word is out of date.
    duration max_age = std::chrono::milliseconds{1'600};
};

/// Finds out whether the configuration that this host holds is as new as that of the hosts which ran
/// before it.
///
/// A host that has just started takes what the source shows for the newest configuration. If the
/// source was restored from an older copy meanwhile, it isn't, and only the other hosts know that:
/// their heartbeats name the version that they hold. So this host waits until one of them that has
/// itself been checked holds no higher version than its own, or until all had time to answer. The
/// time is bounded, so that a host which is alone, and hosts that all start at once, come to serve.
///
/// Rounds are counted instead of time: a process that stands still hears nothing.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class version_check {
public:
    explicit version_check(version_check_options options = {}) : m_options{options} {}

    /// Starts anew.
    void begin() noexcept { m_rounds = 0; }

    /// Counts a round; to be called at the heartbeat interval.
    void count_round() noexcept { ++m_rounds; }

    /// Whether the held version may be trusted. It may not while a live host holds a higher one.
    /// @param held version that this host holds
    /// O(hosts).
    [[nodiscard]] bool is_passed(const member_table& members, std::uint64_t held,
                                 time_point now) const;

private:
    version_check_options m_options;
    int m_rounds = 0;
};

} // namespace hickorykeel::gateway
