#include "process/limits/host_shares.h"

#include <algorithm> // any_of, clamp, find, max, min, none_of
#include <utility>   // move

namespace hickorykeel {

namespace detail {

constexpr std::size_t retired_limit = 16;
constexpr double rounding = 1e-9;           // of sums of fractions
constexpr std::uint64_t first_revision = 1; // of host lists

// stands in answers for all hosts that the answering host may have forgotten
constexpr const char* forgotten_name = "";

std::chrono::milliseconds to_milliseconds_up(duration span)
{
    return std::chrono::ceil<std::chrono::milliseconds>(span);
}

// Adds `share`, or joins it with an entry for the same incarnation.
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
    note_start(now);
    if (list.revision <= detail::first_revision) {
        m_is_complete = true;
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
    std::erase_if(m_newcomers, [&](const auto& entry) { return entry.second <= m_revision; });
    update(now);
}

share_answer host_shares::on_claim(const std::string& from, std::uint64_t incarnation,
                                   const share_claim& claim, time_point now)
{
    note_start(now);
    share_answer answer;
    answer.host_list_revision = m_revision;
    peer* asker = accept(from, incarnation, now);
    if (asker == nullptr) {
        return answer;
    }
    if (!asker->is_listed && claim.host_list_revision > m_revision) {
        m_newcomers[from] = claim.host_list_revision;
    }
    update(now);
    const double granted = grant(from, *asker, claim, now);
    update(now);
    answer.fraction = committed(now);
    asker->promised = answer.fraction;
    asker->promised_at = now;
    asker->has_promise = true;
    if (m_options.bounds_old_consents) {
        asker->received.fraction = std::min(asker->received.fraction, answer.fraction);
    }
    answer.others = to_others(now);
    if (forgotten(now) > 0) {
        answer.others.push_back({detail::forgotten_name, m_incarnation, forgotten(now),
                                 detail::to_milliseconds_up(m_options.isolation_term)});
    }
    answer.others.push_back(
        {from, incarnation, granted, detail::to_milliseconds_up(m_options.hold_term)});
    return answer;
}

void host_shares::on_answer(const std::string& from, std::uint64_t incarnation,
                            const share_answer& answer, time_point asked, time_point now)
{
    note_start(now);
    // the answer may come from the incarnation before the known one
    const auto known = m_peers.find(from);
    if (m_options.ignores_overtaken && known != m_peers.end() && known->second.incarnation != 0 &&
        known->second.incarnation != incarnation && asked <= known->second.known_since) {
        return;
    }
    peer* other = accept(from, incarnation, now);
    if (other == nullptr) {
        return;
    }
    // what it had before this host started counts like a consent
    if ((!other->has_claimed || forgotten(now) > 0) && answer.fraction > 0) {
        other->has_claimed = true;
        other->granted = std::max(other->granted, answer.fraction);
        other->granted_at = now;
    }
    // a grant made after the question may have raised the other beyond this answer
    if (!other->has_claimed || other->granted_at < asked) {
        other->granted = std::min(other->granted, answer.fraction);
    }
    if (!other->has_consented || asked >= other->received.asked) {
        for (const held_share& share : answer.others) {
            if (share.host != m_name || share.incarnation != m_incarnation) {
                continue;
            }
            other->received = {share.fraction, asked};
            other->has_consented = true;
            // a consent to an older question doesn't lift what was promised since
            if (m_options.bounds_old_consents && other->has_promise &&
                asked <= other->promised_at) {
                other->received.fraction = std::min(share.fraction, other->promised);
            }
        }
    }
    if (other->reports_asked <= asked) {
        other->reports_asked = asked;
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

time_point host_shares::next_fall(time_point now) const
{
    time_point next = time_point::max();
    for (const auto& [name, other] : m_peers) {
        if (!other.is_listed || !other.has_consented || !m_options.falls_without_consent) {
            continue;
        }
        for (const duration term : {m_options.hold_term, m_options.isolation_term}) {
            const time_point end = other.received.asked + term;
            if (end > now) {
                next = std::min(next, end);
            }
        }
    }
    return next;
}

std::vector<std::string> host_shares::hosts_to_ask() const
{
    std::vector<std::string> hosts;
    for (const auto& [name, other] : m_peers) {
        if (other.is_listed || other.granted > 0) {
            hosts.push_back(name);
        }
    }
    return hosts;
}

// Takes what the answer says of third hosts. An incomplete host may have forgotten what the incarnation
// before it reported.
void host_shares::take_reports(peer& other, const share_answer& answer, time_point now)
{
    const bool is_complete =
        std::none_of(answer.others.begin(), answer.others.end(),
                     [](const held_share& share) { return share.host == detail::forgotten_name; });
    if (is_complete) {
        m_is_complete = true;
        other.reports.clear();
        other.report_ends.clear();
    }
    for (const held_share& share : answer.others) {
        const bool is_kept =
            std::any_of(other.reports.begin(), other.reports.end(), [&](const held_share& kept) {
                return kept.host == share.host && kept.incarnation == share.incarnation;
            });
        if (share.host != m_name && share.host != detail::forgotten_name && !is_kept) {
            other.reports.push_back(share);
            other.report_ends.push_back(now + lengthened(share.remaining));
        }
    }
}

void host_shares::note_start(time_point now)
{
    if (!m_started) {
        m_started = now;
    }
}

// What hosts may use by consents that an earlier incarnation gave and this one has forgotten.
double host_shares::forgotten(time_point now) const
{
    if (m_is_complete || !m_options.counts_forgotten) {
        return 0;
    }
    const duration since = m_started ? now - *m_started : duration::zero();
    if (since < lengthened(m_options.hold_term + m_options.settle_term)) {
        return 1;
    }
    return since < lengthened(m_options.isolation_term + m_options.settle_term)
               ? m_options.reduced_consent_factor
               : 0;
}

// Record of the sender, or null where the message comes from an incarnation that has ended.
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

// The incarnation has ended and the next one starts with nothing; its loans may still be spent.
void host_shares::retire(peer& other, time_point now)
{
    peer next;
    next.lingering = allowance(other, now);
    next.lingers_until = now + lengthened(m_options.settle_term);
    next.retired = std::move(other.retired);
    next.retired.push_back(other.incarnation);
    if (next.retired.size() > detail::retired_limit) {
        next.retired.erase(next.retired.begin());
    }
    // of third hosts, so the end of this incarnation doesn't end them
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

double host_shares::allowance(const peer& other, time_point now) const
{
    const double lingering = now < other.lingers_until ? other.lingering : 0;
    const duration since = now - other.granted_at;
    const duration settle = m_options.counts_settling ? m_options.settle_term : duration::zero();
    if (since < lengthened(m_options.hold_term + settle)) {
        return lingering + other.granted;
    }
    if (since < lengthened(m_options.isolation_term + settle)) {
        return lingering + other.granted * m_options.reduced_consent_factor;
    }
    return lingering;
}

double host_shares::consented(const peer& other, time_point now) const
{
    if (!other.has_consented) {
        return 0;
    }
    const duration since = now - other.received.asked;
    if (since < m_options.hold_term || !m_options.falls_without_consent) {
        return other.received.fraction;
    }
    if (since < m_options.isolation_term) {
        return other.received.fraction * m_options.reduced_consent_factor;
    }
    return 0;
}

// What each other host may use: this host's own consent, else what others report.
std::map<std::string, double> host_shares::allowances(time_point now) const
{
    std::map<std::string, double> allowed = reported(now);
    for (const auto& [name, other] : m_peers) {
        if (other.has_claimed || now < other.lingers_until) {
            allowed[name] = allowance(other, now);
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

double host_shares::target() const
{
    std::size_t live = m_newcomers.size() + (m_is_live ? 1 : 0);
    for (const auto& [name, other] : m_peers) {
        live += other.is_live ? 1 : 0;
    }
    return live == 0 ? 0 : 1 / static_cast<double>(live);
}

// Factor on every target that makes room for hosts that may use more than theirs.
double host_shares::scale(const std::map<std::string, double>& allowed, time_point now) const
{
    const double each = target();
    double rest = 1 - forgotten(now);
    double targets = 1;
    for (const auto& [name, fraction] : allowed) {
        const auto found = m_peers.find(name);
        const bool is_live = found != m_peers.end() && found->second.is_live;
        const double own = is_live || m_newcomers.contains(name) ? each : 0;
        if (fraction > own + detail::rounding) {
            rest -= fraction;
            targets -= own;
        }
    }
    return targets <= 0 ? 0 : std::clamp(rest / targets, 0.0, 1.0);
}

// What this host may use or has lent at most.
double host_shares::committed(time_point now) const
{
    const bool is_settling = m_options.counts_settling && now < m_settled_at;
    return is_settling ? std::max(m_fraction, m_settling) : m_fraction;
}

// Hosts that may use something though this host's list doesn't name them as live.
std::vector<held_share> host_shares::to_others(time_point now) const
{
    std::vector<held_share> others;
    for (const auto& [name, other] : m_peers) {
        const double fraction = allowance(other, now);
        if (!other.has_claimed || other.is_live || fraction <= 0) {
            continue;
        }
        const duration left = other.granted_at + lengthened(m_options.isolation_term) - now;
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

// A term as the granter counts it: certain to end after the holder's.
duration host_shares::lengthened(duration term) const
{
    return from_seconds(to_seconds(term) * (1 + 2 * m_options.drift)) +
           std::chrono::milliseconds{1};
}

double host_shares::grant(const std::string& to, peer& asker, const share_claim& claim,
                          time_point now)
{
    const bool is_member = asker.is_live || m_newcomers.contains(to);
    // a host that a newer list dropped keeps what it has until it ends
    if (!is_member && claim.host_list_revision <= m_revision) {
        return 0;
    }
    const std::map<std::string, double> allowed = allowances(now);
    // loans of the asker's last incarnation take room like any other host
    const double lingering = now < asker.lingers_until ? asker.lingering : 0;
    double room = 1 - committed(now) - lingering - forgotten(now);
    for (const auto& [name, fraction] : allowed) {
        room -= name == to ? 0 : fraction;
    }
    room = room < detail::rounding ? 0 : room;
    const double before = asker.has_claimed ? allowance(asker, now) - lingering : 0;
    const double wanted = target() * scale(allowed, now);
    const double granted = std::min(wanted, std::max(room, before));
    asker.granted = std::max(before, granted);
    asker.granted_at = now;
    asker.has_claimed = true;
    return granted;
}

void host_shares::update(time_point now)
{
    const std::map<std::string, double> allowed = allowances(now);
    double usable = m_is_live ? target() * scale(allowed, now) : 0;
    if (m_options.waits_for_consent) {
        double rest = 1 - forgotten(now);
        for (const auto& [name, fraction] : allowed) {
            rest -= fraction;
        }
        usable = std::clamp(rest, 0.0, usable);
        for (const auto& [name, other] : m_peers) {
            if (other.is_listed) {
                usable = std::min(usable, consented(other, now));
            }
        }
    }
    if (usable < m_fraction) {
        m_settling = committed(now);
        m_settled_at = now + lengthened(m_options.settle_term);
    }
    m_fraction = usable;
}

} // namespace hickorykeel
