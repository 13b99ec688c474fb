#include "gateway/routing/endpoint_notices.h"

#include "gateway/pool_fixture.h"

#include <chrono>  // milliseconds, seconds
#include <cstdint> // int64_t, uint32_t
#include <map>     // map
#include <string>  // string, to_string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

// guards against an entry that is still, or again, published as ready
TEST_CASE("leaving endpoint: a later heartbeat brings it back")
{
    pool_fixture host;
    host.publish("a", 1);
    CHECK(host.pool().on_leaving({"a", 1}, start));
    CHECK_FALSE(host.pool().on_leaving({"a", 1}, start));
    CHECK_FALSE(host.can_place());
    host.publish("a", 1);
    CHECK_FALSE(host.can_place());
    CHECK_FALSE(host.pool().has_candidate(host.any(), start));
    CHECK(host.pool().free_capacity(host.requested_service(), start).free_places == 0);
}

// guards against forgetting an endpoint together with its entry
TEST_CASE("leaving endpoint: it gets requests once its lapsed entry is back")
{
    pool_fixture host;
    host.publish("a", 1);
    host.pool().on_leaving({"a", 1}, start);
    host.withdraw("a");
    host.publish("a", 1);
    CHECK_FALSE(host.can_place());
}

// guards against losing a response that arrives while the entry is gone
TEST_CASE("leaving endpoint: it isn't heard while its entry has lapsed")
{
    pool_fixture host;
    host.publish("a", 1);
    host.withdraw("a");
    host.pool().on_leaving({"a", 1}, start);
    host.publish("a", 1);
    CHECK_FALSE(host.can_place());
}

// guards against leaving out an endpoint for what its former incarnation said
TEST_CASE("restarted endpoint: it stays without requests")
{
    pool_fixture host;
    host.publish("a", 1);
    host.pool().on_leaving({"a", 1}, start);
    host.publish("a", 2);
    CHECK(host.can_place());
    // a late response of the former incarnation
    host.pool().on_leaving({"a", 1}, start);
    CHECK(host.can_place());
    // an old copy of the entry
    host.publish("a", 1);
    CHECK_FALSE(host.can_place());
}

// guards against telling two incarnations apart by a start time that isn't known
TEST_CASE("leaving endpoint: an entry without a start time brings it back")
{
    pool_fixture host;
    host.publish("a", 1);
    host.pool().on_leaving({"a", 1}, start);
    host.publish("a", 0);
    CHECK_FALSE(host.can_place());
}

// guards against notices that are kept by address
TEST_CASE("reused address: the new endpoint gets no requests")
{
    pool_fixture host;
    host.publish("a", 1);
    host.pool().on_leaving({"a", 1}, start);
    host.withdraw("a");
    host.publish("b", 1);
    CHECK(host.can_place());
}

// guards against relying on the store: a host that is cut off from it gets no publication
TEST_CASE("host cut off from the store: it goes on sending to a leaving endpoint")
{
    pool_fixture host;
    host.publish("a", 1);
    host.publish("b", 1, "10.0.0.9:81");
    host.pool().on_leaving({"a", 1}, start);
    for (int i = 0; i < 3; ++i) {
        random_source random{static_cast<random_source::result_type>(i)};
        const auto chosen = host.pool().choose(host.any(), start + 60s, random);
        REQUIRE(chosen.has_value());
        CHECK(chosen->endpoint == "b");
        static_cast<void>(host.pool().on_sent("b", nullptr, start));
    }
}

// guards against health probes, which count as requests
TEST_CASE("leaving endpoint: it is probed when its evacuation ends")
{
    pool_fixture host;
    host.publish("a", 1);
    host.is_evacuated = true;
    host.update();
    host.pool().on_leaving({"a", 1}, start);
    host.is_evacuated = false;
    host.update();
    CHECK(host.pool().take_reinstated().empty());
}

// guards against health probes, which count as requests
TEST_CASE("endpoint that turns away: it is probed when its evacuation ends")
{
    pool_fixture host;
    host.publish("a", 1);
    host.is_evacuated = true;
    host.update();
    host.pool().on_turned_away({"a", 1}, 5s, start);
    host.is_evacuated = false;
    host.update();
    CHECK(host.pool().take_reinstated().empty());
}

// guards against unbounded memory, and against dropping the newest notices
TEST_CASE("many leaving endpoints: all notices are kept for ever")
{
    endpoint_notices notices;
    for (std::size_t i = 0; i <= endpoint_notices::max_notices; ++i) {
        notices.on_leaving({std::to_string(i), 1}, start + std::chrono::milliseconds{i});
    }
    CHECK(notices.size() == endpoint_notices::max_notices);
    CHECK_FALSE(notices.is_leaving({"0", 1}));
    CHECK(notices.is_leaving({"1", 1}));
    CHECK(notices.is_leaving({std::to_string(endpoint_notices::max_notices), 1}));
}

// guards against requests to an endpoint in the time for which it wants none
TEST_CASE("endpoint that turns away: it gets requests before its time is over")
{
    pool_fixture host;
    host.publish("a", 1);
    host.pool().on_turned_away({"a", 1}, 2s, start);
    CHECK_FALSE(host.can_place(start));
    CHECK_FALSE(host.can_place(start + 1'999ms));
    CHECK(host.pool().free_capacity(host.requested_service(), start).free_places == 0);
    CHECK(host.can_place(start + 2s));
    CHECK(host.pool().free_capacity(host.requested_service(), start + 2s).free_places > 0);
}

// guards against a shorter time, or a publication, that ends a longer one
TEST_CASE("endpoint that turns away: a later response or heartbeat shortens its time")
{
    pool_fixture host;
    host.publish("a", 1);
    host.pool().on_turned_away({"a", 1}, 5s, start);
    host.pool().on_turned_away({"a", 1}, 1s, start);
    host.publish("a", 1);
    CHECK_FALSE(host.can_place(start + 4s));
    host.withdraw("a");
    host.publish("a", 1);
    CHECK_FALSE(host.can_place(start + 4s));
    CHECK(host.can_place(start + 5s));
}

// guards against leaving out an endpoint for what a former incarnation or a former address said
TEST_CASE("endpoint that turns away: its next incarnation gets no requests")
{
    pool_fixture host;
    host.publish("a", 1);
    host.pool().on_turned_away({"a", 1}, 20s, start);
    host.publish("a", 2);
    CHECK(host.can_place());
    host.withdraw("a");
    host.publish("b", 1);
    CHECK(host.can_place());
}

// guards against BUDGET: an endpoint that wanted no request for 45 s got requests after 30 s
TEST_CASE("regression: an endpoint that turns away for long is left alone for all of that time")
{
    pool_fixture host;
    host.publish("a", 1);
    host.pool().on_turned_away({"a", 1}, 45s, start);
    CHECK_FALSE(host.can_place(start + 45s - 1ms));
    CHECK(host.can_place(start + 45s));
}

// guards against obeying a value without limit
TEST_CASE("endpoint that turns away: an absurd time is obeyed")
{
    pool_fixture host;
    host.publish("a", 1);
    host.pool().on_turned_away({"a", 1}, 24h * 365, start);
    CHECK_FALSE(host.can_place(start + endpoint_notices::max_turn_away - 1ms));
    CHECK(host.can_place(start + endpoint_notices::max_turn_away));
}

// guards against requests that wait for an endpoint which comes back too late for them
TEST_CASE("endpoint that turns away: requests wait for it beyond their time")
{
    pool_fixture host;
    host.publish("a", 1);
    CHECK_FALSE(host.pool().time_turned_away(host.any(), start).has_value());
    host.pool().on_turned_away({"a", 1}, 2s, start);
    CHECK_FALSE(host.pool().has_candidate(host.any(), start, start + 2s));
    CHECK(host.pool().has_candidate(host.any(), start, start + 2'001ms));
    CHECK(host.pool().time_turned_away(host.any(), start + 500ms) == 1'500ms);
    // one that takes requests is worth coming back for at once
    host.publish("b", 1, "10.0.0.9:81");
    CHECK_FALSE(host.pool().time_turned_away(host.any(), start).has_value());
    host.pool().on_turned_away({"b", 1}, 1s, start);
    CHECK(host.pool().time_turned_away(host.any(), start) == 1s);
}

// guards against dropping a leaving endpoint's notice for those of times that are over
TEST_CASE("many endpoints that turn away: a leaving one is forgotten")
{
    endpoint_notices notices;
    notices.on_leaving({"leaving", 1}, start);
    for (std::size_t i = 0; i < 2 * endpoint_notices::max_notices; ++i) {
        notices.on_turned_away({std::to_string(i), 1}, 1s, start + std::chrono::milliseconds{i});
    }
    CHECK(notices.size() <= endpoint_notices::max_notices);
    CHECK(notices.is_leaving({"leaving", 1}));
}
