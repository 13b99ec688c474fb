#include "standins/platform_store.h"

#include <algorithm> // max, min

namespace hickorykeel::standins {

namespace {

constexpr std::chrono::seconds one_second{1};

nlohmann::json to_json(const std::string& key, std::uint64_t revision, const nlohmann::json& value)
{
    if (value.is_null()) {
        return {{"key", key}, {"revision", revision}, {"deleted", true}};
    }
    return {{"key", key}, {"revision", revision}, {"value", value}};
}

} // namespace

std::variant<std::uint64_t, std::string> platform_store::put_entries(const nlohmann::json& changes)
{
    if (!changes.is_object() || changes.empty()) {
        return "must be an object of keys and values";
    }
    for (const auto& [key, value] : changes.items()) {
        if (value.dump().size() > maximum_value) {
            return key + " is larger than " + std::to_string(maximum_value) + " bytes";
        }
    }
    const std::lock_guard lock{m_mutex};
    ++m_revision;
    for (const auto& [key, value] : changes.items()) {
        take_change({key, m_revision, value});
    }
    m_entries.revision = m_revision;
    m_changed.notify_all();
    return m_revision;
}

std::variant<std::uint64_t, std::string> platform_store::put_hosts(const nlohmann::json& hosts)
{
    if (!hosts.is_array()) {
        return "must be a list";
    }
    const std::lock_guard lock{m_mutex};
    ++m_revision;
    m_hosts.push_back({m_revision, hosts, clock::now()});
    m_changed.notify_all();
    return m_revision;
}

void platform_store::set_mode(platform_mode mode, std::chrono::milliseconds hosts_lag)
{
    const std::lock_guard lock{m_mutex};
    m_hosts_lag = hosts_lag;
    if (mode == platform_mode::stale && m_mode != platform_mode::stale) {
        m_frozen_entries = m_entries;
        m_frozen_hosts = seen_hosts();
    }
    if (mode == platform_mode::live) {
        m_frozen_entries.reset();
        m_frozen_hosts.reset();
    }
    m_mode = mode;
    m_changed.notify_all();
}

platform_counts platform_store::counts() const
{
    const std::lock_guard lock{m_mutex};
    auto counts = m_counts;
    const auto now = clock::now();
    if (now - m_second_start >= 2 * one_second) {
        counts.last_second = 0;
    }
    else if (now - m_second_start >= one_second) {
        counts.last_second = m_this_second;
    }
    counts.peak_second = std::max(counts.peak_second, m_this_second);
    const std::chrono::duration<double> age = now - m_first_call;
    counts.per_second = counts.total == 0 ? 0 : static_cast<double>(counts.total) / age.count();
    return counts;
}

void platform_store::stop()
{
    const std::lock_guard lock{m_mutex};
    m_is_stopped = true;
    m_changed.notify_all();
}

platform_mode platform_store::mode() const
{
    const std::lock_guard lock{m_mutex};
    return m_mode;
}

bool platform_store::take_call()
{
    const std::lock_guard lock{m_mutex};
    const auto now = clock::now();
    if (m_counts.total == 0) {
        m_first_call = now;
        m_second_start = now;
    }
    count_second(now);
    ++m_counts.total;
    ++m_this_second;
    if (m_read_rate > 0 && m_this_second > m_read_rate) {
        ++m_counts.refused;
        return false;
    }
    return true;
}

nlohmann::json platform_store::read_entries(std::uint64_t after, std::chrono::milliseconds wait)
{
    std::unique_lock lock{m_mutex};
    const auto limit = clock::now() + std::min(wait, maximum_wait);
    // a reader above the seen revision is answered at once with the whole
    while (after != 0 && seen_entries().revision == after && !must_end_wait() &&
           clock::now() < limit) {
        m_changed.wait_until(lock, limit);
    }
    return to_answer(seen_entries(), after);
}

nlohmann::json platform_store::read_hosts(std::uint64_t after, std::chrono::milliseconds wait)
{
    std::unique_lock lock{m_mutex};
    const auto limit = clock::now() + std::min(wait, maximum_wait);
    while (seen_hosts().revision <= after && !must_end_wait() && clock::now() < limit) {
        m_changed.wait_until(lock, next_change(limit));
    }
    const auto& seen = seen_hosts();
    return {{"revision", seen.revision}, {"hosts", seen.hosts}};
}

void platform_store::take_change(const change& taken)
{
    if (taken.value.is_null()) {
        m_entries.by_key.erase(taken.key);
    }
    else {
        m_entries.by_key[taken.key] = taken;
    }
    m_entries.log.push_back(taken);
    if (m_entries.log.size() > maximum_log) {
        m_entries.log_base = m_entries.log.front().revision;
        m_entries.log.pop_front();
    }
}

const platform_store::entry_state& platform_store::seen_entries() const
{
    return m_frozen_entries ? *m_frozen_entries : m_entries;
}

const platform_store::hosts_state& platform_store::seen_hosts() const
{
    if (m_frozen_hosts) {
        return *m_frozen_hosts;
    }
    const auto newest = clock::now() - m_hosts_lag;
    const auto is_seen = [newest](const hosts_state& state) { return state.since <= newest; };
    const auto it = std::find_if(m_hosts.rbegin(), m_hosts.rend(), is_seen);
    return it == m_hosts.rend() ? m_hosts.front() : *it;
}

platform_store::clock::time_point platform_store::next_change(clock::time_point limit) const
{
    for (const auto& state : m_hosts) {
        const auto visible = state.since + m_hosts_lag;
        if (visible > clock::now()) {
            return std::min(visible, limit);
        }
    }
    return limit;
}

bool platform_store::must_end_wait() const
{
    return m_is_stopped || m_mode == platform_mode::down;
}

nlohmann::json platform_store::to_answer(const entry_state& state, std::uint64_t after)
{
    nlohmann::json entries = nlohmann::json::array();
    const bool is_whole = after == 0 || after > state.revision || after < state.log_base;
    if (is_whole) {
        for (const auto& [key, entry] : state.by_key) {
            entries.push_back(to_json(key, entry.revision, entry.value));
        }
        return {{"revision", state.revision}, {"base", 0}, {"entries", std::move(entries)}};
    }
    std::map<std::string, const change*> newest;
    for (const auto& entry : state.log) {
        if (entry.revision > after) {
            newest[entry.key] = &entry;
        }
    }
    for (const auto& [key, entry] : newest) {
        entries.push_back(to_json(key, entry->revision, entry->value));
    }
    return {{"revision", state.revision}, {"base", after}, {"entries", std::move(entries)}};
}

void platform_store::count_second(clock::time_point now)
{
    if (now - m_second_start < one_second) {
        return;
    }
    m_counts.peak_second = std::max(m_counts.peak_second, m_this_second);
    m_counts.last_second = now - m_second_start < 2 * one_second ? m_this_second : 0;
    m_this_second = 0;
    m_second_start = now;
}

} // namespace hickorykeel::standins
