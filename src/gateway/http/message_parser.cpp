#include "gateway/http/message_parser.h"

#include <algorithm> // max, min, none_of

namespace hickorykeel::gateway {

namespace {

/// Memory charged for a head that is being read, in multiples of its size, since its texts may have
/// reserved as much again. For a response, the second part covers the copy of the call's owner.
constexpr std::size_t head_copies = 2;

/// Allowance for the framing of one chunk: its size and two line ends.
constexpr std::size_t usual_chunk_framing_bytes = 20;

/// Whether all field names are non-empty and free of whitespace. The next recipient might parse a
/// name with whitespace as another name (RFC 9112, section 5.1).
bool has_valid_names(const header_list& headers)
{
    return std::none_of(headers.begin(), headers.end(), [](const header& field) {
        return field.name.empty() || field.name.find_first_of(" \t") != std::string::npos;
    });
}

/// Position of the status in a response's first line, "HTTP/1.1 200 OK", and its digits.
constexpr std::size_t status_position = 9;
constexpr std::size_t status_digits = 3;

constexpr int min_status = 100;
constexpr int max_status = 599;

/// Whether a response with `status` has no body, whatever its head says (RFC 9112, section 6.3).
bool is_bodiless(int status) noexcept
{
    return status < 200 || status == 204 || status == 304;
}

} // namespace

message_parser::message_parser(message_role role, message_limits limits)
    : m_role{role}, m_limits{limits}
{
    restart();
}

void message_parser::restart()
{
    http_parser_init(&m_parser, m_role == message_role::request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_state = parse_state::reading_head;
    m_head = {};
    m_body.clear();
    m_head_bytes = 0;
    m_fields = 0;
    m_body_bytes = 0;
    m_body_wire_bytes = 0;
    m_chunks = 0;
    m_status_line_bytes = 0;
    m_charge.resize(0);
    m_last_was_value = true;
    m_expects_no_body = false;
    m_has_begun = false;
    m_ends_with_connection = false;
}

void message_parser::discard()
{
    m_head = {};
    release(m_body);
    m_charge.resize(0);
}

std::size_t message_parser::feed(std::string_view bytes)
{
    m_has_begun = m_has_begun || !bytes.empty();
    std::size_t used = 0;
    do {
        m_was_informational = false;
        if (!accepts_status_line(bytes.substr(used))) {
            m_state = parse_state::malformed;
            return used;
        }
        used += feed_message(bytes.substr(used));
    } while (m_was_informational && used < bytes.size());
    return used;
}

/// Whether a response's first line may continue with `bytes`. The underlying parser accepts a
/// status with any number of digits.
bool message_parser::accepts_status_line(std::string_view bytes) noexcept
{
    constexpr std::size_t after_status = status_position + status_digits;
    if (m_role == message_role::request || m_state != parse_state::reading_head) {
        return true;
    }
    for (const char c : bytes) {
        if (m_status_line_bytes > after_status) {
            return true;
        }
        if (m_status_line_bytes == 0 && (c == '\r' || c == '\n')) {
            continue; // empty lines before a message
        }
        const bool is_digit = c >= '0' && c <= '9';
        const bool is_end = c == ' ' || c == '\r' || c == '\n';
        if (m_status_line_bytes >= status_position &&
            !(m_status_line_bytes < after_status ? is_digit : is_end)) {
            return false;
        }
        ++m_status_line_bytes;
    }
    return true;
}

/// Parses up to the end of one message, which may be an informational response.
std::size_t message_parser::feed_message(std::string_view bytes)
{
    const bool is_in_body = m_state == parse_state::reading_body;
    const std::size_t used =
        http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    const auto failure = HTTP_PARSER_ERRNO(&m_parser);
    if (is_in_body) {
        m_body_wire_bytes += used;
    }
    if (m_was_informational) {
        http_parser_pause(&m_parser, 0);
        return used;
    }
    if (m_state == parse_state::complete) {
        return used;
    }
    if (m_state == parse_state::reading_body && has_long_framing()) {
        m_state = parse_state::head_too_large;
        return used;
    }
    if (failure == HPE_HEADER_OVERFLOW) {
        m_state = parse_state::head_too_large;
    }
    else if (failure != HPE_OK && !is_failed()) {
        m_state = parse_state::malformed;
    }
    return used;
}

void message_parser::finish()
{
    if (m_state == parse_state::reading_body && m_ends_with_connection) {
        m_state = parse_state::complete;
    }
    else if (m_state < parse_state::complete) {
        m_state = parse_state::malformed;
    }
}

const http_parser_settings& message_parser::callbacks()
{
    static const http_parser_settings table = [] {
        http_parser_settings settings{};
        http_parser_settings_init(&settings);
        settings.on_url = on_url;
        settings.on_status = on_reason;
        settings.on_header_field = on_name;
        settings.on_header_value = on_value;
        settings.on_headers_complete = on_head_complete;
        settings.on_chunk_header = on_chunk_header;
        settings.on_body = on_body;
        settings.on_message_complete = on_complete;
        return settings;
    }();
    return table;
}

message_parser& message_parser::self_from(http_parser* parser)
{
    return *static_cast<message_parser*>(parser->data);
}

bool message_parser::add_head_bytes(std::size_t length)
{
    m_head_bytes += length;
    if (m_head_bytes > m_limits.max_head_bytes) {
        return fail(parse_state::head_too_large);
    }
    return m_charge.try_resize(head_charge()) || fail(parse_state::out_of_memory);
}

memory_charge message_parser::take_charge()
{
    const std::size_t reserved = head_charge() / head_copies * (head_copies - 1);
    m_charge.resize(m_charge.size() - std::min(reserved, m_charge.size()));
    return std::exchange(m_charge, memory_charge{m_charge.budget()});
}

std::size_t message_parser::head_charge() const noexcept
{
    return head_copies * (m_head_bytes + m_fields * header_list::separator_bytes);
}

/// Whether the extensions of chunks and the fields after the body exceed the limit on heads.
bool message_parser::has_long_framing() const noexcept
{
    return m_body_wire_bytes >
           m_body_bytes + m_chunks * usual_chunk_framing_bytes + m_limits.max_head_bytes;
}

/// Reserves memory for a request's body of `length` bytes. Returns whether the budget admits it.
bool message_parser::reserve_body(std::uint64_t length)
{
    const std::size_t charged = head_charge() + length;
    if (!m_charge.try_resize(charged)) {
        return fail(parse_state::out_of_memory);
    }
    m_body.reserve(length);
    return true;
}

/// Sets the state to `state`, a failure. Always returns false, as the result of the caller.
bool message_parser::fail(parse_state state)
{
    m_state = state;
    return false;
}

int message_parser::on_url(http_parser* parser, const char* at, std::size_t length)
{
    message_parser& self = self_from(parser);
    self.m_head.target.append(at, length);
    return self.add_head_bytes(length) ? 0 : 1;
}

int message_parser::on_reason(http_parser* parser, const char* at, std::size_t length)
{
    message_parser& self = self_from(parser);
    self.m_head.reason.append(at, length);
    return self.add_head_bytes(length) ? 0 : 1;
}

int message_parser::on_name(http_parser* parser, const char* at, std::size_t length)
{
    message_parser& self = self_from(parser);
    if (self.m_state != parse_state::reading_head) {
        return 0; // a trailer
    }
    if (self.m_last_was_value) {
        ++self.m_fields;
        self.m_head.headers.add({}, {});
        self.m_last_was_value = false;
    }
    self.m_head.headers.append_to_last_name({at, length});
    return self.add_head_bytes(length) ? 0 : 1;
}

int message_parser::on_value(http_parser* parser, const char* at, std::size_t length)
{
    message_parser& self = self_from(parser);
    if (self.m_state != parse_state::reading_head) {
        return 0;
    }
    self.m_last_was_value = true;
    self.m_head.headers.append_to_last_value({at, length});
    return self.add_head_bytes(length) ? 0 : 1;
}

/// Whether the message has no body whatever its head says. Precondition: for a response, its status
/// is known.
bool message_parser::has_no_body() const noexcept
{
    return m_expects_no_body || (m_role == message_role::response && is_bodiless(m_head.status));
}

/// Completes the head of a request, and reserves memory for its body if the length is known.
/// Returns whether the request is accepted.
bool message_parser::accepts_request_head()
{
    m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
    if (m_parser.method == HTTP_CONNECT || m_head.headers.count("host") > 1) {
        return false;
    }
    const bool has_length = (m_parser.flags & F_CONTENTLENGTH) != 0;
    if (has_length && m_parser.content_length > m_limits.max_body_bytes) {
        return fail(parse_state::body_too_large);
    }
    return !has_length || m_limits.drops_body || reserve_body(m_parser.content_length);
}

/// Completes the head of a response, and determines how its body ends. Returns whether the status
/// is valid.
bool message_parser::accepts_response_head()
{
    m_head.status = static_cast<int>(m_parser.status_code);
    if (m_head.status < min_status || m_head.status > max_status) {
        return false;
    }
    m_ends_with_connection =
        !has_no_body() && (m_parser.flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
    return true;
}

int message_parser::on_head_complete(http_parser* parser)
{
    message_parser& self = self_from(parser);
    if (!has_valid_names(self.m_head.headers)) {
        return -1;
    }
    self.m_head.headers.shrink_to_fit();
    const bool is_accepted = self.m_role == message_role::request ? self.accepts_request_head()
                                                                  : self.accepts_response_head();
    if (!is_accepted) {
        return -1;
    }
    self.m_head.keeps_alive = http_should_keep_alive(parser) != 0;
    self.m_state = parse_state::reading_body;
    return self.has_no_body() ? 1 : 0;
}

int message_parser::on_chunk_header(http_parser* parser)
{
    ++self_from(parser).m_chunks;
    return 0;
}

int message_parser::on_body(http_parser* parser, const char* at, std::size_t length)
{
    message_parser& self = self_from(parser);
    self.m_body_bytes += length;
    const std::size_t needed =
        self.m_limits.drops_body ? self.m_body_bytes : self.m_body.size() + length;
    if (needed > self.m_limits.max_body_bytes) {
        self.m_state = parse_state::body_too_large;
        return 1;
    }
    if (self.m_limits.drops_body) {
        return 0;
    }
    if (self.m_role == message_role::request && needed > self.m_body.capacity() &&
        !self.reserve_body(std::max(needed, 2 * self.m_body.capacity()))) {
        return 1;
    }
    self.m_body.append(at, length);
    return 0;
}

int message_parser::on_complete(http_parser* parser)
{
    message_parser& self = self_from(parser);
    // an informational response precedes the final one
    if (self.m_role == message_role::response && self.m_head.status < 200) {
        self.m_head = {};
        self.m_last_was_value = true;
        self.m_state = parse_state::reading_head;
        self.m_status_line_bytes = 0;
        self.m_was_informational = true;
        http_parser_pause(parser, 1);
        return 0;
    }
    self.m_state = parse_state::complete;
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace hickorykeel::gateway
