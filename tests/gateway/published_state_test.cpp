#include "gateway/configuration/published_state.h"

#include <chrono>  // milliseconds, seconds
#include <cstdint> // int64_t, uint64_t
#include <memory>  // make_shared

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

published_reading make_configuration(std::uint64_t version, std::uint64_t revision)
{
    auto published = std::make_shared<publication>();
    published->version = version;
    published_reading reading;
    reading.published = published;
    reading.position.revision = revision;
    return reading;
}

published_reading make_endpoints(const std::vector<std::string>& ids, std::uint64_t revision)
{
    published_reading reading;
    reading.position.revision = revision;
    for (const std::string& id : ids) {
        endpoint_entry entry;
        entry.id = id;
        reading.endpoints.push_back(entry);
    }
    return reading;
}

} // namespace

TEST_CASE("keys are accepted only within the lease after the state was last confirmed")
{
    published_state state{{.key_lease = 4s}};
    CHECK_FALSE(state.may_accept_keys(start));
    state.apply(make_configuration(1, 1), start, start);
    CHECK(state.may_accept_keys(start + 3s));
    CHECK_FALSE(state.may_accept_keys(start + 4s));
}

TEST_CASE("a relayed reading extends the key lease only as far as its age allows")
{
    published_state state{{.key_lease = 4s}};
    state.apply(make_configuration(1, 1), start, start);
    state.apply(make_configuration(1, 1), start - 2s, start); // confirmed earlier
    CHECK(state.may_accept_keys(start + 3s));
    state.apply(make_configuration(1, 1), start + 1s, start);
    CHECK(state.may_accept_keys(start + 4s));
    CHECK_FALSE(state.may_accept_keys(start + 5s));
}

// guards against CONFIG: a host that starts on a restored source accepts a withdrawn key
TEST_CASE("keys are accepted only once the version was checked after the start")
{
    published_state state{{.key_lease = 4s}};
    state.begin_version_check();
    state.apply(make_configuration(1, 1), start, start);
    state.confirm(start + 1s, start + 1s);
    CHECK_FALSE(state.may_accept_keys(start + 1s));
    CHECK_FALSE(state.has_been_trusted());
    state.end_version_check();
    CHECK(state.may_accept_keys(start + 4s));
    CHECK_FALSE(state.may_accept_keys(start + 5s));
    CHECK(state.has_been_trusted());
}

// guards against CONFIG: a host that was frozen or cut off over a restoration of the source takes
// what that shows for the newest configuration
TEST_CASE("what a source of a new era shows extends the key lease once the version was checked")
{
    published_state state{{.key_lease = 4s}};
    state.apply(make_configuration(1, 1), start, start);
    published_reading restored = make_configuration(1, 1);
    restored.position.era = 1;
    SUBCASE("while the lease lasts")
    {
        state.apply(restored, start + 3s, start + 3s);
        CHECK(state.may_accept_keys(start + 3s));
        CHECK_FALSE(state.may_accept_keys(start + 4s));
        state.end_version_check();
        CHECK(state.may_accept_keys(start + 6s));
    }
    SUBCASE("after its end")
    {
        state.apply(restored, start + 9s, start + 9s);
        CHECK_FALSE(state.is_version_checked());
        CHECK_FALSE(state.may_accept_keys(start + 9s));
        state.confirm(start + 10s, start + 10s);
        CHECK_FALSE(state.may_accept_keys(start + 10s));
        state.end_version_check();
        CHECK(state.may_accept_keys(start + 10s));
    }
}

TEST_CASE("neither the revision nor the version decreases")
{
    published_state state{{}};
    state.apply(make_configuration(5, 50), start, start);
    SUBCASE("an older revision")
    {
        CHECK_FALSE(
            state.apply(make_configuration(6, 49), start + 10s, start).is_configuration_changed);
    }
    SUBCASE("an older version at a newer revision")
    {
        CHECK_FALSE(
            state.apply(make_configuration(4, 51), start + 10s, start).is_configuration_changed);
    }
    CHECK(state.published()->version == 5);
    CHECK_FALSE(state.may_accept_keys(start + 10s));
}

TEST_CASE("a reading of a lower version leaves the configuration in force and brings its endpoints")
{
    published_state state{{.key_lease = 4s}};
    state.apply(make_configuration(5, 50), start, start);
    published_reading reading = make_endpoints({"a"}, 51);
    reading.published = make_configuration(4, 51).published;
    state.apply(reading, start + 2s, start + 2s);
    CHECK(state.published()->version == 5);
    CHECK(state.endpoints().contains("a"));
    CHECK_FALSE(state.may_accept_keys(start + 5s)); // it doesn't confirm version 5
}

namespace {

/// A reading of `era` in which the endpoint "a" has the start and the sequence given.
published_reading make_entry(std::uint64_t era, std::int64_t started_ms, std::uint64_t sequence)
{
    published_reading reading = make_endpoints({"a"}, 50);
    reading.position.era = era;
    reading.endpoints.front().started_ms = started_ms;
    reading.endpoints.front().sequence = sequence;
    return reading;
}

} // namespace

// guards against CONFIG and DRAIN: what a restored source shows of endpoints and evacuations is older
// than what hosts know
TEST_CASE("a restored source doesn't take back what is known of endpoints and evacuations")
{
    published_state state{{.settling_time = 2s, .restoring_time = 5s}};
    published_reading before = make_entry(1, 7, 40);
    before.endpoints.front().is_draining = true;
    before.evacuated_domains = {"d"};
    state.apply(before, start, start);
    SUBCASE("an older entry isn't used for the restoring time")
    {
        state.apply(make_entry(2, 7, 30), start + 1s, start + 1s);
        CHECK(state.endpoints().at("a").is_draining);
        state.apply(make_entry(2, 7, 30), start + 6s, start + 6s);
        CHECK_FALSE(state.endpoints().at("a").is_draining);
    }
    SUBCASE("nor one of a former incarnation")
    {
        state.apply(make_entry(2, 6, 90), start + 1s, start + 1s);
        CHECK(state.endpoints().at("a").started_ms == 7);
    }
    SUBCASE("a newer entry is")
    {
        state.apply(make_entry(2, 7, 41), start + 1s, start + 1s);
        CHECK_FALSE(state.endpoints().at("a").is_draining);
        state.apply(make_entry(2, 8, 1), start + 2s, start + 2s);
        CHECK(state.endpoints().at("a").started_ms == 8);
    }
    SUBCASE("a removed endpoint stays removed until it is written again")
    {
        published_reading without = make_endpoints({}, 51);
        without.position.era = 1;
        state.apply(without, start + 1s, start + 1s);
        state.apply(make_entry(2, 7, 40), start + 2s, start + 2s);
        CHECK(state.endpoints().empty());
        state.apply(make_entry(2, 7, 41), start + 3s, start + 3s);
        CHECK(state.endpoints().size() == 1);
    }
    SUBCASE("an endpoint that it lacks is kept for the settling time")
    {
        state.apply(make_entry(1, 7, 41), start, start); // not draining
        published_reading without = make_endpoints({}, 20);
        without.position.era = 2;
        state.apply(without, start + 1s, start + 1s);
        CHECK(state.endpoints().contains("a"));
        state.confirm(start + 3s, start + 3s);
        CHECK(state.endpoints().empty());
    }
    SUBCASE("an evacuation that it lacks is kept for the restoring time")
    {
        state.apply(make_entry(2, 7, 41), start + 1s, start + 1s);
        CHECK(state.is_evacuated("d"));
        CHECK_FALSE(state.confirm(start + 5s, start + 5s).is_configuration_changed);
        CHECK(state.confirm(start + 6s, start + 6s).is_configuration_changed);
        CHECK_FALSE(state.is_evacuated("d"));
    }
    SUBCASE("an evacuation that is written again is kept for longer")
    {
        published_reading again = make_entry(2, 7, 41);
        again.evacuated_domains = {"d"};
        state.apply(again, start + 1s, start + 1s);
        CHECK_FALSE(state.confirm(start + 6s, start + 6s).is_configuration_changed);
        CHECK(state.is_evacuated("d"));
    }
}

TEST_CASE("an endpoint missing from a reading is removed")
{
    published_state state{{}};
    state.apply(make_endpoints({"a", "b"}, 1), start, start);
    const auto change = state.apply(make_endpoints({"b"}, 2), start + 1s, start + 1s);
    CHECK(change.removed == std::vector<std::string>{"a"});
    CHECK(state.endpoints().size() == 1);
}

TEST_CASE("endpoints missing after an outage of the source are kept for the settling time")
{
    published_state state{{.settling_time = 2'500ms}};
    state.apply(make_endpoints({"a", "b"}, 1), start, start);
    state.on_failure();
    state.apply(make_endpoints({"b"}, 2), start + 5s, start + 5s);
    CHECK(state.endpoints().contains("a"));
    state.apply(make_endpoints({"b"}, 3), start + 8s, start + 8s);
    CHECK_FALSE(state.endpoints().contains("a"));
}

TEST_CASE("a draining endpoint is not kept after an outage of the source")
{
    published_state state{{}};
    auto reading = make_endpoints({"a"}, 1);
    reading.endpoints.front().is_draining = true;
    state.apply(reading, start, start);
    state.on_failure();
    state.apply(make_endpoints({}, 2), start + 5s, start + 5s);
    CHECK(state.endpoints().empty());
}

TEST_CASE("confirming the held state extends the key lease and changes nothing else")
{
    published_state state{{.key_lease = 4s}};
    state.apply(make_configuration(1, 1), start, start);
    const auto change = state.confirm(start + 3s, start + 3s);
    CHECK_FALSE(change.is_configuration_changed);
    CHECK(change.removed.empty());
    CHECK(state.may_accept_keys(start + 6s));
    state.confirm(start + 1s, start + 6s); // a peer host's word may be older
    CHECK(state.may_accept_keys(start + 6s));
    CHECK_FALSE(state.may_accept_keys(start + 7s));
}

TEST_CASE("a confirmation removes endpoints that were kept after an outage")
{
    published_state state{{.settling_time = 2'500ms}};
    state.apply(make_endpoints({"a", "b"}, 1), start, start);
    state.on_failure();
    state.confirm(start + 5s, start + 5s);
    state.apply(make_endpoints({"b"}, 2), start + 6s, start + 6s);
    CHECK(state.confirm(start + 7s, start + 7s).removed.empty());
    CHECK(state.endpoints().contains("a"));
    CHECK(state.confirm(start + 8s, start + 8s).removed == std::vector<std::string>{"a"});
    CHECK(state.endpoints().size() == 1);
}
