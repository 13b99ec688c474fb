#include "process/clock.h"
#include "standins/gateway/platform_world.h"
#include "standins/gateway/repeating_endpoint.h"
#include "support/child_process.h"
#include "support/free_port.h"
#include "support/scratch_file.h"

#include <algorithm>  // all_of, lower_bound, max, min
#include <chrono>     // milliseconds
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // make_unique, shared_ptr, unique_ptr
#include <random>     // mt19937_64
#include <set>        // set
#include <string>     // string
#include <vector>     // vector

#include <doctest/doctest.h>
#include <fmt/format.h> // format
#include <nlohmann/json.hpp>

using namespace hickorykeel;
using namespace hickorykeel::standins;
using namespace hickorykeel::tests;
using namespace std::chrono_literals;

namespace {

const std::string caller_host = "h.example";
const std::string key = "key-one";

nlohmann::json make_route(const std::string& name, const std::vector<std::string>& homes = {})
{
    return {{"name", name},        {"host", caller_host},      {"prefix", "/" + name + "/"},
            {"timeoutMs", 20'000}, {"kind", "non_idempotent"}, {"sloMs", 2'000},
            {"priority", 1},       {"service", "s"},           {"maxAttempts", 3},
            {"anonymous", false},  {"resumable", false},       {"homeRegions", homes}};
}

nlohmann::json make_configuration()
{
    return {{"version", 1},
            {"routes", {make_route("once"), make_route("homed", {"b"})}},
            {"services",
             {{{"name", "s"},
               {"healthPath", "/healthz"},
               {"maxConns", 50},
               {"coldPerS", 1},
               {"coldS", 600}}}},
            {"limits",
             {{"headerBytes", 16'384},
              {"bodyBytes", 1'000'000},
              {"headerTimeoutMs", 10'000},
              {"idleTimeoutMs", 60'000}}},
            {"tenants",
             {{{"name", "o"},
               {"apiKeys", {key}},
               {"perS", 0},
               {"burst", 0},
               {"unit", "tokens"},
               {"plainTokens", 1}}}}};
}

/// The platform with two gateways, in one region each or in the same.
class gateway_pair {
public:
    /// Starts the gateways. @param regions of the failure domains "x-1" and "x-2", one gateway each
    explicit gateway_pair(const std::vector<std::string>& regions)
        : m_failure_domains{"\nfailure_domains =\n  x-1:" + regions.at(0) +
                            "\n  x-2:" + regions.at(1)}
    {
        m_world.put("op/config", make_configuration());
        start("x-1", regions.at(0), "2", "3");
        start("x-2", regions.at(1), "3", "2");
    }

    /// Waits until both are ready.
    void wait_until_ready()
    {
        for (const std::string& ip : m_ips) {
            REQUIRE(m_world.run_until([&] { return is_ready(ip); }));
        }
    }

    platform_world& world() { return m_world; }

    std::shared_ptr<world_answer> ask(std::size_t host, const std::string& target,
                                      const std::string& id)
    {
        return m_world.ask(m_ips.at(host) + m_callers, "POST", target,
                           {{"Host", caller_host},
                            {"X-Hickorykeel-Attempt-Id", id},
                            {"X-Hickorykeel-Deadline-Ms", "20000"},
                            {"Api-Key", key}},
                           "body");
    }

private:
    static std::string port()
    {
        const std::string address = free_address();
        return address.substr(address.rfind(':'));
    }

    void start(const std::string& failure_domain, const std::string& region,
               const std::string& last_byte, const std::string& other_last_byte)
    {
        const std::string any = free_address();
        const std::string net = any.substr(0, any.rfind('.') + 1);
        const std::string ip = net + last_byte;
        m_ips.push_back(ip);
        m_settings.push_back(std::make_unique<scratch_file>(
            "[host]\nname = host-" + failure_domain + "\nip = " + ip +
            "\nfailure_domain = " + failure_domain + "\nregion = " + region + m_failure_domains +
            "\n[listen]\ncallers = " + ip + m_callers + "\nreadiness = " + ip + m_readiness +
            "\ndirectory = " + ip + m_directory + "\npeers = " + ip + m_peers +
            "\nmetrics = " + ip + m_metrics + "\n[peers]\nseeds =\n  " + ip + m_peers + "\n  " +
            net + other_last_byte + m_peers + "\n[source]\naddress = " + m_store_address + "\n"));
        m_processes.push_back(std::make_unique<child_process>(
            "hickorykeel-gateway",
            std::vector<std::string>{"--settings", m_settings.back()->path()}));
    }

    bool is_ready(const std::string& ip)
    {
        const auto answer = m_world.ask(ip + m_readiness, "GET", "/hickorykeel/readyz", {});
        REQUIRE(m_world.run_until([&] { return answer->has_ended; }));
        return answer->status == 200;
    }

    std::string m_failure_domains;
    std::string m_store_address = free_address();
    std::string m_callers = port();
    std::string m_readiness = port();
    std::string m_directory = port();
    std::string m_peers = port();
    std::string m_metrics = port();
    platform_world m_world{m_store_address};
    std::vector<std::string> m_ips;
    std::vector<std::unique_ptr<scratch_file>> m_settings;
    std::vector<std::unique_ptr<child_process>> m_processes;
};

/// Two gateways, one in each of two regions, and two endpoints in each that send late copies of
/// refusals.
class repeating_platform {
public:
    explicit repeating_platform(std::uint64_t seed)
    {
        const std::vector<std::string> failure_domains{"x-1", "x-1", "x-2", "x-2"};
        for (std::size_t i = 0; i < failure_domains.size(); ++i) {
            m_endpoints.push_back(std::make_unique<repeating_endpoint>(
                m_gateways.world(), fmt::format("i-{}", i), "s", failure_domains[i], free_address(),
                seed + i));
        }
        m_gateways.wait_until_ready();
    }

    platform_world& world() { return m_gateways.world(); }
    gateway_pair& gateways() { return m_gateways; }
    auto& endpoints() { return m_endpoints; }

    [[nodiscard]] int runs(const std::string& id) const
    {
        int sum = 0;
        for (const auto& endpoint : m_endpoints) {
            const auto found = endpoint->runs().find(id);
            sum += found == endpoint->runs().end() ? 0 : found->second;
        }
        return sum;
    }

    [[nodiscard]] repeating_endpoint::counts events() const
    {
        repeating_endpoint::counts sum;
        for (const auto& endpoint : m_endpoints) {
            const auto& more = endpoint->events();
            sum.rejected += more.rejected;
            sum.misdirected += more.misdirected;
            sum.returned += more.returned;
            sum.copies += more.copies;
            sum.matched += more.matched;
            sum.interjected += more.interjected;
        }
        return sum;
    }

private:
    gateway_pair m_gateways{{"a", "b"}};
    std::vector<std::unique_ptr<repeating_endpoint>> m_endpoints;
};

/// A caller that sends one request at a time, and repeats most of what was refused under its id.
struct repeating_caller {
    std::string id;
    std::size_t host = 0;                 ///< that the last sending went to
    std::shared_ptr<world_answer> answer; ///< null: none is awaited
    time_point next{};                    ///< time of the next sending
    bool repeats = false;                 ///< the next sending has the id of the last one
};

/// What callers have been told, and what has run against it.
struct caller_book {
    std::size_t sendings = 0;
    std::size_t repeats = 0; ///< sendings under the id of a refused one
    std::map<int, std::size_t> statuses;
    std::map<std::string, int> last_status; ///< by id
    std::set<std::string> refused_but_ran;  ///< ids told to be unexecuted that ran
};

bool is_refusal(int status)
{
    return status == 503 || status == 429 || status == 421;
}

/// Sends `count` requests from concurrent callers, with a restart of an endpoint every now and then.
caller_book send_requests(repeating_platform& platform, std::uint64_t seed, std::size_t count)
{
    constexpr std::size_t sendings_between_restarts = 25;
    // before a repeat: an endpoint that has refused gets no request for a moment
    constexpr std::uint64_t repeat_pause_ms = 60;
    constexpr std::uint64_t longest_pause_ms = 20;
    std::mt19937_64 random{seed};
    std::vector<repeating_caller> callers(8);
    caller_book book;
    const auto note_answer = [&](repeating_caller& caller) {
        const int status = caller.answer->is_whole ? caller.answer->status : 0;
        caller.answer = nullptr;
        ++book.statuses[status];
        book.last_status[caller.id] = status;
        if (is_refusal(status) && platform.runs(caller.id) > 0) {
            book.refused_but_ran.insert(caller.id);
        }
        caller.repeats = is_refusal(status) && random() % 10 > 0;
        const std::uint64_t pause_ms =
            random() % (longest_pause_ms + 1) + (caller.repeats ? repeat_pause_ms : 0);
        caller.next = boot_clock::now() + std::chrono::milliseconds{pause_ms};
    };
    const auto send_next = [&](repeating_caller& caller) {
        ++book.sendings;
        book.repeats += caller.repeats ? 1 : 0;
        if (!caller.repeats) {
            caller.id = fmt::format("{:016x}", book.sendings);
        }
        if (!caller.repeats || random() % 4 == 0) {
            caller.host = random() % 2;
        }
        caller.answer = platform.gateways().ask(
            caller.host, random() % 4 == 0 ? "/homed/x" : "/once/x", caller.id);
        if (book.sendings % sendings_between_restarts == 0) {
            const std::size_t at = book.sendings / sendings_between_restarts;
            platform.endpoints().at(at % platform.endpoints().size())->restart();
        }
    };
    while (book.sendings < count) {
        // in parts, each of which takes less than the world's limit on a wait
        const std::size_t goal = std::min(count, book.sendings + 100);
        REQUIRE(platform.world().run_until([&] {
            const time_point now = boot_clock::now();
            for (repeating_caller& caller : callers) {
                if (caller.answer != nullptr && caller.answer->has_ended) {
                    note_answer(caller);
                }
                if (caller.answer == nullptr && now >= caller.next && book.sendings < goal) {
                    send_next(caller);
                }
            }
            return book.sendings >= goal;
        }));
    }
    REQUIRE(platform.world().run_until([&] {
        return std::ranges::all_of(callers, [](const repeating_caller& caller) {
            return caller.answer == nullptr || caller.answer->has_ended;
        });
    }));
    for (repeating_caller& caller : callers) {
        if (caller.answer != nullptr) {
            note_answer(caller);
        }
    }
    // what a host may still have sent arrives while it reads the store a few times more
    const auto reads = platform.world().reads();
    REQUIRE(platform.world().run_until([&] { return platform.world().reads() >= reads + 12; }));
    for (const auto& [id, status] : book.last_status) {
        if (is_refusal(status) && platform.runs(id) > 0) {
            book.refused_but_ran.insert(id);
        }
    }
    return book;
}

std::string to_text(const caller_book& book, const repeating_endpoint::counts& events)
{
    std::string text = fmt::format(
        "sendings {}, repeats {}, rejected {}, misdirected {}, returned {}, copies {}, to the same "
        "id {}, to another id {}; statuses:",
        book.sendings, book.repeats, events.rejected, events.misdirected, events.returned,
        events.copies, events.matched, events.interjected);
    for (const auto& [status, count] : book.statuses) {
        text += fmt::format(" {}: {}", status, count);
    }
    return text;
}

} // namespace

// guards against TWICE and REFUSED: a copy of a refusal that came when its id was under way again on
// the same connection was taken for the response, and the request ran elsewhere too, or its caller
// was told that it had not run
TEST_CASE("regression: late copies of refusals make nothing run twice over real processes")
{
    constexpr std::uint64_t seed = 20'261'206;
    CAPTURE(seed);
    repeating_platform platform{seed};
    const caller_book book = send_requests(platform, seed, 1'600);
    const auto events = platform.events();
    const std::string figures = to_text(book, events);
    CAPTURE(figures);
    MESSAGE(figures);

    std::size_t ran_twice = 0;
    std::size_t answered_without_run = 0;
    std::size_t answered = 0;
    for (const auto& [id, status] : book.last_status) {
        const int runs = platform.runs(id);
        ran_twice += runs > 1 ? 1 : 0;
        answered_without_run += status == 200 && runs == 0 ? 1 : 0;
        answered += status == 200 ? 1 : 0;
    }
    CHECK(ran_twice == 0);
    CHECK(book.refused_but_ran.empty());
    CHECK(answered_without_run == 0);
    // the schedule had what the test is about
    CHECK(answered > 1'000);
    CHECK(book.repeats > 40);
    CHECK(events.rejected > 100);
    CHECK(events.misdirected > 40);
    CHECK(events.returned > 40);
    CHECK(events.copies > 40);
}

namespace {

/// Most arrivals within a time of `length`, of those from `first` on.
std::size_t most_arrivals(const std::vector<time_point>& arrivals, time_point first,
                          duration length)
{
    std::size_t most = 0;
    auto oldest = std::ranges::lower_bound(arrivals, first);
    for (auto it = oldest; it != arrivals.end(); ++it) {
        while (*it - *oldest >= length) {
            ++oldest;
        }
        most = std::max(most, static_cast<std::size_t>(it - oldest) + 1);
    }
    return most;
}

} // namespace

// guards against LIMIT: an endpoint that names a rate got far more requests from the hosts together
TEST_CASE("two gateways keep to the rate that an endpoint names, together")
{
    constexpr auto settling_time = 6s;
    constexpr auto window = 4s;
    constexpr std::size_t limit_per_s = 1;
    constexpr std::size_t allowed = limit_per_s * 4 * 3 / 2 + 5; // in a window
    constexpr auto interval = 25ms; // of requests, at each host in turn
    gateway_pair gateways{{"a", "a"}};
    platform_world& world = gateways.world();
    endpoint_standin& in_need = world.add_endpoint("i-1", "s", "x-1", free_address());
    endpoint_standin& other = world.add_endpoint("i-2", "s", "x-2", free_address());
    gateways.wait_until_ready();

    std::size_t sent = 0;
    time_point next = boot_clock::now();
    std::vector<std::shared_ptr<world_answer>> answers;
    const auto send_until = [&](const std::function<bool()>& is_done) {
        CHECK(world.run_until([&] {
            const time_point now = boot_clock::now();
            if (now >= next) {
                next = now + interval;
                answers.push_back(
                    gateways.ask(sent % 2, "/once/x", fmt::format("{:016x}", sent + 1)));
                ++sent;
            }
            return is_done();
        }));
    };
    // more requests arrive before it names a rate
    send_until([&] { return in_need.arrivals().size() > 2 * allowed; });
    const std::size_t before = in_need.arrivals().size();
    in_need.set_limit(limit_per_s);
    send_until([&] { return in_need.arrivals().size() > before; });
    const time_point named = boot_clock::now();
    send_until([&] { return boot_clock::now() >= named + settling_time + 3 * window; });

    CHECK(world.run_until([&] {
        return std::ranges::all_of(answers, [](const auto& answer) { return answer->has_ended; });
    }));
    const std::size_t most = most_arrivals(in_need.arrivals(), named + settling_time, window);
    MESSAGE(fmt::format("sent {}, before the naming {}, after it {}, most in 4 s {}, other {}",
                        sent, before, in_need.arrivals().size() - before, most,
                        other.arrivals().size()));
    CHECK(most <= allowed);
    // the endpoint isn't left alone either
    CHECK(most > 0);
}
