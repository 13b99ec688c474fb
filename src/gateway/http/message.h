#pragma once

#include "process/clock.h"

#include <cstddef>     // size_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace hickorykeel::gateway {

/// One header field.
struct header {
    std::string name;
    std::string value;
};

/// Whether two header names are the same; letters' case does not count. Thread safe.
[[nodiscard]] bool is_same_name(std::string_view lhs, std::string_view rhs) noexcept;

/// Header fields in the order in which they were received.
///
/// Thread safety: none; the owner serialises calls. Complexity: linear in the fields.
class header_list {
public:
    /// @name element access
    /// @{

    /// Value of the first field called `name`, or an empty text.
    [[nodiscard]] std::string_view find(std::string_view name) const noexcept;
    [[nodiscard]] bool contains(std::string_view name) const noexcept;
    [[nodiscard]] std::size_t count(std::string_view name) const noexcept;

    /// Whether a comma-separated field called `name` lists `token`.
    [[nodiscard]] bool lists(std::string_view name, std::string_view token) const noexcept;
    [[nodiscard]] auto begin() const noexcept { return m_fields.begin(); }
    [[nodiscard]] auto end() const noexcept { return m_fields.end(); }
    /// @}

    /// @name modifiers
    /// @{
    void add(std::string name, std::string value);
    void append_to_last_name(std::string_view text);
    void append_to_last_value(std::string_view text);
    /// @}

private:
    std::vector<header> m_fields;
};

/// Start line and header fields of a request or a response.
struct message_head {
    std::string method; ///< of a request
    std::string target; ///< of a request: path and query
    int status = 0;     ///< of a response
    std::string reason; ///< of a response
    header_list headers;
    bool keeps_alive = false;
};

/// Path of a request target, without its query.
[[nodiscard]] std::string_view to_path(std::string_view target) noexcept;

/// Decoded value of `name` in the query of a request target, or an empty text. Thread safe.
[[nodiscard]] std::string query_value(std::string_view target, std::string_view name);

/// `text` with everything percent-encoded but letters, digits and "-._~". Thread safe.
[[nodiscard]] std::string percent_encoded(std::string_view text);

/// A header's value of whole milliseconds, if `text` is one. Thread safe.
[[nodiscard]] std::optional<duration> parse_milliseconds(std::string_view text) noexcept;

/// Whether `name` is a field that concerns one connection only (RFC 9110, section 7.6.1).
[[nodiscard]] bool is_connection_header(std::string_view name) noexcept;

/// @name wire format
/// Thread safe.
/// @{

/// Request with a body of known length.
[[nodiscard]] std::string format_request(std::string_view method, std::string_view target,
                                         const header_list& headers, std::string_view body);

/// Response with a body of known length.
[[nodiscard]] std::string format_response(int status, const header_list& headers,
                                          std::string_view body, bool keeps_alive);

/// Head of a response whose body follows in chunks.
[[nodiscard]] std::string format_chunked_head(int status, const header_list& headers,
                                              bool keeps_alive);

/// One chunk. Precondition: `body` isn't empty.
[[nodiscard]] std::string format_chunk(std::string_view body);

inline constexpr std::string_view last_chunk = "0\r\n\r\n";
/// @}

} // namespace hickorykeel::gateway
