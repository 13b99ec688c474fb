#pragma once

#include "version/check.h"
#include "version/configuration.h"

#include <cstddef> // size_t
#include <cstdio>  // snprintf
#include <string>  // string
#include <vector>  // vector

#include <nlohmann/json.hpp>

namespace hickorykeel::bench {

/// How much is published.
struct state_size {
    std::size_t failure_domains = 4;
    std::size_t organisations = 10;
    std::size_t keys = 1; ///< of each organisation
    std::size_t profiles = 4;
    std::size_t targets = 1;
    std::size_t endpoints = 10; ///< over all targets
};

inline std::string numbered(const std::string& prefix, std::size_t number)
{
    return prefix + std::to_string(number);
}

/// Form of a key digest; differs for each number.
inline std::string to_digest(std::size_t number)
{
    constexpr std::size_t length = 64;
    char text[length + 1];
    std::snprintf(text, sizeof text, "%064zx", number);
    return text;
}

inline nlohmann::json make_endpoint(std::size_t number, std::size_t failure_domains)
{
    const std::string address =
        "10.1." + std::to_string(number / 250) + '.' + std::to_string(number % 250 + 1) + ":9000";
    return {{"name", numbered("endpoint-", number)},
            {"failure_domain", numbered("domain-", number % failure_domains)},
            {"address", address},
            {"slots", 8}};
}

/// Entries of a published state that `check` accepts.
inline published_entries make_entries(const state_size& size)
{
    published_entries entries;
    for (std::size_t i = 0; i < size.failure_domains; ++i) {
        entries[numbered("failure_domains/domain-", i)] = {{"region", numbered("region-", i / 3)}};
    }
    for (std::size_t i = 0; i < size.organisations; ++i) {
        nlohmann::json digests = nlohmann::json::array();
        for (std::size_t j = 0; j < size.keys; ++j) {
            digests.push_back(to_digest(i * size.keys + j + 1));
        }
        entries[numbered("organisations/organisation-", i)] = {
            {"home", numbered("domain-", i % size.failure_domains)},
            {"rate", 2000},
            {"burst", 8000},
            {"key_digests", digests}};
    }
    nlohmann::json names = nlohmann::json::array();
    for (std::size_t i = 0; i < size.targets; ++i) {
        nlohmann::json endpoints = nlohmann::json::array();
        for (std::size_t j = i; j < size.endpoints; j += size.targets) {
            endpoints.push_back(make_endpoint(j, size.failure_domains));
        }
        names.push_back(numbered("model-", i));
        entries[numbered("targets/model-", i)] = {{"kind", "model"}, {"endpoints", endpoints}};
    }
    for (std::size_t i = 0; i < size.profiles; ++i) {
        entries[numbered("profiles/profile-", i)] = {{"regions", {"region-0"}}, {"targets", names}};
    }
    return entries;
}

/// Hosts in turn over the failure domains.
inline nlohmann::json make_hosts(std::size_t count, std::size_t failure_domains)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (std::size_t i = 0; i < count; ++i) {
        const std::string ip =
            "10.2." + std::to_string(i / 250) + '.' + std::to_string(i % 250 + 1);
        const std::string name = numbered("domain-", i % failure_domains) + "-host-" +
                                 std::to_string(i / failure_domains);
        hosts.push_back({{"name", name},
                         {"failure_domain", numbered("domain-", i % failure_domains)},
                         {"state", "live"},
                         {"caller_address", ip + ":8100"},
                         {"entry_address", ip + ":7100"},
                         {"dispatch_address", ip + ":7200"},
                         {"configd_address", ip + ":7300"}});
    }
    return hosts;
}

} // namespace hickorykeel::bench
