#include "gateway/membership/fleet_membership.h"

#include "gateway/membership/aggregator_choice.h"

#include <algorithm> // any_of, find, find_if, max, min, nth_element
#include <cstddef>   // ptrdiff_t
#include <set>       // set
#include <tuple>     // tuple
#include <utility>   // exchange, move

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
            .configuration_age = host.last.configuration_age};
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

/// Makes what the reports say to be known as old as it may be, if they have waited for up to `wait`.
/// The signs of restarts are left as young as they may be.
void age_known_states(std::vector<restart_report>& reports, duration wait)
{
    for (restart_report& report : reports) {
        if (report.known_age) {
            *report.known_age += wait;
        }
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

void copy_count(const usage_counts& from, const std::string& organisation, usage_counts& to)
{
    const auto found = from.find(organisation);
    if (found != from.end()) {
        to[organisation] = found->second;
    }
}

void add(usage_counts& sums, const usage_counts& counts)
{
    for (const auto& [organisation, units] : counts) {
        sums[organisation] += units;
    }
}

void subtract(usage_counts& sums, const usage_counts& counts)
{
    for (const auto& [organisation, units] : counts) {
        sums[organisation] -= units;
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

fleet_membership::fleet_membership(host_identity own, const std::vector<std::string>& seed_ips,
                                   fleet_membership_options options)
    : m_own{std::move(own)}, m_options{options}, m_members{m_own.ip, seed_ips, options.members,
                                                           m_own.region},
      m_schedule{{m_own.ip, m_own.failure_domain, m_own.region}, options.schedule}
{
}

// received heartbeats

received_news fleet_membership::on_datagram(std::string_view datagram, time_point arrived_after,
                                            time_point now)
{
    received_news news;
    std::optional<heartbeat> received = decode_heartbeat(datagram);
    if (!received) {
        news.is_readable = false;
        return news;
    }
    if (received->ip == m_own.ip) {
        return news;
    }
    age_known_states(received->restarts, now - arrived_after);
    if (received->digest) {
        age_known_states(received->digest->restarts, now - arrived_after);
    }
    news.region = received->region;
    const std::string ip = received->ip;
    news.sender = ip;
    const std::string host = received->host;
    const auto digest = std::exchange(received->digest, std::nullopt);
    news.crashes = std::exchange(received->crashes, {});
    const bool is_own_region = received->region == m_own.region;
    if (is_own_region) {
        read_own_region(*received, !digest || !received->used.empty(), news, arrived_after, now);
    }
    heartbeat header;
    header.ip = ip;
    header.region = received->region;
    header.incarnation = received->incarnation;
    header.services = received->services;
    header.digest = digest;
    const digest_subscription wanted = received->digests;
    const bool all_endpoints_warm = received->all_endpoints_warm;
    const member_change change = m_members.on_heartbeat(std::move(*received), now);
    if (change == member_change::none) {
        return news;
    }
    m_has_heard = true;
    news.all_endpoints_warm = is_own_region && all_endpoints_warm;
    m_schedule.on_heartbeat(ip, header.region, wanted, now);
    if (change != member_change::updated) {
        note_change(ip);
    }
    if (change == member_change::became_live) {
        news.new_host = host;
    }
    if (digest) {
        read_digest(header, news, now);
    }
    return news;
}

/// Takes what only hosts of the region use out of a heartbeat.
/// @param has_usage whether it reports the usage of its sender; digests may leave that out
void fleet_membership::read_own_region(heartbeat& received, bool has_usage, received_news& news,
                                       time_point arrived_after, time_point now)
{
    if (has_usage) {
        m_usage.on_report(received.ip, received.incarnation, received.used, received.refused, now);
    }
    news.prompts = std::exchange(received.prompts, {});
    news.restarts = received.restarts;
    news.cold_endpoints = received.cold_endpoints;
    news.rates = std::exchange(received.rates, {});
    news.loads = std::exchange(received.loads, {});
    for (const load_report& report : news.loads) {
        hold_load(report, arrived_after - report.age);
    }
    if (m_prompts.size() < m_options.max_prompts) {
        m_prompts.insert(m_prompts.end(), news.prompts.begin(), news.prompts.end());
    }
    usage_report counted{m_own.region, m_own.ip, m_own.incarnation, {}, {}};
    for (const auto& [organisation, units] : received.used) {
        copy_count(m_usage.totals(), organisation, counted.used);
        copy_count(m_usage.refused(), organisation, counted.refused);
    }
    news.usage.push_back(std::move(counted));
}

void fleet_membership::read_digest(const heartbeat& received, received_news& news, time_point now)
{
    const region_digest& digest = *received.digest;
    for (const member_group& group : digest.members) {
        for (const relayed_member& reported : group.members) {
            const member_change change = m_members.on_report(
                reported, group.region, group.failure_domain, digest.rotation, now);
            if (change != member_change::none && change != member_change::updated) {
                note_change(reported.ip);
            }
        }
    }
    read_introductions(digest, now);
    if (received.region != m_own.region) {
        read_other_region({received.region, received.ip, received.incarnation, duration{0},
                           digest.known_hosts, received.services, digest.used, digest.refused},
                          news, now);
        for (const region_state& state : digest.regions) {
            read_relayed_usage(state, news, now);
        }
        return;
    }
    if (digest.hosts > 0) {
        summed_loads sums{digest.hosts, digest.endpoints, {}, now};
        for (const end_report& report : digest.ended_endpoints) {
            sums.ended[report.incarnation] = std::min(report.witnesses, digest.hosts);
        }
        m_sums[received.ip] = std::move(sums);
        news.has_peer_loads = true;
    }
    news.loads.insert(news.loads.end(), digest.loads.begin(), digest.loads.end());
    news.prompts.insert(news.prompts.end(), digest.prompts.begin(), digest.prompts.end());
    news.restarts.insert(news.restarts.end(), digest.restarts.begin(), digest.restarts.end());
    news.cold_endpoints.insert(news.cold_endpoints.end(), digest.cold_endpoints.begin(),
                               digest.cold_endpoints.end());
    usage_report counted{m_own.region, received.ip, received.incarnation, digest.used,
                         digest.refused};
    // the region's count includes this host, whose usage is charged when it admits requests
    subtract(counted.used, m_last_sent.used);
    subtract(counted.refused, m_last_sent.refused);
    news.usage.push_back(std::move(counted));
    for (const region_state& state : digest.regions) {
        read_other_region(state, news, now);
    }
}

void fleet_membership::read_introductions(const region_digest& digest, time_point now)
{
    for (const member_group& group : digest.introduced) {
        for (const relayed_member& introduced : group.members) {
            m_members.on_introduction(introduced, group.region, group.failure_domain,
                                      digest.rotation, now);
        }
    }
}

/// Records the state of a region by the digest of one of its hosts, received here or in this region.
void fleet_membership::read_other_region(region_state state, received_news& news, time_point now)
{
    const time_point reported_at = now - state.age;
    const std::string region = state.region;
    const service_loads services = state.services;
    if (hold_region(std::move(state), news, now)) {
        m_members.on_services(region, services, reported_at);
        news.regions.push_back(region);
    }
}

/// Records what the hosts of a region use, as passed on by a host of a third one. The region can't
/// be reached by that.
void fleet_membership::read_relayed_usage(region_state state, received_news& news, time_point now)
{
    state.services.clear();
    hold_region(std::move(state), news, now);
}

/// Holds the state of another region, and reports its usage, if it is the newest of its host.
bool fleet_membership::hold_region(region_state state, received_news& news, time_point now)
{
    if (state.region == m_own.region) {
        return false;
    }
    const time_point reported_at = now - state.age;
    held_region& held = m_regions[state.region][state.ip];
    if (reported_at <= held.received) {
        return false;
    }
    news.usage.push_back(
        {state.region, state.ip, state.incarnation, state.used, state.refused, state.age});
    held = {std::move(state), reported_at};
    return true;
}

std::vector<std::string> fleet_membership::expire(time_point now)
{
    for (const std::string& ip : m_schedule.take_silent_subscribers(now)) {
        if (m_members.on_silence(ip, now)) {
            note_change(ip);
        }
    }
    const duration timeout = m_options.schedule.standby_timeout;
    std::erase_if(m_sums, [&](const auto& item) { return now - item.second.received >= timeout; });
    std::erase_if(m_loads, [&](const auto& item) { return now - item.second.as_of >= timeout; });
    for (auto& [region, states] : m_regions) {
        std::erase_if(states, [&](const auto& item) {
            return now - item.second.received >= m_options.members.retention;
        });
    }
    return m_members.expire(now);
}

// size of the fleet

fleet_size fleet_membership::size(time_point now) const
{
    fleet_size size{1, expected_hosts(now)};
    for (const auto& [ip, host] : m_members.all()) {
        const bool is_accounted =
            m_members.is_live(host, now) ||
            (m_members.is_heard_elsewhere(host, now) && knows_usage(host.last.region, now));
        size.accounted += is_accounted ? 1 : 0;
    }
    size.expected = std::max(size.expected, size.accounted);
    return size;
}

/// Returns the number of hosts that may be running, with this one.
std::size_t fleet_membership::expected_hosts(time_point now) const
{
    const bool may_assume = !m_started || now - *m_started < m_options.assumption_time;
    const bool has_others = !m_members.seeds().empty() || m_options.regions.size() > 1;
    if (!m_has_heard && has_others && may_assume) {
        return m_options.assumed_hosts * std::max<std::size_t>(1, m_options.regions.size());
    }
    std::map<std::string, std::size_t> known{{m_own.region, 1}};
    for (const auto& [ip, host] : m_members.all()) {
        ++known[host.last.region];
    }
    std::size_t largest = 1;
    std::size_t sum = m_members.unknown_seeds();
    for (auto& [region, hosts] : known) {
        // a region that was replaced by other hosts doesn't know its former ones
        const std::size_t stated = stated_hosts(region, now);
        hosts = stated > 0 ? std::min(hosts, stated) : hosts;
        largest = std::max(largest, hosts);
        sum += hosts;
    }
    if (may_assume) {
        for (const std::string& region : m_options.regions) {
            sum += known.contains(region) ? 0 : largest;
        }
    }
    return sum;
}

/// Whether what the hosts of another region use becomes known here.
bool fleet_membership::knows_usage(const std::string& region, time_point now) const
{
    const auto found = m_regions.find(region);
    return found != m_regions.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const auto& item) {
               return now - item.second.received < m_options.max_region_age;
           });
}

/// Returns the most hosts that a host of another region says to know of that region; 0: none says.
std::uint32_t fleet_membership::stated_hosts(const std::string& region, time_point now) const
{
    std::uint32_t most = 0;
    const auto found = m_regions.find(region);
    if (found == m_regions.end()) {
        return most;
    }
    for (const auto& [ip, held] : found->second) {
        if (now - held.received < m_options.max_region_age) {
            most = std::max(most, held.state.known_hosts);
        }
    }
    return most;
}

/// Returns the regions of which this region hears no host.
std::vector<std::string> fleet_membership::unheard_regions(time_point now) const
{
    std::set<std::string> regions = m_options.regions;
    for (const auto& [region, state] : m_members.regions()) {
        if (!state.hosts.empty()) {
            regions.insert(region);
        }
    }
    regions.erase(m_own.region);
    std::vector<std::string> unheard;
    for (const std::string& region : regions) {
        if (!m_members.has_live_host(region, now)) {
            unheard.push_back(region);
        }
    }
    return unheard;
}

void fleet_membership::note_change(const std::string& ip)
{
    const auto found = std::find_if(m_changes.begin(), m_changes.end(),
                                    [&ip](const auto& change) { return change.ip == ip; });
    if (found != m_changes.end()) {
        found->repeats = m_options.change_repeats;
        return;
    }
    m_changes.push_back({ip, m_options.change_repeats});
}

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

// sent heartbeats

std::vector<outgoing_heartbeat> fleet_membership::send(heartbeat state, time_point now)
{
    state.host = m_own.host;
    state.ip = m_own.ip;
    state.failure_domain = m_own.failure_domain;
    state.region = m_own.region;
    state.incarnation = m_own.incarnation;
    state.sequence = ++m_sequence;
    state.unheard_regions = unheard_regions(now);
    m_started = m_started.value_or(now);
    m_last_sent = std::move(state);
    for (const load_report& report : m_last_sent.loads) {
        hold_load(report, now - report.age);
    }
    const std::vector<heartbeat_recipient> recipients =
        m_schedule.choose(m_members, m_sequence, m_last_sent.is_leaving, now);
    const region_digest digest = collect_digest(now);
    using variant =
        std::tuple<heartbeat_content, digest_subscription, std::string, std::vector<std::string>>;
    std::map<variant, std::string> encoded;
    std::vector<outgoing_heartbeat> sent;
    sent.reserve(recipients.size());
    for (const heartbeat_recipient& recipient : recipients) {
        const bool is_summary = recipient.content == heartbeat_content::summary;
        const std::vector<std::string> unheard =
            is_summary ? regions_unheard_by(recipient.ip) : std::vector<std::string>{};
        std::string& datagram =
            encoded[{recipient.content, recipient.wanted, recipient.region, unheard}];
        if (datagram.empty()) {
            datagram = make_datagram(recipient, unheard, digest, now);
        }
        sent.push_back({recipient.ip, datagram});
    }
    end_round(recipients, now);
    return sent;
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

/// Advances the lists after the heartbeats of a round were made.
void fleet_membership::end_round(const std::vector<heartbeat_recipient>& recipients, time_point now)
{
    std::set<heartbeat_content> sent;
    for (const heartbeat_recipient& recipient : recipients) {
        sent.insert(recipient.content);
    }
    sent.erase(heartbeat_content::own_state);
    for (const heartbeat_content content : sent) {
        advance(content);
    }
    std::size_t left = std::min(m_options.max_changes, m_changes.size());
    for (; left > 0 && !sent.empty(); --left) {
        pending_change change = std::move(m_changes.front());
        m_changes.pop_front();
        if (--change.repeats > 0) {
            m_changes.push_back(std::move(change));
        }
    }
    m_prompts.clear();
    mark_loads_sent(now);
}

/// Moves the position in the list of hosts behind the part that heartbeats with `content` named.
void fleet_membership::advance(heartbeat_content content)
{
    const auto& all = m_members.all();
    if (all.empty()) {
        return;
    }
    std::string& position = m_positions[content];
    auto it = all.lower_bound(position);
    for (std::size_t left = std::min(part_of_list(content), all.size()); left > 0; --left) {
        it = it == all.end() ? all.begin() : it;
        ++it;
    }
    position = it == all.end() ? std::string{} : it->first;
}

} // namespace hickorykeel::gateway
