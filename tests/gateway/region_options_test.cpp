#include "gateway/serving/region_options.h"

#include <chrono> // seconds
#include <string> // string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

endpoint_entry make_entry(const std::string& id, const std::string& service,
                          const std::string& failure_domain, unsigned slots)
{
    endpoint_entry entry;
    entry.id = id;
    entry.service = service;
    entry.failure_domain = failure_domain;
    entry.slots = slots;
    return entry;
}

} // namespace

TEST_CASE("the capacity of a region is the slots of its endpoints that get requests")
{
    gateway_settings settings;
    settings.regions = {{"a-1", "a"}, {"a-2", "a"}, {"b-1", "b"}};
    published_reading reading;
    reading.position.revision = 1;
    reading.evacuated_domains = {"a-2"};
    reading.endpoints = {make_entry("i-1", "s", "a-1", 16), make_entry("i-2", "s", "a-1", 8),
                         make_entry("i-3", "s", "a-2", 4),  make_entry("i-4", "s", "b-1", 2),
                         make_entry("i-5", "s", "b-1", 64), make_entry("i-6", "t", "b-1", 1)};
    reading.endpoints[4].is_draining = true;
    published_state state{{}};
    state.apply(reading, start, start);
    const service_capacities capacities = to_capacities(state, settings);
    CHECK(capacities == service_capacities{{"s", {{"a", 24}, {"b", 2}}}, {"t", {{"b", 1}}}});
}

TEST_CASE("a request's data may go where both its route and its organisation allow")
{
    route matched;
    organisation owner;
    CHECK(allows_region(matched, nullptr, "a"));
    CHECK(allows_region(matched, &owner, "a"));
    matched.home_regions = {"a", "b"};
    CHECK(allows_region(matched, &owner, "a"));
    CHECK_FALSE(allows_region(matched, nullptr, "c"));
    owner.home_regions = {"b", "c"};
    CHECK_FALSE(allows_region(matched, &owner, "a"));
    CHECK(allows_region(matched, &owner, "b"));
    CHECK_FALSE(allows_region(matched, &owner, "c"));
}
