#include "support/fleet.h"
#include "support/questions.h"
#include "support/repeat.h"
#include "support/wait_for.h"

#include <cstddef> // size_t
#include <future>  // async, future
#include <string>  // string
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

constexpr std::size_t attica = 0;
constexpr std::size_t long_answer = 128;
constexpr double slow_factor = 12;

// of every host, so many in a row must go elsewhere before the change counts as in force
constexpr std::size_t quiet_requests = 10;
constexpr std::size_t checked_requests = 40;

std::size_t count_runs(const fleet& running, const std::string& name, const std::string& state)
{
    std::size_t count = 0;
    const nlohmann::json book = running.ledger(name);
    for (const nlohmann::json& run : book.at("requests")) {
        count += state.empty() || run.at("state") == state ? 1 : 0;
    }
    return count;
}

/// An endpoint that runs a request; empty where there is none.
std::string find_busy(const fleet& running)
{
    for (const auto& [name, book] : running.ledgers("assistant")) {
        if (count_runs(running, name, "running") > 0) {
            return name;
        }
    }
    return {};
}

outcome ask(const fleet& running, std::size_t host, const chat_question& question)
{
    const http_caller caller = running.caller(host, "volunteers");
    return repeat_passing_refusals([&] { return caller.ask(question); });
}

/// Asks at every host; all answers must be whole.
void ask_everywhere(const fleet& running, std::size_t times)
{
    for (std::size_t i = 0; i < times; ++i) {
        for (std::size_t host = 0; host < running.hosts().size(); ++host) {
            const outcome answer =
                ask(running, host,
                    make_question("visit-summary", true, 2, "alarm number " + std::to_string(i)));
            INFO(answer.to_string());
            CHECK(answer.kind == outcome_kind::whole);
        }
    }
}

std::vector<std::future<outcome>> begin_streams(const fleet& running)
{
    constexpr std::size_t count = 8;
    std::vector<std::future<outcome>> streams;
    streams.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        streams.push_back(std::async(std::launch::async, [&running, i] {
            return ask(running, attica,
                       make_question("visit-summary", true, long_answer,
                                     "alarm number " + std::to_string(i)));
        }));
    }
    return streams;
}

} // namespace

TEST_CASE("a leaving endpoint ends its streams and gets no new work")
{
    fleet running;
    REQUIRE(running.start() == "");
    for (const auto& [name, book] : running.ledgers("assistant")) {
        REQUIRE(running.set_faults(name, {{"slow_factor", slow_factor}}));
    }
    auto streams = begin_streams(running);
    std::string leaving_name;
    const bool is_busy = wait_for([&] {
        leaving_name = find_busy(running);
        return !leaving_name.empty();
    });
    if (!is_busy) {
        for (auto& stream : streams) {
            MESSAGE(stream.get().to_string());
        }
    }
    REQUIRE(is_busy);

    nlohmann::json target = running.entries().at("targets/assistant");
    for (nlohmann::json& endpoint : target.at("endpoints")) {
        if (endpoint.at("name") == leaving_name) {
            endpoint["state"] = "leaving";
        }
    }
    REQUIRE(running.publish({{"targets/assistant", target}}));
    CHECK(wait_for([&] {
        const std::size_t before = count_runs(running, leaving_name, "");
        ask_everywhere(running, quiet_requests);
        return count_runs(running, leaving_name, "") == before;
    }));

    const std::size_t before = count_runs(running, leaving_name, "");
    ask_everywhere(running, checked_requests);
    CHECK(count_runs(running, leaving_name, "") == before);
    for (auto& stream : streams) {
        const outcome ended = stream.get();
        INFO(ended.to_string());
        CHECK(ended.kind == outcome_kind::whole);
    }
    CHECK(count_runs(running, leaving_name, "completed") == before);

    // all that it had done is whole, and it takes work again once it is live
    for (nlohmann::json& endpoint : target.at("endpoints")) {
        endpoint["state"] = "live";
    }
    REQUIRE(running.publish({{"targets/assistant", target}}));
    CHECK(wait_for([&] {
        ask_everywhere(running, quiet_requests);
        return count_runs(running, leaving_name, "") > before;
    }));
}
