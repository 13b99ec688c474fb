#include "support/fleet.h"
#include "support/steady_callers.h"
#include "support/wait_for.h"

#include <algorithm> // max, min, sort
#include <atomic>    // atomic
#include <chrono>    // seconds
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <string>    // to_string
#include <thread>    // sleep_for
#include <utility>   // pair
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

constexpr double rate = 200;  // tokens a second
constexpr double burst = 800; // tokens
constexpr std::size_t output_tokens = 16;
constexpr std::chrono::seconds fault_time{4};

// From reservation to start at the engine; nothing starts after its deadline.
constexpr std::uint64_t deadline_ms = 3'000;
constexpr std::uint64_t patient_deadline_ms = 20'000;

fleet_options limited()
{
    fleet_options options;
    options.has_relays = true;
    options.adjust = [](nlohmann::json& entries) {
        entries["organisations/volunteers"]["rate"] = rate;
        entries["organisations/volunteers"]["burst"] = burst;
    };
    return options;
}

chat_question make_question(const std::string& text)
{
    chat_question question;
    question.profile = "visit-summary";
    question.model = "assistant";
    question.text = text;
    question.output_tokens = output_tokens;
    question.deadline_ms = deadline_ms;
    return question;
}

/// Callers at every host that ask without a pause until destroyed.
class crowd {
public:
    crowd(const fleet& running, std::size_t callers_per_host)
        : m_running(running),
          m_callers(running.hosts().size() * callers_per_host,
                    [this](std::size_t caller, std::size_t turn) { ask(caller, turn); })
    {
    }

    [[nodiscard]] int refused() const { return m_refused; }

private:
    void ask(std::size_t caller, std::size_t turn)
    {
        const std::size_t host = caller % m_running.hosts().size();
        const outcome answer =
            m_running.caller(host, "volunteers")
                .ask(make_question("lamp " + std::to_string(caller) + ' ' + std::to_string(turn)));
        m_refused += answer.kind == outcome_kind::refused ? 1 : 0;
    }

    const fleet& m_running;
    std::atomic<int> m_refused = 0;
    steady_callers m_callers; // stopped first
};

/// Start (seconds) and tokens of every run at the engines, in order of time.
std::vector<std::pair<double, double>> runs(const fleet& running)
{
    std::vector<std::pair<double, double>> found;
    for (const auto& [endpoint, book] : running.ledgers("assistant")) {
        for (const nlohmann::json& run : book.at("requests")) {
            found.emplace_back(run.at("stamp").get<double>() / 1e9,
                               run.at("prompt_tokens").get<double>() +
                                   run.at("output_tokens").get<double>());
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

/// Largest amount of tokens above `burst + rate * (window + deadline)` in any window; at most 0: none.
double largest_excess(const std::vector<std::pair<double, double>>& started)
{
    double sum = 0;
    double lowest = 0;
    double excess = 0;
    bool is_first = true;
    for (const auto& [at, tokens] : started) {
        const double before = sum - rate * at;
        lowest = is_first ? before : std::min(lowest, before);
        sum += tokens;
        const double over =
            sum - rate * at - lowest - burst - rate * static_cast<double>(deadline_ms) / 1e3;
        excess = is_first ? over : std::max(excess, over);
        is_first = false;
    }
    return excess;
}

} // namespace

TEST_CASE("an organisation keeps within its rate while processes and links fail")
{
    fleet running{limited()};
    REQUIRE(running.start().empty());
    {
        const crowd callers{running, 4};
        CHECK(wait_for([&] { return callers.refused() > 0; }));
        running.process("attica-1-a/entry").kill();
        std::this_thread::sleep_for(fault_time);
        CHECK(running.restart("attica-1-a/entry"));
        running.process("crete-1-a/entry").freeze();
        std::this_thread::sleep_for(fault_time);
        running.process("crete-1-a/entry").thaw();
        running.set_link("attica-1", "epirus-1", {link_mode::cut, {}});
        running.set_link("epirus-1", "attica-1", {link_mode::cut, {}});
        std::this_thread::sleep_for(fault_time);
    }
    const auto started = runs(running);
    REQUIRE(!started.empty());
    double total = 0;
    for (const auto& [at, tokens] : started) {
        total += tokens;
    }
    MESSAGE("runs ", started.size(), ", tokens ", total, ", seconds ",
            started.back().first - started.front().first);
    CHECK(largest_excess(started) <= 0);
}

TEST_CASE("an organisation within its rate isn't refused in a quiet fleet")
{
    fleet running{limited()};
    REQUIRE(running.start().empty());
    const http_caller caller = running.caller(0, "volunteers");
    // a slow machine is no refusal
    const auto ask = [&](const std::string& text) {
        chat_question question = make_question(text);
        question.deadline_ms = patient_deadline_ms;
        return caller.ask(question);
    };
    // buckets start empty
    REQUIRE(wait_for([&] { return ask("first").kind == outcome_kind::whole; }));
    constexpr std::chrono::seconds pause{1}; // its tokens return at a fifth of the rate
    for (int i = 0; i < 6; ++i) {
        std::this_thread::sleep_for(pause);
        const outcome answer = ask("quiet " + std::to_string(i));
        INFO(answer.to_string());
        CHECK(answer.kind == outcome_kind::whole);
    }
}
