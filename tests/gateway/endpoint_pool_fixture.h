#pragma once

#include "gateway/routing/endpoint_pool.h"

#include <chrono>   // seconds
#include <map>      // map
#include <optional> // optional
#include <set>      // set
#include <string>   // string, to_string
#include <utility>  // move
#include <vector>   // vector

namespace hickorykeel::gateway::tests {

using namespace std::chrono_literals;

inline constexpr time_point start{1'000s};

/// A pool of engines or plain endpoints in one region.
class endpoint_pool_fixture {
public:
    explicit endpoint_pool_fixture(bool is_engine, unsigned slots = 4)
    {
        m_service.name = "s";
        m_service.cold_rate = 3;
        m_service.cold_time = 3s;
        if (is_engine) {
            m_service.engine =
                engine_capacity{.slots = slots, .kv_cache_tokens = 100'000, .transfer_rate = 500};
        }
        m_slots = slots;
    }

    endpoint_entry& add(const std::string& id)
    {
        endpoint_entry& entry = m_entries[id];
        entry.id = id;
        entry.service = "s";
        entry.address = "10.0.0.9:" + std::to_string(80 + m_entries.size());
        entry.failure_domain = "d";
        entry.slots = m_slots;
        entry.started_ms = 1;
        return entry;
    }

    endpoint_entry& entry(const std::string& id) { return m_entries.at(id); }

    void remove(const std::string& id) { m_entries.erase(id); }

    void update(time_point now)
    {
        m_pool.update(
            m_entries,
            [this](const endpoint_entry& entry) {
                return m_evacuated.contains(entry.id) ? endpoint_pool::usability::evacuated
                                                      : endpoint_pool::usability::usable;
            },
            [this](const std::string&) { return &m_service; }, now, now);
    }

    std::optional<placement> choose(time_point now, const prompt* request_prompt = nullptr,
                                    std::vector<std::string> excluded = {})
    {
        return m_pool.choose({&m_service, request_prompt, std::move(excluded)}, now, m_random);
    }

    /// Sends requests until none can be placed; returns the number sent.
    int fill(time_point now)
    {
        int sent = 0;
        for (auto at = choose(now); at; at = choose(now)) {
            static_cast<void>(m_pool.on_sent(at->endpoint, nullptr, now));
            ++sent;
        }
        return sent;
    }

    /// Ends an attempt at the incarnation that is listed.
    void end_attempt(const std::string& id, endpoint_outcome outcome, time_point now)
    {
        m_pool.on_end({id, m_entries.at(id).started_ms}, 0, outcome, now);
    }

    endpoint_pool& pool() { return m_pool; }
    const service& requested_service() { return m_service; }
    std::set<std::string>& evacuated() { return m_evacuated; }
    void set_cold_owner(bool owns) { m_owns_cold = owns; }

private:
    service m_service;
    unsigned m_slots = 0;
    std::map<std::string, endpoint_entry> m_entries;
    std::set<std::string> m_evacuated;
    bool m_owns_cold = true;
    random_source m_random{1};
    endpoint_pool m_pool{
        {},
        [this](const std::string&, double rate) { return m_owns_cold ? rate : 0.0; },
        [](const std::string&, double rate) { return rate; }};
};

} // namespace hickorykeel::gateway::tests
