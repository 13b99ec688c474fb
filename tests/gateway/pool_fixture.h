#pragma once

#include "gateway/routing/endpoint_pool.h"

#include <chrono>  // seconds
#include <cstdint> // int64_t
#include <map>     // map
#include <string>  // string

namespace hickorykeel::gateway::tests {

inline constexpr time_point start{std::chrono::seconds{1'000}};

/// A host's pool, whose published entries the test sets.
class pool_fixture {
public:
    pool_fixture() { m_service.name = "s"; }

    /// Publishes an endpoint at `address`.
    void publish(const std::string& id, std::int64_t started_ms,
                 const std::string& address = "10.0.0.9:80")
    {
        endpoint_entry& entry = m_entries[id];
        entry.id = id;
        entry.service = "s";
        entry.address = address;
        entry.slots = 4;
        entry.started_ms = started_ms;
        ++entry.sequence;
        update();
    }

    void withdraw(const std::string& id)
    {
        m_entries.erase(id);
        update();
    }

    [[nodiscard]] bool can_place(time_point now = start)
    {
        return m_pool.choose(any(), now, m_random).has_value();
    }

    /// Sets the part of each endpoint's rate that belongs to this host.
    void set_share(double part) { m_share = part; }

    [[nodiscard]] placement_request any() const { return {&m_service, nullptr, {}}; }
    [[nodiscard]] const service& requested_service() const { return m_service; }
    endpoint_pool& pool() { return m_pool; }
    bool is_evacuated = false;
    time_point published_at = start; ///< of the next publications

    void update()
    {
        m_pool.update(
            m_entries,
            [this](const endpoint_entry&) {
                return is_evacuated ? endpoint_pool::usability::evacuated
                                    : endpoint_pool::usability::usable;
            },
            [this](const std::string&) { return &m_service; }, published_at, published_at);
    }

private:
    service m_service;
    std::map<std::string, endpoint_entry> m_entries;
    random_source m_random{1};
    endpoint_pool m_pool{{},
                         [](const std::string&, double rate) { return rate; },
                         [this](const std::string&, double rate) { return m_share * rate; }};
    double m_share = 1;
};

} // namespace hickorykeel::gateway::tests
