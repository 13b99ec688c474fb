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

    /// 32 hex digits. Thread safe.
    [[nodiscard]] std::string to_hex() const;
};

/// Identifier of one span of a trace: 8 bytes; 0 stands for none.
struct span_id {
    std::uint64_t value = 0;

    friend bool operator==(const span_id&, const span_id&) = default;

    /// 16 hex digits. Thread safe.
    [[nodiscard]] std::string to_hex() const;
};

/// Where a piece of work stands in its trace: what the header `traceparent` carries.
struct trace_context {
    trace_id trace;
    span_id span;
    bool is_sampled = false;

    friend bool operator==(const trace_context&, const trace_context&) = default;
};

/// Reads a header `traceparent` (W3C Trace Context, level 1 and its rules for later versions).
/// @return nothing where it is malformed: the receiver starts a trace of its own
/// Thread safe.
[[nodiscard]] std::optional<trace_context> from_traceparent(std::string_view header);

/// The header `traceparent` of version 00. Thread safe.
[[nodiscard]] std::string to_traceparent(const trace_context& context);

namespace detail {

template <std::uniform_random_bit_generator Generator>
std::uint64_t to_identifier(Generator& generator)
{
    // the specification reserves zero
    return std::uniform_int_distribution<std::uint64_t>{1}(generator);
}

} // namespace detail

/// Context of the first span of a new trace. Thread safe where `generator` is.
template <std::uniform_random_bit_generator Generator>
[[nodiscard]] trace_context to_new_trace(bool is_sampled, Generator& generator)
{
    const trace_id trace{detail::to_identifier(generator), detail::to_identifier(generator)};
    return {trace, span_id{detail::to_identifier(generator)}, is_sampled};
}

/// Context of a new span of the same trace; `parent.span` is its parent. Thread safe where
/// `generator` is.
template <std::uniform_random_bit_generator Generator>
[[nodiscard]] trace_context to_child(const trace_context& parent, Generator& generator)
{
    return {parent.trace, span_id{detail::to_identifier(generator)}, parent.is_sampled};
}

} // namespace hickorykeel
