#include "support/published.h"
#include "version/check.h"
#include "version/check_hosts.h"

#include <algorithm> // any_of
#include <string>    // string
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using nlohmann::json;

namespace {

/// A change to the example that causes exactly one validation error, at `path` and with `message`
/// in its text.
struct fault_case {
    const char* pointer; ///< JSON pointer into the example; a '/' in a key is written "~1"
    json value;          ///< null: the member is removed
    const char* path;
    const char* message;
};

std::vector<configuration_fault> faults_of(const json& object)
{
    auto checked = check(1, tests::to_entries(object));
    auto* faults = std::get_if<std::vector<configuration_fault>>(&checked);
    return faults == nullptr ? std::vector<configuration_fault>{} : *faults;
}

bool has_fault(const std::vector<configuration_fault>& faults, const std::string& path,
               const std::string& message)
{
    return std::any_of(faults.begin(), faults.end(), [&](const auto& fault) {
        return fault.path == path && fault.message.find(message) != std::string::npos;
    });
}

json changed_example(const fault_case& row)
{
    auto object = tests::published_example();
    const json::json_pointer pointer{row.pointer};
    if (row.value.is_null()) {
        object.at(pointer.parent_pointer()).erase(pointer.back());
    }
    else {
        object[pointer] = row.value;
    }
    return object;
}

const std::string digest_a(64, 'a');

const std::vector<fault_case> fault_cases{
    {"/widgets~1w", json::object(), "widgets/w", "must start with"},
    {"/profiles", json::object(), "profiles", "must start with"},
    {"/profiles~1Upper", json::object(), "profiles/Upper", "must end in a name"},
    {"/profiles~1a~1b", json::object(), "profiles/a/b", "must end in a name"},
    {"/failure_domains~1attica-1", json::array(), "failure_domains/attica-1", "must be an object"},
    {"/failure_domains~1attica-1/region", nullptr, "failure_domains/attica-1/region", "missing"},
    {"/failure_domains~1attica-1/region", 7, "failure_domains/attica-1/region", "must be a name"},
    {"/failure_domains~1attica-1/extra", 1, "failure_domains/attica-1/extra", "not a known member"},
    {"/organisations~1offices/home", "nowhere", "organisations/offices/home",
     "unknown failure domain"},
    {"/organisations~1offices/rate", 0, "organisations/offices/rate", "from 0.001"},
    {"/organisations~1offices/rate", "10", "organisations/offices/rate", "must be a number"},
    {"/organisations~1offices/rate", 1e13, "organisations/offices/rate", "to 1000000000000"},
    {"/organisations~1offices/burst", 0.5, "organisations/offices/burst", "from 1 "},
    {"/organisations~1offices/burst", nullptr, "organisations/offices/burst", "missing"},
    {"/organisations~1offices/key_digests", "x", "organisations/offices/key_digests", "a list"},
    {"/organisations~1offices/key_digests/0", "XYZ", "organisations/offices/key_digests/0",
     "64 lower-case hex"},
    {"/organisations~1offices/key_digests/0", digest_a, "organisations/volunteers/key_digests/0",
     "also a key of organisations/offices"},
    {"/organisations~1volunteers/key_digests/1", digest_a, "organisations/volunteers/key_digests/1",
     "twice"},
    {"/profiles~1booking/regions", json::array(), "profiles/booking/regions", "at least 1"},
    {"/profiles~1booking/regions/0", "mars", "profiles/booking/regions/0", "unknown region"},
    {"/profiles~1booking/regions/1", "attica", "profiles/booking/regions/1", "twice"},
    {"/profiles~1booking/targets", json::array(), "profiles/booking/targets", "at least 1"},
    {"/profiles~1booking/targets/0", "none", "profiles/booking/targets/0", "unknown target"},
    {"/profiles~1booking/organisations",
     {"none"},
     "profiles/booking/organisations/0",
     "unknown organisation"},
    {"/profiles~1booking/idempotent", "no", "profiles/booking/idempotent", "true or false"},
    {"/profiles~1booking/deadline_ms", 0, "profiles/booking/deadline_ms", "whole number from 1 "},
    {"/profiles~1booking/deadline_ms", 3'600'001, "profiles/booking/deadline_ms", "to 3600000"},
    {"/profiles~1booking/deadline_ms", 1.5, "profiles/booking/deadline_ms", "whole number"},
    {"/profiles~1booking/max_output_tokens", -1, "profiles/booking/max_output_tokens",
     "whole number"},
    {"/profiles~1booking/rate", 5, "profiles/booking/burst", "rate and burst come together"},
    {"/profiles~1booking/burst", 5, "profiles/booking/rate", "rate and burst come together"},
    {"/profiles~1visit-summary/burst", 0.5, "profiles/visit-summary/burst", "at least 1"},
    {"/profiles~1booking/open", true, "profiles/booking/rate", "the profile is open"},
    {"/profiles~1booking/open", true, "profiles/booking/burst", "the profile is open"},
    {"/profiles~1visit-summary/open", true, "profiles/visit-summary/organisations", "be empty"},
    {"/targets~1bookings/kind", "oracle", "targets/bookings/kind", "\"model\" or \"service\""},
    {"/targets~1bookings/tokens_per_call", 0, "targets/bookings/tokens_per_call", "whole number"},
    {"/targets~1bookings/endpoints", 1, "targets/bookings/endpoints", "must be a list"},
    {"/targets~1bookings/endpoints/0/name", "as-1", "targets/bookings/endpoints/0/name",
     "also the name of targets/assistant/endpoints/0"},
    {"/targets~1bookings/endpoints/0/failure_domain", "x-1",
     "targets/bookings/endpoints/0/failure_domain", "unknown failure domain"},
    {"/targets~1bookings/endpoints/0/address", "localhost:80",
     "targets/bookings/endpoints/0/address", "ip:port"},
    {"/targets~1bookings/endpoints/0/address", "127.0.0.1:65536",
     "targets/bookings/endpoints/0/address", "ip:port"},
    {"/targets~1bookings/endpoints/0/address", "127.0.0.1", "targets/bookings/endpoints/0/address",
     "ip:port"},
    {"/targets~1bookings/endpoints/0/state", "gone", "targets/bookings/endpoints/0/state",
     "\"live\" or \"leaving\""},
    {"/targets~1bookings/endpoints/0/slots", 0, "targets/bookings/endpoints/0/slots",
     "whole number"},
    {"/targets~1bookings/endpoints/0/weight", 1, "targets/bookings/endpoints/0/weight",
     "not a known member"},
};

json hosts_example()
{
    return json::array({{{"name", "attica-a"},
                         {"failure_domain", "attica-1"},
                         {"state", "live"},
                         {"caller_address", "127.0.0.1:8101"},
                         {"entry_address", "127.0.0.1:7101"},
                         {"dispatch_address", "127.0.0.1:7201"},
                         {"configd_address", "127.0.0.1:7301"}}});
}

} // namespace

TEST_CASE("published entries without faults")
{
    const auto checked = check(7, tests::to_entries(tests::published_example()));
    REQUIRE(std::holds_alternative<configuration>(checked));
    const auto& built = std::get<configuration>(checked);

    SUBCASE("every member is read into its field")
    {
        CHECK(built.revision == 7);
        CHECK(built.failure_domains.at("crete-1").region == "crete");
        CHECK(built.organisations.at("offices").rate == 10.5);
        CHECK(built.organisation_by_key_digest.at(digest_a) == "volunteers");
        CHECK_FALSE(built.profiles.at("booking").is_idempotent);
        CHECK(built.profiles.at("visit-summary").max_output_tokens == 512);
        CHECK(built.targets.at("bookings").kind == target_kind::service);
        CHECK(built.targets.at("bookings").tokens_per_call == 10);
        CHECK(built.targets.at("bookings").endpoints[0].checks_fencing);
        CHECK(built.targets.at("assistant").endpoints[0].is_leaving);
        CHECK(built.targets.at("assistant").endpoints[1].slots == 4);
    }

    SUBCASE("absent members have their default values")
    {
        const auto& booking = built.profiles.at("booking");
        CHECK_FALSE(booking.is_open);
        CHECK(booking.is_interactive);
        CHECK(booking.organisations.empty());
        CHECK(booking.deadline == std::chrono::milliseconds{30'000});
        CHECK(booking.rate == 0);
        CHECK(booking.max_output_tokens == 1024);
        CHECK(built.targets.at("assistant").endpoints[0].slots == 8);
        CHECK_FALSE(built.targets.at("bookings").endpoints[0].is_leaving);
    }
}

TEST_CASE("faults in published entries")
{
    SUBCASE("each kind is found at its path")
    {
        for (const auto& row : fault_cases) {
            CAPTURE(row.path);
            CAPTURE(row.value.dump());
            CHECK(has_fault(faults_of(changed_example(row)), row.path, row.message));
        }
    }

    SUBCASE("all are listed, not only the first")
    {
        auto object = tests::published_example();
        object["profiles/booking"]["deadline_ms"] = 0;
        object["organisations/offices"]["burst"] = 0;
        object["targets/bookings"]["endpoints"][0]["slots"] = 0;
        CHECK(faults_of(object).size() == 3);
    }

    SUBCASE("names are limited to 63 characters")
    {
        auto object = tests::published_example();
        object["failure_domains/" + std::string(63, 'n')] = {{"region", "attica"}};
        CHECK(faults_of(object).empty());
        object["failure_domains/" + std::string(64, 'n')] = {{"region", "attica"}};
        CHECK(faults_of(object).size() == 1);
    }
}

TEST_CASE("published hosts")
{
    SUBCASE("a list without faults is accepted")
    {
        const auto checked = check_hosts(3, hosts_example());
        REQUIRE(std::holds_alternative<host_list>(checked));
        CHECK(std::get<host_list>(checked).revision == 3);
        CHECK(std::get<host_list>(checked).hosts[0].configd_address == "127.0.0.1:7301");
    }

    SUBCASE("faults are listed by path")
    {
        auto hosts = hosts_example();
        hosts.push_back(hosts[0]);
        hosts[1]["state"] = "asleep";
        const auto checked = check_hosts(3, hosts);
        REQUIRE(std::holds_alternative<std::vector<configuration_fault>>(checked));
        const auto& faults = std::get<std::vector<configuration_fault>>(checked);
        CHECK(has_fault(faults, "hosts/1/state", "\"live\" or \"leaving\""));
        CHECK(has_fault(faults, "hosts/1/name", "two hosts"));
        CHECK(std::holds_alternative<std::vector<configuration_fault>>(check_hosts(3, json{})));
    }
}

TEST_CASE("key digest")
{
    // SHA-256 of "abc", from FIPS 180-2, appendix B.1
    CHECK(to_key_digest("abc") ==
          "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
