#pragma once

#include "gateway/serving/exchange.h"

#include <algorithm>   // count_if
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <map>         // map
#include <memory>      // shared_ptr
#include <set>         // set
#include <string>      // string
#include <string_view> // string_view
#include <tuple>       // tuple

namespace hickorykeel::gateway {

/// Requests that wait for a free slot, ordered by priority, then by arrival.
///
/// Thread safety: none; all calls come from the loop's thread.
class waiting_queue {
public:
    void add(const std::shared_ptr<exchange>& waiting)
    {
        m_waiting.emplace(std::tuple{waiting->priority(), ++m_count}, waiting);
    }

    /// Retries the placement of the queued requests. Once `max_failures` requests of a service have
    /// failed, its other requests are skipped until the next call.
    void place()
    {
        std::map<std::string, unsigned, std::less<>> failures;
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            const std::shared_ptr<exchange> waiting = it->second;
            unsigned& failed = failures[waiting->service_name()];
            if (failed >= max_failures) {
                ++it;
                continue;
            }
            if (waiting->retry_placement()) {
                ++failed;
                ++it;
                continue;
            }
            waiting->on_left_queue();
            it = m_waiting.erase(it);
        }
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_waiting.size(); }

    /// Number of the queued requests for `service`. O(size).
    [[nodiscard]] std::size_t count(const std::string& service) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_waiting.begin(), m_waiting.end(), [&service](const auto& item) {
                return item.second->service_name() == service;
            }));
    }

private:
    static constexpr unsigned max_failures = 4;

    std::map<std::tuple<int, std::uint64_t>, std::shared_ptr<exchange>> m_waiting;
    std::uint64_t m_count = 0;
};

} // namespace hickorykeel::gateway
