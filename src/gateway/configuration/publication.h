#pragma once

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

/// What may be repeated, and what an answer looks like.
enum class request_kind {
    safe,           ///< may run any number of times
    non_idempotent, ///< runs at most once
    streaming,      ///< answered by server-sent events; repeatable only where it is resumable
};

[[nodiscard]] std::string_view to_name(request_kind kind) noexcept;

/// A service that takes a part of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// Which requests go where, and how they are to be treated.
struct route {
    std::string name;
    std::string host;   ///< of the Host header
    std::string prefix; ///< of the path; begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    std::vector<weighted_service> services;
    std::chrono::milliseconds timeout{30'000};  ///< longest time without a final answer
    std::chrono::milliseconds objective{1'000}; ///< an answer within it is in time
    unsigned max_attempts = 1;                  ///< endpoints that one request may run at
    int priority = 0;                           ///< 0 is the most urgent
    bool allows_anonymous = false;              ///< no key needed
    bool is_resumable = false;                  ///< a cut stream may go on at another endpoint
    std::vector<std::string> home_regions;      ///< empty: any region

    /// Whether a request may run twice without harm.
    [[nodiscard]] bool is_repeatable() const noexcept
    {
        return kind == request_kind::safe || (kind == request_kind::streaming && is_resumable);
    }
};

/// What is known of a service's model engine.
struct engine_capacity {
    unsigned slots = 1;                ///< requests in one batch
    std::uint64_t kv_cache_tokens = 0; ///< of running requests and kept prompts together
    double transfer_rate = 0; ///< prompt tokens a millisecond between two engines; 0: impossible
};

/// A group of endpoints that are alike.
struct service {
    std::string name;
    unsigned max_connections = 64; ///< to one endpoint, of all hosts together
    double cold_rate = 0;          ///< requests a second that a cold endpoint bears; 0: no limit
    std::chrono::milliseconds cold_time{0};
    std::string health_path; ///< at which an endpoint tells its own state
    std::optional<engine_capacity> engine;
};

/// A caller's organisation, its keys and its fleet-wide limit.
struct organisation {
    std::string name;
    std::optional<int> priority; ///< goes before the route's
    double rate = 0;             ///< units a second over all hosts; 0: no limit
    double burst = 0;            ///< units
    bool counts_tokens = false;  ///< the unit is a token; otherwise a request
    double default_tokens = 1;   ///< units of a request that states no tokens
    std::vector<std::string> home_regions;
};

/// Bounds on what callers send.
struct caller_limits {
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 4'194'304;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// One version of what operators publish. Immutable once built; share it freely.
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

    /// The route of `host` with the longest prefix of `path`, or null.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;

    /// For each region, the number of routes of `host` with homes that have it among them.
    [[nodiscard]] std::map<std::string, unsigned> count_home_routes(const std::string& host) const;
    [[nodiscard]] const service* find_service(const std::string& name) const;

    /// The organisation that holds `key`, or null.
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

    /// Whether any organisation is published; without one no request needs a key.
    [[nodiscard]] bool needs_keys() const noexcept { return !m_organisations.empty(); }
    /// @}

private:
    std::unordered_map<std::string, std::vector<route>> m_routes; // by host, longest prefix first
    std::unordered_map<std::string, service> m_services;
    std::unordered_map<std::string, organisation> m_organisations;
    std::unordered_map<std::string, std::string> m_holder_by_key;
    std::size_t m_route_count = 0;
};

using publication_ptr = std::shared_ptr<const publication>;

/// One endpoint as it describes itself.
struct endpoint_entry {
    std::string id; ///< new with most incarnations
    std::string service;
    std::string address; ///< "ip:port"
    std::string failure_domain;
    unsigned slots = 1;
    bool is_draining = false;
    std::chrono::milliseconds cold_remaining{0};
    std::int64_t started_ms = 0; ///< start of the incarnation, Unix milliseconds; 0: unknown
    std::uint64_t sequence = 0;  ///< heartbeats since the start
};

/// All that is published, as read at one moment.
struct published_reading {
    publication_ptr published;               ///< null: nothing is published yet
    std::set<std::string> evacuated_domains; ///< failure domains whose endpoints get nothing
    std::vector<endpoint_entry> endpoints;
    std::size_t unusable_entries = 0; ///< entries of endpoints that could not be read
    std::uint64_t revision = 0;       ///< of the source when it was read
    std::string text;                 ///< as received, for relaying
};

} // namespace hickorykeel::gateway
