#pragma once

#include "gateway/routing/rate_statement.h"
#include "gateway/routing/rejection_statement.h"
#include "process/clock.h"

#include <chrono>  // seconds
#include <cstddef> // size_t
#include <cstdint> // int64_t, uint32_t
#include <map>     // map
#include <string>  // string
#include <tuple>   // tie

namespace hickorykeel::gateway {

/// One life of an endpoint, from its start to its end.
struct endpoint_incarnation {
    std::string id;
    std::int64_t started_ms = 0; ///< Unix milliseconds; 0: unknown

    [[nodiscard]] bool operator==(const endpoint_incarnation&) const = default;
    [[nodiscard]] bool operator<(const endpoint_incarnation& rhs) const noexcept
    {
        return std::tie(id, started_ms) < std::tie(rhs.id, rhs.started_ms);
    }
};

/// Hash of an incarnation by which heartbeats refer to it. Thread safe.
[[nodiscard]] std::uint32_t short_hash(const endpoint_incarnation& endpoint);

/// What endpoints have said of themselves in the heads of their responses, and which have ended.
///
/// A notice concerns one incarnation and ends with it only: it outlives the endpoint's entry in the
/// published state. An incarnation whose start time is unknown can't be told apart from others with
/// its id, so it shares their notices, but for that of their end. At most `max_notices` are kept; the
/// oldest is dropped first.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class endpoint_notices {
public:
    static constexpr std::size_t max_notices = 4'096;
    /// Longest time for which an endpoint can turn this host away.
    static constexpr duration max_turn_away = std::chrono::minutes{10};

    /// @name modifiers
    /// @{

    /// Records that `endpoint` has said that it is leaving. Returns whether that is new.
    bool on_leaving(const endpoint_incarnation& endpoint, time_point now);

    /// Records that `endpoint` has ended for good. No effect if its start time is unknown. Returns
    /// whether that is new.
    bool on_ended(const endpoint_incarnation& endpoint, time_point now);

    /// Records that `endpoint` wants no request of this host for `delay`, of which at most
    /// `max_turn_away` counts. A time that ends earlier than a recorded one has no effect.
    void on_turned_away(const endpoint_incarnation& endpoint, duration delay, time_point now);

    /// Records the rate that `endpoint` has named, or that it names none. Statements that were made
    /// no later than the recorded one have no effect. Returns whether the rate is another one now.
    bool on_rate_statement(const endpoint_incarnation& endpoint, const rate_statement& statement,
                           time_point now);

    /// Records the rejection limit that `endpoint` has named, or that it names none. Statements that
    /// were made no later than the recorded one have no effect. Returns whether the limit is another
    /// one now.
    bool on_rejection_statement(const endpoint_incarnation& endpoint,
                                const rejection_statement& statement, time_point now);
    /// @}

    /// @name state
    /// @{

    /// Whether `endpoint` has said that it is leaving.
    [[nodiscard]] bool is_leaving(const endpoint_incarnation& endpoint) const;

    /// Whether `endpoint` has ended.
    [[nodiscard]] bool is_ended(const endpoint_incarnation& endpoint) const;

    /// End of the time for which `endpoint` has turned this host away; it may be in the past, and is
    /// `time_point{}` if there was none.
    [[nodiscard]] time_point turned_away_until(const endpoint_incarnation& endpoint) const;

    /// The newest statement of `endpoint` on its rate; one without a rate if there was none.
    [[nodiscard]] rate_statement last_rate_statement(const endpoint_incarnation& endpoint) const;

    /// The newest statement of `endpoint` on its rejection limit; one without a limit if there was
    /// none.
    [[nodiscard]] rejection_statement
    last_rejection_statement(const endpoint_incarnation& endpoint) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_notices.size(); }
    /// @}

private:
    struct notice {
        bool is_leaving = false;
        bool is_ended = false;
        time_point turned_away_until{};
        rate_statement rate;
        rejection_statement rejections;
        time_point updated{};
    };

    template <typename Statement>
    [[nodiscard]] Statement newest(const endpoint_incarnation& endpoint,
                                   Statement notice::*member) const;
    notice& find_or_add(const endpoint_incarnation& endpoint, time_point now);
    void make_room(time_point now);

    std::map<endpoint_incarnation, notice> m_notices;
};

} // namespace hickorykeel::gateway
