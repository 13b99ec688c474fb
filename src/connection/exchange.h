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

/// One request in flight at a dispatch process: the link's thread delivers its events, and the
/// thread that serves the caller consumes them.
///
/// Thread safety: all methods may be called from any thread; `next` from one at a time.
class exchange {
public:
    /// No event arrived in time.
    struct timed_out {};
    /// The dispatch process stopped sending, was restarted, or an event was lost.
    struct lost {};
    using outcome = std::variant<link::dispatch_event, refusal, lost, timed_out>;

    /// Attributes of the request that are checked against a new configuration.
    struct identity {
        std::string organisation;
        std::string key_digest;
        std::string profile;
        std::string target;
        std::string dispatch_address;
    };

    exchange(std::uint64_t correlation, identity who);

    /// @name producer
    /// @{

    /// Delivers an event of the dispatch process with that incarnation. Events must arrive in order:
    /// a missing one, or one of another incarnation, ends the exchange.
    void deliver(link::dispatch_event event, std::uint64_t incarnation, time_point now);

    /// Ends the exchange: `next` returns `why`, ahead of queued events.
    void abort(refusal why);

    /// @}
    /// @name consumer
    /// @{

    /// Waits for the next event until `until`.
    /// @param silence  time without any event after which the exchange counts as lost
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

/// The exchanges in flight of an entry process.
///
/// Thread safety: all methods may be called from any thread.
class exchange_table {
public:
    /// Starts an exchange with a new correlation.
    std::shared_ptr<exchange> open(exchange::identity who);

    /// Removes an exchange; later events for it are dropped.
    void close(std::uint64_t correlation);

    /// Returns the exchange, or null.
    [[nodiscard]] std::shared_ptr<exchange> find(std::uint64_t correlation) const;

    /// Returns all exchanges in flight. Linear in their number.
    [[nodiscard]] std::vector<std::shared_ptr<exchange>> all() const;

    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_next_correlation = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> m_exchanges;
};

} // namespace hickorykeel
