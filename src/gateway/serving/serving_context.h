#pragma once

#include "gateway/configuration/published_state.h"
#include "gateway/gateway_settings.h"
#include "gateway/http/http_client.h"
#include "gateway/limits/usage_ledger.h"
#include "gateway/membership/member_table.h"
#include "gateway/observability/event_log.h"
#include "gateway/observability/gateway_metrics.h"
#include "gateway/routing/endpoint_pool.h"
#include "gateway/routing/region_choice.h"
#include "gateway/serving/first_byte_limit.h"
#include "gateway/serving/overload_period.h"
#include "gateway/serving/protocol_adapter.h"
#include "process/routing/random_source.h"
#include "process/routing/retry_budget.h"

#include <functional>    // function
#include <memory>        // shared_ptr
#include <string>        // string
#include <unordered_map> // unordered_map

namespace hickorykeel::gateway {

class exchange;

/// Terms of serving a request.
struct serving_options {
    /// Part of the objective that a request may wait for a free place.
    double wait_fraction = 0.8;
    /// Longest wait of a request that another host has passed on.
    duration max_forwarded_wait = std::chrono::milliseconds{250};
    /// So long after the start, hosts of other regions may not have been heard yet.
    duration startup_period = std::chrono::milliseconds{1'000};
    /// Longest pause of a stream that waits for a place to go on. Callers leave after two seconds.
    duration max_resumption_wait = std::chrono::milliseconds{1'800};
    /// Silence after which a repeatable request is tried elsewhere.
    duration min_inactivity_timeout = std::chrono::milliseconds{900};
    /// Silence, in multiples of the expected time to the first byte.
    double inactivity_factor = 5;
    /// Endpoints and hosts that one request is offered to, whatever they answer.
    unsigned max_total_attempts = 4;
    /// Least time that must be left for an endpoint to be worth asking.
    duration min_time_left = std::chrono::milliseconds{15};
    /// Bytes that a caller may leave untaken before the endpoint is held back.
    std::size_t max_unsent_bytes = 262'144;
    /// A host that could not be reached gets nothing for so long.
    duration unreachable_backoff = std::chrono::milliseconds{1'000};
    /// Idle time of a kept connection that is used again.
    duration max_idle_time = std::chrono::seconds{4};
    /// The same for a request that may run once only.
    duration max_idle_time_non_repeatable = std::chrono::milliseconds{1'500};
    duration endpoint_connect_timeout = std::chrono::milliseconds{400};
    duration host_connect_timeout = std::chrono::milliseconds{600};
    duration retry_after_stop = std::chrono::milliseconds{100};
    duration retry_after_outage = std::chrono::milliseconds{1'000};
    /// A configuration older than that proves nothing about what it doesn't hold.
    duration max_trusted_age = std::chrono::milliseconds{3'000};
    /// Prompts whose shared prefix is shorter have no home region.
    std::uint64_t min_home_tokens = 2'000;
    region_choice_options regions;
    first_byte_limit_options first_byte_limit;
    overload_options overload;
};

/// What the requests of a gateway share. All calls come from the loop's thread.
struct serving_context {
    asio::io_context& loop;
    const gateway_settings& settings;
    const protocol_adapter& adapter;
    published_state& state;
    member_table& members;
    usage_ledger& usage;
    endpoint_pool& pool;
    http_client& client;
    event_log& log;
    gateway_metrics& metrics;
    random_source& random;
    serving_options options;
    std::unordered_map<std::string, retry_budget> retry_budgets;       ///< by service
    std::unordered_map<std::string, time_point> unreachable_until;     ///< hosts, by ip
    std::unordered_map<std::string, overload_period> overload_periods; ///< by service

    /// Requests passed to another region's service since its last heartbeat, by region and service.
    std::unordered_map<std::string, std::uint32_t> forwarded_requests;

    time_point started{};       ///< of the process
    bool takes_requests = true; ///< false: the process is about to end

    /// Puts a request into the queue for a free place.
    std::function<void(const std::shared_ptr<exchange>&)> enqueue;

    /// A place may have become free.
    std::function<void()> retry_waiting;
};

} // namespace hickorykeel::gateway
