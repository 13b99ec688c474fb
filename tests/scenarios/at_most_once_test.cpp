#include "support/fleet.h"
#include "support/repeat.h"
#include "support/wait_for.h"

#include <array>  // array
#include <chrono> // milliseconds, seconds
#include <future> // async, future
#include <string> // string
#include <thread> // sleep_for
#include <vector> // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

constexpr std::size_t attica = 0;
constexpr const char* endpoint_name = "bookings-1";

// longer than the silence limit and than the time within which dispatch must start a request
constexpr std::chrono::seconds long_pause{6};

// keeps a booking at the service while a fault strikes
constexpr int work_time_ms = 3'000;

constexpr std::chrono::milliseconds time_to_queue{300};

/// Where a booking stands when the fault strikes.
enum class step { before_dispatch, queued, running, answer_lost, answer_recorded };

constexpr std::array steps{step::answer_recorded, step::answer_lost, step::running, step::queued,
                           step::before_dispatch};
constexpr std::array step_names{"before dispatch", "queued", "running", "answer lost",
                                "answer recorded"};

enum class fault_kind { none, killed, frozen };

/// What strikes a process; without any, only the service's answer is cut.
struct fault {
    const char* name;
    fault_kind kind;
    const char* process;
};

constexpr std::array faults{
    fault{"answers cut", fault_kind::none, ""},
    fault{"entry killed", fault_kind::killed, "attica-1-a/entry"},
    fault{"dispatch killed", fault_kind::killed, "attica-1-a/dispatch"},
    fault{"entry frozen", fault_kind::frozen, "attica-1-a/entry"},
    fault{"dispatch frozen", fault_kind::frozen, "attica-1-a/dispatch"},
    fault{"service frozen", fault_kind::frozen, endpoint_name},
};

void strike(fleet& running, const fault& chosen)
{
    if (chosen.kind == fault_kind::killed) {
        running.process(chosen.process).kill();
    }
    else if (chosen.kind == fault_kind::frozen) {
        running.process(chosen.process).freeze();
    }
}

void mend(fleet& running, const fault& chosen)
{
    if (chosen.kind == fault_kind::killed) {
        REQUIRE(running.restart(chosen.process));
    }
    else if (chosen.kind == fault_kind::frozen) {
        std::this_thread::sleep_for(long_pause);
        running.process(chosen.process).thaw();
    }
}

/// A booking, and what its caller got.
struct booking {
    step at = step::before_dispatch;
    service_question question;
    std::future<outcome> pending;
    outcome first;
};

service_question make_question(step at, const fault& struck)
{
    service_question question;
    // one endpoint only, so that a second booking queues behind a running one; before dispatch
    // every failure domain may be tried
    question.profile = at == step::before_dispatch ? "booking" : "booking-attica";
    question.service = "bookings";
    question.path = "visits";
    question.id = std::string{step_names[static_cast<std::size_t>(at)]} + ", " + struck.name;
    return question;
}

std::uint64_t runs_of(const fleet& running, const std::string& id)
{
    const auto runs = running.service_runs("bookings");
    const auto found = runs.find(id);
    return found == runs.end() ? 0 : found->second;
}

bool set_service_faults(fleet& running, int cut_after_chunks, int late_ms)
{
    return running.set_faults(endpoint_name,
                              {{"cut_after_chunks", cut_after_chunks}, {"late_ms", late_ms}});
}

/// A booking with its ticket, not yet sent.
booking prepare(const fleet& running, step at, const fault& struck)
{
    booking made;
    made.at = at;
    made.question = make_question(at, struck);
    const http_caller caller = running.caller(attica, "volunteers");
    REQUIRE(wait_for([&] {
        const auto tickets = caller.tickets(made.question.profile);
        made.question.idempotency_key = tickets.empty() ? "" : tickets.front();
        return !tickets.empty();
    }));
    return made;
}

void send(const fleet& running, booking& item)
{
    item.pending = std::async(std::launch::async,
                              [caller = running.caller(attica, "volunteers"),
                               question = item.question] { return caller.call(question); });
}

outcome call_until_admitted(const fleet& running, const booking& item)
{
    const http_caller caller = running.caller(attica, "volunteers");
    return repeat_passing_refusals([&] { return caller.call(item.question); });
}

/// Brings the booking to its step and leaves it there.
void bring(fleet& running, booking& item, const fault& struck)
{
    switch (item.at) {
    case step::answer_recorded:
        REQUIRE(set_service_faults(running, -1, 0));
        item.first = call_until_admitted(running, item);
        CHECK(item.first.kind == outcome_kind::whole);
        break;
    case step::answer_lost:
        REQUIRE(set_service_faults(running, 0, 0));
        item.first = call_until_admitted(running, item);
        CHECK(item.first.kind == outcome_kind::refused);
        CHECK(item.first.ran == "unknown");
        CHECK(runs_of(running, item.question.id) == 1);
        break;
    case step::running:
        REQUIRE(
            set_service_faults(running, struck.kind == fault_kind::none ? 0 : -1, work_time_ms));
        send(running, item);
        REQUIRE(wait_for([&] { return runs_of(running, item.question.id) == 1; }));
        break;
    case step::queued:
        send(running, item);
        // its way to the queue can't be seen from outside
        std::this_thread::sleep_for(time_to_queue);
        WARN(runs_of(running, item.question.id) == 0);
        break;
    case step::before_dispatch:
        send(running, item);
        break;
    }
}

/// What the ledger must show whatever happened.
void check_runs(const fleet& running, const booking& item, const outcome& answer)
{
    const std::uint64_t runs = runs_of(running, item.question.id);
    INFO(item.question.id, ": ", answer.to_string());
    CHECK(runs <= 1);
    const bool is_run = runs == 1;
    if (answer.ran == "no") {
        CHECK_FALSE(is_run);
    }
    if (answer.kind == outcome_kind::whole) {
        CHECK(is_run);
    }
    CHECK(answer.kind != outcome_kind::wrong);
}

std::string to_words(const outcome& answer)
{
    return answer.code.empty() ? answer.to_string().substr(0, answer.to_string().find(','))
                               : answer.code + " (ran: " + answer.ran + ")";
}

/// Repeats the booking with its ticket at its host and at the others.
void repeat_everywhere(fleet& running, const booking& item)
{
    std::string line = item.question.id + ": first " + to_words(item.first) + ", again";
    for (std::size_t host = 0; host < running.hosts().size(); ++host) {
        const http_caller caller = running.caller(host, "volunteers");
        outcome answer;
        CHECK(wait_for([&] {
            answer = repeat_passing_refusals([&] { return caller.call(item.question); });
            check_runs(running, item, answer);
            return answer.code != "ticket_in_use";
        }));
        line += ' ' + to_words(answer) + (host == attica ? ", elsewhere" : "");
    }
    line += ", runs " + std::to_string(runs_of(running, item.question.id));
    MESSAGE(line);
}

void strike_at_every_step(fleet& running, const fault& chosen)
{
    std::vector<booking> bookings;
    bookings.reserve(steps.size());
    for (const step at : steps) {
        bookings.push_back(prepare(running, at, chosen));
    }
    for (booking& item : bookings) {
        if (item.at == step::before_dispatch) {
            strike(running, chosen);
        }
        bring(running, item, chosen);
    }
    mend(running, chosen);
    for (booking& item : bookings) {
        if (item.pending.valid()) {
            item.first = item.pending.get();
        }
    }
    REQUIRE(set_service_faults(running, -1, 0));
    for (const booking& item : bookings) {
        check_runs(running, item, item.first);
    }
    REQUIRE(running.wait_until_ready(attica));
    for (const booking& item : bookings) {
        repeat_everywhere(running, item);
    }
    for (const booking& item : bookings) {
        CHECK(runs_of(running, item.question.id) <= 1);
    }
}

void add_bookings_of_attica(nlohmann::json& entries)
{
    nlohmann::json limited = entries.at("profiles/booking");
    limited["regions"] = {"attica"};
    entries["profiles/booking-attica"] = limited;
    for (nlohmann::json& endpoint : entries.at("targets/bookings").at("endpoints")) {
        endpoint["slots"] = 1;
    }
}

} // namespace

TEST_CASE("a booking runs at most once, whatever fails at whichever step")
{
    fleet_options options;
    options.adjust = add_bookings_of_attica;
    fleet running{options};
    REQUIRE(running.start() == "");
    for (const fault& chosen : faults) {
        INFO(std::string{chosen.name});
        strike_at_every_step(running, chosen);
    }
}
