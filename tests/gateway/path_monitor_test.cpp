#include "gateway/routing/path_monitor.h"

#include <chrono> // milliseconds, seconds

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

} // namespace

TEST_CASE("the path is lost once no connection could be opened to several endpoints")
{
    path_monitor path;
    CHECK_FALSE(path.is_lost(start));
    path.on_not_connected("i-1", 10, start);
    path.on_not_connected("i-2", 10, start + 10ms);
    path.on_not_connected("i-2", 10, start + 20ms);
    CHECK_FALSE(path.is_lost(start + 20ms));
    CHECK(path.needs_check(0, start + 20ms));
    path.on_not_connected("i-3", 10, start + 30ms);
    CHECK(path.is_lost(start + 30ms));

    SUBCASE("a connection that was opened refutes it")
    {
        path.on_connected();
        CHECK_FALSE(path.is_lost(start + 40ms));
        path.on_not_connected("i-1", 10, start + 50ms);
        CHECK_FALSE(path.is_lost(start + 50ms));
    }
    SUBCASE("it is over when nobody has tried for a while")
    {
        CHECK(path.is_lost(start + 2s));
        CHECK_FALSE(path.is_lost(start + 2'030ms));
    }
    SUBCASE("failures keep it up")
    {
        path.on_not_connected("i-3", 10, start + 1'900ms);
        path.on_not_connected("i-3", 10, start + 3'800ms);
        path.on_not_connected("i-3", 10, start + 5'700ms);
        CHECK(path.is_lost(start + 5'800ms));
    }
}

TEST_CASE("the path to fewer endpoints is lost with the last of them")
{
    path_monitor path;
    path.on_not_connected("i-1", 2, start);
    CHECK_FALSE(path.is_lost(start));
    path.on_not_connected("i-2", 2, start);
    CHECK(path.is_lost(start));
}

// guards against FAILBACK: the only endpoint had started again, its refused connections passed for a
// lost path, and the other hosts sent it a warm one's requests
TEST_CASE("regression: the end of all of a few endpoints passes for a lost path")
{
    path_monitor path;
    path.on_not_connected("i-1", 2, start);
    path.on_not_connected("i-2", 2, start);
    CHECK_FALSE(path.is_certainly_lost(start));
    path.on_not_connected("i-3", 3, start);
    CHECK(path.is_certainly_lost(start));
    CHECK_FALSE(path.is_certainly_lost(start + 2s));
}

TEST_CASE("failures that are far apart don't add up")
{
    path_monitor path;
    path.on_not_connected("i-1", 10, start);
    path.on_not_connected("i-2", 10, start + 4s);
    path.on_not_connected("i-3", 10, start + 8s);
    CHECK_FALSE(path.is_lost(start + 8s));
}

TEST_CASE("a connection that has ended is a reason to open others, until one could be opened")
{
    path_monitor path;
    CHECK_FALSE(path.needs_check(0, start));
    path.on_disconnected(start);
    CHECK(path.needs_check(0, start + 900ms));
    CHECK_FALSE(path.is_lost(start + 900ms));
    CHECK_FALSE(path.needs_check(0, start + 1s));
    path.on_disconnected(start + 2s);
    path.on_connected();
    CHECK_FALSE(path.needs_check(0, start + 2s));
}

TEST_CASE("endpoints that are silent together are asked")
{
    path_monitor path;
    path.on_received(start);
    CHECK(path.is_receiving(start + 400ms));
    CHECK_FALSE(path.needs_check(5, start + 200ms));
    CHECK(path.needs_check(5, start + 400ms));
    CHECK_FALSE(path.needs_check(1, start + 400ms));
    CHECK_FALSE(path.is_lost(start + 400ms));
}
