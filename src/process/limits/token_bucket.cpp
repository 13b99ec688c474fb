#include "process/limits/token_bucket.h"

#include <algorithm> // clamp, find_if, max, min

namespace hickorykeel {

void token_bucket::set_rights(double rate, double capacity, time_point now)
{
    advance(now);
    m_rate = rate;
    m_capacity = capacity;
    m_level = std::min(m_level, free_capacity());
}

double token_bucket::take_up_to(double tokens, time_point now)
{
    advance(now);
    const double taken = std::clamp(tokens, 0.0, m_level);
    m_level -= taken;
    return taken;
}

void token_bucket::give_back(double tokens, time_point now)
{
    advance(now);
    m_level = std::min(free_capacity(), m_level + std::max(0.0, tokens));
}

double token_bucket::lend(std::uint64_t loan, double tokens, double minimum, duration term,
                          time_point now)
{
    advance(now);
    const double granted = std::min(tokens, m_level);
    if (granted <= 0 || granted < minimum) {
        return 0;
    }
    m_level -= granted;
    m_lent += granted;
    m_loans.push_back({loan, granted, now + term});
    return granted;
}

void token_bucket::settle(std::uint64_t loan, double returned, time_point now)
{
    advance(now);
    const auto found = std::find_if(m_loans.begin(), m_loans.end(),
                                    [&](const open_loan& open) { return open.id == loan; });
    if (found == m_loans.end()) {
        return;
    }
    const double back = std::clamp(returned, 0.0, found->tokens);
    end_loan(found);
    m_level = std::min(free_capacity(), m_level + back);
}

double token_bucket::level(time_point now)
{
    advance(now);
    return m_level;
}

std::optional<duration> token_bucket::wait_for(double tokens, time_point now)
{
    advance(now);
    if (tokens <= m_level) {
        return duration::zero();
    }
    if (tokens > m_capacity || m_rate <= 0) {
        return std::nullopt;
    }
    return from_seconds((tokens - m_level) / m_rate);
}

void token_bucket::advance(time_point now)
{
    // each loan frees its capacity when it ends, so the refill is computed up to each end in turn
    while (!m_loans.empty() && m_loans.front().ends <= now) {
        refill(m_loans.front().ends);
        end_loan(m_loans.begin());
    }
    refill(now);
}

void token_bucket::refill(time_point now)
{
    if (now <= m_updated) {
        return;
    }
    const double grown = m_level + m_rate * to_seconds(now - m_updated);
    m_level = std::min(free_capacity(), grown);
    m_updated = now;
}

void token_bucket::end_loan(std::vector<open_loan>::iterator loan)
{
    m_lent -= loan->tokens;
    m_loans.erase(loan);
    if (m_loans.empty()) {
        m_lent = 0; // discards the rounding error of the sums
    }
}

double token_bucket::free_capacity() const noexcept
{
    return std::max(0.0, m_capacity - (m_lends_capacity ? m_lent : 0.0));
}

} // namespace hickorykeel
