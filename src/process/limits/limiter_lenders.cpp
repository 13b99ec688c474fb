#include "process/limits/limiter.h"

#include <algorithm> // find, find_if, min, stable_sort
#include <iterator>  // advance

namespace hickorykeel {

namespace detail {

constexpr std::size_t max_considered_hosts = 8; // hosts of one failure domain
constexpr double assumed_level = 1;             // of the capacity, without a fresh hint

} // namespace detail

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
    if (missing <= rounding_tolerance) {
        return true;
    }
    // hosts with a low level are queried only where the others don't suffice
    const double min_level = missing / static_cast<double>(2 * m_options.max_lenders);
    std::vector<candidate> chosen = find_candidates(wanted, min_level, now);
    std::size_t count = count_needed(chosen, missing);
    if (count == 0) {
        chosen = find_candidates(wanted, rounding_tolerance, now);
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

} // namespace hickorykeel
