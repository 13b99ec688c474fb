#include "connection/exchange.h"

#include <algorithm> // min
#include <utility>   // move

namespace hickorykeel {

exchange::exchange(std::uint64_t correlation, identity who)
    : m_correlation(correlation), m_who(std::move(who)), m_last_heard(boot_clock::now())
{
}

void exchange::deliver(link::dispatch_event event, std::uint64_t incarnation, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (m_incarnation == 0) {
        m_incarnation = incarnation;
    }
    m_last_heard = now;
    const bool is_keepalive = event.kind() == link::dispatch_event::kind_accepted;
    if (incarnation != m_incarnation || event.sequence() > m_next_sequence) {
        m_is_lost = true;
    }
    else if (!is_keepalive && event.sequence() == m_next_sequence) {
        ++m_next_sequence;
        m_events.push_back(std::move(event));
    }
    m_changed.notify_all();
}

void exchange::abort(refusal why)
{
    const std::lock_guard lock(m_mutex);
    m_abort = std::move(why);
    m_changed.notify_all();
}

exchange::outcome exchange::next(time_point until, duration silence)
{
    std::unique_lock lock(m_mutex);
    while (true) {
        outcome taken = take();
        if (!std::holds_alternative<timed_out>(taken)) {
            return taken;
        }
        const time_point now = boot_clock::now();
        const time_point silent_at = m_last_heard + silence;
        if (now >= silent_at) {
            return lost{};
        }
        if (now >= until) {
            return timed_out{};
        }
        m_changed.wait_for(lock, std::min(until, silent_at) - now);
    }
}

exchange::outcome exchange::take()
{
    if (const auto* why = std::get_if<refusal>(&m_abort)) {
        return *why;
    }
    if (!m_events.empty()) {
        link::dispatch_event event = std::move(m_events.front());
        m_events.pop_front();
        return event;
    }
    if (m_is_lost) {
        return lost{};
    }
    return timed_out{};
}

std::shared_ptr<exchange> exchange_table::open(exchange::identity who)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t correlation = m_next_correlation++;
    auto opened = std::make_shared<exchange>(correlation, std::move(who));
    m_exchanges.emplace(correlation, opened);
    return opened;
}

void exchange_table::close(std::uint64_t correlation)
{
    const std::lock_guard lock(m_mutex);
    m_exchanges.erase(correlation);
}

std::shared_ptr<exchange> exchange_table::find(std::uint64_t correlation) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_exchanges.find(correlation);
    return found == m_exchanges.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<exchange>> exchange_table::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<exchange>> copies;
    copies.reserve(m_exchanges.size());
    for (const auto& [correlation, in_flight] : m_exchanges) {
        copies.push_back(in_flight);
    }
    return copies;
}

std::size_t exchange_table::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_exchanges.size();
}

} // namespace hickorykeel
