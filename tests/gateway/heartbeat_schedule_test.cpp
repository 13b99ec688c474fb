#include "gateway/membership/heartbeat_schedule.h"

#include <algorithm> // count
#include <chrono>    // milliseconds
#include <map>       // map
#include <string>    // string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

member_table make_members(int own_region_hosts, int other_region_hosts)
{
    member_table members{"10.0.0.1", {}, {}};
    const auto add = [&members](const std::string& ip, const std::string& region) {
        heartbeat received;
        received.ip = ip;
        received.region = region;
        received.incarnation = 7;
        received.sequence = 1;
        members.on_heartbeat(received, start);
    };
    for (int i = 0; i < own_region_hosts; ++i) {
        add("10.1.0." + std::to_string(i + 1), "attica");
    }
    for (int i = 0; i < other_region_hosts; ++i) {
        add("10.2.0." + std::to_string(i + 1), i % 2 == 0 ? "crete" : "epirus");
    }
    return members;
}

} // namespace

TEST_CASE("a small fleet: each host is sent every heartbeat")
{
    const member_table members = make_members(2, 5);
    heartbeat_schedule schedule{"attica",
                                {.heartbeat_interval = 200ms, .max_other_region_hosts = 8}};
    const auto to = schedule.choose(members, false);
    CHECK(to.own_region.size() == 2);
    CHECK(to.other_regions.size() == 5);
    CHECK(to.interval == 200ms);
}

TEST_CASE("a large fleet over several regions: traffic between regions does not grow with it")
{
    const member_table members = make_members(25, 51);
    heartbeat_schedule schedule{"attica",
                                {.heartbeat_interval = 200ms, .max_other_region_hosts = 8}};
    std::map<std::string, int> sent;
    constexpr int rounds = 7; // for 51 hosts, 8 at a time
    for (int round = 0; round < rounds; ++round) {
        const auto to = schedule.choose(members, false);
        CHECK(to.own_region.size() == 25);
        CHECK(to.other_regions.size() <= 8);
        CHECK(to.interval == 200ms * rounds);
        for (const std::string& ip : to.other_regions) {
            ++sent[ip];
        }
    }
    CHECK(sent.size() == 51);
}

TEST_CASE("a large fleet: a host that has just started or is stopping notifies all hosts at once")
{
    const member_table members = make_members(25, 51);
    heartbeat_schedule schedule{"attica",
                                {.heartbeat_interval = 200ms, .max_other_region_hosts = 8}};
    const auto to = schedule.choose(members, true);
    CHECK(to.other_regions.size() == 51);
    CHECK(to.interval == 1'400ms);
}

TEST_CASE("seeds without a heartbeat are sent every heartbeat")
{
    const member_table members{"10.0.0.1", {"10.2.0.1", "10.3.0.1"}, {}};
    heartbeat_schedule schedule{"attica", {}};
    CHECK(schedule.choose(members, false).own_region.size() == 2);
}

TEST_CASE("a large fleet: a host that has become live is sent the next heartbeat, once")
{
    const member_table members = make_members(25, 51);
    heartbeat_schedule schedule{"attica",
                                {.heartbeat_interval = 200ms, .max_other_region_hosts = 8}};
    const std::string last = "10.2.0.51";
    schedule.add_new_host(last);
    schedule.add_new_host("10.1.0.1"); // in the own region
    const auto to = schedule.choose(members, false);
    CHECK(std::count(to.other_regions.begin(), to.other_regions.end(), last) == 1);
    CHECK(to.own_region.size() == 25);
    CHECK(to.other_regions.size() == 9);
    CHECK(schedule.choose(members, false).other_regions.size() == 8);
}
