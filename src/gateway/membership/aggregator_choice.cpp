#include "gateway/membership/aggregator_choice.h"

#include "gateway/routing/rendezvous.h"

#include <algorithm> // max_element, min
#include <cstdint>   // uint64_t

namespace hickorykeel::gateway {

namespace {

constexpr std::uint64_t aggregator_key =
    1; // hash key that separates this choice from other rendezvous hashes

struct weighted_candidate {
    aggregator_candidate host;
    std::uint64_t weight = 0;
    std::size_t chosen_in_domain = 0; ///< hosts of its failure domain that are already chosen
    bool is_chosen = false;
};

/// Whether `rhs` is to be chosen before `lhs`.
bool is_less_preferred(const weighted_candidate& lhs, const weighted_candidate& rhs)
{
    if (lhs.is_chosen != rhs.is_chosen) {
        return lhs.is_chosen;
    }
    if (lhs.chosen_in_domain != rhs.chosen_in_domain) {
        return lhs.chosen_in_domain > rhs.chosen_in_domain;
    }
    return lhs.weight < rhs.weight;
}

} // namespace

std::vector<std::string> choose_aggregators(const std::vector<aggregator_candidate>& candidates,
                                            std::size_t max_hosts)
{
    std::vector<weighted_candidate> weighted;
    weighted.reserve(candidates.size());
    for (const aggregator_candidate& candidate : candidates) {
        weighted.push_back({candidate, rendezvous_weight(aggregator_key, candidate.ip), 0, false});
    }
    std::vector<std::string> ips;
    while (ips.size() < std::min(candidates.size(), max_hosts)) {
        const auto best = std::max_element(weighted.begin(), weighted.end(), is_less_preferred);
        best->is_chosen = true;
        ips.emplace_back(best->host.ip);
        for (weighted_candidate& other : weighted) {
            other.chosen_in_domain +=
                other.host.failure_domain == best->host.failure_domain ? 1U : 0U;
        }
    }
    return ips;
}

} // namespace hickorykeel::gateway
