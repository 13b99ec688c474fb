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
    CHECK(cold_allowance({true, true, 10s}, rate) == rate);
    CHECK(cold_allowance({false, true, 10s}, rate) == 0);
}

TEST_CASE("regression: hosts that restart together don't all own the cold endpoints")
{
    // after the restart of a failure domain, three hosts that had not yet received each other's
    // heartbeats sent nine requests in one second to an endpoint that had started with them
    CHECK(cold_allowance({true, false, 300ms}, rate) == 0);
    CHECK(cold_allowance({true, true, 300ms}, rate) == 0);
}

TEST_CASE("partitioned hosts together stay below the bound")
{
    constexpr int sides = 7;
    CHECK(sides * cold_allowance({true, false, 10s}, rate) <= bound);
}
