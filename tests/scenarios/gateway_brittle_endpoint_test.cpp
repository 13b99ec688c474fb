#include "gateway_pair.h"
#include "process/clock.h"
#include "standins/gateway/brittle_endpoint.h"
#include "standins/gateway/platform_world.h"
#include "support/free_port.h"

#include <algorithm>  // all_of, count_if
#include <chrono>     // milliseconds, seconds
#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // make_unique, shared_ptr, unique_ptr
#include <string>     // string, to_string
#include <vector>     // vector

#include <doctest/doctest.h>
#include <fmt/format.h> // format

using namespace hickorykeel;
using namespace hickorykeel::standins;
using namespace hickorykeel::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto contact_time = 6s;

/// Two gateways of a region, and callers that ask them in turn, whatever becomes of their requests.
class brittle_region {
public:
    explicit brittle_region(std::size_t endpoints)
    {
        nlohmann::json configuration = make_configuration();
        configuration["version"] = 2;
        for (const char* const limit : {"coldPerS", "coldS"}) {
            configuration["services"][0].erase(limit); // a restart doesn't limit the requests
        }
        m_gateways.world().put("op/config", configuration);
        for (std::size_t i = 0; i < endpoints; ++i) {
            m_endpoints.push_back(std::make_unique<brittle_endpoint>(
                m_gateways.world(), "i-" + std::to_string(i), "s", "x-1", free_address(),
                brittle_endpoint_options{}));
        }
        m_gateways.wait_until_ready();
        m_gateways.wait_until_met();
    }

    /// Sends requests for a while, at equal intervals, and waits for all answers.
    /// @return answers with success and without
    struct result {
        std::size_t served = 0;
        std::size_t failed = 0;
    };
    result ask_for(duration length, duration interval, const std::function<void()>& on_step = {})
    {
        const time_point end = boot_clock::now() + length;
        time_point next = boot_clock::now();
        std::vector<std::shared_ptr<world_answer>> answers;
        CHECK(m_gateways.world().run_until([&] {
            for (const time_point now = boot_clock::now(); now >= next && next < end;
                 next += interval) {
                answers.push_back(
                    m_gateways.ask(m_sent % 2, "/once/x", fmt::format("{:016x}", m_sent + 1)));
                ++m_sent;
            }
            if (on_step) {
                on_step();
            }
            return boot_clock::now() >= end;
        }));
        CHECK(m_gateways.world().run_until([&] {
            return std::ranges::all_of(answers,
                                       [](const auto& answer) { return answer->has_ended; });
        }));
        result counted;
        for (const auto& answer : answers) {
            ++(answer->status == 200 ? counted.served : counted.failed);
        }
        return counted;
    }

    void become_brittle(std::size_t max_rejections)
    {
        for (const auto& endpoint : m_endpoints) {
            endpoint->become_brittle(max_rejections);
        }
    }

    /// Lets no requests wait at the endpoints any more.
    void shrink_room()
    {
        for (const auto& endpoint : m_endpoints) {
            endpoint->set_waiting(0);
        }
    }

    [[nodiscard]] std::size_t falls() const
    {
        std::size_t falls = 0;
        for (const auto& endpoint : m_endpoints) {
            falls += endpoint->falls().size();
        }
        return falls;
    }

    [[nodiscard]] std::size_t rejections() const
    {
        std::size_t rejections = 0;
        for (const auto& endpoint : m_endpoints) {
            rejections += endpoint->rejections().size();
        }
        return rejections;
    }

    /// Times of falls and the number of rejections in each second, from `origin` on.
    [[nodiscard]] std::string timeline(time_point origin) const
    {
        std::string text;
        for (const auto& endpoint : m_endpoints) {
            text += "\nfalls";
            for (const time_point at : endpoint->falls()) {
                text += fmt::format(" {:.2f}", to_seconds(at - origin));
            }
            text += "; rejections by second";
            for (int second = -2; second < 16; ++second) {
                text += fmt::format(
                    " {}", std::ranges::count_if(endpoint->rejections(), [&](time_point at) {
                        return at >= origin + second * 1s && at < origin + (second + 1) * 1s;
                    }));
            }
        }
        return text;
    }

private:
    gateway_pair m_gateways{{"a", "a"}};
    std::vector<std::unique_ptr<brittle_endpoint>> m_endpoints;
    std::size_t m_sent = 0;
};

} // namespace

// guards against LIMIT: endpoints that had said that they are brittle fell over one after the other,
// as the hosts together went on sending more than they had room for
TEST_CASE("two gateways don't overfill brittle endpoints, together")
{
    constexpr std::size_t endpoints = 3;
    constexpr std::size_t max_falls = 2; // + a tenth of the endpoints
    // three endpoints serve 200 requests a second
    constexpr auto peak_interval = 3ms;
    constexpr auto calm_interval = 10ms;
    brittle_region region{endpoints};
    region.ask_for(1s, calm_interval);
    const time_point named = boot_clock::now();
    region.become_brittle(4);
    bool is_shrunk = false;
    const auto peak = region.ask_for(contact_time + 6s, peak_interval, [&] {
        if (!is_shrunk && boot_clock::now() >= named + contact_time) {
            is_shrunk = true;
            region.shrink_room();
        }
    });
    const auto calm = region.ask_for(2s, calm_interval);
    MESSAGE(fmt::format("peak: served {}, failed {}; calm: served {}, failed {}; rejections {}{}",
                        peak.served, peak.failed, calm.served, calm.failed, region.rejections(),
                        region.timeline(named)));
    CHECK(region.falls() <= max_falls);
    // callers are served by the room that there is: half of 200 a second
    CHECK(peak.served >= 12 * 200 / 2);
    CHECK(calm.served >= 9 * (calm.served + calm.failed) / 10);
}
