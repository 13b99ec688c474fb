#include "support/published.h"
#include "version/diff.h"

#include <algorithm> // find_if

#include <doctest/doctest.h>

using namespace hickorykeel;
using nlohmann::json;

namespace {

configuration to_configuration(const json& object)
{
    return std::get<configuration>(check(1, tests::to_entries(object)));
}

std::vector<configuration_change> changes_to(const json& object)
{
    return diff(to_configuration(tests::published_example()), to_configuration(object));
}

const configuration_change& at(const std::vector<configuration_change>& changes,
                               const std::string& path)
{
    const auto it = std::find_if(changes.begin(), changes.end(),
                                 [&path](const auto& change) { return change.path == path; });
    REQUIRE(it != changes.end());
    return *it;
}

} // namespace

TEST_CASE("difference between configurations")
{
    auto object = tests::published_example();

    SUBCASE("none")
    {
        CHECK(changes_to(object).empty());
    }

    SUBCASE("a changed member is listed with both values")
    {
        object["profiles/booking"]["deadline_ms"] = 500;
        const auto changes = changes_to(object);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].kind == change_kind::changed);
        CHECK(changes[0].path == "profiles/booking/deadline_ms");
        CHECK(changes[0].before == "30000");
        CHECK(changes[0].after == "500");
        CHECK(changes[0].warning == change_warning::none);
    }

    SUBCASE("an added record is listed once")
    {
        object["failure_domains/crete-2"] = {{"region", "crete"}};
        const auto changes = changes_to(object);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].kind == change_kind::added);
        CHECK(changes[0].path == "failure_domains/crete-2");
    }

    SUBCASE("a removed organisation and its keys carry warnings")
    {
        object.erase("organisations/offices");
        const auto changes = changes_to(object);
        CHECK(changes.size() == 2);
        CHECK(at(changes, "organisations/offices").warning == change_warning::organisation_removed);
        CHECK(at(changes, "organisations/offices/key_digests/" + std::string(64, 'b')).warning ==
              change_warning::key_withdrawn);
    }

    SUBCASE("a withdrawn key and a moved home carry warnings")
    {
        object["organisations/offices"]["key_digests"] = json::array();
        object["organisations/offices"]["home"] = "attica-1";
        const auto changes = changes_to(object);
        CHECK(changes.size() == 2);
        CHECK(at(changes, "organisations/offices/home").warning == change_warning::home_moved);
        CHECK(changes[1].warning == change_warning::key_withdrawn);
    }

    SUBCASE("an endpoint that leaves or is gone carries a warning")
    {
        object["targets/bookings"]["endpoints"][0]["state"] = "leaving";
        object["targets/assistant"]["endpoints"].erase(1);
        const auto changes = changes_to(object);
        CHECK(changes.size() == 2);
        CHECK(at(changes, "targets/bookings/endpoints/bo-1/state").warning ==
              change_warning::endpoint_leaving);
        CHECK(at(changes, "targets/assistant/endpoints/as-2").warning ==
              change_warning::endpoint_leaving);
    }
}
