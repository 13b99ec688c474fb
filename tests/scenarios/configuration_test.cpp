#include "support/fleet.h"
#include "support/questions.h"
#include "support/repeat.h"
#include "support/wait_for.h"

#include <algorithm> // all_of
#include <atomic>    // atomic
#include <cstddef>   // size_t
#include <future>    // async
#include <sstream>   // istringstream
#include <string>    // string
#include <vector>    // vector

#include <doctest/doctest.h>
#include <httplib.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

constexpr std::size_t attica = 0;
constexpr std::size_t crete = 1;
constexpr const char* withdrawn_profile = "visit-summary-crete";
constexpr const char* added_profile = "visit-letter";

outcome ask(const fleet& running, std::size_t host, const std::string& profile)
{
    return running.caller(host, "volunteers").ask(make_question(profile, false, 4));
}

bool becomes_whole(const fleet& running, std::size_t host, const std::string& profile)
{
    return wait_for([&] { return ask(running, host, profile).kind == outcome_kind::whole; });
}

bool is_whole_everywhere(const fleet& running, const std::string& profile)
{
    for (std::size_t host = 0; host < running.hosts().size(); ++host) {
        if (!becomes_whole(running, host, profile)) {
            return false;
        }
    }
    return true;
}

bool becomes_unknown_everywhere(const fleet& running, const std::string& profile)
{
    for (std::size_t host = 0; host < running.hosts().size(); ++host) {
        if (!wait_for([&] { return ask(running, host, profile).code == "profile_unknown"; })) {
            return false;
        }
    }
    return true;
}

/// Sum of the metrics of a host's hickorykeel-configd with that name and those labels.
double configd_metric(const fleet_host& host, const std::string& name,
                      const std::vector<std::string>& labels)
{
    httplib::Client client{"http://" + host.admin_addresses.at("configd")};
    const auto answer = client.Get("/metrics");
    std::istringstream lines{answer ? answer->body : std::string{}};
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        const bool is_wanted =
            line.starts_with(name + '{') &&
            std::all_of(labels.begin(), labels.end(), [&](const std::string& label) {
                return line.find(label) != std::string::npos;
            });
        sum += is_wanted ? std::stod(line.substr(line.rfind(' '))) : 0;
    }
    return sum;
}

double revision_in_force(const fleet_host& host)
{
    return configd_metric(host, "hickorykeel_published_revision",
                          {R"(part="entries")", R"(state="in_force")"});
}

double count_faults(const fleet_host& host)
{
    return configd_metric(host, "hickorykeel_published_faults", {R"(part="entries")"});
}

bool restart_host(fleet& running, std::size_t host)
{
    const std::string name = running.hosts().at(host).name;
    for (const char* part : {"entry", "dispatch", "configd"}) {
        running.process(name + '/' + part).kill();
    }
    for (const char* part : {"configd", "dispatch", "entry"}) {
        if (!running.restart(name + '/' + part)) {
            return false;
        }
    }
    return running.wait_until_ready(host);
}

/// Asks for the withdrawn profile until `is_over`; returns how often it was served.
std::size_t count_served(const fleet& running, std::size_t host, const std::atomic<bool>& is_over)
{
    std::size_t served = 0;
    while (!is_over) {
        served += ask(running, host, withdrawn_profile).kind == outcome_kind::whole ? 1 : 0;
    }
    return served;
}

/// Restarts the host's processes; it must come back under the newest configuration and never
/// serve the withdrawn profile meanwhile.
void check_restart(fleet& running, std::size_t host)
{
    std::atomic<bool> is_over{false};
    auto served = std::async(std::launch::async, [&running, host, &is_over] {
        return count_served(running, host, is_over);
    });
    const bool is_ready = restart_host(running, host);
    const bool has_newest = becomes_whole(running, host, added_profile);
    is_over = true;
    CHECK(is_ready);
    CHECK(has_newest);
    CHECK(served.get() == 0);
    const outcome answer = ask(running, host, withdrawn_profile);
    INFO(answer.to_string());
    CHECK(answer.code == "profile_unknown");
}

} // namespace

TEST_CASE("configurations that are refused, and a platform that is stale or down")
{
    fleet running;
    REQUIRE(running.start() == "");
    REQUIRE(is_whole_everywhere(running, withdrawn_profile));

    // an invalid revision changes nothing in force, not even by its valid part
    const nlohmann::json summary = running.entries().at("profiles/visit-summary");
    nlohmann::json faulty = summary;
    faulty["regions"] = {"nowhere"};
    const double before = revision_in_force(running.hosts()[attica]);
    REQUIRE(before > 0);
    REQUIRE(running.publish(
        {{"profiles/visit-summary", faulty}, {std::string{"profiles/"} + added_profile, summary}}));
    for (const fleet_host& host : running.hosts()) {
        CHECK(wait_for([&] { return count_faults(host) > 0; }));
        CHECK(revision_in_force(host) == before);
    }
    for (std::size_t host = 0; host < running.hosts().size(); ++host) {
        CHECK(becomes_whole(running, host, "visit-summary"));
        CHECK(ask(running, host, added_profile).code == "profile_unknown");
    }

    // a later valid one is accepted
    REQUIRE(running.publish({{"profiles/visit-summary", summary}}));
    CHECK(is_whole_everywhere(running, added_profile));
    for (const fleet_host& host : running.hosts()) {
        CHECK(count_faults(host) == 0);
        CHECK(revision_in_force(host) > before);
    }

    // a profile is withdrawn
    REQUIRE(running.publish({{std::string{"profiles/"} + withdrawn_profile, nullptr}}));
    CHECK(becomes_unknown_everywhere(running, withdrawn_profile));

    // traffic goes on without the platform, and a restarted host learns from its peers
    REQUIRE(running.set_platform_mode("stale"));
    CHECK(is_whole_everywhere(running, added_profile));
    REQUIRE(running.set_platform_mode("down"));
    CHECK(is_whole_everywhere(running, added_profile));
    check_restart(running, crete);

    // the platform is back with what it held at the start, which is older
    REQUIRE(running.restart("platform"));
    check_restart(running, attica);
    check_restart(running, crete);
    for (std::size_t host = 0; host < running.hosts().size(); ++host) {
        CHECK(becomes_whole(running, host, added_profile));
        CHECK(ask(running, host, withdrawn_profile).code == "profile_unknown");
    }
}
