#include "gateway/membership/directory_choice.h"

#include <chrono> // seconds
#include <limits> // numeric_limits

namespace hickorykeel::gateway {

namespace {

constexpr std::size_t max_named_hosts = 64;

/// Time after its start in which a host may not have heard hosts of the home regions yet.
constexpr duration hearing_period = std::chrono::seconds{1};

constexpr unsigned same_domain = std::numeric_limits<unsigned>::max();
constexpr unsigned same_region = same_domain - 1;

/// Rank of a candidate, larger is better: the caller's failure domain, then its region, then the
/// other regions by the number of routes that they are home to.
unsigned to_rank(const directory_candidate& candidate, const directory_caller& caller)
{
    if (candidate.failure_domain == caller.failure_domain) {
        return same_domain;
    }
    if (candidate.region == caller.region) {
        return same_region;
    }
    const auto found = caller.home_routes.find(candidate.region);
    return found == caller.home_routes.end() ? 0 : found->second;
}

/// Returns the scope of a candidate with rank `rank`.
directory_scope to_scope(unsigned rank)
{
    if (rank >= same_region) {
        return rank == same_domain ? directory_scope::failure_domain : directory_scope::region;
    }
    return rank > 0 ? directory_scope::home : directory_scope::elsewhere;
}

std::vector<directory_candidate> to_candidates(const member_table& members,
                                               const directory_host& own, time_point now)
{
    std::vector<directory_candidate> candidates;
    if (own.is_ready) {
        candidates.push_back({own.address, own.failure_domain, own.region});
    }
    const std::string port = own.address.substr(own.address.rfind(':'));
    for (const member* host : members.ready(now)) {
        candidates.push_back({host->last.ip + port, host->last.failure_domain, host->last.region});
    }
    return candidates;
}

} // namespace

directory_choice choose_addresses(const std::vector<directory_candidate>& candidates,
                                  const directory_caller& caller, std::size_t max_addresses)
{
    directory_choice choice;
    unsigned best = caller.may_be_elsewhere ? 0 : 1;
    for (const directory_candidate& candidate : candidates) {
        const unsigned rank = to_rank(candidate, caller);
        if (rank > best) {
            best = rank;
            choice.addresses.clear();
        }
        if (rank == best && choice.addresses.size() < max_addresses) {
            choice.addresses.push_back(candidate.address);
        }
    }
    choice.scope = choice.addresses.empty() ? directory_scope::none : to_scope(best);
    return choice;
}

directory_choice choose_hosts(const member_table& members, const directory_host& own,
                              directory_caller caller, bool knows_routes, time_point now)
{
    caller.may_be_elsewhere =
        knows_routes && (caller.home_routes.empty() || own.age >= hearing_period);
    return choose_addresses(to_candidates(members, own, now), caller, max_named_hosts);
}

} // namespace hickorykeel::gateway
