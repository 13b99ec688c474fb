#include "support/fleet.h"
#include "support/published.h"
#include "support/repeat.h"
#include "support/steady_callers.h"
#include "support/wait_for.h"

#include <atomic>  // atomic
#include <cstddef> // size_t
#include <map>     // map
#include <mutex>   // mutex, lock_guard
#include <string>  // string
#include <utility> // pair
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

constexpr std::size_t attica = 0;
constexpr std::size_t callers = 16;
constexpr int work_time_ms = 100;
constexpr const char* killed = "attica-1-a/dispatch";

/// Callers of one host that ask for idempotent work without a pause, and keep what they got.
class steady_flow {
public:
    explicit steady_flow(const fleet& running)
        : m_caller(running.caller(attica, "volunteers")),
          m_callers(callers, [this](std::size_t caller, std::size_t turn) { run(caller, turn); })
    {
    }

    /// Lets each caller end its request.
    void stop() { m_callers.stop(); }

    /// Waits until so many more requests were answered whole.
    [[nodiscard]] bool wait_for_whole(std::size_t more) const
    {
        const std::size_t wanted = m_whole + more;
        return wait_for([&] { return m_whole >= wanted; });
    }

    /// Requests and what became of them. Precondition: stopped.
    [[nodiscard]] const std::vector<std::pair<std::string, outcome>>& outcomes() const
    {
        return m_outcomes;
    }

private:
    void run(std::size_t caller, std::size_t turn)
    {
        // a repeat has an identifier of its own, so that the ledgers tell the two apart
        std::size_t repeat = 0;
        const std::string id = std::to_string(caller) + '/' + std::to_string(turn) + '/';
        repeat_passing_refusals([&] { return call(id + std::to_string(repeat++)); });
    }

    outcome call(const std::string& id)
    {
        service_question question;
        question.profile = "lookup";
        question.service = "bookings";
        question.path = "visits";
        question.id = id;
        outcome answer = m_caller.call(question);
        m_whole += answer.kind == outcome_kind::whole ? 1 : 0;
        const std::lock_guard lock{m_mutex};
        m_outcomes.emplace_back(question.id, answer);
        return answer;
    }

    http_caller m_caller;
    std::atomic<std::size_t> m_whole{0};
    std::mutex m_mutex; // guards m_outcomes
    std::vector<std::pair<std::string, outcome>> m_outcomes;
    steady_callers m_callers; // stopped first
};

/// Bookings that may run twice, for an organisation without a limit that matters here.
void add_lookups(nlohmann::json& entries)
{
    nlohmann::json lookup = entries.at("profiles/booking");
    lookup["idempotent"] = true;
    entries["profiles/lookup"] = lookup;
    lift_limit(entries);
    for (nlohmann::json& endpoint : entries.at("targets/bookings").at("endpoints")) {
        endpoint["slots"] = 2 * callers;
    }
}

} // namespace

TEST_CASE("a killed dispatch process costs no caller an idempotent request")
{
    fleet_options options;
    options.adjust = add_lookups;
    fleet running{options};
    REQUIRE(running.start() == "");
    for (const auto& [endpoint, book] : running.ledgers("bookings")) {
        REQUIRE(running.set_faults(endpoint, {{"late_ms", work_time_ms}}));
    }
    steady_flow flow{running};
    REQUIRE(flow.wait_for_whole(2 * callers));
    running.process(killed).kill();
    CHECK(flow.wait_for_whole(10 * callers));
    REQUIRE(running.restart(killed));
    CHECK(flow.wait_for_whole(10 * callers));
    flow.stop();

    const auto runs = running.service_runs("bookings");
    std::map<std::string, std::size_t> counts;
    for (const auto& row : flow.outcomes()) {
        const std::string& id = row.first;
        const outcome& answer = row.second;
        INFO(id, ": ", answer.to_string());
        // another failure domain may run it, so a lost link is no reason to refuse
        const bool is_whole = answer.kind == outcome_kind::whole;
        CHECK((is_whole || is_passing_refusal(answer)));
        CHECK((!is_whole || runs.contains(id)));
        CHECK((answer.ran != "no" || !runs.contains(id)));
        ++counts[answer.kind == outcome_kind::whole ? "whole" : answer.code + ' ' + answer.ran];
    }
    for (const auto& [name, count] : counts) {
        MESSAGE(name << ": " << count);
    }
}
