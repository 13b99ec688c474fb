#include "request/trace_context.h"

#include <random> // mt19937_64
#include <string> // string
#include <vector> // vector

#include <doctest/doctest.h>

using namespace hickorykeel;

namespace {

const std::string example = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

} // namespace

TEST_CASE("traceparent")
{
    SUBCASE("a valid header is parsed and written")
    {
        const auto context = from_traceparent(example);
        REQUIRE(context);
        CHECK(context->trace.to_hex() == "0af7651916cd43dd8448eb211c80319c");
        CHECK(context->span.to_hex() == "b7ad6b7169203331");
        CHECK(context->is_sampled);
        CHECK(to_traceparent(*context) == example);
    }
    SUBCASE("only the sampled flag is passed on")
    {
        auto header = example;
        header.replace(53, 2, "fe");
        CHECK_FALSE(from_traceparent(header)->is_sampled);
    }
    SUBCASE("a later version may be longer")
    {
        CHECK(from_traceparent("01" + example.substr(2)));
        CHECK(from_traceparent("01" + example.substr(2) + "-further-field"));
        CHECK_FALSE(from_traceparent("01" + example.substr(2) + "x"));
        CHECK_FALSE(from_traceparent(example + "-further-field"));
    }
    SUBCASE("malformed headers are rejected")
    {
        for (const std::string& header : std::vector<std::string>{
                 std::string{}, example.substr(1), "ff" + example.substr(2),
                 "00-" + std::string(32, '0') + "-b7ad6b7169203331-01",
                 "00-0af7651916cd43dd8448eb211c80319c-" + std::string(16, '0') + "-01",
                 "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                 "00_0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331_01", std::string(55, ' ')}) {
            CAPTURE(header);
            CHECK_FALSE(from_traceparent(header));
        }
    }
}

TEST_CASE("new spans")
{
    std::mt19937_64 generator{1};
    const auto first = start_trace(true, generator);
    CHECK(from_traceparent(to_traceparent(first)) == first);
    const auto child = start_child_span(first, generator);
    CHECK(child.trace == first.trace);
    CHECK_FALSE(child.span == first.span);
    CHECK(child.is_sampled);
}
