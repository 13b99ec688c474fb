#include "gateway/limits/cold_allowance.h"

#include <chrono> // seconds

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr double rate = 3;
constexpr double bound = rate * 1.5 + 3; // of all hosts together, as the users state it

} // namespace

TEST_CASE("cold endpoint: its owner sends what it bears")
{
    CHECK(cold_allowance({true, true, 10s}, rate) == rate);
    CHECK(cold_allowance({false, true, 10s}, rate) == 0);
}

TEST_CASE("regression: hosts that restart together don't all own the cold endpoints")
{
    // a failure domain came back: three hosts that had not heard each other sent nine requests in
    // a second to an endpoint that had started with them
    CHECK(cold_allowance({true, false, 300ms}, rate) == 0);
    CHECK(cold_allowance({true, true, 300ms}, rate) == 0);
}

TEST_CASE("hosts that are cut from each other stay below the bound together")
{
    constexpr int sides = 7;
    CHECK(sides * cold_allowance({true, false, 10s}, rate) <= bound);
}
