#include "process/ctl/ctl.h"
#include "support/fleet.h"
#include "support/questions.h"
#include "support/scratch_file.h"
#include "support/wait_for.h"

#include <sstream> // ostringstream

#include <doctest/doctest.h>
#include <httplib.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;
using hickorykeel::ctl::exit_code;

namespace {

/// Runs hickorykeelctl against a process; prints JSON.
class operator_console {
public:
    explicit operator_console(const std::string& key) : m_key(key) {}

    nlohmann::json run(const std::string& command, const std::string& address,
                       const std::vector<std::string>& further = {}, bool is_json = true)
    {
        std::vector<std::string> arguments{"hickorykeelctl",   command,     "--admin", address,
                                           "--admin-key-file", m_key.path()};
        arguments.insert(arguments.end(), further.begin(), further.end());
        if (is_json) {
            arguments.emplace_back("--json");
        }
        std::ostringstream out;
        std::ostringstream err;
        code = ctl::run(arguments, out, err);
        text = out.str();
        errors = err.str();
        return nlohmann::json::parse(text, nullptr, false);
    }

    exit_code code = exit_code::ok;
    std::string text;
    std::string errors;

private:
    scratch_file m_key;
};

std::string scrape(const std::string& address)
{
    const auto answer = httplib::Client{"http://" + address}.Get("/metrics");
    return answer ? answer->body : std::string{};
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("what operators see of a fleet")
{
    fleet running;
    REQUIRE(running.start() == "");
    const fleet_host& first = running.hosts()[0];
    operator_console console{fleet::admin_key()};
    for (const bool is_stream : {false, true}) {
        CHECK(running.caller(0, "volunteers").ask(make_question("visit-summary", is_stream)).kind ==
              outcome_kind::whole);
    }

    // status of every program
    {
        for (const auto& [part, address] : first.admin_addresses) {
            const auto status = console.run("status", address);
            INFO(console.errors);
            REQUIRE(console.code == exit_code::ok);
            CHECK(status["program"] == "hickorykeel-" + part);
            CHECK(status["host"] == first.name);
            CHECK(status["state"] == "live");
            CHECK(status["revision"] > 0);
            CHECK(status["host_list_revision"] > 0);
            CHECK(status["requests_running"] == 0);
            CHECK(status["requests_waiting"] == 0);
            CHECK(status["uptime_ms"] > 0);
        }
        console.run("status", first.admin_addresses.at("entry"), {}, false);
        CHECK(contains(console.text, "hickorykeel-entry"));
    }

    // hosts, as every program knows them
    {
        for (const char* part : {"entry", "dispatch", "configd"}) {
            const auto hosts = console.run("hosts", first.admin_addresses.at(part));
            REQUIRE(console.code == exit_code::ok);
            CHECK(hosts["hosts"].size() == running.hosts().size());
        }
        // entry hears the dispatch processes
        CHECK(wait_for([&] {
            const auto hosts = console.run("hosts", first.admin_addresses.at("entry"));
            return hosts["hosts"][0]["heard_ms_ago"].is_number();
        }));
    }

    // limits
    {
        const auto limits = console.run("limits", first.admin_addresses.at("entry"));
        REQUIRE(console.code == exit_code::ok);
        bool is_found = false;
        for (const auto& row : limits["accounts"]) {
            is_found = is_found || row["account"] == "volunteers";
        }
        CHECK(is_found);
    }

    // explain
    {
        const std::string& address = first.admin_addresses.at("entry");
        const auto ask = [&](const std::string& organisation, const std::string& profile,
                             const std::string& tokens) {
            return console.run("explain", address,
                               {"--organisation", organisation, "--profile", profile, "--target",
                                "assistant", "--tokens", tokens});
        };
        const auto admitted = ask("volunteers", "visit-summary", "100");
        REQUIRE(console.code == exit_code::ok);
        CHECK(admitted["decision"] == "admit");
        CHECK(admitted["endpoints"].size() == 6);
        CHECK(admitted["accounts"][0]["account"] == "volunteers");
        CHECK(ask("volunteers", "visit-summary", "80001")["code"] == "over_limit");
        CHECK(ask("training", "visit-summary", "1")["code"] == "profile_forbidden");
        const auto local = ask("volunteers", "visit-summary-crete", "1");
        for (const auto& endpoint : local["endpoints"]) {
            CHECK(endpoint["is_allowed"] == (endpoint["failure_domain"] == "crete-1"));
        }
    }

    // metrics of the requests
    {
        CHECK(wait_for([&] {
            return contains(scrape(first.admin_addresses.at("entry")),
                            R"(outcome="ok",profile="visit-summary"} 2)");
        }));
        const std::string entry = scrape(first.admin_addresses.at("entry"));
        INFO(entry);
        CHECK(contains(entry, "hickorykeel_first_byte_seconds_count"));
        CHECK(contains(entry, "hickorykeel_answer_seconds_count"));
        CHECK(contains(entry, "hickorykeel_tokens_total"));
        CHECK(contains(entry, "hickorykeel_link_bytes_total"));
        CHECK(contains(entry, "hickorykeel_revision_in_force"));
        CHECK(contains(entry, "hickorykeel_streams_under_way"));
        const std::string dispatch = scrape(first.admin_addresses.at("dispatch"));
        INFO(dispatch);
        CHECK(contains(dispatch, R"(hickorykeel_attempts_total)"));
        CHECK(contains(dispatch, "hickorykeel_queue_wait_seconds_count"));
        CHECK(wait_for([&] {
            const std::string text = scrape(first.admin_addresses.at("dispatch"));
            return contains(text, "hickorykeel_endpoint_breaker") &&
                   contains(text, "hickorykeel_queue_length");
        }));
    }

    // another key is refused, and a drain ends each program
    {
        operator_console stranger{"another-key"};
        stranger.run("drain", first.admin_addresses.at("entry"));
        CHECK(stranger.code == exit_code::unauthorised);
        for (const char* part : {"entry", "dispatch", "configd"}) {
            const auto drained = console.run("drain", first.admin_addresses.at(part));
            INFO(console.errors);
            REQUIRE(console.code == exit_code::ok);
            CHECK(drained["state"] == "leaving");
            CHECK(running.process(first.name + '/' + part).wait_for_exit() == 0);
        }
    }
}
