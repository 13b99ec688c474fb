#include "gateway/routing/region_choice.h"

namespace hickorykeel::gateway {

std::optional<std::size_t> choose_region(std::optional<duration> own,
                                         const std::vector<region_option>& others,
                                         duration objective, const region_choice_options& options)
{
    if (own && *own <= from_seconds(to_seconds(objective) * options.patience)) {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    for (std::size_t at = 0; at < others.size(); ++at) {
        const region_option& option = others[at];
        if (option.free_places == 0 || (own && option.expected_wait + options.distance >= *own)) {
            continue;
        }
        if (!best || option.expected_wait < others[*best].expected_wait) {
            best = at;
        }
    }
    return best;
}

} // namespace hickorykeel::gateway
