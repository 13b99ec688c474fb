#include "process/routing/domain_choice.h"
#include "support/seeded_property.h"

#include <algorithm> // count_if, find
#include <chrono>    // milliseconds
#include <string>    // string, to_string
#include <variant>   // get_if
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> all_regions{"attica", "crete", "epirus"};

/// Two failure domains of the own region (attica) and one each of two other regions, by index.
std::vector<domain_view> make_views()
{
    return {{{"crete-1", "crete"}, 6, 0ms, 0ms},
            {{"attica-2", "attica"}, 6, 0ms, 0ms},
            {{"attica-1", "attica"}, 6, 0ms, 0ms},
            {{"epirus-1", "epirus"}, 6, 0ms, 0ms}};
}

constexpr std::size_t crete = 0;
constexpr std::size_t neighbour = 1;
constexpr std::size_t own = 2;
constexpr std::size_t epirus = 3;

} // namespace

TEST_CASE("failure domain of a request")
{
    domain_chooser chooser{{"attica-1", "attica"}};
    auto views = make_views();
    domain_request request{.allowed_regions = all_regions};

    SUBCASE("the own failure domain is chosen first")
    {
        CHECK(chooser.choose(request, views) == domain_choice{own});
    }
    SUBCASE("another failure domain of the own region is chosen next")
    {
        views[own].live_endpoints = 0;
        CHECK(chooser.choose(request, views) == domain_choice{neighbour});
    }
    SUBCASE("without a live endpoint in the own region, the one with the shorter wait is chosen")
    {
        views[own].live_endpoints = 0;
        views[neighbour].live_endpoints = 0;
        views[crete].expected_wait = 50ms;
        CHECK(chooser.choose(request, views) == domain_choice{epirus});
    }
    SUBCASE("requests stay in the region unless the wait saved exceeds transfer time and margin")
    {
        views[own].expected_wait = 350ms;
        views[neighbour].expected_wait = 350ms;
        CHECK(chooser.choose(request, views) == domain_choice{own});
        views[own].expected_wait = 370ms;
        views[neighbour].expected_wait = 370ms;
        CHECK(chooser.choose(request, views) == domain_choice{crete});
    }
    SUBCASE("hysteresis: requests return to the own region once nothing is saved any more")
    {
        views[neighbour].live_endpoints = 0;
        views[own].expected_wait = 370ms;
        REQUIRE(chooser.choose(request, views) == domain_choice{crete});
        views[own].expected_wait = 170ms;
        CHECK(chooser.choose(request, views) == domain_choice{crete});
        views[own].expected_wait = 150ms;
        CHECK(chooser.choose(request, views) == domain_choice{own});
        views[own].expected_wait = 170ms;
        CHECK(chooser.choose(request, views) == domain_choice{own});
    }
    SUBCASE("a measured latency above the configured one counts")
    {
        views[neighbour].live_endpoints = 0;
        views[own].expected_wait = 370ms;
        views[crete].measured_latency = 600ms;
        views[epirus].measured_latency = 100ms;
        CHECK(chooser.choose(request, views) == domain_choice{own});
        views[own].expected_wait = 410ms;
        CHECK(chooser.choose(request, views) == domain_choice{epirus});
    }
    SUBCASE("the transfer time of the body counts")
    {
        views[neighbour].live_endpoints = 0;
        views[own].expected_wait = 370ms;
        request.bytes = 25'000'000; // 100 ms
        CHECK(chooser.choose(request, views) == domain_choice{own});
    }
}

TEST_CASE("failure domains that a request may not use")
{
    domain_chooser chooser{{"attica-1", "attica"}};
    auto views = make_views();

    SUBCASE("a region that the profile does not allow is not chosen, however long the wait")
    {
        const std::vector<std::string> allowed{"attica"};
        views[own].expected_wait = 60s;
        views[neighbour].expected_wait = 60s;
        CHECK(chooser.choose({.allowed_regions = allowed}, views) == domain_choice{own});
        views[own].live_endpoints = 0;
        views[neighbour].live_endpoints = 0;
        CHECK(chooser.choose({.allowed_regions = allowed}, views) ==
              domain_choice{no_domain_reason::none_live});
    }
    SUBCASE("no known region is allowed")
    {
        const std::vector<std::string> allowed{"jylland"};
        CHECK(chooser.choose({.allowed_regions = allowed}, views) ==
              domain_choice{no_domain_reason::none_allowed});
    }
    SUBCASE("a visited failure domain is not chosen; after the own one, one forward is allowed")
    {
        const std::vector<std::string> visited{"attica-1"};
        CHECK(chooser.choose({.allowed_regions = all_regions, .visited = visited}, views) ==
              domain_choice{neighbour});
    }
    SUBCASE("after a forward only the own failure domain is chosen")
    {
        std::vector<std::string> visited{"crete-1"};
        CHECK(chooser.choose({.allowed_regions = all_regions, .visited = visited}, views) ==
              domain_choice{own});
        visited.emplace_back("attica-1");
        CHECK(chooser.choose({.allowed_regions = all_regions, .visited = visited}, views) ==
              domain_choice{no_domain_reason::all_visited});
    }
}

TEST_CASE("residency, visited failure domains and one forward are respected in any state")
{
    CHECK(holds_with_seed(31, [] {
        domain_chooser chooser{{"d0", "r0"}};
        const auto count = *rc::gen::inRange<std::size_t>(1, 8);
        std::vector<domain_view> views;
        for (std::size_t i = 0; i < count; ++i) {
            views.push_back({{"d" + std::to_string(i), "r" + std::to_string(i / 2)},
                             *rc::gen::inRange<std::size_t>(0, 3),
                             1ms * *rc::gen::inRange(0, 2000),
                             0ms});
        }
        std::vector<std::string> allowed;
        for (std::size_t i = 0; i <= count / 2; ++i) {
            if (*rc::gen::arbitrary<bool>()) {
                allowed.push_back("r" + std::to_string(i));
            }
        }
        std::vector<std::string> visited;
        for (std::size_t hop = 0; hop <= count; ++hop) {
            const domain_choice choice =
                chooser.choose({.allowed_regions = allowed, .visited = visited}, views);
            const auto* index = std::get_if<std::size_t>(&choice);
            if (index == nullptr) {
                break;
            }
            const domain_view& taken = views[*index];
            RC_ASSERT(taken.live_endpoints > 0);
            RC_ASSERT(std::count(allowed.begin(), allowed.end(), taken.domain.region) == 1);
            RC_ASSERT(std::count(visited.begin(), visited.end(), taken.domain.name) == 0);
            visited.push_back(taken.domain.name);
        }
        const auto forwards = std::count_if(visited.begin(), visited.end(),
                                            [](const std::string& name) { return name != "d0"; });
        RC_ASSERT(forwards <= 1);
    }));
}
