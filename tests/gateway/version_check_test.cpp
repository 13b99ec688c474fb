#include "gateway/configuration/version_check.h"

#include <chrono>  // milliseconds, seconds
#include <cstdint> // uint64_t
#include <string>  // string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

/// What a host tells of its configuration.
struct told_configuration {
    std::uint64_t version = 0;
    bool is_checked = true;
    duration age = 100ms;
};

/// A host that has started, and what it has heard.
struct started_host {
    member_table members{"10.0.0.1", {"10.0.0.2"}, {}};
    version_check check{{.rounds = 5, .rounds_alone = 15, .max_age = 1'600ms}};

    void hear(const std::string& ip, const told_configuration& told, time_point at = start)
    {
        heartbeat received;
        received.ip = ip;
        received.region = "attica";
        received.incarnation = 7;
        received.sequence = ++m_sequence;
        received.has_configuration = told.version > 0;
        received.configuration_version = told.version;
        received.is_configuration_checked = told.is_checked;
        received.configuration_age = told.age;
        members.on_heartbeat(received, at);
    }

    void count_rounds(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            check.count_round();
        }
    }

    bool trusts(std::uint64_t held, time_point now = start)
    {
        return check.is_passed(members, held, now);
    }

private:
    std::uint64_t m_sequence = 0;
};

} // namespace

// guards against CONFIG: a host that starts on a restored source accepts a withdrawn key
TEST_CASE("a version is trusted once a checked host holds no higher one")
{
    started_host host;
    CHECK_FALSE(host.trusts(3));
    SUBCASE("the same version")
    {
        host.hear("10.0.0.2", {3});
        CHECK(host.trusts(3));
    }
    SUBCASE("a lower version")
    {
        host.hear("10.0.0.2", {2});
        CHECK(host.trusts(3));
    }
    SUBCASE("a higher version, for however long")
    {
        host.hear("10.0.0.2", {8});
        host.count_rounds(100);
        CHECK_FALSE(host.trusts(3));
        CHECK(host.trusts(8));
    }
    SUBCASE("a higher version at one of several hosts")
    {
        host.hear("10.0.0.2", {3});
        host.hear("10.0.0.3", {8, false});
        host.count_rounds(100);
        CHECK_FALSE(host.trusts(3));
    }
}

TEST_CASE("the word of a host that doesn't know either isn't enough")
{
    started_host host;
    SUBCASE("it has just started itself")
    {
        host.hear("10.0.0.2", {3, false});
    }
    SUBCASE("its configuration is out of date")
    {
        host.hear("10.0.0.2", {3, true, 2s});
    }
    SUBCASE("it was silent since")
    {
        host.hear("10.0.0.2", {3}, start - 1'250ms);
        host.hear("10.0.0.3", {3, false});
        host.check = version_check{{.rounds = 5, .max_age = 1'200ms}};
    }
    CHECK_FALSE(host.trusts(3));
    host.count_rounds(4);
    CHECK_FALSE(host.trusts(3));
    host.count_rounds(1);
    CHECK(host.trusts(3));
}

TEST_CASE("a host that hears nobody trusts its version after a longer time")
{
    started_host host;
    host.count_rounds(14);
    CHECK_FALSE(host.trusts(3));
    host.count_rounds(1);
    CHECK(host.trusts(3));
    host.check.begin();
    CHECK_FALSE(host.trusts(3));
}

TEST_CASE("a higher version at a host that has fallen silent doesn't bind for ever")
{
    started_host host;
    host.hear("10.0.0.2", {8});
    host.count_rounds(15);
    CHECK_FALSE(host.trusts(3));
    CHECK(host.trusts(3, start + 2s));
}
