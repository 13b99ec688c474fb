#include "support/fleet.h"
#include "support/published.h"
#include "support/questions.h"
#include "support/repeat.h"
#include "support/steady_callers.h"
#include "support/wait_for.h"

#include <algorithm> // find
#include <atomic>    // atomic
#include <cstddef>   // size_t
#include <future>    // async, future
#include <mutex>     // mutex
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

constexpr std::size_t attica = 0;
constexpr std::size_t flow_callers = 6;
constexpr std::size_t long_answer = 64;
constexpr double slow_factor = 8;
constexpr int held_at = 16; // tokens; only long answers get so far

/// Callers that ask which hosts to use before each request, and keep what was not whole.
class steady_flow {
public:
    explicit steady_flow(const fleet& running)
    {
        m_addresses.reserve(running.hosts().size());
        m_callers.reserve(running.hosts().size());
        for (std::size_t i = 0; i < running.hosts().size(); ++i) {
            m_addresses.push_back(running.hosts()[i].caller_address);
            m_callers.push_back(running.caller(i, "volunteers"));
        }
        m_running.emplace(flow_callers,
                          [this](std::size_t caller, std::size_t turn) { ask(caller + turn); });
    }

    /// Lets each caller end its request.
    void stop() { m_running->stop(); }

    /// Waits until so many more requests were answered whole.
    [[nodiscard]] bool wait_for_whole(std::size_t more) const
    {
        const std::size_t wanted = m_whole + more;
        return wait_for([&] { return m_whole >= wanted; });
    }

    [[nodiscard]] std::size_t whole() const { return m_whole; }

    /// Outcomes that no caller should get. Precondition: stopped.
    [[nodiscard]] const std::vector<outcome>& faulty() const { return m_faulty; }

private:
    void ask(std::size_t host)
    {
        const http_caller& caller = m_callers[host % m_callers.size()];
        const nlohmann::json listed = caller.hosts("visit-summary");
        if (listed.is_object() && listed.contains("hosts")) {
            ask_first(listed.at("hosts"));
        }
    }

    /// Asks the hosts in their order; one without a connection never had the request.
    void ask_first(const nlohmann::json& hosts)
    {
        for (const nlohmann::json& row : hosts) {
            const auto found = std::find(m_addresses.begin(), m_addresses.end(), row.at("address"));
            const http_caller& caller =
                m_callers.at(static_cast<std::size_t>(found - m_addresses.begin()));
            const outcome answer = caller.ask(make_question("visit-summary", true, 8));
            if (answer.kind != outcome_kind::unreachable) {
                note(answer);
                return;
            }
        }
    }

    void note(const outcome& answer)
    {
        if (answer.kind == outcome_kind::whole) {
            ++m_whole;
        }
        else if (answer.code != "over_limit") {
            const std::lock_guard lock{m_mutex};
            m_faulty.push_back(answer);
        }
    }

    std::vector<std::string> m_addresses;
    std::vector<http_caller> m_callers;
    std::atomic<std::size_t> m_whole{0};
    std::mutex m_mutex; // guards m_faulty
    std::vector<outcome> m_faulty;
    std::optional<steady_callers> m_running; // stopped first
};

void set_engine_faults(fleet& running, const nlohmann::json& faults)
{
    for (const auto& [endpoint, book] : running.ledgers("assistant")) {
        REQUIRE(running.set_faults(endpoint, faults));
    }
}

std::size_t count_running(const fleet& running)
{
    std::size_t count = 0;
    for (const auto& [endpoint, book] : running.ledgers("assistant")) {
        for (const nlohmann::json& run : book.at("requests")) {
            const bool is_long = run.at("state") == "running" && run.at("output_tokens") > 8;
            count += is_long ? 1 : 0;
        }
    }
    return count;
}

/// What the engines have of the long streams, for a failure's report.
std::string describe_runs(const fleet& running)
{
    std::string text;
    for (const auto& [endpoint, book] : running.ledgers("assistant")) {
        for (const nlohmann::json& run : book.at("requests")) {
            if (run.at("state") == "running" || run.at("state") == "waiting") {
                text += endpoint + ' ' + run.dump() + '\n';
            }
        }
    }
    return text;
}

std::vector<std::future<outcome>> begin_streams(const fleet& running)
{
    constexpr std::size_t streams_of_host = 3;
    std::vector<std::future<outcome>> streams;
    for (std::size_t host = 0; host < running.hosts().size(); ++host) {
        for (std::size_t i = 0; i < streams_of_host; ++i) {
            streams.push_back(
                std::async(std::launch::async, [caller = running.caller(host, "volunteers")] {
                    return repeat_passing_refusals([&] {
                        return caller.ask(make_question("visit-summary", true, long_answer));
                    });
                }));
        }
    }
    return streams;
}

/// Stops a process by SIGTERM while streams run and requests arrive.
void check_stop(fleet& running, const std::string& name)
{
    CAPTURE(name);
    steady_flow flow{running};
    CHECK(flow.wait_for_whole(20));
    // no stream ends before all run; requests of the flow are shorter
    set_engine_faults(running, {{"hold_at_tokens", held_at}});
    auto streams = begin_streams(running);
    const bool all_run = wait_for([&] { return count_running(running) == streams.size(); });
    const std::string runs = all_run ? std::string{} : describe_runs(running);
    INFO(runs);
    CHECK(all_run);
    set_engine_faults(running, {{"hold_at_tokens", -1}});
    running.process(name).terminate();
    const auto code = running.process(name).wait_for_exit();
    CHECK(code == 0);
    CHECK(flow.wait_for_whole(20));
    for (auto& stream : streams) {
        const outcome ended = stream.get();
        INFO(ended.to_string());
        CHECK(ended.kind == outcome_kind::whole);
    }
    flow.stop();
    CHECK(flow.faulty().empty());
    for (const outcome& answer : flow.faulty()) {
        MESSAGE(answer.to_string());
    }
    MESSAGE(name << " stopped, requests answered whole meanwhile: " << flow.whole());
    // a host that is listed as leaving has no rights, and so never becomes ready
    REQUIRE(running.publish_hosts({}));
    REQUIRE(running.restart(name));
    REQUIRE(running.wait_until_ready(attica));
}

} // namespace

TEST_CASE("a planned stop cuts no request")
{
    fleet_options options;
    options.adjust = [](nlohmann::json& entries) {
        lengthen_deadlines(entries);
        lift_limit(entries); // the flow's small requests would keep rights from the streams
    };
    fleet running{options};
    REQUIRE(running.start() == "");
    set_engine_faults(running, {{"slow_factor", slow_factor}});

    check_stop(running, "attica-1-a/dispatch");

    // as operators do it: the host is published as leaving first
    REQUIRE(running.publish_hosts({{running.hosts()[attica].name, "leaving"}}));
    check_stop(running, "attica-1-a/entry");

    // without a word before
    check_stop(running, "attica-1-a/entry");
    check_stop(running, "attica-1-a/configd");
}

TEST_CASE("every process ends by itself and with code 0")
{
    fleet running;
    REQUIRE(running.start() == "");
    for (const fleet_host& host : running.hosts()) {
        for (const char* part : {"entry", "dispatch", "configd"}) {
            running.process(host.name + '/' + part).terminate();
        }
    }
    for (const fleet_host& host : running.hosts()) {
        for (const char* part : {"entry", "dispatch", "configd"}) {
            INFO(host.name, '/', part);
            CHECK(running.process(host.name + '/' + part).wait_for_exit() == 0);
        }
    }
}
