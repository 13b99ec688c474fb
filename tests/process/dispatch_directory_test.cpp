#include "process/dispatch_directory.h"

#include <algorithm> // any_of, copy_if, count, find
#include <iterator>  // back_inserter
#include <optional>  // nullopt
#include <string>    // string
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace std::chrono_literals;

namespace {

constexpr auto poll = 200ms;

host make_host(const std::string& failure_domain, int number)
{
    host made;
    made.name = failure_domain + '-' + std::to_string(number);
    made.failure_domain = failure_domain;
    made.dispatch_address = made.name + ":7200";
    return made;
}

/// Five hosts in each of two failure domains; this one is the first of "here".
host_list make_list()
{
    host_list listed;
    for (const char* failure_domain : {"here", "there"}) {
        for (int i = 0; i < 5; ++i) {
            listed.hosts.push_back(make_host(failure_domain, i));
        }
    }
    return listed;
}

dispatch_directory make_directory()
{
    return {"here-0", "here", "here-0:7200"};
}

bool is_there(const std::string& address)
{
    return address.starts_with("there");
}

std::vector<std::string> elsewhere(const std::vector<std::string>& due)
{
    std::vector<std::string> found;
    std::copy_if(due.begin(), due.end(), std::back_inserter(found), is_there);
    return found;
}

link::pong make_pong(bool is_leaving = false)
{
    link::pong pong;
    pong.set_leaving(is_leaving);
    link::target_load& load = *pong.add_loads();
    load.set_target("assistant");
    load.set_live_endpoints(1);
    return pong;
}

/// Polls for `length`; every process answers at once but those of `silent`.
std::vector<std::string> run(dispatch_directory& asked, time_point& now, duration length,
                             const std::vector<std::string>& silent = {})
{
    std::vector<std::string> all;
    for (const time_point end = now + length; now < end; now += poll) {
        for (const std::string& address : asked.take_due(now)) {
            all.push_back(address);
            if (std::find(silent.begin(), silent.end(), address) == silent.end()) {
                asked.on_pong(address, 1, make_pong(), std::nullopt, now);
            }
        }
    }
    return all;
}

/// Dispatch processes that new requests may go to.
std::vector<dispatch_address> candidates(dispatch_directory& asked, time_point now,
                                         route_scope scope = route_scope::trusted)
{
    asked.refresh(now);
    std::vector<dispatch_address> all;
    if (const auto route = asked.route_to("assistant", scope)) {
        for (const auto& members : route->members) {
            all.insert(all.end(), members.begin(), members.end());
        }
    }
    return all;
}

bool is_candidate(dispatch_directory& asked, time_point now, const std::string& address,
                  route_scope scope)
{
    const auto all = candidates(asked, now, scope);
    return std::any_of(all.begin(), all.end(),
                       [&](const dispatch_address& peer) { return peer.address == address; });
}

} // namespace

TEST_CASE("heartbeats to dispatch processes")
{
    dispatch_directory directory = make_directory();
    directory.apply(make_list(), time_point{} + 1h);
    time_point now = time_point{} + 1h;
    const std::vector<std::string> first = directory.take_due(now);
    const std::vector<std::string> chosen = elsewhere(first);

    SUBCASE("all of the own failure domain and two of each other are asked at once")
    {
        CHECK(first.size() == 5 + dispatch_directory::asked_elsewhere);
        CHECK(chosen.size() == dispatch_directory::asked_elsewhere);
    }

    SUBCASE("near ones are asked at each poll, the others once a second")
    {
        for (const std::string& address : chosen) {
            directory.on_pong(address, 1, make_pong(), std::nullopt, now);
        }
        now += poll;
        const std::vector<std::string> asked = run(directory, now, 10s);
        CHECK(std::count(asked.begin(), asked.end(), "here-1:7200") == 50);
        CHECK(std::count(asked.begin(), asked.end(), chosen[0]) == 10);
        CHECK(elsewhere(asked).size() == 20);
        CHECK(candidates(directory, now).size() == 7);
    }

    SUBCASE("a silent one is dead after the limit, and another is asked in its place")
    {
        run(directory, now, 2s);
        REQUIRE(directory.is_alive(chosen[0], now));
        run(directory, now, dispatch_directory::far_interval + dispatch_directory::silence_limit,
            {chosen[0]});
        run(directory, now, 2 * poll, {chosen[0]});
        CHECK_FALSE(directory.is_alive(chosen[0], now));
        CHECK(directory.is_alive(chosen[1], now));
        CHECK(candidates(directory, now).size() == 7);
        // it is asked on, and comes back
        run(directory, now, 2s);
        CHECK(directory.is_alive(chosen[0], now));
    }

    SUBCASE("a near one is dead after the limit")
    {
        run(directory, now, 1s);
        run(directory, now, dispatch_directory::silence_limit, {"here-1:7200"});
        CHECK(directory.is_alive("here-1:7200", now - poll));
        CHECK_FALSE(directory.is_alive("here-1:7200", now));
    }

    SUBCASE("one that missed two reports is a last resort until its next report")
    {
        run(directory, now, 1s);
        run(directory, now, dispatch_directory::suspect_limit, {"here-1:7200"});
        CHECK(is_candidate(directory, now - poll, "here-1:7200", route_scope::trusted));
        CHECK_FALSE(is_candidate(directory, now, "here-1:7200", route_scope::trusted));
        CHECK(is_candidate(directory, now, "here-1:7200", route_scope::all));
        CHECK(directory.is_alive("here-1:7200", now));
        directory.on_pong("here-1:7200", 1, make_pong(), std::nullopt, now);
        CHECK(is_candidate(directory, now, "here-1:7200", route_scope::trusted));
    }

    SUBCASE("one that failed a request is a last resort at once, until its next report")
    {
        run(directory, now, 1s);
        directory.suspect("here-1:7200", now);
        CHECK_FALSE(is_candidate(directory, now, "here-1:7200", route_scope::trusted));
        CHECK(is_candidate(directory, now, "here-1:7200", route_scope::all));
        CHECK(directory.is_alive("here-1:7200", now));
        run(directory, now, poll);
        CHECK(is_candidate(directory, now, "here-1:7200", route_scope::trusted));
        directory.suspect("unlisted:7200", now);
    }

    SUBCASE("a long way is no reason to suspect one")
    {
        directory.on_pong("here-1:7200", 1, make_pong(), 1200ms, now);
        run(directory, now, 1s, {"here-1:7200"});
        CHECK(is_candidate(directory, now, "here-1:7200", route_scope::trusted));
    }

    SUBCASE("one that leaves takes no requests, and another is asked in its place")
    {
        directory.on_pong(chosen[0], 1, make_pong(true), std::nullopt, now);
        now += poll;
        CHECK(elsewhere(directory.take_due(now)).size() == 1);
    }

    SUBCASE("one that is asked no more stays alive, but takes no new requests")
    {
        run(directory, now, 2s);
        // among so many others, likely neither is chosen any more
        host_list larger = make_list();
        for (int i = 5; i < 40; ++i) {
            larger.hosts.push_back(make_host("there", i));
        }
        directory.apply(larger, now);
        const std::vector<std::string> asked = elsewhere(run(directory, now, 4s));
        for (const std::string& address : chosen) {
            const bool is_asked = std::find(asked.begin(), asked.end(), address) != asked.end();
            CHECK(directory.is_alive(address, now));
            const auto usable = candidates(directory, now);
            CHECK(std::any_of(usable.begin(), usable.end(), [&](const auto& peer) {
                      return peer.address == address;
                  }) == is_asked);
        }
    }

    SUBCASE("one that was never heard is not alive")
    {
        CHECK_FALSE(directory.is_alive(chosen[0], now));
        CHECK(candidates(directory, now).empty());
        CHECK_FALSE(directory.is_any_ready(now));
    }
}
