#include "gateway_pair.h"
#include "process/clock.h"
#include "standins/gateway/platform_world.h"
#include "support/free_port.h"

#include <chrono>  // milliseconds, seconds
#include <cstddef> // size_t
#include <memory>  // shared_ptr
#include <string>  // string
#include <vector>  // vector

#include <doctest/doctest.h>
#include <fmt/format.h> // format
#include <nlohmann/json.hpp>

using namespace hickorykeel;
using namespace hickorykeel::standins;
using namespace hickorykeel::tests;
using namespace std::chrono_literals;

namespace {

const std::string second_key = "key-two";

/// Two gateways of one region, and a store whose configuration has a route for each version.
class restored_store {
public:
    explicit restored_store(bool names_era)
    {
        world().set_names_era(names_era);
        for (const char* id : {"i-1", "i-2"}) {
            m_endpoints.push_back(&world().add_endpoint(id, "s", "x-1", free_address()));
        }
        publish(1, {key, second_key});
        m_gateways.wait_until_ready();
    }

    platform_world& world() { return m_gateways.world(); }

    void publish(int version, const std::vector<std::string>& keys)
    {
        nlohmann::json configuration = make_configuration();
        configuration["version"] = version;
        configuration["tenants"][0]["apiKeys"] = keys;
        for (int i = 1; i <= version; ++i) {
            configuration["routes"].push_back(make_route(fmt::format("v{}", i)));
        }
        world().put("op/config", configuration);
    }

    /// Writes the endpoints' entries again, `count` times.
    void beat(int count)
    {
        for (int i = 0; i < count; ++i) {
            for (const endpoint_standin* endpoint : m_endpoints) {
                world().beat(*endpoint);
            }
        }
    }

    int status(std::size_t host, const std::string& target, const std::string& api_key = key)
    {
        const auto answer = m_gateways.ask(host, target, fmt::format("{:016x}", ++m_sent), api_key);
        REQUIRE(world().run_until([&] { return answer->has_ended; }));
        return answer->status;
    }

    /// Whether both gateways come to answer with `status` within the time that the operator allows.
    bool becomes(const std::string& target, int expected, const std::string& api_key = key)
    {
        constexpr auto allowed = 4s;
        const time_point end = boot_clock::now() + allowed;
        for (const std::size_t host : {0U, 1U}) {
            while (status(host, target, api_key) != expected) {
                if (boot_clock::now() >= end) {
                    return false;
                }
            }
        }
        return true;
    }

    /// Kills a gateway, starts it again, and asks it all the time until it has been ready for a while.
    /// Returns how many requests with `api_key` ran.
    int count_runs_over_restart(std::size_t host, const std::string& target,
                                const std::string& api_key)
    {
        constexpr auto asking_time = 3s;
        constexpr auto asking_interval = 10ms;
        m_gateways.restart(host);
        std::vector<std::shared_ptr<world_answer>> answers;
        const time_point end = boot_clock::now() + asking_time;
        time_point next = boot_clock::now();
        while (boot_clock::now() < end) {
            answers.push_back(
                m_gateways.ask(host, target, fmt::format("{:016x}", ++m_sent), api_key));
            next += asking_interval;
            while (boot_clock::now() < next) {
                world().loop().restart();
                world().loop().run_one_for(1ms);
            }
        }
        int runs = 0;
        for (const auto& answer : answers) {
            REQUIRE(world().run_until([&] { return answer->has_ended; }));
            runs += answer->status == 200 ? 1 : 0;
        }
        m_gateways.wait_until_ready();
        return runs;
    }

    /// Kills a gateway and starts it again.
    void restart(std::size_t host)
    {
        m_gateways.restart(host);
        m_gateways.wait_until_ready();
    }

    void wait_for_reads(std::uint64_t count)
    {
        const std::uint64_t before = world().reads();
        REQUIRE(world().run_until([&] { return world().reads() >= before + count; }));
    }

private:
    gateway_pair m_gateways{{"a", "a"}};
    std::vector<endpoint_standin*> m_endpoints;
    std::size_t m_sent = 0;
};

} // namespace

// guards against CONFIG: what a restored store wrote under revisions that hosts held was never read
TEST_CASE("a change after a restoration of the store from a copy comes into force")
{
    for (const bool names_era : {true, false}) {
        CAPTURE(names_era);
        restored_store day{names_era};
        day.world().copy_store();
        day.publish(2, {key, second_key});
        day.beat(2);
        REQUIRE(day.becomes("/v2/x", 200));

        day.world().restore_store();
        day.publish(2, {key, second_key});
        day.publish(3, {key, second_key});
        day.wait_for_reads(4);
        day.beat(4); // the revision passes the one that was held
        CHECK(day.becomes("/v3/x", 200));
        CHECK(day.becomes("/v2/x", 200));
    }
}

// guards against CONFIG: a restored store brings back a key that had been withdrawn
TEST_CASE("a restoration of the store from a copy doesn't bring back a withdrawn key")
{
    restored_store day{true};
    REQUIRE(day.becomes("/v1/x", 200, second_key));
    day.world().copy_store();
    day.publish(2, {key});
    REQUIRE(day.becomes("/v2/x", 401, second_key));

    day.world().restore_store();
    day.beat(4);
    day.wait_for_reads(8);
    for (const std::size_t host : {0U, 1U}) {
        CHECK(day.status(host, "/v1/x", second_key) == 401);
        CHECK(day.status(host, "/v2/x") == 200);
    }
    day.publish(2, {key});
    day.publish(3, {key});
    CHECK(day.becomes("/v3/x", 200));
    CHECK(day.status(0, "/v1/x", second_key) == 401);
}

// guards against CONFIG: a gateway that started while a restored store showed an older
// configuration kept that, though the other gateway held the newer one
TEST_CASE(
    "a gateway that starts on a restored store gets the newer configuration from the other one")
{
    restored_store day{true};
    day.world().copy_store();
    day.publish(2, {key});
    REQUIRE(day.becomes("/v2/x", 401, second_key));

    day.world().restore_store();
    day.wait_for_reads(8);
    day.restart(0);
    CHECK(day.becomes("/v2/x", 401, second_key));
    CHECK(day.becomes("/v2/x", 200));
    CHECK(day.status(0, "/v1/x", second_key) == 401);
}

// guards against CONFIG: a gateway that started on a restored store accepted a withdrawn key until it
// had fetched the newer configuration
TEST_CASE("a gateway that starts on a restored store runs no request with a withdrawn key")
{
    restored_store day{true};
    REQUIRE(day.becomes("/v1/x", 200, second_key));
    day.world().copy_store();
    day.publish(2, {key});
    REQUIRE(day.becomes("/v1/x", 401, second_key));

    day.world().restore_store();
    day.wait_for_reads(8);
    CHECK(day.count_runs_over_restart(0, "/v1/x", second_key) == 0);
    CHECK(day.status(0, "/v1/x") == 200);
}
