#pragma once

#include "process/routing/endpoint_table.h"
#include "process/routing/random_source.h"

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <limits>  // numeric_limits
#include <span>    // span
#include <variant> // variant

namespace hickorykeel {

/// Properties of a request that decide its endpoint.
struct request_view {
    std::uint64_t prefix_hash = 0; ///< 0: none
    std::uint64_t tokens = 1;      ///< reserved tokens
    bool is_interactive = true;
    bool is_idempotent = true;
    /// Seconds until the deadline of the response.
    double seconds_left = std::numeric_limits<double>::infinity();
    double expected_wait = 0; ///< seconds that the request would go on waiting for another endpoint
    std::span<const std::size_t> excluded{}; ///< endpoints that already had the request
};

/// Why no endpoint was chosen.
enum class no_endpoint_reason {
    none_listed, ///< the target has no endpoint in this failure domain
    /// No endpoint is available, or none of the available ones that were examined may get the
    /// request: they are excluded, or their breaker does not admit it.
    none_available,
    none_with_free_slot, ///< no available endpoint with a free slot is suitable; the request waits
};

/// Index of the chosen endpoint in the endpoint table, or the reason why there is none.
using endpoint_choice = std::variant<std::size_t, no_endpoint_reason>;

/// Endpoints to choose from: those with a free slot, or all that are available.
enum class choice_pool { with_free_slot, available };

/// Strategy that picks one endpoint out of a pool. May hold state. Thread safety: none.
class endpoint_policy {
public:
    endpoint_policy() = default;
    endpoint_policy(const endpoint_policy&) = delete;
    endpoint_policy& operator=(const endpoint_policy&) = delete;
    endpoint_policy(endpoint_policy&&) = delete;
    endpoint_policy& operator=(endpoint_policy&&) = delete;
    virtual ~endpoint_policy() = default;

    /// Returns an endpoint that `request` may use, or endpoint_table::no_index if it finds none: an
    /// element of `pool`; weigh_policy may also return a preferred endpoint with a free slot that
    /// is not in `pool`. Precondition: `pool` is not empty.
    virtual std::size_t pick(const request_view& request, const endpoint_table& table,
                             std::span<const std::size_t> pool, random_source& random) = 0;
};

/// Picks an endpoint at random; where that one may not be used, the next in the pool. O(1).
class random_policy final : public endpoint_policy {
public:
    std::size_t pick(const request_view& request, const endpoint_table& table,
                     std::span<const std::size_t> pool, random_source& random) override;
};

/// Picks the endpoints in turn. O(1).
class round_robin_policy final : public endpoint_policy {
public:
    std::size_t pick(const request_view& request, const endpoint_table& table,
                     std::span<const std::size_t> pool, random_source& random) override;

private:
    std::size_t m_next = 0;
};

/// Picks the endpoint with the fewest own requests in flight. Only a reference to compare the other
/// policies with: O(n), so not for large pools.
class least_outstanding_policy final : public endpoint_policy {
public:
    std::size_t pick(const request_view& request, const endpoint_table& table,
                     std::span<const std::size_t> pool, random_source& random) override;
};

/// Takes two endpoints at random and picks the one with fewer own requests in flight. O(1).
class power_of_two_policy final : public endpoint_policy {
public:
    std::size_t pick(const request_view& request, const endpoint_table& table,
                     std::span<const std::size_t> pool, random_source& random) override;
};

/// Settings of weigh_policy.
struct weigh_settings {
    std::size_t samples = 3; ///< random candidates, besides the preferred ones
    /// Min. utilisation (estimated load / usable slots) of a hot endpoint.
    double hot_utilisation = 0.8;
    /// Factor applied to the expected time to the first token of a preferred endpoint, where the
    /// prefix is likely to be cached.
    double affinity_discount = 0.5;
    /// Max. utilisation of a preferred endpoint, as a multiple of the mean utilisation; one request
    /// more is allowed.
    double affinity_bound = 1.25;
    /// Min. time to the deadline, as a multiple of the expected response time.
    double deadline_margin = 2;
    /// An interactive request waits if the time to the first token exceeds the expected wait plus
    /// this factor times the mean time to the first token.
    double slow_factor = 1.5;
};

/// The default policy. Candidates are random endpoints and the first of the endpoints preferred by
/// the prefix that the request may use and whose load is within a bound. Of the candidates that are
/// not hot, the one with the shortest expected time to the first token is picked; if all are hot,
/// the least utilised. Not picked are endpoints that would miss the deadline where one of mean
/// speed would meet it, and, for interactive requests, endpoints so slow that waiting for one of
/// mean speed is likely to be faster. O(samples).
class weigh_policy final : public endpoint_policy {
public:
    explicit weigh_policy(weigh_settings settings = {}) : m_settings{settings} {}

    std::size_t pick(const request_view& request, const endpoint_table& table,
                     std::span<const std::size_t> pool, random_source& random) override;

private:
    weigh_settings m_settings;
};

/// Chooses an endpoint for `request`: never one that is leaving, excluded or has an open breaker,
/// and one with a half-open breaker only for an idempotent request. With choice_pool::available, an
/// endpoint that the policy rejects as too slow may be returned, as there is no queue to wait in.
[[nodiscard]] endpoint_choice choose(const request_view& request, const endpoint_table& table,
                                     endpoint_policy& policy, random_source& random,
                                     choice_pool pool = choice_pool::with_free_slot);

} // namespace hickorykeel
