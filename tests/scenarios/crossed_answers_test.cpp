#include "support/fleet.h"
#include "support/questions.h"
#include "support/repeat.h"

#include <array>   // array
#include <cstddef> // size_t
#include <map>     // map
#include <mutex>   // mutex
#include <string>  // string
#include <thread>  // thread
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

constexpr std::size_t callers_of_host = 8;
constexpr std::size_t questions_of_caller = 12;
constexpr std::size_t least_tokens = 4;
constexpr std::size_t various_lengths = 16;

/// Every caller's questions differ from all others by text and length.
chat_question make_question_of(std::size_t caller, std::size_t number)
{
    return make_question("visit-summary", (caller + number) % 2 == 0,
                         least_tokens + (caller * 7 + number * 3) % various_lengths,
                         "caller " + std::to_string(caller) + " asks " + std::to_string(number));
}

service_question make_call(std::size_t caller, std::size_t number)
{
    service_question question;
    question.profile = "booking";
    question.service = "bookings";
    question.path = "visits";
    question.id = "visit " + std::to_string(caller) + " of " + std::to_string(number);
    return question;
}

/// Whether a caller may get this: its own whole answer, or a refusal that says whether it ran.
bool is_fair(const outcome& answer)
{
    const bool is_refusal = answer.kind == outcome_kind::refused && !answer.code.empty() &&
                            (answer.ran == "no" || answer.ran == "unknown");
    return answer.kind == outcome_kind::whole || is_refusal;
}

/// Outcomes of all callers.
class tally {
public:
    void add(const outcome& answer)
    {
        const std::lock_guard lock{m_mutex};
        ++m_counts[answer.kind == outcome_kind::whole ? "whole" : answer.code];
        if (!is_fair(answer)) {
            m_unfair.push_back(answer);
        }
    }

    [[nodiscard]] std::size_t count(const std::string& name) const
    {
        const auto found = m_counts.find(name);
        return found == m_counts.end() ? 0 : found->second;
    }

    [[nodiscard]] const std::vector<outcome>& unfair() const { return m_unfair; }

    [[nodiscard]] std::string to_string() const
    {
        std::string line;
        for (const auto& [name, count] : m_counts) {
            line += ' ' + name + ' ' + std::to_string(count);
        }
        return line;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::size_t> m_counts;
    std::vector<outcome> m_unfair;
};

void ask_all(const http_caller& caller, std::size_t number, tally& outcomes)
{
    for (std::size_t i = 0; i < questions_of_caller; ++i) {
        outcomes.add(
            repeat_passing_refusals([&] { return caller.ask(make_question_of(number, i)); }));
        outcomes.add(repeat_passing_refusals([&] { return caller.call(make_call(number, i)); }));
    }
}

} // namespace

TEST_CASE("callers side by side get their own whole answers or a refusal")
{
    fleet running;
    REQUIRE(running.start() == "");
    // the endpoints of a failure domain differ in their faults, so that answers overtake others
    const std::array<nlohmann::json, 4> faults{
        nlohmann::json{{"slow_factor", 6.0}}, nlohmann::json{{"late_ms", 150}},
        nlohmann::json{{"cut_after_chunks", 3}}, nlohmann::json{{"slow_factor", 1.0}}};
    std::size_t next = 0;
    for (const char* target : {"assistant", "bookings"}) {
        for (const auto& [endpoint, book] : running.ledgers(target)) {
            REQUIRE(running.set_faults(endpoint, faults.at(next++ % faults.size())));
        }
    }
    tally outcomes;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < callers_of_host * running.hosts().size(); ++i) {
        const http_caller caller = running.caller(i % running.hosts().size(), "volunteers");
        callers.emplace_back([caller, i, &outcomes] { ask_all(caller, i, outcomes); });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    MESSAGE(outcomes.to_string());
    CHECK(outcomes.count("whole") > 0);
    CHECK(outcomes.unfair().empty());
    for (const outcome& answer : outcomes.unfair()) {
        MESSAGE(answer.to_string());
    }
    for (const auto& row : running.service_runs("bookings")) {
        INFO(row.first);
        CHECK(row.second == 1);
    }
}
