#pragma once

#include "standins/faults.h"
#include "standins/http_server.h"

#include <chrono>  // milliseconds
#include <cstdint> // uint64_t
#include <map>     // map
#include <mutex>   // mutex
#include <string>  // string
#include <vector>  // vector

#include <nlohmann/json.hpp>

namespace hickorykeel::standins {

/// Measures of a stand-in for a plain service.
struct service_options {
    std::string name;
    std::uint32_t slots = 8; ///< reported only
    std::chrono::milliseconds work_time{2};
};

/// A call that the service ran.
struct service_run {
    std::string id; ///< from the body, else X-Request-Id
    std::string method;
    std::string path;
    std::uint64_t stamp = 0;
    std::map<std::string, std::string> headers;
};

/// Stand-in for a plain service such as bookings, loans or lookups. Every call that it runs stands
/// in its ledger, whether or not the caller got the answer.
///
/// Thread safety: handlers run side by side.
class service {
public:
    explicit service(service_options options);

    /// Registers all calls at `server`, which must not outlive the service.
    void serve(http_server& server);

private:
    void run(const httplib::Request& request, httplib::Response& response);
    [[nodiscard]] nlohmann::json load() const;
    [[nodiscard]] nlohmann::json ledger() const;

    service_options m_options;
    http_server* m_server = nullptr;
    fault_switch m_faults;
    mutable std::mutex m_mutex; // guards all below
    std::uint32_t m_running = 0;
    std::vector<service_run> m_runs;
    std::map<std::string, std::uint64_t> m_counts; // runs of each identifier
};

} // namespace hickorykeel::standins
