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

/// State of one target in one failure domain, as known to an entry process.
struct domain_view {
    failure_domain domain;
    std::size_t live_endpoints = 0; ///< 0 also if the failure domain is unreachable
    duration expected_wait{0};      ///< expected wait of a new request
    /// One-way latency, from round trips; used if above the configured minimum.
    duration measured_latency{0};
};

/// Properties of a request that decide its failure domain.
struct domain_request {
    std::span<const std::string> allowed_regions{}; ///< allowed by the request's profile
    std::span<const std::string> visited{}; ///< failure domains that already had the request
    std::uint64_t bytes = 0;                ///< size of the body
};

/// Why no failure domain was chosen.
enum class no_domain_reason {
    none_allowed, ///< no failure domain of an allowed region is known
    none_live,    ///< no allowed failure domain has a live endpoint
    all_visited,  ///< all live ones already had the request or are excluded by an earlier forward
};

/// Index of the chosen failure domain in the views, or the reason why there is none.
using domain_choice = std::variant<std::size_t, no_domain_reason>;

/// Costs of a transfer to another failure domain, and the margins of the hysteresis.
struct domain_choice_settings {
    /// Minimum one-way latency to another region.
    duration region_latency{std::chrono::milliseconds{80}};
    /// Minimum one-way latency to another failure domain of the region.
    duration domain_latency{std::chrono::milliseconds{1}};
    double bytes_per_second = 250e6; ///< bandwidth between two regions
    /// Minimum saving in cost (expected wait + transfer time), against the nearest failure domain,
    /// to start choosing the one of least cost.
    duration start_margin{std::chrono::milliseconds{200}};
    /// The same, to go on choosing it.
    duration stop_margin{std::chrono::milliseconds{0}};
};

/// Chooses the failure domain for each request of one target at one entry process: the nearest one
/// by transfer time (the own one first, then normally another of the own region), unless the one
/// with the least sum of expected wait and transfer time saves more than a margin with hysteresis.
/// Failure domains without a live endpoint are left out. A request is forwarded out of its failure
/// domain at most once, and never to a region that its profile does not allow.
///
/// Thread safety: none. O(v (a + f)) for each choice, for v views, a allowed regions and f visited
/// failure domains.
class domain_chooser {
public:
    explicit domain_chooser(failure_domain own, domain_choice_settings settings = {});

    /// Chooses the failure domain for `request` out of `views`. Keeps the state of the hysteresis.
    [[nodiscard]] domain_choice choose(const domain_request& request,
                                       std::span<const domain_view> views);

private:
    [[nodiscard]] bool is_own(const domain_view& view) const;
    [[nodiscard]] bool may_visit(const domain_request& request, const domain_view& view) const;

    /// Round trip to the failure domain and, to another region, the time to send `bytes`.
    [[nodiscard]] duration transfer_time(const domain_view& view, std::uint64_t bytes) const;
    [[nodiscard]] std::size_t nearest(const domain_request& request,
                                      std::span<const domain_view> views) const;
    [[nodiscard]] std::size_t cheapest(const domain_request& request,
                                       std::span<const domain_view> views) const;
    [[nodiscard]] no_domain_reason reason_for(const domain_request& request,
                                              std::span<const domain_view> views) const;

    failure_domain m_own;
    domain_choice_settings m_settings;
    bool m_prefers_cheapest = false; // the last choice was the cheapest, not the nearest
};

} // namespace hickorykeel
