#include "gateway/endpoint_pool_fixture.h"
#include "gateway/routing/endpoint_pool.h"
#include "gateway/routing/rendezvous.h"

#include <chrono>  // seconds
#include <cstdint> // uint32_t
#include <string>  // string
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

TEST_CASE("address of another incarnation: nothing more is sent to the endpoint")
{
    endpoint_pool_fixture with{true};
    with.add("a");
    with.update(start);
    static_cast<void>(with.pool().on_sent("a", nullptr, start));
    with.pool().on_end({"a", 1}, 0, endpoint_outcome::gone, start);
    CHECK_FALSE(with.choose(start));
}

// guards against requests that are refused although sound endpoints are there: a host sent to an
// ended incarnation again after each publication, and its retry budget was empty
TEST_CASE("regression: an ended incarnation gets requests again once it is published again")
{
    endpoint_pool_fixture with{false};
    with.add("a");
    with.update(start);
    CHECK(with.pool().on_ended({"a", 1}, start));
    CHECK_FALSE(with.pool().on_ended({"a", 1}, start)); // not new
    CHECK_FALSE(with.choose(start));
    with.add("b");
    with.update(start + 1s);
    REQUIRE(with.choose(start + 1s));
    CHECK(with.choose(start + 1s)->endpoint == "b");
    with.remove("a");
    with.update(start + 2s);
    with.remove("b");
    with.add("a"); // an older publication
    with.update(start + 3s);
    CHECK_FALSE(with.choose(start + 3s));

    SUBCASE("a new incarnation with its id starts clean")
    {
        with.entry("a").started_ms = 2;
        with.update(start + 4s);
        CHECK(with.choose(start + 4s));
        // news of the former one come late
        with.pool().on_ended({"a", 1}, start + 5s);
        CHECK(with.choose(start + 5s));
    }
    SUBCASE("an incarnation whose start is unknown isn't ended for good")
    {
        with.entry("a").started_ms = 0;
        with.update(start + 4s);
        CHECK_FALSE(with.pool().on_ended({"a", 0}, start + 4s));
        CHECK(with.choose(start + 4s));
    }
    SUBCASE("it is ended before its entry arrives")
    {
        with.pool().on_ended({"c", 1}, start + 4s);
        with.add("c");
        with.update(start + 5s);
        CHECK_FALSE(with.choose(start + 5s));
    }
}

TEST_CASE("an incarnation whose end other hosts have seen gets no request")
{
    endpoint_pool_fixture with{false};
    with.add("a");
    with.update(start);
    const std::uint32_t former = short_hash(endpoint_incarnation{"a", 1});
    CHECK(with.pool().own_ended_endpoints().empty());
    CHECK(with.pool().set_ended_endpoints({{former, 1}}).empty());
    CHECK(with.choose(start)); // the word of one host isn't enough
    CHECK(with.pool().set_ended_endpoints({{former, 2}}) == std::vector<std::string>{"a"});
    CHECK(with.pool().set_ended_endpoints({{former, 3}}).empty()); // not new
    CHECK_FALSE(with.choose(start));
    CHECK(with.pool().own_ended_endpoints().empty()); // not seen by this host
    with.update(start + 1s);
    CHECK_FALSE(with.choose(start + 1s));

    SUBCASE("a new incarnation with its id starts clean")
    {
        with.entry("a").started_ms = 2;
        with.update(start + 2s);
        static_cast<void>(with.pool().set_ended_endpoints({{former, 3}}));
        CHECK(with.choose(start + 2s));
    }
    SUBCASE("it is sound again once the hosts don't say so any more")
    {
        static_cast<void>(with.pool().set_ended_endpoints({}));
        CHECK(with.choose(start + 1s));
    }
    SUBCASE("this host sees it too")
    {
        with.pool().on_ended({"a", 1}, start + 1s);
        REQUIRE(with.pool().own_ended_endpoints().size() == 1);
        CHECK(with.pool().own_ended_endpoints()[0].incarnation == former);
        CHECK(with.pool().own_ended_endpoints()[0].witnesses == 1);
    }
}

TEST_CASE("restarted endpoint: the same id with a new start time is a new endpoint")
{
    endpoint_pool_fixture with{true, 48};
    with.add("a");
    with.update(start);
    for (int i = 0; i < 4; ++i) {
        static_cast<void>(with.pool().on_sent("a", nullptr, start));
        with.pool().on_end({"a", 1}, 0, endpoint_outcome::unreachable, start);
    }
    CHECK_FALSE(with.choose(start));
    // the former one is in backoff still; the requests that were sent just before count no more
    with.update(start + 1'200ms);
    CHECK_FALSE(with.choose(start + 1'200ms));
    with.entry("a").started_ms = 2;
    with.update(start + 1'200ms);
    CHECK(with.choose(start + 1'200ms));
}

// guards against endpoints that get more requests than they have slots, and against refusals though
// sound endpoints are there: attempts at a former incarnation counted for the one that had started
// under its id
TEST_CASE("regression: the end of an attempt at a former incarnation counts for the new one")
{
    constexpr int slots = 4;
    endpoint_pool_fixture with{false, slots};
    with.add("a");
    with.update(start);
    const int sent_to_former = with.fill(start);
    REQUIRE(sent_to_former >= slots);
    with.entry("a").started_ms = 2;
    with.update(start + 1s);
    REQUIRE(with.fill(start + 1s) == sent_to_former);
    const auto end_former = [&](endpoint_outcome outcome) {
        for (int i = 0; i < sent_to_former; ++i) {
            with.pool().on_end({"a", 1}, 0, outcome, start + 2s);
        }
    };
    const auto end_new = [&] {
        for (int i = 0; i < sent_to_former; ++i) {
            with.pool().on_end({"a", 2}, 0, endpoint_outcome::answered, start + 2s);
        }
    };

    SUBCASE("its slots stay occupied")
    {
        end_former(endpoint_outcome::answered);
        CHECK(with.fill(start + 2s) == 0);
    }
    SUBCASE("it is still listed after another incarnation has responded at the former address")
    {
        end_former(endpoint_outcome::gone);
        end_new();
        CHECK(with.choose(start + 2s));
    }
    SUBCASE("it isn't ejected for failures of the former one")
    {
        end_former(endpoint_outcome::malformed);
        end_new();
        CHECK(with.choose(start + 2s));
    }
    SUBCASE("its expected time stays as it was")
    {
        end_new();
        const duration expected = with.choose(start + 2s)->expected;
        with.pool().on_first_byte({"a", 1}, 0, 5s, 50ms);
        CHECK(with.choose(start + 2s)->expected == expected);
    }
}

// guards against FAILBACK: a request may have been run by an incarnation that the host didn't know
// yet when it was sent, and that has ended since
TEST_CASE("a connection of an attempt at a former incarnation that ends is a sign of a restart")
{
    endpoint_pool_fixture with{true, 48};
    with.add("a");
    with.update(start);
    static_cast<void>(with.pool().on_sent("a", nullptr, start));
    with.entry("a").started_ms = 2;
    with.update(start + 1s);
    with.pool().on_end({"a", 1}, 0, endpoint_outcome::cut, start + 5s);
    CHECK(with.fill(start + 5s) <= 3);
    CHECK(with.pool().take_disconnected().size() == 1);
}
