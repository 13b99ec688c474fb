#include "support/fleet.h"
#include "support/wait_for.h"

#include <chrono> // milliseconds
#include <string> // string

#include <doctest/doctest.h>
#include <httplib.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

// far less than the time of one token, so that only the caller's going can end a request
constexpr std::chrono::milliseconds patience{1'000};

/// Requests in `state` over the ledgers of all endpoints of the model.
std::size_t count(const fleet& running, const std::string& state)
{
    std::size_t sum = 0;
    for (const auto& [endpoint, ledger] : running.ledgers("assistant")) {
        for (const auto& request : ledger.at("requests")) {
            sum += request.at("state") == state ? 1 : 0;
        }
    }
    return sum;
}

std::size_t count_running(const fleet& running)
{
    std::size_t sum = 0;
    for (const auto& [endpoint, ledger] : running.ledgers("assistant")) {
        sum += ledger.at("running").get<std::size_t>();
    }
    return sum;
}

/// Asks, and hangs up once the request runs.
void ask_and_hang_up(const fleet& running, const std::string& key, bool is_stream)
{
    httplib::Client caller{"http://" + running.hosts()[0].caller_address};
    caller.set_read_timeout(patience);
    const nlohmann::json body{{"model", "assistant"},
                              {"stream", is_stream},
                              {"max_tokens", 8},
                              {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
    const httplib::Headers headers{{"Authorization", "Bearer " + key},
                                   {"X-Hickorykeel-Profile", "visit-summary"}};
    CHECK_FALSE(caller.Post("/v1/chat/completions", headers, body.dump(), "application/json"));
    caller.stop();
}

} // namespace

TEST_CASE("a caller that has gone frees its endpoint")
{
    fleet_options options;
    options.engine_arguments = {"--token-ms", "120000"};
    options.adjust = [](nlohmann::json& entries) {
        // the deadline must not end the request in place of the caller
        entries["profiles/visit-summary"]["deadline_ms"] = 600'000;
    };
    fleet running{options};
    REQUIRE(running.start().empty());
    const std::string key = running.key("volunteers");

    for (const bool is_stream : {true, false}) {
        INFO("stream: ", is_stream);
        const std::size_t before = count(running, "cancelled");
        ask_and_hang_up(running, key, is_stream);
        CHECK(wait_for([&] { return count(running, "cancelled") == before + 1; }));
        CHECK(wait_for([&] { return count_running(running) == 0; }));
    }
}
