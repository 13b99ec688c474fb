#include "support/fleet.h"
#include "support/published.h"
#include "support/questions.h"
#include "support/repeat.h"
#include "support/wait_for.h"

#include <array>   // array
#include <cstddef> // size_t
#include <future>  // async, future
#include <string>  // string
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

constexpr std::size_t attica = 0;
constexpr const char* organisation_entry = "organisations/volunteers";

// a stream of this length and slowness outlasts every wait of the test
constexpr std::size_t long_answer = 200;
constexpr double slow_factor = 100;

bool is_unauthorised(const outcome& answer)
{
    return answer.kind == outcome_kind::refused &&
           (answer.code == "unauthorised" || answer.code == "key_withdrawn");
}

/// Runs at the model's engines in the state given.
std::size_t count_runs(const fleet& running, const std::string& state)
{
    std::size_t count = 0;
    for (const auto& [endpoint, book] : running.ledgers("assistant")) {
        for (const nlohmann::json& run : book.at("requests")) {
            count += run.at("state") == state ? 1 : 0;
        }
    }
    return count;
}

bool set_engine_faults(fleet& running, const nlohmann::json& faults)
{
    bool is_set = true;
    for (const auto& [endpoint, book] : running.ledgers("assistant")) {
        is_set = running.set_faults(endpoint, faults) && is_set;
    }
    return is_set;
}

bool is_served(const fleet& running, std::size_t host, const std::string& profile)
{
    const http_caller caller = running.caller(host, "volunteers");
    const auto ask = [&] { return caller.ask(make_question(profile, true, 4)); };
    return wait_for([&] { return repeat_passing_refusals(ask).kind == outcome_kind::whole; });
}

bool is_refused_everywhere(const fleet& running)
{
    for (std::size_t host = 0; host < running.hosts().size(); ++host) {
        const http_caller caller = running.caller(host, "volunteers");
        const auto ask = [&] { return caller.ask(make_question("visit-summary", true, 4)); };
        // "unauthorised": the entry process itself has the newer revision. A dispatch process may
        // have it earlier ("key_withdrawn"), and then the next request can begin and end with it.
        const auto is_refused_by_entry = [&] {
            const outcome answer = ask();
            return answer.kind == outcome_kind::refused && answer.code == "unauthorised" &&
                   answer.ran == "no";
        };
        if (!wait_for(is_refused_by_entry)) {
            return false;
        }
        // it stays withdrawn
        const outcome again = ask();
        INFO(again.to_string());
        CHECK(again.code == "unauthorised");
        CHECK(again.ran == "no");
    }
    return true;
}

/// Streams at every host's own failure domain, and one of Attica's host that only Crete may run.
std::vector<std::future<outcome>> begin_streams(const fleet& running)
{
    std::vector<std::future<outcome>> streams;
    for (std::size_t host = 0; host < running.hosts().size(); ++host) {
        for (const char* profile : {"visit-summary", "visit-summary-crete"}) {
            if (host != attica && profile != std::string{"visit-summary"}) {
                // an engine as slow as these gets no third request
                continue;
            }
            streams.push_back(std::async(std::launch::async,
                                         [caller = running.caller(host, "volunteers"),
                                          question = make_question(profile, true, long_answer)] {
                                             return caller.ask(question);
                                         }));
        }
    }
    return streams;
}

/// Withdraws the key while streams run, and checks what becomes of them and of new requests.
void check_withdrawal(fleet& running)
{
    const nlohmann::json with_key = running.entries().at(organisation_entry);
    for (std::size_t host = 0; host < running.hosts().size(); ++host) {
        REQUIRE(is_served(running, host, "visit-summary"));
        REQUIRE(is_served(running, host, "visit-summary-crete"));
    }
    REQUIRE(set_engine_faults(running, {{"slow_factor", slow_factor}}));
    const std::size_t cancelled_before = count_runs(running, "cancelled");
    auto streams = begin_streams(running);
    const bool are_running =
        wait_for([&] { return count_runs(running, "running") == streams.size(); });
    if (!are_running) {
        MESSAGE("running: " << count_runs(running, "running"));
        for (auto& stream : streams) {
            MESSAGE(stream.get().to_string());
        }
    }
    REQUIRE(are_running);

    nlohmann::json without_key = with_key;
    without_key["key_digests"] = nlohmann::json::array();
    REQUIRE(running.publish({{organisation_entry, without_key}}));
    CHECK(is_refused_everywhere(running));
    for (auto& stream : streams) {
        const outcome ended = stream.get();
        INFO(ended.to_string());
        CHECK(is_unauthorised(ended));
        CHECK(ended.ran == "unknown");
    }
    CHECK(wait_for([&] { return count_runs(running, "running") == 0; }));
    // beside the streams, new requests that met the change on their way
    CHECK(count_runs(running, "cancelled") >= cancelled_before + streams.size());

    REQUIRE(set_engine_faults(running, {{"slow_factor", 1.0}}));
    REQUIRE(running.publish({{organisation_entry, with_key}}));
    for (std::size_t host = 0; host < running.hosts().size(); ++host) {
        CHECK(is_served(running, host, "visit-summary"));
    }
}

} // namespace

TEST_CASE("a withdrawn key stops new requests and ends running ones")
{
    fleet_options options;
    options.has_relays = true;
    options.adjust = lengthen_deadlines;
    fleet running{options};
    REQUIRE(running.start() == "");

    INFO("every host reads the platform");
    check_withdrawal(running);

    INFO("the platform can't be reached from Attica: its host hears of it from its peers");
    running.set_platform_link(running.hosts()[attica].failure_domain, {link_mode::cut, {}});
    check_withdrawal(running);

    INFO("the platform holds what Attica sends, as a network that drops packets");
    running.set_platform_link(running.hosts()[attica].failure_domain, {link_mode::held, {}});
    check_withdrawal(running);
}
