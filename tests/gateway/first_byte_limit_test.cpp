#include "gateway/serving/first_byte_limit.h"

#include <chrono> // milliseconds

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

// A request whose response has not started isn't sent beyond this limit, which keeps the queue at an
// engine from growing longer than the objective.
TEST_CASE("burst on full engines: the limit on the time to first byte never exceeds the objective")
{
    constexpr duration objective = 600ms;
    SUBCASE("a new request may take the whole objective")
    {
        CHECK(max_time_to_first_byte(objective, 0ms, {}) == objective);
    }
    SUBCASE("a request that has waited may take the rest")
    {
        CHECK(max_time_to_first_byte(objective, 200ms, {}) == 400ms);
    }
    SUBCASE("a late request may take half of the objective")
    {
        CHECK(max_time_to_first_byte(objective, 550ms, {}) == 300ms);
        CHECK(max_time_to_first_byte(objective, 5s, {}) == 300ms);
    }
}
