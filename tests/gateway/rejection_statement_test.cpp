#include "gateway/routing/rejection_statement.h"

#include "gateway/pool_fixture.h"
#include "gateway/routing/endpoint_notices.h"

#include <chrono>  // hours, seconds
#include <cstddef> // size_t
#include <string>  // to_string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

TEST_CASE("the newest statement of an endpoint on its rejection limit holds")
{
    endpoint_notices notices;
    const endpoint_incarnation endpoint{"i-1", 1};
    const auto limit = [&] { return notices.last_rejection_statement(endpoint).limit; };

    // one that names no limit isn't kept unless there was a limit
    CHECK_FALSE(notices.on_rejection_statement(endpoint, {{}, start}, start));
    CHECK(notices.size() == 0);
    CHECK(notices.on_rejection_statement(endpoint, {3, start + 2s}, start + 2s));
    CHECK(limit() == 3U);
    CHECK_FALSE(notices.on_rejection_statement(endpoint, {3, start + 3s}, start + 3s));
    CHECK(notices.on_rejection_statement(endpoint, {0, start + 4s}, start + 4s));
    CHECK(limit() == 0U);

    SUBCASE("a response without a limit to an earlier request doesn't end it")
    {
        CHECK_FALSE(notices.on_rejection_statement(endpoint, {{}, start + 3s}, start + 5s));
        CHECK_FALSE(notices.on_rejection_statement(endpoint, {{}, start + 4s}, start + 5s));
        CHECK(limit() == 0U);
    }
    SUBCASE("a response without a limit to a later request ends it")
    {
        CHECK(notices.on_rejection_statement(endpoint, {{}, start + 5s}, start + 6s));
        CHECK_FALSE(limit().has_value());
        // what another host was told before doesn't set it again
        CHECK_FALSE(notices.on_rejection_statement(endpoint, {1, start + 4500ms}, start + 7s));
        CHECK_FALSE(limit().has_value());
    }
    SUBCASE("it is the statement of one incarnation")
    {
        CHECK_FALSE(notices.last_rejection_statement({"i-1", 2}).limit.has_value());
        CHECK(notices.last_rejection_statement({"i-1", 0}).limit == 0U);
    }
    SUBCASE("it is no statement on a rate")
    {
        CHECK_FALSE(notices.last_rate_statement(endpoint).max_rate.has_value());
        CHECK(notices.on_rate_statement(endpoint, {2, start + 3s}, start + 5s));
        CHECK(limit() == 0U);
    }
    SUBCASE("it isn't dropped for others that are over")
    {
        for (std::size_t i = 1; i < endpoint_notices::max_notices; ++i) {
            notices.on_turned_away({"other-" + std::to_string(i), 1}, 1s, start + 5s);
        }
        notices.on_turned_away({"last", 1}, 1s, start + 1h);
        CHECK(limit() == 0U);
    }
}
