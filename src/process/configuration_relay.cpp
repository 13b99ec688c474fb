#include "process/configuration_relay.h"

#include <algorithm> // all_of, any_of, max, min, sort
#include <utility>   // move

namespace hickorykeel {

namespace detail {
namespace {

constexpr std::uint64_t fnv_offset = 14'695'981'039'346'656'037U;
constexpr std::uint64_t fnv_prime = 1'099'511'628'211U;

std::uint64_t add_text(std::uint64_t hash, const std::string& text) noexcept
{
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * fnv_prime;
    }
    return hash;
}

/// Finalizer of SplitMix64: FNV alone leaves similar names with similar scores.
std::uint64_t mix(std::uint64_t hash) noexcept
{
    hash = (hash ^ (hash >> 30U)) * 0xBF58476D1CE4E5B9U;
    hash = (hash ^ (hash >> 27U)) * 0x94D049BB133111EBU;
    return hash ^ (hash >> 31U);
}

/// The `count` hosts with the highest scores for `chooser`.
std::vector<const host*> choose(std::vector<const host*> from, const std::string& chooser,
                                std::size_t count)
{
    const auto has_higher_score = [&chooser](const host* lhs, const host* rhs) {
        return rendezvous_score(chooser, lhs->name) > rendezvous_score(chooser, rhs->name);
    };
    std::sort(from.begin(), from.end(), has_higher_score);
    from.resize(std::min(from.size(), count));
    return from;
}

bool holds_newer(const held_revisions& theirs, const held_revisions& own) noexcept
{
    return theirs.entries > own.entries || theirs.hosts > own.hosts;
}

void raise(held_revisions& known, const held_revisions& seen) noexcept
{
    known.entries = std::max(known.entries, seen.entries);
    known.hosts = std::max(known.hosts, seen.hosts);
}

} // namespace
} // namespace detail

configuration_relay::configuration_relay(options chosen, time_point start)
    : m_options{std::move(chosen)}, m_start{start}
{
    set_peers(m_options.seeds);
}

void configuration_relay::set_hosts(const host_list& hosts)
{
    std::vector<const host*> elsewhere;
    std::vector<const host*> live_here;
    std::vector<std::string> addresses;
    m_address_by_host.clear();
    for (const auto& each : hosts.hosts) {
        const bool is_own = each.name == m_options.host;
        const bool is_here = each.failure_domain == m_options.failure_domain;
        if (!is_own) {
            m_address_by_host[each.name] = each.configd_address;
        }
        if (is_here && each.state == host_state::live) {
            live_here.push_back(&each);
        }
        if (is_here && !is_own) {
            addresses.push_back(each.configd_address);
        }
        if (!is_here && each.state == host_state::live) {
            elsewhere.push_back(&each);
        }
    }
    for (const auto* each : detail::choose(elsewhere, m_options.host, peers_elsewhere)) {
        addresses.push_back(each->configd_address);
    }
    const auto watchers = detail::choose(live_here, m_options.failure_domain, watchers_per_domain);
    m_is_watcher = std::any_of(watchers.begin(), watchers.end(),
                               [this](const host* each) { return each->name == m_options.host; });
    m_has_hosts = true;
    set_peers(addresses);
}

std::vector<std::string> configuration_relay::take_due(time_point now)
{
    std::vector<std::string> due;
    for (auto& [address, known] : m_peers) {
        if (!known.asked_at || now - *known.asked_at >= ask_interval) {
            known.asked_at = now;
            due.push_back(address);
        }
    }
    return due;
}

std::vector<std::string> configuration_relay::take_behind(const held_revisions& held,
                                                          time_point now)
{
    std::vector<std::string> behind;
    for (auto& [address, known] : m_peers) {
        if (detail::holds_newer(held, known.holds)) {
            known.asked_at = now;
            behind.push_back(address);
        }
    }
    return behind;
}

void configuration_relay::on_answer(const std::string& address, const held_revisions& theirs)
{
    const auto it = m_peers.find(address);
    if (it != m_peers.end()) {
        it->second.has_answered = true;
        detail::raise(it->second.holds, theirs);
    }
}

std::optional<std::string> configuration_relay::on_question(const std::string& sender,
                                                            const held_revisions& theirs,
                                                            const held_revisions& held)
{
    const auto it = m_address_by_host.find(sender.substr(0, sender.find('/')));
    if (it == m_address_by_host.end() || !sender.ends_with("/configd")) {
        return std::nullopt;
    }
    const auto known = m_peers.find(it->second);
    if (known != m_peers.end()) {
        detail::raise(known->second.holds, theirs);
    }
    if (!detail::holds_newer(theirs, held)) {
        return std::nullopt;
    }
    return it->second;
}

bool configuration_relay::should_read_platform(time_point now, const held_revisions& held,
                                               std::optional<time_point> confirmed_at)
{
    if (!is_platform_trusted(now, held)) {
        return false;
    }
    const bool is_fresh = confirmed_at && now - *confirmed_at < freshness_limit;
    return m_is_watcher || !m_has_hosts || !is_fresh;
}

void configuration_relay::set_peers(const std::vector<std::string>& addresses)
{
    std::map<std::string, peer> peers;
    for (const auto& address : addresses) {
        const auto it = m_peers.find(address);
        peers[address] = it == m_peers.end() ? peer{} : it->second;
    }
    m_peers = std::move(peers);
}

bool configuration_relay::is_platform_trusted(time_point now, const held_revisions& held)
{
    const auto is_level = [&held](const auto& item) {
        return item.second.has_answered && !detail::holds_newer(item.second.holds, held);
    };
    m_is_trusted = m_is_trusted || now - m_start >= start_wait ||
                   std::all_of(m_peers.begin(), m_peers.end(), is_level);
    return m_is_trusted;
}

std::uint64_t rendezvous_score(const std::string& chooser, const std::string& host) noexcept
{
    const auto chooser_hash = detail::mix(detail::add_text(detail::fnv_offset, chooser));
    return detail::mix(detail::add_text(chooser_hash, host));
}

} // namespace hickorykeel
