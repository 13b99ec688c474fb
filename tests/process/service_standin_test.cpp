#include "support/child_process.h"
#include "support/free_port.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

using namespace hickorykeel::tests;

TEST_CASE("stand-in for a plain service")
{
    const std::string address = free_address();
    child_process service{"standin-service", {"--listen", address, "--name", "loans-1"}};
    REQUIRE(service.wait_until_listening());
    httplib::Client client{"http://" + address};
    const auto call = [&client](const std::string& body) {
        return client.Post("/loans", body, "application/json");
    };
    const auto count = [&client](const std::string& id) {
        const nlohmann::json ledger = nlohmann::json::parse(client.Get("/control/ledger")->body);
        return ledger.at("counts").value(id, 0);
    };

    SUBCASE("an answer echoes the identifier and the ledger counts its runs")
    {
        const auto answer = call(R"({"id": "loan-1"})");
        REQUIRE(answer);
        CHECK(nlohmann::json::parse(answer->body).at("id") == "loan-1");
        CHECK(call(R"({"id": "loan-1"})"));
        CHECK(count("loan-1") == 2);
        CHECK(count("loan-2") == 0);
    }

    SUBCASE("a refused call doesn't run")
    {
        REQUIRE(client.Put("/control/faults", R"({"refuse": true})", "application/json"));
        CHECK(call(R"({"id": "loan-1"})")->status == 503);
        CHECK(count("loan-1") == 0);
    }

    SUBCASE("a cut call runs and gets no answer")
    {
        REQUIRE(client.Put("/control/faults", R"({"cut_after_chunks": 0})", "application/json"));
        CHECK_FALSE(call(R"({"id": "loan-1"})"));
        CHECK(count("loan-1") == 1);
    }

    SUBCASE("an unknown fault is refused")
    {
        CHECK(client.Put("/control/faults", R"({"noise": true})", "application/json")->status ==
              400);
    }

    service.terminate();
    CHECK(service.wait_for_exit() == 0);
}
