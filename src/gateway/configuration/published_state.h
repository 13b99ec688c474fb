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
    state_change apply(published_reading reading, time_point current_at, time_point now);

    /// A question to the source has failed.
    void on_failure() noexcept { m_had_outage = true; }
    /// @}

    /// @name state
    /// @{

    /// Null until a configuration is known.
    [[nodiscard]] const publication_ptr& published() const noexcept { return m_last.published; }
    [[nodiscard]] const published_reading& last() const noexcept { return m_last; }
    [[nodiscard]] const std::map<std::string, endpoint_entry>& endpoints() const noexcept
    {
        return m_endpoints;
    }
    [[nodiscard]] bool is_evacuated(const std::string& failure_domain) const
    {
        return m_last.evacuated_domains.contains(failure_domain);
    }

    /// Whether keys may be honoured: a withdrawal cannot have been missed for longer than the
    /// lease.
    [[nodiscard]] bool may_honour_keys(time_point now) const noexcept
    {
        return m_last.published != nullptr && now < m_current_at + m_options.key_lease;
    }

    /// Time since what is held was certainly the newest.
    [[nodiscard]] duration age(time_point now) const noexcept { return now - m_current_at; }
    /// @}

private:
    [[nodiscard]] bool is_older(const published_reading& reading) const;
    void take_endpoints(const published_reading& reading, time_point now, state_change& change);

    published_state_options m_options;
    published_reading m_last;
    std::map<std::string, endpoint_entry> m_endpoints;
    time_point m_current_at{};
    time_point m_settled_at{};
    bool m_had_outage = false;
};

} // namespace hickorykeel::gateway
