#include "process/ticket_book.h"

#include <utility> // move

namespace hickorykeel {

// model: at_most_once.pml, begin
ticket_book::verdict ticket_book::begin(const std::string& id, time_point expiry,
                                        const std::string& fingerprint, time_point now)
{
    expire(now);
    const auto found = m_records.find(id);
    if (found == m_records.end()) {
        // the caller checked the expiry earlier; since then the record may have gone
        if (expiry <= now) {
            return has_expired{};
        }
        if (m_records.size() >= m_capacity) {
            return is_full{};
        }
        m_records.emplace(id, record{fingerprint, true, nullptr});
        m_expiries.push({expiry, id});
        return may_run{};
    }
    const record& known = found->second;
    if (known.fingerprint != fingerprint) {
        return body_differs{};
    }
    if (known.is_running) {
        return is_running{};
    }
    if (known.answer) {
        return known.answer;
    }
    return may_have_run{};
}

// model: at_most_once.pml, settle(whole)
void ticket_book::finish(const std::string& id, recorded_answer answer)
{
    const auto found = m_records.find(id);
    if (found != m_records.end()) {
        found->second.is_running = false;
        found->second.answer = std::make_shared<const recorded_answer>(std::move(answer));
    }
}

// model: at_most_once.pml, settle(unknown)
void ticket_book::lose(const std::string& id)
{
    const auto found = m_records.find(id);
    if (found != m_records.end()) {
        found->second.is_running = false;
    }
}

// model: at_most_once.pml, settle(no)
void ticket_book::release(const std::string& id)
{
    m_records.erase(id);
}

// model: at_most_once.pml, the step after "expired"
void ticket_book::expire(time_point now)
{
    while (!m_expiries.empty() && m_expiries.top().when <= now) {
        const auto found = m_records.find(m_expiries.top().id);
        // a running request keeps its record, so that a repeat cannot start beside it
        if (found != m_records.end() && !found->second.is_running) {
            m_records.erase(found);
        }
        m_expiries.pop();
    }
}

} // namespace hickorykeel
