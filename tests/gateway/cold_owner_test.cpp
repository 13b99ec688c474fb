#include "gateway/limits/cold_owner.h"

#include "gateway/limits/cold_allowance.h"
#include "gateway/limits/cold_rate_limiter.h"
#include "gateway/routing/rendezvous.h"

#include <algorithm> // sort
#include <chrono>    // milliseconds, seconds
#include <cstddef>   // size_t
#include <string>    // string
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

const std::string endpoint = "i-1";
constexpr double rate = 3.1;
constexpr double bound = rate * 1.5 + 3; // required upper bound for all hosts together

/// One of the hosts of a region, with its view of the others.
struct owner_host {
    member_table members;
    cold_owner_candidate own;
    cold_side side;
    std::uint64_t sequence = 0;
    cold_rate_limiter limiter;

    owner_host(const std::string& ip, const std::vector<std::string>& ips)
        : members{ip, ips, {}}, own{ip, "a"}
    {
    }

    [[nodiscard]] bool is_owner(time_point now) const
    {
        return is_cold_owner(members, own, endpoint, now);
    }

    /// Sends as many requests as allowed, and returns their number.
    std::size_t send_all(time_point now)
    {
        const double allowed =
            cold_allowance(to_cold_ownership(members, own, side, endpoint, now), 10s, rate);
        std::size_t sent = 0;
        for (; limiter.has_capacity(allowed, now); ++sent) {
            limiter.on_sent(now);
        }
        return sent;
    }
};

/// The hosts of a region, the one with the largest weight for `endpoint` first.
class owner_region {
public:
    owner_region()
    {
        std::vector<std::string> ips{"10.1.0.1", "10.1.0.2", "10.1.0.3"};
        const std::uint64_t key = short_hash(endpoint);
        std::sort(ips.begin(), ips.end(), [key](const auto& lhs, const auto& rhs) {
            return rendezvous_weight(key, lhs) > rendezvous_weight(key, rhs);
        });
        for (const std::string& ip : ips) {
            hosts.emplace_back(ip, ips);
        }
    }

    /// Every host receives a heartbeat of every other one.
    void exchange_heartbeats(time_point now)
    {
        for (owner_host& from : hosts) {
            heartbeat sent;
            sent.ip = from.own.ip;
            sent.region = from.own.region;
            sent.incarnation = 1;
            sent.sequence = ++from.sequence;
            sent.is_ready = !from.own.is_leaving;
            sent.is_leaving = from.own.is_leaving;
            for (owner_host& to : hosts) {
                to.members.on_heartbeat(sent, now);
            }
        }
        for (owner_host& host : hosts) {
            host.side.update(host.members, host.own.region, now);
        }
    }

    std::vector<owner_host> hosts;
};

} // namespace

TEST_CASE("the host with the largest weight owns a cold endpoint, and no other host does")
{
    owner_region region;
    const time_point now = time_point{} + 1h;
    region.exchange_heartbeats(now);
    CHECK(region.hosts[0].is_owner(now));
    CHECK_FALSE(region.hosts[1].is_owner(now));
    CHECK_FALSE(region.hosts[2].is_owner(now));
}

// two hosts stopped at once, and three owners in turn sent nine requests within half a second
TEST_CASE("regression: a cold endpoint whose owners stop gets no more requests than one host sends")
{
    owner_region region;
    const time_point start = time_point{} + 1h;
    region.exchange_heartbeats(start - cold_handover_time);
    region.exchange_heartbeats(start);
    std::size_t sent = region.hosts[0].send_all(start + 100ms);
    CHECK(sent == 3);

    region.hosts[0].own.is_leaving = true;
    region.hosts[1].own.is_leaving = true;
    for (auto now = start + 200ms; now < start + 1'100ms; now += 100ms) {
        region.exchange_heartbeats(now);
        for (owner_host& host : region.hosts) {
            sent += host.send_all(now);
        }
    }
    CHECK(static_cast<double>(sent) <= bound);
    CHECK(sent == 3);
}

TEST_CASE("a cold endpoint whose owner stops goes to the next host once the owner's requests are "
          "over a second old")
{
    owner_region region;
    const time_point start = time_point{} + 1h;
    region.exchange_heartbeats(start);
    region.hosts[0].own.is_leaving = true;
    region.exchange_heartbeats(start);
    CHECK_FALSE(region.hosts[0].is_owner(start));
    CHECK_FALSE(region.hosts[1].is_owner(start + 1s));
    region.exchange_heartbeats(start + 1'200ms);
    CHECK(region.hosts[1].is_owner(start + 1'200ms));
    CHECK_FALSE(region.hosts[2].is_owner(start + 1'200ms));
}
