#pragma once

#include "process/clock.h"
#include "process/settings.h"

#include <chrono>  // milliseconds, seconds
#include <cstdint> // int64_t, uint16_t
#include <map>     // map
#include <span>    // span
#include <string>  // string
#include <vector>  // vector

namespace hickorykeel::gateway {

/// Validated settings of a gateway process.
struct gateway_settings {
    std::string host;
    std::string ip;
    std::string failure_domain;
    std::string region;
    std::map<std::string, std::string> regions; ///< by failure domain

    std::string callers_address;   ///< callers' requests
    std::string readiness_address; ///< readiness checks by operators
    std::string directory_address; ///< callers' queries for host addresses
    std::string peers_address;     ///< other hosts: TCP for requests, UDP for heartbeats
    std::string metrics_address;

    std::vector<std::string> seeds; ///< `peers_address` of some hosts; may be out of date
    std::string source_address;     ///< source of the published configuration

    /// Maximum time for which a withdrawn key may still be accepted.
    duration key_withdrawal = std::chrono::milliseconds{5'000};
    /// Time after an endpoint said that it is leaving, from which it may get no request.
    duration drain = std::chrono::milliseconds{4'000};
    double retry_ratio = 0.2; ///< retries allowed per request
    /// Retries of all hosts together, allowed beyond `retry_ratio`.
    double retry_slack = 52;
    /// From the stop signal to the kill of the process.
    duration stop_grace = std::chrono::seconds{8};
    double memory_mb = 256; ///< of the process; more ends it
    /// Descriptors that the process may open; 0: as many as the system lets it.
    double max_descriptors = 0;
    std::int64_t request_log_rate = 400; ///< lines per second
    /// Time after the start in which load of peers is assumed that have not been heard; 0: none.
    duration start_period = std::chrono::milliseconds{3'000};
    /// Part of the endpoints' capacity that starting hosts take together until they hear each other.
    double start_capacity_share = 0.5;
    /// Least number of hosts of a region that a starting host assumes.
    std::int64_t start_assumed_hosts = 32;
    /// Endpoints of each service with engines that a starting host asks for their load.
    std::int64_t start_load_questions = 3;

    /// What was wrong with values that defaults have replaced, one text each.
    std::vector<std::string> replaced;

    /// Returns the port of `peers_address`.
    [[nodiscard]] std::uint16_t peers_port() const;

    /// Returns the region of `failure_domain_name`, or an empty string if it is unknown.
    [[nodiscard]] std::string region_of(const std::string& failure_domain_name) const;
};

/// Returns the rules of all settings keys of the gateway. Thread safe.
[[nodiscard]] std::span<const setting_rule> gateway_rules() noexcept;

/// Converts loaded settings. Precondition: `loaded` was loaded with `gateway_rules()`.
[[nodiscard]] gateway_settings to_gateway_settings(const settings& loaded);

} // namespace hickorykeel::gateway
