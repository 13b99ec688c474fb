#pragma once

#include "process/clock.h"

#include <algorithm>     // max
#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <map>           // map
#include <optional>      // optional
#include <queue>         // priority_queue
#include <set>           // set
#include <string>        // string
#include <tuple>         // tie
#include <unordered_map> // unordered_map
#include <utility>       // pair
#include <vector>        // vector

namespace hickorykeel::gateway {

/// What determines the place of a waiting request in the order.
struct order_key {
    bool has_started = false; ///< its response has started
    int priority = 0;         ///< 0 is the most urgent
    std::string organisation; ///< empty if the caller has none
    double cost = 1;          ///< of serving it, e.g. in tokens; above 0
    time_point due{};         ///< time at which its first byte is due
};

/// The order in which waiting requests of one service are placed: those whose response has started,
/// then by priority, then by fair shares of organisations by cost, then by the time at which the
/// first byte is due.
///
/// Fair shares are kept by virtual time in each priority: the next request of an organisation
/// starts at the finish of its last placed one, or at the virtual time if that is later, and
/// finishes after its cost. The virtual time is the start of the request placed last. Only placed
/// requests are charged: those that leave the queue otherwise cost an organisation nothing.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class fair_order {
public:
    using item_id = std::uint64_t;

    /// Adds a request and returns its id, which is never used again.
    item_id add(const order_key& key)
    {
        const item_id id = ++m_last_id;
        level& own_level = m_levels[rank_of(key)];
        flow& own_flow = own_level.flows[key.organisation];
        own_flow.items.emplace(key.due, id);
        ++own_level.size;
        m_items.emplace(id, item{&own_level, &own_flow, key.due, key.cost});
        return id;
    }

    /// Removes a request that was placed, and charges its organisation. Precondition: `id` is in
    /// the order.
    void remove_placed(item_id id)
    {
        const item& placed = m_items.at(id);
        level& own_level = *placed.own_level;
        own_level.virtual_time = start_of(own_level, *placed.own_flow);
        placed.own_flow->finish = own_level.virtual_time + placed.cost;
        remove(id);
    }

    /// Removes a request that has ended without being placed. Precondition: `id` is in the order.
    void remove(item_id id)
    {
        const auto found = m_items.find(id);
        const item& removed = found->second;
        removed.own_flow->items.erase({removed.due, id});
        --removed.own_level->size;
        m_items.erase(found);
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_items.size(); }

    /// Returns a lower bound of the number of requests that are placed before one with `key`: those
    /// of more urgent priorities, and those of its own organisation that are due earlier.
    /// O(priorities + requests of the organisation).
    [[nodiscard]] std::size_t count_ahead(const order_key& key) const
    {
        const auto own_level = m_levels.lower_bound(rank_of(key));
        std::size_t ahead = 0;
        for (auto more_urgent = m_levels.begin(); more_urgent != own_level; ++more_urgent) {
            ahead += more_urgent->second.size;
        }
        if (own_level == m_levels.end() || own_level->first != rank_of(key)) {
            return ahead;
        }
        const auto own_flow = own_level->second.flows.find(key.organisation);
        if (own_flow != own_level->second.flows.end()) {
            for (const auto& [due, id] : own_flow->second.items) {
                ahead += due <= key.due ? 1 : 0;
            }
        }
        return ahead;
    }

private:
    /// Started responses come first (0), others after them (1); then the priority.
    using rank = std::pair<int, int>;

    /// Requests of one organisation in a level.
    struct flow {
        double finish = 0; ///< virtual time at which the last placed request finishes
        std::set<std::pair<time_point, item_id>> items{}; ///< by the time at which they are due
    };

    /// Requests of the same rank.
    struct level {
        double virtual_time = 0;
        std::size_t size = 0;
        std::map<std::string, flow> flows{}; ///< by organisation
    };

    struct item {
        level* own_level = nullptr;
        flow* own_flow = nullptr;
        time_point due{};
        double cost = 1;
    };

    [[nodiscard]] static rank rank_of(const order_key& key) noexcept
    {
        return {key.has_started ? 0 : 1, key.priority};
    }

    /// Returns the virtual time at which the next request of `own_flow` starts.
    [[nodiscard]] static double start_of(const level& own_level, const flow& own_flow) noexcept
    {
        return std::max(own_level.virtual_time, own_flow.finish);
    }

public:
    /// Iterates over the requests in their order. The order is the one that results if each request
    /// is placed, so that an organisation whose requests can't be placed doesn't delay the others.
    ///
    /// During a walk, requests may be added, and those that were returned may be removed. The walk
    /// may leave out added requests. Precondition: there is no other walk.
    class walk {
    public:
        /// Precondition: `walked` outlives this object.
        explicit walk(fair_order& walked) : m_order{&walked}, m_next_level{walked.m_levels.begin()}
        {
        }

        /// Returns the next request, or nothing after the last one. O(log organisations), and
        /// O(organisations) at the start of each level.
        std::optional<item_id> next()
        {
            while (m_heads.empty()) {
                if (m_next_level == m_order->m_levels.end()) {
                    return std::nullopt;
                }
                begin_level((m_next_level++)->second);
            }
            const head first = m_heads.top();
            m_heads.pop();
            push(first.own_flow, first.start + m_order->m_items.at(first.id).cost,
                 first.own_flow->items.upper_bound({first.due, first.id}));
            return first.id;
        }

    private:
        /// The next request of an organisation.
        struct head {
            double start = 0; ///< virtual time
            time_point due{};
            item_id id = 0;
            const flow* own_flow = nullptr;

            [[nodiscard]] bool operator<(const head& other) const noexcept
            {
                // the top of the heap is its greatest element
                return std::tie(other.start, other.due, other.id) < std::tie(start, due, id);
            }
        };

        /// Adds the first request of each organisation. Removes organisations without effect.
        void begin_level(level& next)
        {
            for (auto it = next.flows.begin(); it != next.flows.end();) {
                if (it->second.items.empty() && it->second.finish <= next.virtual_time) {
                    it = next.flows.erase(it);
                    continue;
                }
                push(&it->second, start_of(next, it->second), it->second.items.begin());
                ++it;
            }
        }

        void push(const flow* own_flow, double start,
                  std::set<std::pair<time_point, item_id>>::const_iterator item)
        {
            if (item != own_flow->items.end()) {
                m_heads.push({start, item->first, item->second, own_flow});
            }
        }

        fair_order* m_order;
        std::map<rank, level>::iterator m_next_level;
        std::priority_queue<head> m_heads;
    };

private:
    std::map<rank, level> m_levels;
    std::unordered_map<item_id, item> m_items;
    item_id m_last_id = 0;
};

} // namespace hickorykeel::gateway
