#pragma once

#include "process/admin_server.h"
#include "process/error.h"

#include <string> // string

#include <nlohmann/json.hpp>

namespace hickorykeel::ctl {

/// A call to the administration of a process.
struct admin_call {
    admin_method method = admin_method::get;
    std::string path; ///< with its query
    std::string body; ///< JSON; empty: none
};

/// Calls the administration of the process at `address`. Thread safe.
///
/// @param address "ip:port"
/// @param key     empty: none is sent
/// @return the answer whatever its status; link_unreachable where there is none,
///         link_message_invalid where it is no JSON
[[nodiscard]] result<admin_answer> call(const std::string& address, const std::string& key,
                                        const admin_call& wanted);

/// A text as a value of a query. Thread safe.
[[nodiscard]] std::string to_query_value(const std::string& text);

} // namespace hickorykeel::ctl
