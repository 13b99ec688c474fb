#include "gateway/routing/rate_statement.h"

#include "gateway/pool_fixture.h"
#include "gateway/routing/endpoint_notices.h"

#include <chrono>  // hours, milliseconds, seconds
#include <cstddef> // size_t
#include <cstdint> // uint32_t
#include <string>  // to_string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

TEST_CASE("the newest statement of an endpoint on its rate holds")
{
    endpoint_notices notices;
    const endpoint_incarnation endpoint{"i-1", 1};
    const auto rate = [&] { return notices.last_rate_statement(endpoint).max_rate; };

    // one that names no rate isn't kept unless there was a rate
    CHECK_FALSE(notices.on_rate_statement(endpoint, {{}, start}, start));
    CHECK(notices.size() == 0);
    CHECK(notices.on_rate_statement(endpoint, {2.5, start + 2s}, start + 2s));
    CHECK(rate() == 2.5);
    CHECK_FALSE(notices.on_rate_statement(endpoint, {2.5, start + 3s}, start + 3s));
    CHECK(notices.on_rate_statement(endpoint, {1, start + 4s}, start + 4s));

    SUBCASE("a response without a rate to an earlier request doesn't end it")
    {
        CHECK_FALSE(notices.on_rate_statement(endpoint, {{}, start + 3s}, start + 5s));
        CHECK_FALSE(notices.on_rate_statement(endpoint, {{}, start + 4s}, start + 5s));
        CHECK(rate() == 1);
    }
    SUBCASE("a response without a rate to a later request ends it")
    {
        CHECK(notices.on_rate_statement(endpoint, {{}, start + 5s}, start + 6s));
        CHECK_FALSE(rate().has_value());
        // what another host was told before doesn't set it again
        CHECK_FALSE(notices.on_rate_statement(endpoint, {1, start + 4500ms}, start + 7s));
        CHECK_FALSE(rate().has_value());
    }
    SUBCASE("it is the statement of one incarnation")
    {
        CHECK_FALSE(notices.last_rate_statement({"i-1", 2}).max_rate.has_value());
        CHECK(notices.last_rate_statement({"i-1", 0}).max_rate == 1);
    }
    SUBCASE("it isn't dropped for others that are over")
    {
        for (std::size_t i = 1; i < endpoint_notices::max_notices; ++i) {
            notices.on_turned_away({"other-" + std::to_string(i), 1}, 1s, start + 5s);
        }
        notices.on_turned_away({"last", 1}, 1s, start + 1h);
        CHECK(rate() == 1);
    }
}

// guards against LIMIT: hosts to which an endpoint hasn't said its rate send as if it had none
TEST_CASE("what an endpoint has said of its rate reaches other hosts")
{
    pool_fixture told;
    pool_fixture other;
    told.publish("i-1", 1);
    other.publish("i-1", 1);
    const time_point named_at = start + 2s;
    const auto tell = [&](time_point now) {
        bool is_changed = false;
        for (const rate_report& report : told.pool().rate_reports(now)) {
            is_changed |= other.pool().on_peer_rate(report, now, now);
        }
        return is_changed;
    };
    CHECK(told.pool().rate_reports(start).empty());
    CHECK(told.pool().on_rate_statement({"i-1", 1}, {0.5, named_at}, named_at));
    CHECK(tell(named_at + 200ms));
    CHECK_FALSE(tell(named_at + 400ms));
    CHECK_FALSE(other.can_place(named_at + 500ms));
    CHECK(other.can_place(named_at + 2'300ms));

    SUBCASE("another incarnation has named none")
    {
        other.publish("i-1", 2);
        CHECK(other.can_place(named_at + 500ms));
        CHECK_FALSE(tell(named_at + 600ms));
    }
    SUBCASE("its end too")
    {
        CHECK(told.pool().on_rate_statement({"i-1", 1}, {{}, named_at + 1s}, named_at + 1s));
        CHECK(tell(named_at + 1'200ms));
        CHECK(other.can_place(named_at + 1'200ms));
    }
    SUBCASE("an entry that lapses keeps it")
    {
        other.published_at = named_at + 300ms;
        other.withdraw("i-1");
        other.publish("i-1", 1); // the share begins empty
        CHECK_FALSE(other.can_place(named_at + 500ms));
        CHECK_FALSE(other.can_place(named_at + 2'200ms));
        CHECK(other.can_place(named_at + 2'300ms));
    }
}

// guards against a statement that becomes newer on its way from host to host, and so lifts a rate
TEST_CASE("a report of another host is as old as it says")
{
    pool_fixture host;
    host.publish("i-1", 1);
    const time_point named_at = start + 2s;
    CHECK(host.pool().on_rate_statement({"i-1", 1}, {0.5, named_at}, named_at));
    const std::uint32_t hash = short_hash(endpoint_incarnation{"i-1", 1});
    CHECK_FALSE(host.pool().on_peer_rate({hash, {}, 600ms}, named_at + 500ms, named_at + 500ms));
    CHECK_FALSE(host.pool().on_peer_rate({hash, 20.0, 600ms}, named_at + 500ms, named_at + 500ms));
    CHECK_FALSE(host.can_place(named_at + 500ms));
    CHECK(host.pool().on_peer_rate({hash, {}, 400ms}, named_at + 500ms, named_at + 500ms));
    CHECK(host.can_place(named_at + 500ms));
}

// guards against LIMIT: a host that had lost its share of a rate sent what it had held back
TEST_CASE("a host without a share of an endpoint's rate sends it nothing")
{
    pool_fixture host;
    host.publish("i-1", 1);
    const time_point named_at = start + 2s;
    CHECK(host.pool().on_rate_statement({"i-1", 1}, {0.5, named_at}, named_at));
    CHECK(host.can_place(named_at + 2s));

    host.set_share(0);
    CHECK_FALSE(host.can_place(named_at + 2s));
    constexpr std::size_t waiting_ahead = 3;
    CHECK_FALSE(host.pool().has_candidate(host.any(), named_at + 2s, named_at + 1h, waiting_ahead));
    CHECK_FALSE(host.pool().time_turned_away(host.any(), named_at + 2s).has_value());

    // a share that is held again begins empty
    host.set_share(1);
    CHECK_FALSE(host.can_place(named_at + 2s));
    CHECK(host.can_place(named_at + 4s));
}

// guards against LIMIT: a host that was frozen read an old report that an endpoint names no rate,
// took it for newer than a naming meanwhile, and told the others
TEST_CASE("regression: a report that waited in a frozen host ends a rate that was named meanwhile")
{
    pool_fixture frozen;
    pool_fixture other;
    frozen.publish("i-1", 1);
    other.publish("i-1", 1);
    CHECK(frozen.pool().on_rate_statement({"i-1", 1}, {3.6, start + 1s}, start + 1s));
    const time_point frozen_at = start + 3s;
    const time_point named_at = start + 5s;
    const time_point woken_at = start + 7s;
    CHECK(other.pool().on_rate_statement({"i-1", 1}, {0.5, named_at}, named_at));

    const rate_report sent_while_frozen{short_hash(endpoint_incarnation{"i-1", 1}), {}, 100ms};
    CHECK(frozen.pool().on_peer_rate(sent_while_frozen, frozen_at, woken_at));
    for (const rate_report& report : frozen.pool().rate_reports(woken_at)) {
        CHECK_FALSE(other.pool().on_peer_rate(report, woken_at, woken_at));
    }
    for (const rate_report& report : other.pool().rate_reports(woken_at)) {
        CHECK(frozen.pool().on_peer_rate(report, woken_at, woken_at));
    }
}

// guards against LIMIT: requests that were held back over a quiet time arrive together
TEST_CASE("a share of a rate admits one request at a time, however long none was sent")
{
    pool_fixture host;
    host.publish("i-1", 1);
    const time_point named_at = start + 2s;
    CHECK(host.pool().on_rate_statement({"i-1", 1}, {2, named_at}, named_at));
    const time_point later = named_at + 1h;
    CHECK(host.can_place(later));
    static_cast<void>(host.pool().on_sent("i-1", nullptr, later));
    CHECK_FALSE(host.can_place(later));
    CHECK_FALSE(host.can_place(later + 490ms));
    CHECK(host.can_place(later + 500ms));
}

// guards against LIMIT by health probes
TEST_CASE("a health probe draws on the share of a rate")
{
    pool_fixture host;
    host.publish("i-1", 1);
    CHECK(host.pool().try_take_share("i-1", start + 1s)); // it names no rate
    const time_point named_at = start + 2s;
    CHECK(host.pool().on_rate_statement({"i-1", 1}, {2, named_at}, named_at));
    CHECK_FALSE(host.pool().try_take_share("i-1", named_at));
    CHECK(host.pool().try_take_share("i-1", named_at + 500ms));
    CHECK_FALSE(host.can_place(named_at + 500ms));
    CHECK(host.can_place(named_at + 1s));
}
