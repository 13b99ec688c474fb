#include "process/routing/endpoint_choice.h"

#include <algorithm> // find, min
#include <limits>    // numeric_limits

namespace hickorykeel {

namespace {

constexpr std::size_t no_index = endpoint_table::no_index;

/// Maximum number of endpoints of a pool that next_eligible() examines.
constexpr std::size_t max_examined = 64;

/// Returns whether `request` may use the available endpoint `index`.
bool is_eligible(const request_view& request, const endpoint_table& table, std::size_t index)
{
    const auto& excluded = request.excluded;
    if (std::find(excluded.begin(), excluded.end(), index) != excluded.end()) {
        return false;
    }
    if (table.state(index).breaker != breaker_state::half_open) {
        return true;
    }
    // a probe may fail, so it must be safe to retry; has_free_slot() admits one probe at a time
    return request.is_idempotent && table.has_free_slot(index);
}

/// Returns the first eligible endpoint of `pool` from position `start` on, with wrap-around, or
/// no_index if there is none among the first max_examined. Precondition: `pool` is not empty.
std::size_t next_eligible(const request_view& request, const endpoint_table& table,
                          std::span<const std::size_t> pool, std::size_t start)
{
    const std::size_t limit = std::min(pool.size(), max_examined);
    for (std::size_t step = 0; step < limit; ++step) {
        const std::size_t index = pool[(start + step) % pool.size()];
        if (is_eligible(request, table, index)) {
            return index;
        }
    }
    return no_index;
}

std::size_t any_eligible(const request_view& request, const endpoint_table& table,
                         std::span<const std::size_t> pool, random_source& random)
{
    return next_eligible(request, table, pool, random_index(random, pool.size()));
}

/// Endpoint with the figures that weigh_policy compares.
struct candidate {
    std::size_t index = no_index;
    bool is_hot = true;
    double seconds = std::numeric_limits<double>::infinity();
    double utilisation = std::numeric_limits<double>::infinity();
};

bool is_better(const candidate& lhs, const candidate& rhs)
{
    if (lhs.is_hot != rhs.is_hot) {
        return rhs.is_hot;
    }
    return lhs.is_hot ? lhs.utilisation < rhs.utilisation : lhs.seconds < rhs.seconds;
}

/// Returns whether it is better to wait for an endpoint of mean speed than to use `index`.
bool is_too_slow(const request_view& request, const endpoint_table& table,
                 const weigh_settings& settings, std::size_t index)
{
    const std::uint64_t tokens = request.tokens;
    const double time_left = request.seconds_left / settings.deadline_margin;
    const bool misses_deadline = table.response_seconds(index, tokens) > time_left;
    const double mean_wait_and_response =
        request.expected_wait + table.mean_response_seconds(tokens);
    if (misses_deadline && mean_wait_and_response <= time_left) {
        return true;
    }
    const double mean_first_token = table.mean_first_token_seconds(tokens);
    // compares without the present load, since an endpoint that is waited for is loaded even more
    return request.is_interactive &&
           table.learned_first_token_seconds(index, tokens) >
               settings.slow_factor * mean_first_token + request.expected_wait;
}

candidate to_candidate(const request_view& request, const endpoint_table& table,
                       const weigh_settings& settings, std::size_t index)
{
    const double utilisation = table.estimated_load(index) / table.usable_slots(index);
    return {index, utilisation >= settings.hot_utilisation,
            table.first_token_seconds(index, request.tokens), utilisation};
}

} // namespace

std::size_t random_policy::pick(const request_view& request, const endpoint_table& table,
                                std::span<const std::size_t> pool, random_source& random)
{
    return any_eligible(request, table, pool, random);
}

std::size_t round_robin_policy::pick(const request_view& request, const endpoint_table& table,
                                     std::span<const std::size_t> pool, random_source& /*random*/)
{
    return next_eligible(request, table, pool, m_next++);
}

std::size_t least_outstanding_policy::pick(const request_view& request, const endpoint_table& table,
                                           std::span<const std::size_t> pool, random_source& random)
{
    // the search begins at a random position, so that ties are broken at random
    const std::size_t start = random_index(random, pool.size());
    std::size_t best = no_index;
    for (std::size_t step = 0; step < pool.size(); ++step) {
        const std::size_t index = pool[(start + step) % pool.size()];
        const bool is_less =
            best == no_index || table.state(index).in_flight < table.state(best).in_flight;
        if (is_less && is_eligible(request, table, index)) {
            best = index;
        }
    }
    return best;
}

std::size_t power_of_two_policy::pick(const request_view& request, const endpoint_table& table,
                                      std::span<const std::size_t> pool, random_source& random)
{
    const std::size_t start = random_index(random, pool.size());
    const std::size_t first = next_eligible(request, table, pool, start);
    if (first == no_index || pool.size() == 1) {
        return first;
    }
    const std::size_t step = 1 + random_index(random, pool.size() - 1);
    const std::size_t second = next_eligible(request, table, pool, start + step);
    return table.state(second).in_flight < table.state(first).in_flight ? second : first;
}

std::size_t weigh_policy::pick(const request_view& request, const endpoint_table& table,
                               std::span<const std::size_t> pool, random_source& random)
{
    candidate best;
    for (std::size_t i = 0; i < m_settings.samples; ++i) {
        const std::size_t index = any_eligible(request, table, pool, random);
        if (index == no_index) {
            return no_index;
        }
        if (is_too_slow(request, table, m_settings, index)) {
            continue;
        }
        const candidate sampled = to_candidate(request, table, m_settings, index);
        if (best.index == no_index || is_better(sampled, best)) {
            best = sampled;
        }
    }
    if (request.prefix_hash == 0) {
        return best.index;
    }
    const double max_utilisation = m_settings.affinity_bound * table.mean_utilisation();
    for (const std::size_t index : table.preferred(request.prefix_hash)) {
        const bool may_use = index != no_index && table.has_free_slot(index) &&
                             is_eligible(request, table, index) &&
                             !is_too_slow(request, table, m_settings, index);
        if (!may_use) {
            continue;
        }
        candidate preferred = to_candidate(request, table, m_settings, index);
        // allow one request above max_utilisation, which is 0 for an idle table
        const double one_request = 1 / table.usable_slots(index);
        if (preferred.utilisation > max_utilisation + one_request) {
            continue;
        }
        preferred.seconds *= m_settings.affinity_discount;
        if (is_better(preferred, best)) {
            best = preferred;
        }
        break; // the second one counts only if the first may not be used or is above its maximum
    }
    return best.index;
}

endpoint_choice choose(const request_view& request, const endpoint_table& table,
                       endpoint_policy& policy, random_source& random, choice_pool pool)
{
    if (table.listed_count() == 0) {
        return no_endpoint_reason::none_listed;
    }
    const auto members =
        pool == choice_pool::with_free_slot ? table.with_free_slot() : table.available();
    if (!members.empty()) {
        const std::size_t index = policy.pick(request, table, members, random);
        if (index != no_index) {
            return index;
        }
    }
    const auto available = table.available();
    const std::size_t other =
        available.empty() ? no_index : any_eligible(request, table, available, random);
    if (other == no_index) {
        return no_endpoint_reason::none_available;
    }
    // requests that choose among all available endpoints have no queue to wait in
    if (pool == choice_pool::available) {
        return other;
    }
    return no_endpoint_reason::none_with_free_slot;
}

} // namespace hickorykeel
