#pragma once

#include "standins/http_caller.h"

#include <chrono>  // seconds
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include <nlohmann/json.hpp>

namespace hickorykeel::standins {

/// Load that callers put on the gateway. Arrivals don't wait for answers (an open loop).
struct load_options {
    std::vector<std::string> entries; ///< "ip:port"; each request takes one at random
    std::string key;
    std::string profile;
    std::string target;
    bool is_service = false;  ///< calls a plain service instead of a model
    bool has_tickets = false; ///< asks for a ticket before each call to a service
    bool is_stream = false;
    double rate = 10; ///< requests a second
    std::chrono::milliseconds length{5'000};
    std::size_t prompt_tokens = 50;
    std::size_t output_tokens = 16;
    std::uint64_t seed = 1;
    std::uint64_t deadline_ms = 0; ///< 0: the profile's
};

/// A request and what became of it.
struct load_sample {
    outcome received;
    duration delay{0}; ///< from the planned moment to the sending
};

/// Sends the load and waits for every answer. Blocks; arrivals follow a Poisson process.
std::vector<load_sample> run_load(const load_options& options);

/// Counts and latencies (milliseconds, of whole answers, from the planned moment) as JSON.
/// Complexity: n log n.
nlohmann::json summarise(const std::vector<load_sample>& samples);

} // namespace hickorykeel::standins
