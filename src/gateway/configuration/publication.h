#pragma once

#include "gateway/configuration/source_position.h"
#include "process/clock.h"

#include <algorithm>     // any_of
#include <chrono>        // milliseconds
#include <cstddef>       // size_t
#include <cstdint>       // int64_t, uint64_t
#include <map>           // map
#include <memory>        // shared_ptr
#include <optional>      // optional
#include <set>           // set
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace hickorykeel::gateway {

/// Whether a request may be executed again, and the form of its response.
enum class request_kind {
    safe,           ///< may be executed any number of times
    non_idempotent, ///< executed at most once
    streaming,      ///< response is a server-sent event stream; repeatable only if resumable
};

[[nodiscard]] std::string_view to_name(request_kind kind) noexcept;

/// A service that receives a weighted part of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// Maps requests of a host and path prefix to services, with the rules for serving them.
struct route {
    std::string name;
    std::string host;   ///< value of the Host header
    std::string prefix; ///< path prefix; begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    std::vector<weighted_service> services;
    std::chrono::milliseconds timeout{30'000};  ///< until the final response
    std::chrono::milliseconds objective{1'000}; ///< latency objective of a response
    unsigned max_attempts = 1;                  ///< endpoints at which one request may be executed
    int priority = 0;                           ///< 0 is the most urgent
    bool allows_anonymous = false;              ///< requests need no API key
    bool is_resumable = false; ///< an interrupted stream may continue at another endpoint
    std::vector<std::string> home_regions; ///< empty: any region

    /// Whether a request may safely be executed more than once.
    [[nodiscard]] bool is_repeatable() const noexcept
    {
        return kind == request_kind::safe || (kind == request_kind::streaming && is_resumable);
    }
};

/// Capacity of each model engine of a service.
struct engine_capacity {
    unsigned slots = 1;                ///< concurrent requests in a batch
    std::uint64_t kv_cache_tokens = 0; ///< shared by running requests and cached prefixes
    double transfer_rate = 0; ///< prompt tokens per millisecond between engines; 0: no transfer
};

/// A group of interchangeable endpoints.
struct service {
    std::string name;
    unsigned max_connections = 64; ///< to one endpoint, over all hosts
    double cold_rate = 0;          ///< requests per second to a cold endpoint; 0: no limit
    /// Time for which an endpoint counts as cold after it was unreachable or evacuated.
    std::chrono::milliseconds cold_time{0};
    std::string health_path; ///< path of an endpoint's health check
    std::optional<engine_capacity> engine;
};

/// An organisation of callers and its fleet-wide rate limit.
struct organisation {
    std::string name;
    std::optional<int> priority; ///< overrides the route's priority
    double rate = 0;             ///< units per second over all hosts; 0: no limit
    double burst = 0;            ///< units
    bool counts_tokens = false;  ///< the unit is a token; otherwise a request
    double default_tokens = 1;   ///< units charged for a request that states no tokens
    std::vector<std::string> home_regions;
};

/// Limits on callers' requests and connections.
struct caller_limits {
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 4'194'304;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// Home regions of the routes of a name.
struct name_homes {
    unsigned routes = 0;                                  ///< of the name
    unsigned restricted_routes = 0;                       ///< those that have home regions
    std::map<std::string, unsigned> restricted_by_region; ///< number of these, by home region
    /// Number of organisations with home regions, whatever names they use, by home region.
    std::map<std::string, unsigned> organisations_by_region;

    /// Whether all routes may be served in `region`. Thread safe.
    [[nodiscard]] bool allow_all(const std::string& region) const
    {
        return restricted_routes == 0 || count(restricted_by_region, region) == restricted_routes;
    }

    /// Whether there is a region in which all routes may be served. O(regions). Thread safe.
    [[nodiscard]] bool have_common_region() const
    {
        return restricted_routes == 0 ||
               std::any_of(restricted_by_region.begin(), restricted_by_region.end(),
                           [this](const auto& item) { return allow_all(item.first); });
    }

    /// Whether any route may be served in `region`. Thread safe.
    [[nodiscard]] bool allow_any(const std::string& region) const
    {
        return restricted_routes < routes || restricted_by_region.contains(region);
    }

    /// Number that `by_region` has for `region`. Thread safe.
    [[nodiscard]] static unsigned count(const std::map<std::string, unsigned>& by_region,
                                        const std::string& region)
    {
        const auto found = by_region.find(region);
        return found == by_region.end() ? 0 : found->second;
    }
};

/// One version of the configuration that operators publish.
///
/// Thread safety: immutable once built, and then safe to share between threads.
class publication {
public:
    std::uint64_t version = 0;
    caller_limits limits;

    /// @name construction
    /// @{
    void add(route added);
    void add(service added);
    void add(organisation added, const std::vector<std::string>& keys);
    /// @}

    /// @name look-up
    /// @{

    /// The route of `host` whose prefix is the longest that `path` starts with, or null.
    /// Complexity: linear in the routes of `host`.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;

    /// The home regions of the routes of `host`. O(its routes + organisations).
    [[nodiscard]] name_homes find_homes(const std::string& host) const;

    /// For each service, the longest timeout of the routes to it.
    [[nodiscard]] std::map<std::string, duration> longest_timeouts() const;

    [[nodiscard]] const service* find_service(const std::string& name) const;

    /// The organisation that owns the API key `key`, or null.
    [[nodiscard]] const organisation* find_key_owner(const std::string& key) const;
    [[nodiscard]] const std::unordered_map<std::string, service>& services() const noexcept
    {
        return m_services;
    }
    [[nodiscard]] const std::unordered_map<std::string, organisation>&
    organisations() const noexcept
    {
        return m_organisations;
    }
    [[nodiscard]] std::size_t route_count() const noexcept { return m_route_count; }

    /// Whether requests need an API key: at least one organisation is published.
    [[nodiscard]] bool needs_keys() const noexcept { return !m_organisations.empty(); }
    /// @}

private:
    std::unordered_map<std::string, std::vector<route>> m_routes; // by host, longest prefix first
    std::unordered_map<std::string, service> m_services;
    std::unordered_map<std::string, organisation> m_organisations;
    std::unordered_map<std::string, std::string> m_owner_by_key;
    std::size_t m_route_count = 0;
};

using publication_ptr = std::shared_ptr<const publication>;

/// An endpoint's own description of itself.
struct endpoint_entry {
    std::string id; ///< usually changes with each incarnation
    std::string service;
    std::string address; ///< "ip:port"
    std::string failure_domain;
    /// Of its software. A stream that one version has begun can't be continued by another one.
    std::string software_version;
    unsigned slots = 1;
    bool is_draining = false;
    std::chrono::milliseconds cold_remaining{0};
    std::int64_t started_ms = 0; ///< start of the incarnation, Unix milliseconds; 0: unknown
    std::uint64_t sequence = 0;  ///< heartbeats since the start
};

/// Published state at one position of the source.
struct published_reading {
    publication_ptr published;               ///< null if nothing is published yet
    std::set<std::string> evacuated_domains; ///< failure domains whose endpoints get no requests
    std::vector<endpoint_entry> endpoints;
    std::size_t unusable_entries = 0; ///< endpoint entries that could not be decoded
    source_position position;
};

} // namespace hickorykeel::gateway
