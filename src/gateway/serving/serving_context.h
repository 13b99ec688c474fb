#pragma once

#include "gateway/configuration/published_state.h"
#include "gateway/gateway_settings.h"
#include "gateway/http/http_client.h"
#include "gateway/instance_registry.h"
#include "gateway/limits/memory_budget.h"
#include "gateway/limits/rate_limiter.h"
#include "gateway/membership/member_table.h"
#include "gateway/observability/event_log.h"
#include "gateway/observability/gateway_metrics.h"
#include "gateway/routing/endpoint_pool.h"
#include "gateway/routing/path_monitor.h"
#include "gateway/routing/prompt_quarantine.h"
#include "gateway/routing/prompt_room.h"
#include "gateway/routing/recent_timeouts.h"
#include "gateway/routing/region_choice.h"
#include "gateway/routing/stream_origins.h"
#include "gateway/routing/version_history.h"
#include "gateway/serving/authorisation.h"
#include "gateway/serving/first_byte_limit.h"
#include "gateway/serving/first_byte_rate.h"
#include "gateway/serving/overload_period.h"
#include "gateway/serving/protocol_adapter.h"
#include "gateway/serving/return_schedule.h"
#include "process/routing/random_source.h"
#include "process/routing/retry_budget.h"

#include <cstddef>       // size_t
#include <functional>    // function
#include <map>           // map
#include <memory>        // shared_ptr
#include <string>        // string
#include <unordered_map> // unordered_map

namespace hickorykeel::gateway {

class exchange;

/// Settings of serving a request.
struct serving_options {
    /// Fraction of the objective that a request may wait for a free slot.
    double wait_fraction = 0.8;
    /// Maximum wait of a request that another host has forwarded.
    duration max_forwarded_wait = std::chrono::milliseconds{250};
    /// Time after the start in which heartbeats of hosts of other regions may still be missing.
    duration startup_period = std::chrono::milliseconds{1'000};
    /// Maximum time for which a stream whose attempt has ended waits for a free slot to resume.
    /// Callers disconnect after two seconds without an event.
    duration max_resumption_wait = std::chrono::milliseconds{1'800};
    /// Minimum time without a response head or a complete event after which a repeatable request is
    /// retried elsewhere, if another execution is allowed and another endpoint can take it at once.
    duration min_inactivity_timeout = std::chrono::milliseconds{900};
    /// Inactivity timeout until the caller has received a part of the response, in multiples of the
    /// expected time to first byte.
    double inactivity_factor = 5;
    /// Tokens of the retry budget that are left when a silent attempt is moved, so that the request
    /// can be sent once more if the other endpoint rejects it.
    double min_move_tokens = 2;
    /// Interval of the checks whether an attempt that is silent for longer can be moved.
    duration move_check_interval = std::chrono::milliseconds{100};
    /// Maximum number of attempts of one request at endpoints and hosts, executed or not.
    unsigned max_total_attempts = 4;
    /// Minimum time before the deadline at which a request is still sent.
    duration min_time_left = std::chrono::milliseconds{15};
    /// Maximum size of the body of a response that isn't relayed as it arrives.
    std::size_t max_response_bytes = 67'108'864;
    /// Bytes buffered for a slow caller above which reading from the endpoint is paused.
    std::size_t max_unsent_bytes = 65'536;
    /// The same while memory is scarce.
    std::size_t max_unsent_bytes_if_scarce = 4'096;
    /// Maximum number of bytes of a stream that are read at once while memory is scarce.
    std::size_t max_read_bytes_if_scarce = 8'192;
    /// Backoff of a host to which no connection could be established.
    duration unreachable_backoff = std::chrono::milliseconds{1'000};
    /// Maximum idle time of a connection that is reused for a repeatable request.
    duration max_idle_time = std::chrono::seconds{4};
    /// Maximum idle time of a connection that is reused for a request that isn't repeatable.
    duration max_idle_time_non_repeatable = std::chrono::milliseconds{1'500};
    duration min_connect_timeout = std::chrono::milliseconds{50};
    duration endpoint_connect_timeout = std::chrono::milliseconds{400};
    duration host_connect_timeout = std::chrono::milliseconds{600};
    /// Retry-After delay while the host stops.
    duration retry_after_stop = std::chrono::milliseconds{100};
    /// Retry-After delay if the memory budget did not admit the request.
    duration retry_after_out_of_memory = std::chrono::milliseconds{1'000};
    /// Retry-After delay if no endpoint exists.
    duration retry_after_outage = std::chrono::milliseconds{1'000};
    /// Retry-After delay if it isn't known here which software version has begun the stream that a
    /// request resumes; another host may tell it meanwhile.
    duration retry_after_unknown_stream = std::chrono::milliseconds{500};
    /// Minimum tokens of the shared prefix of a prompt that has a home region.
    std::uint64_t min_home_tokens = 2'000;
    authorisation_options authorisation;
    region_choice_options regions;
    first_byte_limit_options first_byte_limit;
    overload_options overload;
    return_options returns;
};

/// Slots of the published endpoints, by service and region.
using service_capacities = std::map<std::string, std::map<std::string, double>>;

/// State shared by all requests of a gateway.
///
/// Thread safety: none; used from the loop's thread only.
struct serving_context {
    asio::io_context& loop;
    const gateway_settings& settings;
    const protocol_adapter& adapter;
    published_state& state;
    member_table& members;
    rate_limiter& usage;
    endpoint_pool& pool;
    prompt_quarantine& quarantine;
    stream_origins& origins;
    const version_history& versions;
    const recent_timeouts& timeouts;
    http_client& client;
    event_log& log;
    gateway_metrics& metrics;
    random_source& random;
    serving_options options;
    std::unordered_map<std::string, retry_budget> retry_budgets;            ///< by service
    std::unordered_map<std::string, time_point> unreachable_until;          ///< hosts, by ip
    std::unordered_map<std::string, overload_period> overload_periods;      ///< by service
    std::unordered_map<std::string, return_schedule> return_schedules;      ///< by service
    std::unordered_map<std::string, first_byte_rate> first_byte_rates = {}; ///< by service
    std::unordered_map<std::string, prompt_room> prompt_rooms = {};         ///< by service

    path_monitor path = path_monitor{}; ///< of this host to the endpoints of its region

    /// Of what is held for requests; null: unlimited.
    std::shared_ptr<memory_budget> memory = nullptr;

    service_capacities capacities; ///< as of the last change of the published state

    /// Requests forwarded to another region since its last heartbeat, by "region/service". Those that
    /// are forwarded within this region are in the loads that its hosts report.
    std::unordered_map<std::string, std::uint32_t> forwarded_requests;

    instance_registry<exchange> exchanges; ///< that exist, open or not

    time_point started{}; ///< of the process
    /// False: new requests are refused, since the host is stopping.
    bool takes_requests = true;

    /// Adds a request to the queue of those that wait for a free slot.
    std::function<void(const std::shared_ptr<exchange>&)> enqueue;

    /// Number of queued requests for a service.
    std::function<std::size_t(const std::string& service)> waiting_count;

    /// Lower bound of the number of queued requests that are placed before one that isn't queued.
    std::function<std::size_t(const exchange&)> waiting_ahead = [](const exchange&) {
        return std::size_t{0};
    };

    /// Retries queued requests; called when a slot may have become free.
    std::function<void()> retry_waiting;

    /// Asks endpoints that may have restarted for their health; called after each attempt at one.
    std::function<void()> check_endpoints = [] {};

    /// Opens connections to endpoints if the path to them may be lost. Called after each one that could
    /// not be opened.
    std::function<void()> check_path = [] {};
};

} // namespace hickorykeel::gateway
