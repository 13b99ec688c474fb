#include "gateway/membership/directory_choice.h"

#include <algorithm> // any_of
#include <compare>   // strong_ordering

namespace hickorykeel::gateway {

namespace {

constexpr std::size_t max_named_hosts = 64;

/// How well a candidate suits a caller; greater is better.
struct suitability {
    directory_scope scope = directory_scope::none;
    unsigned weight = 0; ///< among candidates of the same scope

    friend auto operator<=>(const suitability&, const suitability&) = default;
};

/// Returns how well a host at the candidate's place suits the caller.
suitability to_place(const directory_candidate& candidate, const directory_caller& caller)
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
        return {directory_scope::home,
                name_homes::count(homes.organisations_by_region, candidate.region)};
    }
    if (caller.may_be_elsewhere && homes.allow_any(candidate.region)) {
        return {directory_scope::elsewhere,
                name_homes::count(homes.restricted_by_region, candidate.region)};
    }
    return {};
}

suitability to_suitability(const directory_candidate& candidate, const directory_caller& caller)
{
    const suitability place = to_place(candidate, caller);
    if (!candidate.is_stopping) {
        return place;
    }
    // a stopping host is no replacement for lost ones
    return place.scope > directory_scope::stopping
               ? suitability{directory_scope::stopping, static_cast<unsigned>(place.scope)}
               : suitability{};
}

std::vector<directory_candidate> to_candidates(const member_table& members,
                                               const directory_host& own,
                                               const directory_periods& periods, time_point now)
{
    std::vector<directory_candidate> candidates;
    const bool is_own_named = own.stopping_for && *own.stopping_for < periods.stopping_named;
    if (own.is_ready || is_own_named) {
        candidates.push_back({own.address, own.failure_domain, own.region, !own.is_ready});
    }
    const std::string port = own.address.substr(own.address.rfind(':'));
    for (const member* host : members.live(now)) {
        const heartbeat& last = host->last;
        const bool is_named = last.is_leaving && now - host->leaving_since < periods.stopping_named;
        if (members.is_ready(*host, now) || is_named) {
            candidates.push_back(
                {last.ip + port, last.failure_domain, last.region, last.is_leaving});
        }
    }
    return candidates;
}

/// Whether a host that all routes of the caller may use is being restarted.
bool is_restart_under_way(const member_table& members, const directory_host& own,
                          const directory_periods& periods, const directory_caller& caller,
                          time_point now)
{
    const auto suits = [&caller](const std::string& region) {
        return region == caller.region || caller.homes->allow_all(region);
    };
    return (own.stopping_for && suits(own.region)) ||
           std::any_of(members.regions().begin(), members.regions().end(), [&](const auto& item) {
               return suits(item.first) &&
                      members.has_restarting_host(item.first, periods.restart, now);
           });
}

/// Whether hosts that all routes of the caller may use are lost, if there is none to be named.
bool are_lost(const member_table& members, const directory_host& own,
              const directory_periods& periods, const directory_caller& caller, time_point now)
{
    // a host that has just started doesn't know which others are being restarted
    if (!caller.homes || own.age < periods.restart ||
        is_restart_under_way(members, own, periods, caller, now)) {
        return false;
    }
    // where no region suits all routes, a caller's region without hosts is no loss
    return caller.homes->have_common_region() || members.knows_host(caller.region);
}

} // namespace

directory_choice choose_addresses(const std::vector<directory_candidate>& candidates,
                                  const directory_caller& caller, std::size_t max_addresses)
{
    directory_choice choice;
    suitability best;
    for (const directory_candidate& candidate : candidates) {
        const suitability found = to_suitability(candidate, caller);
        if (found > best) {
            best = found;
            choice.addresses.clear();
        }
        if (found == best && best.scope != directory_scope::none &&
            choice.addresses.size() < max_addresses) {
            choice.addresses.push_back(candidate.address);
        }
    }
    choice.scope = choice.addresses.empty() ? directory_scope::none : best.scope;
    return choice;
}

directory_choice choose_hosts(const member_table& members, const directory_host& own,
                              const directory_periods& periods, directory_caller caller,
                              time_point now)
{
    caller.may_be_elsewhere = are_lost(members, own, periods, caller, now);
    return choose_addresses(to_candidates(members, own, periods, now), caller, max_named_hosts);
}

} // namespace hickorykeel::gateway
