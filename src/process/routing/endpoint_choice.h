#pragma once

#include "process/routing/endpoint_table.h"
#include "process/routing/random_source.h"

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <limits>  // numeric_limits
#include <span>    // span
#include <variant> // variant

namespace hickorykeel {

/// What a choice needs to know of a request.
struct request_view {
    std::uint64_t prefix_hash = 0; ///< 0: none
    std::uint64_t tokens = 1;      ///< reserved
    bool is_interactive = true;
    bool is_idempotent = true;
    double seconds_left = std::numeric_limits<double>::infinity(); ///< until its deadline
    double expected_wait = 0;                ///< seconds that it would wait on for another endpoint
    std::span<const std::size_t> excluded{}; ///< endpoints that already had it
};

/// Why no endpoint was chosen.
enum class no_endpoint_reason {
    none_listed,         ///< the target has no endpoint in this failure domain
    none_available,      ///< all are leaving, excluded or behind an open breaker
    none_with_free_slot, ///< wait until one ends a request
};

using endpoint_choice = std::variant<std::size_t, no_endpoint_reason>;

/// Endpoints to choose from: those with room for one more, or all that are available.
enum class choice_pool { with_free_slot, available };

/// Way of picking one endpoint out of a pool. Objects may hold state; thread safety: none.
class endpoint_policy {
public:
    endpoint_policy() = default;
    endpoint_policy(const endpoint_policy&) = delete;
    endpoint_policy& operator=(const endpoint_policy&) = delete;
    endpoint_policy(endpoint_policy&&) = delete;
    endpoint_policy& operator=(endpoint_policy&&) = delete;
    virtual ~endpoint_policy() = default;

    /// Index out of `pool` that `request` may use, or endpoint_table::no_index.
    virtual std::size_t pick(const request_view& request, const endpoint_table& table,
                             std::span<const std::size_t> pool, random_source& random) = 0;
};

/// Any, each as likely as the others.
class random_policy final : public endpoint_policy {
public:
    std::size_t pick(const request_view& request, const endpoint_table& table,
                     std::span<const std::size_t> pool, random_source& random) override;
};

/// One after the other.
class round_robin_policy final : public endpoint_policy {
public:
    std::size_t pick(const request_view& request, const endpoint_table& table,
                     std::span<const std::size_t> pool, random_source& random) override;

private:
    std::size_t m_next = 0;
};

/// Fewest own requests in flight. O(n): a yardstick, not for large pools.
class least_outstanding_policy final : public endpoint_policy {
public:
    std::size_t pick(const request_view& request, const endpoint_table& table,
                     std::span<const std::size_t> pool, random_source& random) override;
};

/// The one of two at random with fewer own requests in flight.
class power_of_two_policy final : public endpoint_policy {
public:
    std::size_t pick(const request_view& request, const endpoint_table& table,
                     std::span<const std::size_t> pool, random_source& random) override;
};

/// Weights of the default policy.
struct weigh_settings {
    std::size_t samples = 3;      ///< candidates at random beside the preferred ones
    double hot_utilisation = 0.8; ///< from here on an endpoint is hot
    double affinity_discount =
        0.5;                      ///< factor of the expected time where the prefix is likely cached
    double affinity_bound = 1.25; ///< times the mean utilisation that a preferred one may have
    double deadline_margin = 2;   ///< times the expected time that must be left to the deadline
    double slow_factor = 1.5; ///< times the usual time to the first token from which on it waits
};

/// The default. Candidates are some at random and the endpoints that the prefix prefers, as long
/// as their load is bounded. Of the cold ones the shortest expected time to the first token wins;
/// where all are hot, the least utilised. An endpoint that would miss the deadline where a usual one
/// would keep it is not taken, nor one so slow that waiting for a usual one is likely to be
/// shorter: the request waits. O(samples).
class weigh_policy final : public endpoint_policy {
public:
    explicit weigh_policy(weigh_settings settings = {}) : m_settings{settings} {}

    std::size_t pick(const request_view& request, const endpoint_table& table,
                     std::span<const std::size_t> pool, random_source& random) override;

private:
    weigh_settings m_settings;
};

/// Chooses an endpoint for `request`. Never a leaving one, an excluded one or one behind an open
/// breaker; one that is half-open only for an idempotent request.
[[nodiscard]] endpoint_choice choose(const request_view& request, const endpoint_table& table,
                                     endpoint_policy& policy, random_source& random,
                                     choice_pool pool = choice_pool::with_free_slot);

} // namespace hickorykeel
