#include "gateway/serving/shutdown_schedule.h"

#include <chrono> // milliseconds, seconds

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

TEST_CASE("a stopping host takes requests, drains, ends what is open, and is over")
{
    constexpr duration grace = 8s;
    CHECK(to_shutdown_phase(0ms, grace, true) == shutdown_phase::admitting);
    CHECK(to_shutdown_phase(2'799ms, grace, true) == shutdown_phase::admitting);
    CHECK(to_shutdown_phase(2'800ms, grace, true) == shutdown_phase::over);
    CHECK(to_shutdown_phase(2'800ms, grace, false) == shutdown_phase::draining);
    CHECK(to_shutdown_phase(7'399ms, grace, false) == shutdown_phase::draining);
    CHECK(to_shutdown_phase(7'400ms, grace, false) == shutdown_phase::ending);
    CHECK(to_shutdown_phase(7'500ms, grace, true) == shutdown_phase::over);
    CHECK(to_shutdown_phase(7'750ms, grace, false) == shutdown_phase::over);
}

// guards against LOST: with a short grace, requests were taken until its end and then cut
TEST_CASE("regression: a host with a short grace takes requests for a part of it only")
{
    constexpr duration grace = 2s;
    CHECK(to_shutdown_phase(699ms, grace, false) == shutdown_phase::admitting);
    CHECK(to_shutdown_phase(700ms, grace, false) == shutdown_phase::draining);
    CHECK(to_shutdown_phase(1'400ms, grace, false) == shutdown_phase::ending);
    CHECK(to_shutdown_phase(1'750ms, grace, false) == shutdown_phase::over);
}
