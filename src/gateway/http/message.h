#pragma once

#include "gateway/http/send_queue.h"
#include "process/clock.h"

#include <cstddef>     // ptrdiff_t, size_t
#include <iterator>    // input_iterator_tag
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel::gateway {

/// One header field, as part of its list.
struct header {
    std::string_view name;
    std::string_view value;
};

/// Whether two header names are equal, ignoring ASCII case. Thread safe.
[[nodiscard]] bool is_same_name(std::string_view lhs, std::string_view rhs) noexcept;

/// Header fields in the order in which they were received. They are stored in one text, so that
/// many short fields take little more memory than their characters.
///
/// Thread safety: none; the owner serialises calls. Complexity: linear in the length of the text.
class header_list {
public:
    /// Characters that the text has for each field besides its name and value.
    static constexpr std::size_t separator_bytes = 2;

    /// Position in a list. Any change of the list invalidates it.
    class iterator {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = header;
        using difference_type = std::ptrdiff_t;
        using pointer = const header*;
        using reference = const header&;

        /// @param rest of the list's text
        explicit iterator(std::string_view rest) noexcept : m_rest{rest} { read(); }

        reference operator*() const noexcept { return m_field; }
        pointer operator->() const noexcept { return &m_field; }
        iterator& operator++() noexcept
        {
            m_rest.remove_prefix(m_field.name.size() + m_field.value.size() + separator_bytes);
            read();
            return *this;
        }
        iterator operator++(int) noexcept
        {
            const iterator before = *this;
            ++*this;
            return before;
        }
        friend bool operator==(const iterator& lhs, const iterator& rhs) noexcept
        {
            return lhs.m_rest.size() == rhs.m_rest.size();
        }

    private:
        void read() noexcept;

        std::string_view m_rest;
        header m_field;
    };

    /// @name element access
    /// @{

    /// Value of the first field called `name`, or an empty text if there is none.
    [[nodiscard]] std::string_view find(std::string_view name) const noexcept;
    [[nodiscard]] bool contains(std::string_view name) const noexcept;
    [[nodiscard]] std::size_t count(std::string_view name) const noexcept;

    /// Whether a comma-separated field called `name` lists `token`.
    [[nodiscard]] bool lists(std::string_view name, std::string_view token) const noexcept;
    [[nodiscard]] iterator begin() const noexcept { return iterator{m_text}; }
    [[nodiscard]] iterator end() const noexcept { return iterator{{}}; }
    /// @}

    /// @name modifiers
    /// @{
    /// Adds a field. Line feeds in its value become spaces, since they would end the field.
    /// Precondition: `name` contains no ':'.
    void add(std::string_view name, std::string_view value);

    /// Extends the name or the value of the last field. Precondition: there is a field; for its name,
    /// its value is empty.
    void append_to_last_name(std::string_view text);
    void append_to_last_value(std::string_view text);

    /// Frees memory that was reserved for further fields.
    void shrink_to_fit() { m_text.shrink_to_fit(); }
    /// @}

private:
    std::string m_text; ///< of each field: name, ':', value, line feed
};

/// Start line and header fields of a request or a response.
struct message_head {
    std::string method; ///< requests only
    std::string target; ///< requests only: path and query
    int status = 0;     ///< responses only
    std::string reason; ///< responses only
    header_list headers;
    bool keeps_alive = false;
};

/// Path of a request target, without its query. Thread safe.
[[nodiscard]] std::string_view to_path(std::string_view target) noexcept;

/// Value of the first `name` in the query of a request target, percent-decoded and with "+" as a
/// space, or an empty text if there is none. Thread safe.
[[nodiscard]] std::string query_value(std::string_view target, std::string_view name);

/// Percent-encodes `text`, except for letters, digits and "-._~". Thread safe.
[[nodiscard]] std::string percent_encoded(std::string_view text);

/// Parses whole milliseconds from 0 to 86'400'000 (one day); an empty optional for anything else.
/// Thread safe.
[[nodiscard]] std::optional<duration> parse_milliseconds(std::string_view text) noexcept;

/// Whether `name` is a connection-specific header field (RFC 9110, section 7.6.1). Thread safe.
[[nodiscard]] bool is_connection_header(std::string_view name) noexcept;

/// @name wire format
/// Thread safe.
/// @{

/// Formats a request with a body of known length.
[[nodiscard]] std::string format_request(std::string_view method, std::string_view target,
                                         const header_list& headers, std::string_view body);

/// A request as it is sent: its head with a short body, or a long body beside it.
struct outgoing_request {
    std::string head;
    shared_bytes body = nullptr; ///< may be null
};

/// Formats a request with a body that is shared rather than copied if it is long.
[[nodiscard]] outgoing_request to_outgoing_request(std::string_view method, std::string_view target,
                                                   const header_list& headers, shared_bytes body);

/// Formats the head of a response with a body of `body_bytes`, which follows.
[[nodiscard]] std::string format_response_head(int status, const header_list& headers,
                                               std::size_t body_bytes, bool keeps_alive);

/// Formats a response with a body of known length.
[[nodiscard]] std::string format_response(int status, const header_list& headers,
                                          std::string_view body, bool keeps_alive);

/// Formats the head of a response whose body follows in chunks.
[[nodiscard]] std::string format_chunked_head(int status, const header_list& headers,
                                              bool keeps_alive);

/// Formats one chunk. Precondition: `body` isn't empty.
[[nodiscard]] std::string format_chunk(std::string_view body);

inline constexpr std::string_view last_chunk = "0\r\n\r\n";
/// @}

} // namespace hickorykeel::gateway
