#pragma once

#include "gateway/simulated_fleet.h"
#include "process/routing/random_source.h"

#include <algorithm>  // max, min
#include <chrono>     // milliseconds, seconds
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <vector>     // vector

namespace hickorykeel::gateway::tests {

/// What may happen to the hosts of a schedule.
struct troubles {
    double stops_per_s = 0;   ///< hosts that are told to stop, end, and start again
    double kills_per_s = 0;   ///< hosts that end without a word, and start again
    double freezes_per_s = 0; ///< hosts that stand still for a while
    double cuts_per_s = 0;    ///< sets of hosts that are cut off, from all others or as one side
    double cut_fraction = 0.2;
    double loss = 0; ///< fraction of the datagrams that are lost
    /// Frozen hosts receive what was sent to them when they wake up; it is lost otherwise.
    bool keeps_datagrams = false;
};

/// Two regions of a simulated fleet; the hosts of the first one stop, end, freeze and are cut off at
/// random. The hosts of the other one have no troubles.
///
/// Thread safety: none.
class troubled_fleet {
public:
    /// @param hosts of each region: 1 or an even number
    troubled_fleet(int hosts, const troubles& played, std::uint64_t seed)
        : m_troubles{played}, m_random{seed}, m_fleet{{.regions = 2,
                                                       .domains_per_region = std::min(hosts, 2),
                                                       .hosts_per_domain = std::max(hosts / 2, 1),
                                                       .seeds = 2,
                                                       .seed = seed,
                                                       .loss = played.loss}}
    {
        m_hosts.resize(static_cast<std::size_t>(hosts));
        m_fleet.on_start = [this](simulated_fleet::host& started) {
            started.state.is_leaving = false;
            started.state.is_ready = true;
            const std::size_t index = m_fleet.index_of(started.ip);
            if (index < m_hosts.size()) {
                host_state& state = m_hosts[index];
                state = {m_fleet.now(), {}, {}, {}, state.cut_until, state.side};
                on_start(index);
            }
        };
        m_fleet.set_filter(
            [this](const auto& from, const auto& to) { return is_linked(from, to); });
    }

    ~troubled_fleet() = default;
    troubled_fleet(const troubled_fleet&) = delete;
    troubled_fleet& operator=(const troubled_fleet&) = delete;
    troubled_fleet(troubled_fleet&&) = delete;
    troubled_fleet& operator=(troubled_fleet&&) = delete;

    /// Called when a host of the troubled region starts.
    std::function<void(std::size_t index)> on_start = [](std::size_t) {};

    /// Called for a host of the troubled region that runs on after it was frozen.
    std::function<void(std::size_t index)> on_wake = [](std::size_t) {};

    /// Called for each running host of the troubled region in each step.
    std::function<void(std::size_t index)> on_step;

    /// Runs the hosts, without troubles at first.
    void run(duration calm, duration troubled)
    {
        m_fleet.start_all();
        m_fleet.run_for(calm);
        const time_point end = m_fleet.now() + troubled;
        while (m_fleet.now() < end) {
            trouble();
            m_fleet.run_for(step);
            for (std::size_t index = 0; index < m_hosts.size(); ++index) {
                if (m_fleet.hosts()[index].is_running) {
                    on_step(index);
                }
            }
        }
    }

    [[nodiscard]] simulated_fleet& fleet() noexcept { return m_fleet; }
    [[nodiscard]] random_source& random() noexcept { return m_random; }
    [[nodiscard]] std::size_t size() const noexcept { return m_hosts.size(); }
    [[nodiscard]] time_point started(std::size_t index) const { return m_hosts[index].started; }

private:
    static constexpr duration step = std::chrono::milliseconds{50};

    struct host_state {
        time_point started{};
        time_point ends_at{};
        time_point starts_at{};
        time_point wakes_at{};
        time_point cut_until{};
        int side = 0; ///< hosts that are cut off reach those of the same side only
    };

    bool happens(double per_s) { return random_fraction(m_random) < per_s * to_seconds(step); }
    duration span(duration from, duration to)
    {
        return from + from_seconds(to_seconds(to - from) * random_fraction(m_random));
    }

    [[nodiscard]] int side_of(const simulated_fleet::host& host) const
    {
        const std::size_t index = m_fleet.index_of(host.ip);
        const bool is_cut = index < m_hosts.size() && m_fleet.now() < m_hosts[index].cut_until;
        return is_cut ? m_hosts[index].side : 0;
    }
    [[nodiscard]] bool is_linked(const simulated_fleet::host& from,
                                 const simulated_fleet::host& to) const
    {
        return side_of(from) == side_of(to);
    }

    simulated_fleet::host* random_running(std::size_t& index)
    {
        index = random_index(m_random, m_hosts.size());
        simulated_fleet::host& found = m_fleet.hosts()[index];
        const host_state& state = m_hosts[index];
        const bool is_busy = found.state.is_leaving || m_fleet.now() < state.wakes_at;
        return found.is_running && !is_busy ? &found : nullptr;
    }

    void trouble()
    {
        const time_point now = m_fleet.now();
        std::size_t index = 0;
        if (happens(m_troubles.stops_per_s)) {
            if (auto* const stopped = random_running(index)) {
                stopped->state.is_leaving = true;
                stopped->state.is_ready = false;
                stopped->next_heartbeat = now; // it tells the others at once
                m_hosts[index].ends_at =
                    now + span(std::chrono::seconds{1}, std::chrono::seconds{4});
            }
        }
        if (happens(m_troubles.kills_per_s)) {
            if (random_running(index) != nullptr) {
                m_hosts[index].ends_at = now;
            }
        }
        if (happens(m_troubles.freezes_per_s)) {
            if (auto* const frozen = random_running(index)) {
                frozen->is_running = false;
                frozen->is_frozen = m_troubles.keeps_datagrams;
                m_hosts[index].wakes_at =
                    now + span(std::chrono::milliseconds{300}, std::chrono::seconds{4});
            }
        }
        if (happens(m_troubles.cuts_per_s)) {
            cut();
        }
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            advance(i);
        }
    }

    void cut()
    {
        const time_point until =
            m_fleet.now() + span(std::chrono::milliseconds{500}, std::chrono::seconds{6});
        const bool is_one_side = random_fraction(m_random) < 0.3;
        const int side = ++m_sides;
        for (host_state& state : m_hosts) {
            if (m_fleet.now() >= state.cut_until &&
                random_fraction(m_random) < m_troubles.cut_fraction) {
                state.cut_until = until;
                state.side = is_one_side ? side : ++m_sides;
            }
        }
    }

    void advance(std::size_t index)
    {
        const time_point now = m_fleet.now();
        host_state& state = m_hosts[index];
        simulated_fleet::host& host = m_fleet.hosts()[index];
        if (state.ends_at != time_point{} && now >= state.ends_at) {
            m_fleet.kill(index);
            state.ends_at = {};
            state.starts_at = now + span(std::chrono::milliseconds{100}, std::chrono::seconds{3});
        }
        if (state.starts_at != time_point{} && now >= state.starts_at) {
            m_fleet.start(index);
        }
        if (state.wakes_at != time_point{} && now >= state.wakes_at) {
            state.wakes_at = {};
            on_wake(index);
            m_fleet.wake(index);
            host.next_heartbeat = now;
        }
    }

    troubles m_troubles;
    random_source m_random;
    simulated_fleet m_fleet;
    std::vector<host_state> m_hosts;
    int m_sides = 0;
};

} // namespace hickorykeel::gateway::tests
