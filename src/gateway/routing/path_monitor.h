#pragma once

#include "process/clock.h"

#include <chrono>  // milliseconds, seconds
#include <cstddef> // size_t
#include <map>     // map
#include <string>  // string

namespace hickorykeel::gateway {

struct path_monitor_options {
    /// Endpoints to which no connection could be opened, without one that could meanwhile, from
    /// which the path counts as lost. Fewer if the region has fewer endpoints.
    std::size_t lost_endpoints = 3;
    /// Time for which a failure counts while the path isn't lost.
    duration failure_retention = std::chrono::seconds{5};
    /// Time for which the path counts as lost after the last failure. Without another one, nobody
    /// tries any more, and requests have to.
    duration loss_retention = std::chrono::seconds{2};
    /// Time without a byte of any endpoint, while several requests are there, after which the path
    /// may be lost. Endpoints may also be silent for longer, so they are only asked.
    duration max_silence = std::chrono::milliseconds{300};
    std::size_t min_silent_requests = 3;
    /// Time after the end of a connection in which the path may be lost.
    duration suspicion_retention = std::chrono::seconds{1};
    /// Time after a byte of an endpoint for which open connections count as usable.
    duration receipt_retention = std::chrono::milliseconds{500};
};

/// Finds out whether this host has lost its path to the endpoints of its region, by the connections
/// that it opens to them.
///
/// Open connections don't tell: in a partition, they may live on while new ones are refused, or hang
/// without an error. One connection that could be opened refutes all failures before it.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class path_monitor {
public:
    explicit path_monitor(path_monitor_options options = {}) : m_options{options} {}

    /// @name modifiers
    /// @{

    /// Records that a connection to an endpoint was opened.
    void on_connected() noexcept
    {
        m_failures.clear();
        m_suspected_at = {};
    }

    /// Records that an endpoint, or the network, has ended a connection.
    void on_disconnected(time_point now) noexcept { m_suspected_at = now; }

    /// Records that no connection to `endpoint` could be opened.
    /// @param endpoints number of the region's endpoints that get requests
    void on_not_connected(const std::string& endpoint, std::size_t endpoints, time_point now);

    /// Records that bytes of an endpoint were received.
    void on_received(time_point now) noexcept { m_received_at = now; }
    /// @}

    /// @name state
    /// @{

    /// Whether no connection to endpoints can be opened, as far as is known.
    [[nodiscard]] bool is_lost(time_point now) const noexcept;

    /// Whether so many endpoints failed that the path is the cause. Where a region has fewer, they may
    /// all have ended.
    [[nodiscard]] bool is_certainly_lost(time_point now) const noexcept
    {
        return is_lost(now) && m_failures.size() >= m_options.lost_endpoints;
    }

    /// Whether connections should be opened to find out if the path is lost, or still is.
    /// @param active requests that were sent to endpoints and haven't ended
    [[nodiscard]] bool needs_check(std::size_t active, time_point now) const noexcept;

    /// Whether open connections to endpoints are usable, as far as is known.
    [[nodiscard]] bool is_receiving(time_point now) const noexcept
    {
        return now - m_received_at < m_options.receipt_retention;
    }
    /// @}

private:
    path_monitor_options m_options;
    std::map<std::string, time_point> m_failures; ///< by endpoint, since the last connection
    std::size_t m_endpoints = 0;                  ///< as of the last failure
    time_point m_failed_at{};                     ///< the last failure
    time_point m_suspected_at{};                  ///< the last connection that ended
    time_point m_received_at{};
};

} // namespace hickorykeel::gateway
