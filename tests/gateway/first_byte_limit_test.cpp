#include "gateway/serving/first_byte_limit.h"

#include <chrono> // milliseconds

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

TEST_CASE("burst on full engines: a queue never grows longer than callers' objective")
{
    constexpr duration objective = 600ms;
    SUBCASE("a new request may take all of it")
    {
        CHECK(max_time_to_first_byte(objective, 0ms, {}) == objective);
    }
    SUBCASE("one that has waited may take the rest")
    {
        CHECK(max_time_to_first_byte(objective, 200ms, {}) == 400ms);
    }
    SUBCASE("one that is late anyway goes only where it is begun soon")
    {
        CHECK(max_time_to_first_byte(objective, 550ms, {}) == 300ms);
        CHECK(max_time_to_first_byte(objective, 5s, {}) == 300ms);
    }
}
