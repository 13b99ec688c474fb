#include "request/trace_context.h"

#include <charconv> // from_chars
#include <cstddef>  // size_t

namespace hickorykeel {

namespace {

// offsets of the fields in "00-<32 hex>-<16 hex>-<2 hex>"
constexpr std::size_t version_offset = 0;
constexpr std::size_t trace_high_offset = 3;
constexpr std::size_t trace_low_offset = 19;
constexpr std::size_t span_offset = 36;
constexpr std::size_t flags_offset = 53;
constexpr std::size_t header_length = 55;

constexpr std::size_t identifier_digits = 16;
constexpr std::size_t byte_digits = 2;
constexpr std::uint64_t invalid_version = 0xff;
constexpr std::uint64_t sampled_flag = 1;

constexpr std::string_view hex_digits = "0123456789abcdef";

std::string to_hex(std::uint64_t value, std::size_t length)
{
    std::string text(length, '0');
    for (auto it = text.rbegin(); it != text.rend(); ++it) {
        *it = hex_digits[value & 15U];
        value >>= 4U;
    }
    return text;
}

std::optional<std::uint64_t> from_hex(std::string_view header, std::size_t offset,
                                      std::size_t length)
{
    const auto text = header.substr(offset, length);
    // the specification requires lower case
    if (text.find_first_not_of(hex_digits) != std::string_view::npos) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

bool has_separators(std::string_view header)
{
    return header[trace_high_offset - 1] == '-' && header[span_offset - 1] == '-' &&
           header[flags_offset - 1] == '-';
}

/// Whether the header has the length of version 00. Later versions may append fields after a "-".
bool has_valid_length(std::string_view header, std::uint64_t version)
{
    if (header.size() == header_length) {
        return true;
    }
    return version > 0 && header[header_length] == '-';
}

} // namespace

std::string trace_id::to_hex() const
{
    return hickorykeel::to_hex(high, identifier_digits) +
           hickorykeel::to_hex(low, identifier_digits);
}

std::string span_id::to_hex() const
{
    return hickorykeel::to_hex(value, identifier_digits);
}

std::optional<trace_context> from_traceparent(std::string_view header)
{
    if (header.size() < header_length || !has_separators(header)) {
        return std::nullopt;
    }
    const auto version = from_hex(header, version_offset, byte_digits);
    const auto high = from_hex(header, trace_high_offset, identifier_digits);
    const auto low = from_hex(header, trace_low_offset, identifier_digits);
    const auto span = from_hex(header, span_offset, identifier_digits);
    const auto flags = from_hex(header, flags_offset, byte_digits);
    if (!version || !high || !low || !span || !flags) {
        return std::nullopt;
    }
    if (*version == invalid_version || !has_valid_length(header, *version)) {
        return std::nullopt;
    }
    if ((*high == 0 && *low == 0) || *span == 0) {
        return std::nullopt;
    }
    return trace_context{{*high, *low}, {*span}, (*flags & sampled_flag) != 0};
}

std::string to_traceparent(const trace_context& context)
{
    return "00-" + context.trace.to_hex() + '-' + context.span.to_hex() +
           (context.is_sampled ? "-01" : "-00");
}

} // namespace hickorykeel
