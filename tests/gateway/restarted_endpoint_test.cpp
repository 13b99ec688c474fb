#include "gateway/endpoint_pool_fixture.h"
#include "gateway/routing/endpoint_pool.h"
#include "gateway/routing/rendezvous.h"

#include <chrono>   // milliseconds, seconds
#include <optional> // nullopt

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

// guards against FAILBACK: an endpoint that had started again under its id got a warm one's requests
// from hosts whose connections had ended with its former incarnation
TEST_CASE("regression: an endpoint that has ended a connection gets a warm one's requests")
{
    endpoint_pool_fixture with{true, 48};
    with.add("a");
    with.update(start);
    REQUIRE(with.choose(start));
    static_cast<void>(with.pool().on_sent("a", nullptr, start));
    with.end_attempt("a", endpoint_outcome::cut, start + 100ms);
    CHECK(with.fill(start + 600ms) <= 3);
}

// guards against FAILBACK: an endpoint that had turned a host away and then ended was taken for warm
TEST_CASE("regression: a restart is missed while the endpoint turns the host away")
{
    endpoint_pool_fixture with{true, 48};
    with.add("a");
    with.update(start);
    static_cast<void>(with.pool().on_sent("a", nullptr, start));
    with.pool().on_turned_away({"a", 1}, 1s, start);
    with.end_attempt("a", endpoint_outcome::cut, start + 100ms);
    CHECK(with.pool().take_disconnected().empty()); // it wants no question either
    CHECK(with.fill(start + 1'200ms) <= 3);
    CHECK(with.pool().unconfirmed(start + 1'200ms).size() == 1);
}

// guards against FAILBACK: hosts that had started just after an endpoint sent it a warm one's requests,
// since its entry was still that of its former incarnation
TEST_CASE("regression: a host that has just started takes entries for proofs of warm endpoints")
{
    endpoint_pool_fixture with{true, 48};
    with.add("a");
    with.update(start);
    with.pool().on_host_start(start);
    CHECK_FALSE(with.pool().are_all_warm(start + 100ms));
    CHECK(with.fill(start + 100ms) <= 3);
    CHECK(with.pool().unconfirmed(start + 100ms).size() == 1);
    CHECK(with.pool().past_unknown(start + 100ms).size() == 1);

    SUBCASE("until its cold time is over")
    {
        CHECK(with.fill(start + 3s) > 3);
        CHECK(with.pool().are_all_warm(start + 3s));
    }
    SUBCASE("until the endpoint has said that it is warm")
    {
        with.pool().on_warm("a", start + 1s, start + 1s);
        CHECK(with.pool().has_urgent_news());
        CHECK(with.fill(start + 1'300ms) > 3);
        CHECK(with.pool().are_all_warm(start + 1'300ms));
    }
    SUBCASE("until the entry has been written again")
    {
        ++with.entry("a").sequence;
        with.update(start + 1'300ms);
        CHECK(with.fill(start + 1'300ms) > 3);
        CHECK(with.pool().are_all_warm(start + 1'300ms));
    }
    SUBCASE("until it has said to another host that it is warm")
    {
        with.pool().on_peer_restart({short_hash("a"), std::nullopt, std::nullopt, 10ms},
                                    start + 200ms);
        CHECK(with.pool().past_unknown(start + 200ms).empty());
        CHECK(with.fill(start + 1'300ms) > 3);
    }
    SUBCASE("until another host takes all endpoints for warm")
    {
        with.pool().on_peer_all_warm(start + 200ms);
        CHECK(with.fill(start + 1'300ms) > 3);
        CHECK(with.pool().are_all_warm(start + 1'300ms));
    }
    SUBCASE("longer if a third one has told of a restart")
    {
        with.pool().on_peer_restart({short_hash("a"), 600ms, 600ms, std::nullopt}, start + 200ms);
        with.pool().on_peer_all_warm(start + 200ms);
        CHECK(with.fill(start + 1'300ms) <= 3);
        CHECK_FALSE(with.pool().are_all_warm(start + 1'300ms));
    }
}

TEST_CASE("an endpoint that ends a connection is asked once, and not while it is cold by its word")
{
    endpoint_pool_fixture with{true, 48};
    with.add("a");
    with.update(start);
    with.pool().on_idle_connection_ended(with.entry("a").address, start);
    with.pool().on_idle_connection_ended(with.entry("a").address, start);
    CHECK(with.pool().take_disconnected().size() == 1);
    CHECK(with.pool().take_disconnected().empty());
    with.pool().on_cold("a", 2s, start + 10ms, start + 20ms);
    with.pool().on_idle_connection_ended(with.entry("a").address, start + 30ms);
    CHECK(with.pool().take_disconnected().empty());
}

// guards against FAILBACK: what was known of an endpoint went with its entry after a quiet time
TEST_CASE("regression: a doubt ends when the entry lapses after a quiet time")
{
    endpoint_pool_fixture with{true, 48};
    with.add("a");
    with.update(start);
    with.pool().on_restart_sign("a", restart_sign::refused, start + 20s);
    const endpoint_entry entry = with.entry("a");
    with.remove("a");
    with.update(start + 21s);
    with.add("a") = entry;
    with.update(start + 22s);
    CHECK(with.fill(start + 22s) <= 3);
}

// guards against refusals by hosts with a path: one that had lost its path to all endpoints told its
// region that they had restarted, so that they got the requests of cold ones
TEST_CASE("regression: refused connections of a host without a path pass for restarts")
{
    endpoint_pool_fixture with{true, 48};
    with.add("a");
    with.update(start);
    with.pool().set_path_lost(true);
    with.pool().on_restart_sign("a", restart_sign::refused, start + 20s);
    CHECK_FALSE(with.pool().has_urgent_news());
    const auto told = with.pool().own_restarts(start + 20s);
    REQUIRE(told.size() == 1);
    CHECK_FALSE(told.front().sign_age);
    CHECK(told.front().doubt_age == 0s);
    with.pool().set_path_lost(false);
    with.pool().on_restart_sign("a", restart_sign::refused, start + 21s);
    CHECK(with.pool().own_restarts(start + 21s).front().sign_age == 0s);
}
