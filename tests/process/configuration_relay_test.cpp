#include "process/configuration_relay.h"

#include <algorithm> // count_if
#include <set>       // set

#include <doctest/doctest.h>

using namespace hickorykeel;

namespace {

constexpr time_point start{std::chrono::seconds{100}};

host make_host(const std::string& domain, int index)
{
    host made;
    made.name = domain + "-h" + std::to_string(index);
    made.failure_domain = domain;
    made.configd_address = made.name + ":7301";
    return made;
}

host_list make_fleet(int domains, int hosts_each)
{
    host_list fleet{1, {}};
    for (int d = 0; d < domains; ++d) {
        for (int i = 0; i < hosts_each; ++i) {
            fleet.hosts.push_back(make_host("d" + std::to_string(d), i));
        }
    }
    return fleet;
}

configuration_relay make_relay(const std::string& domain, int index,
                               std::vector<std::string> seeds = {})
{
    return {{domain + "-h" + std::to_string(index), domain, std::move(seeds)}, start};
}

std::vector<std::string> watchers_of(const host_list& fleet)
{
    std::vector<std::string> watchers;
    for (const auto& each : fleet.hosts) {
        configuration_relay relay{{each.name, each.failure_domain, {}}, start};
        relay.set_hosts(fleet);
        if (relay.is_watcher()) {
            watchers.push_back(each.failure_domain);
        }
    }
    return watchers;
}

} // namespace

TEST_CASE("peers of a relay")
{
    auto relay = make_relay("d0", 0, {"seed:1"});

    SUBCASE("without a list of hosts it asks the seeds, twice a second")
    {
        CHECK(relay.take_due(start) == std::vector<std::string>{"seed:1"});
        CHECK(relay.take_due(start + std::chrono::milliseconds{499}).empty());
        CHECK(relay.take_due(start + std::chrono::milliseconds{500}).size() == 1);
    }

    SUBCASE("with one it asks its failure domain and two others")
    {
        relay.set_hosts(make_fleet(3, 4));
        const auto due = relay.take_due(start);
        const auto own = std::count_if(
            due.begin(), due.end(), [](const auto& address) { return address.starts_with("d0-"); });
        CHECK(own == 3);
        CHECK(due.size() == 5);
    }

    SUBCASE("hosts that leave are asked in the own failure domain only")
    {
        auto fleet = make_fleet(2, 2);
        for (auto& each : fleet.hosts) {
            each.state = host_state::leaving;
        }
        relay.set_hosts(fleet);
        CHECK(relay.take_due(start) == std::vector<std::string>{"d0-h1:7301"});
    }

    SUBCASE("an own change is told to those that lack it")
    {
        relay.set_hosts(make_fleet(1, 3));
        relay.on_answer("d0-h1:7301", {7, 2});
        CHECK(relay.take_behind({7, 2}, start) == std::vector<std::string>{"d0-h2:7301"});
        CHECK(relay.take_due(start) == std::vector<std::string>{"d0-h1:7301"});
    }

    SUBCASE("a question of a peer with something newer is asked back")
    {
        relay.set_hosts(make_fleet(2, 2));
        CHECK(relay.on_question("d1-h1/configd", {8, 2}, {7, 2}) == "d1-h1:7301");
        CHECK(relay.on_question("d1-h1/configd", {7, 3}, {7, 2}) == "d1-h1:7301");
        CHECK_FALSE(relay.on_question("d1-h1/configd", {7, 2}, {7, 2}).has_value());
        CHECK_FALSE(relay.on_question("d1-h1/entry", {8, 2}, {7, 2}).has_value());
        CHECK_FALSE(relay.on_question("unknown/configd", {8, 2}, {7, 2}).has_value());
    }

    SUBCASE("every host is asked by somebody elsewhere, with few exceptions")
    {
        const auto fleet = make_fleet(7, 50);
        std::set<std::string> asked;
        for (const auto& each : fleet.hosts) {
            configuration_relay other{{each.name, each.failure_domain, {}}, start};
            other.set_hosts(fleet);
            for (const auto& address : other.take_due(start)) {
                if (!address.starts_with(each.failure_domain + "-")) {
                    asked.insert(address);
                }
            }
        }
        // 350 hosts draw two each at random: a share of e^-2 is expected to be drawn by none
        CHECK(asked.size() > 270);
    }
}

TEST_CASE("watchers of the platform")
{
    SUBCASE("two in each failure domain, however many hosts it has")
    {
        CHECK(watchers_of(make_fleet(3, 50)).size() == 6);
        CHECK(watchers_of(make_fleet(3, 1)).size() == 3);
    }

    SUBCASE("a host that leaves is no watcher")
    {
        auto fleet = make_fleet(1, 3);
        fleet.hosts[0].state = host_state::leaving;
        CHECK(watchers_of(fleet).size() == 2);
        auto relay = make_relay("d0", 0);
        relay.set_hosts(fleet);
        CHECK_FALSE(relay.is_watcher());
    }
}

TEST_CASE("trust in the platform after a start")
{
    SUBCASE("without seeds at once")
    {
        auto relay = make_relay("d0", 0);
        CHECK(relay.should_read_platform(start, {}, std::nullopt));
    }

    SUBCASE("not before every seed has answered and holds nothing newer")
    {
        auto relay = make_relay("d0", 0, {"seed:1", "seed:2"});
        CHECK_FALSE(relay.should_read_platform(start, {}, std::nullopt));
        relay.on_answer("seed:1", {0, 0});
        CHECK_FALSE(relay.should_read_platform(start, {}, std::nullopt));
        relay.on_answer("seed:2", {5, 1});
        CHECK_FALSE(relay.should_read_platform(start, {}, std::nullopt));
        CHECK(relay.should_read_platform(start, {5, 1}, std::nullopt));
    }

    SUBCASE("after two seconds of silence")
    {
        auto relay = make_relay("d0", 0, {"seed:1"});
        const auto wait = configuration_relay::start_wait;
        CHECK_FALSE(relay.should_read_platform(start + wait - duration{1}, {}, std::nullopt));
        CHECK(relay.should_read_platform(start + wait, {}, std::nullopt));
    }
}

TEST_CASE("reads of a host that is no watcher")
{
    const auto fleet = make_fleet(1, 3);
    for (int i = 0; i < 3; ++i) {
        auto relay = make_relay("d0", i);
        relay.set_hosts(fleet);
        const auto now = start + std::chrono::seconds{60};
        const auto limit = configuration_relay::freshness_limit;
        CHECK(relay.should_read_platform(now, {5, 1}, now - limit + duration{1}) ==
              relay.is_watcher());
        CHECK(relay.should_read_platform(now, {5, 1}, now - limit));
        CHECK(relay.should_read_platform(now, {5, 1}, std::nullopt));
    }
}
