#include "gateway/routing/endpoint_pool.h"

#include <chrono>   // milliseconds, seconds
#include <cstddef>  // size_t
#include <cstdint>  // int64_t, uint64_t
#include <map>      // map, multimap
#include <memory>   // make_unique, unique_ptr
#include <optional> // optional
#include <string>   // string, to_string
#include <vector>   // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
constexpr duration length = 14s;
constexpr duration step = 50ms;
constexpr duration drain = 4s;
/// Time from a response that turns a host away to the moment from which it binds.
constexpr duration turn_away_slack = 500ms;
constexpr int max_requests_while_turned_away = 2;
constexpr int endpoint_count = 6;
constexpr std::uint64_t schedules = 200;

/// Hosts that send requests to endpoints which turn them away for a time, leave, end and start
/// again, on a clock of its own.
///
/// Some hosts are cut off from the store at some moment and never hear of it again; the others hear
/// late. Entries lapse for a while. A response may be a failure, or break off after its head.
class statement_schedule {
public:
    statement_schedule(std::size_t hosts, std::uint64_t seed) : m_random{seed}
    {
        m_service.name = "s";
        for (int i = 0; i < endpoint_count; ++i) {
            m_endpoints.push_back(make_endpoint("e" + std::to_string(i), start));
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            auto host = std::make_unique<host_state>();
            host->cut_at = chance(0.3) ? start + span(0ms, length) : time_point::max();
            m_hosts.push_back(std::move(host));
        }
    }

    void run()
    {
        for (m_now = start; m_now < start + length; m_now += step) {
            replace_ended();
            deliver_responses();
            for (auto& host : m_hosts) {
                if (m_now >= host->next_update && m_now < host->cut_at) {
                    publish_to(*host);
                }
                if (chance(0.4)) {
                    send(*host);
                }
            }
        }
    }

    [[nodiscard]] int late_requests() const { return m_late_requests; }
    /// Times for which an endpoint had turned a host away and got too many requests of it.
    [[nodiscard]] int broken_turn_aways() const
    {
        int broken = 0;
        for (const auto& host : m_hosts) {
            for (const turn_away& each : host->turn_aways) {
                broken += each.requests > max_requests_while_turned_away ? 1 : 0;
            }
        }
        return broken;
    }
    [[nodiscard]] std::size_t turn_aways() const
    {
        std::size_t count = 0;
        for (const auto& host : m_hosts) {
            count += host->turn_aways.size();
        }
        return count;
    }
    [[nodiscard]] int notices() const { return m_notices; }
    /// Requests to incarnations that started during the schedule.
    [[nodiscard]] int requests_to_new() const { return m_requests_to_new; }

private:
    struct endpoint {
        endpoint_entry entry;
        bool reports_draining = false;
        time_point busy_from{};
        time_point busy_until{};
        time_point leaves_at{};
        time_point ends_at{};
        time_point lapses_at{};
    };

    /// Time for which an incarnation wants no requests of a host.
    struct turn_away {
        endpoint_incarnation endpoint;
        time_point from{};
        time_point until{};
        int requests = 0;
    };

    struct host_state {
        endpoint_pool pool{{},
                           [](const std::string&, double rate) { return rate; },
                           [](const std::string&, double rate) { return rate; }};
        time_point next_update{};
        time_point cut_at{};
        /// When the host first passed on that an incarnation is leaving.
        std::map<endpoint_incarnation, time_point> heard_leaving;
        std::vector<turn_away> turn_aways;
    };

    struct response {
        host_state* host = nullptr;
        endpoint_incarnation named;     ///< that the host meant
        endpoint_incarnation responder; ///< that has got the request
        bool is_leaving = false;
        std::optional<duration> retry_after;
        endpoint_outcome outcome = endpoint_outcome::answered;
    };

    bool chance(double probability) { return random_fraction(m_random) < probability; }

    duration span(duration from, duration to)
    {
        return from + from_seconds(to_seconds(to - from) * random_fraction(m_random));
    }

    endpoint make_endpoint(const std::string& id, time_point now)
    {
        endpoint made;
        made.entry.id = id;
        made.entry.service = "s";
        made.entry.slots = 50;
        made.entry.started_ms = to_milliseconds(now.time_since_epoch()).count();
        made.reports_draining = chance(0.5);
        made.busy_from = now + span(1500ms, 4s);
        made.busy_until = made.busy_from + span(0ms, 2s);
        made.leaves_at = now + span(2s, 8s);
        made.ends_at = made.leaves_at + span(drain, drain + 3s);
        made.lapses_at = now + span(0ms, 10s);
        return made;
    }

    void replace_ended()
    {
        for (endpoint& each : m_endpoints) {
            if (m_now >= each.ends_at) {
                const bool keeps_id = chance(0.5);
                each = make_endpoint(keeps_id ? each.entry.id : each.entry.id + "x", m_now);
            }
        }
    }

    void publish_to(host_state& host)
    {
        host.next_update = m_now + span(200ms, 1s);
        std::map<std::string, endpoint_entry> entries;
        for (const endpoint& each : m_endpoints) {
            if (m_now >= each.lapses_at && m_now < each.lapses_at + 1s) {
                continue;
            }
            endpoint_entry& entry = entries[each.entry.id] = each.entry;
            entry.is_draining = each.reports_draining && m_now >= each.leaves_at;
        }
        host.pool.update(
            entries, [](const endpoint_entry&) { return endpoint_pool::usability::usable; },
            [this](const std::string&) { return &m_service; }, m_now, m_now);
    }

    void send(host_state& host)
    {
        const auto chosen = host.pool.choose({&m_service, nullptr, {}}, m_now, m_random);
        if (!chosen) {
            return;
        }
        static_cast<void>(host.pool.on_sent(chosen->endpoint, nullptr, m_now));
        response made{&host, {chosen->endpoint, chosen->started_ms}, {}, false, {}, {}};
        const endpoint* found = find(chosen->endpoint);
        if (found == nullptr) {
            made.outcome = endpoint_outcome::unreachable;
        }
        else {
            made.responder = {found->entry.id, found->entry.started_ms};
            made.is_leaving = m_now >= found->leaves_at;
            made.outcome = chance(0.8)   ? endpoint_outcome::answered
                           : chance(0.5) ? endpoint_outcome::shed
                                         : endpoint_outcome::cut;
            if (m_now >= found->busy_from && m_now < found->busy_until) {
                made.outcome = chance(0.7) ? endpoint_outcome::shed : endpoint_outcome::failed;
                made.retry_after = span(300ms, 4s);
            }
            judge(host, made.responder);
        }
        m_responses.emplace(m_now + span(20ms, 400ms), made);
    }

    [[nodiscard]] const endpoint* find(const std::string& id) const
    {
        for (const endpoint& each : m_endpoints) {
            if (each.entry.id == id) {
                return &each;
            }
        }
        return nullptr;
    }

    /// Counts a request that reaches an endpoint too late.
    void judge(host_state& host, const endpoint_incarnation& reached)
    {
        const auto heard = host.heard_leaving.find(reached);
        if (heard != host.heard_leaving.end() && m_now > heard->second + drain) {
            ++m_late_requests;
        }
        for (turn_away& each : host.turn_aways) {
            if (each.endpoint == reached && m_now >= each.from && m_now < each.until) {
                ++each.requests;
            }
        }
        if (reached.started_ms > to_milliseconds(start.time_since_epoch()).count()) {
            ++m_requests_to_new;
        }
    }

    void deliver_responses()
    {
        while (!m_responses.empty() && m_responses.begin()->first <= m_now) {
            const response received = m_responses.begin()->second;
            m_responses.erase(m_responses.begin());
            if (received.is_leaving) {
                received.host->pool.on_leaving(received.named, m_now);
                m_notices +=
                    received.host->heard_leaving.try_emplace(received.responder, m_now).second ? 1
                                                                                               : 0;
            }
            if (received.retry_after) {
                received.host->pool.on_turned_away(received.named, *received.retry_after, m_now);
                received.host->turn_aways.push_back(
                    {received.responder, m_now + turn_away_slack, m_now + *received.retry_after});
            }
            received.host->pool.on_end(received.named, 0, received.outcome, m_now);
        }
    }

    random_source m_random;
    service m_service;
    time_point m_now{};
    std::vector<endpoint> m_endpoints;
    std::vector<std::unique_ptr<host_state>> m_hosts;
    std::multimap<time_point, response> m_responses;
    int m_late_requests = 0;
    int m_notices = 0;
    int m_requests_to_new = 0;
};

} // namespace

// guards against requests that endpoints don't want, in orders of events that no single test has
TEST_CASE("random schedules: a leaving endpoint gets a request after the drain time, or one that "
          "turns away gets several")
{
    for (const std::size_t hosts : {std::size_t{6}, std::size_t{60}}) {
        int notices = 0;
        std::size_t turn_aways = 0;
        int requests_to_new = 0;
        for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
            CAPTURE(hosts);
            CAPTURE(seed);
            statement_schedule schedule{hosts, seed};
            schedule.run();
            CHECK(schedule.late_requests() == 0);
            CHECK(schedule.broken_turn_aways() == 0);
            turn_aways += schedule.turn_aways();
            notices += schedule.notices();
            requests_to_new += schedule.requests_to_new();
        }
        // the schedules have what the check is about, and new incarnations are used
        CHECK(turn_aways > 0);
        CHECK(notices > 0);
        CHECK(requests_to_new > 0);
    }
}
