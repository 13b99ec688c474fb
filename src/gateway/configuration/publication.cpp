#include "gateway/configuration/publication.h"

#include <algorithm> // max, upper_bound
#include <array>     // array
#include <set>       // set
#include <utility>   // move

namespace hickorykeel::gateway {

std::string_view to_name(request_kind kind) noexcept
{
    constexpr std::array<std::string_view, 3> names{"safe", "non_idempotent", "streaming"};
    return names[static_cast<std::size_t>(kind)];
}

namespace {

/// Counts each of `regions` once, however often it is listed.
void count_each(const std::vector<std::string>& regions, std::map<std::string, unsigned>& counts)
{
    for (const std::string& region : std::set<std::string>{regions.begin(), regions.end()}) {
        ++counts[region];
    }
}

} // namespace

void publication::add(route added)
{
    auto& routes = m_routes[added.host];
    const auto at = std::upper_bound(
        routes.begin(), routes.end(), added,
        [](const route& lhs, const route& rhs) { return lhs.prefix.size() > rhs.prefix.size(); });
    routes.insert(at, std::move(added));
    ++m_route_count;
}

void publication::add(service added)
{
    std::string name = added.name;
    m_services.insert_or_assign(std::move(name), std::move(added));
}

void publication::add(organisation added, const std::vector<std::string>& keys)
{
    for (const std::string& key : keys) {
        m_owner_by_key.insert_or_assign(key, added.name);
    }
    std::string name = added.name;
    m_organisations.insert_or_assign(std::move(name), std::move(added));
}

const route* publication::find_route(std::string_view host, std::string_view path) const
{
    const auto found = m_routes.find(std::string{host});
    if (found == m_routes.end()) {
        return nullptr;
    }
    for (const route& candidate : found->second) {
        if (path.starts_with(candidate.prefix)) {
            return &candidate;
        }
    }
    return nullptr;
}

name_homes publication::find_homes(const std::string& host) const
{
    name_homes homes;
    const auto found = m_routes.find(host);
    if (found == m_routes.end()) {
        return homes;
    }
    for (const route& candidate : found->second) {
        ++homes.routes;
        homes.restricted_routes += candidate.home_regions.empty() ? 0 : 1;
        count_each(candidate.home_regions, homes.restricted_by_region);
    }
    for (const auto& [name, of] : m_organisations) {
        count_each(of.home_regions, homes.organisations_by_region);
    }
    return homes;
}

std::map<std::string, duration> publication::longest_timeouts() const
{
    std::map<std::string, duration> longest;
    for (const auto& [host, routes] : m_routes) {
        for (const route& of_host : routes) {
            for (const weighted_service& target : of_host.services) {
                duration& timeout = longest[target.service];
                timeout = std::max<duration>(timeout, of_host.timeout);
            }
        }
    }
    return longest;
}

const service* publication::find_service(const std::string& name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

const organisation* publication::find_key_owner(const std::string& key) const
{
    const auto found = m_owner_by_key.find(key);
    if (found == m_owner_by_key.end()) {
        return nullptr;
    }
    const auto owner = m_organisations.find(found->second);
    return owner == m_organisations.end() ? nullptr : &owner->second;
}

} // namespace hickorykeel::gateway
