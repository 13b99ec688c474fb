#pragma once

#include "request/trace_context.h"

#include <string_view> // string_view

namespace hickorykeel {

/// Identity of a new span and of the one above it.
struct span_place {
    trace_context context;
    span_id parent; ///< 0: the span is the first of its trace
};

/// Place of a new span below the one that `traceparent` names; where that is malformed, at the top
/// of a new trace that is sampled. Thread safe.
[[nodiscard]] span_place to_span_place(std::string_view traceparent);

} // namespace hickorykeel
