#include "gateway/http/message.h"

#include <algorithm> // any_of, count_if, equal, replace
#include <array>     // array
#include <cctype>    // isalnum, isxdigit
#include <charconv>  // from_chars
#include <chrono>    // milliseconds
#include <cstdint>   // int64_t
#include <utility>   // move

#include <fmt/format.h>  // format_to
#include <http_parser.h> // http_status_str

namespace hickorykeel::gateway {

namespace {

constexpr char to_lower(char c) noexcept
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim(std::string_view text) noexcept
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

std::string percent_decoded(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned value = 0;
        if (text[at] == '%' && at + 2 < text.size() &&
            std::from_chars(&text[at + 1], &text[at + 1] + 2, value, 16).ptr == &text[at + 1] + 2) {
            decoded.push_back(static_cast<char>(value));
            at += 2;
        }
        else {
            decoded.push_back(text[at] == '+' ? ' ' : text[at]);
        }
    }
    return decoded;
}

void append_fields(std::string& text, const header_list& headers)
{
    for (const header& field : headers) {
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
}

/// Size up to which a body is sent in one piece with its head.
constexpr std::size_t max_joined_body_bytes = 65'536;

std::string format_status_line(int status, const header_list& headers, bool keeps_alive)
{
    std::string text;
    text.reserve(512);
    fmt::format_to(std::back_inserter(text), "HTTP/1.1 {} {}\r\n", status,
                   http_status_str(static_cast<http_status>(status)));
    append_fields(text, headers);
    if (!keeps_alive) {
        text += "Connection: close\r\n";
    }
    return text;
}

} // namespace

bool is_same_name(std::string_view lhs, std::string_view rhs) noexcept
{
    return std::equal(lhs.begin(), lhs.end(), rhs.begin(), rhs.end(),
                      [](char a, char b) { return to_lower(a) == to_lower(b); });
}

void header_list::iterator::read() noexcept
{
    const std::size_t colon = m_rest.find(':');
    if (colon == std::string_view::npos) {
        m_field = {};
        return;
    }
    const std::size_t end = m_rest.find('\n', colon);
    m_field = {m_rest.substr(0, colon), m_rest.substr(colon + 1, end - colon - 1)};
}

std::string_view header_list::find(std::string_view name) const noexcept
{
    for (const header& field : *this) {
        if (is_same_name(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

bool header_list::contains(std::string_view name) const noexcept
{
    return count(name) > 0;
}

std::size_t header_list::count(std::string_view name) const noexcept
{
    return static_cast<std::size_t>(std::count_if(
        begin(), end(), [name](const header& field) { return is_same_name(field.name, name); }));
}

bool header_list::lists(std::string_view name, std::string_view token) const noexcept
{
    for (const header& field : *this) {
        if (!is_same_name(field.name, name)) {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            if (is_same_name(trim(rest.substr(0, comma)), token)) {
                return true;
            }
            rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
        }
    }
    return false;
}

void header_list::add(std::string_view name, std::string_view value)
{
    m_text += name;
    m_text += ":\n";
    append_to_last_value(value);
}

void header_list::append_to_last_name(std::string_view text)
{
    // the value is still empty
    m_text.insert(m_text.size() - separator_bytes, text);
}

void header_list::append_to_last_value(std::string_view text)
{
    const std::size_t at = m_text.size() - 1;
    m_text.insert(at, text);
    const auto first = m_text.begin() + static_cast<std::ptrdiff_t>(at);
    std::replace(first, m_text.end() - 1, '\n', ' ');
}

std::string_view to_path(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

std::string query_value(std::string_view target, std::string_view name)
{
    const std::size_t mark = target.find('?');
    std::string_view rest =
        mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
            return percent_decoded(pair.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return {};
}

std::string percent_encoded(std::string_view text)
{
    std::string encoded;
    for (const char c : text) {
        if (std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '.' || c == '_' ||
            c == '~') {
            encoded.push_back(c);
        }
        else {
            fmt::format_to(std::back_inserter(encoded), "%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return encoded;
}

std::optional<duration> parse_milliseconds(std::string_view text) noexcept
{
    // longer than a day is taken as an error
    constexpr std::int64_t max_ms = 86'400'000;
    std::int64_t ms = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, ms);
    if (parsed.ec != std::errc{} || parsed.ptr != end || ms < 0 || ms > max_ms) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{ms};
}

bool is_connection_header(std::string_view name) noexcept
{
    constexpr std::array<std::string_view, 9> names{"connection",
                                                    "keep-alive",
                                                    "proxy-authenticate",
                                                    "proxy-authorization",
                                                    "proxy-connection",
                                                    "te",
                                                    "trailer",
                                                    "transfer-encoding",
                                                    "upgrade"};
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view known) { return is_same_name(known, name); });
}

namespace {

std::string format_request_head(std::string_view method, std::string_view target,
                                const header_list& headers, std::size_t body_bytes)
{
    std::string text;
    text.reserve(512 + (body_bytes <= max_joined_body_bytes ? body_bytes : 0));
    text += method;
    text += ' ';
    text += target;
    text += " HTTP/1.1\r\n";
    append_fields(text, headers);
    if (body_bytes > 0 || (method != "GET" && method != "HEAD" && method != "DELETE")) {
        fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", body_bytes);
    }
    text += "\r\n";
    return text;
}

} // namespace

std::string format_request(std::string_view method, std::string_view target,
                           const header_list& headers, std::string_view body)
{
    std::string text = format_request_head(method, target, headers, body.size());
    text += body;
    return text;
}

outgoing_request to_outgoing_request(std::string_view method, std::string_view target,
                                     const header_list& headers, shared_bytes body)
{
    std::string text = format_request_head(method, target, headers, body->size());
    if (body->size() > max_joined_body_bytes) {
        return {std::move(text), std::move(body)};
    }
    text += *body;
    return {std::move(text)};
}

std::string format_response_head(int status, const header_list& headers, std::size_t body_bytes,
                                 bool keeps_alive)
{
    std::string text = format_status_line(status, headers, keeps_alive);
    if (status != 204 && status != 304) {
        fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", body_bytes);
    }
    text += "\r\n";
    return text;
}

std::string format_response(int status, const header_list& headers, std::string_view body,
                            bool keeps_alive)
{
    std::string text = format_response_head(status, headers, body.size(), keeps_alive);
    text += body;
    return text;
}

std::string format_chunked_head(int status, const header_list& headers, bool keeps_alive)
{
    return format_status_line(status, headers, keeps_alive) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string format_chunk(std::string_view body)
{
    std::string text;
    text.reserve(body.size() + 16);
    fmt::format_to(std::back_inserter(text), "{:x}\r\n", body.size());
    text += body;
    text += "\r\n";
    return text;
}

} // namespace hickorykeel::gateway
