#include "gateway/routing/recent_timeouts.h"

#include <chrono> // seconds

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

} // namespace

// guards against ORDER: a stream that had begun under a longer timeout was taken up after a version
// that had left since, but within the route's new, shorter timeout
TEST_CASE("regression: a timeout that was shortened is forgotten at once")
{
    recent_timeouts timeouts;
    timeouts.update({{"s", 20s}}, start);
    timeouts.update({{"s", 5s}}, start + 10s);
    CHECK(timeouts.longest("s", start + 10s) == 20s);
    CHECK(timeouts.longest("s", start + 70s) == 20s);
    CHECK(timeouts.longest("s", start + 71s) == 5s);
}

TEST_CASE("recent timeouts: a longer one counts at once, and the one in force for as long as it is")
{
    recent_timeouts timeouts;
    timeouts.update({{"s", 5s}}, start);
    CHECK(timeouts.longest("s", start + 600s) == 5s);
    timeouts.update({{"s", 20s}}, start + 600s);
    timeouts.update({{"s", 20s}}, start + 700s);
    CHECK(timeouts.longest("s", start + 800s) == 20s);
}

TEST_CASE("recent timeouts: a service without routes may have had any")
{
    recent_timeouts timeouts;
    CHECK(timeouts.longest("s", start) == recent_timeouts::retention);
    timeouts.update({{"s", 5s}}, start);
    timeouts.update({}, start + 1s);
    CHECK(timeouts.longest("s", start + 2s) == 5s);
    CHECK(timeouts.longest("s", start + 62s) == recent_timeouts::retention);
}
