#include "gateway/routing/endpoint_history.h"

#include <algorithm> // max, min
#include <chrono>    // milliseconds

namespace hickorykeel::gateway {

namespace {

/// Longest time that a report is taken to have been on its way. What it says to be known counts as
/// so much older, since it must not end the doubt after a sign that came meanwhile.
constexpr duration max_report_delay = std::chrono::milliseconds{500};

/// Time before the end of a contact at which the endpoint is asked, so that hosts of the region hear
/// its answer before the end.
constexpr duration contact_renewal_time = std::chrono::milliseconds{1'500};

/// Interval at which an unproven endpoint that is wanted has to be asked.
constexpr duration wanted_interval = std::chrono::milliseconds{500};

} // namespace

void endpoint_history::on_contact(time_point at) noexcept
{
    if (is_out_of_contact(at)) {
        m_contact_began_at = at; // it may have restarted until then
    }
    m_contact_at = std::max(m_contact_at.value_or(at), at);
}

void endpoint_history::on_contact_kept(time_point now) noexcept
{
    if (m_contact_at && !is_out_of_contact(now)) {
        m_contact_at = std::max(*m_contact_at, now);
    }
}

bool endpoint_history::on_wanted(time_point now) noexcept
{
    if (!is_unproven(now) || now - m_wanted_at < wanted_interval) {
        return false;
    }
    m_wanted_at = now;
    m_own_doubted_at = std::max(m_own_doubted_at, now); // the owner may not be wanted itself
    return true;
}

void endpoint_history::on_entry(const start_statement& entry, time_point read_at, time_point now)
{
    const bool is_same_start = m_entry && entry.started_ms == m_entry->started_ms;
    const bool is_unchanged = is_same_start && entry.sequence == m_entry->sequence;
    if (!is_unchanged) {
        m_cold_until = std::max<time_point>(m_cold_until, now + entry.cold_remaining);
    }
    if (is_same_start && entry.sequence > m_entry->sequence) {
        // it was written after the last time at which the former one was the newest
        m_known_at = std::max(m_known_at, m_entry_read_at);
    }
    m_entry_read_at = is_unchanged ? std::max(m_entry_read_at, read_at) : read_at;
    m_entry = entry;
}

void endpoint_history::on_cold(duration remaining, time_point asked_at, time_point now)
{
    on_peer_cold(remaining, now);
    m_own_cold_until = m_cold_until;
    on_warm(asked_at);
}

void endpoint_history::on_peer_cold(duration remaining, time_point now)
{
    m_cold_until = std::max(m_cold_until, now + std::min(remaining, m_cold_time));
}

void endpoint_history::on_warm(time_point asked_at) noexcept
{
    m_own_known_at = std::max(m_own_known_at, asked_at);
    m_known_at = std::max(m_known_at, asked_at);
    m_contact_at = std::max(m_contact_at.value_or(asked_at), asked_at);
    if (m_contact_began_at <= asked_at) {
        m_contact_began_at = {};
    }
}

void endpoint_history::on_peer_warm(time_point now) noexcept
{
    m_unknown_before = {};
    if (m_contact_began_at + max_report_delay <= now) {
        m_contact_began_at = {}; // that host should have heard of the contact
    }
}

void endpoint_history::on_sign(restart_sign sign, time_point at) noexcept
{
    m_doubted_at = std::max(m_doubted_at, at);
    m_own_doubted_at = std::max(m_own_doubted_at, at);
    if (concerns_region(sign)) {
        m_own_sign_at = std::max(m_own_sign_at, at);
    }
}

bool endpoint_history::on_peer_report(const restart_report& report, time_point now) noexcept
{
    const bool was_in_doubt = is_in_doubt(now);
    if (report.sign_age) {
        m_doubted_at = std::max(m_doubted_at, now - *report.sign_age);
    }
    if (report.doubt_age) {
        m_peers_doubted_at = std::max(m_peers_doubted_at, now - *report.doubt_age);
    }
    if (report.known_age && !report.sign_age && !report.doubt_age) {
        const time_point known_at = now - *report.known_age;
        on_contact(known_at);
        m_unknown_before = {}; // that host would know of a restart since
        if (m_contact_began_at <= known_at) {
            m_contact_began_at = {};
        }
    }
    if (report.known_age) {
        m_known_at = std::max(m_known_at, now - *report.known_age - max_report_delay);
    }
    return !was_in_doubt && is_in_doubt(now);
}

bool endpoint_history::needs_check(time_point now) const noexcept
{
    const bool is_peer_in_doubt = m_peers_doubted_at + max_report_delay > m_known_at &&
                                  now < m_peers_doubted_at + m_cold_time;
    const bool is_wanted = now - m_wanted_at < wanted_interval && is_unproven(now);
    return has_sign(now) || is_wanted || is_peer_in_doubt;
}

bool endpoint_history::needs_contact(time_point now) const noexcept
{
    if (!m_contact_retention || !m_is_end_seen || now < m_cold_until || needs_check(now)) {
        return false;
    }
    return is_unproven(now) || now - *m_contact_at > *m_contact_retention - contact_renewal_time;
}

std::optional<restart_report> endpoint_history::to_report(std::uint32_t endpoint,
                                                          time_point now) const
{
    const auto to_age = [&](time_point at) -> std::optional<duration> {
        return now < at + m_cold_time ? std::optional{now - at} : std::nullopt;
    };
    // a sign before the latest statement is over
    const auto to_sign_age = [&](time_point at) {
        return at > m_known_at ? to_age(at) : std::nullopt;
    };
    const restart_report report{endpoint, to_sign_age(m_own_sign_at), to_sign_age(m_own_doubted_at),
                                to_age(m_own_known_at)};
    const bool has_any = report.sign_age || report.doubt_age || report.known_age;
    return has_any ? std::optional{report} : std::nullopt;
}

std::optional<duration> endpoint_history::own_cold_report(time_point now) const
{
    return now < m_own_cold_until ? std::optional{m_own_cold_until - now} : std::nullopt;
}

} // namespace hickorykeel::gateway
