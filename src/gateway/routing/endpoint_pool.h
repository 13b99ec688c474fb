#pragma once

#include "gateway/configuration/publication.h"
#include "gateway/limits/cold_rate_limiter.h"
#include "gateway/membership/member_table.h"
#include "gateway/routing/prompt.h"
#include "process/clock.h"

#include <chrono>        // milliseconds, seconds
#include <cstdint>       // uint32_t, uint64_t
#include <functional>    // function
#include <map>           // map
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace hickorykeel::gateway {

struct endpoint_pool_options {
    double nominal_prefill_rate = 100; ///< prompt tokens a millisecond of an engine of usual speed
    duration engine_base = std::chrono::milliseconds{20};
    duration step_per_request = std::chrono::microseconds{400}; ///< that each running one adds
    duration plain_base = std::chrono::milliseconds{50};
    /// Weight of reading a prompt against the other parts of the time to the first byte: while an
    /// engine reads, the requests that it runs wait too.
    double prefill_weight = 1.5;
    duration prefix_retention = std::chrono::seconds{8}; ///< how long an engine keeps a prompt
    /// Shorter prompts are read again rather than fetched from another engine.
    std::uint64_t min_fetched_tokens = 1'000;
    duration initial_backoff = std::chrono::milliseconds{250};
    duration max_backoff = std::chrono::seconds{2};
    duration shed_backoff = std::chrono::milliseconds{60};
    unsigned max_plain_queue = 10; ///< requests beyond the slots of a plain service's endpoint
};

/// How a request at an endpoint ended, as far as the endpoint's health is concerned.
enum class endpoint_outcome {
    answered,    ///< a whole answer that isn't a failure
    failed,      ///< the endpoint answered with a failure
    shed,        ///< the endpoint rejected the request without running it
    unreachable, ///< no connection
    cut,         ///< the connection broke, or what came was no answer
    timed_out,   ///< silent for too long
    abandoned,   ///< ended by this side; says nothing of the endpoint
    gone,        ///< another incarnation is at the address
};

[[nodiscard]] std::string_view to_name(endpoint_outcome outcome) noexcept;

/// Where a request may be sent now.
struct placement {
    std::string endpoint; ///< id
    std::string address;
    duration expected{0}; ///< until the first byte of the answer
    bool is_cold = false;
    std::string prompt_source; ///< address of the engine to fetch a part of the prompt from, if any
    std::uint64_t fetched_tokens = 0; ///< size of that part
};

/// What a request asks of the endpoint that is to run it.
struct placement_request {
    const service* requested_service = nullptr;
    const prompt* request_prompt = nullptr; ///< null for a plain service
    std::vector<std::string> excluded;      ///< ids of endpoints that failed it
};

/// The endpoints of this host's region: load, health, and the choice among them.
///
/// Load is what this host has under way and what the other hosts of the region report. Speed is
/// learned from the time to the first byte against what the load lets expect. Endpoints that fail
/// are left out for a while that doubles.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class endpoint_pool {
public:
    /// Requests a second that this host may send to the cold endpoint `id`, which bears `rate`.
    using cold_allowance_function = std::function<double(const std::string& id, double rate)>;

    explicit endpoint_pool(endpoint_pool_options options, cold_allowance_function to_cold_allowance)
        : m_options{options}, m_to_cold_allowance{std::move(to_cold_allowance)}
    {
    }

    /// @name what is known of the endpoints
    /// @{

    /// How an entry may be used.
    enum class usability {
        usable,
        evacuated,    ///< nothing may be sent for now; it may be cold when it comes back
        other_region, ///< not an endpoint of this region
    };

    /// Takes over what is known of the endpoints; those not named are gone.
    void update(const std::map<std::string, endpoint_entry>& entries,
                const std::function<usability(const endpoint_entry&)>& to_usability,
                const std::function<const service*(const std::string&)>& find_service,
                time_point now);

    /// Another host of the region has sent a prompt to an endpoint, which keeps it for a while.
    void on_peer_prefix(const sent_prefix& note, time_point now);

    /// Prompts that this host has sent since the last call, for its heartbeat.
    [[nodiscard]] std::vector<sent_prefix> take_sent_prefixes();

    /// Endpoints that are no longer evacuated since the last call. They count as cold until they, or
    /// another host, say that they aren't.
    [[nodiscard]] std::vector<endpoint_entry> take_reinstated();

    /// The endpoint itself has said that it isn't cold.
    void on_warm(const std::string& endpoint, time_point now);

    /// Another host has heard so of the endpoint with this hash.
    void on_peer_warm(std::uint32_t hash);

    /// Hashes of the endpoints that this host has heard it of lately, for its heartbeat.
    [[nodiscard]] std::vector<std::uint32_t> own_warm_endpoints(time_point now) const;

    /// What the other hosts of the region have under way, by hash of the endpoint's id.
    void set_peer_loads(const std::unordered_map<std::uint32_t, endpoint_load>& loads);
    /// @}

    /// @name choice
    /// @{

    /// The best endpoint with a free place, or nothing.
    [[nodiscard]] std::optional<placement> choose(const placement_request& request, time_point now);

    /// Whether any endpoint of the service could take the request, now or later.
    [[nodiscard]] bool has_candidate(const placement_request& request, time_point now) const;

    /// What the region could do for a typical request of a service.
    [[nodiscard]] service_load summary(const service& queried_service, time_point now) const;
    /// @}

    /// @name course of a request
    /// @{

    /// The request is being sent. Precondition: `endpoint` comes from `choose()`, and so does
    /// `fetched_tokens`, the part of its prompt that the endpoint fetches from another one.
    /// @return its prompt tokens that the endpoint has yet to read
    [[nodiscard]] std::uint32_t on_sent(const std::string& endpoint, const prompt* request_prompt,
                                        time_point now, std::uint64_t fetched_tokens = 0);

    /// The first byte of the answer, `elapsed` after the sending, where `expected` was foreseen.
    /// `waiting_tokens` is what `on_sent()` returned.
    void on_first_byte(const std::string& endpoint, std::uint32_t waiting_tokens, duration elapsed,
                       duration expected);

    /// The end. `waiting_tokens` is what `on_sent()` returned, or 0 after the first byte.
    void on_end(const std::string& endpoint, std::uint32_t waiting_tokens, endpoint_outcome outcome,
                time_point now);
    /// @}

    /// @name state
    /// @{

    /// What this host has under way, for its heartbeat.
    [[nodiscard]] std::unordered_map<std::uint32_t, endpoint_load> own_loads() const;
    [[nodiscard]] std::size_t size() const noexcept { return m_endpoints.size(); }
    /// @}

private:
    /// A prefix that an engine has read or is about to.
    struct cached_prefix {
        time_point used{}; ///< last
        time_point read{}; ///< from then on another engine can fetch it
    };

    struct endpoint_state {
        endpoint_entry entry;
        std::uint32_t hash = 0;
        bool is_listed = true;
        bool is_engine = false;
        double transfer_rate = 0;
        double cold_rate = 0;
        endpoint_load own;
        endpoint_load peers;
        double slowness = 1;
        double failure_rate = 0;
        unsigned failures = 0; ///< one after the other
        bool is_evacuated = false;
        bool is_half_open = false;
        time_point backoff_until{};
        time_point cold_until{};
        time_point reinstated_cold_until{}; ///< after an evacuation, for want of its word
        time_point warm_report_until{};     ///< other hosts are told until then that it isn't cold
        std::chrono::milliseconds cold_time{0};
        cold_rate_limiter cold_limiter;
        std::unordered_map<std::uint64_t, cached_prefix> cached_prefixes; ///< by id of the prefix
    };

    [[nodiscard]] static bool is_cold(const endpoint_state& state, time_point now) noexcept
    {
        return now < state.cold_until || now < state.reinstated_cold_until;
    }
    [[nodiscard]] static bool is_candidate(const endpoint_state& state,
                                           const placement_request& request);
    [[nodiscard]] bool has_free_slot(const endpoint_state& state) const;
    [[nodiscard]] bool may_send(endpoint_state& state, time_point now);
    /// The endpoints that know a prompt best.
    struct prefix_locations {
        const endpoint_state* preferred = nullptr; ///< where requests with the prompt belong
        const endpoint_state* source = nullptr;    ///< the one that keeps most of it
        std::uint64_t source_tokens = 0;           ///< how much that is
    };

    [[nodiscard]] duration cost(const endpoint_state& state, const prompt* request_prompt,
                                const prefix_locations& locations, time_point now) const;
    [[nodiscard]] std::uint64_t cached_tokens(const endpoint_state& state,
                                              const prompt& request_prompt, time_point now,
                                              time_point read_by = time_point::max()) const;
    [[nodiscard]] std::uint64_t fetchable_tokens(const endpoint_state& state, std::uint64_t cached,
                                                 const prefix_locations& locations) const;
    [[nodiscard]] double prefill_tokens(const endpoint_state& state, const prompt& request_prompt,
                                        const prefix_locations& locations, time_point now) const;
    [[nodiscard]] prefix_locations find_locations(const placement_request& request,
                                                  time_point now) const;
    [[nodiscard]] std::uint32_t max_active(const endpoint_state& state) const;
    void start_backoff(endpoint_state& state, time_point now) const;
    static void remove_waiting_tokens(endpoint_state& state, std::uint32_t waiting_tokens);

    static void add_cached_prefix(endpoint_state& state, std::uint64_t prefix, cached_prefix added);
    [[nodiscard]] const cached_prefix* find_cached(const endpoint_state& state,
                                                   std::uint64_t prefix, time_point now) const;
    [[nodiscard]] duration prefill_time(const endpoint_state& state) const;

    std::vector<sent_prefix> m_sent_prefixes;
    std::vector<endpoint_entry> m_reinstated;
    endpoint_pool_options m_options;
    cold_allowance_function m_to_cold_allowance;
    std::map<std::string, endpoint_state> m_endpoints;
};

} // namespace hickorykeel::gateway
