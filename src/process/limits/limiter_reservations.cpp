#include "process/limits/limiter.h"

#include <algorithm> // all_of, max, min
#include <utility>   // move

namespace hickorykeel {

namespace detail {

constexpr duration min_retry_after = std::chrono::milliseconds{50};
constexpr duration max_retry_after = std::chrono::seconds{60};

} // namespace detail

reservation_result limiter::reserve(const std::vector<std::string>& accounts, double tokens,
                                    time_point now)
{
    now = advance(now);
    reservation_result result;
    result.id = ++m_last_id;
    reservation pending;
    pending.tokens = tokens;
    for (const std::string& account : accounts) {
        if (!m_published || tokens > to_limit(*m_published, account).burst) {
            return result;
        }
        pending.parts.push_back({});
        pending.parts.back().account = account;
    }
    if (take_locally(pending, now)) {
        pending.is_granted = true;
        result.state = reservation_state::granted;
        m_reservations.emplace(result.id, std::move(pending));
        return result;
    }
    hold_own_tokens(pending, now);
    if (!request_missing(result.id, pending, now, result.messages) &&
        !postpone(pending, now, result.messages)) {
        result.retry_after = to_retry_after(pending);
        end_loans(pending, false, now, result.messages);
        return result;
    }
    result.state = reservation_state::waiting;
    m_waiting.insert(result.id);
    m_reservations.emplace(result.id, std::move(pending));
    return result;
}

void limiter::settle(std::uint64_t id, double used, time_point now)
{
    now = advance(now);
    const auto found = m_reservations.find(id);
    if (found == m_reservations.end() || !found->second.is_granted) {
        return;
    }
    const double unused = std::max(0.0, found->second.tokens - used);
    for (const account_reservation& charged : found->second.parts) {
        find_or_create_account(charged.account, now).bucket.give_back(unused, now);
    }
    m_reservations.erase(found);
}

limiter_events limiter::on_loan_grant(const std::string& from, std::uint64_t id,
                                      const loan_grant& grant, time_point now)
{
    now = advance(now);
    limiter_events events;
    const auto known = m_open_queries.find(id);
    if (known == m_open_queries.end() || known->second.host != from ||
        known->second.reservation == 0) {
        return events;
    }
    const open_query query = known->second;
    m_open_queries.erase(known);
    m_backoff_until.erase(from);
    account_state& state = find_or_create_account(grant.account, now);
    store_hint(state, from, grant.level, now);
    const time_point ends = query.sent_at + std::min<duration>(grant.term, m_options.loan_term);
    const auto found = m_reservations.find(query.reservation);
    const bool is_over = found == m_reservations.end() || found->second.is_granted ||
                         found->second.failed_attempts != query.attempt;
    if (is_over) {
        if (grant.tokens > 0) {
            events.messages.push_back({from, 0, loan_settle{grant.loan, 0, grant.tokens}});
        }
        return events;
    }
    account_reservation& wanted = found->second.parts[query.part];
    // a late reply of an earlier round of this attempt is counted in the current round, if open
    wanted.open_queries -= wanted.open_queries > 0 ? 1 : 0;
    if (grant.tokens > 0) {
        wanted.loans.push_back({from, grant.loan, grant.tokens, ends});
        state.borrowed += grant.tokens;
    }
    reservation_result result = advance_reservation(query.reservation, false, now);
    if (result.state != reservation_state::waiting || !result.messages.empty()) {
        events.results.push_back(std::move(result));
    }
    return events;
}

bool limiter::take_locally(const reservation& pending, time_point now)
{
    for (const account_reservation& wanted : pending.parts) {
        if (find_or_create_account(wanted.account, now).bucket.level(now) < pending.tokens) {
            return false;
        }
    }
    for (const account_reservation& wanted : pending.parts) {
        find_or_create_account(wanted.account, now).bucket.take_up_to(pending.tokens, now);
    }
    return true;
}

// Reserves own tokens for a waiting reservation. They occupy capacity like a loan.
void limiter::hold_own_tokens(reservation& pending, time_point now)
{
    for (account_reservation& wanted : pending.parts) {
        token_bucket& bucket = find_or_create_account(wanted.account, now).bucket;
        wanted.own = bucket.lend(m_last_id + 1, pending.tokens, 0, lender_term(), now);
        wanted.own_ends = now + m_options.loan_term;
        if (wanted.own > 0) {
            wanted.own_loan = ++m_last_id;
        }
    }
}

double limiter::missing_tokens(const reservation& pending, const account_reservation& wanted,
                               time_point now)
{
    double left = pending.tokens - (now < wanted.own_ends ? wanted.own : 0);
    for (const borrowed_loan& loan : wanted.loans) {
        left -= now < loan.ends ? loan.tokens : 0;
    }
    return left;
}

bool limiter::is_complete(const reservation& pending, time_point now)
{
    return std::all_of(pending.parts.begin(), pending.parts.end(),
                       [&](const account_reservation& wanted) {
                           return missing_tokens(pending, wanted, now) <= rounding_tolerance;
                       });
}

bool limiter::has_all_replies(const reservation& pending)
{
    return std::all_of(pending.parts.begin(), pending.parts.end(),
                       [](const account_reservation& wanted) { return wanted.open_queries == 0; });
}

// Grants a complete reservation. After a round, sends the next requests; postpones or refuses if the
// hosts left aren't expected to hold the missing tokens. A postponed reservation is first tried with
// own tokens.
reservation_result limiter::advance_reservation(std::uint64_t id, bool is_round_over,
                                                time_point now)
{
    reservation& pending = m_reservations.at(id);
    reservation_result result;
    result.id = id;
    result.state = reservation_state::waiting;
    if (pending.is_postponed && !is_round_over) {
        return result;
    }
    if (pending.is_postponed) {
        pending.is_postponed = false;
        if (take_locally(pending, now)) {
            pending.is_granted = true;
        }
        else {
            hold_own_tokens(pending, now);
        }
    }
    else if (is_complete(pending, now)) {
        end_loans(pending, true, now, result.messages);
        pending.is_granted = true;
    }
    if (pending.is_granted) {
        m_waiting.erase(id);
        result.state = reservation_state::granted;
        return result;
    }
    if (!is_round_over && !has_all_replies(pending)) {
        return result;
    }
    for (account_reservation& wanted : pending.parts) {
        wanted.open_queries = 0;
    }
    std::vector<limit_message> messages;
    if (request_missing(id, pending, now, messages)) {
        result.messages = std::move(messages);
        return result;
    }
    if (postpone(pending, now, result.messages)) {
        return result;
    }
    result.state = reservation_state::refused;
    result.retry_after = to_retry_after(pending);
    end_loans(pending, false, now, result.messages);
    m_waiting.erase(id);
    m_reservations.erase(id);
    return result;
}

// Returns all tokens and schedules another attempt. Returns false after the last attempt or if too
// many reservations wait.
bool limiter::postpone(reservation& pending, time_point now, std::vector<limit_message>& messages)
{
    if (++pending.failed_attempts >= m_options.max_loan_attempts ||
        m_waiting.size() >= m_options.max_waiting_reservations) {
        return false;
    }
    end_loans(pending, false, now, messages);
    for (account_reservation& wanted : pending.parts) {
        account_reservation fresh;
        fresh.account = wanted.account;
        wanted = std::move(fresh);
    }
    pending.is_postponed = true;
    pending.next_step_at = now + m_options.retry_delay;
    return true;
}

// Ends the loans of a reservation: the tokens are spent if it was granted, else returned.
void limiter::end_loans(reservation& pending, bool is_granted, time_point now,
                        std::vector<limit_message>& messages)
{
    for (account_reservation& wanted : pending.parts) {
        double left = is_granted ? pending.tokens : 0;
        if (wanted.own_loan != 0) {
            const double spent = std::min(left, wanted.own);
            find_or_create_account(wanted.account, now)
                .bucket.settle(wanted.own_loan, wanted.own - spent, now);
            left -= spent;
        }
        for (const borrowed_loan& loan : wanted.loans) {
            const bool is_usable = now < loan.ends;
            const double spent = is_usable ? std::min(left, loan.tokens) : 0;
            left -= spent;
            messages.push_back(
                {loan.host, 0, loan_settle{loan.loan, spent, is_usable ? loan.tokens - spent : 0}});
        }
        wanted.loans.clear();
    }
}

duration limiter::to_retry_after(const reservation& pending) const
{
    duration retry_after = detail::min_retry_after;
    for (const account_reservation& wanted : pending.parts) {
        const account_limit limit = to_limit(*m_published, wanted.account);
        if (limit.rate > 0) {
            retry_after = std::max(retry_after, from_seconds(pending.tokens / limit.rate));
        }
    }
    return std::min(retry_after, detail::max_retry_after);
}

} // namespace hickorykeel
