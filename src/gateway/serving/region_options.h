#pragma once

#include "gateway/routing/region_choice.h"
#include "gateway/serving/serving_context.h"

#include <string> // string
#include <vector> // vector

namespace hickorykeel::gateway {

/// What decides which regions may serve a request.
struct region_query {
    const std::string& service;
    const route* matched_route = nullptr;
    const organisation* caller_organisation = nullptr; ///< of the caller's key; null: none
    const prompt* prompt_size = nullptr;               ///< null: the request has no home region
};

/// Whether data of a request may go to `region`. Thread safe.
[[nodiscard]] bool allows_region(const route& on, const organisation* caller_organisation,
                                 const std::string& region);

/// The other regions that may serve a request now and say that they have places, less what was
/// passed to them since.
[[nodiscard]] std::vector<region_option>
find_region_options(const serving_context& context, const region_query& query, time_point now);

/// One of the hosts of `region` that serve `service`, drawn at random, or null.
[[nodiscard]] const member* pick_host(serving_context& context, const std::string& service,
                                      const std::string& region, time_point now);

} // namespace hickorykeel::gateway
