#include "gateway/routing/endpoint_pool.h"

#include <algorithm> // count_if, min
#include <cstddef>   // ptrdiff_t, size_t

// What a host needs to know of endpoints while it may have lost its path to them.

namespace hickorykeel::gateway {

std::size_t endpoint_pool::listed() const
{
    return static_cast<std::size_t>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(),
                      [](const auto& item) { return item.second.is_listed; }));
}

std::size_t endpoint_pool::own_active() const
{
    std::size_t active = 0;
    for (const auto& [id, state] : m_endpoints) {
        active += state.own.active;
    }
    return active;
}

service_load endpoint_pool::peer_capacity(const service& queried_service, time_point now) const
{
    service_load load;
    load.expected_wait = max_expected_wait;
    const placement_request any{&queried_service, nullptr, {}};
    for (const auto& [id, state] : m_endpoints) {
        if (is_candidate(state, any) && !state.share && now >= state.turned_away_until &&
            !state.history->is_stated_cold(now)) {
            add_capacity(state, load, now);
        }
    }
    return load;
}

std::vector<endpoint_entry> endpoint_pool::choose_path_samples(std::size_t count,
                                                               random_source& random) const
{
    std::vector<const endpoint_entry*> candidates;
    for (const auto& [id, state] : m_endpoints) {
        if (state.is_listed && !state.is_leaving && !state.is_ended && !state.is_ended_elsewhere) {
            candidates.push_back(&state.entry);
        }
    }
    std::vector<endpoint_entry> samples;
    while (samples.size() < count && !candidates.empty()) {
        const auto picked = candidates.begin() +
                            static_cast<std::ptrdiff_t>(random_index(random, candidates.size()));
        samples.push_back(**picked);
        candidates.erase(picked);
    }
    return samples;
}

} // namespace hickorykeel::gateway
