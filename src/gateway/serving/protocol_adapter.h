#pragma once

#include "gateway/http/message.h"
#include "gateway/routing/load_statement.h"
#include "gateway/routing/prompt.h"

#include <chrono>      // milliseconds
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace hickorykeel::gateway {

/// Header fields of a caller's request that the gateway reads.
struct caller_fields {
    std::string id; ///< attempt id; unique for each attempt of a caller
    std::string key;
    std::optional<std::chrono::milliseconds> deadline; ///< time allowed from the receipt
    std::optional<prompt> prompt_size; ///< set for generation requests that state their tokens
    std::vector<std::uint64_t> shared_parts; ///< ids of the prompt's parts but the last
    std::string last_event_id;               ///< a resumed stream continues after this event
    /// Attempt id of the caller's attempt that brought the first event of the stream that this
    /// request resumes; empty if that can't be told, nothing if the request names none.
    std::optional<std::string> resumed_id;
    std::string refusal_reason; ///< reason if the fields are malformed, otherwise empty
};

/// Header fields of an endpoint's response that the gateway reads.
struct response_fields {
    std::string_view id;       ///< id of the attempt that the response belongs to
    bool has_seal = false;     ///< carries the endpoint's seal, the mark of a genuine response
    bool was_rejected = false; ///< the endpoint states that it has not executed the request
    bool is_encoded = false;   ///< the body has a content encoding, so it isn't the endpoint's own
};

/// What the head of any response of an endpoint says of the endpoint itself.
struct endpoint_statement {
    bool is_leaving = false; ///< it wants no new requests, since it is about to end
    /// With which it turns a request away: time for which it wants no further one.
    std::optional<duration> retry_after;
    /// Requests per second that it takes from all hosts together; nothing if it names no rate.
    std::optional<double> max_rate;
    bool is_max_rate_malformed = false; ///< it names a rate that could not be read, or several
    /// Rejections in a second that it survives; nothing if it names no limit.
    std::optional<std::uint32_t> rejection_limit;
    bool is_rejection_limit_malformed = false; ///< it names one that could not be read, or several
    /// Its load; nothing if it reports none, several, or one that is malformed or out of bounds.
    std::optional<load_statement> load;
    /// One that could not be read, or repeats a field.
    std::optional<std::string_view> malformed_value;
};

/// Header fields of an endpoint's response to a health probe.
struct health_fields {
    /// Responding incarnation; empty if missing or if the state is unreadable.
    std::string_view instance;
    std::chrono::milliseconds cold_remaining{0};
};

/// Values of the header fields that the gateway adds to a request for an endpoint.
struct endpoint_fields {
    std::chrono::milliseconds deadline{0};
    std::string instance;      ///< the only incarnation that may execute the request
    std::string organisation;  ///< empty if the caller was not authenticated by a key
    std::string last_event_id; ///< event after which to resume; empty: start of the stream
    /// Address of the endpoint to fetch the cached prefix from; empty: none.
    std::string prompt_source;
    std::optional<int> priority; ///< 0 is the most urgent
};

/// Values of the header fields that the gateway changes in a request forwarded to a peer host.
struct host_fields {
    std::chrono::milliseconds deadline{0};
    std::string last_event_id;
};

/// Prefix of the headers that hosts exchange among themselves. They are removed from messages to
/// callers and endpoints.
inline constexpr std::string_view host_header_prefix = "Keel-";

/// Returns whether `name` is a header used only between hosts. Thread safe.
[[nodiscard]] inline bool is_host_header(std::string_view name) noexcept
{
    return is_same_name(name.substr(0, host_header_prefix.size()), host_header_prefix);
}

/// A caller's query for the addresses of hosts to connect to.
struct directory_query {
    std::string host;
    std::string region;
    std::string failure_domain;
};

/// Translates between the gateway's data and the platform's headers and formats. The platform
/// library supplies the functions.
///
/// Thread safety: immutable; the functions keep no state.
struct protocol_adapter {
    std::string readiness_path;
    std::string directory_path;
    std::function<caller_fields(const message_head&)> read_caller_fields;
    std::function<response_fields(const message_head&)> read_response_fields;

    std::function<endpoint_statement(const message_head&)> read_endpoint_statement;

    /// Reads the response to a health probe, and builds the headers of the probe.
    std::function<health_fields(const message_head&)> read_health_fields;
    std::function<header_list(const std::string& address, const std::string& instance)>
        to_health_headers;

    /// Returns the headers of a request for an endpoint: the caller's headers without those that
    /// concern one connection or are set by the gateway, plus the gateway's own.
    std::function<header_list(const message_head&, const endpoint_fields&)> to_endpoint_headers;

    /// Returns the headers of a forwarded request: the caller's, with the remaining deadline.
    std::function<header_list(const message_head&, const host_fields&)> to_host_headers;

    /// Returns the headers of a response for the caller, without those that concern one connection.
    std::function<header_list(const message_head&)> to_caller_headers;
    std::function<directory_query(std::string_view target)> read_directory_query;
    std::function<std::string(const std::vector<std::string>& addresses, std::chrono::seconds)>
        format_directory_response;
};

} // namespace hickorykeel::gateway
