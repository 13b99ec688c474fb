#include "process/trace_exporter.h"

#include "support/fake_server.h"
#include "support/wait_for.h"

#include <mutex>  // mutex, lock_guard
#include <string> // string
#include <vector> // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using hickorykeel::tests::fake_server;
using hickorykeel::tests::wait_for;

namespace {

const trace_span::clock::time_point start{std::chrono::seconds{1'700'000'000}};
const trace_context sampled{{0, 10}, {11}, true};

trace_span to_span(const trace_context& context = sampled)
{
    trace_span span{span_name{"dispatch"}, span_side::client, context, span_id{9}, start};
    span.end(start + std::chrono::milliseconds{5}, span_status::ok);
    return span;
}

/// Takes spans and remembers their bodies.
struct fake_collector : fake_server {
    std::mutex mutex;
    std::vector<nlohmann::json> spans;
    nlohmann::json resource;
    int status = 200;

    fake_collector()
    {
        server.Post("/v1/traces", [this](const auto& request, auto& response) {
            const auto body = nlohmann::json::parse(request.body);
            const auto& group = body["resourceSpans"][0];
            const std::lock_guard lock{mutex};
            resource = group["resource"]["attributes"];
            for (const auto& span : group["scopeSpans"][0]["spans"]) {
                spans.push_back(span);
            }
            response.status = status;
        });
        start();
    }
};

trace_exporter::options to_options(const std::string& address)
{
    trace_exporter::options chosen;
    chosen.address = address;
    chosen.program = "hickorykeel-entry";
    chosen.interval = std::chrono::milliseconds{1};
    return chosen;
}

} // namespace

TEST_CASE("spans as OTLP")
{
    auto span = to_span();
    span.set(span_attribute::organisation, "volunteers");
    span.set(span_attribute::http_status, 200);
    const auto written = span.to_otlp();
    CHECK(written["traceId"] == "0000000000000000000000000000000a");
    CHECK(written["spanId"] == "000000000000000b");
    CHECK(written["parentSpanId"] == "0000000000000009");
    CHECK(written["name"] == "dispatch");
    CHECK(written["kind"] == 3);
    CHECK(written["startTimeUnixNano"] == "1700000000000000000");
    CHECK(written["endTimeUnixNano"] == "1700000000005000000");
    CHECK(written["status"]["code"] == 1);
    CHECK(written["attributes"].dump() ==
          R"([{"key":"hickorykeel.organisation","value":{"stringValue":"volunteers"}},)"
          R"({"key":"http.response.status_code","value":{"intValue":"200"}}])");

    SUBCASE("text that is no name is replaced")
    {
        auto careless = to_span();
        careless.set(span_attribute::target, "please read the visit history");
        CHECK(careless.to_otlp().dump().find("visit") == std::string::npos);
    }
    SUBCASE("each row of the table of attributes stands at its place")
    {
        for (std::size_t i = 0; i < span_attribute_kinds.size(); ++i) {
            CHECK(static_cast<std::size_t>(span_attribute_kinds[i].attribute) == i);
        }
    }
}

TEST_CASE("trace exporter")
{
    fake_collector collector;

    SUBCASE("spans reach the collector")
    {
        trace_exporter exporter{to_options(collector.address())};
        exporter.add(to_span());
        exporter.add(to_span({{0, 10}, {12}, false}));
        exporter.add(to_span());
        CHECK(wait_for([&] { return exporter.exported() == 2; }));
        CHECK(exporter.dropped() == 0);
        const std::lock_guard lock{collector.mutex};
        CHECK(collector.spans.size() == 2);
        CHECK(collector.resource[0]["value"]["stringValue"] == "hickorykeel-entry");
    }
    SUBCASE("the end sends what waits")
    {
        auto chosen = to_options(collector.address());
        chosen.interval = std::chrono::hours{1};
        {
            trace_exporter exporter{chosen};
            exporter.add(to_span());
        }
        CHECK(collector.spans.size() == 1);
    }
    SUBCASE("a full queue drops")
    {
        auto chosen = to_options(collector.address());
        chosen.interval = std::chrono::hours{1};
        chosen.capacity = 3;
        trace_exporter exporter{chosen};
        for (int i = 0; i < 5; ++i) {
            exporter.add(to_span());
        }
        CHECK(exporter.dropped() == 2);
    }
    SUBCASE("a collector that refuses")
    {
        collector.status = 500;
        trace_exporter exporter{to_options(collector.address())};
        exporter.add(to_span());
        CHECK(wait_for([&] { return exporter.dropped() == 1; }));
    }
    SUBCASE("nobody listens")
    {
        const std::string closed = [] { return fake_server{}.address(); }();
        trace_exporter exporter{to_options(closed)};
        exporter.add(to_span());
        CHECK(wait_for([&] { return exporter.dropped() == 1; }));
    }
    SUBCASE("switched off")
    {
        trace_exporter exporter{to_options("")};
        exporter.add(to_span());
        CHECK(exporter.dropped() == 0);
    }
}
