#pragma once

#include "process/clock.h"

#include <algorithm>  // find, max, remove
#include <chrono>     // milliseconds
#include <cstdint>    // uint64_t
#include <deque>      // deque
#include <functional> // function
#include <list>       // list
#include <memory>     // shared_ptr
#include <queue>      // priority_queue
#include <string>     // string
#include <utility>    // move
#include <vector>     // vector

namespace hickorykeel::bench {

/// Simulated clock with its events in order of time, and of arrival where times are equal.
class simulation {
public:
    [[nodiscard]] time_point now() const noexcept { return m_now; }

    void after(duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_next++, std::move(action)});
    }

    void run(time_point until)
    {
        while (!m_events.empty() && m_events.top().moment <= until) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.moment;
            next.action();
        }
    }

private:
    struct event {
        time_point moment;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return moment != other.moment ? moment > other.moment : number > other.number;
        }
    };

    std::priority_queue<event> m_events;
    time_point m_now{};
    std::uint64_t m_next = 0;
};

/// Work for an endpoint.
struct work {
    std::uint64_t prefix = 0; ///< 0: none
    std::uint64_t prefix_tokens = 0;
    std::uint64_t own_tokens = 0; ///< of the prompt, after the prefix
    std::uint64_t output_tokens = 0;
    bool is_interactive = true;
};

/// One copy of a request at an endpoint.
struct copy {
    work asked;
    std::function<void()> on_first_token;
    std::function<void()> on_end;
    std::function<void(bool ran)> on_failure;
    bool is_over = false;
};

using copy_ptr = std::shared_ptr<copy>;

/// Stand-in for a model engine: slots, one prefill at a time, decoding that slows down with the
/// batch, interactive work first, a cache of the prefixes used last.
class fake_endpoint {
public:
    fake_endpoint(simulation& clock, std::string name, double speed, std::uint32_t slots)
        : m_clock{clock}, m_name{std::move(name)}, m_speed{speed}, m_slots{slots}
    {
    }

    static constexpr double prefill_rate = 8000; ///< tokens a second at speed 1
    static constexpr double decode_rate = 100;   ///< tokens a second of one request at speed 1
    static constexpr double batch_cost = 0.05;   ///< slower decoding for each other request
    static constexpr std::size_t cached_prefixes = 24;

    void submit(const copy_ptr& added)
    {
        if (m_is_down) {
            m_clock.after(std::chrono::milliseconds{2}, [added] { fail(added, false); });
            return;
        }
        m_waiting[added->asked.is_interactive ? 1 : 0].push_back(added);
        start_next();
    }

    void cancel(const copy_ptr& cancelled)
    {
        cancelled->is_over = true;
        const auto found = std::find(m_running.begin(), m_running.end(), cancelled);
        if (found != m_running.end()) {
            m_running.erase(found);
        }
        start_next();
    }

    /// Stops and loses all work and the cache.
    void go_down()
    {
        m_is_down = true;
        m_cache.clear();
        std::vector<copy_ptr> lost(m_running.begin(), m_running.end());
        m_running.clear();
        for (auto& waiting : m_waiting) {
            lost.insert(lost.end(), waiting.begin(), waiting.end());
            waiting.clear();
        }
        for (const copy_ptr& each : lost) {
            fail(each, true);
        }
    }

    void come_up()
    {
        m_is_down = false;
        m_prefill_free = m_clock.now();
    }

    void set_speed(double speed) { m_speed = speed; }

    [[nodiscard]] const std::string& name() const noexcept { return m_name; }
    [[nodiscard]] double speed() const noexcept { return m_speed; }
    [[nodiscard]] std::uint32_t slots() const noexcept { return m_slots; }
    [[nodiscard]] bool is_down() const noexcept { return m_is_down; }
    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return m_waiting[0].size() + m_waiting[1].size();
    }
    [[nodiscard]] std::uint64_t recomputed() const noexcept { return m_recomputed; }

private:
    static void fail(const copy_ptr& failed, bool ran)
    {
        if (!failed->is_over) {
            failed->is_over = true;
            failed->on_failure(ran);
        }
    }

    void start_next()
    {
        for (const int priority : {1, 0}) {
            auto& waiting = m_waiting[priority];
            while (!waiting.empty() && m_running.size() < m_slots) {
                const copy_ptr next = waiting.front();
                waiting.pop_front();
                if (!next->is_over) {
                    start(next);
                }
            }
        }
    }

    void start(const copy_ptr& started)
    {
        const work& asked = started->asked;
        const bool is_cached = use_cache(asked.prefix);
        const std::uint64_t prefix_tokens = is_cached ? 0 : asked.prefix_tokens;
        m_recomputed += prefix_tokens;
        const double prefill =
            static_cast<double>(prefix_tokens + asked.own_tokens) / (prefill_rate * m_speed);
        m_prefill_free = std::max(m_prefill_free, m_clock.now()) + from_seconds(prefill);
        const double slowdown = 1 + batch_cost * static_cast<double>(m_running.size());
        const double decode =
            static_cast<double>(asked.output_tokens) * slowdown / (decode_rate * m_speed);
        m_running.push_back(started);
        const duration first = m_prefill_free - m_clock.now();
        m_clock.after(first, [started] {
            if (!started->is_over) {
                started->on_first_token();
            }
        });
        m_clock.after(first + from_seconds(decode), [this, started] { end(started); });
    }

    void end(const copy_ptr& ended)
    {
        if (ended->is_over) {
            return;
        }
        ended->is_over = true;
        m_running.remove(ended);
        ended->on_end();
        start_next();
    }

    /// Whether the prefix was cached; it is now.
    bool use_cache(std::uint64_t prefix)
    {
        if (prefix == 0) {
            return false;
        }
        const auto found = std::find(m_cache.begin(), m_cache.end(), prefix);
        const bool was_cached = found != m_cache.end();
        if (was_cached) {
            m_cache.erase(found);
        }
        m_cache.push_front(prefix);
        if (m_cache.size() > cached_prefixes) {
            m_cache.pop_back();
        }
        return was_cached;
    }

    simulation& m_clock;
    std::string m_name;
    double m_speed;
    std::uint32_t m_slots;
    bool m_is_down = false;
    std::deque<copy_ptr> m_waiting[2]; // batch, interactive
    std::list<copy_ptr> m_running;
    std::list<std::uint64_t> m_cache; // used last first
    time_point m_prefill_free{};
    std::uint64_t m_recomputed = 0;
};

} // namespace hickorykeel::bench
