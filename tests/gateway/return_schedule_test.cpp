#include "gateway/serving/return_schedule.h"

#include <chrono> // hours, milliseconds, seconds

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start = time_point{} + 1h;

} // namespace

// guards against callers that are told to return at the same time, of which one is served
TEST_CASE("return schedule: callers return one after the other, as the rate admits them")
{
    return_schedule schedule;
    CHECK(schedule.next(300ms, 2, start) == duration{300ms});
    CHECK(schedule.next(300ms, 2, start) == duration{800ms});
    CHECK(schedule.next(200ms, 2, start + 100ms) == duration{1'200ms});
    // the interval after a caller is that of the rate when it was told
    CHECK(schedule.next(200ms, 4, start + 100ms) == duration{1'700ms});
    CHECK(schedule.next(200ms, 4, start + 100ms) == duration{1'950ms});
}

// guards against a caller that returns before the rate admits a request
TEST_CASE("return schedule: no caller returns before the first request is admitted")
{
    return_schedule schedule;
    CHECK(schedule.next(100ms, 10, start) == duration{100ms});
    CHECK(schedule.next(900ms, 10, start) == duration{900ms});
    CHECK(schedule.next(100ms, 10, start) == duration{1s}); // nor before one told earlier
}

// guards against callers that stay away for as long as a flood of refusals lasted
TEST_CASE("return schedule: no delay is longer than the longest one")
{
    return_schedule schedule;
    CHECK(schedule.next(10s, 1, start) == return_schedule::max_delay);
    for (int i = 0; i < 1'000; ++i) {
        const duration delay = schedule.next(100ms, 2, start);
        CHECK(delay == return_schedule::max_delay);
    }
    // the schedule ends one interval after the longest delay, however many were refused
    const auto later = start + return_schedule::max_delay + 500ms;
    CHECK(schedule.next(100ms, 2, later) == duration{100ms});
}

// guards against delays that grow although the earlier callers have returned
TEST_CASE("return schedule: times that have passed are no longer waited for")
{
    return_schedule schedule;
    CHECK(schedule.next(500ms, 1, start) == duration{500ms});
    CHECK(schedule.next(500ms, 1, start) == duration{1'500ms});
    CHECK(schedule.next(200ms, 1, start + 2s) == duration{500ms});
    CHECK(schedule.next(200ms, 1, start + 1min) == duration{200ms});
}
