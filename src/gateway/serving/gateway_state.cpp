#include "gateway/limits/cold_allowance.h"
#include "gateway/limits/rate_share.h"
#include "gateway/limits/room_share.h"
#include "gateway/serving/gateway.h"
#include "gateway/serving/region_options.h"

#include <algorithm> // max
#include <chrono>    // milliseconds, seconds
#include <cstddef>   // size_t
#include <cstdint>   // int64_t
#include <string>    // string
#include <utility>   // exchange

#include <fmt/format.h> // format

// What a gateway knows of other hosts and of the published configuration.

namespace hickorykeel::gateway {

namespace {

/// Maximum size of the headers that a host adds to a request that it forwards.
constexpr std::size_t max_added_header_bytes = 1'024;

/// Time for which urgent news wait for others, to be sent together.
constexpr duration urgent_news_delay = std::chrono::milliseconds{20};

/// Other hosts are told which software version has begun a stream unless there was only one for so
/// long; callers usually take up streams within this time.
constexpr duration told_time = std::chrono::seconds{15};

/// What a region can take if none of its hosts has a path to the endpoints.
constexpr service_load no_capacity{std::chrono::seconds{10}, 0};

/// A host's claim about software versions is logged if it tells of so much more time.
constexpr duration logged_version_gain = std::chrono::seconds{1};

/// Returns the limits on requests that other hosts forward, which have applied the callers' limits.
/// Their configuration may be newer or older than this host's, so the limits aren't below the
/// default ones.
message_limits to_forwarded_limits(const caller_limits& limits)
{
    const message_limits defaults;
    return {std::max(limits.max_header_bytes, defaults.max_head_bytes) + max_added_header_bytes,
            std::max(limits.max_body_bytes, defaults.max_body_bytes)};
}

} // namespace

// membership

/// Returns what this region can take of requests to a service. Without a path to the endpoints, this
/// host goes by what those have told that have one.
service_load gateway::region_capacity(const service& of, time_point now) const
{
    if (!m_context.path.is_lost(now)) {
        return m_pool.free_capacity(of, now);
    }
    return has_host_with_path(m_context, now) ? m_pool.peer_capacity(of, now) : no_capacity;
}

heartbeat gateway::own_state(time_point now)
{
    heartbeat state;
    state.is_ready = is_ready();
    state.is_leaving = m_is_stopping;
    if (const publication_ptr& published = m_state.published()) {
        state.has_configuration = true;
        state.configuration_version = published->version;
        state.configuration_age = m_state.age(now);
        state.is_configuration_checked = m_state.is_version_checked();
        state.operator_change = m_follower.operator_change();
        for (const auto& [name, of] : published->services()) {
            state.services[name] = region_capacity(of, now);
        }
    }
    state.lacks_endpoint_path = m_context.path.is_lost(now);
    state.endpoints = m_pool.own_loads();
    state.restarts = m_pool.own_restarts(now);
    state.all_endpoints_warm = m_pool.are_all_warm(now);
    state.cold_endpoints = m_pool.own_cold_endpoints(now);
    state.ended_endpoints = m_pool.own_ended_endpoints();
    state.rates = m_pool.rate_reports(now);
    state.rejection_limits = m_pool.rejection_reports(now);
    state.loads = m_pool.take_load_reports(now);
    state.single_version = m_version_history.claim(now);
    state.used = m_usage.used();
    state.refused = m_usage.refused();
    state.prompts = m_pool.take_sent_prefixes();
    state.crashes = m_quarantine.evidence(now);
    state.streams = m_origins.take_reports(
        [this, now](const std::string& service) {
            return m_version_history.may_have_several(service, told_time, now);
        },
        now);
    return state;
}

void gateway::send_heartbeats()
{
    const time_point now = boot_clock::now();
    for (const outgoing_heartbeat& sent : m_fleet.send(own_state(now), now)) {
        m_gossip.send(sent.ip, sent.datagram);
    }
    log_aggregators();
}

/// Sends heartbeats ahead of their time if there is news of endpoints on which other hosts have to
/// act at once. News that come together are sent together.
void gateway::tell_urgent_news()
{
    if (!m_pool.has_urgent_news() || std::exchange(m_tells_news, true)) {
        return;
    }
    m_news_timer.expires_after(urgent_news_delay);
    m_news_timer.async_wait([this](const asio::error_code& failure) {
        m_tells_news = false;
        if (!failure && m_pool.has_urgent_news()) {
            send_heartbeats();
        }
    });
}

void gateway::update_quarantine(time_point now)
{
    for (const std::uint64_t part : m_quarantine.update(now)) {
        m_log.write(log_line{"prompt_part_quarantined"}.add("part", fmt::format("{:x}", part)));
    }
    for (const std::uint64_t request : m_quarantine.take_new_request_verdicts()) {
        m_metrics.count("request_quarantine_begun");
        m_log.write(
            log_line{"request_quarantine_begun"}.add("request", fmt::format("{:x}", request)));
    }
}

void gateway::log_aggregators()
{
    const std::vector<std::string>& aggregators = m_fleet.schedule().aggregators();
    if (aggregators == m_aggregators) {
        return;
    }
    m_aggregators = aggregators;
    log_line line{"aggregators"};
    for (const std::string& ip : aggregators) {
        line.add("peer", ip);
    }
    m_log.write(line);
}

void gateway::on_datagram(std::string_view datagram, time_point arrived_after)
{
    const time_point now = boot_clock::now();
    const received_news news = m_fleet.on_datagram(datagram, arrived_after, now);
    if (!news.is_readable) {
        m_metrics.count("heartbeat_unreadable");
        return;
    }
    m_follower.check_version(now);
    for (const usage_report& report : news.usage) {
        m_usage.on_report(report, now);
    }
    for (const sent_prefix& prefix : news.prompts) {
        m_pool.on_peer_prefix(prefix, now);
    }
    record_restart_news(news, now);
    if (m_fleet.schedule().is_aggregator()) {
        tell_urgent_news(); // the others learn of it from this host
    }
    for (const rate_report& report : news.rates) {
        if (m_pool.on_peer_rate(report, m_heard_since, now)) {
            m_metrics.count(report.max_rate ? "endpoint_rate_heard" : "endpoint_rate_end_heard");
        }
    }
    for (const rejection_report& report : news.rejection_limits) {
        if (m_pool.on_peer_rejections(report, m_heard_since, now)) {
            m_metrics.count(report.limit ? "endpoint_rejection_limit_heard"
                                         : "endpoint_rejection_limit_end_heard");
        }
    }
    for (const load_report& report : news.loads) {
        m_pool.on_peer_load(report, arrived_after, now);
        m_metrics.count("endpoint_load_heard");
    }
    if (news.has_peer_loads && m_pool.has_load_statements()) {
        update_peer_loads(now);
    }
    record_version_claim(news, now);
    m_quarantine.on_evidence(news.crashes, now);
    for (const stream_report& report : news.streams) {
        m_origins.on_peer_report(report, now);
    }
    if (!news.new_host.empty()) {
        m_log.write(log_line{"host_heard"}.add("peer", news.new_host).add("region", news.region));
    }
    for (const std::string& region : news.regions) {
        std::erase_if(m_context.forwarded_requests,
                      [&region](const auto& item) { return item.first.starts_with(region + '/'); });
    }
}

void gateway::update_peer_loads(time_point now)
{
    const time_point as_of = m_fleet.peer_loads_time(now);
    m_pool.set_peer_loads(m_fleet.peer_loads(now), as_of);
    const member_table& members = m_fleet.members();
    known_hosts hosts{1, members.known_count() - members.all().size() - 1,
                      m_fleet.summed_hosts(now), as_of};
    for (const auto& [ip, host] : members.all()) {
        const bool is_peer = host.last.region == m_settings.region;
        hosts.region += is_peer && members.is_live(host, now) ? 1 : 0;
    }
    m_pool.set_known_hosts(hosts, now);
}

/// Begins to take a share of the endpoints, whose load isn't known yet, and asks a few for it.
void gateway::begin_start(time_point now)
{
    m_pool.begin_start({.period = m_settings.start_period,
                        .capacity_share = m_settings.start_capacity_share,
                        .assumed_hosts = static_cast<std::size_t>(m_settings.start_assumed_hosts)},
                       now);
    update_peer_loads(now);
    m_checker.ask_for_load(static_cast<std::size_t>(m_settings.start_load_questions), m_random);
}

/// Records what a datagram tells of restarts and of cold endpoints.
void gateway::record_restart_news(const received_news& news, time_point now)
{
    if (news.restarts.empty() && news.cold_endpoints.empty() && !news.all_endpoints_warm) {
        return;
    }
    const std::size_t unknown_before = m_pool.past_unknown_count(now);
    for (const restart_report& report : news.restarts) {
        m_pool.on_peer_restart(report, now);
    }
    for (const cold_report& report : news.cold_endpoints) {
        m_pool.on_peer_cold(report, now);
    }
    if (news.all_endpoints_warm) {
        m_pool.on_peer_all_warm(now);
    }
    const std::size_t unknown = m_pool.past_unknown_count(now);
    if (unknown < unknown_before) {
        m_log.write(log_line{"endpoints_known_by_peer"}
                        .add("peer", news.sender)
                        .add("endpoints", static_cast<std::int64_t>(unknown_before - unknown))
                        .add("evidence", news.all_endpoints_warm ? "all_warm" : "known_state"));
    }
}

/// Takes over what the sender of a datagram knows of the software versions before this host's start.
void gateway::record_version_claim(const received_news& news, time_point now)
{
    const duration gained = m_version_history.on_claim(news.single_version, now);
    if (gained >= logged_version_gain) {
        m_metrics.count("versions_known_by_peer");
        m_log.write(
            log_line{"versions_known_by_peer"}.add("peer", news.sender).add_ms("more_ms", gained));
    }
}

void gateway::update_members(time_point now)
{
    for (const std::string& host : m_fleet.expire(now)) {
        m_log.write(log_line{"host_silent"}
                        .add("peer", host)
                        .add_ms("after_ms", m_fleet.members().options().heartbeat_timeout));
    }
    m_version_history.confirm(now - m_state.age(now), now);
    m_cold_side.update(m_fleet.members(), m_settings.region, now);
    update_peer_loads(now);
    for (const std::string& endpoint : m_pool.set_ended_endpoints(m_fleet.ended_endpoints(now))) {
        m_metrics.count("endpoint_ended_elsewhere");
        m_log.write(
            log_line{"endpoint_ended"}.add("endpoint", endpoint).add("evidence", "other_hosts"));
    }
    const fleet_size size = m_fleet.size(now);
    m_usage.set_share(static_cast<double>(size.accounted) / static_cast<double>(size.expected),
                      now);
}

double gateway::cold_rate_for(const std::string& endpoint, double rate) const
{
    const time_point now = boot_clock::now();
    const cold_ownership ownership =
        to_cold_ownership(m_fleet.members(), {m_settings.ip, m_settings.region, m_is_stopping},
                          m_cold_side, endpoint, now);
    return cold_allowance(ownership, now - m_started, rate);
}

double gateway::rate_share_of(const std::string& endpoint, double rate) const
{
    return to_rate_share(m_fleet.members(), {m_settings.ip, m_settings.region, m_is_stopping},
                         endpoint, rate, boot_clock::now() - m_started);
}

std::uint32_t gateway::room_share_of(const std::string& endpoint, std::uint32_t places) const
{
    return to_room_share(m_fleet.members(), {m_settings.ip, m_settings.region, m_is_stopping},
                         endpoint, places, boot_clock::now() - m_started);
}

// configuration

void gateway::on_published()
{
    const time_point now = boot_clock::now();
    const time_point read_at = now - m_state.age(now);
    m_version_history.update(m_state.endpoints(), read_at, now);
    const publication_ptr& published = m_state.published();
    if (published == nullptr) {
        return;
    }
    m_timeouts.update(published->longest_timeouts(), now);
    const auto to_usability = [this](const endpoint_entry& entry) {
        using usability = endpoint_pool::usability;
        if (m_settings.region_of(entry.failure_domain) != m_settings.region) {
            return usability::other_region;
        }
        return m_state.is_evacuated(entry.failure_domain) ? usability::evacuated
                                                          : usability::usable;
    };
    const auto find_service = [&published](const std::string& name) {
        return published->find_service(name);
    };
    m_pool.update(m_state.endpoints(), to_usability, find_service, read_at, now);
    if (m_pool.size() > 0 && !std::exchange(m_has_endpoints, true)) {
        m_pool.on_host_start(read_at);
        m_checker.check_after_start(
            std::max<duration>(duration{0}, m_started + hearing_time - now));
        begin_start(now);
    }
    for (const auto& [name, of] : published->organisations()) {
        m_usage.set_limit(name, {of.rate, of.burst});
    }
    m_context.capacities = to_capacities(m_state, m_settings);
    m_checker.check_reinstated();
    const caller_limits& limits = published->limits;
    m_callers.set_limits({.message = {limits.max_header_bytes, limits.max_body_bytes},
                          .head_timeout = limits.header_timeout,
                          .idle_timeout = limits.idle_timeout});
    m_peers.set_limits({.message = to_forwarded_limits(limits)});
    place_waiting();
}

} // namespace hickorykeel::gateway
