#include "support/fleet.h"
#include "support/paths.h"
#include "support/questions.h"
#include "support/repeat.h"
#include "support/wait_for.h"

#include <algorithm> // transform
#include <cctype>    // tolower
#include <cstddef>   // size_t
#include <fstream>   // ifstream
#include <set>       // set
#include <string>    // string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

constexpr const char* crete_domain = "crete-1";

std::set<std::string> endpoints_of(const fleet& running, const std::string& target,
                                   bool is_in_crete)
{
    std::set<std::string> names;
    for (const nlohmann::json& row : running.entries().at("targets/" + target).at("endpoints")) {
        if ((row.at("failure_domain") == crete_domain) == is_in_crete) {
            names.insert(row.at("name").get<std::string>());
        }
    }
    return names;
}

/// Endpoints of other regions saw nothing at all.
void check_others_empty(const fleet& running)
{
    for (const char* target : {"assistant", "bookings"}) {
        for (const std::string& name : endpoints_of(running, target, false)) {
            INFO(name);
            CHECK(running.ledger(name).at("requests").empty());
        }
    }
}

void add_bookings_of_crete(nlohmann::json& entries)
{
    nlohmann::json limited = entries.at("profiles/booking");
    limited["regions"] = {"crete"};
    entries["profiles/booking-crete"] = limited;
}

std::string read_key(const std::string& organisation)
{
    std::ifstream in{source_path("examples/kapnos/keys.json")};
    return nlohmann::json::parse(in).at(organisation);
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

} // namespace

TEST_CASE("a request stays in the regions of its profile")
{
    fleet_options options;
    options.adjust = add_bookings_of_crete;
    fleet running{options};
    REQUIRE(running.start() == "");

    // every host hands it to Crete, and nobody else sees it
    for (std::size_t host = 0; host < running.hosts().size(); ++host) {
        const http_caller caller = running.caller(host, "volunteers");
        for (const bool is_stream : {false, true}) {
            const outcome answer = repeat_passing_refusals(
                [&] { return caller.ask(make_question("visit-summary-crete", is_stream)); });
            INFO(answer.to_string());
            CHECK(answer.kind == outcome_kind::whole);
            CHECK(endpoints_of(running, "assistant", true).contains(answer.endpoint));
        }
        const outcome booked = repeat_passing_refusals([&] {
            return caller.call(make_booking("visit-" + std::to_string(host), "", "booking-crete"));
        });
        INFO(booked.to_string());
        CHECK(booked.kind == outcome_kind::whole);
    }
    check_others_empty(running);

    // all of the region's endpoints are down: refused, and still nobody else sees it
    for (const char* target : {"assistant", "bookings"}) {
        for (const std::string& name : endpoints_of(running, target, true)) {
            running.process(name).kill();
        }
    }
    for (std::size_t host = 0; host < running.hosts().size(); ++host) {
        const http_caller caller = running.caller(host, "volunteers");
        for (const bool is_stream : {false, true}) {
            const outcome answer = caller.ask(make_question("visit-summary-crete", is_stream));
            INFO(answer.to_string());
            CHECK(answer.kind == outcome_kind::refused);
            CHECK(answer.ran == "no");
        }
        const outcome booked =
            caller.call(make_booking("visit-without-endpoint", "", "booking-crete"));
        INFO(booked.to_string());
        CHECK(booked.kind == outcome_kind::refused);
        CHECK(booked.ran == "no");
    }
    check_others_empty(running);

    // the region's hosts are gone as well
    for (const char* part : {"entry", "dispatch", "configd"}) {
        running.process(std::string{crete_domain} + "-a/" + part).kill();
    }
    for (const std::size_t host : {std::size_t{0}, std::size_t{2}}) {
        outcome answer;
        CHECK(wait_for([&] {
            answer =
                running.caller(host, "volunteers").ask(make_question("visit-summary-crete", true));
            return answer.kind == outcome_kind::refused && answer.ran == "no";
        }));
        INFO(answer.to_string());
    }
    check_others_empty(running);
}

TEST_CASE("no endpoint sees a caller's key or a header beyond the allowed ones")
{
    fleet running;
    REQUIRE(running.start() == "");
    const std::set<std::string> allowed{"accept",     "content-length", "content-type",
                                        "host",       "user-agent",     "x-request-id",
                                        "x-priority", "traceparent",    "x-fencing-token",
                                        "connection"};

    for (std::size_t host = 0; host < running.hosts().size(); ++host) {
        const http_caller caller = running.caller(host, "volunteers");
        chat_question question = make_question("visit-summary-crete", true);
        question.profile = "visit-summary";
        question.idempotency_key = "a key of the caller";
        question.deadline_ms = 10'000;
        CHECK(repeat_passing_refusals([&] { return caller.ask(question); }).kind ==
              outcome_kind::whole);
        service_question booking =
            make_booking("visit-" + std::to_string(host), "", "booking-crete");
        booking.profile = "booking";
        booking.idempotency_key = caller.tickets("booking").at(0);
        CHECK(repeat_passing_refusals([&] { return caller.call(booking); }).kind ==
              outcome_kind::whole);
    }
    const std::string key = read_key("volunteers");
    REQUIRE_FALSE(key.empty());
    std::size_t runs = 0;
    for (const char* target : {"assistant", "bookings"}) {
        for (const auto& row : running.ledgers(target)) {
            const std::string& name = row.first;
            for (const nlohmann::json& run : row.second.at("requests")) {
                ++runs;
                for (const auto& header : run.at("headers").items()) {
                    INFO(name, " saw ", header.key());
                    CHECK(allowed.contains(to_lower(header.key())));
                    const std::string value = header.value();
                    CHECK(value.find(key) == std::string::npos);
                }
            }
        }
    }
    CHECK(runs == 2 * running.hosts().size());
}
