#include "gateway/routing/prompt_quarantine.h"

#include "process/routing/random_source.h"

#include <algorithm> // count
#include <array>     // array
#include <chrono>    // milliseconds, seconds
#include <cstdint>   // uint32_t, uint64_t
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

using parts = std::vector<std::uint64_t>;

constexpr time_point start{100s};
constexpr std::uint64_t tainted = 0xbad;
constexpr std::uint64_t shared = 0x5afe; // a part of nearly all requests

/// Lets `count` engines crash, one each second, while each works on a request with `tainted` and
/// one that is sound.
time_point crash_engines(prompt_quarantine& quarantine, std::uint32_t count, time_point now = start)
{
    for (std::uint32_t i = 0; i < count; ++i) {
        quarantine.on_broken_off(i, {shared, 1'000U + i}, true, now);
        quarantine.on_broken_off(i, {shared, tainted}, false, now);
        now += 1s;
    }
    return now;
}

/// Simulated hosts that tell each other what they have seen.
class quarantine_fleet {
public:
    static constexpr std::size_t hosts = 6;

    prompt_quarantine& at(std::size_t host) { return m_hosts.at(host); }

    /// Exchanges the hosts' evidence, apart from hosts that are cut off, as with each heartbeat.
    void beat(time_point now)
    {
        for (std::size_t from = 0; from < hosts; ++from) {
            m_hosts.at(from).update(now);
            for (std::size_t to = 0; to < hosts; ++to) {
                if (from != to && !m_is_cut_off.at(from) && !m_is_cut_off.at(to)) {
                    m_hosts.at(to).on_evidence(m_hosts.at(from).evidence(now), now);
                }
            }
        }
    }

    void set_cut_off(std::size_t host, bool is_cut_off) { m_is_cut_off.at(host) = is_cut_off; }

private:
    std::vector<prompt_quarantine> m_hosts = [] {
        std::vector<prompt_quarantine> made;
        for (std::uint64_t host = 0; host < hosts; ++host) {
            made.emplace_back(prompt_quarantine_options{.salt = host << 32U});
        }
        return made;
    }();
    std::array<bool, hosts> m_is_cut_off{};
};

} // namespace

// guards against BUDGET: requests with the same part crashed one engine after the other
TEST_CASE("regression: the part that all crashes have in common is refused")
{
    prompt_quarantine quarantine{{}};
    quarantine.on_answered({shared}, start);
    const time_point now = crash_engines(quarantine, 3);
    CHECK(quarantine.update(now) == parts{tainted});
    CHECK(quarantine.refusal({1, tainted}, now).has_value());
    CHECK_FALSE(quarantine.refusal({shared, 1'001}, now).has_value());
}

TEST_CASE("fewer crashes refuse nothing")
{
    prompt_quarantine quarantine{{}};
    quarantine.on_answered({shared}, start);
    const time_point now = crash_engines(quarantine, 2);
    CHECK(quarantine.update(now).empty());
}

TEST_CASE("crashes of many engines at one moment refuse nothing")
{
    prompt_quarantine quarantine{{}};
    for (std::uint32_t endpoint = 0; endpoint < 40; ++endpoint) {
        quarantine.on_broken_off(endpoint, {shared, endpoint + 1}, false, start);
    }
    CHECK(quarantine.update(start + 1s).empty());
}

TEST_CASE("a part with which a request is answered is not refused")
{
    prompt_quarantine quarantine{{}};
    SUBCASE("before the crashes")
    {
        quarantine.on_answered({shared, tainted}, start);
        const time_point now = crash_engines(quarantine, 4);
        CHECK(quarantine.update(now).empty());
    }
    SUBCASE("after the verdict")
    {
        const time_point now = crash_engines(quarantine, 5);
        CHECK_FALSE(quarantine.update(now).empty());
        quarantine.on_answered({shared, tainted}, now);
        CHECK_FALSE(quarantine.refusal({shared, tainted}, now).has_value());
    }
    SUBCASE("at another host, after the verdict")
    {
        time_point now = crash_engines(quarantine, 5);
        CHECK_FALSE(quarantine.update(now).empty());
        prompt_quarantine other{{}};
        other.on_evidence(quarantine.evidence(now), now);
        other.on_answered({shared, tainted}, now);
        quarantine.on_evidence(other.evidence(now), now);
        CHECK_FALSE(quarantine.refusal({shared, tainted}, now).has_value());
    }
}

TEST_CASE("parts that all crashes have in common are refused together once the evidence is strong")
{
    prompt_quarantine quarantine{{}};
    for (std::uint32_t endpoint = 0; endpoint < 5; ++endpoint) {
        CHECK(quarantine.update(start + endpoint * 1s).empty());
        quarantine.on_broken_off(endpoint, {tainted, 7}, false, start + endpoint * 1s);
    }
    CHECK(quarantine.update(start + 5s).size() == 2);
}

TEST_CASE("a refusal ends by itself")
{
    prompt_quarantine quarantine{{}};
    quarantine.on_answered({shared}, start);
    const time_point now = crash_engines(quarantine, 3);
    REQUIRE(quarantine.update(now) == parts{tainted});
    const auto remaining = quarantine.refusal({tainted}, now);
    REQUIRE(remaining.has_value());
    CHECK(quarantine.refusal({tainted}, now + *remaining - 1ms).has_value());
    CHECK_FALSE(quarantine.refusal({tainted}, now + *remaining).has_value());
}

TEST_CASE("crashes that different hosts have seen add up")
{
    quarantine_fleet fleet;
    time_point now = start;
    for (std::size_t host = 0; host < 3; ++host) {
        const auto endpoint = static_cast<std::uint32_t>(host);
        fleet.at(host).on_broken_off(endpoint, {1'000U + endpoint, tainted}, false, now);
        // another host had a sound request at the same engine
        fleet.at(host + 1).on_broken_off(endpoint, {2'000U + endpoint}, true, now + 5ms);
        now += 1s;
        fleet.beat(now);
    }
    fleet.beat(now);
    for (std::size_t host = 0; host < quarantine_fleet::hosts; ++host) {
        CAPTURE(host);
        CHECK(fleet.at(host).refusal({tainted}, now).has_value());
        CHECK_FALSE(fleet.at(host).refusal({1'000, 1'001, 2'000, 2'001}, now).has_value());
    }
}

TEST_CASE("regression: a host that was cut off refuses the part once it is heard again")
{
    quarantine_fleet fleet;
    fleet.set_cut_off(5, true);
    time_point now = crash_engines(fleet.at(0), 3);
    fleet.at(0).on_answered({shared}, now);
    fleet.beat(now);
    CHECK_FALSE(fleet.at(5).refusal({tainted}, now).has_value());
    fleet.set_cut_off(5, false);
    fleet.beat(now + 30s);
    CHECK(fleet.at(5).refusal({tainted}, now + 30s).has_value());
    CHECK_FALSE(fleet.at(5).refusal({shared}, now + 30s).has_value());
}

// guards against refused sound requests: a crash that late heartbeats reported again and again
// counted as several, and was never forgotten
TEST_CASE("regression: a crash that is reported late, in turns, is one crash and ends")
{
    prompt_quarantine_options options;
    options.salt = 1;
    prompt_quarantine here{options};
    options.salt = 1'000;
    prompt_quarantine there{options};
    here.on_broken_off(1, {7, 8}, false, start);
    // each report is older than it says by the time for which it was under way
    constexpr duration delay = 1s;
    for (time_point now = start; now < start + 120s; now += 200ms) {
        const crash_evidence from_here = here.evidence(now);
        const crash_evidence from_there = there.evidence(now);
        there.on_evidence(from_here, now + delay);
        here.on_evidence(from_there, now + delay);
        CHECK(here.update(now + delay).empty());
        CHECK(there.update(now + delay).empty());
    }
    CHECK(here.evidence(start + 121s).is_empty());
    CHECK(there.evidence(start + 121s).is_empty());
}

// guards against refused sound requests: one sick endpoint broke off the same session three times
TEST_CASE("regression: three crashes of one endpoint refuse nothing")
{
    prompt_quarantine quarantine{{}};
    for (int i = 0; i < 3; ++i) {
        quarantine.on_broken_off(1, {tainted}, false, start + i * 2s);
    }
    CHECK(quarantine.update(start + 6s).empty());
}

TEST_CASE("evidence is bounded, whatever is received")
{
    prompt_quarantine quarantine{{}};
    const prompt_quarantine_options bounds;
    for (std::uint32_t i = 0; i < 1'000; ++i) {
        crash_evidence received;
        for (std::uint64_t id = 0; id < 100; ++id) {
            received.crashes.push_back(
                {std::uint64_t{i} * 100 + id, i, duration{i}, parts(1'000, i)});
        }
        received.crashes.push_back({i, i, -1s, {}});
        received.answered.assign(100, i);
        received.verdicts.push_back({i, 1s});
        quarantine.on_evidence(received, start);
    }
    quarantine.update(start);
    const crash_evidence sent = quarantine.evidence(start);
    CHECK(sent.crashes.size() <= bounds.max_sent_crashes);
    CHECK(sent.verdicts.size() <= bounds.max_verdicts);
    CHECK(quarantine.known_crashes() <= bounds.max_known_crashes);
}

TEST_CASE("random days: the part is refused everywhere in time, and no other part ever is")
{
    // as the users state it: five crashes, then 6 s, after which three more requests may be sent
    constexpr unsigned min_crashes = 5;
    constexpr duration learning_time = 6s;
    constexpr unsigned max_late_requests = 3;
    constexpr duration day = 40s;
    constexpr duration step = 50ms;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        random_source random{seed};
        quarantine_fleet fleet;
        std::array<std::uint64_t, 18> down_until_ms{};
        std::vector<time_point> crashes;
        unsigned late = 0;
        unsigned refused_sound = 0;
        const double tainted_share = 0.02 + 0.1 * random_fraction(random);
        const std::size_t cut_off = random_index(random, quarantine_fleet::hosts);
        for (time_point now = start; now < start + day; now += step) {
            const auto ms = static_cast<std::uint64_t>(to_milliseconds(now - start).count());
            fleet.set_cut_off(cut_off, ms > 5'000 && ms < 9'000);
            if (ms % 200 == 0) {
                fleet.beat(now);
            }
            for (int request = 0; request < 3; ++request) {
                const std::size_t host = random_index(random, quarantine_fleet::hosts);
                const std::size_t endpoint = random_index(random, down_until_ms.size());
                const std::uint64_t subject = 1'000 + random_index(random, 400);
                const bool is_tainted = ms > 4'000 && random_fraction(random) < tainted_share;
                const parts prompt{shared, is_tainted ? tainted : subject};
                if (fleet.at(host).refusal(prompt, now)) {
                    refused_sound += is_tainted ? 0 : 1;
                    continue;
                }
                if (down_until_ms.at(endpoint) > ms) {
                    continue;
                }
                if (!is_tainted) {
                    fleet.at(host).on_answered(prompt, now);
                    continue;
                }
                // sound requests of other hosts end with the engine
                for (std::size_t other = 0; other < quarantine_fleet::hosts; ++other) {
                    fleet.at(other).on_broken_off(static_cast<std::uint32_t>(endpoint),
                                                  {shared, 1'000 + random_index(random, 400)},
                                                  random_fraction(random) < 0.5, now);
                }
                fleet.at(host).on_broken_off(static_cast<std::uint32_t>(endpoint), prompt, false,
                                             now);
                down_until_ms.at(endpoint) = ms + 3'000;
                const bool is_late = crashes.size() >= min_crashes && host != cut_off &&
                                     now > crashes.at(min_crashes - 1) + learning_time;
                late += is_late ? 1 : 0;
                crashes.push_back(now);
            }
        }
        CHECK(late <= max_late_requests);
        CHECK(refused_sound == 0);
    }
}
