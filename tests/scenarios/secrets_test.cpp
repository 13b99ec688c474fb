#include "support/fake_collector.h"
#include "support/fleet.h"
#include "support/questions.h"
#include "support/wait_for.h"
#include "version/check.h"

#include <string> // string
#include <vector> // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

constexpr const char* planted_key = "planted-key-4f1b7c";
constexpr const char* stranger_key = "planted-stranger-90aa3d";
constexpr const char* planted_prompt = "planted-prompt-77e2c1";
constexpr const char* planted_answer = "planted-answer-c05d9b";
constexpr const char* planted_body = "planted-body-1e68f4";
constexpr const char* planted_trace = "planted-trace-5a30d2";

/// A plain service whose answers hold a secret, or that fails with one.
class secret_service : public fake_server {
public:
    secret_service()
    {
        server.Post("/whole.*", [](const auto&, auto& response) {
            response.set_content(planted_answer, "text/plain");
        });
        server.Post("/cut.*", [](const auto&, auto& response) {
            response.set_content_provider(
                1'000'000, "text/plain", [](std::size_t, std::size_t, httplib::DataSink& sink) {
                    sink.write(planted_answer, std::string_view{planted_answer}.size());
                    return false;
                });
        });
        start();
    }
};

nlohmann::json to_target(const std::string& address)
{
    return {{"kind", "service"},
            {"endpoints",
             {{{"name", "probe-1"}, {"failure_domain", "attica-1"}, {"address", address}}}}};
}

httplib::Result book(const fleet& running, const std::string& path, const std::string& key,
                     const std::string& ticket)
{
    httplib::Client client{"http://" + running.hosts()[0].caller_address};
    httplib::Headers headers{{"Authorization", "Bearer " + key},
                             {"X-Hickorykeel-Profile", "booking"},
                             {"traceparent", planted_trace}};
    if (!ticket.empty()) {
        headers.emplace("Idempotency-Key", ticket);
    }
    return client.Post("/v1/services/bookings/" + path, headers, planted_body, "text/plain");
}

std::string get(const std::string& address, const std::string& path)
{
    const httplib::Headers headers{{"Authorization", "Bearer " + fleet::admin_key()}};
    const auto answer = httplib::Client{"http://" + address}.Get(path, headers);
    REQUIRE(answer);
    return answer->body;
}

/// Everything that a process of the project tells anybody but its callers.
std::string told(fleet& running)
{
    std::string text;
    const std::string explain = "/admin/v1/explain?key_digest=" + to_key_digest(planted_key) +
                                "&profile=booking&target=bookings";
    for (const fleet_host& host : running.hosts()) {
        for (const auto& [part, address] : host.admin_addresses) {
            for (const std::string& path :
                 {std::string{"/metrics"}, std::string{"/admin/v1/status"},
                  std::string{"/admin/v1/hosts"}, std::string{"/admin/v1/limits"}, explain}) {
                text += get(address, path);
            }
            const child_process& process = running.process(host.name + '/' + part);
            text += process.output() + process.errors();
        }
    }
    return text;
}

} // namespace

TEST_CASE("no secret reaches a log, a metric, administration or a span")
{
    fake_collector collector;
    secret_service service;
    fleet_options options;
    options.trace_address = collector.address();
    options.is_link_encrypted = true;
    options.further_keys = {{"volunteers", planted_key}};
    options.adjust = [](nlohmann::json& entries) {
        entries["organisations/volunteers"]["key_digests"] = {to_key_digest(planted_key)};
    };
    fleet running{options};
    REQUIRE(running.start() == "");
    REQUIRE(running.publish({{"targets/bookings", to_target(service.address())}}));
    REQUIRE(wait_for([&] {
        const auto answer = book(running, "whole", planted_key, "");
        return answer && answer->body == planted_answer;
    }));

    const http_caller caller = running.caller(0, "volunteers");
    std::vector<std::string> secrets{
        planted_key,  stranger_key,  planted_prompt,     planted_answer,
        planted_body, planted_trace, fleet::admin_key(), running.link_secret_key()};
    for (const bool is_stream : {false, true}) {
        const outcome answer =
            caller.ask(make_question("visit-summary", is_stream, 16, planted_prompt));
        REQUIRE(answer.kind == outcome_kind::whole);
        secrets.push_back(answer.text);
    }
    const auto tickets = caller.tickets("booking");
    REQUIRE(tickets.size() > 1);
    secrets.push_back(tickets[0]);
    CHECK(book(running, "whole", planted_key, tickets[0])->status == 200);
    CHECK(book(running, "whole", planted_key, tickets[0])->status == 200); // a repeat
    CHECK(book(running, "cut", planted_key, tickets[1])->status == 502);
    CHECK(book(running, "whole", stranger_key, "")->status == 401);
    REQUIRE(wait_for([&] { return collector.text().find("refusal") != std::string::npos; }));

    std::string text = told(running);
    for (const fleet_host& host : running.hosts()) {
        for (const char* part : {"entry", "dispatch", "configd"}) {
            child_process& process = running.process(host.name + '/' + part);
            process.terminate();
            CHECK(process.wait_for_exit() == 0);
            text += process.output() + process.errors();
        }
    }
    text += collector.text();
    CHECK(text.find("volunteers") != std::string::npos); // the search sees what is told
    for (const std::string& secret : secrets) {
        CAPTURE(secret);
        REQUIRE(secret.size() > 8);
        CHECK(text.find(secret) == std::string::npos);
    }
}
