#include "gateway_pair.h"
#include "process/clock.h"
#include "standins/gateway/platform_world.h"
#include "support/arrivals.h"
#include "support/free_port.h"

#include <algorithm>  // all_of
#include <chrono>     // milliseconds, seconds
#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // shared_ptr
#include <vector>     // vector

#include <doctest/doctest.h>
#include <fmt/format.h> // format

using namespace hickorykeel;
using namespace hickorykeel::standins;
using namespace hickorykeel::tests;
using namespace std::chrono_literals;

// guards against FAILBACK: an endpoint that had started again under its id got a warm one's requests
// until its new entry was known, also from hosts that had seen its end
TEST_CASE("an endpoint that has started again gets few requests before its new entry is known")
{
    constexpr std::size_t bound = 4;       // in a second: 1.5 times the cold rate of 1, and 3
    constexpr auto interval = 10ms;        // of requests, at each host in turn
    constexpr auto down_time = 500ms;      // of the endpoint
    constexpr auto unknown_time = 1'500ms; // from its restart to its new entry
    gateway_pair gateways{{"a", "a"}};
    platform_world& world = gateways.world();
    endpoint_standin& restarted = world.add_endpoint("i-1", "s", "x-1", free_address());
    gateways.wait_until_ready();
    gateways.wait_until_met();

    std::size_t sent = 0;
    std::vector<std::shared_ptr<world_answer>> answers;
    const auto send = [&](std::size_t host) {
        answers.push_back(gateways.ask(host, "/once/x", fmt::format("{:016x}", ++sent)));
    };
    const auto run_for = [&](duration span) {
        const time_point end = boot_clock::now() + span;
        CHECK(world.run_until([&] { return boot_clock::now() >= end; }));
    };
    // one host has a request open there when it ends, the other one has never sent it any
    restarted.set_silent(true);
    CHECK(world.run_until([&] {
        if (answers.empty() || answers.back()->has_ended) {
            send(0);
        }
        return !restarted.arrivals().empty();
    }));
    restarted.crash();
    run_for(down_time);
    restarted.set_silent(false);
    restarted.set_cold_ms(600'000);
    restarted.restart();
    const time_point started = boot_clock::now();
    time_point next = started;
    CHECK(world.run_until([&] {
        if (boot_clock::now() >= next) {
            next = boot_clock::now() + interval;
            send(sent % 2);
        }
        return boot_clock::now() >= started + unknown_time;
    }));
    CHECK(world.run_until([&] {
        return std::ranges::all_of(answers, [](const auto& answer) { return answer->has_ended; });
    }));
    const std::size_t most = most_arrivals(restarted.arrivals(), started, 1s);
    MESSAGE(fmt::format("sent {}, most in a second {}", sent, most));
    CHECK(most <= bound);
    CHECK(most > 0);
}
