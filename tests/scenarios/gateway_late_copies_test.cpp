#include "gateway_pair.h"
#include "process/clock.h"
#include "standins/gateway/platform_world.h"
#include "standins/gateway/repeating_endpoint.h"
#include "support/free_port.h"

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

using namespace hickorykeel;
using namespace hickorykeel::standins;
using namespace hickorykeel::tests;
using namespace std::chrono_literals;

namespace {

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
