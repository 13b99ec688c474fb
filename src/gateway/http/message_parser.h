#pragma once

#include "gateway/http/message.h"
#include "gateway/limits/memory_budget.h"

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <memory>      // shared_ptr
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // exchange, move

#include <http_parser.h> // http_parser

namespace hickorykeel::gateway {

enum class message_role { request, response };

/// Progress of parsing a message.
enum class parse_state {
    reading_head,
    reading_body,
    complete,
    malformed,
    head_too_large,
    body_too_large,
    out_of_memory ///< the memory budget does not admit the message
};

/// Size limits of an accepted message, in bytes.
struct message_limits {
    /// Applies to the head, and separately to the extensions of chunks with the fields after the
    /// body.
    std::size_t max_head_bytes = 16'384;
    std::size_t max_body_bytes = 4'194'304; ///< of the body bytes that weren't moved out
    bool drops_body = false; ///< body bytes are counted and discarded, for servers that use none
};

/// Incremental parser of HTTP/1.1 messages on one connection.
///
/// Framing is strict: both a length and chunks, two lengths, and unknown transfer codings are
/// malformed, so that both ends agree on where a message ends. A response has a status of three
/// digits from 100 to 599; informational ones are passed over.
///
/// Thread safety: none. Not movable, as the parser's state points back to it.
class message_parser {
public:
    message_parser(message_role role, message_limits limits);
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;
    message_parser(message_parser&&) = delete;
    message_parser& operator=(message_parser&&) = delete;
    ~message_parser() = default;

    /// @name input
    /// @{

    /// Parses up to the end of one message and returns the number of bytes used.
    /// Precondition: `state()` is `reading_head` or `reading_body`.
    std::size_t feed(std::string_view bytes);

    /// Reports that the peer closed its side. This completes a response that is delimited by the
    /// end of the connection; any other unfinished message becomes malformed.
    void finish();

    /// Prepares for the next message on the connection. Discards body bytes that weren't moved out.
    void restart();

    /// Frees the memory of the message and releases its charge. `feed()` must not be called
    /// afterwards.
    void discard();

    /// Replaces the limits. Precondition: `has_begun()` is false.
    void set_limits(message_limits limits) noexcept { m_limits = limits; }

    /// Charges messages to `budget`: their heads, and the bodies of requests. Bodies of responses
    /// are charged by the owner, which moves them out. Precondition: `has_begun()` is false.
    void set_memory(std::shared_ptr<memory_budget> budget)
    {
        m_charge = memory_charge{std::move(budget)};
    }

    /// Expects a response without a body, as to a HEAD request, until `restart()`.
    void expect_no_body() noexcept { m_expects_no_body = true; }
    /// @}

    /// @name result
    /// @{
    [[nodiscard]] parse_state state() const noexcept { return m_state; }
    [[nodiscard]] bool is_failed() const noexcept { return m_state > parse_state::complete; }

    /// Precondition: the state is past `reading_head`.
    [[nodiscard]] const message_head& head() const noexcept { return m_head; }

    /// Body bytes that were parsed and not yet moved out.
    [[nodiscard]] std::string& body() noexcept { return m_body; }

    /// Moves the head out of a message that is complete or not admitted.
    [[nodiscard]] message_head take_head() { return std::exchange(m_head, {}); }

    /// Moves out the charge of a message whose head and body were moved out. Their new owner has to
    /// keep it as long as it keeps them.
    [[nodiscard]] memory_charge take_charge();

    /// Whether any byte of the current message has been read.
    [[nodiscard]] bool has_begun() const noexcept { return m_has_begun; }

    /// Whether the body is delimited by the end of the connection.
    [[nodiscard]] bool ends_with_connection() const noexcept { return m_ends_with_connection; }
    /// @}

private:
    static const http_parser_settings& callbacks();
    static message_parser& self_from(http_parser* parser);
    static int on_url(http_parser* parser, const char* at, std::size_t length);
    static int on_reason(http_parser* parser, const char* at, std::size_t length);
    static int on_name(http_parser* parser, const char* at, std::size_t length);
    static int on_value(http_parser* parser, const char* at, std::size_t length);
    static int on_head_complete(http_parser* parser);
    static int on_chunk_header(http_parser* parser);
    static int on_body(http_parser* parser, const char* at, std::size_t length);
    static int on_complete(http_parser* parser);

    std::size_t feed_message(std::string_view bytes);
    [[nodiscard]] bool accepts_status_line(std::string_view bytes) noexcept;
    [[nodiscard]] bool has_no_body() const noexcept;
    [[nodiscard]] bool accepts_request_head();
    [[nodiscard]] bool accepts_response_head();
    bool add_head_bytes(std::size_t length);
    [[nodiscard]] std::size_t head_charge() const noexcept;
    [[nodiscard]] bool has_long_framing() const noexcept;
    bool reserve_body(std::uint64_t length);
    bool fail(parse_state state);

    message_role m_role;
    message_limits m_limits;
    http_parser m_parser{};
    parse_state m_state = parse_state::reading_head;
    message_head m_head;
    std::string m_body;
    std::size_t m_head_bytes = 0;
    std::size_t m_fields = 0;
    std::size_t m_body_bytes = 0;      ///< received, also those that were taken out
    std::size_t m_body_wire_bytes = 0; ///< received after the head, framing included
    std::size_t m_chunks = 0;
    std::size_t m_status_line_bytes = 0; ///< checked so far, of a response's first line
    bool m_was_informational = false;    ///< the message that has just ended
    memory_charge m_charge;
    bool m_last_was_value = true;
    bool m_expects_no_body = false;
    bool m_has_begun = false;
    bool m_ends_with_connection = false;
};

} // namespace hickorykeel::gateway
