#include "gateway/limits/rate_share.h"
#include "gateway/rate_judge.h"
#include "gateway/routing/endpoint_pool.h"
#include "gateway/troubled_fleet.h"

#include <algorithm> // max
#include <chrono>    // milliseconds, seconds
#include <cstddef>   // size_t
#include <cstdint>   // int64_t, uint64_t
#include <map>       // map, multimap
#include <memory>    // make_unique, unique_ptr
#include <optional>  // nullopt, optional
#include <string>    // string, to_string
#include <utility>   // exchange, move
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

namespace {

constexpr duration settled = 4s;
constexpr duration length = 24s;
constexpr duration step_length = 50ms;

/// What an endpoint does of its own accord, in each second.
struct endpoint_troubles {
    double changes_per_s = 0;  ///< it names another rate, or none
    double lapses_per_s = 0;   ///< its entry isn't published for a while
    double restarts_per_s = 0; ///< it starts anew, under the same id or another one
    duration longest_response = 100ms;
    duration shortest_response = 100ms;
};

/// Endpoints of one service.
struct endpoint_group {
    std::optional<double> rate; ///< that they name at first
    std::size_t endpoints = 4;
    endpoint_troubles played{};
};

/// A region whose hosts all send as many requests as they may to endpoints that name a rate. What a
/// host learns in a response, the others hear with its heartbeats. Hosts learn late what is published
/// of the endpoints.
class rate_schedule {
public:
    rate_schedule(int hosts, std::vector<endpoint_group> groups, const troubles& played,
                  std::uint64_t seed)
        : m_groups{std::move(groups)}, m_fleet{hosts, played, seed}
    {
        for (std::size_t group = 0; group < m_groups.size(); ++group) {
            service& added = m_services["s" + std::to_string(group)];
            added.name = "s" + std::to_string(group);
            for (std::size_t i = 0; i < m_groups[group].endpoints; ++i) {
                m_endpoints.push_back({group, {}, {}, 0, true});
                start_life(m_endpoints.back(), next_id());
                m_endpoints.back().life->judge.on_change(m_groups[group].rate, now());
                publish(m_endpoints.back());
            }
        }
        m_hosts.resize(m_fleet.size());
        m_fleet.on_start = [this](std::size_t index) { start(index); };
        m_fleet.fleet().on_send = [this](simulated_fleet::host& sender) {
            const std::size_t index = m_fleet.fleet().index_of(sender.ip);
            if (index < m_hosts.size()) {
                host_state& state = m_hosts[index];
                sender.state.rates = state.pool->rate_reports(now());
                state.heard_since = std::exchange(state.heartbeat_at, now());
            }
        };
        m_fleet.on_wake = [this](std::size_t index) { excuse(index); };
        m_fleet.on_step = [this](std::size_t index) { step(index); };
        m_fleet.fleet().on_news = [this](const simulated_fleet::host& receiver,
                                         const received_news& news) { hear(receiver, news); };
    }

    void run() { m_fleet.run(settled, length); }

    /// Most requests within the window, while a rate bound, at one of the endpoints of a group.
    [[nodiscard]] std::size_t most(std::size_t group) const
    {
        std::size_t most = 0;
        for (const auto& life : m_lives) {
            most = std::max(most, life->group == group ? life->judge.most() : 0);
        }
        return most;
    }

    /// Requests that arrived while a rate bound.
    [[nodiscard]] std::size_t judged() const
    {
        std::size_t judged = 0;
        for (const auto& life : m_lives) {
            judged += life->judge.judged();
        }
        return judged;
    }

    /// Incarnations that got too many requests, with the times.
    [[nodiscard]] std::string broken() const
    {
        std::string found;
        for (const auto& life : m_lives) {
            for (const time_point at : life->judge.broken_at()) {
                found += ' ' + life->self.id + '/' + std::to_string(life->self.started_ms) +
                         " at " + std::to_string(to_seconds(at.time_since_epoch()));
            }
        }
        return found;
    }

private:
    /// One incarnation of an endpoint.
    struct endpoint_life {
        std::size_t group = 0;
        endpoint_incarnation self;
        rate_judge judge;
        time_point ended_at = time_point::max();
    };

    struct simulated_endpoint {
        std::size_t group = 0;
        endpoint_life* life = nullptr;
        time_point listed_from{}; ///< not published before
        std::int64_t published_ms = 0;
        bool is_listed = true;
    };

    struct response {
        endpoint_life* from = nullptr;
        endpoint_incarnation named; ///< incarnation that the host meant
        time_point asked_at{};
        time_point said_at{};
    };

    struct host_state {
        std::unique_ptr<endpoint_pool> pool;
        std::multimap<time_point, response> responses; ///< by receipt
        std::uint64_t version = 0;                     ///< of the published entries
        time_point next_update{};
        time_point heartbeat_at{}; ///< the last time that it sent heartbeats
        time_point heard_since{};  ///< the time before that
    };

    [[nodiscard]] time_point now() { return m_fleet.fleet().now(); }
    [[nodiscard]] bool happens(double per_s)
    {
        return per_s > 0 && random_fraction(m_fleet.random()) < per_s * to_seconds(step_length);
    }
    [[nodiscard]] duration span(duration from, duration to)
    {
        return from == to
                   ? from
                   : from + from_seconds(to_seconds(to - from) * random_fraction(m_fleet.random()));
    }
    [[nodiscard]] std::string next_id() { return "i-" + std::to_string(m_ids++); }

    // endpoints

    void start_life(simulated_endpoint& endpoint, const std::string& id)
    {
        auto life = std::make_unique<endpoint_life>();
        life->group = endpoint.group;
        life->self = {id, ++m_starts};
        endpoint.life = life.get();
        m_lives.push_back(std::move(life));
    }

    void publish(simulated_endpoint& endpoint)
    {
        endpoint_entry entry;
        entry.id = endpoint.life->self.id;
        entry.service = "s" + std::to_string(endpoint.group);
        entry.address = "10.9.0.1:80";
        entry.slots = 1'000;
        entry.started_ms = endpoint.life->self.started_ms;
        m_entries[entry.id] = entry;
        ++m_version;
    }

    [[nodiscard]] std::optional<double> random_rate()
    {
        static const std::vector<std::optional<double>> rates{
            std::nullopt, std::nullopt, std::nullopt, 0, 0.3, 1, 1.2, 3.6, 8, 20};
        return rates[random_index(m_fleet.random(), rates.size())];
    }

    void trouble(simulated_endpoint& endpoint)
    {
        const endpoint_troubles& played = m_groups[endpoint.group].played;
        if (happens(played.changes_per_s)) {
            const std::optional<double> rate = random_rate();
            if (rate != endpoint.life->judge.rate_at(now())) {
                endpoint.life->judge.on_change(rate, now());
            }
        }
        if (happens(played.lapses_per_s)) {
            m_entries.erase(endpoint.life->self.id);
            ++m_version;
            endpoint.is_listed = false;
            endpoint.listed_from = now() + span(100ms, 6s);
        }
        if (happens(played.restarts_per_s)) {
            endpoint.life->ended_at = now();
            const bool has_same_id = random_fraction(m_fleet.random()) < 0.5;
            const std::string id = endpoint.life->self.id;
            if (!has_same_id) {
                m_entries.erase(id);
                ++m_version;
            }
            start_life(endpoint, has_same_id ? id : next_id());
            endpoint.life->judge.on_change(random_rate(), now());
            endpoint.is_listed = false; // as it is now
            endpoint.listed_from = now() + span(0ms, 1s);
        }
        if (!endpoint.is_listed && now() >= endpoint.listed_from) {
            endpoint.is_listed = true;
            publish(endpoint);
        }
    }

    // hosts

    void start(std::size_t index)
    {
        host_state& state = m_hosts[index];
        state.responses.clear();
        state.heartbeat_at = now();
        state.heard_since = now();
        excuse(index);
        state.pool = std::make_unique<endpoint_pool>(
            endpoint_pool_options{}, [](const std::string&, double rate) { return rate; },
            [this, index](const std::string& id, double rate) {
                const simulated_fleet::host& host = m_fleet.fleet().hosts()[index];
                return to_rate_share(host.membership->members(),
                                     {host.ip, host.region, host.state.is_leaving}, id, rate,
                                     now() - m_fleet.started(index));
            });
        update(state);
    }

    void excuse(std::size_t index)
    {
        for (const auto& life : m_lives) {
            life->judge.on_excuse(index);
        }
    }

    void update(host_state& state)
    {
        state.version = m_version;
        state.next_update = now() + span(100ms, 1s);
        state.pool->update(
            m_entries, [](const endpoint_entry&) { return endpoint_pool::usability::usable; },
            [this](const std::string& name) { return &m_services.at(name); }, now(), now());
    }

    void hear(const simulated_fleet::host& receiver, const received_news& news)
    {
        const std::size_t index = m_fleet.fleet().index_of(receiver.ip);
        if (index < m_hosts.size()) {
            for (const rate_report& report : news.rates) {
                m_hosts[index].pool->on_peer_rate(report, m_hosts[index].heard_since, now());
            }
        }
    }

    /// The host receives responses and sends what it may.
    void step(std::size_t index)
    {
        if (m_last_step != now()) {
            m_last_step = now();
            for (simulated_endpoint& endpoint : m_endpoints) {
                trouble(endpoint);
            }
        }
        host_state& state = m_hosts[index];
        if (state.version != m_version && now() >= state.next_update) {
            update(state);
        }
        while (!state.responses.empty() && state.responses.begin()->first <= now()) {
            const response received = state.responses.begin()->second;
            state.responses.erase(state.responses.begin());
            receive(index, received);
        }
        for (const auto& [name, requested] : m_services) {
            for (int sent = 0; sent < max_requests_in_step && send(index, requested); ++sent) {}
        }
    }

    void receive(std::size_t index, const response& received)
    {
        endpoint_pool& pool = *m_hosts[index].pool;
        if (received.from == nullptr) {
            pool.on_end(received.named, 0, endpoint_outcome::unreachable, now());
            return;
        }
        if (!(received.from->self == received.named)) {
            pool.on_ended(received.named, now());
            pool.on_end(received.named, 0, endpoint_outcome::gone, now());
            return;
        }
        if (received.said_at >= received.from->ended_at) {
            pool.on_end(received.named, 0, endpoint_outcome::cut, now());
            return;
        }
        const std::optional<double> rate = received.from->judge.rate_at(received.said_at);
        received.from->judge.on_passed_on(index, received.said_at, now());
        // as endpoint_statements.cpp does
        pool.on_rate_statement(received.named, {rate, rate ? now() : received.asked_at}, now());
        pool.on_end(received.named, 0, endpoint_outcome::answered, now());
    }

    bool send(std::size_t index, const service& requested)
    {
        host_state& state = m_hosts[index];
        const auto chosen = state.pool->choose({&requested, nullptr, {}}, now(), m_fleet.random());
        if (!chosen) {
            return false;
        }
        static_cast<void>(state.pool->on_sent(chosen->endpoint, nullptr, now()));
        response added{nullptr, {chosen->endpoint, chosen->started_ms}, now(), {}};
        duration time = 1ms;
        for (const simulated_endpoint& endpoint : m_endpoints) {
            if (endpoint.life->self.id == chosen->endpoint) {
                const endpoint_troubles& played = m_groups[endpoint.group].played;
                added.from = endpoint.life;
                added.from->judge.on_arrival(index, now());
                time = span(played.shortest_response, played.longest_response);
                added.said_at = now() + span(0ms, time);
            }
        }
        state.responses.emplace(now() + time, added);
        return true;
    }

    static constexpr int max_requests_in_step = 4; // of one service

    std::vector<endpoint_group> m_groups;
    troubled_fleet m_fleet;
    std::map<std::string, service> m_services;
    std::vector<std::unique_ptr<endpoint_life>> m_lives;
    std::vector<simulated_endpoint> m_endpoints;
    std::map<std::string, endpoint_entry> m_entries; ///< published
    std::uint64_t m_version = 1;
    std::vector<host_state> m_hosts;
    time_point m_last_step{};
    std::uint64_t m_ids = 0;
    std::int64_t m_starts = 0;
};

/// Runs schedules of endpoints that keep to their rates, with all seeds, and returns the most
/// requests that an endpoint got in a window, by rate.
std::map<double, std::size_t> most_of(int hosts, const std::vector<double>& rates,
                                      const troubles& played, std::uint64_t schedules)
{
    std::vector<endpoint_group> groups;
    groups.reserve(rates.size());
    for (const double rate : rates) {
        groups.push_back({rate});
    }
    std::map<double, std::size_t> most;
    std::size_t judged = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        rate_schedule schedule{hosts, groups, played, seed};
        schedule.run();
        judged += schedule.judged();
        for (std::size_t group = 0; group < rates.size(); ++group) {
            const double rate = rates[group];
            const std::size_t got = schedule.most(group);
            if (got > most[rate]) {
                MESSAGE("hosts " << hosts << ", rate " << rate << ", seed " << seed << ": " << got
                                 << " in 4 s, allowed " << rate_judge::max_in_window(rate));
            }
            most[rate] = std::max(most[rate], got);
        }
    }
    CHECK(judged >= schedules);
    return most;
}

/// Runs schedules of endpoints with troubles of their own, with all seeds.
void check_changing(int hosts, const endpoint_troubles& endpoints, const troubles& played,
                    std::uint64_t schedules)
{
    // each has a service of its own, as one that names no rate would get the requests of the others
    const std::vector<endpoint_group> groups(8, {1.0, 1, endpoints});
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        CAPTURE(hosts);
        CAPTURE(seed);
        rate_schedule schedule{hosts, groups, played, seed};
        schedule.run();
        CHECK(schedule.judged() > 0);
        CHECK(schedule.broken() == "");
    }
}

constexpr troubles all_troubles{.stops_per_s = 1,
                                .kills_per_s = 0.5,
                                .freezes_per_s = 0.5,
                                .cuts_per_s = 0.2,
                                .cut_fraction = 0.3};

} // namespace

// guards against LIMIT: the requests of all hosts together, which none of them sees
TEST_CASE("calm schedules: an endpoint gets more requests than the rate that it names")
{
    for (const int hosts : {1, 2, 6, 26, 60}) {
        for (const auto& got : most_of(hosts, {0.0, 0.3, 1.0, 3.6, 20.0}, {}, 1)) {
            const double rate = got.first;
            CAPTURE(hosts);
            CAPTURE(rate);
            CHECK(got.second <= rate_judge::max_in_window(rate));
            // most of the rate is used
            CHECK(static_cast<double>(got.second) >= 0.8 * rate * to_seconds(rate_judge::window));
        }
    }
}

// guards against LIMIT in orders of events that no single test has: hosts that know it late, stop,
// end, freeze and are cut off
TEST_CASE("random schedules: an endpoint gets more requests than the rate that it names")
{
    const auto check = [](int hosts, std::uint64_t schedules) {
        for (const auto& got : most_of(hosts, {0.3, 1.0, 3.6}, all_troubles, schedules)) {
            const double rate = got.first;
            CAPTURE(hosts);
            CAPTURE(rate);
            CHECK(got.second <= rate_judge::max_in_window(rate));
        }
    };
    check(1, 10);
    check(2, 10);
    check(6, 10);
    check(26, 2);
    check(60, 1);
}

// guards against LIMIT at endpoints that name other rates, end them and name them again, whose
// responses overtake each other
TEST_CASE("random schedules: an endpoint whose rate changes gets more requests than it names")
{
    const endpoint_troubles changing{
        .changes_per_s = 0.2, .longest_response = 1'500ms, .shortest_response = 20ms};
    check_changing(6, changing, {}, 5);
    check_changing(6, changing, all_troubles, 5);
    check_changing(26, changing, all_troubles, 1);
}

// guards against a rate that is forgotten, or taken for that of another incarnation, when entries
// lapse and endpoints start anew, while datagrams are lost
TEST_CASE(
    "random schedules: an endpoint that lapses or starts anew gets more requests than it names")
{
    const endpoint_troubles all{.changes_per_s = 0.1,
                                .lapses_per_s = 0.1,
                                .restarts_per_s = 0.05,
                                .longest_response = 1'500ms,
                                .shortest_response = 20ms};
    troubles lossy = all_troubles;
    lossy.loss = 0.2;
    check_changing(6, all, {.loss = 0.2}, 5);
    check_changing(6, all, lossy, 5);
    check_changing(26, all, lossy, 1);
}

// guards against an old statement that a host reads once it wakes up, and takes for a new one
TEST_CASE("random schedules: a host that was frozen reads what it was told of rates")
{
    const endpoint_troubles changing{
        .changes_per_s = 0.3, .longest_response = 300ms, .shortest_response = 20ms};
    const troubles frozen{.freezes_per_s = 1, .keeps_datagrams = true};
    check_changing(6, changing, frozen, 60);
}
