#include "gateway/membership/fleet_membership.h"

#include <algorithm> // find_if, min
#include <set>       // set
#include <tuple>     // tuple
#include <utility>   // exchange, move

// What a host receives, and when it sends.

namespace hickorykeel::gateway {

namespace {

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

void copy_count(const usage_counts& from, const std::string& organisation, usage_counts& to)
{
    const auto found = from.find(organisation);
    if (found != from.end()) {
        to[organisation] = found->second;
    }
}

void subtract(usage_counts& sums, const usage_counts& counts)
{
    for (const auto& [organisation, units] : counts) {
        sums[organisation] -= units;
    }
}

} // namespace

fleet_membership::fleet_membership(host_identity own, const std::vector<std::string>& seed_ips,
                                   fleet_membership_options options)
    : m_own{std::move(own)}, m_options{std::move(options)}, m_members{m_own.ip, seed_ips,
                                                                      m_options.members,
                                                                      m_own.region},
      m_schedule{{m_own.ip, m_own.failure_domain, m_own.region}, m_options.schedule}
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
    header.streams = std::exchange(received->streams, {});
    const digest_subscription wanted = received->digests;
    const bool all_endpoints_warm = received->all_endpoints_warm;
    const single_version_claim single_version = received->single_version;
    const member_change change = m_members.on_heartbeat(std::move(*received), now);
    if (change == member_change::none) {
        return news;
    }
    m_has_heard = true;
    read_streams(header, news);
    news.all_endpoints_warm = is_own_region && all_endpoints_warm;
    if (now - arrived_after <= m_options.max_claim_wait) {
        news.single_version = single_version;
    }
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

/// Keeps streams for the next round of heartbeats, each once and at most `max_streams`.
void fleet_membership::hold_streams(const std::vector<stream_report>& reports,
                                    held_streams& held) const
{
    for (const stream_report& report : reports) {
        if (held.size() >= m_options.max_streams) {
            return;
        }
        held.try_emplace(report.stream, report);
    }
}

/// Reads the streams that other hosts have begun. What a host tells of itself is passed on to the
/// whole fleet, what another region has collected is passed on within this region, and what this
/// region has collected isn't passed on again.
void fleet_membership::read_streams(const heartbeat& received, received_news& news)
{
    const bool is_own_region = received.region == m_own.region;
    news.streams = received.streams;
    hold_streams(received.streams, is_own_region ? m_region_streams : m_other_streams);
    if (!received.digest) {
        return;
    }
    const std::vector<stream_report>& collected = received.digest->streams;
    news.streams.insert(news.streams.end(), collected.begin(), collected.end());
    if (!is_own_region) {
        hold_streams(collected, m_other_streams);
    }
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
    news.rejection_limits = std::exchange(received.rejection_limits, {});
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
                           digest.known_hosts, false, received.services, digest.used,
                           digest.refused},
                          news, now);
        for (const region_state& state : digest.regions) {
            read_other_region(state, news, now);
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

/// Records the hosts of which the sender of `digest` tells only that they exist.
void fleet_membership::read_introductions(const region_digest& digest, time_point now)
{
    for (const member_group& group : digest.introduced) {
        for (const relayed_member& introduced : group.members) {
            m_members.on_introduction(introduced, group.region, group.failure_domain,
                                      digest.rotation, now);
        }
    }
}

/// Records the state of another region if it is the newest by its host, and reports its usage.
void fleet_membership::read_other_region(region_state state, received_news& news, time_point now)
{
    if (state.region == m_own.region) {
        return;
    }
    const time_point reported_at = now - state.age;
    held_region& held = m_regions[state.region][state.ip];
    if (reported_at <= held.received) {
        return;
    }
    if (!state.is_relayed) {
        m_members.on_services(state.region, state.services, reported_at);
        news.regions.push_back(state.region);
    }
    news.usage.push_back(
        {state.region, state.ip, state.incarnation, state.used, state.refused, state.age});
    held = {std::move(state), reported_at};
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
    m_region_streams.clear();
    m_other_streams.clear();
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
