#include "process/routing/domain_choice.h"

#include "request/residency.h"

#include <algorithm> // find, any_of, max, none_of
#include <utility>   // move

namespace hickorykeel {

namespace {

constexpr std::size_t no_index = static_cast<std::size_t>(-1);

bool has_visited(const domain_request& request, const std::string& domain)
{
    return std::find(request.visited.begin(), request.visited.end(), domain) !=
           request.visited.end();
}

} // namespace

domain_chooser::domain_chooser(failure_domain own, domain_choice_settings settings)
    : m_own{std::move(own)}, m_settings{settings}
{
}

domain_choice domain_chooser::choose(const domain_request& request,
                                     std::span<const domain_view> views)
{
    const std::size_t nearest_index = nearest(request, views);
    const std::size_t cheapest_index = cheapest(request, views);
    if (nearest_index == no_index) {
        return reason_for(request, views);
    }
    const domain_view& base = views[nearest_index];
    const domain_view& other = views[cheapest_index];
    const duration base_cost = base.expected_wait + transfer_time(base, request.bytes);
    const duration other_cost = other.expected_wait + transfer_time(other, request.bytes);
    const duration margin = m_prefers_cheapest ? m_settings.stop_margin : m_settings.start_margin;
    m_prefers_cheapest = cheapest_index != nearest_index && base_cost - other_cost > margin;
    return m_prefers_cheapest ? cheapest_index : nearest_index;
}

bool domain_chooser::is_own(const domain_view& view) const
{
    return view.domain.name == m_own.name;
}

bool domain_chooser::may_visit(const domain_request& request, const domain_view& view) const
{
    if (!is_allowed_region(request.allowed_regions, view.domain.region)) {
        return false;
    }
    if (view.live_endpoints == 0 || has_visited(request, view.domain.name)) {
        return false;
    }
    const bool was_forwarded =
        std::any_of(request.visited.begin(), request.visited.end(),
                    [this](const std::string& domain) { return domain != m_own.name; });
    return is_own(view) || !was_forwarded;
}

duration domain_chooser::transfer_time(const domain_view& view, std::uint64_t bytes) const
{
    if (is_own(view)) {
        return duration{0};
    }
    if (view.domain.region == m_own.region) {
        return 2 * std::max(m_settings.domain_latency, view.measured_latency);
    }
    return 2 * std::max(m_settings.region_latency, view.measured_latency) +
           from_seconds(static_cast<double>(bytes) / m_settings.bytes_per_second);
}

std::size_t domain_chooser::nearest(const domain_request& request,
                                    std::span<const domain_view> views) const
{
    std::size_t best = no_index;
    for (std::size_t i = 0; i < views.size(); ++i) {
        if (!may_visit(request, views[i])) {
            continue;
        }
        if (best == no_index) {
            best = i;
            continue;
        }
        const duration time = transfer_time(views[i], request.bytes);
        const duration best_time = transfer_time(views[best], request.bytes);
        const bool is_shorter_wait = views[i].expected_wait < views[best].expected_wait;
        if (time < best_time || (time == best_time && is_shorter_wait)) {
            best = i;
        }
    }
    return best;
}

std::size_t domain_chooser::cheapest(const domain_request& request,
                                     std::span<const domain_view> views) const
{
    std::size_t best = no_index;
    duration best_cost{0};
    for (std::size_t i = 0; i < views.size(); ++i) {
        if (!may_visit(request, views[i])) {
            continue;
        }
        const duration cost = views[i].expected_wait + transfer_time(views[i], request.bytes);
        if (best == no_index || cost < best_cost) {
            best = i;
            best_cost = cost;
        }
    }
    return best;
}

no_domain_reason domain_chooser::reason_for(const domain_request& request,
                                            std::span<const domain_view> views) const
{
    const auto is_allowed = [&request](const domain_view& view) {
        return is_allowed_region(request.allowed_regions, view.domain.region);
    };
    const auto is_live = [&](const domain_view& view) {
        return is_allowed(view) && view.live_endpoints > 0;
    };
    if (std::none_of(views.begin(), views.end(), is_allowed)) {
        return no_domain_reason::none_allowed;
    }
    return std::any_of(views.begin(), views.end(), is_live) ? no_domain_reason::all_visited
                                                            : no_domain_reason::none_live;
}

} // namespace hickorykeel
