#include "gateway/routing/region_choice.h"

#include <chrono> // milliseconds

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr region_choice_options options{.distance = 170ms, .patience = 0.5};

} // namespace

TEST_CASE("a region that is quick enough serves its own callers")
{
    CHECK_FALSE(choose_region(250ms, {{"far", 1ms, 100}}, 600ms, options));
}

TEST_CASE("peak of a region: its requests go where they begin earlier, the way included")
{
    CHECK(choose_region(900ms, {{"near", 500ms, 10}, {"far", 30ms, 10}}, 600ms, options) == 1);
    CHECK_FALSE(choose_region(350ms, {{"far", 300ms, 10}}, 600ms, options));
}

TEST_CASE("full regions get nothing")
{
    CHECK_FALSE(choose_region(900ms, {{"far", 30ms, 0}}, 600ms, options));
    CHECK_FALSE(choose_region(std::nullopt, {{"far", 30ms, 0}}, 600ms, options));
}

TEST_CASE("a request that its own region can't serve goes elsewhere")
{
    CHECK(choose_region(std::nullopt, {{"far", 2'000ms, 1}}, 600ms, options) == 0);
}
