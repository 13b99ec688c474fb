#include "process/limits/limiter.h"

#include "process/limits/drift_margin.h"

#include <algorithm>   // any_of, max, min
#include <random>      // uniform_real_distribution
#include <string_view> // string_view
#include <utility>     // move

namespace hickorykeel {

namespace detail {

// Returns the key of the account in m_changed: its organisation, or "open:profile".
std::string to_changed_key(std::string_view account)
{
    return std::string{account.substr(0, account.find('/'))};
}

} // namespace detail

limiter::limiter(std::string host, std::string failure_domain, std::uint64_t incarnation,
                 limiter_options options, time_point now)
    : m_host{std::move(host)}, m_failure_domain{std::move(failure_domain)}, m_options{options},
      m_shares{m_host, m_failure_domain, incarnation, options.shares},
      m_weights{m_failure_domain, options.weights}, m_now{now}, m_accrues_from{now},
      m_rights_since{now}, m_last_id{incarnation}, m_next_claim{now}, m_random{incarnation}
{
    if (options.waits_after_start) {
        // loans of an earlier incarnation may be spent until then
        m_accrues_from = now + lender_term();
        m_rights_since = m_accrues_from;
    }
}

void limiter::apply(const configuration_ptr& published, time_point now)
{
    now = advance(now);
    if (m_published && published->revision <= m_published->revision) {
        return;
    }
    m_weights.apply(published);
    note_changed_accounts(*published, now);
    m_published = published;
    m_revisions[published->revision] = now;
    set_all_rights(now);
    m_next_claim = now;
    confirm_weights(now);
}

void limiter::apply(const host_list_ptr& hosts, time_point now)
{
    now = advance(now);
    if (m_hosts && hosts->revision <= m_hosts->revision) {
        return;
    }
    m_hosts = hosts;
    m_live.clear();
    for (const host& listed : hosts->hosts) {
        if (listed.state == host_state::live && listed.name != m_host) {
            m_live[listed.failure_domain].push_back(listed.name);
        }
    }
    m_shares.apply(*hosts, now);
    after_share_change(now);
    m_next_claim = now;
    confirm_weights(now);
}

loan_grant limiter::on_loan_request(const loan_request& request, time_point now)
{
    now = advance(now);
    loan_grant grant;
    grant.account = request.account;
    if (!m_published || to_limit(*m_published, request.account).rate <= 0) {
        return grant;
    }
    token_bucket& bucket = find_or_create_account(request.account, now).bucket;
    grant.tokens = bucket.lend(m_last_id + 1, request.tokens, request.minimum, lender_term(), now);
    if (grant.tokens > 0) {
        grant.loan = ++m_last_id;
        m_open_loans[grant.loan] = {request.account, now + lender_term()};
    }
    grant.term = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.loan_term);
    grant.level = bucket.level(now);
    return grant;
}

void limiter::on_loan_settle(const loan_settle& settled, time_point now)
{
    now = advance(now);
    const auto found = m_open_loans.find(settled.loan);
    if (found == m_open_loans.end()) {
        return;
    }
    find_or_create_account(found->second.account, now)
        .bucket.settle(settled.loan, settled.returned, now);
    m_open_loans.erase(found);
}

share_answer limiter::on_share_claim(const std::string& from, std::uint64_t incarnation,
                                     const share_claim& claim, time_point now)
{
    now = advance(now);
    share_answer answer;
    const bool is_listed_elsewhere =
        m_hosts && std::any_of(m_hosts->hosts.begin(), m_hosts->hosts.end(), [&](const host& it) {
            return it.name == from && it.failure_domain != m_failure_domain;
        });
    if (!is_listed_elsewhere) {
        answer = m_shares.on_claim(from, incarnation, claim, now);
        after_share_change(now);
    }
    const auto confirmed = m_confirmed_by.find(from);
    if (confirmed != m_confirmed_by.end() && confirmed->second.incarnation != incarnation) {
        m_confirmed_by.erase(confirmed);
    }
    answer.host_list_revision = m_shares.host_list_revision();
    answer.configuration_revision = settled_revision(now);
    answer.is_confirmed = m_weights.is_confirmed();
    return answer;
}

void limiter::on_share_answer(const std::string& from, std::uint64_t incarnation, std::uint64_t id,
                              const share_answer& answer, time_point now)
{
    now = advance(now);
    const auto known = m_open_queries.find(id);
    if (known == m_open_queries.end() || known->second.host != from ||
        known->second.reservation != 0) {
        return;
    }
    const time_point sent_at = known->second.sent_at;
    m_open_queries.erase(known);
    m_backoff_until.erase(from);
    m_confirmed_by[from] = {incarnation, answer.configuration_revision};
    const bool is_same_domain =
        std::any_of(m_hosts->hosts.begin(), m_hosts->hosts.end(), [&](const host& it) {
            return it.name == from && it.failure_domain == m_failure_domain;
        });
    if (is_same_domain) {
        m_shares.on_answer(from, incarnation, answer, sent_at, now);
        after_share_change(now);
    }
    if (is_same_domain && answer.is_confirmed && m_published &&
        answer.configuration_revision == m_published->revision && !m_weights.is_confirmed()) {
        m_weights.confirm(answer.configuration_revision);
        m_rights_since = std::max(now, m_accrues_from);
        set_all_rights(now);
    }
    confirm_weights(now);
}

void limiter::on_leave_notice(const std::string& from, std::uint64_t incarnation, time_point now)
{
    now = advance(now);
    m_shares.on_leave_notice(from, incarnation, now);
    after_share_change(now);
}

limiter_events limiter::tick(time_point now)
{
    now = advance(now);
    limiter_events events;
    m_shares.advance(now);
    after_share_change(now);
    expire_queries(now);
    std::erase_if(m_open_loans, [&](const auto& entry) { return entry.second.ends <= now; });
    const std::vector<std::uint64_t> waiting{m_waiting.begin(), m_waiting.end()};
    for (const std::uint64_t id : waiting) {
        if (m_reservations.at(id).next_step_at > now) {
            continue;
        }
        reservation_result result = advance_reservation(id, true, now);
        if (result.state != reservation_state::waiting || !result.messages.empty()) {
            events.results.push_back(std::move(result));
        }
    }
    if (now < m_next_claim || !m_hosts) {
        return events;
    }
    m_next_claim = now + next_claim_interval();
    std::vector<std::string> hosts = m_shares.hosts_to_claim_from();
    if (!m_weights.is_confirmed()) {
        for (const host& listed : m_hosts->hosts) {
            if (listed.failure_domain != m_failure_domain) {
                hosts.push_back(listed.name);
            }
        }
    }
    for (const std::string& name : hosts) {
        m_open_queries[++m_last_id] = {name, 0, 0, 0, now};
        events.messages.push_back(
            {name, m_last_id,
             share_claim{m_shares.host_list_revision(), m_published ? m_published->revision : 0}});
    }
    return events;
}

std::vector<account_status> limiter::status(time_point now)
{
    now = advance(now);
    std::vector<account_status> rows;
    rows.reserve(m_accounts.size());
    for (auto& [name, state] : m_accounts) {
        rows.push_back({name, state.bucket.rate(), state.bucket.capacity(), state.bucket.level(now),
                        state.bucket.lent(), state.borrowed});
    }
    return rows;
}

// Returns the term of a loan at the lender, which ends after the term at the borrower.
duration limiter::lender_term() const
{
    return with_drift_margin(m_options.loan_term, m_options.shares.drift);
}

// Two hosts that send claims at the same moment can't raise each other's share, so the interval is
// random between 0.5 and 1.5 times the setting.
duration limiter::next_claim_interval()
{
    std::uniform_real_distribution<double> factor{0.5, 1.5};
    return from_seconds(to_seconds(m_options.claim_interval) * factor(m_random));
}

// Advances to `now`, applying each decrease of the share at its own time. Returns the time reached.
time_point limiter::advance(time_point now)
{
    now = std::max(now, m_now);
    while (m_next_decrease <= now) {
        const time_point decrease_at = m_next_decrease;
        m_shares.advance(decrease_at);
        m_now = decrease_at;
        after_share_change(decrease_at);
    }
    m_now = now;
    return now;
}

void limiter::after_share_change(time_point now)
{
    m_next_decrease = m_shares.next_decrease(now);
    if (m_shares.fraction() != m_applied_fraction) {
        m_applied_fraction = m_shares.fraction();
        m_rights_since = std::max(now, m_accrues_from);
        set_all_rights(now);
    }
}

void limiter::set_all_rights(time_point now)
{
    for (auto& [name, state] : m_accounts) {
        set_rights(name, state, now);
    }
}

void limiter::set_rights(const std::string& account, account_state& state, time_point now) const
{
    const account_limit limit = to_limit(*m_published, account);
    const double share = m_weights.weight(account) * m_shares.fraction();
    state.bucket.set_rights(limit.rate * share, limit.burst * share, now);
}

// Returns the state of the account. A new one starts with the tokens accrued since its rights last
// changed.
limiter::account_state& limiter::find_or_create_account(const std::string& account, time_point now)
{
    const auto found = m_accounts.find(account);
    if (found != m_accounts.end()) {
        return found->second;
    }
    time_point since = m_rights_since;
    const auto changed = m_changed.find(detail::to_changed_key(account));
    if (changed != m_changed.end()) {
        since = std::max(since, changed->second);
    }
    const std::size_t slash = account.find('/');
    if (slash != std::string::npos) {
        const auto profile = m_changed.find(to_open_account(account.substr(slash + 1)));
        since = profile == m_changed.end() ? since : std::max(since, profile->second);
    }
    account_state& state = m_accounts.try_emplace(account, since).first->second;
    if (!m_options.lends_capacity) {
        state.bucket.keep_capacity_when_lending();
    }
    set_rights(account, state, std::min(since, now));
    return state;
}

// Records the accounts whose rights a configuration changes; the others keep accruing.
void limiter::note_changed_accounts(const configuration& after, time_point now)
{
    const time_point since = std::max(now, m_accrues_from);
    if (!m_published || m_published->failure_domains.size() != after.failure_domains.size()) {
        m_rights_since = since;
        return;
    }
    for (const auto& [name, organisation] : after.organisations) {
        const auto before = m_published->organisations.find(name);
        if (before == m_published->organisations.end() ||
            before->second.rate != organisation.rate ||
            before->second.burst != organisation.burst ||
            before->second.home != organisation.home) {
            m_changed[name] = since;
        }
    }
    for (const auto& [name, profile] : after.profiles) {
        const auto before = m_published->profiles.find(name);
        const std::string account = to_open_account(name);
        if (before == m_published->profiles.end() || before->second.rate != profile.rate ||
            before->second.burst != profile.burst ||
            find_home_domain(*m_published, account) != find_home_domain(after, account)) {
            m_changed[account] = since;
        }
    }
}

void limiter::confirm_weights(time_point now)
{
    if (!m_published || m_weights.is_confirmed() || !is_confirmed_by_all()) {
        return;
    }
    m_weights.confirm(m_published->revision);
    m_rights_since = std::max(now, m_accrues_from);
    set_all_rights(now);
}

bool limiter::is_confirmed_by_all() const
{
    if (!m_hosts) {
        return false;
    }
    for (const host& listed : m_hosts->hosts) {
        if (listed.name == m_host) {
            continue;
        }
        const auto found = m_confirmed_by.find(listed.name);
        if (found == m_confirmed_by.end() || found->second.revision != m_published->revision) {
            return false;
        }
    }
    return true;
}

// Returns the newest revision for which all loans made under earlier revisions have ended.
std::uint64_t limiter::settled_revision(time_point now) const
{
    std::uint64_t settled = 0;
    for (const auto& [revision, applied] : m_revisions) {
        if (applied + lender_term() <= now) {
            settled = std::max(settled, revision);
        }
    }
    return settled;
}

} // namespace hickorykeel
