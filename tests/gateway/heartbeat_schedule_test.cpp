#include "gateway/membership/heartbeat_schedule.h"

#include <algorithm> // any_of, count_if, find, find_if
#include <chrono>    // milliseconds
#include <cstdint>   // uint64_t
#include <map>       // map
#include <set>       // set
#include <string>    // string, to_string
#include <utility>   // pair
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
const std::string own_ip = "10.1.0.200";

heartbeat make_heartbeat(const std::string& ip, const std::string& region, std::uint64_t sequence)
{
    heartbeat received;
    received.ip = ip;
    received.region = region;
    received.failure_domain = region + "-a";
    received.incarnation = 7;
    received.sequence = sequence;
    received.is_ready = true;
    received.interval = 200ms;
    return received;
}

/// Members of the fleet of the host `own_ip`, which is in attica.
member_table make_members(int own_region_hosts, int other_region_hosts,
                          const std::vector<std::string>& seeds = {})
{
    member_table members{own_ip, seeds, {}};
    for (int i = 1; i <= own_region_hosts; ++i) {
        members.on_heartbeat(make_heartbeat("10.1.0." + std::to_string(i), "attica", 1), start);
    }
    for (int i = 1; i <= other_region_hosts; ++i) {
        for (const auto& [prefix, region] :
             {std::pair{"10.2.0.", "crete"}, std::pair{"10.3.0.", "epirus"}}) {
            members.on_heartbeat(make_heartbeat(prefix + std::to_string(i), region, 1), start);
        }
    }
    return members;
}

heartbeat_schedule make_schedule()
{
    return {{own_ip, "attica-a", "attica"}, {}};
}

bool is_in(const std::vector<heartbeat_recipient>& recipients, const std::string& ip)
{
    return std::any_of(recipients.begin(), recipients.end(),
                       [&ip](const auto& recipient) { return recipient.ip == ip; });
}

bool is_in(const std::vector<std::string>& ips, const std::string& ip)
{
    return std::find(ips.begin(), ips.end(), ip) != ips.end();
}

std::size_t count_of(const std::vector<heartbeat_recipient>& recipients, const std::string& prefix)
{
    return static_cast<std::size_t>(
        std::count_if(recipients.begin(), recipients.end(),
                      [&](const auto& recipient) { return recipient.ip.starts_with(prefix); }));
}

/// Number of hosts of the own region with which `own_ip` isn't an aggregator.
constexpr int large_region = 60;

} // namespace

TEST_CASE("a small fleet: each host is sent every heartbeat")
{
    const member_table members = make_members(1, 2);
    heartbeat_schedule schedule = make_schedule();
    for (std::uint64_t sequence = 100; sequence < 110; ++sequence) {
        const auto to = schedule.choose(members, sequence, false, start);
        CHECK(schedule.is_aggregator());
        CHECK(to.size() == 5);
    }
}

TEST_CASE("a large fleet: the traffic of a host doesn't grow with it")
{
    const member_table members = make_members(large_region, 65);
    heartbeat_schedule schedule = make_schedule();
    for (std::uint64_t sequence = 100; sequence < 110; ++sequence) {
        const auto to = schedule.choose(members, sequence, false, start);
        REQUIRE_FALSE(schedule.is_aggregator());
        CHECK(to.size() == schedule.options().max_aggregators);
        CHECK(count_of(to, "10.1.0.") == to.size());
    }
}

TEST_CASE("a large fleet: an aggregator sends each other region a summary with every heartbeat")
{
    // a region in which this host is one of the two aggregators
    member_table members = make_members(1, 65);
    heartbeat_schedule schedule = make_schedule();
    for (std::uint64_t sequence = 100; sequence < 110; ++sequence) {
        const auto to = schedule.choose(members, sequence, false, start);
        REQUIRE(schedule.is_aggregator());
        CHECK(count_of(to, "10.2.0.") == schedule.options().max_aggregators);
        CHECK(count_of(to, "10.3.0.") == schedule.options().max_aggregators);
    }
}

TEST_CASE("a subscriber is sent a digest with every heartbeat until it falls silent")
{
    const member_table members = make_members(large_region, 0);
    heartbeat_schedule schedule = make_schedule();
    const std::string subscriber = "10.1.0.3";
    schedule.on_heartbeat(subscriber, "attica", digest_subscription::primary, start);
    for (std::uint64_t sequence = 100; sequence < 106; ++sequence) {
        const auto to = schedule.choose(members, sequence, false, start);
        const auto found = std::find_if(to.begin(), to.end(), [&](const auto& recipient) {
            return recipient.ip == subscriber;
        });
        REQUIRE(found != to.end());
        CHECK(found->content == heartbeat_content::digest);
    }
    const time_point later = start + schedule.options().subscription_timeout;
    CHECK(schedule.take_silent_subscribers(later) == std::vector<std::string>{subscriber});
    CHECK(schedule.take_silent_subscribers(later).empty());
}

TEST_CASE("a standby subscriber gets brief digests unless it is an aggregator itself")
{
    const member_table members = make_members(large_region, 0);
    heartbeat_schedule schedule = make_schedule();
    static_cast<void>(schedule.choose(members, 99, false, start));
    const std::string aggregator = schedule.aggregators().front();
    std::string other = "10.1.0.1";
    for (int i = 2; is_in(schedule.aggregators(), other); ++i) {
        other = "10.1.0." + std::to_string(i);
    }
    const std::string primary = "10.1.0." + std::to_string(large_region);
    REQUIRE_FALSE(is_in(schedule.aggregators(), primary));
    schedule.on_heartbeat(aggregator, "attica", digest_subscription::standby, start);
    schedule.on_heartbeat(other, "attica", digest_subscription::standby, start);
    schedule.on_heartbeat(primary, "attica", digest_subscription::primary, start);
    std::map<std::string, heartbeat_content> sent;
    for (const heartbeat_recipient& recipient : schedule.choose(members, 100, false, start)) {
        sent[recipient.ip] = recipient.content;
    }
    CHECK(sent.at(aggregator) == heartbeat_content::standby_digest);
    CHECK(sent.at(other) == heartbeat_content::brief_digest);
    CHECK(sent.at(primary) == heartbeat_content::digest);
}

TEST_CASE("a standby subscriber is sent digests seldom")
{
    const member_table members = make_members(large_region, 0);
    heartbeat_schedule schedule = make_schedule();
    const auto first = schedule.choose(members, 1'001, false, start);
    std::string subscriber;
    for (int i = 1; subscriber.empty() || is_in(first, subscriber); ++i) {
        subscriber = "10.1.0." + std::to_string(i); // no aggregator
    }
    schedule.on_heartbeat(subscriber, "attica", digest_subscription::standby, start);
    std::size_t sent = 0;
    for (std::uint64_t sequence = 1'001; sequence <= 1'010; ++sequence) {
        sent += is_in(schedule.choose(members, sequence, false, start), subscriber) ? 1 : 0;
    }
    CHECK(sent == 10 / schedule.options().standby_interval);
}

TEST_CASE("an aggregator from which no digest arrives is replaced until it is heard again")
{
    member_table members = make_members(large_region, 0);
    heartbeat_schedule schedule = make_schedule();
    const heartbeat_schedule_options options = schedule.options();
    static_cast<void>(schedule.choose(members, 1, false, start));
    const std::vector<std::string> before = schedule.aggregators();
    // other hosts report all as live, but no digest arrives
    time_point now = start;
    const auto report_all = [&](std::uint64_t sequence) {
        for (int i = 1; i <= large_region; ++i) {
            members.on_report({.ip = "10.1.0." + std::to_string(i),
                               .incarnation = 7,
                               .sequence = sequence,
                               .age = 0ms,
                               .is_ready = true},
                              "attica", "attica-a", 2s, now);
        }
    };
    std::uint64_t sequence = 2;
    const auto choose_for = [&](duration span) {
        for (const time_point end = now + span; now < end;) {
            now += options.heartbeat_interval;
            report_all(sequence);
            static_cast<void>(schedule.choose(members, sequence++, false, now));
            CHECK(schedule.aggregators().size() == options.max_aggregators);
        }
    };
    // the standby becomes the primary
    choose_for(options.primary_timeout + options.standby_timeout);
    for (const std::string& ip : before) {
        CHECK_FALSE(is_in(schedule.aggregators(), ip));
    }
    for (const std::string& ip : before) {
        members.on_heartbeat(make_heartbeat(ip, "attica", ++sequence), now);
    }
    choose_for(options.heartbeat_interval);
    CHECK(schedule.aggregators() == before);
}

TEST_CASE("a host that is stopping is no aggregator, and its heartbeats go on")
{
    const member_table members = make_members(1, 2);
    heartbeat_schedule schedule = make_schedule();
    REQUIRE(schedule.choose(members, 1, false, start).size() == 5);
    REQUIRE(schedule.is_aggregator());
    const auto to = schedule.choose(members, 2, true, start);
    CHECK_FALSE(schedule.is_aggregator());
    CHECK(is_in(to, "10.1.0.1"));
    CHECK(to.size() == 5); // those whose digests it wanted learn of the stop too
}

TEST_CASE("seeds without a heartbeat are sent every heartbeat after the start, and later in turn")
{
    const member_table members{own_ip, {"10.2.0.1", "10.3.0.1"}, {}};
    heartbeat_schedule schedule = make_schedule();
    const heartbeat_schedule_options options = schedule.options();
    std::uint64_t sequence = 1;
    for (; sequence <= options.initial_seed_heartbeats; ++sequence) {
        CHECK(schedule.choose(members, sequence, false, start).size() == 2);
    }
    std::size_t sent = 0;
    for (std::uint64_t i = 0; i < options.seed_interval; ++i) {
        for (const heartbeat_recipient& recipient :
             schedule.choose(members, sequence++, false, start)) {
            const bool is_seed = recipient.ip == "10.2.0.1";
            sent += is_seed && recipient.wanted == digest_subscription::primary ? 1 : 0;
        }
    }
    CHECK(sent == 1);
}

TEST_CASE("after a partition: an aggregator sends to the hosts that it has lost, a few at a time")
{
    member_table members = make_members(0, 65);
    heartbeat_schedule schedule = make_schedule();
    const time_point later = start + 10s;
    members.expire(later);
    REQUIRE(members.live_count(later) == 1);
    std::set<std::string> reached;
    constexpr int lost_hosts = 130;
    const auto rounds = lost_hosts / schedule.options().lost_hosts_per_heartbeat;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        const auto to = schedule.choose(members, 1'000 + round, false, later);
        // those of the previous heartbeat are told that their digests are wanted no longer
        CHECK(to.size() <= 2 * schedule.options().lost_hosts_per_heartbeat);
        for (const heartbeat_recipient& recipient : to) {
            if (recipient.wanted == digest_subscription::primary) {
                reached.insert(recipient.ip);
            }
        }
    }
    CHECK(reached.size() == lost_hosts);
}
