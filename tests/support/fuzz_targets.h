#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint8_t
#include <stdexcept>   // logic_error
#include <string_view> // string_view

namespace hickorykeel::tests {

/// @name targets
/// Each feeds bytes to one parser of outside bytes. Has the shape of a libFuzzer target.
/// @return 0; a broken property throws std::logic_error, other faults show as a crash
/// @{

/// An envelope of the link between processes: codecs of limits and of published state.
int fuzz_link(const std::uint8_t* data, std::size_t size);

/// The body of a model engine's answer.
int fuzz_event_stream(const std::uint8_t* data, std::size_t size);

/// Seven lines (path, query, key, profile, idempotency key, deadline, traceparent), then the body.
int fuzz_caller_request(const std::uint8_t* data, std::size_t size);

/// The text of a ticket.
int fuzz_ticket(const std::uint8_t* data, std::size_t size);

/// A header `traceparent`.
int fuzz_traceparent(const std::uint8_t* data, std::size_t size);

/// @}

/// Throws where a property doesn't hold.
inline void hold(bool is_held, const char* property)
{
    if (!is_held) {
        throw std::logic_error{property};
    }
}

inline std::string_view to_text(const std::uint8_t* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

} // namespace hickorykeel::tests
