#include "gateway/membership/aggregator_choice.h"
#include "gateway/membership/fleet_membership.h"

#include <algorithm> // find, max, min, nth_element
#include <cstddef>   // ptrdiff_t, size_t
#include <map>       // map
#include <tuple>     // tuple
#include <utility>   // move

// What the heartbeats of a host tell of others: sums, and lists of hosts and regions.

namespace hickorykeel::gateway {

namespace {

relayed_member to_report(const member& host, time_point now)
{
    return {.ip = host.last.ip,
            .incarnation = host.last.incarnation,
            .sequence = host.last.sequence,
            .age = now - host.last_seen,
            .is_ready = host.last.is_ready,
            .is_leaving = host.last.is_leaving,
            .is_lost = host.is_lost,
            .has_configuration = host.last.has_configuration,
            .configuration_age = host.last.configuration_age,
            .lacks_endpoint_path = host.last.lacks_endpoint_path};
}

/// Report about a host whose heartbeats the receiver, or the sender, doesn't hear.
relayed_member to_introduction(const member& host, time_point now)
{
    relayed_member introduced = to_report(host, now);
    introduced.age = now - std::max(host.last_seen, host.introduced_at);
    return introduced;
}

std::vector<member_group> to_groups(const std::vector<const member*>& hosts, time_point now,
                                    relayed_member (*to_entry)(const member&, time_point))
{
    std::map<std::tuple<std::string, std::string>, member_group> groups;
    for (const member* host : hosts) {
        const heartbeat& last = host->last;
        member_group& group = groups[{last.region, last.failure_domain}];
        group.region = last.region;
        group.failure_domain = last.failure_domain;
        group.members.push_back(to_entry(*host, now));
    }
    std::vector<member_group> result;
    result.reserve(groups.size());
    for (auto& [key, group] : groups) {
        result.push_back(std::move(group));
    }
    return result;
}

std::vector<const member*> to_list(const std::map<std::string, const member*>& hosts)
{
    std::vector<const member*> list;
    list.reserve(hosts.size());
    for (const auto& [ip, host] : hosts) {
        list.push_back(host);
    }
    return list;
}

void add(endpoint_loads& sums, const endpoint_loads& loads)
{
    for (const auto& [hash, load] : loads) {
        endpoint_load& sum = sums[hash];
        sum.active += load.active;
        sum.waiting_tokens += load.waiting_tokens;
    }
}

/// Adds what one host has seen.
void add_witness(end_witnesses& sums, const std::vector<end_report>& reports)
{
    for (const end_report& report : reports) {
        ++sums[report.incarnation];
    }
}

/// Replaces `age` by that of an event which was reported `held` ago if the event is later.
void keep_later(std::optional<duration>& age, const std::optional<duration>& reported,
                duration held)
{
    if (reported && (!age || *reported + held < *age)) {
        age = *reported + held;
    }
}

void add(usage_counts& sums, const usage_counts& counts)
{
    for (const auto& [organisation, units] : counts) {
        sums[organisation] += units;
    }
}

void add(std::vector<stream_report>& list, const std::map<std::uint64_t, stream_report>& held)
{
    for (const auto& [stream, report] : held) {
        list.push_back(report);
    }
}

void subtract(endpoint_loads& sums, const endpoint_loads& loads)
{
    for (const auto& [hash, load] : loads) {
        const auto found = sums.find(hash);
        if (found != sums.end()) {
            endpoint_load& sum = found->second;
            sum.active -= std::min(sum.active, load.active);
            sum.waiting_tokens -= std::min(sum.waiting_tokens, load.waiting_tokens);
        }
    }
}

} // namespace

// sums

/// Sums the loads of this host and of the hosts of its region that it hears.
fleet_membership::summed_loads fleet_membership::own_sums(time_point now) const
{
    summed_loads sums{1, m_last_sent.endpoints, {}, now};
    add_witness(sums.ended, m_last_sent.ended_endpoints);
    for (const auto& [ip, host] : m_members.all()) {
        if (host.last.region == m_own.region && m_members.is_heard(host, now)) {
            ++sums.hosts;
            add(sums.endpoints, host.last.endpoints);
            add_witness(sums.ended, host.last.ended_endpoints);
        }
    }
    return sums;
}

/// Returns the sums of the aggregator, this host included, that hears the most hosts.
fleet_membership::summed_loads fleet_membership::best_sums(time_point now) const
{
    summed_loads own = own_sums(now);
    const summed_loads* best = nullptr; // of another aggregator
    for (const auto& [ip, sums] : m_sums) {
        const bool hears_more = sums.hosts > (best == nullptr ? own.hosts : best->hosts);
        const bool is_newer =
            best != nullptr && sums.hosts == best->hosts && sums.received > best->received;
        if (hears_more || is_newer) {
            best = &sums;
        }
    }
    if (best != nullptr) {
        return *best;
    }
    return own;
}

endpoint_loads fleet_membership::peer_loads(time_point now) const
{
    endpoint_loads loads = best_sums(now).endpoints;
    subtract(loads, m_last_sent.endpoints);
    return loads;
}

time_point fleet_membership::peer_loads_time(time_point now) const
{
    // the summed heartbeats were received during the preceding interval
    return best_sums(now).received - m_options.schedule.heartbeat_interval / 2;
}

end_witnesses fleet_membership::ended_endpoints(time_point now) const
{
    return best_sums(now).ended;
}

// load statements

void fleet_membership::hold_load(const load_report& report, time_point as_of)
{
    const auto [held, is_first] = m_loads.try_emplace(report.incarnation);
    if (is_first || as_of > held->second.as_of) {
        held->second = {report.load, as_of, held->second.last_sent_at, true};
    }
}

/// Returns the incarnations whose statements go into the next digest: those with a new statement,
/// at most `max_loads`, first those whose last digest is the longest ago.
std::vector<std::uint32_t> fleet_membership::loads_to_send() const
{
    std::vector<std::uint32_t> chosen;
    for (const auto& [incarnation, held] : m_loads) {
        if (held.is_new) {
            chosen.push_back(incarnation);
        }
    }
    if (chosen.size() > m_options.max_loads) {
        std::nth_element(chosen.begin(),
                         chosen.begin() + static_cast<std::ptrdiff_t>(m_options.max_loads),
                         chosen.end(), [this](std::uint32_t lhs, std::uint32_t rhs) {
                             return m_loads.at(lhs).last_sent_at < m_loads.at(rhs).last_sent_at;
                         });
        chosen.resize(m_options.max_loads);
    }
    return chosen;
}

std::vector<load_report> fleet_membership::collect_loads(time_point now) const
{
    std::vector<load_report> reports;
    for (const std::uint32_t incarnation : loads_to_send()) {
        const held_load& held = m_loads.at(incarnation);
        reports.push_back({incarnation, held.load, now - held.as_of});
    }
    return reports;
}

void fleet_membership::mark_loads_sent(time_point now)
{
    for (const std::uint32_t incarnation : loads_to_send()) {
        held_load& held = m_loads.at(incarnation);
        held.is_new = false;
        held.last_sent_at = now;
    }
}

/// Returns which endpoints have said to a host of the region that they are cold.
std::vector<cold_report> fleet_membership::collect_cold_endpoints(time_point now) const
{
    std::map<std::uint32_t, duration> remaining;
    for (const auto& [ip, host] : m_members.all()) {
        if (host.last.region != m_own.region || !m_members.is_heard(host, now)) {
            continue;
        }
        for (const cold_report& report : host.last.cold_endpoints) {
            duration& longest = remaining[report.endpoint];
            longest = std::max(longest, report.remaining - (now - host.heard_at));
        }
    }
    std::vector<cold_report> reports;
    for (const auto& [endpoint, longest] : remaining) {
        if (longest > duration{0}) {
            reports.push_back({endpoint, longest});
        }
    }
    return reports;
}

/// Returns the latest of what the hosts of the region have learned of restarts.
std::vector<restart_report> fleet_membership::collect_restarts(time_point now) const
{
    std::map<std::uint32_t, restart_report> latest;
    for (const auto& [ip, host] : m_members.all()) {
        if (host.last.region != m_own.region || !m_members.is_heard(host, now)) {
            continue;
        }
        const duration held = now - host.heard_at;
        for (const restart_report& report : host.last.restarts) {
            restart_report& merged = latest[report.endpoint];
            keep_later(merged.sign_age, report.sign_age, held);
            keep_later(merged.doubt_age, report.doubt_age, held);
            keep_later(merged.known_age, report.known_age, held);
        }
    }
    std::vector<restart_report> reports;
    for (auto& [endpoint, report] : latest) {
        report.endpoint = endpoint;
        reports.push_back(report);
    }
    return reports;
}

/// Collects what all digests of a round contain; the lists of hosts and regions are left empty.
region_digest fleet_membership::collect_digest(time_point now) const
{
    region_digest digest;
    summed_loads sums = own_sums(now);
    digest.hosts = sums.hosts;
    digest.endpoints = std::move(sums.endpoints);
    for (const auto& [incarnation, witnesses] : sums.ended) {
        digest.ended_endpoints.push_back({incarnation, witnesses});
    }
    digest.used = m_usage.totals();
    add(digest.used, m_last_sent.used);
    digest.refused = m_usage.refused();
    add(digest.refused, m_last_sent.refused);
    digest.restarts = collect_restarts(now);
    digest.cold_endpoints = collect_cold_endpoints(now);
    digest.loads = collect_loads(now);
    digest.known_hosts = 1;
    for (const auto& [ip, host] : m_members.all()) {
        digest.known_hosts += host.last.region == m_own.region ? 1 : 0;
    }
    digest.rotation =
        m_options.schedule.heartbeat_interval * static_cast<int>(m_options.digest_rotation);
    return digest;
}

/// Returns the regions of which a host of another region last said that it hears none of them.
std::vector<std::string> fleet_membership::regions_unheard_by(const std::string& ip) const
{
    const member* const host = m_members.find(ip);
    return host == nullptr ? std::vector<std::string>{} : host->last.unheard_regions;
}

/// @param unheard regions that the recipient doesn't hear
std::string fleet_membership::make_datagram(const heartbeat_recipient& recipient,
                                            const std::vector<std::string>& unheard,
                                            const region_digest& collected, time_point now) const
{
    heartbeat sent = m_last_sent;
    const heartbeat_schedule_options& schedule = m_options.schedule;
    const bool is_brief = recipient.content == heartbeat_content::brief_digest;
    const bool is_seldom = (is_brief || recipient.content == heartbeat_content::standby_digest) &&
                           recipient.wanted == digest_subscription::none;
    sent.digests = recipient.wanted;
    sent.interval =
        schedule.heartbeat_interval * static_cast<int>(is_seldom ? schedule.standby_interval : 1);
    if (recipient.content == heartbeat_content::own_state) {
        sent.services.clear();
        return encode(sent, heartbeat_scope::own_region);
    }
    sent.digest = collected;
    const bool is_summary = recipient.content == heartbeat_content::summary;
    const std::string& region = is_summary ? recipient.region : m_own.region;
    sent.digest->members = to_groups(hosts_to_name(recipient.content, region, now), now, to_report);
    sent.digest->introduced =
        to_groups(hosts_to_introduce(recipient.content, unheard, now), now, to_introduction);
    if (is_summary) {
        sent.digest->regions = usage_to_pass_on(unheard, now);
        add(sent.digest->streams, m_region_streams);
        sent.used.clear(); // the digest includes it
        sent.refused.clear();
        return encode(sent, heartbeat_scope::fleet);
    }
    sent.services.clear();
    sent.digest->regions = regions_to_pass_on(now);
    if (is_brief) {
        sent.digest->hosts = 0;
        sent.digest->endpoints.clear();
        sent.digest->loads.clear();
    }
    if (recipient.content == heartbeat_content::digest) {
        sent.used.clear(); // the digest includes it, and the recipient is no aggregator
        sent.refused.clear();
        sent.digest->prompts = m_prompts;
        add(sent.digest->streams, m_region_streams);
        add(sent.digest->streams, m_other_streams);
    }
    return encode(sent, heartbeat_scope::own_region);
}

/// Whether heartbeats with `content` report on `host`. The hosts of other regions are told to hosts
/// of this region only.
bool fleet_membership::is_in_list(heartbeat_content content, const member& host) const
{
    return content != heartbeat_content::summary || host.last.region == m_own.region;
}

/// Returns the number of hosts of the list that one heartbeat with `content` reports on.
std::size_t fleet_membership::part_of_list(heartbeat_content content) const
{
    const bool is_seldom =
        content == heartbeat_content::standby_digest || content == heartbeat_content::brief_digest;
    const std::size_t rounds = is_seldom ? m_options.schedule.standby_interval : 1;
    return (m_members.all().size() * rounds + m_options.digest_rotation - 1) /
           m_options.digest_rotation;
}

/// Returns the next part of the list of hosts, live or not.
std::vector<const member*> fleet_membership::next_part(heartbeat_content content) const
{
    const auto& all = m_members.all();
    const auto found = m_positions.find(content);
    auto it = all.lower_bound(found == m_positions.end() ? "" : found->second);
    std::vector<const member*> part;
    for (std::size_t left = std::min(part_of_list(content), all.size()); left > 0; --left) {
        it = it == all.end() ? all.begin() : it;
        part.push_back(&it->second);
        ++it;
    }
    return part;
}

/// Returns the hosts on which a heartbeat for `region` reports: those whose state has changed, the
/// first ones of the region's order of aggregators, and the next part of the list.
std::vector<const member*> fleet_membership::hosts_to_name(heartbeat_content content,
                                                           const std::string& region,
                                                           time_point now) const
{
    std::map<std::string, const member*> named; // by ip
    for (const pending_change& change : m_changes) {
        const member* const host = m_members.find(change.ip);
        if (host != nullptr && is_in_list(content, *host) && named.size() < m_options.max_changes) {
            named[change.ip] = host;
        }
    }
    std::vector<aggregator_candidate> candidates;
    for (const auto& [ip, host] : m_members.all()) {
        if (host.last.region == region && m_members.is_live(host, now)) {
            candidates.push_back({ip, host.last.failure_domain});
        }
    }
    for (const std::string& ip : choose_aggregators(candidates, m_options.introduced_hosts)) {
        named[ip] = m_members.find(ip);
    }
    for (const member* host : next_part(content)) {
        if (is_in_list(content, *host) && m_members.is_live(*host, now)) {
            named[host->last.ip] = host;
        }
    }
    return to_list(named);
}

/// Returns the hosts of which a heartbeat tells only that they exist: of the next part of the list,
/// those that this host doesn't hear, in a summary only hosts of its own region, and those of the
/// regions that the recipient doesn't hear. The first ones of such a region's order of aggregators
/// are always told, so that the recipient finds them at once.
std::vector<const member*>
fleet_membership::hosts_to_introduce(heartbeat_content content,
                                     const std::vector<std::string>& unheard, time_point now) const
{
    std::map<std::string, const member*> introduced; // by ip
    for (const std::string& region : unheard) {
        std::vector<aggregator_candidate> candidates;
        for (const auto& [ip, host] : m_members.all()) {
            if (host.last.region == region && m_members.is_live(host, now)) {
                candidates.push_back({ip, host.last.failure_domain});
            }
        }
        for (const std::string& ip : choose_aggregators(candidates, m_options.introduced_hosts)) {
            introduced[ip] = m_members.find(ip);
        }
    }
    for (const member* host : next_part(content)) {
        const bool is_unheard =
            std::find(unheard.begin(), unheard.end(), host->last.region) != unheard.end();
        if (is_unheard || (is_in_list(content, *host) && !m_members.is_live(*host, now))) {
            introduced[host->last.ip] = host;
        }
    }
    return to_list(introduced);
}

/// Returns what the hosts of `regions` use, for a host that doesn't hear them.
std::vector<region_state>
fleet_membership::usage_to_pass_on(const std::vector<std::string>& regions, time_point now) const
{
    std::vector<region_state> passed_on = regions_to_pass_on(now);
    std::erase_if(passed_on, [&regions](const region_state& state) {
        return std::find(regions.begin(), regions.end(), state.region) == regions.end();
    });
    for (region_state& state : passed_on) {
        state.is_relayed = true;
        state.services.clear(); // its capacity is for those who reach it
    }
    return passed_on;
}

/// Returns the state of each other region as one of its hosts reports it; the same host each time
/// while its reports are recent.
std::vector<region_state> fleet_membership::regions_to_pass_on(time_point now) const
{
    std::vector<region_state> regions;
    for (const auto& [region, states] : m_regions) {
        const held_region* chosen = nullptr;
        for (const auto& [ip, held] : states) {
            const duration age = now - held.received;
            const bool is_recent =
                chosen != nullptr && now - chosen->received < m_options.recent_region_age;
            if (age < m_options.max_region_age &&
                (chosen == nullptr || (!is_recent && held.received > chosen->received))) {
                chosen = &held;
            }
        }
        if (chosen != nullptr) {
            regions.push_back(chosen->state);
            regions.back().age = now - chosen->received;
        }
    }
    return regions;
}

} // namespace hickorykeel::gateway
