#pragma once

#include "process/clock.h"

#include <algorithm> // any_of
#include <cstdint>   // uint32_t, uint64_t
#include <map>       // map
#include <optional>  // optional
#include <string>    // string
#include <tuple>     // tuple
#include <vector>    // vector

namespace hickorykeel::gateway {

/// What a waiting request needs to be placed.
struct placement_need {
    std::string route;
    /// The organisation, if it may use only some regions; otherwise empty.
    std::string restricted_organisation;
    /// Hash of the only software version that may serve it; nothing: any may.
    std::optional<std::uint32_t> software_version;
    bool has_started = false;
    /// The request isn't sent to endpoints that have failed it, so that its failures say nothing
    /// about other requests.
    bool excludes_endpoints = false;
    std::uint64_t tokens = 0; ///< of the prompt and the output; 0 without a prompt
    duration limit{0};        ///< on the expected time to first byte
};

/// Failed placements in one round over the waiting requests of a service. They rule out further
/// requests that can't be placed either.
///
/// Thread safety: none. No I/O.
class placement_failures {
public:
    /// Records that a request could not be placed.
    /// @param expected lowest expected time to first byte among the options that were too late;
    /// `duration::max()` if there was no option
    void on_failure(const placement_need& need, duration expected)
    {
        if (!need.excludes_endpoints) {
            m_failures[to_kind(need)].push_back({need.tokens, expected});
        }
    }

    /// Whether a request can't be placed, since one of the same kind that is no larger could not,
    /// and its options were too late for this one too. A larger one that failed rules out nothing.
    [[nodiscard]] bool rules_out(const placement_need& need) const
    {
        const auto found = m_failures.find(to_kind(need));
        return found != m_failures.end() &&
               std::any_of(found->second.begin(), found->second.end(), [&](const failure& known) {
                   return known.tokens <= need.tokens && known.expected > need.limit;
               });
    }

private:
    /// Route, restricted organisation, required version, and whether the response has started.
    using kind = std::tuple<std::string, std::string, std::optional<std::uint32_t>, bool>;

    struct failure {
        std::uint64_t tokens = 0;
        duration expected{0};
    };

    [[nodiscard]] static kind to_kind(const placement_need& need)
    {
        return {need.route, need.restricted_organisation, need.software_version, need.has_started};
    }

    std::map<kind, std::vector<failure>> m_failures;
};

} // namespace hickorykeel::gateway
