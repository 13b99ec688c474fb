#pragma once

#include "gateway/routing/region_choice.h"
#include "gateway/serving/serving_context.h"

#include <cstdint>  // uint32_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace hickorykeel::gateway {

/// Properties of a request that decide which regions may serve it.
struct region_query {
    const std::string& service;
    const route* matched_route = nullptr;
    /// Owner of the caller's key; null if there is none.
    const organisation* caller_organisation = nullptr;
    const prompt* prompt_size = nullptr; ///< null if the request has no home region
    /// Hash of the only software version that may serve the request; nothing: any may.
    std::optional<std::uint32_t> software_version = {};
};

/// Returns whether the data of a request may be sent to `region`. Thread safe.
[[nodiscard]] bool allows_region(const route& matched_route,
                                 const organisation* caller_organisation,
                                 const std::string& region);

/// Returns the slots of the published endpoints by service and region, without those that get no
/// requests. O(endpoints).
[[nodiscard]] service_capacities to_capacities(const published_state& state,
                                               const gateway_settings& settings);

/// Whether an endpoint of any region takes requests for `service` and has the software version whose
/// hash is given. O(endpoints).
[[nodiscard]] bool has_version(const serving_context& context, const std::string& service,
                               std::uint32_t software_version);

/// Returns the regions that may serve a forwarded request now: other regions, each with the load
/// that one of its hosts last reported, less the requests forwarded since, and this host's own if it
/// has lost its path to the endpoints and another host there hasn't. O(hosts).
[[nodiscard]] std::vector<region_option>
find_region_options(const serving_context& context, const region_query& query, time_point now);

/// Whether another host of this host's region has a path to its endpoints, as far as is known.
/// O(hosts of the region).
[[nodiscard]] bool has_host_with_path(const serving_context& context, time_point now);

/// Returns a random host of `region` that may be sent requests, or null if there is none.
[[nodiscard]] const member* pick_host(serving_context& context, const std::string& region,
                                      time_point now);

/// Returns a random one of the usable hosts of this region that have a share of a brittle endpoint's
/// room, or null if there is none. O(hosts * log(hosts)).
[[nodiscard]] const member* pick_room_holder(serving_context& context, const endpoint_room& room,
                                             time_point now);

} // namespace hickorykeel::gateway
