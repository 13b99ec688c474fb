#include "gateway/serving/region_options.h"

#include "gateway/limits/room_share.h"
#include "gateway/routing/rendezvous.h"

#include <algorithm> // any_of, find, min
#include <cstdint>   // uint32_t
#include <map>       // map
#include <optional>  // nullopt, optional

namespace hickorykeel::gateway {

namespace {

/// Whether requests may be forwarded to `host`. One without a path to endpoints could only refuse
/// them.
bool is_usable(const serving_context& context, const member& host, time_point now)
{
    const auto backoff = context.unreachable_until.find(host.last.ip);
    const bool is_in_backoff = backoff != context.unreachable_until.end() && now < backoff->second;
    return context.members.is_ready(host, now) && host.last.has_configuration &&
           !host.last.lacks_endpoint_path && !is_in_backoff;
}

bool has_usable_host(const serving_context& context, const region_members& region, time_point now)
{
    return std::any_of(region.hosts.begin(), region.hosts.end(),
                       [&](const member* host) { return is_usable(context, *host, now); });
}

/// Returns the capacity of this host's region for requests that it forwards to another host there, or
/// nothing if it has a path to the endpoints itself.
std::optional<service_load> own_region_load(const serving_context& context,
                                            const std::string& service, time_point now)
{
    const publication_ptr& published = context.state.published();
    if (!context.path.is_lost(now) || published == nullptr) {
        return std::nullopt;
    }
    const auto* of = published->find_service(service);
    return of == nullptr ? std::nullopt : std::optional{context.pool.peer_capacity(*of, now)};
}

/// Returns the capacity of a region for requests that are forwarded to it; nothing: it takes none.
std::optional<service_load> load_of(const serving_context& context, const std::string& region,
                                    const region_members& known, const std::string& service,
                                    time_point now)
{
    if (region == context.settings.region) {
        return own_region_load(context, service, now);
    }
    const auto load = known.services.find(service);
    return load == known.services.end() ? std::nullopt : std::optional{load->second};
}

/// Returns the region for requests that share the prompt's prefix, or an empty string if the
/// request has no home region.
std::string home_region_of(const serving_context& context, const region_query& query)
{
    // processing a short prompt again is quicker than sending it to another region
    if (query.prompt_size == nullptr || query.prompt_size->prefixes.empty() ||
        query.prompt_size->prefixes.back().tokens < context.options.min_home_tokens) {
        return {};
    }
    const auto of_service = context.capacities.find(query.service);
    if (of_service == context.capacities.end()) {
        return {};
    }
    std::map<std::string, double> allowed;
    for (const auto& [region, slots] : of_service->second) {
        if (allows_region(*query.matched_route, query.caller_organisation, region)) {
            allowed.emplace(region, slots);
        }
    }
    return home_region(query.prompt_size->shared_id(), allowed);
}

/// Whether an endpoint takes requests for `service` and has this software version.
bool is_of_version(const serving_context& context, const endpoint_entry& entry,
                   const std::string& service, std::uint32_t software_version)
{
    return entry.service == service && !entry.is_draining &&
           short_hash(entry.software_version) == software_version &&
           !context.state.is_evacuated(entry.failure_domain);
}

/// Whether `region` has an endpoint of the service that takes requests and whose software version
/// is the one that the request requires, if it does. O(endpoints) if it does.
bool has_required_version(const serving_context& context, const region_query& query,
                          const std::string& region)
{
    const auto& endpoints = context.state.endpoints();
    return !query.software_version ||
           std::any_of(endpoints.begin(), endpoints.end(), [&](const auto& item) {
               const endpoint_entry& entry = item.second;
               return is_of_version(context, entry, query.service, *query.software_version) &&
                      context.settings.region_of(entry.failure_domain) == region;
           });
}

} // namespace

bool allows_region(const route& matched_route, const organisation* caller_organisation,
                   const std::string& region)
{
    const auto allows = [&region](const std::vector<std::string>& homes) {
        return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
    };
    return allows(matched_route.home_regions) &&
           (caller_organisation == nullptr || allows(caller_organisation->home_regions));
}

bool has_version(const serving_context& context, const std::string& service,
                 std::uint32_t software_version)
{
    const auto& endpoints = context.state.endpoints();
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto& item) {
        return is_of_version(context, item.second, service, software_version);
    });
}

service_capacities to_capacities(const published_state& state, const gateway_settings& settings)
{
    service_capacities capacities;
    for (const auto& [id, entry] : state.endpoints()) {
        if (!entry.is_draining && !state.is_evacuated(entry.failure_domain)) {
            capacities[entry.service][settings.region_of(entry.failure_domain)] += entry.slots;
        }
    }
    return capacities;
}

std::vector<region_option> find_region_options(const serving_context& context,
                                               const region_query& query, time_point now)
{
    std::vector<region_option> options;
    for (const auto& [region, known] : context.members.regions()) {
        const auto load = load_of(context, region, known, query.service, now);
        if (load && allows_region(*query.matched_route, query.caller_organisation, region) &&
            has_required_version(context, query, region) && has_usable_host(context, known, now)) {
            options.push_back({.region = region,
                               .expected_wait = load->expected_wait,
                               .free_places = load->free_places,
                               .is_own = region == context.settings.region});
        }
    }
    const std::string home = home_region_of(context, query);
    for (region_option& option : options) {
        const auto forwarded = context.forwarded_requests.find(option.region + '/' + query.service);
        if (forwarded != context.forwarded_requests.end()) {
            option.free_places -= std::min(option.free_places, forwarded->second);
        }
        option.is_home = option.region == home;
    }
    return options;
}

bool has_host_with_path(const serving_context& context, time_point now)
{
    const auto known = context.members.regions().find(context.settings.region);
    return known != context.members.regions().end() && has_usable_host(context, known->second, now);
}

const member* pick_host(serving_context& context, const std::string& region, time_point now)
{
    const auto known = context.members.regions().find(region);
    if (known == context.members.regions().end() || known->second.hosts.empty()) {
        return nullptr;
    }
    const std::vector<const member*>& hosts = known->second.hosts;
    const std::size_t first = random_index(context.random, hosts.size());
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const member* const host = hosts[(first + i) % hosts.size()];
        if (is_usable(context, *host, now)) {
            return host;
        }
    }
    return nullptr;
}

const member* pick_room_holder(serving_context& context, const endpoint_room& room, time_point now)
{
    const cold_owner_candidate own{context.settings.ip, context.settings.region, false};
    std::vector<const member*> usable;
    for (const std::string& ip :
         room_share_holders(context.members, own, room.endpoint, room.places)) {
        const auto found = context.members.all().find(ip);
        if (found != context.members.all().end() && is_usable(context, found->second, now)) {
            usable.push_back(&found->second);
        }
    }
    return usable.empty() ? nullptr : usable[random_index(context.random, usable.size())];
}

} // namespace hickorykeel::gateway
