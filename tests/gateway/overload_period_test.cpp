#include "gateway/serving/overload_period.h"

#include <chrono> // milliseconds, seconds

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
constexpr overload_options options;

} // namespace

TEST_CASE("burst: refusals within a moment get the minimum Retry-After delay")
{
    overload_period period;
    CHECK(period.on_refusal(options, start, 0) == options.min_retry_after);
    CHECK(period.on_refusal(options, start + 100ms, 0) == options.min_retry_after);
}

TEST_CASE("long overload: the Retry-After delay grows up to its maximum")
{
    overload_period period;
    duration last{0};
    for (duration elapsed{0}; elapsed <= 20s; elapsed += 500ms) {
        const duration retry_after = period.on_refusal(options, start + elapsed, 0);
        CHECK(retry_after >= last);
        CHECK(retry_after <= options.max_retry_after);
        last = retry_after;
    }
    CHECK(last == options.max_retry_after);
    SUBCASE("a quiet period ends the overload period")
    {
        CHECK(period.on_refusal(options, start + 20s + options.quiet_period, 0) ==
              options.min_retry_after);
    }
}

TEST_CASE("long overload: callers refused at the same time get different Retry-After delays")
{
    overload_period period;
    const duration first = period.on_refusal(options, start, 0);
    const duration second = period.on_refusal(options, start, 0.9);
    CHECK(second - first > 300ms);
}
