#include "process/limits/host_shares.h"

#include "process/limits/drift_margin.h"

#include <algorithm> // any_of, clamp, find, max, min, none_of
#include <utility>   // move

namespace hickorykeel {

namespace detail {

constexpr std::size_t max_retired_incarnations = 16; // incarnations remembered per peer
constexpr double rounding_tolerance = 1e-9;          // of sums of fractions
constexpr std::uint64_t first_revision = 1;          // of host lists

// host name that stands in replies for all hosts whose consents the sender may have forgotten
constexpr const char* forgotten_marker = "";

std::chrono::milliseconds to_milliseconds_up(duration span)
{
    return std::chrono::ceil<std::chrono::milliseconds>(span);
}

// Adds `share`, or merges it into the entry of the same host and incarnation, which keeps the larger
// fraction and the longer remaining time.
void merge(std::vector<held_share>& shares, const held_share& share)
{
    for (held_share& known : shares) {
        if (known.host == share.host && known.incarnation == share.incarnation) {
            known.fraction = std::max(known.fraction, share.fraction);
            known.remaining = std::max(known.remaining, share.remaining);
            return;
        }
    }
    shares.push_back(share);
}

} // namespace detail

host_shares::host_shares(std::string name, std::string failure_domain, std::uint64_t incarnation,
                         share_options options)
    : m_name{std::move(name)}, m_failure_domain{std::move(failure_domain)},
      m_incarnation{incarnation}, m_options{options}
{
}

void host_shares::apply(const host_list& list, time_point now)
{
    if (list.revision <= m_revision) {
        return;
    }
    note_first_call(now);
    if (list.revision <= detail::first_revision) {
        m_knows_all_consents = true;
    }
    m_revision = list.revision;
    m_is_live = false;
    for (auto& [name, other] : m_peers) {
        other.is_listed = false;
        other.is_live = false;
    }
    for (const host& listed : list.hosts) {
        if (listed.failure_domain != m_failure_domain) {
            continue;
        }
        const bool is_live = listed.state == host_state::live;
        if (listed.name == m_name) {
            m_is_live = is_live;
            continue;
        }
        peer& other = m_peers[listed.name];
        other.is_listed = true;
        other.is_live = is_live;
    }
    std::erase_if(m_unlisted_claimants,
                  [&](const auto& entry) { return entry.second <= m_revision; });
    update(now);
}

share_answer host_shares::on_claim(const std::string& from, std::uint64_t incarnation,
                                   const share_claim& claim, time_point now)
{
    note_first_call(now);
    share_answer answer;
    answer.host_list_revision = m_revision;
    peer* claimant = accept(from, incarnation, now);
    if (claimant == nullptr) {
        return answer;
    }
    if (!claimant->is_listed && claim.host_list_revision > m_revision) {
        m_unlisted_claimants[from] = claim.host_list_revision;
    }
    update(now);
    const double granted = grant(from, *claimant, claim, now);
    update(now);
    answer.fraction = committed(now);
    claimant->replied_fraction = answer.fraction;
    claimant->replied_at = now;
    claimant->has_replied = true;
    if (m_options.bounds_stale_consents) {
        claimant->received.fraction = std::min(claimant->received.fraction, answer.fraction);
    }
    answer.others = unlisted_shares(now);
    if (forgotten_fraction(now) > 0) {
        answer.others.push_back({detail::forgotten_marker, m_incarnation, forgotten_fraction(now),
                                 detail::to_milliseconds_up(m_options.isolation_term)});
    }
    answer.others.push_back(
        {from, incarnation, granted, detail::to_milliseconds_up(m_options.hold_term)});
    return answer;
}

void host_shares::on_answer(const std::string& from, std::uint64_t incarnation,
                            const share_answer& answer, time_point claimed_at, time_point now)
{
    note_first_call(now);
    // the reply may come from an incarnation older than the known one
    const auto known = m_peers.find(from);
    if (m_options.ignores_superseded_replies && known != m_peers.end() &&
        known->second.incarnation != 0 && known->second.incarnation != incarnation &&
        claimed_at <= known->second.known_since) {
        return;
    }
    peer* other = accept(from, incarnation, now);
    if (other == nullptr) {
        return;
    }
    // a share that the peer had before this host started counts as a consent
    if ((!other->has_claimed || forgotten_fraction(now) > 0) && answer.fraction > 0) {
        other->has_claimed = true;
        other->granted = std::max(other->granted, answer.fraction);
        other->granted_at = now;
    }
    // a consent given after the claim was sent may allow the peer more than this reply says
    if (!other->has_claimed || other->granted_at < claimed_at) {
        other->granted = std::min(other->granted, answer.fraction);
    }
    if (!other->has_consented || claimed_at >= other->received.claimed_at) {
        for (const held_share& share : answer.others) {
            if (share.host != m_name || share.incarnation != m_incarnation) {
                continue;
            }
            other->received = {share.fraction, claimed_at};
            other->has_consented = true;
            // a consent to an older claim doesn't exceed what this host has declared since
            if (m_options.bounds_stale_consents && other->has_replied &&
                claimed_at <= other->replied_at) {
                other->received.fraction = std::min(share.fraction, other->replied_fraction);
            }
        }
    }
    if (other->reports_claimed_at <= claimed_at) {
        other->reports_claimed_at = claimed_at;
        take_reports(*other, answer, now);
    }
    update(now);
}

void host_shares::on_leave_notice(const std::string& from, std::uint64_t incarnation,
                                  time_point now)
{
    peer* other = accept(from, incarnation, now);
    if (other == nullptr) {
        return;
    }
    retire(*other, now);
    update(now);
}

void host_shares::advance(time_point now)
{
    update(now);
}

time_point host_shares::next_decrease(time_point now) const
{
    time_point next = time_point::max();
    for (const auto& [name, other] : m_peers) {
        if (!other.is_listed || !other.has_consented || !m_options.expires_consents) {
            continue;
        }
        for (const duration term : {m_options.hold_term, m_options.isolation_term}) {
            const time_point end = other.received.claimed_at + term;
            if (end > now) {
                next = std::min(next, end);
            }
        }
    }
    return next;
}

std::vector<std::string> host_shares::hosts_to_claim_from() const
{
    std::vector<std::string> hosts;
    for (const auto& [name, other] : m_peers) {
        if (other.is_listed || other.granted > 0) {
            hosts.push_back(name);
        }
    }
    return hosts;
}

// Records the shares of third hosts from a reply. Only a complete reply replaces earlier reports:
// a peer that has restarted may have forgotten what its earlier incarnation reported.
void host_shares::take_reports(peer& other, const share_answer& answer, time_point now)
{
    const bool is_complete =
        std::none_of(answer.others.begin(), answer.others.end(), [](const held_share& share) {
            return share.host == detail::forgotten_marker;
        });
    if (is_complete) {
        m_knows_all_consents = true;
        other.reports.clear();
        other.report_ends.clear();
    }
    for (const held_share& share : answer.others) {
        const bool is_kept =
            std::any_of(other.reports.begin(), other.reports.end(), [&](const held_share& kept) {
                return kept.host == share.host && kept.incarnation == share.incarnation;
            });
        if (share.host != m_name && share.host != detail::forgotten_marker && !is_kept) {
            other.reports.push_back(share);
            other.report_ends.push_back(now + with_drift_margin(share.remaining, m_options.drift));
        }
    }
}

void host_shares::note_first_call(time_point now)
{
    if (!m_started) {
        m_started = now;
    }
}

// Returns the fraction that hosts may use by consents of an earlier incarnation of this host.
double host_shares::forgotten_fraction(time_point now) const
{
    if (m_knows_all_consents || !m_options.counts_forgotten_consents) {
        return 0;
    }
    const duration since = m_started ? now - *m_started : duration::zero();
    if (since < with_drift_margin(m_options.hold_term + m_options.settle_term, m_options.drift)) {
        return 1;
    }
    return since < with_drift_margin(m_options.isolation_term + m_options.settle_term,
                                     m_options.drift)
               ? m_options.reduced_consent_factor
               : 0;
}

// Returns the record of the sender, or null if the message is from a retired incarnation.
host_shares::peer* host_shares::accept(const std::string& from, std::uint64_t incarnation,
                                       time_point now)
{
    peer& other = m_peers[from];
    if (is_retired(other, incarnation)) {
        return nullptr;
    }
    if (other.incarnation != incarnation) {
        if (other.incarnation != 0) {
            retire(other, now);
        }
        other.incarnation = incarnation;
        other.known_since = now;
    }
    return &other;
}

// Ends the known incarnation. The next one starts without a share; loans of the ended one may still
// be spent.
void host_shares::retire(peer& other, time_point now)
{
    peer next;
    next.retired_fraction = allowance_of(other, now);
    next.retired_until = now + with_drift_margin(m_options.settle_term, m_options.drift);
    next.retired = std::move(other.retired);
    next.retired.push_back(other.incarnation);
    if (next.retired.size() > detail::max_retired_incarnations) {
        next.retired.erase(next.retired.begin());
    }
    // these reports concern third hosts and stay valid
    next.reports = std::move(other.reports);
    next.report_ends = std::move(other.report_ends);
    next.is_listed = other.is_listed;
    next.is_live = other.is_live;
    other = std::move(next);
}

bool host_shares::is_retired(const peer& other, std::uint64_t incarnation)
{
    return std::find(other.retired.begin(), other.retired.end(), incarnation) !=
           other.retired.end();
}

// Returns what `other` may use by this host's consent and by loans of its retired incarnations.
double host_shares::allowance_of(const peer& other, time_point now) const
{
    const double retired_fraction = now < other.retired_until ? other.retired_fraction : 0;
    const duration since = now - other.granted_at;
    const duration settle = m_options.counts_settling ? m_options.settle_term : duration::zero();
    if (since < with_drift_margin(m_options.hold_term + settle, m_options.drift)) {
        return retired_fraction + other.granted;
    }
    if (since < with_drift_margin(m_options.isolation_term + settle, m_options.drift)) {
        return retired_fraction + other.granted * m_options.reduced_consent_factor;
    }
    return retired_fraction;
}

// Returns what this host may use by the consent of `other`.
double host_shares::consent_from(const peer& other, time_point now) const
{
    if (!other.has_consented) {
        return 0;
    }
    const duration since = now - other.received.claimed_at;
    if (since < m_options.hold_term || !m_options.expires_consents) {
        return other.received.fraction;
    }
    if (since < m_options.isolation_term) {
        return other.received.fraction * m_options.reduced_consent_factor;
    }
    return 0;
}

// Returns what each other host may use: by this host's own consent, else by the reports of others.
std::map<std::string, double> host_shares::allowances(time_point now) const
{
    std::map<std::string, double> allowed = reported(now);
    for (const auto& [name, other] : m_peers) {
        if (other.has_claimed || now < other.retired_until) {
            allowed[name] = allowance_of(other, now);
        }
    }
    return allowed;
}

std::map<std::string, double> host_shares::reported(time_point now) const
{
    std::map<std::string, double> allowed;
    for (const auto& [name, other] : m_peers) {
        for (std::size_t i = 0; i < other.reports.size(); ++i) {
            const held_share& share = other.reports[i];
            const auto about = m_peers.find(share.host);
            const bool has_ended =
                about != m_peers.end() && is_retired(about->second, share.incarnation);
            if (!has_ended && other.report_ends[i] > now) {
                allowed[share.host] = std::max(allowed[share.host], share.fraction);
            }
        }
    }
    return allowed;
}

double host_shares::equal_share() const
{
    std::size_t live = m_unlisted_claimants.size() + (m_is_live ? 1 : 0);
    for (const auto& [name, other] : m_peers) {
        live += other.is_live ? 1 : 0;
    }
    return live == 0 ? 0 : 1 / static_cast<double>(live);
}

// Returns a factor, 0 to 1, for the equal shares: hosts that may use more than an equal share keep
// it, and the remaining hosts split the rest.
double host_shares::target_scale(const std::map<std::string, double>& allowed, time_point now) const
{
    const double each = equal_share();
    double unused = 1 - forgotten_fraction(now);
    double targets = 1;
    for (const auto& [name, fraction] : allowed) {
        const auto found = m_peers.find(name);
        const bool is_live = found != m_peers.end() && found->second.is_live;
        const double own = is_live || m_unlisted_claimants.contains(name) ? each : 0;
        if (fraction > own + detail::rounding_tolerance) {
            unused -= fraction;
            targets -= own;
        }
    }
    return targets <= 0 ? 0 : std::clamp(unused / targets, 0.0, 1.0);
}

// Returns the maximum that this host may use or has lent.
double host_shares::committed(time_point now) const
{
    const bool is_settling = m_options.counts_settling && now < m_settling_until;
    return is_settling ? std::max(m_fraction, m_settling_fraction) : m_fraction;
}

// Returns the shares of hosts that aren't live in this host's list but may still use one.
std::vector<held_share> host_shares::unlisted_shares(time_point now) const
{
    std::vector<held_share> others;
    for (const auto& [name, other] : m_peers) {
        const double fraction = allowance_of(other, now);
        if (!other.has_claimed || other.is_live || fraction <= 0) {
            continue;
        }
        const duration left =
            other.granted_at + with_drift_margin(m_options.isolation_term, m_options.drift) - now;
        others.push_back({name, other.incarnation, fraction, detail::to_milliseconds_up(left)});
    }
    for (const auto& [name, other] : m_peers) {
        for (std::size_t i = 0; i < other.reports.size(); ++i) {
            const auto about = m_peers.find(other.reports[i].host);
            const bool is_known =
                about != m_peers.end() && (about->second.has_claimed || about->second.is_live ||
                                           is_retired(about->second, other.reports[i].incarnation));
            if (!is_known && other.report_ends[i] > now) {
                held_share share = other.reports[i];
                share.remaining = detail::to_milliseconds_up(other.report_ends[i] - now);
                detail::merge(others, share);
            }
        }
    }
    return others;
}

double host_shares::grant(const std::string& to, peer& claimant, const share_claim& claim,
                          time_point now)
{
    const bool is_member = claimant.is_live || m_unlisted_claimants.contains(to);
    // a host that a newer list removed keeps its share until the consent ends
    if (!is_member && claim.host_list_revision <= m_revision) {
        return 0;
    }
    const std::map<std::string, double> allowed = allowances(now);
    // loans of the claimant's last incarnation count like the share of another host
    const double retired_fraction = now < claimant.retired_until ? claimant.retired_fraction : 0;
    double available = 1 - committed(now) - retired_fraction - forgotten_fraction(now);
    for (const auto& [name, fraction] : allowed) {
        available -= name == to ? 0 : fraction;
    }
    available = available < detail::rounding_tolerance ? 0 : available;
    const double before = claimant.has_claimed ? allowance_of(claimant, now) - retired_fraction : 0;
    const double wanted = equal_share() * target_scale(allowed, now);
    const double granted = std::min(wanted, std::max(available, before));
    claimant.granted = std::max(before, granted);
    claimant.granted_at = now;
    claimant.has_claimed = true;
    return granted;
}

void host_shares::update(time_point now)
{
    const std::map<std::string, double> allowed = allowances(now);
    double usable = m_is_live ? equal_share() * target_scale(allowed, now) : 0;
    if (m_options.waits_for_consent) {
        double unused = 1 - forgotten_fraction(now);
        for (const auto& [name, fraction] : allowed) {
            unused -= fraction;
        }
        usable = std::clamp(unused, 0.0, usable);
        for (const auto& [name, other] : m_peers) {
            if (other.is_listed) {
                usable = std::min(usable, consent_from(other, now));
            }
        }
    }
    if (usable < m_fraction) {
        m_settling_fraction = committed(now);
        m_settling_until = now + with_drift_margin(m_options.settle_term, m_options.drift);
    }
    m_fraction = usable;
}

} // namespace hickorykeel
