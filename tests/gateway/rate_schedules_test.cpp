#include "gateway/limits/rate_share.h"
#include "gateway/routing/endpoint_pool.h"
#include "gateway/troubled_fleet.h"

#include <algorithm> // max
#include <chrono>    // milliseconds, seconds
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <deque>     // deque
#include <map>       // map
#include <memory>    // unique_ptr
#include <string>    // string, to_string
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

namespace {

constexpr duration settled = 4s;
constexpr duration length = 24s;
constexpr duration window = 4s;
/// Time from the first naming of a rate from which it binds.
constexpr duration contact_time = 6s;
/// Time from a host's first response with the rate from which its requests count.
constexpr duration reaction_time = 500ms;
/// Time from a request until its response is received.
constexpr duration response_time = 100ms;

/// Most requests that may arrive within `window` at an endpoint that names `rate`.
std::size_t max_in_window(double rate)
{
    return static_cast<std::size_t>(1.5 * rate * to_seconds(window) + 5);
}

/// A region whose hosts all send as many requests as they may to endpoints that name a rate. What a
/// host learns in a response, the others hear with its heartbeats.
///
/// A host's requests count from `reaction_time` after it was told, until it starts anew: it knows
/// nothing then. Freezes and cuts don't excuse it.
class rate_schedule {
public:
    rate_schedule(int hosts, double rate, const troubles& played, std::uint64_t seed)
        : m_rate{rate}, m_fleet{hosts, played, seed}
    {
        m_service.name = "s";
        for (int i = 0; i < endpoint_count; ++i) {
            endpoint_entry& entry = m_entries["i-" + std::to_string(i)];
            entry.id = "i-" + std::to_string(i);
            entry.service = "s";
            entry.address = "10.9.0." + std::to_string(i + 1) + ":80";
            entry.slots = 1'000;
            entry.started_ms = 1;
        }
        m_hosts.resize(m_fleet.size());
        m_fleet.on_start = [this](std::size_t index) { start(index); };
        m_fleet.on_step = [this](std::size_t index) { step(index); };
        m_fleet.fleet().on_news = [this](const simulated_fleet::host& receiver,
                                         const received_news& news) { hear(receiver, news); };
    }

    void run() { m_fleet.run(settled, length); }

    /// Most requests within `window` from `contact_time` after the first naming on.
    [[nodiscard]] std::size_t most() const noexcept { return m_most; }
    [[nodiscard]] std::size_t requests() const noexcept { return m_requests; }

private:
    static constexpr int endpoint_count = 4;

    struct response {
        std::string endpoint;
        time_point received{};
    };

    struct host_state {
        std::unique_ptr<endpoint_pool> pool;
        std::deque<response> responses;
        std::map<std::string, time_point> told_at; ///< first response with the rate, by endpoint
    };

    [[nodiscard]] time_point now() { return m_fleet.fleet().now(); }

    void start(std::size_t index)
    {
        host_state& state = m_hosts[index];
        state.responses.clear();
        state.told_at.clear();
        state.pool = std::make_unique<endpoint_pool>(
            endpoint_pool_options{}, [](const std::string&, double rate) { return rate; },
            [this, index](const std::string& id, double rate) {
                const simulated_fleet::host& host = m_fleet.fleet().hosts()[index];
                return to_rate_share(host.membership->members(),
                                     {host.ip, host.region, host.state.is_leaving}, id, rate,
                                     now() - m_fleet.started(index));
            });
        state.pool->update(
            m_entries, [](const endpoint_entry&) { return endpoint_pool::usability::usable; },
            [this](const std::string&) { return &m_service; }, now());
    }

    void hear(const simulated_fleet::host& receiver, const received_news& news)
    {
        const std::size_t index = m_fleet.fleet().index_of(receiver.ip);
        if (index < m_hosts.size()) {
            for (const rate_report& report : news.rates) {
                m_hosts[index].pool->on_peer_rate(report, now());
            }
        }
    }

    /// The host receives responses, sends what it may, and tells the others what it knows.
    void step(std::size_t index)
    {
        host_state& state = m_hosts[index];
        while (!state.responses.empty() && state.responses.front().received <= now()) {
            state.told_at.try_emplace(state.responses.front().endpoint, now());
            state.pool->on_rate_statement({state.responses.front().endpoint, 1},
                                          {m_rate, state.responses.front().received}, now());
            state.pool->on_end(state.responses.front().endpoint, 0, endpoint_outcome::answered,
                               now());
            state.responses.pop_front();
        }
        for (int sent = 0; sent < max_requests_in_step && send(state); ++sent) {}
        m_fleet.fleet().hosts()[index].state.rates = state.pool->rate_reports(now());
    }

    bool send(host_state& state)
    {
        const auto chosen = state.pool->choose({&m_service, nullptr, {}}, now(), m_fleet.random());
        if (!chosen) {
            return false;
        }
        static_cast<void>(state.pool->on_sent(chosen->endpoint, nullptr, now()));
        state.responses.push_back({chosen->endpoint, now() + response_time});
        ++m_requests;
        record(state, chosen->endpoint);
        return true;
    }

    void record(const host_state& sender, const std::string& endpoint)
    {
        const auto told = sender.told_at.find(endpoint);
        if (told == sender.told_at.end() || now() < told->second + reaction_time) {
            return;
        }
        const time_point first = m_first_named.try_emplace(endpoint, told->second).first->second;
        std::deque<time_point>& arrivals = m_arrivals[endpoint];
        arrivals.push_back(now());
        while (now() - arrivals.front() > window) {
            arrivals.pop_front();
        }
        if (now() >= first + contact_time) {
            m_most = std::max(m_most, arrivals.size());
        }
    }

    static constexpr int max_requests_in_step = 4;

    double m_rate;
    troubled_fleet m_fleet;
    service m_service;
    std::map<std::string, endpoint_entry> m_entries;
    std::vector<host_state> m_hosts;
    std::map<std::string, std::deque<time_point>> m_arrivals;
    std::map<std::string, time_point> m_first_named;
    std::size_t m_most = 0;
    std::size_t m_requests = 0;
};

/// Runs schedules with all seeds, and returns the most requests that an endpoint got in a window.
std::size_t most_of(int hosts, double rate, const troubles& played, std::uint64_t schedules)
{
    std::size_t most = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        rate_schedule schedule{hosts, rate, played, seed};
        schedule.run();
        CHECK(schedule.requests() > 0);
        if (schedule.most() > most) {
            MESSAGE("hosts " << hosts << ", rate " << rate << ", seed " << seed << ": "
                             << schedule.most() << " in 4 s, allowed " << max_in_window(rate));
        }
        most = std::max(most, schedule.most());
    }
    return most;
}

} // namespace

// guards against LIMIT: the requests of all hosts together, which none of them sees
TEST_CASE("calm schedules: an endpoint gets more requests than the rate that it names")
{
    for (const double rate : {0.0, 0.3, 1.0, 3.6, 20.0}) {
        for (const int hosts : {2, 6, 26, 60}) {
            CAPTURE(rate);
            CAPTURE(hosts);
            const std::size_t most = most_of(hosts, rate, {}, 1);
            CHECK(most <= max_in_window(rate));
            // most of the rate is used
            CHECK(static_cast<double>(most) >= 0.8 * rate * to_seconds(window));
        }
    }
}

// guards against LIMIT in orders of events that no single test has: hosts that know it late, stop,
// end, freeze and are cut off
TEST_CASE("random schedules: an endpoint gets more requests than the rate that it names")
{
    const troubles all{.stops_per_s = 1,
                       .kills_per_s = 0.5,
                       .freezes_per_s = 0.5,
                       .cuts_per_s = 0.2,
                       .cut_fraction = 0.3};
    for (const double rate : {0.3, 1.0, 3.6}) {
        CAPTURE(rate);
        CHECK(most_of(2, rate, all, 10) <= max_in_window(rate));
        CHECK(most_of(6, rate, all, 10) <= max_in_window(rate));
        CHECK(most_of(26, rate, all, 2) <= max_in_window(rate));
    }
    CHECK(most_of(60, 1, all, 1) <= max_in_window(1));
}
