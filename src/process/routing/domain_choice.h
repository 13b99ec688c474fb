#pragma once

#include "process/clock.h"
#include "version/configuration.h"

#include <chrono>  // milliseconds
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <span>    // span
#include <string>  // string
#include <variant> // variant

namespace hickorykeel {

/// What an entry process knows of one target in one failure domain.
struct domain_view {
    failure_domain domain;
    std::size_t live_endpoints = 0; ///< 0 also where the failure domain cannot be reached
    duration expected_wait{0};      ///< of a new request
    duration measured_latency{0};   ///< one way, from round trips; used where above the settings
};

/// A request that needs a failure domain.
struct domain_request {
    std::span<const std::string> allowed_regions{}; ///< of its profile
    std::span<const std::string> visited{};         ///< failure domains that already had it
    std::uint64_t bytes = 0;                        ///< of its body
};

/// Why no failure domain was chosen.
enum class no_domain_reason {
    none_allowed, ///< no failure domain of an allowed region is known
    none_live,    ///< no allowed one has a live endpoint
    all_visited,  ///< the live ones already had it, or it was forwarded once
};

/// Place in the views of the chosen failure domain.
using domain_choice = std::variant<std::size_t, no_domain_reason>;

/// Costs of the way to another failure domain.
struct domain_choice_settings {
    duration region_latency{std::chrono::milliseconds{80}}; ///< one way to another region
    duration domain_latency{std::chrono::milliseconds{1}};  ///< one way within a region
    double bytes_per_second = 250e6;                        ///< between two regions
    duration start_margin{
        std::chrono::milliseconds{200}};                ///< saved beyond the way to start leaving
    duration stop_margin{std::chrono::milliseconds{0}}; ///< saved beyond the way to go on leaving
};

/// Chooses the failure domain of each request of one target at one entry process: the own one
/// first, then another of the own region, and another region only where the expected wait saved
/// exceeds the way there by a margin with hysteresis, or the own region has no live endpoint. A
/// request leaves its failure domain at most once, and never for a region that its profile does
/// not allow.
///
/// Thread safety: none. O(number of views) for each choice.
class domain_chooser {
public:
    explicit domain_chooser(failure_domain own, domain_choice_settings settings = {});

    [[nodiscard]] domain_choice choose(const domain_request& request,
                                       std::span<const domain_view> views);

private:
    [[nodiscard]] bool is_own(const domain_view& view) const;
    [[nodiscard]] bool may_visit(const domain_request& request, const domain_view& view) const;
    [[nodiscard]] duration transfer_time(const domain_view& view, std::uint64_t bytes) const;
    [[nodiscard]] std::size_t nearest(const domain_request& request,
                                      std::span<const domain_view> views) const;
    [[nodiscard]] std::size_t cheapest(const domain_request& request,
                                       std::span<const domain_view> views) const;
    [[nodiscard]] no_domain_reason reason_for(const domain_request& request,
                                              std::span<const domain_view> views) const;

    failure_domain m_own;
    domain_choice_settings m_settings;
    bool m_is_leaving_region = false; // requests go further than the nearest now
};

} // namespace hickorykeel
