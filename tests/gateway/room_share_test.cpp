#include "gateway/limits/room_share.h"

#include "gateway/limits/cold_allowance.h"

#include <algorithm> // min
#include <chrono>    // hours, seconds
#include <cstddef>   // size_t
#include <cstdint>   // uint32_t
#include <set>       // set
#include <string>    // string, to_string
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

const std::string endpoint = "i-1";
constexpr time_point start = time_point{} + 1h;

struct share_host {
    member_table members;
    cold_owner_candidate own;

    [[nodiscard]] std::uint32_t share(std::uint32_t places, duration uptime = 10s) const
    {
        return to_room_share(members, own, endpoint, places, uptime);
    }
};

/// The hosts of a region and one of another region, all of which have heard each other.
class share_fleet {
public:
    explicit share_fleet(std::size_t count)
    {
        std::vector<std::string> ips;
        for (std::size_t i = 0; i < count; ++i) {
            ips.push_back("10.1.0." + std::to_string(i + 1));
        }
        ips.emplace_back("10.2.0.1");
        for (const std::string& ip : ips) {
            const std::string region = ip.starts_with("10.1.") ? "a" : "b";
            hosts.push_back({member_table{ip, {ips.front()}, {}}, {ip, region}});
        }
        exchange_heartbeats(start);
    }

    void exchange_heartbeats(time_point now)
    {
        ++m_sequence;
        for (const share_host& from : hosts) {
            heartbeat sent;
            sent.ip = from.own.ip;
            sent.region = from.own.region;
            sent.incarnation = 1;
            sent.sequence = m_sequence;
            sent.is_leaving = from.own.is_leaving;
            for (share_host& to : hosts) {
                to.members.on_heartbeat(sent, now);
            }
        }
    }

    /// Sum of the shares of the hosts of the region.
    [[nodiscard]] std::size_t total(std::uint32_t places) const
    {
        std::size_t sum = 0;
        for (const share_host& host : hosts) {
            sum += host.own.region == "a" ? host.share(places) : 0;
        }
        return sum;
    }

    std::vector<share_host> hosts;

private:
    std::uint64_t m_sequence = 0;
};

} // namespace

// guards against LIMIT, and against room that no host may use
TEST_CASE("the shares of an endpoint's room are equal and sum up to it")
{
    for (const std::size_t count : {1U, 2U, 3U, 30U, 195U}) {
        const share_fleet fleet{count};
        for (const std::uint32_t places : {0U, 1U, 2U, 6U, 48U, 1'000U}) {
            CAPTURE(count);
            CAPTURE(places);
            CHECK(fleet.total(places) == places);
            for (const share_host& host : fleet.hosts) {
                if (host.own.region == "a") {
                    const auto floor = static_cast<std::uint32_t>(places / count);
                    CHECK(host.share(places) >= floor);
                    CHECK(host.share(places) <= floor + 1);
                }
            }
        }
    }
}

// guards against requests that a host without a share sends to another one without a share
TEST_CASE("with more hosts than places, all know which hosts have one")
{
    const share_fleet fleet{30};
    for (const std::uint32_t places : {0U, 1U, 6U}) {
        std::set<std::string> expected;
        for (const share_host& host : fleet.hosts) {
            if (host.own.region == "a" && host.share(places) > 0) {
                expected.insert(host.own.ip);
            }
        }
        CHECK(expected.size() == places);
        for (const share_host& host : fleet.hosts) {
            if (host.own.region == "a" && host.share(places) == 0) {
                const auto holders = room_share_holders(host.members, host.own, endpoint, places);
                CHECK(std::set<std::string>(holders.begin(), holders.end()) == expected);
            }
        }
    }
}

// guards against two hosts that both use the room of one whose requests are still under way
TEST_CASE("a host that leaves, or is silent, keeps its share of an endpoint's room")
{
    share_fleet fleet{3};
    fleet.hosts.front().own.is_leaving = true;
    fleet.exchange_heartbeats(start + 1s);
    CHECK(fleet.hosts.at(1).share(6) == 2);
    CHECK(fleet.hosts.front().share(6) == 2);
    fleet.hosts.at(1).members.expire(start + 30s);
    CHECK(fleet.hosts.at(1).share(6) == 2);
}

// guards against a host that hasn't heard the others and takes all the room
TEST_CASE("a host that has just started has no share of an endpoint's room")
{
    const share_fleet fleet{1};
    CHECK(fleet.hosts.front().share(6, cold_settling_time - 1ms) == 0);
    CHECK(fleet.hosts.front().share(6, cold_settling_time) == 6);
    // seeds that it hasn't heard may be of its region
    const member_table lonely{"10.1.0.9", {"10.1.0.1", "10.1.0.2"}, {}};
    const cold_owner_candidate own{"10.1.0.9", "a"};
    CHECK(to_room_share(lonely, own, endpoint, 6, unheard_settling_time - 1ms) == 0);
    CHECK(to_room_share(lonely, own, endpoint, 6, unheard_settling_time) == 2);
}
