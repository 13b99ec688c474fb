#include "process/routing/endpoint_choice.h"
#include "support/seeded_property.h"

#include <chrono>  // seconds, milliseconds
#include <memory>  // make_unique, unique_ptr
#include <set>     // set
#include <string>  // string, to_string
#include <variant> // get, get_if
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1000s};

endpoint make_endpoint(const std::string& name, std::uint32_t slots = 8)
{
    endpoint result;
    result.name = name;
    result.slots = slots;
    return result;
}

std::vector<endpoint> make_endpoints(std::size_t count, std::uint32_t slots = 8)
{
    std::vector<endpoint> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back(make_endpoint("as-" + std::to_string(i), slots));
    }
    return result;
}

endpoint_table make_table(std::size_t count, std::uint32_t slots = 8)
{
    endpoint_table table;
    table.assign(make_endpoints(count, slots), start);
    return table;
}

std::size_t index_of(const endpoint_choice& choice)
{
    const auto* index = std::get_if<std::size_t>(&choice);
    return index == nullptr ? endpoint_table::no_index : *index;
}

void dispatch(endpoint_table& table, std::size_t index, int times, time_point now)
{
    for (int i = 0; i < times; ++i) {
        table.on_dispatch(index, now);
    }
}

/// Fails requests at `index` until its breaker opens.
void open_breaker(endpoint_table& table, std::size_t index, time_point now, random_source& random)
{
    for (int i = 0; i < 3; ++i) {
        table.on_dispatch(index, now);
        table.on_failure(index, now, random);
    }
}

/// Returns the distinct indices that a policy chooses in `times` choices.
std::set<std::size_t> chosen(const request_view& request, const endpoint_table& table,
                             endpoint_policy& policy, random_source& random, int times = 200)
{
    std::set<std::size_t> indices;
    for (int i = 0; i < times; ++i) {
        indices.insert(index_of(choose(request, table, policy, random)));
    }
    return indices;
}

std::vector<std::unique_ptr<endpoint_policy>> make_policies()
{
    std::vector<std::unique_ptr<endpoint_policy>> policies;
    policies.push_back(std::make_unique<random_policy>());
    policies.push_back(std::make_unique<round_robin_policy>());
    policies.push_back(std::make_unique<least_outstanding_policy>());
    policies.push_back(std::make_unique<power_of_two_policy>());
    policies.push_back(std::make_unique<weigh_policy>());
    return policies;
}

} // namespace

TEST_CASE("estimated load")
{
    endpoint_table table = make_table(1);

    SUBCASE("own dispatches since the report are added, own ends are subtracted")
    {
        table.on_dispatch(0, start);
        table.on_report(0, {.running = 5, .waiting = 1, .slots = 8, .age = 0ms}, start + 100ms);
        CHECK(table.estimated_load(0) == 6);
        table.on_dispatch(0, start + 200ms);
        CHECK(table.estimated_load(0) == 7);
        table.on_success(0, 100ms, 10, start + 300ms);
        CHECK(table.estimated_load(0) == 6);
    }
    SUBCASE("a dispatch after the time that a report describes stays counted")
    {
        table.on_dispatch(0, start + 100ms);
        table.on_report(0, {.running = 5, .waiting = 0, .slots = 8, .age = 150ms}, start + 200ms);
        CHECK(table.estimated_load(0) == 6);
        table.on_report(0, {.running = 5, .waiting = 0, .slots = 8, .age = 50ms}, start + 200ms);
        CHECK(table.estimated_load(0) == 5);
    }
    SUBCASE("a report older than the one in use is ignored")
    {
        table.on_report(0, {.running = 5, .waiting = 0, .slots = 8, .age = 0ms}, start + 100ms);
        table.on_report(0, {.running = 1, .waiting = 0, .slots = 8, .age = 90ms}, start + 110ms);
        CHECK(table.estimated_load(0) == 5);
    }
    SUBCASE("without a fresh report, other hosts are assumed to send as many requests")
    {
        table.set_live_hosts(3, start);
        table.on_dispatch(0, start);
        CHECK(table.estimated_load(0) == 3);
        table.on_report(0, {.running = 1, .waiting = 0, .slots = 8, .age = 0ms}, start);
        CHECK(table.estimated_load(0) == 1);
        table.refresh(start + 6s);
        CHECK(table.estimated_load(0) == 3);
    }
}

TEST_CASE("free slots")
{
    endpoint_table table = make_table(1);

    SUBCASE("one host uses all slots and no more")
    {
        dispatch(table, 0, 7, start);
        CHECK(table.has_free_slot(0));
        table.on_dispatch(0, start);
        CHECK_FALSE(table.has_free_slot(0));
        table.on_success(0, 1s, 10, start);
        CHECK(table.has_free_slot(0));
    }
    SUBCASE("each of two hosts uses half of the slots")
    {
        table.set_live_hosts(2, start);
        dispatch(table, 0, 3, start);
        CHECK(table.has_free_slot(0));
        table.on_dispatch(0, start);
        CHECK_FALSE(table.has_free_slot(0));
    }
    SUBCASE("a host exceeds its fair share by its part of the free slots that the report shows")
    {
        table.set_live_hosts(2, start);
        dispatch(table, 0, 4, start);
        table.on_report(0, {.running = 4, .waiting = 0, .slots = 8, .age = 0ms}, start);
        CHECK(table.has_free_slot(0));
        dispatch(table, 0, 2, start + 1ms);
        CHECK_FALSE(table.has_free_slot(0));
    }
    SUBCASE("the fair share is available however high the reported load")
    {
        table.set_live_hosts(2, start);
        table.on_report(0, {.running = 8, .waiting = 3, .slots = 8, .age = 0ms}, start);
        CHECK(table.has_free_slot(0));
    }
}

TEST_CASE("circuit breaker")
{
    random_source random{1};
    endpoint_table table = make_table(1);
    random_policy policy;

    SUBCASE("opens at the third failure in a row, not at an earlier one")
    {
        for (int i = 0; i < 2; ++i) {
            table.on_dispatch(0, start);
            table.on_failure(0, start, random);
        }
        CHECK(table.state(0).breaker == breaker_state::closed);
        table.on_dispatch(0, start);
        table.on_success(0, 1s, 10, start);
        open_breaker(table, 0, start, random);
        CHECK(table.state(0).breaker == breaker_state::open);
        CHECK_FALSE(table.is_available(0));
    }
    SUBCASE("after the backoff one probe at a time, and only an idempotent request")
    {
        open_breaker(table, 0, start, random);
        table.refresh(start + 1s);
        REQUIRE(table.state(0).breaker == breaker_state::half_open);
        CHECK(index_of(choose({.is_idempotent = false}, table, policy, random)) ==
              endpoint_table::no_index);
        CHECK(index_of(choose({}, table, policy, random)) == 0);
        table.on_dispatch(0, start + 1s);
        CHECK_FALSE(table.has_free_slot(0));
        CHECK(choose({}, table, policy, random, choice_pool::available) ==
              endpoint_choice{no_endpoint_reason::none_available});
    }
    SUBCASE("a probe that succeeds closes it, one that fails opens it for longer")
    {
        open_breaker(table, 0, start, random);
        table.refresh(start + 1s);
        table.on_dispatch(0, start + 1s);
        table.on_failure(0, start + 1s, random);
        CHECK(table.state(0).breaker == breaker_state::open);
        table.refresh(start + 1s + 999ms); // at least half of twice the first backoff
        CHECK(table.state(0).breaker == breaker_state::open);
        table.refresh(start + 3s);
        REQUIRE(table.state(0).breaker == breaker_state::half_open);
        table.on_dispatch(0, start + 3s);
        table.on_success(0, 1s, 10, start + 3s);
        CHECK(table.state(0).breaker == breaker_state::closed);
    }
    SUBCASE("a report of a half-open endpoint closes it, the next failure opens it for longer")
    {
        open_breaker(table, 0, start, random);
        CHECK(table.live_count() == 0);
        table.on_report(0, {.running = 0, .waiting = 0, .slots = 8, .age = 0ms}, start);
        CHECK(table.state(0).breaker == breaker_state::open);
        table.refresh(start + 1s);
        table.on_report(0, {.running = 0, .waiting = 0, .slots = 8, .age = 900ms}, start + 1s);
        CHECK(table.live_count() == 0); // describes a time before the backoff ended
        table.on_report(0, {.running = 0, .waiting = 0, .slots = 8, .age = 0ms}, start + 1s);
        CHECK(table.live_count() == 1);
        table.on_dispatch(0, start + 1s);
        table.on_failure(0, start + 1s, random);
        CHECK(table.state(0).breaker == breaker_state::open);
        table.refresh(start + 1s + 999ms);
        CHECK(table.state(0).breaker == breaker_state::open);
    }
    SUBCASE("after a cancelled probe the next one is admitted")
    {
        open_breaker(table, 0, start, random);
        table.refresh(start + 1s);
        table.on_dispatch(0, start + 1s);
        table.on_cancelled(0, start + 1s);
        CHECK(table.has_free_slot(0));
    }
}

TEST_CASE("slow start")
{
    random_source random{2};
    endpoint_table table = make_table(1);

    SUBCASE("a first list starts at full slots")
    {
        CHECK(table.usable_slots(0) == 8);
    }
    SUBCASE("after its breaker closes an endpoint regains its slots over ten seconds")
    {
        open_breaker(table, 0, start, random);
        table.refresh(start + 1s);
        table.on_dispatch(0, start + 1s);
        table.on_success(0, 1s, 10, start + 2s);
        CHECK(table.usable_slots(0) == 1);
        table.refresh(start + 7s);
        CHECK(table.usable_slots(0) == 4);
        table.refresh(start + 12s);
        CHECK(table.usable_slots(0) == 8);
    }
    SUBCASE("an added endpoint and one that is no longer leaving start slowly")
    {
        auto endpoints = make_endpoints(2);
        endpoints[0].is_leaving = true;
        table.assign(endpoints, start + 1s);
        CHECK(table.usable_slots(1) == 1);
        endpoints[0].is_leaving = false;
        table.assign(endpoints, start + 2s);
        CHECK(table.usable_slots(0) == 1);
    }
}

TEST_CASE("list of endpoints")
{
    endpoint_table table = make_table(3);
    random_source random{3};
    weigh_policy policy;

    SUBCASE("a leaving endpoint gets no requests, with immediate effect")
    {
        auto endpoints = make_endpoints(3);
        endpoints[1].is_leaving = true;
        table.assign(endpoints, start);
        CHECK(chosen({}, table, policy, random) == std::set<std::size_t>{0, 2});
    }
    SUBCASE("an endpoint that is no longer listed keeps its index while it runs a request")
    {
        table.on_dispatch(2, start);
        auto endpoints = make_endpoints(2);
        endpoints.push_back(make_endpoint("new"));
        table.assign(endpoints, start);
        CHECK(table.find("new") == 3);
        CHECK_FALSE(table.is_available(2));
        table.on_success(2, 1s, 10, start + 1s);
        endpoints.push_back(make_endpoint("newer"));
        table.assign(endpoints, start + 1s);
        CHECK(table.find("newer") == 2);
    }
    SUBCASE("only prefixes of a removed endpoint change their preferred endpoint")
    {
        std::vector<std::size_t> before;
        for (std::uint64_t prefix = 1; prefix <= 300; ++prefix) {
            before.push_back(table.preferred(prefix)[0]);
        }
        table.assign(make_endpoints(2), start);
        for (std::uint64_t prefix = 1; prefix <= 300; ++prefix) {
            const std::size_t previous = before[prefix - 1];
            CHECK((previous == 2 || table.preferred(prefix)[0] == previous));
        }
    }
}

TEST_CASE("reasons without an endpoint")
{
    random_source random{4};
    random_policy policy;

    SUBCASE("none listed")
    {
        const endpoint_table table;
        CHECK(choose({}, table, policy, random) ==
              endpoint_choice{no_endpoint_reason::none_listed});
    }
    SUBCASE("all excluded")
    {
        const endpoint_table table = make_table(1);
        const std::vector<std::size_t> excluded{0};
        CHECK(choose({.excluded = excluded}, table, policy, random) ==
              endpoint_choice{no_endpoint_reason::none_available});
    }
    SUBCASE("no free slot; the pool of all available endpoints still gives one")
    {
        endpoint_table table = make_table(1, 1);
        table.on_dispatch(0, start);
        CHECK(choose({}, table, policy, random) ==
              endpoint_choice{no_endpoint_reason::none_with_free_slot});
        CHECK(choose({}, table, policy, random, choice_pool::available) == endpoint_choice{0UL});
    }
}

TEST_CASE("simple policies")
{
    random_source random{5};

    SUBCASE("round robin picks the endpoints in turn")
    {
        const endpoint_table table = make_table(3);
        round_robin_policy policy;
        for (std::size_t i = 0; i < 6; ++i) {
            CHECK(index_of(choose({}, table, policy, random)) == i % 3);
        }
    }
    SUBCASE("least outstanding picks the endpoint with the fewest requests")
    {
        endpoint_table table = make_table(5);
        for (std::size_t i = 0; i < 5; ++i) {
            dispatch(table, i, i == 3 ? 1 : 4, start);
        }
        least_outstanding_policy policy;
        CHECK(chosen({}, table, policy, random) == std::set<std::size_t>{3});
    }
    SUBCASE("power of two never picks the endpoint with the most requests and does not always pick "
            "the one with the fewest")
    {
        endpoint_table table = make_table(3);
        dispatch(table, 1, 1, start);
        dispatch(table, 2, 2, start);
        power_of_two_policy policy;
        CHECK(chosen({}, table, policy, random) == std::set<std::size_t>{0, 1});
    }
}

TEST_CASE("weigh policy")
{
    random_source random{6};
    endpoint_table table = make_table(2);
    weigh_policy policy{{.samples = 16}};
    table.on_first_token(0, 100ms, 100, start);
    table.on_first_token(1, 300ms, 100, start);
    const request_view batch_request{.is_interactive = false}; // accepts any speed

    SUBCASE("of two endpoints that are not hot the faster wins despite its higher load")
    {
        dispatch(table, 0, 1, start);
        CHECK(chosen(batch_request, table, policy, random) == std::set<std::size_t>{0});
    }
    SUBCASE("the expected time grows with the load above its mean")
    {
        const double before = table.first_token_seconds(0, 100);
        dispatch(table, 0, 3, start);
        CHECK(table.first_token_seconds(0, 100) > 2 * before);
        CHECK(chosen(batch_request, table, policy, random) == std::set<std::size_t>{1});
    }
    SUBCASE("a slow endpoint that is not hot wins over a hot fast one")
    {
        dispatch(table, 0, 7, start);
        CHECK(chosen(batch_request, table, policy, random) == std::set<std::size_t>{1});
    }
    SUBCASE("where all are hot the least utilised wins")
    {
        table.on_report(0, {.running = 20, .waiting = 0, .slots = 8, .age = 0ms}, start);
        table.on_report(1, {.running = 10, .waiting = 0, .slots = 8, .age = 0ms}, start);
        CHECK(chosen(batch_request, table, policy, random) == std::set<std::size_t>{1});
    }
    SUBCASE("a speed without new samples decays to the mean of all")
    {
        table.on_first_token(1, 10s, 100, start);
        const double before = table.first_token_seconds(1, 100);
        for (int i = 0; i < 50; ++i) {
            table.on_first_token(0, 100ms, 100, start + 100s);
        }
        CHECK(table.first_token_seconds(1, 100) < before / 2);
    }
}

TEST_CASE("waiting for a better endpoint")
{
    random_source random{8};
    endpoint_table table = make_table(2, 1);
    weigh_policy policy;
    for (int i = 0; i < 50; ++i) {
        table.on_first_token(0, 100ms, 100, start);
        table.on_dispatch(0, start);
        table.on_success(0, 1s, 100, start);
    }
    table.on_first_token(1, 500ms, 100, start);
    table.on_dispatch(1, start);
    table.on_success(1, 20s, 100, start);
    table.on_dispatch(0, start); // the fast endpoint has no free slot
    request_view request{.prefix_hash = 0, .tokens = 100};

    SUBCASE("an interactive request does not use an endpoint much slower than the mean")
    {
        CHECK(choose(request, table, policy, random) ==
              endpoint_choice{no_endpoint_reason::none_with_free_slot});
    }
    SUBCASE("it does with a pool whose requests do not wait")
    {
        CHECK(index_of(choose(request, table, policy, random, choice_pool::available)) !=
              endpoint_table::no_index);
    }
    SUBCASE("it does if the wait for another endpoint would be longer")
    {
        request.expected_wait = 1;
        CHECK(index_of(choose(request, table, policy, random)) == 1);
    }
    SUBCASE("a batch request uses it")
    {
        request.is_interactive = false;
        CHECK(index_of(choose(request, table, policy, random)) == 1);
    }
    SUBCASE("a batch request does not if it would miss a deadline that mean speed would meet")
    {
        request.is_interactive = false;
        request.seconds_left = 10;
        CHECK(choose(request, table, policy, random) ==
              endpoint_choice{no_endpoint_reason::none_with_free_slot});
        request.seconds_left = 0.5; // mean speed would miss it as well
        CHECK(index_of(choose(request, table, policy, random)) == 1);
    }
}

TEST_CASE("prefix affinity")
{
    random_source random{7};
    endpoint_table table = make_table(6);
    weigh_policy policy;
    const std::uint64_t prefix = 77;
    const std::size_t preferred = table.preferred(prefix)[0];
    for (std::size_t i = 0; i < 6; ++i) {
        table.on_first_token(i, 100ms, 100, start);
    }

    SUBCASE("of equal endpoints the preferred one wins; without a prefix any may win")
    {
        CHECK(chosen({.prefix_hash = prefix}, table, policy, random) ==
              std::set<std::size_t>{preferred});
        CHECK(chosen({}, table, policy, random).size() == 6);
    }
    SUBCASE("above the bound on its load the second preferred endpoint is chosen")
    {
        dispatch(table, preferred, 3, start);
        const request_view batch_request{.prefix_hash = prefix, .is_interactive = false};
        CHECK(chosen(batch_request, table, policy, random) ==
              std::set<std::size_t>{table.preferred(prefix)[1]});
    }
}

TEST_CASE("no policy chooses an endpoint that must not be used")
{
    CHECK(holds_with_seed(11, [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 9);
        random_source random{*rc::gen::arbitrary<std::uint64_t>()};
        auto endpoints = make_endpoints(count, 3);
        endpoint_table table;
        table.assign(endpoints, start);
        const auto policies = make_policies();
        time_point now = start;
        std::vector<std::size_t> running;
        std::vector<std::size_t> excluded;
        const auto steps =
            *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
        for (const std::uint8_t step : steps) {
            now += 50ms * (step % 7);
            if (step % 5 == 0) {
                endpoints[step % count].is_leaving = !endpoints[step % count].is_leaving;
                table.assign(endpoints, now);
            }
            excluded.assign(step % 3 == 0 ? 1 : 0, step % count);
            table.refresh(now);
            const request_view request{
                .prefix_hash = step, .is_idempotent = step % 2 == 0, .excluded = excluded};
            const auto pool = step % 4 == 0 ? choice_pool::available : choice_pool::with_free_slot;
            const std::size_t index =
                index_of(choose(request, table, *policies[step % policies.size()], random, pool));
            if (index == endpoint_table::no_index) {
                if (!running.empty()) {
                    table.on_failure(running.back(), now, random);
                    running.pop_back();
                }
                continue;
            }
            const endpoint_state& state = table.state(index);
            RC_ASSERT(!state.is_leaving);
            RC_ASSERT(state.breaker != breaker_state::open);
            RC_ASSERT((request.is_idempotent || state.breaker == breaker_state::closed));
            RC_ASSERT((state.breaker == breaker_state::closed || table.has_free_slot(index)));
            RC_ASSERT((excluded.empty() || excluded[0] != index));
            RC_ASSERT((pool == choice_pool::available || state.in_flight < 3));
            table.on_dispatch(index, now);
            running.push_back(index);
        }
    }));
}
