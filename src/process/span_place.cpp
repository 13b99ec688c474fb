#include "process/span_place.h"

#include <random> // mt19937_64, random_device

namespace hickorykeel {

span_place to_span_place(std::string_view traceparent)
{
    static thread_local std::mt19937_64 generator{std::random_device{}()};
    const auto above = from_traceparent(traceparent);
    if (!above) {
        return {start_trace(true, generator), {}};
    }
    return {start_child_span(*above, generator), above->span};
}

} // namespace hickorykeel
