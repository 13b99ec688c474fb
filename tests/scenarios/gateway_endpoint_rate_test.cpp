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

// guards against LIMIT: an endpoint that names a rate got far more requests from the hosts together
TEST_CASE("two gateways keep to the rate that an endpoint names, together")
{
    constexpr auto contact_time = 6s;
    constexpr auto window = 4s;
    constexpr std::size_t limit_per_s = 4;
    constexpr std::size_t allowed = limit_per_s * 4 * 3 / 2 + 5; // in a window
    // by to_rate_share(): the rate and a request for each host with a share; requests arrive up to
    // half a second closer together than they were sent
    constexpr std::size_t guaranteed = limit_per_s * 9 / 2 + 2;
    constexpr auto interval = 25ms; // of requests, at each host in turn
    gateway_pair gateways{{"a", "a"}};
    platform_world& world = gateways.world();
    endpoint_standin& limited = world.add_endpoint("i-1", "s", "x-1", free_address());
    gateways.wait_until_ready();

    std::size_t sent = 0;
    time_point next = boot_clock::now();
    std::vector<std::shared_ptr<world_answer>> answers;
    const auto send_until = [&](const std::function<bool()>& is_done) {
        CHECK(world.run_until([&] {
            const time_point now = boot_clock::now();
            if (now >= next) {
                next = now + interval;
                answers.push_back(
                    gateways.ask(sent % 2, "/once/x", fmt::format("{:016x}", sent + 1)));
                ++sent;
            }
            return is_done();
        }));
    };
    // more requests arrive before it names a rate; a second endpoint takes what it doesn't
    send_until([&] { return limited.arrivals().size() > 2 * allowed; });
    endpoint_standin& other = world.add_endpoint("i-2", "s", "x-2", free_address());
    const std::size_t before = limited.arrivals().size();
    limited.set_limit(limit_per_s);
    send_until([&] { return limited.arrivals().size() > before; });
    const time_point named = boot_clock::now();
    send_until([&] { return boot_clock::now() >= named + contact_time + 3 * window; });

    CHECK(world.run_until([&] {
        return std::ranges::all_of(answers, [](const auto& answer) { return answer->has_ended; });
    }));
    const std::size_t most = most_arrivals(limited.arrivals(), named + contact_time, window);
    MESSAGE(fmt::format("sent {}, before the naming {}, after it {}, most in 4 s {}, other {}",
                        sent, before, limited.arrivals().size() - before, most,
                        other.arrivals().size()));
    CHECK(most <= allowed);
    CHECK(most <= guaranteed);
    // the endpoint isn't left alone either
    CHECK(most > 0);
}
