#include "process/configd_admin.h"

#include <memory> // make_shared

#include <doctest/doctest.h>

using namespace hickorykeel;

TEST_CASE("status of configd")
{
    constexpr time_point now{std::chrono::seconds{100}};
    const process_identity who{"hickorykeel-configd", "attica-1-a", "attica-1",
                               now - std::chrono::seconds{7}};
    configuration_status status;
    const auto in_force = std::make_shared<configuration>();
    in_force->revision = 6;

    SUBCASE("before anything is published")
    {
        const auto body = to_json(who, status, false, now);
        CHECK(body["state"] == "starting");
        CHECK(body["refused"].is_null());
        CHECK(body["confirmed_ms_ago"].is_null());
    }

    SUBCASE("it has the members of every program")
    {
        status.in_force = in_force;
        const auto body = to_json(who, status, true, now);
        const nlohmann::json of_all = to_json(who, serving_status{}, now);
        for (const auto& item : of_all.items()) {
            CAPTURE(item.key());
            CHECK(body.contains(item.key()));
        }
        CHECK(body["state"] == "leaving");
        CHECK(body["uptime_ms"] == 7'000);
        CHECK(body["requests_running"] == 0);
    }

    SUBCASE("a refused revision is listed with its faults")
    {
        status.held = {7, 3};
        status.in_force = in_force;
        status.refused_entries = refused_revision{7, {{"profiles/x/regions", "is missing"}}};
        status.confirmed_at = now - std::chrono::milliseconds{250};
        const auto body = to_json(who, status, false, now);
        CHECK(body["state"] == "live");
        CHECK(body["revision"] == 6);
        CHECK(body["held_revision"] == 7);
        CHECK(body["refused"]["revision"] == 7);
        CHECK(body["refused"]["faults"][0]["path"] == "profiles/x/regions");
        CHECK(body["confirmed_ms_ago"] == 250);
    }
}
