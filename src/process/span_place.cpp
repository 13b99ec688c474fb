#include "process/span_place.h"

#include <random> // mt19937_64, random_device

namespace hickorykeel {

span_place to_span_place(std::string_view traceparent)
{
    static thread_local std::mt19937_64 generator{std::random_device{}()};
    const auto above = from_traceparent(traceparent);
    if (!above) {
        return {to_new_trace(true, generator), {}};
    }
    return {to_child(*above, generator), above->span};
}

} // namespace hickorykeel
