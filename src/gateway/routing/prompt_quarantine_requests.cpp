#include "gateway/routing/prompt_quarantine.h"

#include <algorithm> // all_of, any_of, find, find_if, includes, max, min, none_of, sort, stable_sort
#include <iterator>  // distance
#include <set>       // set
#include <utility>   // exchange, move, pair

#include <xxhash.h> // XXH64

// The part of prompt_quarantine that concerns whole requests.

namespace hickorykeel::gateway {

namespace {

/// Maximum number of renewals that is counted. More don't lengthen a quarantine.
constexpr unsigned max_renewals = 16;

bool contains(const std::vector<std::uint64_t>& keys, std::uint64_t key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

std::uint64_t hash(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

} // namespace

std::uint64_t request_fingerprint(std::string_view method, std::string_view target,
                                  std::string_view organisation, std::string_view body) noexcept
{
    const std::uint64_t fingerprint = hash(body, hash(organisation, hash(target, hash(method, 0))));
    return fingerprint == 0 ? 1 : fingerprint;
}

// observations

/// Whether the endpoint is known to have worked, or to have restarted, since its last crash.
bool prompt_quarantine::has_worked_since_crash(std::uint32_t endpoint,
                                               std::uint32_t incarnation) const
{
    const auto last =
        std::find_if(m_crashes.rbegin(), m_crashes.rend(),
                     [endpoint](const crash& known) { return known.endpoint == endpoint; });
    if (last == m_crashes.rend() ||
        (incarnation != 0 && last->incarnation != 0 && incarnation != last->incarnation)) {
        return true;
    }
    // bytes in transit may complete a response just after the crash
    const auto answered = m_endpoint_answers.find(endpoint);
    return answered != m_endpoint_answers.end() &&
           answered->second > last->at + m_options.separation;
}

void prompt_quarantine::on_endpoint_answered(std::uint32_t endpoint, time_point sent_at,
                                             time_point now)
{
    for (crash& known : m_crashes) {
        known.is_refuted = known.is_refuted || (known.endpoint == endpoint && known.at > sent_at &&
                                                now - known.at > m_options.separation);
    }
    if (!m_crashes.empty() && (m_endpoint_answers.size() < m_options.max_endpoints ||
                               m_endpoint_answers.contains(endpoint))) {
        m_endpoint_answers[endpoint] = now;
    }
    if (!m_crashes.empty()) {
        m_latest_answers.push_back(now);
        if (m_latest_answers.size() > m_options.min_answers) {
            m_latest_answers.pop_front();
        }
    }
}

void prompt_quarantine::on_request_answered(std::uint64_t request, time_point now)
{
    if (m_suspects.contains(request) || m_request_verdicts.contains(request)) {
        add_answer(request, {now, 0});
    }
}

void prompt_quarantine::add_answer(std::uint64_t request, const held_answer& answer)
{
    const auto held = m_answered_requests.find(request);
    if (held == m_answered_requests.end() &&
        m_answered_requests.size() >= m_options.max_answered_requests) {
        return;
    }
    // the delay of reports makes an answer that comes back from other hosts seem newer than it is
    const duration min_newer = answer.hops == 0 ? duration{0} : m_options.separation;
    if (held != m_answered_requests.end() && answer.at <= held->second.at + min_newer) {
        return;
    }
    m_answered_requests[request] = answer;
    const auto verdict = m_request_verdicts.find(request);
    if (verdict != m_request_verdicts.end() && verdict->second.first_crash <= answer.at) {
        m_request_verdicts.erase(verdict);
    }
}

// suspects

/// Whether the endpoint broke the request off, and no complete response to it is known since.
bool prompt_quarantine::may_have_caused(const crash& observed, std::uint64_t request) const
{
    return contains(observed.requests, request) && !is_answered_since(request, observed.at);
}

bool prompt_quarantine::is_answered_since(std::uint64_t request, time_point at) const
{
    const auto answered = m_answered_requests.find(request);
    return answered != m_answered_requests.end() && answered->second.at >= at;
}

/// Whether no verdict explains the crash, and the endpoint isn't known to be faulty itself.
bool prompt_quarantine::counts_against_requests(const crash& observed, bool with_repeated) const
{
    return !observed.is_refuted && (with_repeated || !observed.is_repeated) &&
           !is_explained(observed);
}

void prompt_quarantine::add_crash(request_record& record, std::size_t index) const
{
    const crash& observed = m_crashes[index];
    if (record.moments.empty() || observed.at - record.moments.back() >= m_options.separation) {
        record.moments.push_back(observed.at);
    }
    record.crashes.push_back(index);
    record.endpoints.insert(observed.endpoint);
    if (observed.incarnation != 0) {
        record.incarnations.insert(observed.incarnation);
    }
}

/// Returns the crashes that one request may have caused and no verdict explains.
prompt_quarantine::request_record prompt_quarantine::find_record(std::uint64_t request) const
{
    request_record record;
    for (std::size_t i = 0; i < m_crashes.size(); ++i) {
        if (may_have_caused(m_crashes[i], request) && counts_against_requests(m_crashes[i], true)) {
            add_crash(record, i);
        }
    }
    return record;
}

/// Returns the crashes that each request may have caused and no verdict explains, without those of
/// endpoints that had not worked in between.
prompt_quarantine::request_records prompt_quarantine::find_records() const
{
    request_records records;
    for (std::size_t i = 0; i < m_crashes.size(); ++i) {
        if (!counts_against_requests(m_crashes[i], false)) {
            continue;
        }
        for (const std::uint64_t request : m_crashes[i].requests) {
            if (!is_answered_since(request, m_crashes[i].at)) {
                add_crash(records[request], i);
            }
        }
    }
    return records;
}

/// Whether no other request may have caused all crashes of the record. Precondition: the record has
/// a crash.
bool prompt_quarantine::is_only_suspect(std::uint64_t request, const request_record& record) const
{
    const std::vector<std::uint64_t>& beside = m_crashes[record.crashes.front()].requests;
    return std::none_of(beside.begin(), beside.end(), [&](std::uint64_t other) {
        return other != request &&
               std::all_of(record.crashes.begin(), record.crashes.end(), [&](std::size_t index) {
                   return may_have_caused(m_crashes[index], other);
               });
    });
}

/// Whether a part of a prompt explains all crashes of the record and further ones. Precondition:
/// the record has a crash.
bool prompt_quarantine::is_part_likelier(const request_record& record, const crash_counts& parts,
                                         time_point now) const
{
    const std::vector<std::uint64_t>& beside = m_crashes[record.crashes.front()].parts;
    return std::any_of(beside.begin(), beside.end(), [&](std::uint64_t part) {
        const auto counted = parts.by_part.find(part);
        return !is_sound(part, now) && counted != parts.by_part.end() &&
               counted->second > record.moments.size() &&
               std::all_of(record.crashes.begin(), record.crashes.end(), [&](std::size_t index) {
                   return contains(m_crashes[index].parts, part);
               });
    });
}

/// Counts the crashes of each refused request as one crash of the parts that are common to all of
/// them: a part that several refused requests have may be the cause.
void prompt_quarantine::add_refused_requests(crash_counts& counts, time_point now) const
{
    for (const auto& [request, verdict] : m_request_verdicts) {
        std::vector<const crash*> crashes;
        for (const crash& observed : m_crashes) {
            if (!observed.parts.empty() && contains(observed.requests, request) &&
                !is_explained_by_part(observed)) {
                crashes.push_back(&observed);
            }
        }
        if (crashes.size() < 2) {
            continue;
        }
        ++counts.moments;
        for (const std::uint64_t part : crashes.front()->parts) {
            const bool is_in_all =
                std::all_of(crashes.begin(), crashes.end(), [part](const crash* observed) {
                    return contains(observed->parts, part);
                });
            if (is_in_all && !is_sound(part, now)) {
                ++counts.by_part[part];
                counts.endpoints[part].insert(crashes.front()->endpoint);
            }
        }
    }
}

/// Whether one request may have caused all crashes with the part that no refused part explains.
bool prompt_quarantine::may_have_common_request(std::uint64_t part) const
{
    std::vector<const crash*> crashes;
    for (const crash& observed : m_crashes) {
        if (contains(observed.parts, part) && !is_explained_by_part(observed)) {
            crashes.push_back(&observed);
        }
    }
    return !crashes.empty() &&
           std::any_of(crashes.front()->requests.begin(), crashes.front()->requests.end(),
                       [&](std::uint64_t request) {
                           return std::all_of(crashes.begin(), crashes.end(),
                                              [&](const crash* observed) {
                                                  return may_have_caused(*observed, request);
                                              });
                       });
}

/// Whether all crashes with the part broke off the same refused request.
bool prompt_quarantine::has_common_refused_request(std::uint64_t part) const
{
    return std::any_of(
        m_request_verdicts.begin(), m_request_verdicts.end(), [&](const auto& verdict) {
            return std::all_of(m_crashes.begin(), m_crashes.end(), [&](const crash& observed) {
                return !contains(observed.parts, part) ||
                       contains(observed.requests, verdict.first);
            });
        });
}

/// Counts the crashes with suspected requests from the index `first` on that no verdict explains.
std::size_t prompt_quarantine::count_unexplained_since(std::size_t first, bool with_repeated) const
{
    std::size_t count = 0;
    for (std::size_t i = first; i < m_crashes.size(); ++i) {
        const crash& observed = m_crashes[i];
        const bool is_counted =
            !observed.requests.empty() && counts_against_requests(observed, with_repeated);
        count += is_counted ? 1 : 0;
    }
    return count;
}

bool prompt_quarantine::may_retry(const broken_response& broken, time_point now) const
{
    const auto verdict = m_request_verdicts.find(broken.request);
    if (verdict != m_request_verdicts.end()) {
        return !request_refusal(broken.request, now);
    }
    const request_record record = find_record(broken.request);
    if (record.crashes.size() < 2) {
        return true;
    }
    const std::size_t all = count_unexplained_since(record.crashes.front(), true);
    const bool is_clear =
        2 * record.crashes.size() >= all && is_only_suspect(broken.request, record);
    // a response that had begun is less likely to be the cause
    return broken.has_begun && !is_clear;
}

// verdicts

/// Returns the time of the crash with which the evidence became sufficient to refuse the request,
/// or nothing if it isn't sufficient.
/// @param is_clear the request is told apart from all others, and is likely to be the cause
std::optional<time_point> prompt_quarantine::find_proof(const request_record& record,
                                                        bool is_clear) const
{
    const std::size_t needed = is_clear ? m_options.min_crashes : m_options.min_unclear_crashes;
    std::optional<time_point> proof;
    if (record.moments.size() >= needed) {
        proof = record.moments[needed - 1];
    }
    if (const std::size_t crashes = m_options.min_crashes_at_two_moments;
        is_clear && record.crashes.size() >= crashes && record.moments.size() >= 2) {
        const time_point at =
            std::max(m_crashes[record.crashes[crashes - 1]].at, record.moments[1]);
        proof = std::min(proof.value_or(at), at);
    }
    return proof;
}

/// Whether enough time has passed and enough other requests were answered since `proof`, so that an
/// answer to the request would be known if there were one.
bool prompt_quarantine::has_settled(const request_record& record, time_point proof,
                                    time_point now) const
{
    return now - proof >= m_options.settling_time &&
           now - record.moments.front() >= m_options.min_evidence_time &&
           m_latest_answers.size() >= m_options.min_answers && m_latest_answers.front() > proof;
}

/// Returns the requests that explain crashes at two moments or more, and better than a part does.
prompt_quarantine::request_candidates
prompt_quarantine::find_request_candidates(const request_records& records, time_point now) const
{
    const crash_counts parts = count_crashes(now);
    request_candidates candidates;
    for (const auto& [request, record] : records) {
        if (record.moments.size() < 2 || is_part_likelier(record, parts, now)) {
            continue;
        }
        const bool is_spread = record.endpoints.size() > 1 || record.incarnations.size() > 1;
        if (is_spread && is_only_suspect(request, record)) {
            candidates.distinct.insert(request);
            candidates.explained.insert(record.crashes.begin(), record.crashes.end());
        }
        candidates.all.emplace_back(request, &record);
    }
    return candidates;
}

/// Returns the requests to be refused next. One that can't be told apart from another request, or
/// that explains few of the crashes, needs more evidence.
std::vector<std::uint64_t> prompt_quarantine::find_request_culprits(time_point now) const
{
    if (m_suspects.empty() || m_crashes.size() < m_options.min_crashes) {
        return {};
    }
    const request_records records = find_records();
    const request_candidates candidates = find_request_candidates(records, now);
    const std::set<std::size_t>& explained = candidates.explained;
    std::size_t most = 0;
    std::vector<std::uint64_t> culprits;
    for (const auto& [request, record] : candidates.all) {
        const std::size_t first = record->crashes.front();
        const auto count =
            static_cast<std::size_t>(std::distance(explained.lower_bound(first), explained.end()));
        const bool is_clear = candidates.distinct.contains(request) &&
                              !m_answered_requests.contains(request) &&
                              2 * count >= count_unexplained_since(first, false);
        const std::optional<time_point> proof = find_proof(*record, is_clear);
        if (!proof || !has_settled(*record, *proof, now) || record->crashes.size() < most) {
            continue;
        }
        if (record->crashes.size() > most) {
            most = record->crashes.size();
            culprits.clear();
        }
        culprits.push_back(request);
    }
    return culprits;
}

duration prompt_quarantine::quarantine_of(std::uint64_t request,
                                          const held_request_verdict& verdict) const
{
    duration length = m_options.quarantine;
    for (unsigned i = 0; i < verdict.renewals && length < m_options.max_quarantine; ++i) {
        length *= 2;
    }
    constexpr std::uint64_t steps = 1'000;
    const std::uint64_t step = XXH64(&request, sizeof request, m_options.salt) % steps;
    return std::min(length, m_options.max_quarantine) +
           m_options.quarantine_stagger * static_cast<int>(step) / static_cast<int>(steps);
}

/// Adds the verdict unless a later renewal is known. Verdicts that several hosts reached
/// independently end with the earliest one.
void prompt_quarantine::add_request_verdict(std::uint64_t request,
                                            const held_request_verdict& verdict)
{
    const auto held = m_request_verdicts.find(request);
    if (held == m_request_verdicts.end()) {
        if (m_request_verdicts.size() < m_options.max_request_verdicts) {
            m_request_verdicts.emplace(request, verdict);
            m_new_request_verdicts.push_back(request);
        }
        return;
    }
    held_request_verdict& known = held->second;
    if (verdict.renewals > known.renewals) {
        known.at = verdict.at;
        known.renewals = verdict.renewals;
        known.first_crash = verdict.first_crash;
        m_new_request_verdicts.push_back(request);
    }
    else if (verdict.renewals == known.renewals) {
        known.at = std::min(known.at, verdict.at);
        known.first_crash = std::min(known.first_crash, verdict.first_crash);
    }
}

/// Renews the verdict on a request that was broken off, if its quarantine is over.
void prompt_quarantine::renew_after_trial(std::uint64_t request, time_point now)
{
    const auto held = m_request_verdicts.find(request);
    if (held == m_request_verdicts.end() ||
        now - held->second.at < quarantine_of(request, held->second)) {
        return;
    }
    add_request_verdict(request, {now, std::min(held->second.renewals + 1, max_renewals), now});
}

std::optional<duration> prompt_quarantine::request_refusal(std::uint64_t request,
                                                           time_point now) const
{
    const auto held = m_request_verdicts.find(request);
    if (held == m_request_verdicts.end()) {
        return std::nullopt;
    }
    const duration remaining = held->second.at + quarantine_of(request, held->second) - now;
    if (remaining > duration{0}) {
        return remaining;
    }
    return held->second.is_on_trial ? std::optional{m_options.retry_after_trial} : std::nullopt;
}

bool prompt_quarantine::begin_trial(std::uint64_t request, time_point now)
{
    const auto held = m_request_verdicts.find(request);
    if (held == m_request_verdicts.end() || request_refusal(request, now)) {
        return false;
    }
    held->second.is_on_trial = true;
    return true;
}

void prompt_quarantine::end_trial(std::uint64_t request)
{
    const auto held = m_request_verdicts.find(request);
    if (held != m_request_verdicts.end()) {
        held->second.is_on_trial = false;
    }
}

std::vector<std::uint64_t> prompt_quarantine::take_new_request_verdicts()
{
    return std::exchange(m_new_request_verdicts, {});
}

/// Withdraws verdicts on requests all of whose crashes another refused request explains, which also
/// explains further ones.
void prompt_quarantine::withdraw_explained_request_verdicts()
{
    std::vector<std::pair<std::uint64_t, std::vector<std::size_t>>> refused; // with their crashes
    for (const auto& [request, verdict] : m_request_verdicts) {
        std::vector<std::size_t> crashes;
        for (std::size_t i = 0; i < m_crashes.size(); ++i) {
            if (contains(m_crashes[i].requests, request)) {
                crashes.push_back(i);
            }
        }
        refused.emplace_back(request, std::move(crashes));
    }
    for (const auto& held : refused) {
        const std::vector<std::size_t>& crashes = held.second;
        const bool is_explained_by_other =
            !crashes.empty() && std::any_of(refused.begin(), refused.end(), [&](const auto& other) {
                return other.second.size() > crashes.size() &&
                       std::includes(other.second.begin(), other.second.end(), crashes.begin(),
                                     crashes.end());
            });
        if (is_explained_by_other) {
            m_request_verdicts.erase(held.first);
        }
    }
}

void prompt_quarantine::remove_outdated_requests(time_point now)
{
    std::erase_if(m_request_verdicts, [&](const auto& held) {
        const auto& [request, verdict] = held;
        return !verdict.is_on_trial &&
               now - verdict.at >= quarantine_of(request, verdict) + m_options.trial_period;
    });
    std::erase_if(m_answered_requests, [&](const auto& held) {
        return now - held.second.at >= m_options.request_retention;
    });
    std::erase_if(m_endpoint_answers, [&](const auto& held) {
        return now - held.second >= m_options.request_retention;
    });
    m_suspects.clear();
    for (const crash& observed : m_crashes) {
        for (const std::uint64_t request : observed.requests) {
            if (!is_answered_since(request, observed.at)) {
                m_suspects.insert(request);
            }
        }
    }
}

// exchange with other hosts

/// Counts the crashes that each request may have caused.
std::unordered_map<std::uint64_t, unsigned> prompt_quarantine::count_crashes_by_request() const
{
    std::unordered_map<std::uint64_t, unsigned> counts;
    for (const crash& observed : m_crashes) {
        for (const std::uint64_t request : observed.requests) {
            counts[request] += is_answered_since(request, observed.at) ? 0 : 1;
        }
    }
    return counts;
}

/// Returns the requests that may have caused the crash, first those with the most crashes by
/// `counts`. Bounded by `max_sent_requests`.
std::vector<std::uint64_t> prompt_quarantine::find_requests_to_send(
    const crash& observed, const std::unordered_map<std::uint64_t, unsigned>& counts) const
{
    std::vector<std::uint64_t> requests;
    for (const std::uint64_t request : observed.requests) {
        if (!is_answered_since(request, observed.at)) {
            requests.push_back(request);
        }
    }
    std::stable_sort(requests.begin(), requests.end(),
                     [&](std::uint64_t a, std::uint64_t b) { return counts.at(a) > counts.at(b); });
    requests.resize(std::min(requests.size(), m_options.max_sent_requests));
    return requests;
}

void prompt_quarantine::add_request_evidence(crash_evidence& sent, time_point now) const
{
    for (const auto& [request, verdict] : m_request_verdicts) {
        sent.request_verdicts.push_back(
            {request, now - verdict.at, verdict.renewals, now - verdict.first_crash});
    }
    std::vector<request_answer>& answers = sent.answered_requests;
    for (const auto& [request, answer] : m_answered_requests) {
        if (answer.hops < m_options.max_answer_hops &&
            now - answer.at < m_options.crash_retention) {
            answers.push_back({request, now - answer.at, answer.hops});
        }
    }
    std::sort(answers.begin(), answers.end(), [](const request_answer& a, const request_answer& b) {
        return std::pair{a.age, a.request} < std::pair{b.age, b.request};
    });
    answers.resize(std::min(answers.size(), m_options.max_sent_request_answers));
}

void prompt_quarantine::read_request_answers(const crash_evidence& received, time_point now)
{
    for (const request_answer& answer : received.answered_requests) {
        if (answer.age >= duration{0} && answer.age < m_options.crash_retention &&
            answer.hops < m_options.max_answer_hops) {
            add_answer(answer.request, {now - answer.age, answer.hops + 1});
        }
    }
}

void prompt_quarantine::read_request_verdicts(const crash_evidence& received, time_point now)
{
    for (const request_verdict& verdict : received.request_verdicts) {
        const held_request_verdict heard{now - verdict.age,
                                         std::min(verdict.renewals, max_renewals),
                                         now - verdict.evidence_age};
        if (verdict.request != 0 && !is_answered_since(verdict.request, heard.first_crash) &&
            verdict.age >= duration{0} &&
            verdict.age < quarantine_of(verdict.request, heard) + m_options.trial_period) {
            add_request_verdict(verdict.request, heard);
        }
    }
}

} // namespace hickorykeel::gateway
