#pragma once

#include "process/dispatch_directory.h"
#include "process/routing/domain_choice.h"
#include "process/routing/random_source.h"
#include "process/routing/retry_budget.h"
#include "request/caller_request.h"
#include "version/configuration.h"

#include <array>    // array
#include <cstdint>  // uint64_t
#include <map>      // map
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace hickorykeel {

/// Who had a request already.
struct visited_places {
    std::vector<std::string> failure_domains;
    std::vector<std::string> addresses; ///< of dispatch processes
};

/// Why a request is to be sent again.
enum class retry_cause {
    endpoint_failed, ///< the endpoints' budget pays
    process_lost,    ///< a dispatch process was gone or not ready, whatever its endpoints do
};

/// Chooses the dispatch process of each request of an entry process, and holds its retry budgets:
/// the failure domain by `domain_chooser`, within it the own host's dispatch process or else any;
/// one that is suspected to be gone only where no other may have the request.
///
/// Thread safety: all methods may be called from any thread.
class entry_router {
public:
    /// @param directory  outlives the router
    entry_router(const dispatch_directory& directory, std::string own_failure_domain,
                 std::uint64_t seed);

    /// Takes over the own region and forgets targets that are no longer published.
    void apply(const configuration& in_force);

    /// Where to send the request next; nothing: nowhere. Linear in the number of failure domains
    /// that serve the target.
    std::optional<dispatch_address> choose(const admitted_request& request,
                                           const visited_places& visited);

    /// A request came in.
    void on_request();

    /// Takes one retry out of the budget of its cause. False: none is left.
    [[nodiscard]] bool may_retry(retry_cause cause);

    /// Whether the dispatch process is in the own failure domain.
    [[nodiscard]] bool is_own(const dispatch_address& where) const
    {
        return where.failure_domain == m_own_failure_domain;
    }

private:
    using choosers = std::array<std::optional<domain_chooser>, 2>; // batch, interactive

    [[nodiscard]] std::optional<dispatch_address> choose_from(const target_route& route,
                                                              const admitted_request& request,
                                                              const visited_places& visited);
    domain_chooser& chooser_of(const admitted_request& request);
    [[nodiscard]] std::optional<dispatch_address>
    pick_member(const std::vector<dispatch_address>& members, const visited_places& visited);

    const dispatch_directory& m_directory;
    const std::string m_own_failure_domain;
    std::mutex m_mutex; // guards what follows
    std::string m_own_region;
    std::map<std::string, choosers> m_choosers; // by target
    retry_budget m_budget;
    // What a lost dispatch process had under way is sent again all at once and for the most part no
    // longer runs anywhere, so this guards against processes that come and go, not endpoints.
    retry_budget m_lost_budget{1, 1'000};
    random_source m_random;
};

} // namespace hickorykeel
