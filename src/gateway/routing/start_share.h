#pragma once

#include "process/clock.h"

#include <chrono>  // milliseconds
#include <cstddef> // size_t
#include <vector>  // vector

namespace hickorykeel::gateway {

struct start_share_options {
    /// Time after the start in which a host assumes load of peers that it hasn't heard of; 0: none.
    duration period = std::chrono::milliseconds{3'000};
    /// Part of the endpoints' capacity that the hosts take together until they have heard each other.
    double capacity_share = 0.5;
    /// Least number of hosts of a region that a host assumes until it has heard its peers.
    std::size_t assumed_hosts = 32;
    /// Time for which the number of hosts whose load is summed hasn't grown, after which a host has
    /// heard its peers. Three heartbeats. Twice as long if it has heard none.
    duration settling_time = std::chrono::milliseconds{600};
};

/// The hosts of a region as one of them knows them. All numbers include the host itself.
struct known_hosts {
    std::size_t region = 1;   ///< that are known to be in the region
    std::size_t unplaced = 0; ///< that may be running, of an unknown region
    std::size_t heard = 1;    ///< whose loads are in the sums that the host has
    time_point as_of{};       ///< of these sums
};

/// Load at one endpoint.
struct assumed_load {
    double requests = 0;
    double unread_tokens = 0;
};

/// What a host that has just started assumes of the load that its peers have placed on the endpoints
/// of a service, beyond what it has heard of.
///
/// Each peer is assumed to have sent as much as this host: since the host's start if nothing has been
/// heard of its load, else since the time of the sums that it is part of. What one host has placed on
/// n endpoints thus stands for what all have placed, and a host stops sending when it has taken its
/// part of what the endpoints can do in time. If all hosts do so, the sum isn't more than that, however
/// unequally they get requests. Until the peers have been heard, the number of hosts is at least
/// `assumed_hosts`, and the assumed load is raised, so that only `capacity_share` is taken.
///
/// A host can always send one request, since a request can't be divided.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class start_share {
public:
    start_share() = default;

    /// @param started start of the host
    start_share(start_share_options options, time_point started);

    /// Whether the share is in force.
    [[nodiscard]] bool is_active(time_point now) const noexcept { return now < m_end; }

    /// Records what is known of the hosts of the region.
    void on_hosts(const known_hosts& hosts, time_point now);

    /// Records a request of this host that is sent to an endpoint of the service.
    /// @param tokens that the endpoint has to read
    void on_sent(double tokens, time_point now);

    /// Records the end of such a request.
    void on_end() noexcept { m_active -= m_active > 0 ? 1 : 0; }

    /// Returns the load that peers are assumed to have placed on each endpoint, beyond what has been
    /// heard of. Nothing if the share isn't in force. O(requests sent since the start).
    /// @param endpoints    that the requests are spread over
    /// @param tokens_per_s that one endpoint reads
    [[nodiscard]] assumed_load assumed(std::size_t endpoints, double tokens_per_s,
                                       time_point now) const;

    /// Factor on the assumed load in a decision whether a request is sent.
    [[nodiscard]] double caution(time_point now) const noexcept;

private:
    struct sent_request {
        time_point at{};
        double tokens = 0;
    };

    [[nodiscard]] bool has_heard_peers(time_point now) const noexcept;
    [[nodiscard]] double unheard(time_point now) const noexcept;

    start_share_options m_options;
    time_point m_end{}; ///< of the period
    known_hosts m_hosts;
    time_point m_heard_since{};       ///< the last time that more hosts were heard
    std::vector<sent_request> m_sent; ///< the first one in front
    std::size_t m_active = 0;
};

} // namespace hickorykeel::gateway
