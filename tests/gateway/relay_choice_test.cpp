#include "gateway/configuration/relay_choice.h"

#include <chrono>  // milliseconds, seconds
#include <cstdint> // uint64_t
#include <memory>  // make_unique, unique_ptr
#include <set>     // set
#include <string>  // string, to_string
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

std::string to_ip(int region, int host)
{
    return "10." + std::to_string(region) + ".0." + std::to_string(host);
}

heartbeat make_heartbeat(int region, int host, bool has_configuration)
{
    heartbeat received;
    received.host = to_ip(region, host);
    received.ip = to_ip(region, host);
    received.region = "r" + std::to_string(region);
    received.failure_domain = "d" + std::to_string(host % 2);
    received.incarnation = 7;
    received.sequence = 1;
    received.is_ready = has_configuration;
    received.has_configuration = has_configuration;
    received.interval = 200ms;
    return received;
}

/// One host of a region and what it has heard of the others.
class choosing_host {
public:
    choosing_host(int region, int host)
        : m_region{region}, m_host{host}, m_members{to_ip(region, host), {}, {}},
          m_choice{{.ip = to_ip(region, host),
                    .failure_domain = "d" + std::to_string(host % 2),
                    .region = "r" + std::to_string(region)},
                   m_members,
                   start}
    {
    }

    /// Hears of `hosts` hosts of a region at `now`.
    void hear(int region, int hosts, bool has_configuration, time_point now)
    {
        for (int host = 1; host <= hosts; ++host) {
            if (region != m_region || host != m_host) {
                heartbeat received = make_heartbeat(region, host, has_configuration);
                received.sequence = ++m_sequence;
                m_members.on_heartbeat(received, now);
            }
        }
        m_choice.update(now);
    }

    relay_choice& choice() { return m_choice; }

private:
    int m_region;
    int m_host;
    member_table m_members;
    relay_choice m_choice;
    std::uint64_t m_sequence = 0;
};

const relay_choice_state starting{false, start.time_since_epoch(), start};
const relay_choice_state fresh{true, 500ms, start};

} // namespace

TEST_CASE("the hosts of a region agree on a few readers, and the others query these")
{
    constexpr int hosts = 30;
    std::set<std::string> queried;
    std::size_t readers = 0;
    for (int host = 1; host <= hosts; ++host) {
        choosing_host chooser{1, host};
        chooser.hear(1, hosts, true, start);
        readers += chooser.choice().is_reader() ? 1 : 0;
        const member* reader = chooser.choice().select_reader(fresh, start);
        CHECK((reader == nullptr) == chooser.choice().is_reader());
        if (reader != nullptr) {
            queried.insert(reader->last.ip);
        }
    }
    CHECK(readers == relay_choice_options{}.max_readers);
    CHECK(queried.size() <= readers);
}

TEST_CASE("a mass restart in a large region: the readers alone go on reading a large state")
{
    constexpr int hosts = 100;
    std::size_t reading = 0;
    for (int host = 1; host <= hosts; ++host) {
        choosing_host chooser{1, host};
        CHECK(chooser.choice().is_reader()); // it knows no others
        chooser.hear(1, hosts, false, start + 400ms);
        CHECK_FALSE(chooser.choice().gives_up_read(starting, start + 400ms));
        reading += chooser.choice().gives_up_read(starting, start + 700ms) ? 0 : 1;
    }
    CHECK(reading == relay_choice_options{}.max_readers);
}

TEST_CASE("a mass restart: only the readers fetch the state from another region at once")
{
    constexpr int hosts = 100;
    std::size_t queries = 0;
    for (int host = 1; host <= hosts; ++host) {
        choosing_host chooser{1, host};
        chooser.hear(1, hosts, false, start + 400ms);
        chooser.hear(2, 5, true, start + 400ms);
        queries += chooser.choice().select_fresher_peer(starting, start + 500ms) == nullptr ? 0 : 1;
        // later, any region is better than none
        CHECK(chooser.choice().select_fresher_peer(starting, start + 1'600ms) != nullptr);
    }
    CHECK(queries == relay_choice_options{}.max_readers);
}

TEST_CASE("a mass restart: hosts of the own region that have the state are queried first, in turn")
{
    choosing_host chooser{1, 1};
    chooser.hear(2, 20, true, start + 400ms);
    chooser.hear(1, 5, true, start + 400ms);
    std::set<std::string> queried;
    for (int query = 0; query < 4; ++query) {
        const member* peer = chooser.choice().select_fresher_peer(starting, start + 500ms);
        REQUIRE(peer != nullptr);
        CHECK(peer->last.region == "r1");
        queried.insert(peer->last.ip);
    }
    CHECK(queried.size() == 4);
}

TEST_CASE("a host without a configuration doesn't wait for readers that can't help it")
{
    choosing_host chooser{1, 1};
    SUBCASE("it hears no other host")
    {
        chooser.hear(1, 0, false, start + 400ms);
        CHECK_FALSE(chooser.choice().waits_for_peers(starting, start + 500ms));
    }
    SUBCASE("the readers have got none for long")
    {
        for (int host = 1; chooser.choice().is_reader(); ++host) {
            chooser.hear(1, 50 + host, false, start + 400ms);
        }
        CHECK(chooser.choice().waits_for_peers(starting, start + 2'900ms));
        CHECK_FALSE(chooser.choice().waits_for_peers(starting, start + 3s));
    }
}

TEST_CASE("a peer host is queried only if its state is noticeably younger")
{
    choosing_host chooser{1, 1};
    chooser.hear(1, 2, true, start);
    const time_point now = start + 100ms; // the peer's state is 100 ms old
    CHECK(chooser.choice().select_fresher_peer({true, 2s, start}, now) != nullptr);
    CHECK(chooser.choice().select_fresher_peer({true, 400ms, start}, now) == nullptr);
}

// guards against CONFIG: a host that started while a restored source showed an older version had no
// reason to ask the others, which held a newer one, since its state was fresh
TEST_CASE("a host queries another one that holds a higher version for longer than a change takes")
{
    const auto hear = [](member_table& members, std::uint64_t version, time_point now) {
        heartbeat received = make_heartbeat(1, 2, true);
        received.sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
        received.configuration_version = version;
        members.on_heartbeat(received, now);
    };
    const relay_choice_state own{true, 100ms, start, 12};
    member_table members{to_ip(1, 1), {}, {}};
    relay_choice choice{
        {.ip = to_ip(1, 1), .failure_domain = "d1", .region = "r1"}, members, start};
    SUBCASE("at once after its start")
    {
        hear(members, 12, start + 1s);
        CHECK(choice.select_newer_peer(own, start + 1s) == nullptr);
        hear(members, 13, start + 1'200ms);
        REQUIRE(choice.select_newer_peer(own, start + 1'200ms) != nullptr);
        CHECK(choice.select_newer_peer({}, start + 1'200ms) == nullptr);
    }
    SUBCASE("later")
    {
        hear(members, 13, start + 10s);
        CHECK(choice.select_newer_peer(own, start + 10s) == nullptr);
        hear(members, 13, start + 11'900ms);
        CHECK(choice.select_newer_peer(own, start + 11'900ms) == nullptr);
        CHECK(choice.select_newer_peer(own, start + 12s) != nullptr);
        SUBCASE("not if it has got the version meanwhile")
        {
            CHECK(choice.select_newer_peer({true, 100ms, start, 13}, start + 12s) == nullptr);
            CHECK(choice.select_newer_peer(own, start + 12s) == nullptr);
        }
    }
}

TEST_CASE("a host queries another one of its region that knows a newer change of the operator")
{
    member_table members{to_ip(1, 1), {}, {}};
    relay_choice choice{
        {.ip = to_ip(1, 1), .failure_domain = "d1", .region = "r1"}, members, start};
    const auto hear = [&](int region, std::uint64_t revision) {
        heartbeat received = make_heartbeat(region, 2, true);
        received.sequence = revision;
        received.operator_change = {1, revision};
        members.on_heartbeat(received, start);
    };
    const relay_choice_state own{true, 100ms, start, 12, {1, 20}};
    hear(1, 20);
    CHECK(choice.select_informed_peer(own, start) == nullptr);
    hear(2, 21);
    CHECK(choice.select_informed_peer(own, start) == nullptr);
    // behind a cut, other regions may be all that can be heard
    CHECK(choice.select_informed_peer({true, 3s, start, 12, {1, 20}}, start) != nullptr);
    hear(1, 21);
    REQUIRE(choice.select_informed_peer(own, start) != nullptr);
    CHECK(choice.select_informed_peer(own, start)->last.region == "r1");
    // a store that has been restored from a copy is read by each region's readers
    CHECK(choice.select_informed_peer({true, 100ms, start, 12, {2, 3}}, start) == nullptr);
}
