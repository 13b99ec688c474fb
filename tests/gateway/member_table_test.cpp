#include "gateway/membership/member_table.h"

#include "gateway/membership/gossip_codec.h"

#include <algorithm> // find
#include <chrono>    // hours, seconds
#include <map>       // map
#include <optional>  // nullopt
#include <string>    // string, to_string
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

heartbeat make_heartbeat(const std::string& ip, std::uint64_t sequence,
                         std::uint64_t incarnation = 7)
{
    heartbeat result;
    result.host = "host-" + ip;
    result.ip = ip;
    result.incarnation = incarnation;
    result.sequence = sequence;
    result.is_ready = true;
    return result;
}

relayed_member make_report(const std::string& ip, std::uint64_t sequence, duration age = 0s,
                           std::uint64_t incarnation = 7)
{
    relayed_member report;
    report.ip = ip;
    report.incarnation = incarnation;
    report.sequence = sequence;
    report.age = age;
    report.is_ready = true;
    return report;
}

} // namespace

TEST_CASE("hosts are learnt from heartbeats and from the reports of other hosts")
{
    member_table members{"10.0.0.1", {"10.0.0.1", "10.0.0.2"}, {}};
    CHECK(members.seeds() == std::vector<std::string>{"10.0.0.2"});
    CHECK(members.on_heartbeat(make_heartbeat("10.0.0.2", 1), start) == member_change::became_live);
    CHECK(members.on_report(make_report("10.0.0.1", 1), "r", "d", 2s, start) ==
          member_change::none);
    CHECK(members.on_report(make_report("10.0.0.3", 1), "r", "d", 2s, start) ==
          member_change::became_live);
    CHECK(members.live(start).size() == 2);
    CHECK(members.find("10.0.0.1") == nullptr);
    CHECK(members.find("10.0.0.3")->last.failure_domain == "d");
}

TEST_CASE("a host without heartbeats is first not live and later removed")
{
    member_table members{"10.0.0.1", {}, {.heartbeat_timeout = 1s, .retention = 60s}};
    members.on_heartbeat(make_heartbeat("10.0.0.2", 1), start);
    CHECK(members.expire(start + 2s) == std::vector<std::string>{"host-10.0.0.2"});
    CHECK(members.expire(start + 3s).empty());
    CHECK(members.live(start + 2s).empty());
    CHECK(members.known_count() == 2);
    members.expire(start + 61s); // it may be cut off
    CHECK(members.known_count() == 2);
    members.expire(start + 2h);
    CHECK(members.known_count() == 1);
    CHECK(members.find("10.0.0.2") == nullptr);
}

namespace {

/// A host of region "a" that has heard three hosts of each of the regions "a", "b" and "c" at `start`.
member_table make_fleet()
{
    member_table members{"10.1.0.1", {}, {}, "a"};
    for (const std::string region : {"a", "b", "c"}) {
        for (int i = 2; i <= 4; ++i) {
            heartbeat received = make_heartbeat(
                "10." + std::to_string(region.front() - 'a' + 1) + ".0." + std::to_string(i), 1);
            received.region = region;
            members.on_heartbeat(received, start);
        }
    }
    return members;
}

/// Lets all hosts but those of `silent` be heard at `at`, for the second time.
void hear_others(member_table& members, const std::vector<std::string>& silent, time_point at)
{
    for (const auto& [ip, host] : std::map{members.all()}) {
        if (std::find(silent.begin(), silent.end(), ip) == silent.end()) {
            heartbeat received = host.last;
            ++received.sequence;
            members.on_heartbeat(received, at);
        }
    }
}

} // namespace

// guards against QUOTA: hosts that were cut off for a minute were forgotten, and each side gave out
// the whole quota (review/9)
TEST_CASE("a silent host is forgotten soon only if it is one of few, and its region is heard")
{
    member_table members = make_fleet();
    SUBCASE("one of ten")
    {
        hear_others(members, {"10.2.0.2"}, start + 60s);
        members.expire(start + 60s);
        CHECK(members.find("10.2.0.2") == nullptr);
        CHECK(members.known_count() == 9);
    }
    SUBCASE("one of the own region")
    {
        hear_others(members, {"10.1.0.2"}, start + 60s);
        members.expire(start + 60s);
        CHECK(members.find("10.1.0.2") == nullptr);
    }
    SUBCASE("all of a region")
    {
        hear_others(members, {"10.2.0.2", "10.2.0.3", "10.2.0.4"}, start + 1h);
        members.expire(start + 1h);
        CHECK(members.known_count() == 10);
        members.expire(start + 2h);
        CHECK(members.find("10.2.0.2") == nullptr);
    }
    SUBCASE("all others")
    {
        members.expire(start + 1h);
        CHECK(members.known_count() == 10);
    }
}

TEST_CASE("a host that has said that it ends is forgotten soon, however many are silent")
{
    member_table members = make_fleet();
    heartbeat leaving = members.find("10.2.0.2")->last;
    ++leaving.sequence;
    leaving.is_leaving = true;
    members.on_heartbeat(leaving, start);
    members.expire(start + 60s);
    CHECK(members.find("10.2.0.2") == nullptr);
    CHECK(members.known_count() == 9);
}

TEST_CASE("an introduced host is known, isn't live, and is counted while others hear it")
{
    member_table members = make_fleet();
    members.on_introduction(make_report("10.4.0.2", 9, 1s), "d", "d-1", 2s, start);
    const member* const introduced = members.find("10.4.0.2");
    REQUIRE(introduced != nullptr);
    CHECK_FALSE(members.is_live(*introduced, start));
    CHECK_FALSE(members.has_live_host("d", start));
    CHECK(members.is_heard_elsewhere(*introduced, start + 4s));
    CHECK_FALSE(members.is_heard_elsewhere(*introduced, start + 5s));
    CHECK(members.known_count() == 11);
    members.expire(start + 1h);
    CHECK(members.find("10.4.0.2") != nullptr);
    members.expire(start + 2h);
    CHECK(members.find("10.4.0.2") == nullptr);
}

TEST_CASE("a leaving host is not ready, and an older heartbeat doesn't change that")
{
    member_table members{"10.0.0.1", {}, {}};
    members.on_heartbeat(make_heartbeat("10.0.0.2", 1), start);
    auto leaving = make_heartbeat("10.0.0.2", 3);
    leaving.is_leaving = true;
    members.on_heartbeat(leaving, start);
    members.on_heartbeat(make_heartbeat("10.0.0.2", 2), start);
    CHECK(members.ready(start).empty());
    CHECK(members.live(start).size() == 1);
}

TEST_CASE("the sequence of a restarted host starts again")
{
    member_table members{"10.0.0.1", {}, {}};
    members.on_heartbeat(make_heartbeat("10.0.0.2", 900, 7), start);
    members.on_heartbeat(make_heartbeat("10.0.0.2", 1, 8), start);
    CHECK(members.find("10.0.0.2")->last.incarnation == 8);
}

TEST_CASE("seeds without a heartbeat count as known hosts")
{
    const member_table members{"10.0.0.1", {"10.0.0.2", "10.0.0.3"}, {}};
    CHECK(members.known_count() == 3);
}

TEST_CASE("the loss of a host's path to endpoints is a change, by its own word and by a report")
{
    member_table members{"10.0.0.1", {}, {}};
    heartbeat sent = make_heartbeat("10.0.0.2", 1);
    CHECK(members.on_heartbeat(sent, start) == member_change::became_live);
    sent.sequence = 2;
    sent.lacks_endpoint_path = true;
    CHECK(members.on_heartbeat(sent, start + 100ms) == member_change::changed);
    CHECK(members.find("10.0.0.2")->last.lacks_endpoint_path);
    // a report that says nothing of it, as by a host of an earlier version
    CHECK(members.on_report(make_report("10.0.0.2", 3), "r", "d", 2s, start + 200ms) ==
          member_change::changed);
    CHECK_FALSE(members.find("10.0.0.2")->last.lacks_endpoint_path);
}

TEST_CASE("a heartbeat is unchanged by encoding and decoding")
{
    auto sent = make_heartbeat("10.0.0.2", 4);
    sent.failure_domain = "d";
    sent.region = "r";
    sent.has_configuration = true;
    sent.lacks_endpoint_path = true;
    sent.configuration_version = 12;
    sent.configuration_age = 340ms;
    sent.services["s"] = {25ms, 3};
    sent.endpoints[99] = {4, 5'000};
    sent.used["o"] = 12.5;
    sent.prompts = {{77, 99}};
    sent.digests = digest_subscription::standby;
    sent.restarts = {{99, 10ms, std::nullopt, 20ms}, {98, std::nullopt, 30ms, std::nullopt}};
    sent.cold_endpoints = {{98, 700ms}};
    const auto received = decode_heartbeat(encode(sent, heartbeat_scope::own_region));
    REQUIRE(received);
    CHECK(received->host == sent.host);
    CHECK(received->lacks_endpoint_path);
    CHECK(received->configuration_age == 340ms);
    CHECK(received->services.at("s").free_places == 3);
    CHECK(received->services.at("s").expected_wait == 25ms);
    CHECK(received->endpoints.at(99).waiting_tokens == 5'000);
    CHECK(received->used.at("o") == 12.5);
    CHECK(received->prompts.at(0).prefix == 77);
    CHECK(received->digests == digest_subscription::standby);
    CHECK_FALSE(received->digest);
    REQUIRE(received->restarts.size() == 2);
    CHECK(received->restarts.at(0).endpoint == 99);
    CHECK(received->restarts.at(0).sign_age == 10ms);
    CHECK_FALSE(received->restarts.at(0).doubt_age);
    CHECK(received->restarts.at(0).known_age == 21ms); // rounded up
    CHECK(received->restarts.at(1).doubt_age == 30ms);
    CHECK_FALSE(received->restarts.at(1).sign_age);
    CHECK_FALSE(received->restarts.at(1).known_age);
    REQUIRE(received->cold_endpoints.size() == 1);
    CHECK(received->cold_endpoints.at(0).remaining == 700ms);
}

TEST_CASE("many hosts: a heartbeat to another region omits what only its own region uses")
{
    // with 77 hosts, the omitted fields were 60 % of all bytes between regions
    auto sent = make_heartbeat("10.0.0.2", 4);
    sent.region = "r";
    sent.services["s"] = {25ms, 3};
    sent.used["o"] = 12.5;
    for (std::uint32_t hash = 0; hash < 40; ++hash) {
        sent.endpoints[hash] = {4, 5'000};
        sent.prompts.push_back({hash, hash});
        sent.restarts.push_back({hash, 10ms, 10ms, 10ms});
        sent.cold_endpoints.push_back({hash, 700ms});
    }
    const std::string datagram = encode(sent, heartbeat_scope::fleet);
    CHECK(datagram.size() < 128);
    const auto received = decode_heartbeat(datagram);
    REQUIRE(received);
    CHECK(received->services.at("s").free_places == 3);
    CHECK(received->used.at("o") == 12.5);
    CHECK(received->endpoints.empty());
    CHECK(received->prompts.empty());
    CHECK(received->restarts.empty());
    CHECK(received->cold_endpoints.empty());
}

TEST_CASE("bytes that are not a heartbeat are rejected")
{
    CHECK_FALSE(decode_heartbeat("nonsense"));
    CHECK_FALSE(decode_heartbeat(""));
}

TEST_CASE(
    "a large fleet over several regions: hosts with a long interval are live between heartbeats")
{
    member_table members{"10.0.0.1", {}, {.heartbeat_timeout = 1'300ms}};
    for (const char* ip : {"10.1.0.1", "10.1.0.2"}) {
        auto received = make_heartbeat(ip, 1);
        received.region = "crete";
        received.interval = 1'400ms;
        members.on_heartbeat(received, start);
    }
    auto received = make_heartbeat("10.1.0.2", 2);
    received.region = "crete";
    received.interval = 1'400ms;
    members.on_heartbeat(received, start + 1'400ms);

    SUBCASE("a late host is live while another one of its region sends heartbeats")
    {
        CHECK(members.live(start + 2'700ms).size() == 2);
    }
    SUBCASE("it is not live after the maximum number of lost heartbeats")
    {
        received.sequence = 3;
        members.on_heartbeat(received, start + 2'800ms);
        CHECK(members.live(start + 4'100ms).size() == 2);
        CHECK(members.live(start + 4'200ms).size() == 1);
    }
}

TEST_CASE(
    "hosts of a partitioned region are not live once no heartbeat of the region arrives for the "
    "timeout")
{
    member_table members{"10.0.0.1", {}, {.heartbeat_timeout = 1'300ms}};
    constexpr int hosts = 26;
    for (int i = 0; i < hosts; ++i) {
        auto received = make_heartbeat("10.1.0." + std::to_string(i + 1), 1);
        received.region = "crete";
        received.interval = 1'400ms;
        members.on_heartbeat(received, start + 50ms * i);
    }
    const time_point last = start + 50ms * (hosts - 1);
    CHECK(members.live(last).size() == hosts);
    CHECK(members.live(last + 1'299ms).size() == hosts);
    CHECK(members.live(last + 1'300ms).empty());
}

TEST_CASE("a large fleet: the last host of a region is live between its heartbeats")
{
    member_table members{"10.0.0.1", {}, {.heartbeat_timeout = 1'300ms}};
    constexpr int hosts = 26;
    auto received = make_heartbeat("", 1);
    received.region = "crete";
    received.interval = 1'400ms;
    for (int i = 0; i < hosts; ++i) {
        received.ip = "10.1.0." + std::to_string(i + 1);
        members.on_heartbeat(received, start);
    }
    for (std::uint64_t sent = 1; sent < 10; ++sent) {
        const time_point received_at = start + 1'400ms * static_cast<int>(sent);
        received.sequence = sent + 1;
        members.on_heartbeat(received, received_at);
        members.expire(received_at);
        CHECK(members.find(received.ip)->last_seen == received_at);
    }
    members.expire(start + 13'950ms);
    CHECK(members.live(start + 13'950ms).size() == 1);
}

// guards against hosts taken for lost: the list of hosts names those of a region one after the other,
// and a host that missed them took the whole region for lost while its digests arrived
TEST_CASE("a region whose digests arrive is heard, also while none of its hosts is named")
{
    member_table members{"10.0.0.1", {}, {.relay_timeout = 2'600ms}};
    members.on_report(make_report("10.2.0.1", 1), "r", "d", 2s, start);
    members.on_services("r", {}, start + 2s);
    CHECK(members.live(start + 3s).size() == 1);
    CHECK(members.live(start + 4'700ms).empty()); // the digests have stopped
}
