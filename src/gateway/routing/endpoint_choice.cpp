#include "gateway/routing/endpoint_choice.h"

#include <algorithm> // clamp, find_if, min_element
#include <utility>   // pair

namespace hickorykeel::gateway {

std::size_t choose_endpoint(const std::vector<endpoint_option>& options,
                            std::span<const std::size_t> preferred, duration preference,
                            duration peer_loads_age, random_source& random,
                            const endpoint_choice_options& settings)
{
    const duration best =
        std::min_element(options.begin(), options.end(), [](const auto& lhs, const auto& rhs) {
            return lhs.expected < rhs.expected;
        })->expected;
    double total_load = 0;
    for (const endpoint_option& option : options) {
        total_load += option.load;
    }
    const double max_load =
        total_load / static_cast<double>(options.size()) * settings.max_preferred_load +
        settings.spare_load;
    const auto owner = std::find_if(preferred.begin(), preferred.end(), [&](std::size_t at) {
        return options[at].expected <= best + preference && options[at].load <= max_load;
    });
    if (owner != preferred.end()) {
        return *owner;
    }
    const duration margin = std::clamp(
        settings.margin + from_seconds(to_seconds(peer_loads_age) * settings.margin_growth),
        settings.margin, settings.max_margin);
    std::vector<std::size_t> similar;
    similar.reserve(options.size());
    for (std::size_t at = 0; at < options.size(); ++at) {
        if (options[at].expected <= best + margin) {
            similar.push_back(at);
        }
    }
    const std::size_t first = random_index(random, similar.size());
    if (similar.size() == 1) {
        return similar[first];
    }
    // a second one, different from the first
    const std::size_t second =
        (first + 1 + random_index(random, similar.size() - 1)) % similar.size();
    const endpoint_option& lhs = options[similar[first]];
    const endpoint_option& rhs = options[similar[second]];
    return std::pair{rhs.expected, rhs.load} < std::pair{lhs.expected, lhs.load} ? similar[second]
                                                                                 : similar[first];
}

} // namespace hickorykeel::gateway
