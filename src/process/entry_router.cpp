#include "process/entry_router.h"

#include <algorithm> // find
#include <utility>   // move
#include <variant>   // get_if

namespace hickorykeel {

entry_router::entry_router(const dispatch_directory& directory, std::string own_failure_domain,
                           std::uint64_t seed)
    : m_directory(directory), m_own_failure_domain(std::move(own_failure_domain)), m_random(seed)
{
}

void entry_router::apply(const configuration& in_force)
{
    const std::lock_guard lock(m_mutex);
    const auto own = in_force.failure_domains.find(m_own_failure_domain);
    const std::string region = own == in_force.failure_domains.end() ? "" : own->second.region;
    if (region != m_own_region) {
        m_own_region = region;
        m_choosers.clear();
    }
    std::erase_if(m_choosers,
                  [&](const auto& row) { return !in_force.targets.contains(row.first); });
}

std::optional<dispatch_address> entry_router::choose(const admitted_request& request,
                                                     const visited_places& visited)
{
    const std::lock_guard lock(m_mutex);
    for (const route_scope scope : {route_scope::trusted, route_scope::all}) {
        const target_route_ptr route = m_directory.route_to(request.matched_target->name, scope);
        if (!route) {
            continue;
        }
        if (auto chosen = choose_from(*route, request, visited)) {
            return chosen;
        }
    }
    return std::nullopt;
}

// precondition: the mutex is held
std::optional<dispatch_address> entry_router::choose_from(const target_route& route,
                                                          const admitted_request& request,
                                                          const visited_places& visited)
{
    const auto& views = request.matched_profile->is_interactive ? route.interactive : route.batch;
    std::vector<std::string> visited_domains = visited.failure_domains;
    domain_chooser& chooser = chooser_of(request);
    while (true) {
        const domain_choice choice =
            chooser.choose({.allowed_regions = request.matched_profile->regions,
                            .visited = visited_domains,
                            .bytes = request.body.size()},
                           views);
        const auto* at = std::get_if<std::size_t>(&choice);
        if (at == nullptr) {
            return std::nullopt;
        }
        if (auto member = pick_member(route.members[*at], visited)) {
            return member;
        }
        visited_domains.push_back(views[*at].domain.name);
    }
}

// precondition: the mutex is held
domain_chooser& entry_router::chooser_of(const admitted_request& request)
{
    auto& chooser =
        m_choosers[request.matched_target->name][request.matched_profile->is_interactive ? 1 : 0];
    if (!chooser) {
        chooser.emplace(failure_domain{m_own_failure_domain, m_own_region});
    }
    return *chooser;
}

// precondition: the mutex is held
std::optional<dispatch_address>
entry_router::pick_member(const std::vector<dispatch_address>& members,
                          const visited_places& visited)
{
    const auto has_visited = [&](const dispatch_address& member) {
        return std::find(visited.addresses.begin(), visited.addresses.end(), member.address) !=
               visited.addresses.end();
    };
    // the own host stands first
    if (m_directory.is_own_address(members.front().address) && !has_visited(members.front())) {
        return members.front();
    }
    const std::size_t begin = random_index(m_random, members.size());
    for (std::size_t i = 0; i < members.size(); ++i) {
        const dispatch_address& member = members[(begin + i) % members.size()];
        if (!has_visited(member)) {
            return member;
        }
    }
    return std::nullopt;
}

void entry_router::on_request()
{
    const std::lock_guard lock(m_mutex);
    m_budget.on_request();
    m_lost_budget.on_request();
}

bool entry_router::may_retry(retry_cause cause)
{
    const std::lock_guard lock(m_mutex);
    return (cause == retry_cause::process_lost ? m_lost_budget : m_budget).try_take();
}

} // namespace hickorykeel
