#include "gateway/membership/heartbeat_schedule.h"

#include "gateway/membership/aggregator_choice.h"

#include <algorithm> // any_of, find, max, min
#include <utility>   // exchange, move

namespace hickorykeel::gateway {

namespace {

bool contains(const std::vector<std::string>& ips, const std::string& ip)
{
    return std::find(ips.begin(), ips.end(), ip) != ips.end();
}

} // namespace

void heartbeat_schedule::on_heartbeat(const std::string& ip, const std::string& region,
                                      digest_subscription wanted, time_point now)
{
    if (wanted == digest_subscription::none) {
        m_subscribers.erase(ip);
        return;
    }
    m_subscribers[ip] = {region, wanted, now};
}

std::vector<std::string> heartbeat_schedule::take_silent_subscribers(time_point now)
{
    std::vector<std::string> silent;
    for (auto it = m_subscribers.begin(); it != m_subscribers.end();) {
        const auto& [ip, held] = *it;
        if (now - held.last_heard < m_options.subscription_timeout) {
            ++it;
            continue;
        }
        if (held.region == m_own.region) {
            silent.push_back(ip);
        }
        it = m_subscribers.erase(it);
    }
    return silent;
}

std::vector<heartbeat_recipient> heartbeat_schedule::choose(const member_table& members,
                                                            std::uint64_t sequence, bool is_leaving,
                                                            time_point now)
{
    replace_silent(members, now);
    recipients chosen;
    add_own_aggregators(chosen, members, is_leaving, now);
    if (m_is_aggregator) {
        add_other_aggregators(chosen, members, now);
        add_lost_hosts(chosen, members, now);
    }
    // forgets the hosts that are aggregators no longer
    std::erase_if(m_contacts, [&](const auto& item) { return !chosen.contains(item.first); });
    add_subscribers(chosen, sequence, now);
    add_seeds(chosen, members, sequence, now);
    add_former(chosen);
    std::vector<heartbeat_recipient> result;
    result.reserve(chosen.size());
    for (auto& [ip, recipient] : chosen) {
        result.push_back(std::move(recipient));
    }
    return result;
}

/// Marks the aggregators as replaced that haven't been heard within the timeout.
void heartbeat_schedule::replace_silent(const member_table& members, time_point now)
{
    for (auto& [ip, held] : m_contacts) {
        const member* const host = members.find(ip);
        const time_point heard_at = host == nullptr ? time_point{} : host->heard_at;
        const duration timeout = held.wanted == digest_subscription::primary
                                     ? m_options.primary_timeout
                                     : m_options.standby_timeout;
        if (held.replaced_at && heard_at > *held.replaced_at) {
            held.replaced_at.reset();
        }
        if (!held.replaced_at && now - std::max(held.since, heard_at) >= timeout) {
            held.replaced_at = now;
        }
    }
}

bool heartbeat_schedule::has_replaced_any() const
{
    return std::any_of(m_contacts.begin(), m_contacts.end(),
                       [](const auto& item) { return item.second.replaced_at.has_value(); });
}

bool heartbeat_schedule::has_replaced(const std::string& ip) const
{
    const auto found = m_contacts.find(ip);
    return found != m_contacts.end() && found->second.replaced_at.has_value();
}

/// Returns the aggregators of `region`, with this host if it is one: hosts that are not leaving, or,
/// if all of its hosts are, some of those, which still have to hear of the others and be heard.
std::vector<std::string> heartbeat_schedule::choose_region(const member_table& members,
                                                           const std::string& region,
                                                           candidates allowed, bool is_leaving,
                                                           time_point now) const
{
    const bool excludes_replaced = allowed == candidates::not_replaced && has_replaced_any();
    std::vector<aggregator_candidate> staying;
    std::vector<aggregator_candidate> leaving;
    if (region == m_own.region) {
        (is_leaving ? leaving : staying).push_back({m_own.ip, m_own.failure_domain});
    }
    for (const auto& [ip, host] : members.all()) {
        if (host.last.region == region && members.is_live(host, now) &&
            !(excludes_replaced && has_replaced(ip))) {
            (host.last.is_leaving ? leaving : staying).push_back({ip, host.last.failure_domain});
        }
    }
    return choose_aggregators(staying.empty() ? leaving : staying, m_options.max_aggregators);
}

/// Returns the aggregator whose digests this host wants with every heartbeat: one of its own
/// failure domain if there is one. Empty if there is no other aggregator.
std::string heartbeat_schedule::primary_of(const member_table& members) const
{
    std::string primary;
    for (const std::string& ip : m_aggregators) {
        const member* const host = members.find(ip);
        if (host == nullptr) {
            continue; // this host
        }
        if (host->last.failure_domain == m_own.failure_domain) {
            return ip;
        }
        if (primary.empty()) {
            primary = ip;
        }
    }
    return primary;
}

void heartbeat_schedule::expect_digests(const std::string& ip, digest_subscription wanted,
                                        time_point now)
{
    contact& expected = m_contacts.try_emplace(ip, contact{now, {}, {}}).first->second;
    if (expected.wanted != wanted) {
        expected.since = now;
        expected.wanted = wanted;
    }
}

void heartbeat_schedule::add_own_aggregators(recipients& chosen, const member_table& members,
                                             bool is_leaving, time_point now)
{
    m_aggregators = choose_region(members, m_own.region, candidates::not_replaced, is_leaving, now);
    m_is_aggregator = contains(m_aggregators, m_own.ip);
    const std::string primary = primary_of(members);
    for (const std::string& ip : m_aggregators) {
        if (ip == m_own.ip) {
            continue;
        }
        // an aggregator collects the state itself
        const auto wanted = ip == primary && !m_is_aggregator ? digest_subscription::primary
                                                              : digest_subscription::standby;
        expect_digests(ip, wanted, now);
        chosen[ip] = {ip, heartbeat_content::own_state, wanted, {}};
    }
    // a replaced aggregator stays in contact: others may still use it, and then only through it do
    // the two groups of hosts hear of each other
    if (!has_replaced_any()) {
        return;
    }
    for (const std::string& ip :
         choose_region(members, m_own.region, candidates::all, is_leaving, now)) {
        if (ip != m_own.ip && !chosen.contains(ip)) {
            expect_digests(ip, digest_subscription::standby, now);
            chosen[ip] = {ip, heartbeat_content::own_state, digest_subscription::standby, {}};
        }
    }
}

/// Returns the host that follows `last` among the hosts of `region`, by ip.
/// Precondition: it has hosts.
std::string heartbeat_schedule::next_host(const region_members& region, const std::string& last)
{
    const member* first = nullptr;
    const member* next = nullptr;
    const auto precedes = [](const member* lhs, const member* rhs) {
        return rhs == nullptr || lhs->last.ip < rhs->last.ip;
    };
    for (const member* host : region.hosts) {
        first = precedes(host, first) ? host : first;
        next = host->last.ip > last && precedes(host, next) ? host : next;
    }
    return (next == nullptr ? first : next)->last.ip;
}

/// Adds hosts that are known but not live: the next one, by ip, of each other region without a live
/// host, since any of them makes the others known, and as many others as the limit leaves.
void heartbeat_schedule::add_lost_hosts(recipients& chosen, const member_table& members,
                                        time_point now)
{
    const auto add = [&chosen](const std::string& ip) {
        chosen.try_emplace(ip, heartbeat_recipient{ip, {}, digest_subscription::primary, {}});
    };
    std::map<std::string, std::string> last_unheard; // by region
    for (const auto& [region, state] : members.regions()) {
        if (region != m_own.region && !state.hosts.empty() && !members.has_live_host(region, now)) {
            const std::string ip = next_host(state, m_last_unheard[region]);
            last_unheard[region] = ip;
            add(ip);
        }
    }
    m_last_unheard = std::move(last_unheard);
    const auto& all = members.all();
    auto it = all.upper_bound(m_last_lost_host);
    const std::size_t limit = std::max<std::size_t>(1, m_options.lost_hosts_per_heartbeat);
    std::size_t left = limit - std::min(limit - 1, m_last_unheard.size());
    for (std::size_t examined = 0; examined < all.size() && left > 0; ++examined) {
        it = it == all.end() ? all.begin() : it;
        const auto& [ip, host] = *it++;
        if (!members.is_live(host, now) && !m_last_unheard.contains(host.last.region)) {
            add(ip);
            m_last_lost_host = ip;
            --left;
        }
    }
}

/// Adds the hosts whose digests this host wants no longer, so that they don't miss its heartbeats.
void heartbeat_schedule::add_former(recipients& chosen)
{
    std::vector<std::string> wanted;
    for (const auto& [ip, recipient] : chosen) {
        if (recipient.wanted != digest_subscription::none) {
            wanted.push_back(ip);
        }
    }
    for (const std::string& ip : std::exchange(m_wanted, std::move(wanted))) {
        chosen.try_emplace(ip, heartbeat_recipient{ip, {}, {}, {}});
    }
}

void heartbeat_schedule::add_other_aggregators(recipients& chosen, const member_table& members,
                                               time_point now)
{
    for (const auto& [region, state] : members.regions()) {
        if (region == m_own.region) {
            continue;
        }
        for (const candidates allowed : {candidates::not_replaced, candidates::all}) {
            for (const std::string& ip : choose_region(members, region, allowed, false, now)) {
                expect_digests(ip, digest_subscription::standby, now);
                chosen[ip] = {ip, heartbeat_content::summary, digest_subscription::primary, region};
            }
        }
    }
}

void heartbeat_schedule::add_subscribers(recipients& chosen, std::uint64_t sequence,
                                         time_point now) const
{
    for (const auto& [ip, held] : m_subscribers) {
        const bool is_standby =
            held.region == m_own.region && held.wanted == digest_subscription::standby;
        if (now - held.last_heard >= m_options.subscription_timeout ||
            (is_standby && sequence % m_options.standby_interval != 0)) {
            continue;
        }
        heartbeat_recipient& recipient =
            chosen.try_emplace(ip, heartbeat_recipient{ip, {}, {}, {}}).first->second;
        recipient.content = content_for(ip, held);
        if (recipient.content == heartbeat_content::summary) {
            recipient.region = held.region;
        }
    }
}

heartbeat_content heartbeat_schedule::content_for(const std::string& ip,
                                                  const subscriber& held) const
{
    if (held.region != m_own.region) {
        return heartbeat_content::summary;
    }
    if (held.wanted == digest_subscription::primary) {
        return heartbeat_content::digest;
    }
    return contains(m_aggregators, ip) ? heartbeat_content::standby_digest
                                       : heartbeat_content::brief_digest;
}

void heartbeat_schedule::add_seeds(recipients& chosen, const member_table& members,
                                   std::uint64_t sequence, time_point now) const
{
    if (sequence > m_options.initial_seed_heartbeats && sequence % m_options.seed_interval != 0) {
        return;
    }
    for (const std::string& ip : members.seeds()) {
        const member* const host = members.find(ip);
        if (host == nullptr || !members.is_live(*host, now)) {
            chosen.try_emplace(ip, heartbeat_recipient{ip, {}, {}, {}}).first->second.wanted =
                digest_subscription::primary;
        }
    }
}

} // namespace hickorykeel::gateway
