#include "gateway/pool_fixture.h"

#include <chrono>   // milliseconds, seconds
#include <cstddef>  // size_t
#include <cstdint>  // uint32_t
#include <optional> // nullopt, optional
#include <string>   // string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t slots = 4;            // of an endpoint of the fixtures
constexpr std::size_t slots_and_queue = 14; // what a host sends to one without a limit

/// Sends as many requests as the pool admits, and returns how many it sent to `endpoint`.
std::size_t fill(pool_fixture& host, const std::string& endpoint, time_point now = start)
{
    random_source random{1};
    std::size_t sent = 0;
    while (const auto chosen = host.pool().choose(host.any(), now, random)) {
        static_cast<void>(host.pool().on_sent(chosen->endpoint, nullptr, now));
        sent += chosen->endpoint == endpoint ? 1 : 0;
    }
    return sent;
}

void end_all(pool_fixture& host, const endpoint_incarnation& endpoint, std::size_t count,
             time_point now = start)
{
    for (std::size_t i = 0; i < count; ++i) {
        host.pool().on_end(endpoint, 0, endpoint_outcome::answered, now);
    }
}

} // namespace

// guards against LIMIT: requests that wait at an endpoint whose room for them shrinks without a word
TEST_CASE("a brittle endpoint gets no more requests at a time than it has slots")
{
    pool_fixture host;
    host.publish("i-1", 1);
    CHECK(fill(host, "i-1") == slots_and_queue);
    end_all(host, {"i-1", 1}, slots_and_queue);
    for (const std::uint32_t limit : {0U, 1U, 3U}) {
        CAPTURE(limit);
        host.pool().on_rejection_statement({"i-1", 1}, {limit, start + limit * 1s}, start);
        CHECK(fill(host, "i-1") == slots);
        end_all(host, {"i-1", 1}, slots);
    }
    // it names none any more
    host.pool().on_rejection_statement({"i-1", 1}, {std::nullopt, start + 9s}, start + 9s);
    CHECK(fill(host, "i-1") == slots_and_queue);
}

// guards against callers who are refused though an endpoint survives more rejections than they cause
TEST_CASE("an endpoint that survives many rejections gets as many requests as before")
{
    pool_fixture host;
    host.publish("i-1", 1);
    host.pool().on_rejection_statement({"i-1", 1}, {500, start}, start);
    CHECK(fill(host, "i-1") == slots_and_queue);
}

// guards against LIMIT by rejections that are few at a time and many in a second
TEST_CASE("an endpoint rejects no more requests in a second than it survives")
{
    constexpr std::uint32_t limit = 6;
    pool_fixture host;
    host.publish("i-1", 1);
    host.pool().on_rejection_statement({"i-1", 1}, {limit, start}, start);
    std::size_t rejected = 0;
    for (time_point now = start; now < start + 900ms; now += 20ms) {
        for (std::size_t sent = fill(host, "i-1", now); sent > 0; --sent) {
            ++rejected;
            host.pool().on_end({"i-1", 1}, 0, endpoint_outcome::shed, now);
        }
    }
    CHECK(rejected > 0);
    CHECK(rejected <= limit);
    CHECK(fill(host, "i-1", start + 2s) > 0);
}

// guards against LIMIT by a host that asks a full endpoint again and again
TEST_CASE("a brittle endpoint that has rejected a request gets few requests after a while")
{
    pool_fixture host;
    host.publish("i-1", 1);
    host.pool().on_rejection_statement({"i-1", 1}, {2, start}, start);
    CHECK(fill(host, "i-1") == slots);
    host.pool().on_end({"i-1", 1}, 0, endpoint_outcome::shed, start);
    end_all(host, {"i-1", 1}, slots - 1);
    CHECK(fill(host, "i-1", start + 900ms) == 0);
    CHECK(fill(host, "i-1", start + 1s) < slots);
    CHECK(fill(host, "i-1", start + 1s) == 0);
}

// guards against LIMIT at an endpoint whose slots aren't all usable, as an engine's without memory
TEST_CASE("a brittle endpoint at which requests wait gets no more for a moment")
{
    pool_fixture host;
    host.publish("i-1", 1);
    host.pool().on_rejection_statement({"i-1", 1}, {2, start}, start);
    host.pool().on_load_statement({"i-1", 1}, {.running = 1, .waiting = 1, .slots = slots}, start,
                                  start);
    CHECK(fill(host, "i-1", start + 100ms) == 0);
    SUBCASE("until it states that none wait")
    {
        host.pool().on_load_statement({"i-1", 1}, {.running = 1, .waiting = 0, .slots = slots},
                                      start + 100ms, start + 100ms);
        CHECK(fill(host, "i-1", start + 100ms) == slots);
    }
    SUBCASE("or until the statement is old")
    {
        CHECK(fill(host, "i-1", start + 300ms) == slots);
    }
}

// guards against LIMIT after a fall: the endpoint is back and hasn't said anything yet
TEST_CASE("an incarnation that hasn't responded is taken for as brittle as its service")
{
    pool_fixture host;
    host.publish("i-1", 1);
    host.publish("i-2", 1);
    host.pool().on_rejection_statement({"i-1", 1}, {2, start}, start);
    CHECK(fill(host, "i-2") == slots);
    host.publish("i-1", 2);
    CHECK(fill(host, "i-1") == slots);
    // what it says itself holds
    host.pool().on_rejection_statement({"i-2", 1}, {std::nullopt, start + 1s}, start + 1s);
    CHECK(fill(host, "i-2") == slots_and_queue - slots);
}

// guards against a statement that only one host hears
TEST_CASE("hosts learn of rejection limits from each other")
{
    pool_fixture told;
    pool_fixture other;
    told.publish("i-1", 1);
    other.publish("i-1", 1);
    told.pool().on_rejection_statement({"i-1", 1}, {2, start}, start);
    const auto reports = told.pool().rejection_reports(start + 50ms);
    REQUIRE(reports.size() == 1);
    CHECK(other.pool().on_peer_rejections(reports.front(), start, start + 60ms));
    CHECK_FALSE(other.pool().on_peer_rejections(reports.front(), start, start + 60ms));
    CHECK(fill(other, "i-1", start + 60ms) == slots);
    // an older word that it names none doesn't lift it
    CHECK_FALSE(other.pool().on_peer_rejections({reports.front().incarnation, std::nullopt, 1s},
                                                start, start + 100ms));
    CHECK(other.pool().is_brittle({"i-1", 1}));
    CHECK(other.pool().on_peer_rejections({reports.front().incarnation, std::nullopt, 0s},
                                          start + 1s, start + 2s));
    CHECK_FALSE(other.pool().is_brittle({"i-1", 1}));
}
