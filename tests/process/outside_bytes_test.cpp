#include "support/fuzz_corpus.h"
#include "support/fuzz_targets.h"

#include <doctest/doctest.h>

using namespace hickorykeel;

namespace {

constexpr int mutations_each = 1'500;

} // namespace

TEST_CASE("random bytes at each parser of outside bytes")
{
    CHECK(tests::feed_corpus("link", tests::fuzz_link, mutations_each) == "");
    CHECK(tests::feed_corpus("event_stream", tests::fuzz_event_stream, mutations_each) == "");
    CHECK(tests::feed_corpus("caller_request", tests::fuzz_caller_request, mutations_each) == "");
    CHECK(tests::feed_corpus("ticket", tests::fuzz_ticket, mutations_each) == "");
    CHECK(tests::feed_corpus("traceparent", tests::fuzz_traceparent, mutations_each) == "");
}
