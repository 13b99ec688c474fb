#pragma once

#include "version/check.h"

#include <nlohmann/json.hpp>

namespace hickorykeel::tests {

/// A small published state without faults: two regions, two organisations, a model, a service.
inline nlohmann::json published_example()
{
    const std::string first_key(64, 'a');
    const std::string second_key(64, 'b');
    return {
        {"failure_domains/attica-1", {{"region", "attica"}}},
        {"failure_domains/crete-1", {{"region", "crete"}}},
        {"organisations/volunteers",
         {{"home", "attica-1"}, {"rate", 2000}, {"burst", 8000}, {"key_digests", {first_key}}}},
        {"organisations/offices",
         {{"home", "crete-1"}, {"rate", 10.5}, {"burst", 1}, {"key_digests", {second_key}}}},
        {"profiles/visit-summary",
         {{"regions", {"attica", "crete"}},
          {"organisations", {"volunteers"}},
          {"targets", {"assistant"}},
          {"rate", 500},
          {"burst", 2000},
          {"max_output_tokens", 512}}},
        {"profiles/booking",
         {{"regions", {"attica"}}, {"targets", {"bookings"}}, {"idempotent", false}}},
        {"targets/assistant",
         {{"kind", "model"},
          {"endpoints",
           {{{"name", "as-1"},
             {"failure_domain", "attica-1"},
             {"address", "127.0.0.1:9001"},
             {"state", "leaving"}},
            {{"name", "as-2"},
             {"failure_domain", "crete-1"},
             {"address", "[::1]:9002"},
             {"slots", 4}}}}}},
        {"targets/bookings",
         {{"kind", "service"},
          {"tokens_per_call", 10},
          {"endpoints",
           {{{"name", "bo-1"},
             {"failure_domain", "attica-1"},
             {"address", "127.0.0.1:9003"},
             {"checks_fencing", true}}}}}},
    };
}

/// Lets the samples' summaries wait for what a test does meanwhile.
inline void lengthen_deadlines(nlohmann::json& entries)
{
    constexpr int long_deadline_ms = 120'000;
    for (const char* key : {"profiles/visit-summary", "profiles/visit-summary-crete"}) {
        entries.at(key)["deadline_ms"] = long_deadline_ms;
    }
}

/// Gives the samples' organisation "volunteers" a limit that matters to no test.
inline void lift_limit(nlohmann::json& entries)
{
    entries.at("organisations/volunteers")["rate"] = 1'000'000;
    entries.at("organisations/volunteers")["burst"] = 4'000'000;
}

inline published_entries to_entries(const nlohmann::json& object)
{
    return object.get<published_entries>();
}

} // namespace hickorykeel::tests
