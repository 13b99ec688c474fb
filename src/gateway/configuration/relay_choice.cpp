#include "gateway/configuration/relay_choice.h"

#include "gateway/membership/aggregator_choice.h"
#include "gateway/routing/rendezvous.h"

#include <algorithm> // find
#include <cstdint>   // uint64_t
#include <utility>   // exchange, move

namespace hickorykeel::gateway {

namespace {

constexpr std::uint64_t peer_key = 2; // hash key that separates this choice from other hashes

/// Age of a peer host's configuration: the age in its last heartbeat plus the time since then.
duration reported_age(const member& host, time_point now)
{
    return host.last.configuration_age + (now - host.last_seen);
}

} // namespace

relay_choice::relay_choice(relay_choice_options options, const member_table& members,
                           time_point started)
    : m_options{std::move(options)}, m_members{members}, m_started{started},
      // hosts that start at once query different peers
      m_next_peer{static_cast<std::size_t>(rendezvous_weight(peer_key, m_options.ip))}
{
}

bool relay_choice::update(time_point now)
{
    std::vector<aggregator_candidate> candidates{{m_options.ip, m_options.failure_domain}};
    for (const member* host : m_members.live(now)) {
        if (host->last.region == m_options.region && !host->last.is_leaving) {
            candidates.push_back({host->last.ip, host->last.failure_domain});
        }
    }
    m_readers = choose_aggregators(candidates, m_options.max_readers);
    const bool is_reader =
        std::find(m_readers.begin(), m_readers.end(), m_options.ip) != m_readers.end();
    return std::exchange(m_is_reader, is_reader) != is_reader;
}

const member* relay_choice::select_reader(const relay_choice_state& own, time_point now) const
{
    if (m_is_reader || !own.has_configuration) {
        return nullptr;
    }
    const member* freshest = nullptr;
    duration min_age = m_options.max_relay_age;
    for (const std::string& ip : m_readers) {
        const member* candidate = m_members.find(ip);
        if (candidate == nullptr || !candidate->last.has_configuration) {
            continue;
        }
        const duration age = reported_age(*candidate, now);
        if (age < min_age) {
            freshest = candidate;
            min_age = age;
        }
    }
    return freshest;
}

/// Returns the next live host of the own region that is wanted, or else one of another region.
relay_choice::found_peer
relay_choice::find_peer(const std::function<bool(const member&)>& is_wanted, time_point now)
{
    const auto hosts = m_members.live(now);
    found_peer found;
    // round robin, so that a peer that does not respond is not queried again at once
    for (std::size_t examined = 0; examined < hosts.size(); ++examined) {
        const member* candidate = hosts[m_next_peer++ % hosts.size()];
        if (!candidate->last.has_configuration || !is_wanted(*candidate)) {
            continue;
        }
        if (candidate->last.region == m_options.region) {
            return {candidate, true};
        }
        found.host = found.host == nullptr ? candidate : found.host;
    }
    return found;
}

const member* relay_choice::select_fresher_peer(const relay_choice_state& own, time_point now)
{
    const auto is_fresher = [&](const member& host) {
        return reported_age(host, now) + m_options.min_age_gain < own.age;
    };
    const found_peer found = find_peer(is_fresher, now);
    return found.is_in_region || may_query_other_regions(own, now) ? found.host : nullptr;
}

const member* relay_choice::select_newer_peer(const relay_choice_state& own, time_point now)
{
    const auto is_newer = [&](const member& host) {
        return host.last.configuration_version > own.version;
    };
    const found_peer found = find_peer(is_newer, now);
    return own.has_configuration && lags_too_long(found.host != nullptr, now) ? found.host
                                                                              : nullptr;
}

const member* relay_choice::select_informed_peer(const relay_choice_state& own, time_point now)
{
    const auto is_informed = [&](const member& host) {
        return host.last.operator_change > own.operator_changes;
    };
    const found_peer found = find_peer(is_informed, now);
    return found.is_in_region || own.age >= m_options.max_relay_age ? found.host : nullptr;
}

bool relay_choice::lags_too_long(bool has_newer_peer, time_point now)
{
    if (!has_newer_peer) {
        m_lags_since.reset();
        return false;
    }
    m_lags_since = m_lags_since.value_or(now);
    return now - m_started < m_options.starting_time ||
           now - *m_lags_since >= m_options.max_version_lag;
}

bool relay_choice::waits_for_peers(const relay_choice_state& own, time_point now) const
{
    return !m_is_reader && !own.has_configuration &&
           now - own.source_read_at < m_options.unconfigured_read_interval;
}

bool relay_choice::gives_up_read(const relay_choice_state& own, time_point now) const
{
    return waits_for_peers(own, now) && now - own.source_read_at >= m_options.max_unconfigured_read;
}

bool relay_choice::may_query_other_regions(const relay_choice_state& own, time_point now) const
{
    return m_is_reader || own.has_configuration || now - m_started >= m_options.cross_region_delay;
}

} // namespace hickorykeel::gateway
