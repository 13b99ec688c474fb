#pragma once

#include "gateway/configuration/publication.h"
#include "gateway/membership/member_table.h"
#include "process/clock.h"

#include <array>       // array
#include <cstddef>     // size_t
#include <cstdint>     // uint8_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace hickorykeel::gateway {

/// A host that accepts requests of callers.
struct directory_candidate {
    std::string address;
    std::string failure_domain;
    std::string region;
};

/// Location of a caller, and the name for whose hosts it asks.
struct directory_caller {
    std::string failure_domain;
    std::string region;
    std::optional<name_homes> homes{}; ///< of the name's routes; nothing: no configuration is known
    /// Whether it may be given hosts where only some of the routes may be served.
    bool may_be_elsewhere = false;
};

/// Where the hosts are that a caller is given, from the last choice to the first.
enum class directory_scope : std::uint8_t {
    none,           ///< it is given no host
    elsewhere,      ///< a region where some of the routes may be served
    home,           ///< another region, where all of the routes may be served
    region,         ///< of the caller
    failure_domain, ///< of the caller
};

/// Returns the name of `scope`. Thread safe.
[[nodiscard]] constexpr std::string_view to_name(directory_scope scope) noexcept
{
    constexpr std::array<std::string_view, 5> names{"none", "elsewhere", "home", "region",
                                                    "failure_domain"};
    return names.at(static_cast<std::size_t>(scope));
}

/// Hosts that a caller is given, all of the same scope.
struct directory_choice {
    std::vector<std::string> addresses;
    directory_scope scope = directory_scope::none;
};

/// Returns up to `max_addresses` addresses of the best scope that candidates have. Among those of
/// other regions, the ones that are home to the most organisations are returned if the name has routes with homes; elsewhere, the ones
/// that are home to the most routes. Empty if there is no such candidate or `max_addresses` is 0.
/// O(candidates). Thread safe.
[[nodiscard]] directory_choice choose_addresses(const std::vector<directory_candidate>& candidates,
                                                const directory_caller& caller,
                                                std::size_t max_addresses);

/// The host that answers a caller.
struct directory_host {
    std::string address; ///< of its callers' listener; other hosts have the same port
    std::string failure_domain;
    std::string region;
    bool is_ready = false;
    duration age{0}; ///< of its process
};

/// Returns the hosts that `own` names to a caller, by what it knows of the fleet.
///
/// While hosts of a region that suits all routes are seen, or were within `restart_time`, none
/// elsewhere is named: they are ready soon, and requests on routes with home regions would leave
/// these. Hosts elsewhere are named once the others are lost, so that other routes are served.
/// @param caller `may_be_elsewhere` is ignored
/// @param restart_time maximum time from a host's last heartbeat until its next process is heard
///
/// O(hosts). Thread safe.
[[nodiscard]] directory_choice choose_hosts(const member_table& members, const directory_host& own,
                                            directory_caller caller, duration restart_time,
                                            time_point now);

} // namespace hickorykeel::gateway
