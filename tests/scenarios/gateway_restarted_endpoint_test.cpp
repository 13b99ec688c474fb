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

namespace {

constexpr std::size_t bound = 4;  // requests in a second: 1.5 times the cold rate of 1, and 3
constexpr auto interval = 10ms;   // of requests, at each host in turn
constexpr auto down_time = 500ms; // of the endpoint

/// Two gateways of one region before one endpoint, which restarts under its id. Its entry in the
/// store stays that of its former incarnation.
class restarted_endpoint_world {
public:
    restarted_endpoint_world()
    {
        gateways.wait_until_ready();
        gateways.wait_until_met();
    }

    void send(std::size_t host)
    {
        answers.push_back(gateways.ask(host, "/once/x", fmt::format("{:016x}", ++sent)));
    }

    void run_for(duration span)
    {
        const time_point end = boot_clock::now() + span;
        CHECK(world.run_until([&] { return boot_clock::now() >= end; }));
    }

    void restart_endpoint()
    {
        restarted.set_silent(false);
        restarted.set_cold_ms(600'000);
        restarted.restart();
    }

    /// Sends requests for a time and waits for all answers. Returns the most requests that arrived
    /// in a second.
    std::size_t send_for(duration span)
    {
        const time_point started = boot_clock::now();
        time_point next = started;
        CHECK(world.run_until([&] {
            if (boot_clock::now() >= next) {
                next = boot_clock::now() + interval;
                send(sent % 2);
            }
            return boot_clock::now() >= started + span;
        }));
        CHECK(world.run_until([&] {
            return std::ranges::all_of(answers,
                                       [](const auto& answer) { return answer->has_ended; });
        }));
        const std::size_t most = most_arrivals(restarted.arrivals(), started, 1s);
        MESSAGE(fmt::format("sent {}, most in a second {}", sent, most));
        return most;
    }

    gateway_pair gateways{{"a", "a"}};
    platform_world& world = gateways.world();
    endpoint_standin& restarted = world.add_endpoint("i-1", "s", "x-1", free_address());
    std::size_t sent = 0;
    std::vector<std::shared_ptr<world_answer>> answers;
};

} // namespace

// guards against FAILBACK: an endpoint that had started again under its id got a warm one's requests
// until its new entry was known, also from hosts that had seen its end
TEST_CASE("an endpoint that has started again gets few requests before its new entry is known")
{
    constexpr auto unknown_time = 1'500ms; // from its restart to its new entry
    restarted_endpoint_world with;
    // one host has a request open there when it ends, the other one has never sent it any
    with.restarted.set_silent(true);
    CHECK(with.world.run_until([&] {
        if (with.answers.empty() || with.answers.back()->has_ended) {
            with.send(0);
        }
        return !with.restarted.arrivals().empty();
    }));
    with.restarted.crash();
    with.run_for(down_time);
    with.restart_endpoint();
    const std::size_t most = with.send_for(unknown_time);
    INFO(with.gateways.logs());
    CHECK(most <= bound);
    CHECK(most > 0);
}

// guards against FAILBACK: hosts that had started just after the endpoint took its former entry for
// the proof that it was warm
TEST_CASE("an endpoint that has started again gets few requests from hosts that start after it")
{
    constexpr auto unknown_time = 3s; // from the start of the hosts to the endpoint's new entry
    restarted_endpoint_world with;
    with.restarted.crash();
    with.run_for(down_time);
    with.restart_endpoint();
    with.gateways.restart_both();
    with.gateways.wait_until_ready();
    const std::size_t most = with.send_for(unknown_time);
    INFO(with.gateways.logs());
    CHECK(most <= bound);
    CHECK(most > 0);
}

// guards against FAILBACK: an endpoint that had started again under its id while no host had a
// connection to it got a warm one's requests from all hosts until its new entry was known
TEST_CASE("regression: an endpoint to which nobody has a connection gets too many requests after a "
          "restart")
{
    constexpr auto quiet_time = 4s;        // longer than a contact is held to last
    constexpr auto unknown_time = 1'500ms; // from its restart to its new entry
    restarted_endpoint_world with;
    with.run_for(quiet_time);
    with.restarted.crash();
    with.run_for(down_time);
    with.restart_endpoint();
    const std::size_t most = with.send_for(unknown_time);
    INFO(with.gateways.logs());
    CHECK(most <= bound);
    CHECK(most > 0);
}
