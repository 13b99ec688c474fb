#pragma once

#include "gateway/membership/member_table.h"
#include "process/clock.h"

#include <array>       // array
#include <cstddef>     // size_t
#include <cstdint>     // uint8_t
#include <map>         // map
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

/// Location of a caller, and the home regions of its routes.
struct directory_caller {
    std::string failure_domain;
    std::string region;
    std::map<std::string, unsigned> home_routes; ///< number of routes by home region
    /// Whether it may be given hosts in regions that are neither its own nor a home region of a
    /// route.
    bool may_be_elsewhere = true;
};

/// Where the hosts are that a caller is given.
enum class directory_scope : std::uint8_t {
    failure_domain, ///< of the caller
    region,         ///< of the caller
    home,           ///< another region, which is home to the most of its routes
    elsewhere,      ///< any other region
    none,           ///< it is given no host
};

/// Returns the name of `scope`. Thread safe.
[[nodiscard]] constexpr std::string_view to_name(directory_scope scope) noexcept
{
    constexpr std::array<std::string_view, 5> names{"failure_domain", "region", "home", "elsewhere",
                                                    "none"};
    return names.at(static_cast<std::size_t>(scope));
}

/// Hosts that a caller is given, all of the same scope.
struct directory_choice {
    std::vector<std::string> addresses;
    directory_scope scope = directory_scope::none;
};

/// Returns up to `max_addresses` addresses for a caller: those in its failure domain; if there are
/// none, those in its region; if there are none, those in the regions that are home to the most of
/// its routes; if no candidate's region is home to one, those in any region, if `may_be_elsewhere`.
/// Empty if there is no such candidate or `max_addresses` is 0. O(candidates). Thread safe.
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
/// @param caller `may_be_elsewhere` is ignored
/// @param knows_routes whether a configuration is known, from which `caller.home_routes` is taken
///
/// O(hosts). Thread safe.
[[nodiscard]] directory_choice choose_hosts(const member_table& members, const directory_host& own,
                                            directory_caller caller, bool knows_routes,
                                            time_point now);

} // namespace hickorykeel::gateway
