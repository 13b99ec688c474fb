#include "standins/answer.h"
#include "standins/engine.h"
#include "support/child_process.h"
#include "support/free_port.h"
#include "support/http_caller.h"
#include "support/wait_for.h"

#include <future> // async
#include <string> // string

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

using namespace hickorykeel;
using namespace hickorykeel::standins;
using namespace hickorykeel::tests;

TEST_CASE("prefix cache")
{
    constexpr std::size_t capacity = 4;
    constexpr std::size_t prompt_bytes = capacity * 256;
    prefix_cache cache{capacity};
    const std::string first(prompt_bytes, 'a');
    const std::string second(prompt_bytes, 'b');

    SUBCASE("a known prefix costs nothing")
    {
        CHECK(cache.use(first).computed == 256);
        CHECK(cache.use(first).cached == 256);
        CHECK(cache.use(first.substr(0, 512) + "more").cached == 128);
    }

    SUBCASE("an evicted prefix is computed again")
    {
        static_cast<void>(cache.use(first));
        static_cast<void>(cache.use(second));
        CHECK(cache.size() == capacity);
        CHECK(cache.use(first).recomputed == 256);
    }
}

TEST_CASE("lagging load report")
{
    constexpr std::chrono::milliseconds lag{500};
    lagging_load report{lag};
    const time_point start{};
    report.record(start, {3, 1, 0});
    report.record(start + lag, {5, 0, 0});

    CHECK(report.at(start + lag).running == 3);
    CHECK(report.at(start + 2 * lag).running == 5);
}

TEST_CASE("stand-in for a model engine")
{
    const std::string address = free_address();
    child_process engine{"standin-engine",
                         {"--listen", address, "--slots", "1", "--checks-fencing"}};
    REQUIRE(engine.wait_until_listening());
    httplib::Client client{"http://" + address};
    const auto ledger = [&client] {
        return nlohmann::json::parse(client.Get("/control/ledger")->body);
    };
    const auto set_faults = [&client](const std::string& faults) {
        return client.Put("/control/faults", faults, "application/json")->status == 200;
    };
    const auto ask = [&address](const std::string& fencing, const std::string& resume,
                                std::size_t tokens) {
        httplib::Headers headers{{"X-Request-Id", "r-1"}, {"X-Fencing-Token", fencing}};
        if (!resume.empty()) {
            headers.emplace("X-Resume-Offset", resume);
        }
        const nlohmann::json body{{"messages", {{{"role", "user"}, {"content", "what now"}}}},
                                  {"max_tokens", tokens},
                                  {"stream", true}};
        return httplib::Client{"http://" + address}.Post("/v1/chat/completions", headers,
                                                         body.dump(), "application/json");
    };

    SUBCASE("a stream holds every word, the usage and the end")
    {
        const auto answer = ask("7", "", 4);
        REQUIRE(answer);
        for (std::size_t i = 0; i < 4; ++i) {
            CHECK(answer->body.find(answer_word("what now", i)) != std::string::npos);
        }
        CHECK(answer->body.find("\"completion_tokens\":4") != std::string::npos);
        CHECK(answer->body.ends_with("data: [DONE]\n\n"));
    }

    SUBCASE("a resumed stream begins at its offset")
    {
        const auto answer = ask("7", "3", 4);
        REQUIRE(answer);
        CHECK(answer->body.find(answer_word("what now", 2)) == std::string::npos);
        CHECK(answer->body.find(answer_word("what now", 3)) != std::string::npos);
    }

    SUBCASE("an old fencing token is refused")
    {
        CHECK(ask("7", "", 1)->status == 200);
        CHECK(ask("6", "", 1)->status == 409);
        CHECK(ask("", "", 1)->status == 409);
        CHECK(ledger().at("requests").size() == 1);
    }

    SUBCASE("a cut stream lacks its end")
    {
        REQUIRE(set_faults(R"({"cut_after_chunks": 2})"));
        CHECK_FALSE(ask("7", "", 8));
        CHECK(ledger().at("requests")[0].at("state") == "cut");
        CHECK(ledger().at("requests")[0].at("output_tokens") == 2);
    }

    SUBCASE("a held stream ends once it is released")
    {
        REQUIRE(set_faults(R"({"hold_at_tokens": 2})"));
        auto held = std::async(std::launch::async, [&] { return ask("7", "", 4); });
        CHECK(wait_for([&] {
            const nlohmann::json runs = ledger().at("requests");
            return !runs.empty() && runs[0].at("output_tokens") == 2;
        }));
        CHECK(ledger().at("requests")[0].at("state") == "running");
        REQUIRE(set_faults(R"({"hold_at_tokens": -1})"));
        const auto answer = held.get();
        REQUIRE(answer);
        CHECK(answer->body.ends_with("data: [DONE]\n\n"));
    }

    SUBCASE("a caller that hangs up frees the only slot")
    {
        REQUIRE(set_faults(R"({"slow_factor": 1000.0})"));
        httplib::Client impatient{"http://" + address};
        impatient.set_read_timeout(std::chrono::milliseconds{50});
        const nlohmann::json body{{"messages", nlohmann::json::array()}, {"max_tokens", 1000}};
        const httplib::Headers headers{{"X-Fencing-Token", "1"}};
        CHECK_FALSE(impatient.Post("/v1/chat/completions", headers, body.dump(), "text/json"));
        impatient.stop();
        CHECK(wait_for([&] { return ledger().at("running") == 0; }));
        CHECK(ledger().at("requests")[0].at("state") == "cancelled");
    }

    engine.terminate();
    CHECK(engine.wait_for_exit() == 0);
}
