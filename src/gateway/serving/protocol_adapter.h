#pragma once

#include "gateway/http/message.h"
#include "gateway/routing/prompt.h"

#include <chrono>      // milliseconds
#include <functional>  // function
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace hickorykeel::gateway {

/// What a caller's request says of itself, beside its method, target and body.
struct caller_fields {
    std::string id; ///< of this attempt; each attempt of a caller has its own
    std::string key;
    std::optional<std::chrono::milliseconds> deadline; ///< from the receipt
    std::optional<prompt> prompt_size;                 ///< of a generation request
    std::string last_event_id;                         ///< a stream goes on behind this event
    std::string refusal_reason;                        ///< not empty: the fields are malformed
};

/// What an endpoint's answer says of itself.
struct response_fields {
    std::string_view id;       ///< of the attempt that it answers
    bool has_seal = false;     ///< the endpoint's own mark of a genuine answer
    bool was_rejected = false; ///< the endpoint states that it has not run the request
    bool is_encoded = false;   ///< the body isn't the endpoint's own
};

/// What an endpoint says of its own state.
struct health_fields {
    std::string_view instance; ///< who answers; empty: what it says can't be read
    std::chrono::milliseconds cold_remaining{0};
};

/// What the gateway adds to a request for an endpoint.
struct endpoint_fields {
    std::chrono::milliseconds deadline{0};
    std::string instance;        ///< only this incarnation may run it
    std::string organisation;    ///< empty: the caller showed no key
    std::string last_event_id;   ///< of a stream that goes on; empty: from the start
    std::string prompt_source;   ///< address of the endpoint that hands it the prompt; empty: none
    std::optional<int> priority; ///< 0 first
};

/// What the gateway changes in a request that another host is to serve.
struct host_fields {
    std::chrono::milliseconds deadline{0};
    std::string last_event_id;
};

/// Prefix of the headers that hosts add for each other. They never reach callers or endpoints.
inline constexpr std::string_view host_header_prefix = "Keel-";

/// Whether `name` is a header between hosts. Thread safe.
[[nodiscard]] inline bool is_host_header(std::string_view name) noexcept
{
    return is_same_name(name.substr(0, host_header_prefix.size()), host_header_prefix);
}

/// A question where to connect.
struct directory_query {
    std::string host;
    std::string region;
    std::string failure_domain;
};

/// How callers and endpoints spell what the gateway reads and writes. An adapter fills it in; the
/// functions only translate.
///
/// Thread safety: immutable; the functions keep no state.
struct protocol_adapter {
    std::string readiness_path;
    std::string directory_path;
    std::function<caller_fields(const message_head&)> read_caller_fields;
    std::function<response_fields(const message_head&)> read_response_fields;

    /// An endpoint's answer to the question of its state, and the headers of that question.
    std::function<health_fields(const message_head&)> read_health_fields;
    std::function<header_list(const std::string& address, const std::string& instance)>
        to_health_headers;

    /// Headers for an endpoint: the caller's, less those that concern one connection or are the
    /// gateway's to set, and the gateway's own.
    std::function<header_list(const message_head&, const endpoint_fields&)> to_endpoint_headers;

    /// Headers for another host that serves the request: the caller's with what is left of the
    /// deadline.
    std::function<header_list(const message_head&, const host_fields&)> to_host_headers;

    /// Headers of an answer for the caller, without those that concern one connection.
    std::function<header_list(const message_head&)> to_caller_headers;
    std::function<directory_query(std::string_view target)> read_directory_query;
    std::function<std::string(const std::vector<std::string>& addresses, std::chrono::seconds)>
        format_directory_response;
};

} // namespace hickorykeel::gateway
