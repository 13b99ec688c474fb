#pragma once

#include "gateway/configuration/publication.h"
#include "process/clock.h"

#include <chrono>  // milliseconds
#include <cstdint> // uint64_t
#include <map>     // map
#include <set>     // set
#include <string>  // string
#include <vector>  // vector

namespace hickorykeel::gateway {

/// Terms of the state that is read from the operators' source.
struct published_state_options {
    /// Keys are honoured for so long after the last proof that what is held is the newest.
    duration key_lease = std::chrono::milliseconds{4'500};
    /// Missing endpoints are kept for so long after an outage of the source ends.
    duration settling_time = std::chrono::milliseconds{2'500};
};

/// What a reading has changed.
struct state_change {
    bool is_newer = false;            ///< a newer version or set of evacuations is held
    std::vector<std::string> removed; ///< ids of endpoints that are gone
};

/// The newest published configuration and endpoints that this host knows, with their age.
///
/// Readings come with the moment at which they were certainly current: the moment at which the
/// question was sent, less the age that a relaying host states. The revision never goes down.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class published_state {
public:
    explicit published_state(published_state_options options) : m_options{options} {}

    /// @name readings
    /// @{
    state_change apply(control_reading reading, time_point current_at);
    state_change apply(endpoints_reading reading, time_point current_at, time_point now);

    /// A question to the source of endpoints has failed.
    void on_endpoints_failure() noexcept { m_had_outage = true; }
    /// @}

    /// @name state
    /// @{

    /// Null until a configuration is known.
    [[nodiscard]] const publication_ptr& published() const noexcept { return m_control.published; }
    [[nodiscard]] const control_reading& control() const noexcept { return m_control; }
    [[nodiscard]] const endpoints_reading& last_endpoints() const noexcept { return m_last; }
    [[nodiscard]] const std::map<std::string, endpoint_entry>& endpoints() const noexcept
    {
        return m_endpoints;
    }
    [[nodiscard]] bool is_evacuated(const std::string& failure_domain) const
    {
        return m_control.evacuated_domains.contains(failure_domain);
    }

    /// Whether keys may be honoured: a withdrawal cannot have been missed for longer than the
    /// lease.
    [[nodiscard]] bool may_honour_keys(time_point now) const noexcept
    {
        return m_control.published != nullptr && now < m_control_current_at + m_options.key_lease;
    }
    [[nodiscard]] duration control_age(time_point now) const noexcept
    {
        return now - m_control_current_at;
    }
    [[nodiscard]] duration endpoints_age(time_point now) const noexcept
    {
        return now - m_endpoints_current_at;
    }
    /// @}

private:
    published_state_options m_options;
    control_reading m_control;
    endpoints_reading m_last;
    std::map<std::string, endpoint_entry> m_endpoints;
    time_point m_control_current_at{};
    time_point m_endpoints_current_at{};
    time_point m_settled_at{};
    bool m_had_outage = false;
};

} // namespace hickorykeel::gateway
