#pragma once

#include "gateway/serving/fair_order.h"
#include "gateway/serving/placement_failures.h"

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <map>           // map
#include <memory>        // shared_ptr
#include <string>        // string
#include <unordered_map> // unordered_map
#include <utility>       // exchange

namespace hickorykeel::gateway {

/// Requests that wait for a free slot, by service, in the order of `fair_order`.
///
/// A `Request` has these members: `service_name()`, `queue_key()`, `current_need()`,
/// `lowest_expected()`, `is_waiting()`, `is_placed()`, `retry_placement()`, which returns whether
/// the request still waits, and `on_left_queue()`.
///
/// Thread safety: none; the owner serialises calls.
template <typename Request>
class placement_queue {
public:
    /// Maximum number of failed placements of a service in one round. A placement takes some
    /// microseconds with 60 endpoints. There is a round every 20 ms and after the end of each
    /// attempt.
    static constexpr unsigned max_failures = 8;
    /// Maximum number of these for requests that were tried in an earlier round of the same cycle.
    static constexpr unsigned max_repeated_failures = 4;

    /// Adds a request. Precondition: it isn't in the queue.
    void add(const std::shared_ptr<Request>& waiting)
    {
        service_queue& of = m_services[waiting->service_name()];
        of.waiting.emplace(of.order.add(waiting->queue_key()), entry{waiting});
        ++m_size;
    }

    /// Retries the placement of the queued requests, and removes those that have left the queue. A
    /// request that can't be placed doesn't delay those that fit elsewhere. A round ends for a
    /// service after `max_failures` failed placements; the next rounds continue with the requests
    /// that were left out. Does nothing if it is called during a round.
    void place()
    {
        if (std::exchange(m_is_placing, true)) {
            return;
        }
        for (auto& [service, of] : m_services) {
            if (of.order.size() > 0) {
                place(of);
            }
        }
        m_is_placing = false;
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

    /// Number of the queued requests for `service`.
    [[nodiscard]] std::size_t count(const std::string& service) const
    {
        const auto found = m_services.find(service);
        return found == m_services.end() ? 0 : found->second.order.size();
    }

    /// Returns a lower bound of the number of queued requests that are placed before `candidate`,
    /// which isn't in the queue.
    [[nodiscard]] std::size_t count_ahead(const Request& candidate) const
    {
        const auto found = m_services.find(candidate.service_name());
        return found == m_services.end() ? 0
                                         : found->second.order.count_ahead(candidate.queue_key());
    }

private:
    struct entry {
        std::shared_ptr<Request> request;
        std::uint64_t tried_in_cycle = 0;
    };

    struct service_queue {
        fair_order order;
        std::unordered_map<fair_order::item_id, entry> waiting;
        std::uint64_t cycle =
            1; ///< number of the cycle; one ends with a round that reaches the end
    };

    void place(service_queue& of)
    {
        placement_failures failures;
        unsigned failed = 0;
        fair_order::walk walk{of.order};
        while (const auto id = walk.next()) {
            entry& tried = of.waiting.at(*id);
            const std::shared_ptr<Request> request = tried.request;
            if (request->is_waiting()) {
                const placement_need need = request->current_need();
                const bool was_tried = tried.tried_in_cycle == of.cycle;
                if ((was_tried && failed >= max_repeated_failures) || failures.rules_out(need)) {
                    continue;
                }
                if (failed >= max_failures) {
                    return;
                }
                tried.tried_in_cycle = of.cycle;
                if (request->retry_placement()) {
                    ++failed;
                    failures.on_failure(need, request->lowest_expected());
                    continue;
                }
            }
            remove(of, *id);
        }
        ++of.cycle;
    }

    void remove(service_queue& of, fair_order::item_id id)
    {
        const auto found = of.waiting.find(id);
        const std::shared_ptr<Request> removed = found->second.request;
        if (removed->is_placed()) {
            of.order.remove_placed(id);
        }
        else {
            of.order.remove(id);
        }
        of.waiting.erase(found);
        --m_size;
        removed->on_left_queue();
    }

    std::map<std::string, service_queue> m_services;
    std::size_t m_size = 0;
    bool m_is_placing = false;
};

} // namespace hickorykeel::gateway
