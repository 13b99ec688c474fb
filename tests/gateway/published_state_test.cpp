#include "gateway/configuration/published_state.h"

#include <chrono> // seconds
#include <memory> // make_shared

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

published_reading control(std::uint64_t version, std::uint64_t revision)
{
    auto published = std::make_shared<publication>();
    published->version = version;
    published_reading reading;
    reading.published = published;
    reading.revision = revision;
    return reading;
}

published_reading endpoints(const std::vector<std::string>& ids, std::uint64_t revision)
{
    published_reading reading;
    reading.revision = revision;
    for (const std::string& id : ids) {
        endpoint_entry entry;
        entry.id = id;
        reading.endpoints.push_back(entry);
    }
    return reading;
}

} // namespace

TEST_CASE("keys are honoured only for a lease after the last proof")
{
    published_state state{{.key_lease = 4s}};
    CHECK_FALSE(state.may_honour_keys(start));
    state.apply(control(1, 1), start, start);
    CHECK(state.may_honour_keys(start + 3s));
    CHECK_FALSE(state.may_honour_keys(start + 4s));
}

TEST_CASE("a reading that another host relays proves no more than its age allows")
{
    published_state state{{.key_lease = 4s}};
    state.apply(control(1, 1), start, start);
    state.apply(control(1, 1), start - 2s, start); // older than what is known
    CHECK(state.may_honour_keys(start + 3s));
    state.apply(control(1, 1), start + 1s, start);
    CHECK(state.may_honour_keys(start + 4s));
    CHECK_FALSE(state.may_honour_keys(start + 5s));
}

TEST_CASE("neither the revision nor the version goes down")
{
    published_state state{{}};
    state.apply(control(5, 50), start, start);
    SUBCASE("an older revision")
    {
        CHECK_FALSE(state.apply(control(6, 49), start + 10s, start).is_newer);
    }
    SUBCASE("an older version at a newer revision")
    {
        CHECK_FALSE(state.apply(control(4, 51), start + 10s, start).is_newer);
    }
    CHECK(state.published()->version == 5);
    CHECK_FALSE(state.may_honour_keys(start + 10s));
}

TEST_CASE("an endpoint that is missing is gone")
{
    published_state state{{}};
    state.apply(endpoints({"a", "b"}, 1), start, start);
    const auto change = state.apply(endpoints({"b"}, 2), start + 1s, start + 1s);
    CHECK(change.removed == std::vector<std::string>{"a"});
    CHECK(state.endpoints().size() == 1);
}

TEST_CASE("endpoints that lapsed during an outage are kept until it has settled")
{
    published_state state{{.settling_time = 2'500ms}};
    state.apply(endpoints({"a", "b"}, 1), start, start);
    state.on_failure();
    state.apply(endpoints({"b"}, 2), start + 5s, start + 5s);
    CHECK(state.endpoints().contains("a"));
    state.apply(endpoints({"b"}, 3), start + 8s, start + 8s);
    CHECK_FALSE(state.endpoints().contains("a"));
}

TEST_CASE("a draining endpoint isn't kept over an outage")
{
    published_state state{{}};
    auto reading = endpoints({"a"}, 1);
    reading.endpoints.front().is_draining = true;
    state.apply(reading, start, start);
    state.on_failure();
    state.apply(endpoints({}, 2), start + 5s, start + 5s);
    CHECK(state.endpoints().empty());
}
