#pragma once

#include "generated/link.pb.h"
#include "process/clock.h"
#include "process/routing/domain_choice.h"
#include "version/configuration.h"

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <map>      // map
#include <memory>   // shared_ptr
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace hickorykeel {

/// Load of one target at one dispatch process, as it said last.
struct dispatch_load {
    std::uint32_t live_endpoints = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    double wait_seconds = 0;       ///< of a new interactive request
    double batch_wait_seconds = 0; ///< of a new batch request
};

/// One dispatch process that an entry process may hand requests to.
struct dispatch_peer {
    std::string host;
    std::string failure_domain;
    std::string address;
    std::uint64_t incarnation = 0; ///< 0: never heard
    bool is_leaving = false;
    time_point last_heard{};
    duration way{0}; ///< one way, from the last round trip; 0: not measured
    time_point last_asked{};
    std::optional<time_point> unanswered_since; ///< first heartbeat after the last answer
    bool is_suspect = false; ///< failed a request of this entry process since the last answer
    std::map<std::string, dispatch_load> loads; ///< by target
};

/// Where a dispatch process is.
struct dispatch_address {
    std::string host;
    std::string failure_domain;
    std::string address; ///< of its link
};

/// Failure domains that serve one target, as the heartbeats said; the same order in all members.
struct target_route {
    std::vector<domain_view> interactive; ///< with the wait of a new interactive request
    std::vector<domain_view> batch;       ///< with the wait of a new batch request
    std::vector<std::vector<dispatch_address>> members; ///< never empty; the own host first
};

using target_route_ptr = std::shared_ptr<const target_route>;

/// Which dispatch processes a route leads to.
enum class route_scope {
    trusted, ///< those that are not suspected to be gone
    all,     ///< also suspected ones: the last resort
};

/// The dispatch processes of all listed hosts and what their heartbeats said.
///
/// Those of the own failure domain are all asked, at each call of `take_due`. Of each other failure
/// domain the two that are first in this host's own order are asked once a second, and further ones
/// in their place while they are silent or leave. Only those that answer are candidates. One that
/// missed two reports, or failed a request, is suspected until its next report: it is chosen only
/// where there is no other, long before it counts as dead.
///
/// Thread safety: all methods may be called from any thread.
class dispatch_directory {
public:
    /// A dispatch process that owes an answer for this long is taken for dead.
    static constexpr duration silence_limit = std::chrono::milliseconds{1500};

    /// One that owes an answer for this long, beside the way there and back, is suspected: two
    /// reports missed.
    static constexpr duration suspect_limit = std::chrono::milliseconds{400};

    /// Between two heartbeats to a process of another failure domain.
    static constexpr duration far_interval = std::chrono::seconds{1};

    /// Processes of each other failure domain that must answer.
    static constexpr std::size_t asked_elsewhere = 2;

    /// @param own_address  link address of this host's own dispatch process; known without a list
    dispatch_directory(std::string own_host, std::string own_failure_domain,
                       std::string own_address);

    /// @name modifiers
    /// @{

    /// Takes over a new host list. Renews the routes.
    void apply(const host_list& listed, time_point now);

    /// Takes over the regions of the failure domains. Renews the routes.
    void apply(const configuration& in_force, time_point now);

    /// Notes a heartbeat. Renews the routes where it changes who can take requests.
    /// @param round_trip  from a question until this answer to it or a later one; nothing: unknown
    void on_pong(const std::string& address, std::uint64_t incarnation, const link::pong& pong,
                 std::optional<duration> round_trip, time_point now);

    /// Suspects the dispatch process at `address` until its next report, and renews the routes: it
    /// failed a request, and the fault was its own or the link's.
    void suspect(const std::string& address, time_point now);

    /// Renews the routes: the waits, and who was silent. Call it each 200 ms or so. Linear in the
    /// number of listed hosts times their targets.
    void refresh(time_point now);

    /// Addresses to send heartbeats to now. Call it each 200 ms or so. Linear in the listed hosts.
    [[nodiscard]] std::vector<std::string> take_due(time_point now);

    /// @}
    /// @name observers
    /// @{

    /// Failure domains with a live dispatch process that has a live endpoint of `target_name`; null
    /// where there is none. Logarithmic in the number of targets.
    [[nodiscard]] target_route_ptr route_to(const std::string& target_name,
                                            route_scope scope = route_scope::trusted) const;

    /// Whether it is the address of the own host's dispatch process.
    [[nodiscard]] bool is_own_address(const std::string& address) const
    {
        return address == m_own_address;
    }

    /// Whether the dispatch process at `address` is listed, was heard, and doesn't owe an answer for
    /// longer than the silence limit. One that is asked no more stays alive.
    [[nodiscard]] bool is_alive(const std::string& address, time_point now) const;

    /// When the dispatch process at `address` was last heard; nothing: never.
    [[nodiscard]] std::optional<time_point> last_heard(const std::string& address) const;

    /// Whether any dispatch process can take requests.
    [[nodiscard]] bool is_any_ready(time_point now) const;

    /// @}

private:
    using routes_by_target = std::map<std::string, target_route_ptr>;

    void renew_routes(time_point now);
    [[nodiscard]] routes_by_target make_routes(route_scope scope, time_point now) const;
    void add_to(target_route& route, const dispatch_peer& peer, const dispatch_load& load) const;
    [[nodiscard]] std::size_t place_in(target_route& route, const std::string& domain) const;
    [[nodiscard]] bool is_near(const dispatch_peer& peer) const;
    [[nodiscard]] bool may_take_requests(const dispatch_peer& peer, time_point now) const;
    void take_due_elsewhere(const std::vector<std::string>& ranked, time_point now,
                            std::vector<std::string>& due);

    const std::string m_own_host;
    const std::string m_own_failure_domain;
    const std::string m_own_address;
    mutable std::mutex m_mutex;
    std::map<std::string, dispatch_peer> m_peers; // by address
    routes_by_target m_routes;
    routes_by_target m_last_resort; // with the suspected ones; the same routes where there are none
    std::map<std::string, failure_domain> m_failure_domains; // by name
    std::map<std::string, std::vector<std::string>>
        m_elsewhere; // addresses by failure domain, in this host's own order
};

} // namespace hickorykeel
