#include "gateway/limits/rate_share.h"

#include "gateway/limits/cold_allowance.h"

#include <algorithm> // max, min
#include <chrono>    // hours, milliseconds, seconds
#include <cmath>     // floor
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
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
/// Allows for the rounding of a sum.
constexpr double tolerance = 1e-9;

/// One of the hosts, with its view of the others.
struct share_host {
    member_table members;
    cold_owner_candidate own;

    share_host(const std::string& ip, const std::string& region,
               const std::vector<std::string>& seeds)
        : members{ip, seeds, {}}, own{ip, region}
    {
    }

    [[nodiscard]] double share(double rate, const std::string& id = endpoint,
                               duration uptime = 10s) const
    {
        return to_rate_share(members, own, id, rate, uptime);
    }
};

/// The hosts of a region, and as many of another one if wanted.
class share_fleet {
public:
    explicit share_fleet(std::size_t count, std::size_t others = 0)
    {
        std::vector<std::string> ips;
        for (std::size_t i = 0; i < count + others; ++i) {
            ips.push_back((i < count ? "10.1.0." : "10.2.0.") + std::to_string(i + 1));
        }
        for (std::size_t i = 0; i < ips.size(); ++i) {
            hosts.emplace_back(ips[i], i < count ? "a" : "b", ips);
        }
    }

    /// Every host receives a heartbeat of each of the first `senders` ones but itself.
    void exchange_heartbeats(time_point now, std::size_t senders)
    {
        ++m_sequence;
        for (std::size_t i = 0; i < senders; ++i) {
            heartbeat sent;
            sent.ip = hosts[i].own.ip;
            sent.region = hosts[i].own.region;
            sent.incarnation = 1;
            sent.sequence = m_sequence;
            sent.is_ready = !hosts[i].own.is_leaving;
            sent.is_leaving = hosts[i].own.is_leaving;
            for (share_host& to : hosts) {
                to.members.on_heartbeat(sent, now);
            }
        }
    }
    void exchange_heartbeats(time_point now) { exchange_heartbeats(now, hosts.size()); }

    /// Sum of the shares of the first `count` hosts.
    [[nodiscard]] double total(double rate, std::size_t count) const
    {
        double sum = 0;
        for (std::size_t i = 0; i < count; ++i) {
            sum += hosts[i].share(rate);
        }
        return sum;
    }

    [[nodiscard]] std::set<std::string> holders(double rate, const std::string& id = endpoint) const
    {
        std::set<std::string> found;
        for (const share_host& host : hosts) {
            if (host.share(rate, id) > 0) {
                found.insert(host.own.ip);
            }
        }
        return found;
    }

    std::vector<share_host> hosts;

private:
    std::uint64_t m_sequence = 0;
};

} // namespace

// guards against LIMIT: hosts that together send more than the endpoint takes, or less
TEST_CASE("shares of a rate: hosts that know the same members share exactly the rate")
{
    for (std::size_t count = 1; count <= 60; ++count) {
        share_fleet fleet{count};
        fleet.exchange_heartbeats(start);
        for (const double rate : {0.0, 0.3, 1.0, 3.6, 20.0}) {
            CAPTURE(count);
            CAPTURE(rate);
            const double total = fleet.total(rate, count);
            CHECK(total <= std::max(rate, min_endpoint_rate) + tolerance);
            CHECK(total >= std::max(rate, min_endpoint_rate) - tolerance);
        }
    }
}

// guards against LIMIT: a request can't be divided, so each further holder adds one to each window
TEST_CASE("shares of a rate: few hosts hold them, and equal ones")
{
    for (const std::size_t count : {1U, 2U, 3U, 4U, 6U, 26U, 60U}) {
        share_fleet fleet{count};
        fleet.exchange_heartbeats(start);
        for (const double rate : {0.0, 0.3, 1.0, 3.6, 20.0}) {
            CAPTURE(count);
            CAPTURE(rate);
            const std::size_t expected =
                std::min(count, 3 + static_cast<std::size_t>(std::floor(rate)));
            CHECK(fleet.holders(rate).size() == expected);
            for (const share_host& host : fleet.hosts) {
                const double share = host.share(rate);
                const double equal =
                    std::max(rate, min_endpoint_rate) / static_cast<double>(expected);
                CHECK((share == 0 || share == doctest::Approx{equal}));
            }
        }
    }
}

// guards against LIMIT: what the holders keep for one endpoint and send at once
TEST_CASE("shares of a rate: what their holders may send at once fits into the tolerance")
{
    for (double rate = 0; rate <= 100; rate += 0.1) {
        CAPTURE(rate);
        const double at_once = static_cast<double>(max_rate_shares(rate)) * rate_share_burst;
        CHECK(std::max(rate, min_endpoint_rate) * 4 + at_once <= 1.5 * rate * 4 + 5);
    }
}

// guards against some hosts that hold the shares of all endpoints
TEST_CASE("shares of a rate: other endpoints have other holders")
{
    share_fleet fleet{26};
    fleet.exchange_heartbeats(start);
    std::set<std::string> all;
    for (int i = 0; i < 50; ++i) {
        for (const std::string& ip : fleet.holders(1, "i-" + std::to_string(i))) {
            all.insert(ip);
        }
    }
    CHECK(all.size() >= 20);
}

// guards against LIMIT in a partition, where each side would use the shares of the other one
TEST_CASE("shares of a rate: silent hosts keep theirs")
{
    for (const double rate : {0.3, 1.0, 3.6, 20.0}) {
        CAPTURE(rate);
        share_fleet fleet{6};
        fleet.exchange_heartbeats(start);
        const double before = fleet.total(rate, 3);
        const std::set<std::string> holders = fleet.holders(rate);
        for (duration silence = 1s; silence <= 20s; silence += 1s) {
            fleet.exchange_heartbeats(start + silence, 3);
            for (share_host& host : fleet.hosts) {
                host.members.expire(start + silence);
            }
        }
        REQUIRE(fleet.hosts[0].members.live_count(start + 20s) == 3);
        CHECK(fleet.total(rate, 3) == doctest::Approx{before});
        CHECK(fleet.holders(rate) == holders);
        // the side of the silent ones included
        CHECK(fleet.total(rate, 6) <= rate + tolerance);
    }
}

// guards against a rate that is never used again by those that are left
TEST_CASE("shares of a rate: a host that has been forgotten leaves its share to the others")
{
    // one of six is forgotten soon, half of them only after the longest partition
    for (const auto& heard_after :
         {std::pair<std::size_t, duration>{5, 61s}, std::pair<std::size_t, duration>{3, 2h}}) {
        const std::size_t heard = heard_after.first;
        const duration after = heard_after.second;
        CAPTURE(heard);
        share_fleet fleet{6};
        fleet.exchange_heartbeats(start);
        const time_point later = start + after;
        fleet.exchange_heartbeats(later, heard);
        for (share_host& host : fleet.hosts) {
            host.members.expire(later);
        }
        CHECK(fleet.total(1, heard) == doctest::Approx{1});
    }
}

// guards against requests of a host that ends, and against its share being lost to the others
TEST_CASE("shares of a rate: leaving hosts have none, and the others take them over")
{
    for (const double rate : {0.0, 0.3, 1.0, 3.6, 20.0}) {
        CAPTURE(rate);
        share_fleet fleet{6};
        fleet.exchange_heartbeats(start);
        for (std::size_t leaving = 0; leaving < 5; ++leaving) {
            fleet.hosts[leaving].own.is_leaving = true;
            CHECK(fleet.hosts[leaving].share(rate) == 0); // at once
            fleet.exchange_heartbeats(start + 1s + 1s * leaving);
            CHECK(fleet.hosts[leaving].share(rate) == 0);
            CHECK(fleet.total(rate, 6) == doctest::Approx{std::max(rate, min_endpoint_rate)});
        }
    }
}

// guards against a host that starts, knows no other yet and takes itself for the only one
TEST_CASE("shares of a rate: a host has none before it knows the others")
{
    share_fleet fleet{6};
    for (const share_host& host : fleet.hosts) {
        CHECK(host.share(20) == 0); // it has heard nobody
    }
    fleet.exchange_heartbeats(start);
    for (const share_host& host : fleet.hosts) {
        CHECK(host.share(20, endpoint, 0ms) == 0);
        CHECK(host.share(20, endpoint, cold_settling_time - 1ms) == 0);
        CHECK(host.share(20, endpoint, cold_settling_time) > 0);
    }

    // the only host of a fleet waits for nobody
    const share_fleet alone{1};
    CHECK(alone.hosts[0].share(20, endpoint, cold_settling_time - 1ms) == 0);
    CHECK(alone.hosts[0].share(20) == 20);
}

// guards against shares for hosts that never send to the endpoint, as it isn't in their region
TEST_CASE("shares of a rate: hosts of other regions don't count")
{
    for (const std::size_t count : {1U, 2U, 6U, 26U}) {
        share_fleet region{count};
        share_fleet both{count, 30};
        region.exchange_heartbeats(start);
        both.exchange_heartbeats(start);
        for (const double rate : {0.0, 0.3, 1.0, 3.6, 20.0}) {
            CAPTURE(count);
            CAPTURE(rate);
            for (std::size_t i = 0; i < count; ++i) {
                CHECK(both.hosts[i].share(rate) == region.hosts[i].share(rate));
            }
        }
    }
}
