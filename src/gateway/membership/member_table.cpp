#include "gateway/membership/member_table.h"

#include <algorithm> // any_of, count_if, find, max
#include <utility>   // move

namespace hickorykeel::gateway {

namespace {

/// Whether two heartbeats show the same state, as far as other hosts should learn of a change at
/// once.
bool has_same_state(const heartbeat& lhs, const heartbeat& rhs)
{
    return lhs.incarnation == rhs.incarnation && lhs.is_ready == rhs.is_ready &&
           lhs.is_leaving == rhs.is_leaving && lhs.has_configuration == rhs.has_configuration &&
           lhs.lacks_endpoint_path == rhs.lacks_endpoint_path;
}

/// Takes over the state in a report about a host.
void update_state(heartbeat& state, const relayed_member& reported)
{
    state.ip = reported.ip;
    state.incarnation = reported.incarnation;
    state.sequence = reported.sequence;
    state.is_ready = reported.is_ready;
    state.is_leaving = reported.is_leaving;
    state.has_configuration = reported.has_configuration;
    state.configuration_age = reported.configuration_age;
    state.lacks_endpoint_path = reported.lacks_endpoint_path;
}

} // namespace

member_table::member_table(std::string own_ip, const std::vector<std::string>& seed_ips,
                           member_table_options options, std::string own_region)
    : m_own_ip{std::move(own_ip)}, m_own_region{std::move(own_region)}, m_options{options}
{
    set_seeds(seed_ips);
}

void member_table::set_seeds(const std::vector<std::string>& seed_ips)
{
    m_seeds.clear();
    for (const std::string& ip : seed_ips) {
        if (ip != m_own_ip && std::find(m_seeds.begin(), m_seeds.end(), ip) == m_seeds.end()) {
            m_seeds.push_back(ip);
        }
    }
}

bool member_table::is_seed(const std::string& ip) const
{
    return std::find(m_seeds.begin(), m_seeds.end(), ip) != m_seeds.end();
}

bool member_table::is_live(const member& candidate, time_point now) const noexcept
{
    if (candidate.region == nullptr || candidate.is_lost) {
        return false;
    }
    return (is_heard(candidate, now) &&
            now - candidate.region->last_seen < region_timeout(candidate)) ||
           is_reported(candidate, now);
}

/// Whether other hosts report `candidate` as live.
bool member_table::is_reported(const member& candidate, time_point now) const noexcept
{
    const duration report_timeout = candidate.report_interval * m_options.max_lost_heartbeats;
    return now - candidate.last_seen < report_timeout &&
           now - candidate.region->last_seen < m_options.relay_timeout;
}

duration member_table::region_timeout(const member& candidate) const noexcept
{
    // with several hosts within their timeout, heartbeats of the region arrive the more often: if
    // none does for that fraction of the host's timeout, the region is partitioned from this host,
    // or lost
    return std::max<duration>(m_options.heartbeat_timeout,
                              host_timeout(candidate) /
                                  std::max(1, candidate.region->hosts_within_timeout));
}

duration member_table::host_timeout(const member& candidate) const noexcept
{
    return std::max<duration>(m_options.heartbeat_timeout,
                              candidate.last.interval * m_options.max_lost_heartbeats);
}

/// Collects the hosts of each region anew.
void member_table::update_regions(time_point now)
{
    for (auto& [name, region] : m_regions) {
        region.hosts_within_timeout = 0;
        region.hosts.clear();
    }
    for (const auto& [ip, held] : m_members) {
        held.region->hosts.push_back(&held);
        held.region->hosts_within_timeout += is_heard(held, now) ? 1 : 0;
    }
}

/// Adds `held` to the hosts of the region that its state names, unless it is among them.
void member_table::assign_region(member& held)
{
    region_members& region = m_regions[held.last.region];
    if (held.region == &region) {
        return;
    }
    if (held.region != nullptr) {
        std::erase(held.region->hosts, &held);
    }
    region.hosts.push_back(&held);
    held.region = &region;
}

member* member_table::find_or_add(const std::string& ip)
{
    const auto found = m_members.find(ip);
    if (found != m_members.end()) {
        return &found->second;
    }
    return m_members.size() < m_options.max_hosts ? &m_members[ip] : nullptr;
}

/// Records that `held` was seen at `seen_at`, after its other fields were updated. `was_leaving`:
/// whether the same process was known to be leaving.
member_change member_table::record(member& held, time_point seen_at, bool was_live,
                                   bool was_leaving, bool has_changed)
{
    assign_region(held);
    if (held.last.is_leaving && !was_leaving) {
        held.leaving_since = seen_at;
    }
    held.region->last_seen = std::max(held.region->last_seen, seen_at);
    held.region->hosts_within_timeout += was_live ? 0 : 1;
    held.last_seen = std::max(held.last_seen, seen_at);
    held.is_lost = false;
    held.silent_since.reset();
    if (!was_live) {
        return member_change::became_live;
    }
    return has_changed ? member_change::changed : member_change::updated;
}

member_change member_table::on_heartbeat(heartbeat received, time_point now)
{
    if (received.ip == m_own_ip) {
        return member_change::none;
    }
    member* const held = find_or_add(received.ip);
    if (held == nullptr) {
        return member_change::none;
    }
    const bool is_same_process = received.incarnation == held->last.incarnation;
    if (is_same_process &&
        (received.sequence <= held->heard_sequence || received.sequence < held->last.sequence)) {
        return member_change::none;
    }
    const bool was_live = is_live(*held, now);
    const bool was_leaving = is_same_process && held->last.is_leaving;
    const bool has_changed = !has_same_state(held->last, received);
    held->last = std::move(received);
    held->heard_at = now;
    held->heard_sequence = held->last.sequence;
    return record(*held, now, was_live, was_leaving, has_changed);
}

member_change member_table::on_report(const relayed_member& reported, const std::string& region,
                                      const std::string& failure_domain, duration interval,
                                      time_point now)
{
    if (reported.ip == m_own_ip) {
        return member_change::none;
    }
    if (reported.is_lost) {
        return on_lost(reported, now);
    }
    const time_point seen_at = now - reported.age;
    if (seen_at <= time_point{}) {
        return member_change::none; // before the clock's start
    }
    member* const held = find_or_add(reported.ip);
    if (held == nullptr) {
        return member_change::none;
    }
    const bool is_same_process = reported.incarnation == held->last.incarnation;
    held->report_interval = interval;
    if (is_same_process ? reported.sequence <= held->last.sequence : seen_at <= held->last_seen) {
        return member_change::none;
    }
    const bool was_live = is_live(*held, now);
    const bool was_leaving = is_same_process && held->last.is_leaving;
    if (!is_same_process) {
        held->last = {};
        held->last.host = reported.ip; // its name is known from its own heartbeats only
        held->heard_sequence = 0;
        held->heard_at = {};
    }
    const bool has_changed = !is_same_process || held->last.is_ready != reported.is_ready ||
                             held->last.is_leaving != reported.is_leaving ||
                             held->last.has_configuration != reported.has_configuration ||
                             held->last.lacks_endpoint_path != reported.lacks_endpoint_path;
    update_state(held->last, reported);
    held->last.region = region;
    held->last.failure_domain = failure_domain;
    return record(*held, seen_at, was_live, was_leaving, has_changed);
}

void member_table::on_introduction(const relayed_member& introduced, const std::string& region,
                                   const std::string& failure_domain, duration interval,
                                   time_point now)
{
    const time_point heard_at = now - introduced.age;
    if (introduced.ip == m_own_ip || heard_at <= time_point{}) {
        return;
    }
    member* const held = find_or_add(introduced.ip);
    if (held == nullptr) {
        return;
    }
    if (held->region == nullptr) {
        held->last.ip = introduced.ip;
        held->last.host = introduced.ip; // its name is known from its own heartbeats only
        held->last.incarnation = introduced.incarnation;
        held->last.is_leaving = introduced.is_leaving;
        held->last.region = region;
        held->last.failure_domain = failure_domain;
        assign_region(*held);
    }
    held->introduced_at = std::max(held->introduced_at, heard_at);
    held->introduction_interval = interval;
}

/// Handles a report that a host's heartbeats have stopped.
member_change member_table::on_lost(const relayed_member& reported, time_point now)
{
    const auto found = m_members.find(reported.ip);
    if (found == m_members.end() || found->second.last.incarnation != reported.incarnation ||
        found->second.is_lost) {
        return member_change::none;
    }
    member& held = found->second;
    if (is_heard(held, now) || held.last.sequence > reported.sequence) {
        return member_change::refuted;
    }
    held.is_lost = true;
    return member_change::changed;
}

bool member_table::on_silence(const std::string& ip, time_point now)
{
    const auto found = m_members.find(ip);
    if (found == m_members.end()) {
        return false;
    }
    member& held = found->second;
    if (held.is_lost || is_heard(held, now) || held.last.sequence > held.heard_sequence) {
        return false;
    }
    held.is_lost = true;
    return true;
}

void member_table::on_services(const std::string& region, service_loads services,
                               time_point reported_at)
{
    region_members& known = m_regions[region];
    if (reported_at > known.services_seen) {
        known.services = std::move(services);
        known.services_seen = reported_at;
        known.last_seen = std::max(known.last_seen, reported_at);
    }
}

/// Whether nobody hears `candidate`, as far as is known here, though it hasn't said that it ends.
bool member_table::is_silent(const member& candidate, time_point now) const
{
    return !candidate.last.is_leaving && !is_live(candidate, now) &&
           !is_heard_elsewhere(candidate, now);
}

bool member_table::has_few_silent(time_point now) const
{
    const auto silent = std::count_if(m_members.begin(), m_members.end(), [&](const auto& item) {
        return is_silent(item.second, now);
    });
    return static_cast<double>(silent) <=
           m_options.few_silent * static_cast<double>(m_members.size() + 1);
}

/// Whether `candidate` has ended, as far as can be told. Silence alone doesn't tell: a region that is
/// cut off may serve for long.
bool member_table::is_gone(const member& candidate, bool has_few_silent, time_point now) const
{
    const duration silence = now - std::max(candidate.last_seen, candidate.introduced_at);
    if (silence < m_options.retention) {
        return false;
    }
    const std::string& region = candidate.last.region;
    const bool is_region_heard = region == m_own_region || has_live_host(region, now);
    return candidate.last.is_leaving || (has_few_silent && is_region_heard) ||
           silence >= m_options.partition_retention;
}

std::vector<std::string> member_table::expire(time_point now)
{
    update_regions(now);
    const bool few_are_silent = has_few_silent(now);
    std::vector<std::string> lost_hosts;
    for (auto it = m_members.begin(); it != m_members.end();) {
        auto& [ip, held] = *it;
        if (!is_live(held, now) && !held.silent_since) {
            held.silent_since = now;
            if (held.last_seen != time_point{}) {
                lost_hosts.push_back(held.last.host);
            }
        }
        if (!is_gone(held, few_are_silent, now)) {
            ++it;
            continue;
        }
        std::erase(held.region->hosts, &held);
        it = m_members.erase(it);
    }
    return lost_hosts;
}

std::vector<const member*> member_table::live(time_point now) const
{
    std::vector<const member*> found;
    for (const auto& [ip, held] : m_members) {
        if (is_live(held, now)) {
            found.push_back(&held);
        }
    }
    return found;
}

std::vector<const member*> member_table::ready(time_point now) const
{
    std::vector<const member*> found;
    for (const auto& [ip, held] : m_members) {
        if (is_ready(held, now)) {
            found.push_back(&held);
        }
    }
    return found;
}

const member* member_table::find(const std::string& ip) const
{
    const auto found = m_members.find(ip);
    return found == m_members.end() ? nullptr : &found->second;
}

bool member_table::has_live_host(const std::string& region, time_point now) const
{
    const auto found = m_regions.find(region);
    return found != m_regions.end() &&
           std::any_of(found->second.hosts.begin(), found->second.hosts.end(),
                       [&](const member* host) { return is_live(*host, now); });
}

std::size_t member_table::unknown_seeds() const
{
    return static_cast<std::size_t>(
        std::count_if(m_seeds.begin(), m_seeds.end(),
                      [this](const auto& ip) { return !m_members.contains(ip); }));
}

} // namespace hickorykeel::gateway
