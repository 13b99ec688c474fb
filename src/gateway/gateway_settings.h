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

/// Checked settings of a gateway process.
struct gateway_settings {
    std::string host;
    std::string ip;
    std::string failure_domain;
    std::string region;
    std::map<std::string, std::string> regions; ///< by failure domain

    std::string callers_address;   ///< callers' requests
    std::string readiness_address; ///< the operators' question whether this host is ready
    std::string directory_address; ///< callers' question where to connect
    std::string peers_address;     ///< other hosts: TCP for requests, UDP for heartbeats
    std::string metrics_address;

    std::vector<std::string> seeds; ///< peers' addresses of some hosts; they may be stale
    std::string source_address;     ///< of the published configuration

    std::chrono::milliseconds key_withdrawal{5'000}; ///< a withdrawn key is refused after it
    double retry_ratio = 0.2;
    double retry_slack = 52;             ///< of all hosts together
    std::chrono::seconds stop_grace{8};  ///< from the stop signal to the kill
    std::int64_t request_log_rate = 400; ///< lines a second

    /// Port of `peers_address`.
    [[nodiscard]] std::uint16_t peers_port() const;

    /// Region of `failure_domain`, or an empty text.
    [[nodiscard]] std::string region_of(const std::string& failure_domain_name) const;
};

/// Keys that the gateway knows.
[[nodiscard]] std::span<const setting_rule> gateway_rules() noexcept;

/// Precondition: `chosen` was loaded by `gateway_rules()`.
[[nodiscard]] gateway_settings to_gateway_settings(const settings& chosen);

} // namespace hickorykeel::gateway
