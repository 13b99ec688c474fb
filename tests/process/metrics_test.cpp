#include "process/metrics.h"

#include <string> // string, to_string

#include <doctest/doctest.h>

using namespace hickorykeel;

namespace {

bool has(const metrics& registry, const std::string& line)
{
    return registry.to_text().find(line + '\n') != std::string::npos;
}

} // namespace

TEST_CASE("metrics")
{
    metrics registry{"attica-a", "attica-1"};

    SUBCASE("counters by label")
    {
        auto calls = registry.counters("calls_total", "calls", {"outcome"});
        calls.with({"ok"}).Increment();
        calls.with({"ok"}).Increment(2);
        calls.with({"refused"}).Increment();
        CHECK(has(registry, "calls_total{failure_domain=\"attica-1\",host=\"attica-a\",outcome="
                            "\"ok\"} 3"));
        CHECK(has(registry, "# TYPE calls_total counter"));
    }
    SUBCASE("gauges refreshed before collection")
    {
        auto level = registry.gauges("level", "tokens");
        double now = 1;
        registry.before_collect([&] { level.with({}).Set(now); });
        now = 7;
        CHECK(has(registry, "level{failure_domain=\"attica-1\",host=\"attica-a\"} 7"));
    }
    SUBCASE("histograms")
    {
        auto times = registry.histograms("wait_seconds", "waits", time_buckets());
        times.with({}).Observe(0.2);
        CHECK(has(registry, "wait_seconds_bucket{failure_domain=\"attica-1\",host=\"attica-a\",le="
                            "\"0.25\"} 1"));
    }
    SUBCASE("label values beyond the bound are one series")
    {
        auto calls = registry.counters("calls_total", "calls", {"organisation"});
        for (std::size_t i = 0; i < maximum_series + 5; ++i) {
            calls.with({std::to_string(i)}).Increment();
        }
        CHECK(has(registry, "calls_total{failure_domain=\"attica-1\",host=\"attica-a\","
                            "organisation=\"other\"} 5"));
    }
}
