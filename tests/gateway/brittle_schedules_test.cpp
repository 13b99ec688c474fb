#include "gateway/limits/room_share.h"
#include "gateway/routing/endpoint_pool.h"
#include "gateway/troubled_fleet.h"

#include <algorithm> // count_if, max, min
#include <chrono>    // milliseconds, seconds
#include <cstddef>   // size_t
#include <cstdint>   // int64_t, uint32_t, uint64_t
#include <deque>     // deque
#include <map>       // map, multimap
#include <memory>    // make_unique, unique_ptr
#include <optional>  // optional
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
constexpr duration named_after = 2s; ///< from the first requests to the naming
constexpr duration contact_time = 6s;
constexpr duration length = 20s;
constexpr duration rejection_window = 1s;

struct brittle_shape {
    int hosts = 2;
    std::size_t endpoints = 3;
    std::size_t slots = 6;
    std::size_t waiting = 10;         ///< requests that wait for a slot at an endpoint, at first
    std::size_t waiting_shrunk = 0;   ///< the same from `contact_time` after the naming on
    std::uint32_t max_rejections = 3; ///< in a second
    double load = 1.5;                ///< requests of all hosts, relative to what the slots serve
    duration work_time = 100ms;
    /// Time from the naming to the first fall; no host can have heard of it at once.
    duration falls_after = 1s;
};

/// A region whose hosts send requests to brittle endpoints, which fall over when they have to reject
/// too many in a second. A host learns of a rejection with its next step. A rejected request is sent
/// again, as an exchange does it.
class brittle_schedule {
public:
    brittle_schedule(const brittle_shape& shape, const troubles& played, std::uint64_t seed)
        : m_shape{shape}, m_fleet{shape.hosts, played, seed}
    {
        m_service.name = "s";
        for (std::size_t i = 0; i < shape.endpoints; ++i) {
            m_endpoints.emplace_back().id = "i-" + std::to_string(i);
            publish(m_endpoints.back());
        }
        m_hosts.resize(m_fleet.size());
        m_fleet.on_start = [this](std::size_t index) { start(index); };
        m_fleet.fleet().on_send = [this](simulated_fleet::host& sender) { report(sender); };
        m_fleet.fleet().on_news = [this](const simulated_fleet::host& receiver,
                                         const received_news& news) { hear(receiver, news); };
        m_fleet.on_wake = [this](std::size_t index) { m_hosts[index].calm_since = now(); };
        m_fleet.on_step = [this](std::size_t index) { step(index); };
    }

    void run() { m_fleet.run(settled, length); }

    [[nodiscard]] std::size_t falls() const noexcept { return m_falls; }
    [[nodiscard]] std::size_t rejections() const noexcept { return m_rejections; }

    /// Requests that were served after the naming, relative to what the slots can serve and to what
    /// was asked, whichever is less.
    [[nodiscard]] double served_fraction() const
    {
        const double capacity = to_seconds(length - named_after) / to_seconds(m_shape.work_time) *
                                static_cast<double>(m_shape.slots * m_shape.endpoints);
        return static_cast<double>(m_served) / (capacity * std::min(1.0, m_shape.load));
    }

private:
    struct request {
        std::size_t host = 0;
        std::vector<std::string> tried;
        std::uint64_t process = 0; ///< of the host
    };

    struct rejection {
        time_point at{};
        bool is_in_touch = false; ///< the host that has sent the request
    };

    struct simulated_endpoint {
        std::string id;
        std::int64_t started_ms = 1;
        std::multimap<time_point, request> running; ///< by their ends
        std::deque<request> waiting;
        std::vector<rejection> rejected; ///< within the last second
        time_point starts_at{};          ///< while it is down
        bool is_down = false;
    };

    struct event {
        request of;
        endpoint_incarnation at;
        endpoint_outcome outcome = endpoint_outcome::answered;
        time_point asked_at{};
        bool has_limit = false;
    };

    struct host_state {
        std::unique_ptr<endpoint_pool> pool;
        std::uint64_t process = 0;
        std::vector<event> events; ///< that arrive with the next step
        std::uint64_t version = 0; ///< of the published entries
        time_point next_update{};
        double demand = 0;
        time_point heartbeat_at{};
        time_point heard_since{};
        time_point calm_since{}; ///< start, or end of a freeze
    };

    [[nodiscard]] time_point now() { return m_fleet.fleet().now(); }
    [[nodiscard]] bool is_named()
    {
        return m_first_step != time_point{} && now() >= m_first_step + named_after;
    }
    [[nodiscard]] std::size_t max_waiting()
    {
        const bool is_shrunk = is_named() && now() >= m_first_step + named_after + contact_time;
        return is_shrunk ? m_shape.waiting_shrunk : m_shape.waiting;
    }

    /// Whether the host has run without troubles for as long as LIMIT counts. A cut doesn't excuse it.
    [[nodiscard]] bool is_in_touch(std::size_t index)
    {
        const simulated_fleet::host& host = m_fleet.fleet().hosts()[index];
        return host.is_running && !host.state.is_leaving &&
               now() - m_hosts[index].calm_since >= contact_time;
    }

    void publish(const simulated_endpoint& endpoint)
    {
        endpoint_entry& entry = m_entries[endpoint.id];
        entry.id = endpoint.id;
        entry.service = "s";
        entry.address = "10.9.0.1:80";
        entry.slots = static_cast<std::uint32_t>(m_shape.slots);
        entry.started_ms = endpoint.started_ms;
        ++m_version;
    }

    // endpoints

    void respond(simulated_endpoint& endpoint, const request& of, endpoint_outcome outcome)
    {
        m_served += outcome == endpoint_outcome::answered && is_named() ? 1 : 0;
        m_hosts[of.host].events.push_back({of,
                                           {endpoint.id, endpoint.started_ms},
                                           outcome,
                                           now(),
                                           is_named() && outcome != endpoint_outcome::cut});
    }

    void arrive(simulated_endpoint& endpoint, const request& arrived)
    {
        if (endpoint.is_down) {
            respond(endpoint, arrived, endpoint_outcome::cut);
        }
        else if (endpoint.running.size() < m_shape.slots) {
            endpoint.running.emplace(now() + m_shape.work_time, arrived);
        }
        else if (endpoint.waiting.size() < max_waiting()) {
            endpoint.waiting.push_back(arrived);
        }
        else {
            reject(endpoint, arrived);
        }
    }

    void reject(simulated_endpoint& endpoint, const request& rejected)
    {
        ++m_rejections;
        respond(endpoint, rejected, endpoint_outcome::shed);
        std::erase_if(endpoint.rejected, [&](const rejection& earlier) {
            return now() - earlier.at >= rejection_window;
        });
        endpoint.rejected.push_back({now(), is_in_touch(rejected.host)});
        const bool is_brittle =
            is_named() && now() >= m_first_step + named_after + m_shape.falls_after;
        if (is_brittle && endpoint.rejected.size() > m_shape.max_rejections) {
            const auto counted = static_cast<std::size_t>(
                std::count_if(endpoint.rejected.begin(), endpoint.rejected.end(),
                              [](const rejection& of) { return of.is_in_touch; }));
            m_falls += 2 * counted > endpoint.rejected.size() ? 1 : 0;
            fall(endpoint);
        }
    }

    void fall(simulated_endpoint& endpoint)
    {
        for (const auto& [end, running] : std::exchange(endpoint.running, {})) {
            respond(endpoint, running, endpoint_outcome::cut);
        }
        for (const request& waiting : std::exchange(endpoint.waiting, {})) {
            respond(endpoint, waiting, endpoint_outcome::cut);
        }
        endpoint.rejected.clear();
        endpoint.is_down = true;
        endpoint.starts_at = now() + 2s + from_seconds(2 * random_fraction(m_fleet.random()));
    }

    void work(simulated_endpoint& endpoint)
    {
        if (endpoint.is_down && now() >= endpoint.starts_at) {
            endpoint.is_down = false;
            ++endpoint.started_ms;
            publish(endpoint);
        }
        while (!endpoint.running.empty() && endpoint.running.begin()->first <= now()) {
            respond(endpoint, endpoint.running.begin()->second, endpoint_outcome::answered);
            endpoint.running.erase(endpoint.running.begin());
            if (!endpoint.waiting.empty()) {
                endpoint.running.emplace(now() + m_shape.work_time, endpoint.waiting.front());
                endpoint.waiting.pop_front();
            }
        }
    }

    // hosts

    void start(std::size_t index)
    {
        host_state& state = m_hosts[index];
        state = {};
        state.process = ++m_processes;
        state.heartbeat_at = now();
        state.heard_since = now();
        state.calm_since = m_first_step == time_point{} ? now() - contact_time : now();
        state.pool = make_pool(index);
        update(state);
        state.pool->begin_start({}, now());
    }

    std::unique_ptr<endpoint_pool> make_pool(std::size_t index)
    {
        return std::make_unique<endpoint_pool>(
            endpoint_pool_options{}, [](const std::string&, double rate) { return rate; },
            [](const std::string&, double rate) { return rate; },
            [this, index](const std::string& id, std::uint32_t places) {
                const simulated_fleet::host& host = m_fleet.fleet().hosts()[index];
                return to_room_share(host.membership->members(),
                                     {host.ip, host.region, host.state.is_leaving}, id, places,
                                     now() - m_fleet.started(index));
            });
    }

    void update(host_state& state)
    {
        state.version = m_version;
        state.next_update = now() + from_seconds(random_fraction(m_fleet.random()));
        state.pool->update(
            m_entries, [](const endpoint_entry&) { return endpoint_pool::usability::usable; },
            [this](const std::string&) { return &m_service; }, now(), now());
    }

    void report(simulated_fleet::host& sender)
    {
        const std::size_t index = m_fleet.fleet().index_of(sender.ip);
        if (index < m_hosts.size()) {
            host_state& state = m_hosts[index];
            sender.state.endpoints = state.pool->own_loads();
            sender.state.rejection_limits = state.pool->rejection_reports(now());
            state.heard_since = std::exchange(state.heartbeat_at, now());
        }
    }

    void hear(const simulated_fleet::host& receiver, const received_news& news)
    {
        const std::size_t index = m_fleet.fleet().index_of(receiver.ip);
        if (index < m_hosts.size() && m_hosts[index].pool != nullptr) {
            for (const rejection_report& told : news.rejection_limits) {
                m_hosts[index].pool->on_peer_rejections(told, m_hosts[index].heard_since, now());
            }
        }
    }

    /// The host receives responses and sends what it may.
    void step(std::size_t index)
    {
        if (m_last_step != now()) {
            m_first_step = m_first_step == time_point{} ? now() : m_first_step;
            m_step = m_last_step == time_point{} ? 50ms : now() - m_last_step;
            m_last_step = now();
            for (simulated_endpoint& endpoint : m_endpoints) {
                work(endpoint);
            }
        }
        host_state& state = m_hosts[index];
        simulated_fleet::host& host = m_fleet.fleet().hosts()[index];
        state.pool->set_peer_loads(host.membership->peer_loads(now()),
                                   host.membership->peer_loads_time(now()));
        if (state.version != m_version && now() >= state.next_update) {
            update(state);
        }
        for (const event& received : std::exchange(state.events, {})) {
            receive(index, received);
        }
        if (now() - m_fleet.started(index) < hearing_time) {
            return; // it isn't ready before it has compared its configuration with other hosts
        }
        const double all = m_shape.load * static_cast<double>(m_shape.slots * m_shape.endpoints) *
                           to_seconds(m_step) / to_seconds(m_shape.work_time);
        state.demand += all / m_shape.hosts * 2 * random_fraction(m_fleet.random());
        state.demand = std::min(state.demand, max_demand());
        while (state.demand >= 1 && send({index, {}, state.process})) {
            state.demand -= 1;
        }
    }

    void receive(std::size_t index, const event& received)
    {
        host_state& state = m_hosts[index];
        if (received.of.process != state.process) {
            return; // the host has started anew since
        }
        if (received.outcome != endpoint_outcome::cut) {
            // as endpoint_statements.cpp does
            const auto limit = received.has_limit ? std::optional{m_shape.max_rejections}
                                                  : std::optional<std::uint32_t>{};
            state.pool->on_rejection_statement(received.at,
                                               {limit, limit ? now() : received.asked_at}, now());
        }
        state.pool->on_end(received.at, 0, received.outcome, now());
        // as an exchange does
        constexpr std::size_t max_attempts = 4;
        const bool is_brittle =
            received.outcome == endpoint_outcome::shed && state.pool->is_brittle(received.at);
        if (received.outcome != endpoint_outcome::answered && !is_brittle &&
            received.of.tried.size() < max_attempts) {
            send(received.of);
        }
    }

    /// Most requests that wait at a host, of about half a second.
    [[nodiscard]] double max_demand() const
    {
        return 1 + m_shape.load * static_cast<double>(m_shape.slots * m_shape.endpoints) /
                       to_seconds(m_shape.work_time) / m_shape.hosts / 2;
    }

    /// Sends a request if some endpoint may get it now. Returns whether one did.
    bool send(request sent)
    {
        host_state& state = m_hosts[sent.host];
        const auto chosen =
            state.pool->choose({&m_service, nullptr, sent.tried}, now(), m_fleet.random());
        if (!chosen) {
            return false;
        }
        static_cast<void>(state.pool->on_sent(chosen->endpoint, nullptr, now()));
        sent.tried.push_back(chosen->endpoint);
        for (simulated_endpoint& endpoint : m_endpoints) {
            if (endpoint.id == chosen->endpoint) {
                arrive(endpoint, sent);
            }
        }
        return true;
    }

    brittle_shape m_shape;
    troubled_fleet m_fleet;
    service m_service;
    std::vector<simulated_endpoint> m_endpoints;
    std::map<std::string, endpoint_entry> m_entries; ///< published
    std::uint64_t m_version = 1;
    std::vector<host_state> m_hosts;
    std::uint64_t m_processes = 0;
    time_point m_first_step{};
    time_point m_last_step{};
    duration m_step{0};
    std::size_t m_falls = 0;
    std::size_t m_rejections = 0;
    std::size_t m_served = 0;
};

/// Runs schedules with the seeds from `first` on, and checks that no more endpoints fall over than LIMIT
/// allows.
void check(const brittle_shape& shape, const troubles& played, std::uint64_t schedules,
           double min_served, std::uint64_t first = 1)
{
    for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
        brittle_schedule schedule{shape, played, seed};
        schedule.run();
        CAPTURE(shape.hosts);
        CAPTURE(shape.slots);
        CAPTURE(shape.max_rejections);
        CAPTURE(shape.load);
        CAPTURE(seed);
        CAPTURE(schedule.rejections());
        CHECK(schedule.falls() <= 2 + shape.endpoints / 10);
        CHECK(schedule.served_fraction() >= min_served);
    }
}

constexpr troubles all_troubles{.stops_per_s = 0.2,
                                .kills_per_s = 0.1,
                                .freezes_per_s = 0.1,
                                .cuts_per_s = 0.2,
                                .cut_fraction = 0.3};

/// Runs schedules in which hosts stop, end, freeze and are cut off. By LIMIT, endpoints fall over from
/// the time on from which hosts in touch have to know that they are brittle.
void check_troubled(brittle_shape shape, std::uint64_t schedules, std::uint64_t first = 1)
{
    shape.max_rejections = 2;
    shape.load = 2;
    shape.falls_after = contact_time;
    check(shape, all_troubles, schedules, 0.2, first);
}

} // namespace

// guards against LIMIT: hosts that overfill brittle endpoints together, none of which sees the sum
TEST_CASE("calm schedules: brittle endpoints fall over more often than they may")
{
    for (const std::uint32_t max_rejections : {0U, 1U, 3U, 40U}) {
        for (const int hosts : {1, 2, 6}) {
            check({.hosts = hosts, .max_rejections = max_rejections, .load = 0.5}, {}, 1, 0.8);
            check({.hosts = hosts, .max_rejections = max_rejections, .load = 2.5}, {}, 1, 0.6);
        }
        check({.hosts = 30, .endpoints = 6, .max_rejections = max_rejections, .load = 2.5}, {}, 1,
              0.5);
    }
}

// guards against LIMIT in orders of events that no single test has: hosts that start in the middle,
// stop, end, freeze and are cut off
TEST_CASE("random schedules: brittle endpoints fall over more often than they may")
{
    check_troubled({.hosts = 2}, 5);
    check_troubled({.hosts = 6}, 5);
    check_troubled({.hosts = 26, .endpoints = 12}, 1);
}

// guards against LIMIT: two hosts of many that start while they are cut off from most others, and take
// the room of the few hosts that they know
TEST_CASE("regression: hosts that start behind a cut overfill brittle endpoints")
{
    check_troubled({.hosts = 26, .endpoints = 12}, 1, 3); // seed 3
}
