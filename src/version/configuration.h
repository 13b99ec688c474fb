#pragma once

#include <chrono>  // milliseconds
#include <cstdint> // uint64_t
#include <map>     // map
#include <memory>  // shared_ptr
#include <string>  // string
#include <vector>  // vector

namespace hickorykeel {

/// Part of a region whose hosts may fail together.
struct failure_domain {
    std::string name;
    std::string region;
};

/// A caller's organisation with its fleet-wide limits.
struct organisation {
    std::string name;
    std::string home;                     ///< failure domain with the largest share of its quota
    double rate = 0;                      ///< tokens a second over all hosts
    double burst = 0;                     ///< tokens
    std::vector<std::string> key_digests; ///< hex SHA-256 of each key in force
};

/// Published settings of a kind of request.
struct profile {
    std::string name;
    std::vector<std::string> regions;       ///< where its data may be processed
    bool is_open = false;                   ///< no key needed
    std::vector<std::string> organisations; ///< that may use it; empty: every organisation
    std::vector<std::string> targets;       ///< models and services that its requests may name
    bool is_idempotent = true;
    bool is_interactive = true;
    std::chrono::milliseconds deadline{30'000};
    double rate =
        0; ///< tokens a second for each organisation; 0: only the organisation's own limit
    double burst = 0; ///< tokens
    std::uint64_t max_output_tokens = 1024;
};

enum class target_kind { model, service };

/// One back end: a replica of a model engine, or a plain service.
struct endpoint {
    std::string name;
    std::string failure_domain;
    std::string address; ///< "ip:port"
    bool is_leaving = false;
    bool checks_fencing = false;
    bool uses_tls = false;
    std::uint32_t slots = 8; ///< requests that it runs concurrently
};

/// A model or a plain service.
struct target {
    std::string name;
    target_kind kind = target_kind::model;
    std::uint64_t tokens_per_call = 1; ///< charged for a call to a plain service
    std::vector<endpoint> endpoints;
};

/// Validated configuration at one revision. Immutable, so it can be shared between threads.
struct configuration {
    std::uint64_t revision = 0;
    std::map<std::string, failure_domain> failure_domains;
    std::map<std::string, organisation> organisations;
    std::map<std::string, profile> profiles;
    std::map<std::string, target> targets;
    std::map<std::string, std::string> organisation_by_key_digest;
};

using configuration_ptr = std::shared_ptr<const configuration>;

enum class host_state { live, leaving };

/// One entry host, as the platform lists it.
struct host {
    std::string name;
    std::string failure_domain;
    host_state state = host_state::live;
    std::string caller_address;   ///< where callers connect, "ip:port"
    std::string entry_address;    ///< link address of hickorykeel-entry
    std::string dispatch_address; ///< link address of hickorykeel-dispatch
    std::string configd_address;  ///< link address of hickorykeel-configd
};

/// The platform's list of hosts at one revision, which may be out of date.
struct host_list {
    std::uint64_t revision = 0;
    std::vector<host> hosts;
};

using host_list_ptr = std::shared_ptr<const host_list>;

} // namespace hickorykeel
