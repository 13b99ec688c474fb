#include "gateway/routing/endpoint_pool.h"

#include "gateway/endpoint_pool_fixture.h"
#include "gateway/routing/rendezvous.h"

#include <chrono> // milliseconds

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

TEST_CASE("full endpoints: an engine accepts as many requests as its batch has slots")
{
    endpoint_pool_fixture with{true, 4};
    with.add("a");
    with.add("b");
    with.update(start);
    CHECK(with.fill(start) == 8);
    CHECK(with.pool().free_capacity(with.requested_service(), start).free_places == 0);
    with.pool().on_end({"a", 1}, 0, endpoint_outcome::answered, start);
    CHECK(with.choose(start)->endpoint == "a");
}

TEST_CASE("full endpoints: the last endpoint of a plain service queues a burst from other regions")
{
    // with a queue of three requests, callers of three regions were refused while it had capacity
    endpoint_pool_fixture with{false, 6};
    with.add("a");
    with.update(start);
    CHECK(with.fill(start) == 16);
}

TEST_CASE("full endpoints: requests of other hosts occupy slots")
{
    endpoint_pool_fixture with{true, 4};
    with.add("a");
    with.update(start);
    with.pool().set_peer_loads({{short_hash("a"), {3, 0}}});
    CHECK(with.fill(start) == 1);
}

TEST_CASE("slow endpoint: the estimated slowness moves requests away")
{
    endpoint_pool_fixture with{true, 48};
    with.add("a");
    with.add("b");
    with.update(start);
    for (int i = 0; i < 20; ++i) {
        with.pool().on_first_byte({"a", 1}, 0, 200ms, 20ms);
    }
    for (int i = 0; i < 5; ++i) {
        const auto chosen = with.choose(start);
        CHECK(chosen->endpoint == "b");
        static_cast<void>(with.pool().on_sent("b", nullptr, start));
    }
}

TEST_CASE("draining endpoint: nothing more is sent to it")
{
    endpoint_pool_fixture with{true};
    with.add("a").is_draining = true;
    with.update(start);
    CHECK_FALSE(with.choose(start));
}

TEST_CASE("unreachable endpoint: it is ejected for a backoff that doubles, then half-open")
{
    endpoint_pool_fixture with{false};
    with.add("a");
    with.update(start);
    time_point now = start;
    duration last{0};
    for (int failure = 0; failure < 3; ++failure) {
        static_cast<void>(with.pool().on_sent("a", nullptr, now));
        with.pool().on_end({"a", 1}, 0, endpoint_outcome::unreachable, now);
        duration backoff{0};
        while (!with.choose(now + backoff)) {
            backoff += 10ms;
        }
        CHECK(backoff > last);
        last = backoff;
        now += backoff;
    }
    SUBCASE("one request at a time until a response arrives")
    {
        static_cast<void>(with.pool().on_sent("a", nullptr, now));
        CHECK_FALSE(with.choose(now));
        with.pool().on_end({"a", 1}, 0, endpoint_outcome::answered, now);
        CHECK(with.choose(now));
    }
}

TEST_CASE("lost responses: one broken connection doesn't eject a service's only endpoint")
{
    endpoint_pool_fixture with{false};
    with.add("a");
    with.update(start);
    static_cast<void>(with.pool().on_sent("a", nullptr, start));
    with.pool().on_end({"a", 1}, 0, endpoint_outcome::cut, start);
    CHECK(with.choose(start));
    static_cast<void>(with.pool().on_sent("a", nullptr, start));
    with.pool().on_end({"a", 1}, 0, endpoint_outcome::cut, start);
    CHECK_FALSE(with.choose(start));
}

TEST_CASE("failed endpoint: a request is not sent to an excluded endpoint")
{
    endpoint_pool_fixture with{true};
    with.add("a");
    with.update(start);
    CHECK_FALSE(with.choose(start, nullptr, {"a"}));
    CHECK_FALSE(with.pool().has_candidate({&with.requested_service(), nullptr, {"a"}}, start));
}
