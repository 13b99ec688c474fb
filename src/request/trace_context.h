#pragma once

#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <random>      // uniform_int_distribution, uniform_random_bit_generator
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel {

/// Identifier of a trace: 16 bytes, not all zero.
struct trace_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const trace_id&, const trace_id&) = default;

    /// Returns 32 hex digits. Thread safe.
    [[nodiscard]] std::string to_hex() const;
};

/// Identifier of a span: 8 bytes; 0: none.
struct span_id {
    std::uint64_t value = 0;

    friend bool operator==(const span_id&, const span_id&) = default;

    /// Returns 16 hex digits. Thread safe.
    [[nodiscard]] std::string to_hex() const;
};

/// Trace, current span and sampling flag, as carried by the header `traceparent`.
struct trace_context {
    trace_id trace;
    span_id span;
    bool is_sampled = false;

    friend bool operator==(const trace_context&, const trace_context&) = default;
};

/// Parses a header `traceparent` (W3C Trace Context, level 1 and its rules for later versions).
/// @return nothing if it is malformed; the receiver then starts a new trace
/// Thread safe.
[[nodiscard]] std::optional<trace_context> from_traceparent(std::string_view header);

/// Returns the header `traceparent` in version 00. Thread safe.
[[nodiscard]] std::string to_traceparent(const trace_context& context);

namespace detail {

template <std::uniform_random_bit_generator Generator>
std::uint64_t random_identifier(Generator& generator)
{
    // the specification reserves 0
    return std::uniform_int_distribution<std::uint64_t>{1}(generator);
}

} // namespace detail

/// Returns the context of the first span of a new trace. Thread safe if `generator` is.
template <std::uniform_random_bit_generator Generator>
[[nodiscard]] trace_context start_trace(bool is_sampled, Generator& generator)
{
    const trace_id trace{detail::random_identifier(generator),
                         detail::random_identifier(generator)};
    return {trace, span_id{detail::random_identifier(generator)}, is_sampled};
}

/// Returns the context of a new span whose parent is `parent.span`. Thread safe if `generator` is.
template <std::uniform_random_bit_generator Generator>
[[nodiscard]] trace_context start_child_span(const trace_context& parent, Generator& generator)
{
    return {parent.trace, span_id{detail::random_identifier(generator)}, parent.is_sampled};
}

} // namespace hickorykeel
