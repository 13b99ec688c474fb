#include "request/trace_context.h"
#include "support/fuzz_targets.h"

namespace hickorykeel::tests {

int fuzz_traceparent(const std::uint8_t* data, std::size_t size)
{
    const auto read = from_traceparent(to_text(data, size));
    if (read) {
        hold(from_traceparent(to_traceparent(*read)) == read,
             "a context written again says the same");
        hold(read->span.value != 0, "no span is zero");
    }
    return 0;
}

} // namespace hickorykeel::tests
