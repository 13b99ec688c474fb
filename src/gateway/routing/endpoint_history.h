#pragma once

#include "gateway/limits/cold_rate_limiter.h"
#include "gateway/routing/restart_report.h"
#include "process/clock.h"

#include <chrono>   // milliseconds, seconds
#include <cstdint>  // int64_t, uint32_t, uint64_t
#include <optional> // optional

namespace hickorykeel::gateway {

/// A sign that an endpoint may have restarted under its id, or may have become cold unnoticed.
enum class restart_sign {
    refused,     ///< nothing listens at its address
    unconfirmed, ///< it has ended a connection, was out of reach or evacuated; it may be as before
};

/// Whether all hosts of the region take the endpoint for cold after such a sign that one has seen.
[[nodiscard]] constexpr bool concerns_region(restart_sign sign) noexcept
{
    return sign == restart_sign::refused;
}

/// What a published entry says of an endpoint's start.
struct start_statement {
    std::int64_t started_ms = 0; ///< start of the incarnation, Unix milliseconds; 0: unknown
    std::uint64_t sequence = 0;  ///< writes of the entry since the start
    std::chrono::milliseconds cold_remaining{0};
};

/// What this host knows of whether an endpoint is cold, by the endpoint's id: it outlives the entry
/// and the incarnation.
///
/// "Warm" is a statement of one incarnation, true at some time. Each statement, and each sign of a
/// restart, therefore comes with a time at which it was true, however late it is received, and the
/// later one counts: an endpoint is in doubt while a sign is later than all statements, and counts as
/// cold then, for no longer than its service's cold time.
///
/// The end of an incarnation is seen by hosts that have a connection to it. Statements of warm endpoints
/// are therefore of the past while no host of the region is known to be in contact: such an endpoint,
/// and one to which contact has begun since the latest statement, is unproven, and counts as cold.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class endpoint_history {
public:
    /// @name modifiers
    /// @{

    /// Sets the cold time of the endpoint's service.
    void set_cold_time(duration cold_time) noexcept { m_cold_time = cold_time; }

    /// Sets for how long after a contact hosts would still see the incarnation's end; nothing: statements
    /// are believed without contact.
    void set_contact_retention(std::optional<duration> retention) noexcept
    {
        m_contact_retention = retention;
    }

    /// Records that this host or another one of the region was in contact with it at `at`.
    void on_contact(time_point at) noexcept;

    /// Records whether the endpoint's responses let this host see its end while it has no requests
    /// there. Endpoints are taken to do so at first.
    void set_end_seen(bool is_seen) noexcept { m_is_end_seen = is_seen; }

    /// Records that this host has requests under way there: a contact that had begun goes on.
    void on_contact_kept(time_point now) noexcept;

    /// Records that a request could be sent to it if it were known to be warm. Returns whether it is
    /// unproven and has to be asked: it hasn't been for a while.
    bool on_wanted(time_point now) noexcept;

    /// Records the published entry; to be called also if it hasn't changed.
    /// @param read_at latest time at which the entry is known to have been the newest one
    void on_entry(const start_statement& entry, time_point read_at, time_point now);

    /// Records that it has said to this host that it is cold for `remaining`; at most the cold time
    /// counts.
    /// @param asked_at when this host asked
    void on_cold(duration remaining, time_point asked_at, time_point now);

    /// Records that it has said to another host that it is cold for `remaining`; at most the cold
    /// time counts.
    void on_peer_cold(duration remaining, time_point now);

    /// Records that it has said to this host, which asked at `asked_at`, that it is warm.
    void on_warm(time_point asked_at) noexcept;

    /// Records what this host has seen.
    void on_sign(restart_sign sign, time_point at) noexcept;

    /// Records that this host has started and knows nothing of what happened to the endpoint before
    /// `known_since`, when it read the endpoint's entry.
    void on_host_start(time_point known_since) noexcept { m_unknown_before = known_since; }

    /// Records that another host takes it for warm, and would know otherwise.
    void on_peer_warm(time_point now) noexcept;

    /// Records what another host has learned. Returns whether the endpoint has become doubtful by it.
    bool on_peer_report(const restart_report& report, time_point now) noexcept;

    /// Records a request sent to it, whether it is cold or not.
    void on_sent(time_point now) { m_sent.on_sent(now); }
    /// @}

    /// @name state
    /// @{

    /// Whether only few requests may be sent to it.
    [[nodiscard]] bool is_cold(time_point now) const noexcept
    {
        return now < m_cold_until || is_in_doubt(now);
    }

    /// Whether it is cold by its entry or its own word.
    [[nodiscard]] bool is_stated_cold(time_point now) const noexcept { return now < m_cold_until; }

    /// Whether it is cold for another reason than that it is unproven.
    [[nodiscard]] bool is_known_cold(time_point now) const noexcept
    {
        return now < m_cold_until || has_sign(now);
    }

    /// Whether it has to be asked only because it is unproven, or soon would be. An endpoint whose end
    /// wouldn't be seen isn't asked ahead of requests.
    [[nodiscard]] bool needs_contact(time_point now) const noexcept;

    /// Whether it may have restarted since the latest statement without a host of the region seeing it.
    [[nodiscard]] bool is_unproven(time_point now) const noexcept
    {
        return is_out_of_contact(now) || is_open_doubt(m_contact_began_at, now);
    }

    /// Whether contact with it has begun so late that it may have restarted unseen since the latest
    /// statement.
    [[nodiscard]] bool is_newly_contacted(time_point now) const noexcept
    {
        return !is_out_of_contact(now) && is_open_doubt(m_contact_began_at, now);
    }

    /// Whether it may have restarted since the latest statement of its state.
    [[nodiscard]] bool is_in_doubt(time_point now) const noexcept
    {
        return has_sign(now) || is_unproven(now);
    }

    /// Whether this host doesn't know, since it started, whether the endpoint had restarted before.
    [[nodiscard]] bool is_past_unknown(time_point now) const noexcept
    {
        return is_open_doubt(m_unknown_before, now);
    }

    /// Whether this host or another one is in doubt, or may not have learned of the latest statement.
    [[nodiscard]] bool needs_check(time_point now) const noexcept;

    /// Whether one more request may be sent to it while it is cold and accepts `per_second` requests
    /// per second. Requests that were sent before it was known to be cold count.
    [[nodiscard]] bool has_capacity(double per_second, time_point now)
    {
        return m_sent.has_capacity(per_second, now);
    }

    /// Returns what this host has learned itself within the cold time, if anything.
    /// @param endpoint hash of the endpoint's id
    [[nodiscard]] std::optional<restart_report> to_report(std::uint32_t endpoint,
                                                          time_point now) const;

    /// Returns for how long it is cold by what it has said to this host, if it is.
    [[nodiscard]] std::optional<duration> own_cold_report(time_point now) const;
    /// @}

private:
    /// Whether the endpoint may have restarted at `at` and still be cold.
    [[nodiscard]] bool is_open_doubt(time_point at, time_point now) const noexcept
    {
        return at > m_known_at && now < at + m_cold_time;
    }

    /// Whether there is a sign of a restart, or this host knows nothing of the time before its start.
    [[nodiscard]] bool has_sign(time_point now) const noexcept
    {
        return is_open_doubt(m_doubted_at, now) || is_past_unknown(now);
    }

    /// Whether no host of the region would have seen its end.
    [[nodiscard]] bool is_out_of_contact(time_point now) const noexcept
    {
        return m_contact_retention && (!m_contact_at || now - *m_contact_at > *m_contact_retention);
    }

    std::optional<start_statement> m_entry;
    time_point m_entry_read_at{};  ///< latest time at which `m_entry` is known to be the newest
    time_point m_cold_until{};     ///< by its entry or its own word
    time_point m_own_cold_until{}; ///< by its word to this host
    time_point m_known_at{};       ///< latest time of which its state is known
    time_point m_doubted_at{};     ///< latest sign on which this host acts
    time_point m_unknown_before{}; ///< set while this host doesn't know what happened before
    std::optional<duration> m_contact_retention;
    std::optional<time_point> m_contact_at; ///< latest
    time_point m_contact_began_at{};        ///< set while no word is known from the contact's time
    bool m_is_end_seen = true;
    time_point m_wanted_at{};
    time_point m_peers_doubted_at{};
    time_point m_own_known_at{};
    time_point m_own_sign_at{};
    time_point m_own_doubted_at{};
    duration m_cold_time{0};
    cold_rate_limiter m_sent;
};

} // namespace hickorykeel::gateway
