#include "gateway/membership/directory_choice.h"

#include <algorithm> // any_of

namespace hickorykeel::gateway {

namespace {

constexpr std::size_t max_named_hosts = 64;

/// How well a candidate suits a caller; greater is better.
struct suitability {
    directory_scope scope = directory_scope::none;
    unsigned weight = 0; ///< among candidates of the same scope

    [[nodiscard]] bool is_equal_to(const suitability& other) const noexcept
    {
        return scope == other.scope && weight == other.weight;
    }

    [[nodiscard]] bool is_better_than(const suitability& other) const noexcept
    {
        return scope == other.scope ? weight > other.weight : scope > other.scope;
    }
};

suitability to_suitability(const directory_candidate& candidate, const directory_caller& caller)
{
    if (candidate.failure_domain == caller.failure_domain) {
        return {directory_scope::failure_domain};
    }
    if (candidate.region == caller.region) {
        return {directory_scope::region};
    }
    if (!caller.homes) {
        return {};
    }
    const name_homes& homes = *caller.homes;
    if (homes.allow_all(candidate.region)) {
        const bool is_restricted = homes.restricted_routes > 0;
        return {directory_scope::home,
                is_restricted ? name_homes::count(homes.organisations_by_region, candidate.region)
                              : 0};
    }
    if (caller.may_be_elsewhere && homes.allow_any(candidate.region)) {
        return {directory_scope::elsewhere,
                name_homes::count(homes.restricted_by_region, candidate.region)};
    }
    return {};
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

/// Whether all hosts that all routes of the caller may use are lost, if none of them is ready.
bool are_lost(const member_table& members, const directory_host& own,
              const directory_caller& caller, duration restart_time, time_point now)
{
    // a host that has just started may not have heard the others yet
    if (!caller.homes || own.age < restart_time) {
        return false;
    }
    const auto suits = [&caller](const std::string& region) {
        return region == caller.region || caller.homes->allow_all(region);
    };
    const auto was_seen = [&](const auto& item) {
        return suits(item.first) && now - item.second.last_seen < restart_time;
    };
    const auto& regions = members.regions();
    if (suits(own.region) || std::any_of(regions.begin(), regions.end(), was_seen)) {
        return false;
    }
    // where no region suits all routes, a caller's region without hosts is no loss
    const auto found = regions.find(caller.region);
    return caller.homes->have_common_region() ||
           (found != regions.end() && !found->second.hosts.empty());
}

} // namespace

directory_choice choose_addresses(const std::vector<directory_candidate>& candidates,
                                  const directory_caller& caller, std::size_t max_addresses)
{
    directory_choice choice;
    suitability best;
    for (const directory_candidate& candidate : candidates) {
        const suitability found = to_suitability(candidate, caller);
        if (found.is_better_than(best)) {
            best = found;
            choice.addresses.clear();
        }
        if (found.is_equal_to(best) && best.scope != directory_scope::none &&
            choice.addresses.size() < max_addresses) {
            choice.addresses.push_back(candidate.address);
        }
    }
    choice.scope = choice.addresses.empty() ? directory_scope::none : best.scope;
    return choice;
}

directory_choice choose_hosts(const member_table& members, const directory_host& own,
                              directory_caller caller, duration restart_time, time_point now)
{
    caller.may_be_elsewhere = are_lost(members, own, caller, restart_time, now);
    return choose_addresses(to_candidates(members, own, now), caller, max_named_hosts);
}

} // namespace hickorykeel::gateway
