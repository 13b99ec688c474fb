#pragma once

#include "process/dispatch_directory.h"
#include "process/limits/limiter.h"
#include "request/refusal.h"
#include "version/configuration.h"

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <nlohmann/json.hpp>

namespace hickorykeel {

/// A request that an operator asks about.
struct explain_question {
    std::string organisation; ///< empty: that of `key_digest`
    std::string key_digest;   ///< hex SHA-256 of a caller's key; empty: none
    std::string profile;
    std::string target;
    std::uint64_t tokens = 1;
};

/// What an entry process decides from.
struct explain_state {
    const configuration& in_force;
    const std::vector<account_status>& accounts;
    const std::vector<dispatch_address>& candidates; ///< live dispatch processes for the target
};

/// One check and how it ended.
struct explained_step {
    std::string step;
    bool is_passed = true;
    std::string reason;
};

/// An account that the request is charged to.
struct explained_account {
    std::string account;
    std::uint64_t needed = 0;
    std::optional<double> level; ///< at this host; nothing: no request has used it here
};

struct explained_endpoint {
    std::string name;
    std::string failure_domain;
    bool is_allowed = false;
    std::string reason;
};

/// What would become of a request, and why.
struct explanation {
    std::optional<refusal_code> code; ///< of the first check that fails; nothing: admitted
    std::string message;
    std::uint64_t revision = 0;
    std::vector<explained_step> steps;
    std::vector<explained_account> accounts;
    std::vector<explained_endpoint> endpoints;
};

/// Decides as an entry process would, without reserving anything. Pure; thread safe; linear in the
/// accounts, endpoints and candidates.
[[nodiscard]] explanation explain(const explain_question& asked, const explain_state& state);

/// The answer of `GET /admin/v1/explain`. Thread safe.
[[nodiscard]] nlohmann::json to_json(const explanation& explained);

} // namespace hickorykeel
