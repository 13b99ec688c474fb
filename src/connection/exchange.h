#pragma once

#include "generated/link.pb.h"
#include "process/clock.h"
#include "request/refusal.h"

#include <condition_variable> // condition_variable
#include <cstdint>            // uint64_t
#include <deque>              // deque
#include <memory>             // shared_ptr
#include <mutex>              // mutex
#include <string>             // string
#include <unordered_map>      // unordered_map
#include <variant>            // variant
#include <vector>             // vector

namespace hickorykeel {

/// One request on its way through a dispatch process: events arrive from the link's thread and are
/// taken by the caller's thread.
///
/// Thread safety: all methods may be called from any thread; `next` from one at a time.
class exchange {
public:
    /// Nothing arrived in the time given.
    struct nothing_yet {};
    /// The dispatch process went silent, or an event was lost on the way.
    struct is_lost {};
    using outcome = std::variant<link::dispatch_event, refusal, is_lost, nothing_yet>;

    /// Identity of the request, for checks against a new configuration.
    struct identity {
        std::string organisation;
        std::string key_digest;
        std::string profile;
        std::string target;
        std::string dispatch_address;
    };

    exchange(std::uint64_t correlation, identity who);

    /// @name arriving
    /// @{

    /// An event of the dispatch process with that incarnation. Events are taken in their order; one
    /// that was lost, or that another incarnation sent, ends the exchange.
    void deliver(link::dispatch_event event, std::uint64_t incarnation, time_point now);

    /// Ends the exchange: `next` gives `why` before anything that waits.
    void abort(refusal why);

    /// @}
    /// @name taking
    /// @{

    /// Waits for the next event until `until`.
    /// @param silence  longest time without any event before the exchange counts as lost
    outcome next(time_point until, duration silence);

    /// @}

    [[nodiscard]] std::uint64_t correlation() const noexcept { return m_correlation; }
    [[nodiscard]] const identity& who() const noexcept { return m_who; }

private:
    outcome take();

    const std::uint64_t m_correlation;
    const identity m_who;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<link::dispatch_event> m_events;
    std::variant<std::monostate, refusal> m_abort;
    std::uint64_t m_incarnation = 0;
    std::uint32_t m_next_sequence = 0;
    bool m_is_lost = false;
    time_point m_last_heard;
};

/// The exchanges under way in an entry process.
///
/// Thread safety: all methods may be called from any thread.
class exchange_table {
public:
    /// Starts an exchange with a correlation of its own.
    std::shared_ptr<exchange> open(exchange::identity who);

    /// Forgets an exchange; later events for it are dropped.
    void close(std::uint64_t correlation);

    /// The exchange, or null.
    [[nodiscard]] std::shared_ptr<exchange> find(std::uint64_t correlation) const;

    /// All exchanges under way. Linear in their number.
    [[nodiscard]] std::vector<std::shared_ptr<exchange>> all() const;

    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_next_correlation = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> m_exchanges;
};

} // namespace hickorykeel
