#include "process/configd_admin.h"

#include <doctest/doctest.h>

using namespace hickorykeel;

TEST_CASE("status of configd")
{
    constexpr time_point now{std::chrono::seconds{100}};
    configuration_status status;

    SUBCASE("before anything is published")
    {
        const auto body = to_json(status, now);
        CHECK(body["state"] == "starting");
        CHECK(body["refused"].is_null());
        CHECK(body["confirmed_ms_ago"].is_null());
    }

    SUBCASE("a refused revision is listed with its faults")
    {
        status.held = {7, 3};
        status.in_force = 6;
        status.refused_entries = refused_revision{7, {{"profiles/x/regions", "is missing"}}};
        status.confirmed_at = now - std::chrono::milliseconds{250};
        const auto body = to_json(status, now);
        CHECK(body["state"] == "live");
        CHECK(body["revision"] == 6);
        CHECK(body["held_revision"] == 7);
        CHECK(body["refused"]["revision"] == 7);
        CHECK(body["refused"]["faults"][0]["path"] == "profiles/x/regions");
        CHECK(body["confirmed_ms_ago"] == 250);
    }
}
