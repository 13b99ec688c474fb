#include "process/routing/target_scheduler.h"

#include <chrono>   // seconds
#include <cstdint>  // uint64_t, uint32_t
#include <memory>   // make_unique
#include <optional> // optional
#include <vector>   // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace std::chrono_literals;

namespace {

endpoint make_endpoint(const std::string& name, std::uint32_t slots)
{
    endpoint result;
    result.name = name;
    result.slots = slots;
    return result;
}

scheduled_request make_request(std::uint64_t id, time_point deadline, bool is_interactive = true)
{
    scheduled_request result;
    result.queued.id = id;
    result.queued.organisation = "volunteers";
    result.queued.tokens = 100;
    result.queued.is_interactive = is_interactive;
    result.queued.deadline = deadline;
    result.response_deadline = deadline;
    return result;
}

// completes one request of 100 tokens in 10 s at each of the two endpoints
void learn_speed(target_scheduler& scheduler, time_point now)
{
    for (const std::uint64_t id : {101, 102}) {
        scheduler.push(make_request(id, now + 60s), now);
    }
    for (const schedule_result::assignment& each : scheduler.schedule(now).started) {
        scheduler.on_success(each.endpoint, 10s, 100, now);
    }
}

// for 100 tokens, as-1 takes 1 s to the first token and 2 s to the end; as-2 takes five times as
// long
void learn_two_speeds(target_scheduler& scheduler, time_point now)
{
    for (int i = 0; i < 20; ++i) {
        // fewer samples of the slow endpoint, so that the mean is near the fast one
        const bool is_slow = i == 0;
        scheduler.on_dispatch(is_slow ? 1 : 0, now);
        scheduler.on_first_token(is_slow ? 1 : 0, is_slow ? 5s : 1s, 100, now);
        scheduler.on_success(is_slow ? 1 : 0, is_slow ? 10s : 2s, 100, now);
    }
}

// returns a scheduler that has learned two speeds at `now`
target_scheduler make_scheduler(const std::vector<endpoint>& listed, time_point now)
{
    target_scheduler result{std::make_unique<weigh_policy>(), 1};
    result.assign(listed, now);
    learn_two_speeds(result, now);
    return result;
}

// returns how long after `now` the waiting request 2 is started; empty if not within `limit`
std::optional<duration> wait_until_started(target_scheduler& scheduler, time_point now,
                                           duration limit)
{
    for (duration waited{0}; waited <= limit; waited += 100ms) {
        for (const schedule_result::assignment& each : scheduler.tick(now + waited).started) {
            CHECK(each.id == 2);
            return waited;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("a fast endpoint is full and a slow one is idle")
{
    const time_point start{};
    const std::vector<endpoint> listed{make_endpoint("as-1", 1), make_endpoint("as-2", 1)};
    target_scheduler scheduler = make_scheduler(listed, start);
    const time_point now = start + 1s;
    scheduler.push(make_request(1, now + 1h), now);
    const schedule_result first = scheduler.schedule(now);
    REQUIRE(first.started.size() == 1);
    REQUIRE(first.started[0].endpoint == 0);

    SUBCASE("a request waits for the fast endpoint")
    {
        scheduler.push(make_request(2, now + 20s), now);
        CHECK_FALSE(wait_until_started(scheduler, now, 1s));
        scheduler.on_success(0, 1s, 100, now + 1s);
        const schedule_result next = scheduler.schedule(now + 1s);
        REQUIRE(next.started.size() == 1);
        CHECK(next.started[0].endpoint == 0);
    }
    SUBCASE("it uses the slow endpoint once the fast one has ended no request for about the slow "
            "one's time to the first token")
    {
        scheduler.push(make_request(2, now + 20s), now);
        const auto waited = wait_until_started(scheduler, now, 20s);
        // time to the first token at the slow endpoint
        CHECK(waited.value_or(1h) <= 5s);
    }
    SUBCASE("it uses the slow endpoint at once if the fast one is leaving")
    {
        std::vector<endpoint> leaving = listed;
        leaving[0].is_leaving = true;
        scheduler.assign(leaving, now);
        scheduler.push(make_request(2, now + 20s), now);
        CHECK(wait_until_started(scheduler, now, 20s).value_or(1h) == 0s);
    }
    SUBCASE("a batch request too uses the slow endpoint after a while, though only the fast one "
            "meets its deadline with the margin")
    {
        scheduler.push(make_request(2, now + 15s, false), now);
        const auto waited = wait_until_started(scheduler, now, 15s);
        CHECK(waited.value_or(1h) <= 5s);
    }
}

TEST_CASE("a request does not wait while a fast endpoint has a free slot")
{
    const time_point start{};
    const std::vector<endpoint> listed{make_endpoint("as-1", 8), make_endpoint("as-2", 8)};
    target_scheduler scheduler = make_scheduler(listed, start);
    const time_point now = start + 1s;
    // above its mean load, and far from full
    scheduler.on_dispatch(0, now);
    scheduler.on_dispatch(0, now);
    scheduler.push(make_request(2, now + 60s), now);
    CHECK(wait_until_started(scheduler, now, 60s).value_or(1h) <= 1s);
}

TEST_CASE("a request that failed at the only fast endpoint uses a slow one at once")
{
    const time_point start{};
    const std::vector<endpoint> listed{make_endpoint("as-1", 1), make_endpoint("as-2", 1)};
    target_scheduler scheduler = make_scheduler(listed, start);
    const time_point now = start + 1s;
    scheduled_request retried = make_request(2, now + 60s);
    retried.excluded = {0};
    scheduler.push(retried, now);
    CHECK(wait_until_started(scheduler, now, 60s).value_or(1h) == 0s);
}

TEST_CASE("target scheduler")
{
    const time_point start{};
    const time_point later = start + 60s;
    target_scheduler scheduler{std::make_unique<weigh_policy>(), 1};
    const std::vector<endpoint> listed{make_endpoint("as-1", 1), make_endpoint("as-2", 1)};
    scheduler.assign(listed, start);

    SUBCASE("starts no more requests than there are free slots, and the next when one ends")
    {
        for (const std::uint64_t id : {1, 2, 3}) {
            CHECK(scheduler.push(make_request(id, later), start) == push_outcome::queued);
        }
        const schedule_result first = scheduler.schedule(start);
        REQUIRE(first.started.size() == 2);
        CHECK(first.started[0].endpoint != first.started[1].endpoint);
        CHECK(scheduler.queued_count() == 1);
        CHECK(scheduler.schedule(start).started.empty());
        scheduler.on_success(first.started[0].endpoint, 1s, 100, start + 1s);
        const schedule_result second = scheduler.schedule(start + 1s);
        REQUIRE(second.started.size() == 1);
        CHECK(second.started[0].id == 3);
    }
    SUBCASE("a request does not go to an endpoint that had it")
    {
        scheduled_request retried = make_request(1, later);
        retried.excluded = {0};
        scheduler.push(retried, start);
        const schedule_result step = scheduler.schedule(start);
        REQUIRE(step.started.size() == 1);
        CHECK(step.started[0].endpoint == 1);
    }
    SUBCASE("a request that every endpoint already had does not block the others")
    {
        scheduled_request retried = make_request(1, later);
        retried.excluded = {0, 1};
        scheduler.push(retried, start);
        scheduler.push(make_request(2, later), start);
        const schedule_result step = scheduler.schedule(start);
        CHECK(step.unservable == std::vector<std::uint64_t>{1});
        REQUIRE(step.started.size() == 1);
        CHECK(step.started[0].id == 2);
    }
    SUBCASE("a request that expires while it waits is reported once")
    {
        for (const std::uint64_t id : {1, 2, 3}) {
            scheduler.push(make_request(id, start + 2s), start);
        }
        scheduler.schedule(start);
        const schedule_result step = scheduler.tick(start + 3s);
        CHECK(step.expired == std::vector<std::uint64_t>{3});
        CHECK(scheduler.tick(start + 4s).expired.empty());
    }
    SUBCASE("an expected wait beyond the deadline is returned, so that the request can be refused "
            "early")
    {
        learn_speed(scheduler, start);
        for (std::uint64_t id = 10; id < 20; ++id) {
            scheduler.push(make_request(id, later), start);
        }
        const auto wait = scheduler.check_expected_wait(make_request(2, start + 1s), start);
        REQUIRE(wait);
        CHECK(*wait > 1s);
        CHECK_FALSE(scheduler.check_expected_wait(make_request(2, later + 1h), start));
    }
    SUBCASE("interactive requests do not wait for batch ones")
    {
        learn_speed(scheduler, start);
        scheduler.push(make_request(1, later, false), start);
        CHECK(scheduler.expected_wait(true) == duration::zero());
        CHECK(scheduler.expected_wait(false) > duration::zero());
    }
    SUBCASE("without a live endpoint the queue is emptied")
    {
        scheduler.push(make_request(1, later), start);
        scheduler.push(make_request(2, later), start);
        scheduler.assign({}, start);
        CHECK(scheduler.tick(start).unservable == std::vector<std::uint64_t>{1, 2});
        CHECK(scheduler.queued_count() == 0);
    }
    SUBCASE("a removed request is not started")
    {
        scheduler.push(make_request(1, later), start);
        CHECK(scheduler.remove(1));
        CHECK_FALSE(scheduler.remove(1));
        CHECK(scheduler.schedule(start).started.empty());
    }
}
