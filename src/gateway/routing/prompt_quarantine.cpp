#include "gateway/routing/prompt_quarantine.h"

#include <algorithm> // all_of, any_of, count_if, find, find_if, max, min
#include <set>       // set
#include <utility>   // exchange, move

namespace hickorykeel::gateway {

namespace {

bool is_recent(const std::unordered_map<std::uint64_t, time_point>& times, std::uint64_t part,
               time_point since)
{
    const auto found = times.find(part);
    return found != times.end() && found->second >= since;
}

bool contains(const std::vector<std::uint64_t>& parts, std::uint64_t part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

/// Adds the keys that are missing, at the front if `comes_first`. At most `max_size` are kept.
void add_missing(std::vector<std::uint64_t>& keys, const std::vector<std::uint64_t>& added,
                 bool comes_first, std::size_t max_size)
{
    for (const std::uint64_t key : added) {
        if (!contains(keys, key)) {
            keys.insert(comes_first ? keys.begin() : keys.end(), key);
        }
    }
    keys.resize(std::min(keys.size(), max_size));
}

} // namespace

// observations

void prompt_quarantine::on_broken_off(std::uint32_t endpoint,
                                      const std::vector<std::uint64_t>& parts, bool has_begun,
                                      time_point now)
{
    on_broken_off({endpoint, 0, 0, has_begun}, parts, now);
}

void prompt_quarantine::on_broken_off(const broken_response& broken,
                                      const std::vector<std::uint64_t>& parts, time_point now)
{
    if (parts.empty() && broken.request == 0) {
        return;
    }
    crash_report seen;
    seen.id = m_options.salt + ++m_own_crashes;
    seen.endpoint = broken.endpoint;
    seen.incarnation = broken.incarnation;
    seen.is_repeated = !has_worked_since_crash(broken.endpoint, broken.incarnation);
    crash* const observed = find_or_add_crash(seen, now);
    if (observed == nullptr) {
        return;
    }
    add_parts(*observed, parts, !broken.has_begun);
    if (broken.request != 0) {
        renew_after_trial(broken.request, now);
        add_requests(*observed, {broken.request}, !broken.has_begun);
    }
}

/// Returns the crash that was observed, or null if it has been removed already or there are too
/// many.
prompt_quarantine::crash* prompt_quarantine::find_or_add_crash(const crash_report& seen,
                                                               time_point now)
{
    const time_point at = now - seen.age;
    const auto held = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const crash& known) {
        const duration apart = known.at > at ? known.at - at : at - known.at;
        return known.id == seen.id ||
               (known.endpoint == seen.endpoint && apart < m_options.merge_range);
    });
    const bool was_heard = m_heard.contains(seen.id);
    if (!was_heard && m_heard.size() >= m_options.max_known_crashes) {
        return nullptr;
    }
    m_heard[seen.id] = now;
    if (held != m_crashes.end()) {
        held->incarnation = held->incarnation == 0 ? seen.incarnation : held->incarnation;
        // another host may have had a complete response that this one doesn't know of
        held->is_repeated = held->is_repeated && seen.is_repeated;
        held->is_refuted = held->is_refuted || seen.is_refuted;
        return &*held;
    }
    if (was_heard) {
        return nullptr;
    }
    if (m_crashes.size() >= m_options.max_crashes) {
        m_crashes.erase(m_crashes.begin());
    }
    const auto later = std::find_if(m_crashes.begin(), m_crashes.end(),
                                    [at](const crash& known) { return known.at > at; });
    return &*m_crashes.insert(later, crash{seen.id,
                                           seen.endpoint,
                                           at,
                                           {},
                                           {},
                                           seen.incarnation,
                                           seen.is_repeated,
                                           seen.is_refuted});
}

/// Adds the parts that the crash doesn't have yet.
void prompt_quarantine::add_parts(crash& observed, const std::vector<std::uint64_t>& parts,
                                  bool comes_first) const
{
    add_missing(observed.parts, parts, comes_first, m_options.max_parts);
}

/// Adds the requests that the crash doesn't have yet.
void prompt_quarantine::add_requests(crash& observed, const std::vector<std::uint64_t>& requests,
                                     bool comes_first)
{
    add_missing(observed.requests, requests, comes_first, m_options.max_requests);
    for (const std::uint64_t request : requests) {
        if (may_have_caused(observed, request)) {
            m_suspects.insert(request);
        }
    }
}

void prompt_quarantine::on_answered(const std::vector<std::uint64_t>& parts, time_point now)
{
    if (m_answered.size() >= m_options.max_answered) {
        m_answered.clear();
    }
    for (const std::uint64_t part : parts) {
        m_answered[part] = now;
        m_verdicts.erase(part);
    }
}

// exchange with other hosts

crash_evidence prompt_quarantine::evidence(time_point now) const
{
    crash_evidence sent;
    const std::unordered_map<std::uint64_t, unsigned> counts = count_crashes_by_request();
    std::set<std::uint64_t> answered;
    for (auto it = m_crashes.rbegin();
         it != m_crashes.rend() && sent.crashes.size() < m_options.max_sent_crashes; ++it) {
        crash_report report{it->id, it->endpoint,    now - it->at,    {},
                            {},     it->incarnation, it->is_repeated, it->is_refuted};
        report.requests = find_requests_to_send(*it, counts);
        for (const std::uint64_t part : it->parts) {
            if (is_recent(m_answered, part, now - m_options.answer_retention)) {
                if (answered.size() < m_options.max_sent_answered) {
                    answered.insert(part);
                }
            }
            else if (!is_sound(part, now) && report.parts.size() < m_options.max_sent_parts) {
                report.parts.push_back(part);
            }
        }
        if (!report.parts.empty() || !report.requests.empty()) {
            sent.crashes.push_back(std::move(report));
        }
    }
    sent.answered.assign(answered.begin(), answered.end());
    add_request_evidence(sent, now);
    for (const auto& [part, at] : m_verdicts) {
        sent.verdicts.push_back({part, now - at});
    }
    return sent;
}

void prompt_quarantine::on_evidence(const crash_evidence& received, time_point now)
{
    for (const std::uint64_t part : received.answered) {
        if (m_peer_answered.size() >= m_options.max_answered) {
            m_peer_answered.clear();
        }
        m_peer_answered[part] = now;
        m_verdicts.erase(part);
    }
    read_request_answers(received, now);
    for (const crash_report& report : received.crashes) {
        const duration retention =
            report.requests.empty() ? m_options.crash_retention : m_options.request_retention;
        const bool is_usable = report.age >= duration{0} &&
                               !(report.parts.empty() && report.requests.empty()) &&
                               report.age < retention;
        crash* const observed = is_usable ? find_or_add_crash(report, now) : nullptr;
        if (observed != nullptr) {
            add_parts(*observed, report.parts, false);
            add_requests(*observed, report.requests, false);
        }
    }
    read_request_verdicts(received, now);
    for (const part_verdict& verdict : received.verdicts) {
        if (!is_sound(verdict.part, now) && verdict.age >= duration{0} &&
            verdict.age < m_options.quarantine) {
            add_verdict(verdict.part, now - verdict.age);
        }
    }
}

// verdicts

void prompt_quarantine::add_verdict(std::uint64_t part, time_point at)
{
    const auto held = m_verdicts.find(part);
    if (held != m_verdicts.end()) {
        // verdicts that several hosts reached independently end with the earliest one
        held->second = std::min(held->second, at);
    }
    else if (m_verdicts.size() < m_options.max_verdicts) {
        m_verdicts.emplace(part, at);
        m_new_verdicts.push_back(part);
    }
}

std::vector<std::uint64_t> prompt_quarantine::update(time_point now)
{
    remove_outdated(now);
    withdraw_explained_verdicts();
    withdraw_explained_request_verdicts();
    for (auto culprits = find_request_culprits(now);
         !culprits.empty() && m_request_verdicts.size() < m_options.max_request_verdicts;
         culprits = find_request_culprits(now)) {
        // before any verdict is added: the first one may explain all crashes of the others
        std::vector<held_request_verdict> verdicts;
        verdicts.reserve(culprits.size());
        for (const std::uint64_t request : culprits) {
            verdicts.push_back({now, 0, m_crashes[find_record(request).crashes.front()].at});
        }
        for (std::size_t i = 0; i < culprits.size(); ++i) {
            add_request_verdict(culprits[i], verdicts[i]);
        }
    }
    for (auto culprits = find_culprits(now);
         !culprits.empty() && m_verdicts.size() < m_options.max_verdicts;
         culprits = find_culprits(now)) {
        for (const std::uint64_t part : culprits) {
            add_verdict(part, now);
        }
    }
    return std::exchange(m_new_verdicts, {});
}

void prompt_quarantine::remove_outdated(time_point now)
{
    for (crash& known : m_crashes) {
        if (now - known.at >= m_options.crash_retention) {
            known.parts.clear();
            std::erase_if(known.requests, [&](std::uint64_t request) {
                return is_answered_since(request, known.at);
            });
        }
    }
    std::erase_if(m_crashes, [&](const crash& known) {
        const bool has_suspects = !known.parts.empty() || !known.requests.empty();
        return now - known.at >= m_options.request_retention ||
               (!has_suspects && now - known.at >= m_options.crash_retention);
    });
    remove_outdated_requests(now);
    std::erase_if(m_heard, [&](const auto& heard) {
        return now - heard.second >= 2 * m_options.crash_retention;
    });
    std::erase_if(m_verdicts, [&](const auto& verdict) {
        return now - verdict.second >= m_options.quarantine;
    });
}

/// Withdraws verdicts on parts all of whose crashes another refused part explains, which also
/// explains further ones. A host that was cut off may have reached them without knowing of that
/// part.
void prompt_quarantine::withdraw_explained_verdicts()
{
    std::vector<std::uint64_t> withdrawn;
    for (const auto& [part, at] : m_verdicts) {
        const std::size_t crashes = count_crashes_with({part});
        for (const auto& [other, other_at] : m_verdicts) {
            if (crashes > 0 && other != part && count_crashes_with({part, other}) == crashes &&
                count_crashes_with({other}) > crashes) {
                withdrawn.push_back(part);
                break;
            }
        }
    }
    // if one request explains all these crashes, other requests with the part may be harmless
    for (const auto& [part, at] : m_verdicts) {
        if (count_crashes_with({part}) >= m_options.min_crashes &&
            has_common_refused_request(part)) {
            withdrawn.push_back(part);
        }
    }
    for (const std::uint64_t part : withdrawn) {
        m_verdicts.erase(part);
    }
}

/// Counts the crashes that have all of `parts` in common.
std::size_t prompt_quarantine::count_crashes_with(const std::vector<std::uint64_t>& parts) const
{
    return static_cast<std::size_t>(
        std::count_if(m_crashes.begin(), m_crashes.end(), [&parts](const crash& observed) {
            return std::all_of(parts.begin(), parts.end(), [&observed](std::uint64_t part) {
                return contains(observed.parts, part);
            });
        }));
}

bool prompt_quarantine::is_sound(std::uint64_t part, time_point now) const
{
    const time_point since = now - m_options.answer_retention;
    return is_recent(m_answered, part, since) || is_recent(m_peer_answered, part, since);
}

bool prompt_quarantine::is_explained_by_part(const crash& observed) const
{
    return std::any_of(m_verdicts.begin(), m_verdicts.end(), [&observed](const auto& verdict) {
        return contains(observed.parts, verdict.first);
    });
}

bool prompt_quarantine::is_explained(const crash& observed) const
{
    return is_explained_by_part(observed) ||
           std::any_of(m_request_verdicts.begin(), m_request_verdicts.end(),
                       [&observed](const auto& verdict) {
                           return contains(observed.requests, verdict.first);
                       });
}

/// Counts the crashes, at separate moments, that no verdict explains, and for each suspected part
/// those of them that it may have caused.
prompt_quarantine::crash_counts prompt_quarantine::count_crashes(time_point now) const
{
    crash_counts counts;
    std::optional<time_point> last_moment;
    std::unordered_map<std::uint64_t, time_point> last_counted;
    for (const crash& observed : m_crashes) {
        if (observed.parts.empty() || is_explained(observed)) {
            continue;
        }
        if (!last_moment || observed.at - *last_moment >= m_options.separation) {
            last_moment = observed.at;
            ++counts.moments;
        }
        for (const std::uint64_t part : observed.parts) {
            if (is_sound(part, now)) {
                continue;
            }
            const auto [last, is_first] = last_counted.try_emplace(part, observed.at);
            if (is_first || observed.at - last->second >= m_options.separation) {
                last->second = observed.at;
                ++counts.by_part[part];
            }
            counts.endpoints[part].insert(observed.endpoint);
        }
    }
    add_refused_requests(counts, now);
    return counts;
}

/// Returns the parts to be refused next. Several parts, or one that explains less than half of the
/// crashes, need more evidence.
std::vector<std::uint64_t> prompt_quarantine::find_culprits(time_point now) const
{
    if (m_crashes.size() < m_options.min_crashes) {
        return {};
    }
    crash_counts counts = count_crashes(now);
    unsigned most = 0;
    std::vector<std::uint64_t> culprits;
    for (const auto& [part, count] : counts.by_part) {
        if (count > most) {
            most = count;
            culprits.clear();
        }
        if (count == most) {
            culprits.push_back(part);
        }
    }
    if (most < m_options.min_crashes) {
        return {};
    }
    const bool is_one_request =
        std::any_of(culprits.begin(), culprits.end(),
                    [this](std::uint64_t part) { return may_have_common_request(part); });
    const bool is_clear = culprits.size() == 1 && 2 * most >= counts.moments &&
                          counts.endpoints[culprits.front()].size() > 1;
    unsigned needed = is_clear ? m_options.min_crashes : m_options.min_unclear_crashes;
    if (is_one_request) {
        needed = m_options.min_crashes_of_one_request;
    }
    return most >= needed ? culprits : std::vector<std::uint64_t>{};
}

std::optional<duration> prompt_quarantine::refusal(const std::vector<std::uint64_t>& parts,
                                                   time_point now) const
{
    std::optional<duration> longest;
    for (const std::uint64_t part : parts) {
        const auto found = m_verdicts.find(part);
        if (found != m_verdicts.end() && now - found->second < m_options.quarantine) {
            const duration remaining = m_options.quarantine - (now - found->second);
            longest = std::max(longest.value_or(duration{0}), remaining);
        }
    }
    return longest;
}

} // namespace hickorykeel::gateway
