#include "process/limits/limiter.h"

#include "process/limits/drift_margin.h"

#include <algorithm> // any_of, clamp, find, find_if, max, min, stable_sort
#include <random>    // uniform_real_distribution
#include <utility>   // move

namespace hickorykeel {

namespace detail {

constexpr double rounding_tolerance = 1e-6;     // tokens
constexpr std::size_t max_considered_hosts = 8; // hosts of one failure domain
constexpr duration min_retry_after = std::chrono::milliseconds{50};
constexpr duration max_retry_after = std::chrono::seconds{60};
constexpr double assumed_level = 1; // of the capacity, without a fresh hint

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

// Sends loan requests for all missing tokens. Returns false if the hosts left to query aren't
// expected to hold them.
bool limiter::request_missing(std::uint64_t id, reservation& pending, time_point now,
                              std::vector<limit_message>& messages)
{
    for (std::size_t i = 0; i < pending.parts.size(); ++i) {
        if (!request_missing_of(id, i, pending, now, messages)) {
            return false;
        }
    }
    pending.next_step_at = now + m_options.loan_reply_timeout;
    return true;
}

// Returns how many of the first candidates are expected to hold `missing` together, or 0 if all
// candidates together aren't expected to.
std::size_t limiter::count_needed(const std::vector<candidate>& found, double missing)
{
    double expected = 0;
    for (std::size_t count = 0; count < found.size(); ++count) {
        expected += found[count].level;
        if (expected >= missing) {
            return count + 1;
        }
    }
    return 0;
}

bool limiter::request_missing_of(std::uint64_t id, std::size_t index, reservation& pending,
                                 time_point now, std::vector<limit_message>& messages)
{
    account_reservation& wanted = pending.parts[index];
    const double missing = missing_tokens(pending, wanted, now);
    if (missing <= detail::rounding_tolerance) {
        return true;
    }
    // hosts with a low level are queried only where the others don't suffice
    const double min_level = missing / static_cast<double>(2 * m_options.max_lenders);
    std::vector<candidate> chosen = find_candidates(wanted, min_level, now);
    std::size_t count = count_needed(chosen, missing);
    if (count == 0) {
        chosen = find_candidates(wanted, detail::rounding_tolerance, now);
        count = count_needed(chosen, missing);
    }
    if (count == 0) {
        return false;
    }
    chosen.resize(count);
    for (const candidate& lender : chosen) {
        const std::uint64_t query_id = ++m_last_id;
        // if one lender is needed and it is the last that may be queried, it grants all or nothing;
        // else each grants what it can
        const double minimum =
            count == 1 && wanted.queried_hosts.size() + 1 == m_options.max_lenders ? missing : 0;
        m_open_queries[query_id] = {lender.host, id, index, pending.failed_attempts, now};
        messages.push_back({lender.host, query_id,
                            loan_request{wanted.account, missing, minimum, m_published->revision}});
        ++wanted.open_queries;
    }
    for (const candidate& lender : chosen) {
        wanted.queried_hosts.push_back(lender.host);
    }
    return true;
}

// Returns the hosts to query: own failure domain, home, then others; each by expected level.
std::vector<limiter::candidate> limiter::find_candidates(const account_reservation& wanted,
                                                         double min_level, time_point now)
{
    std::vector<candidate> found;
    const std::string home = find_home_domain(*m_published, wanted.account);
    add_candidates(m_failure_domain, wanted, min_level, now, found);
    if (home != m_failure_domain) {
        add_candidates(home, wanted, min_level, now, found);
    }
    if (!m_live.empty()) {
        // then the next four failure domains with live hosts, own and home skipped; starts at a
        // different one each time
        auto other = m_live.begin();
        std::advance(other, static_cast<std::ptrdiff_t>(++m_rotation % m_live.size()));
        for (std::size_t i = 0; i < std::min<std::size_t>(m_live.size(), 4); ++i) {
            if (other->first != home && other->first != m_failure_domain) {
                add_candidates(other->first, wanted, min_level, now, found);
            }
            if (++other == m_live.end()) {
                other = m_live.begin();
            }
        }
    }
    const std::size_t left =
        m_options.max_lenders - std::min(m_options.max_lenders, wanted.queried_hosts.size());
    found.resize(std::min(found.size(), left));
    return found;
}

void limiter::add_candidates(const std::string& failure_domain, const account_reservation& wanted,
                             double min_level, time_point now, std::vector<candidate>& found)
{
    const auto live = m_live.find(failure_domain);
    if (live == m_live.end()) {
        return;
    }
    const std::vector<std::string>& hosts = live->second;
    const std::size_t count = std::min(hosts.size(), detail::max_considered_hosts);
    const auto first = static_cast<std::ptrdiff_t>(found.size());
    for (std::size_t i = 0; i < count; ++i) {
        const std::string& name = hosts[(m_rotation + i) % hosts.size()];
        const auto backoff = m_backoff_until.find(name);
        const bool is_in_backoff = backoff != m_backoff_until.end() && backoff->second > now;
        const bool was_queried = std::find(wanted.queried_hosts.begin(), wanted.queried_hosts.end(),
                                           name) != wanted.queried_hosts.end();
        const double level = expected_level(name, failure_domain, wanted.account, now);
        if (!is_in_backoff && !was_queried && level >= min_level) {
            found.push_back({name, level});
        }
    }
    std::stable_sort(
        found.begin() + first, found.end(),
        [](const candidate& lhs, const candidate& rhs) { return lhs.level > rhs.level; });
}

double limiter::expected_level(const std::string& name, const std::string& failure_domain,
                               const std::string& account, time_point now)
{
    const account_limit limit = to_limit(*m_published, account);
    const std::size_t own = failure_domain == m_failure_domain ? 1 : 0;
    const auto hosts = static_cast<double>(m_live.at(failure_domain).size() + own);
    const double weight = to_weight(*m_published, account, failure_domain, m_options.weights).full;
    const double share = weight / hosts;
    const account_state& state = find_or_create_account(account, now);
    const auto known = std::find_if(state.hints.begin(), state.hints.end(),
                                    [&](const hint& it) { return it.host == name; });
    if (known == state.hints.end() || now - known->at > m_options.max_hint_age) {
        return limit.burst * share * detail::assumed_level;
    }
    return std::min(limit.burst * share,
                    known->level + limit.rate * share * to_seconds(now - known->at));
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
    return std::all_of(
        pending.parts.begin(), pending.parts.end(), [&](const account_reservation& wanted) {
            return missing_tokens(pending, wanted, now) <= detail::rounding_tolerance;
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

void limiter::store_hint(account_state& state, const std::string& name, double level,
                         time_point now) const
{
    const auto known = std::find_if(state.hints.begin(), state.hints.end(),
                                    [&](const hint& it) { return it.host == name; });
    if (known != state.hints.end()) {
        *known = {name, level, now};
        return;
    }
    std::erase_if(state.hints,
                  [&](const hint& it) { return now - it.at > m_options.max_hint_age; });
    state.hints.push_back({name, level, now});
}

// Drops queries older than hold_term. Backs off from hosts that missed loan_reply_timeout; their
// queries stay open until then, so that a late grant is used or returned.
void limiter::expire_queries(time_point now)
{
    std::erase_if(m_open_queries, [&](const auto& entry) {
        const open_query& open = entry.second;
        if (open.reservation != 0 && open.sent_at + m_options.loan_reply_timeout <= now) {
            m_backoff_until[open.host] =
                open.sent_at + m_options.loan_reply_timeout + m_options.lender_backoff;
        }
        return open.sent_at + m_options.shares.hold_term <= now;
    });
    std::erase_if(m_backoff_until, [&](const auto& entry) { return entry.second <= now; });
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
