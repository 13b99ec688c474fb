#pragma once

#include "process/clock.h"

#include <algorithm> // max
#include <chrono>    // milliseconds, seconds
#include <cstddef>   // size_t
#include <deque>     // deque
#include <map>       // map
#include <optional>  // optional
#include <vector>    // vector

namespace hickorykeel::gateway::tests {

/// Judges by LIMIT the requests that reach one incarnation of an endpoint, which names its rate, names
/// another one or names none as it likes.
///
/// A rate binds from `contact_time` after a host has first passed on a response with it, for as long
/// as the endpoint names it. Until then the larger one of it and the rates before it binds, unless
/// the endpoint named none in between. A host's requests count from `reaction_time` after the first
/// response with a rate that it passed on since the endpoint last named none, until the host starts
/// anew. Freezes and cuts of a host don't excuse it.
///
/// Thread safety: none.
class rate_judge {
public:
    static constexpr duration window = std::chrono::seconds{4};
    static constexpr duration contact_time = std::chrono::seconds{6};
    static constexpr duration reaction_time = std::chrono::milliseconds{500};

    /// Most requests that may arrive within `window` at an endpoint that names `rate`.
    [[nodiscard]] static std::size_t max_in_window(double rate)
    {
        return static_cast<std::size_t>(1.5 * rate * to_seconds(window) + 5);
    }

    /// @name events
    /// @{

    /// The endpoint names `rate` from `now` on; nothing: none.
    void on_change(std::optional<double> rate, time_point now)
    {
        if (!rate) {
            m_told_at.clear();
            m_first_of_naming = m_spans.size() + 1;
        }
        m_spans.push_back({now, rate, std::nullopt});
    }

    /// A host has passed on a response that the endpoint sent at `said_at`.
    void on_passed_on(std::size_t host, time_point said_at, time_point now)
    {
        const std::size_t index = index_at(said_at);
        rate_span& said = m_spans[index];
        if (!said.rate) {
            return;
        }
        if (!said.first_passed_on) {
            said.first_passed_on = now;
        }
        if (index >= m_first_of_naming) {
            m_told_at.try_emplace(host, now);
        }
    }

    /// A host starts or wakes up: its requests don't count until it is told again.
    void on_excuse(std::size_t host) { m_told_at.erase(host); }

    /// A request of a host arrives.
    void on_arrival(std::size_t host, time_point now)
    {
        const auto told = m_told_at.find(host);
        if (told == m_told_at.end() || now < told->second + reaction_time) {
            return;
        }
        m_arrivals.push_back(now);
        while (now - m_arrivals.front() > window) {
            m_arrivals.pop_front();
        }
        if (const std::optional<double> binding = binding_rate(now)) {
            ++m_judged;
            m_most = std::max(m_most, m_arrivals.size());
            if (m_arrivals.size() > max_in_window(*binding)) {
                m_broken_at.push_back(now);
            }
        }
    }
    /// @}

    /// @name result
    /// @{

    /// What the endpoint names at a time that isn't before the first change.
    [[nodiscard]] std::optional<double> rate_at(time_point at) const
    {
        return m_spans[index_at(at)].rate;
    }

    /// Most requests within `window` while a rate bound.
    [[nodiscard]] std::size_t most() const noexcept { return m_most; }

    /// Requests that arrived while a rate bound.
    [[nodiscard]] std::size_t judged() const noexcept { return m_judged; }

    /// Arrivals with which there were too many within `window`.
    [[nodiscard]] const std::vector<time_point>& broken_at() const noexcept { return m_broken_at; }
    /// @}

private:
    struct rate_span {
        time_point from{};
        std::optional<double> rate;
        std::optional<time_point> first_passed_on;
    };

    [[nodiscard]] std::size_t index_at(time_point at) const
    {
        std::size_t index = m_spans.size() - 1;
        while (index > 0 && m_spans[index].from > at) {
            --index;
        }
        return index;
    }

    /// Returns the largest rate that binds, or nothing if none does yet.
    [[nodiscard]] std::optional<double> binding_rate(time_point now) const
    {
        double largest = 0;
        for (auto it = m_spans.rbegin(); it != m_spans.rend() && it->rate; ++it) {
            largest = std::max(largest, *it->rate);
            if (it->first_passed_on && now >= *it->first_passed_on + contact_time) {
                return largest;
            }
        }
        return std::nullopt;
    }

    std::vector<rate_span> m_spans;
    std::size_t m_first_of_naming = 0;           ///< first span since the endpoint last named none
    std::map<std::size_t, time_point> m_told_at; ///< by host
    std::deque<time_point> m_arrivals;
    std::vector<time_point> m_broken_at;
    std::size_t m_most = 0;
    std::size_t m_judged = 0;
};

} // namespace hickorykeel::gateway::tests
