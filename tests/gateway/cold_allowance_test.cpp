#include "gateway/limits/cold_allowance.h"

#include <chrono> // seconds

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr double rate = 3;
constexpr double bound = rate * 1.5 + 3; // required upper bound for all hosts together

} // namespace

TEST_CASE("cold endpoint: its owner sends at the endpoint's cold rate")
{
    CHECK(cold_allowance({true, true, true}, 10s, rate) == rate);
    CHECK(cold_allowance({false, true, true}, 10s, rate) == 0);
}

TEST_CASE("regression: hosts that restart together don't all own the cold endpoints")
{
    // after the restart of a failure domain, three hosts that had not yet received each other's
    // heartbeats sent nine requests in one second to an endpoint that had started with them
    CHECK(cold_allowance({true, false, true}, 300ms, rate) == 0);
    CHECK(cold_allowance({true, true, true}, 300ms, rate) == 0);
}

TEST_CASE("partitioned hosts together stay below the bound")
{
    CHECK(cold_allowance({true, false, false}, 10s, rate) == 0);
    const double partitioned = cold_allowance({true, false, true}, 10s, rate);
    CHECK(partitioned > 0);
    // while a partition heals, one side may have all hosts again and the others not know it yet
    CHECK(max_cold_sides * partitioned + cold_allowance({true, true, true}, 10s, rate) <= bound);
}
