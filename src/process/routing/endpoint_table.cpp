#include "process/routing/endpoint_table.h"

#include <algorithm> // clamp, count_if, find, max, min
#include <cassert>   // assert
#include <cmath>     // exp, floor
#include <limits>    // numeric_limits

namespace hickorykeel {

namespace {

/// Number of shards of the hash space. All prefixes of a shard prefer the same endpoints.
constexpr std::size_t shard_count = 1024;

constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15ULL;

/// Mixes the bits of `value` with the finalizer of SplitMix64.
std::uint64_t mix(std::uint64_t value) noexcept
{
    value += golden_ratio;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// Hash of `name` by FNV-1a, which is equal on all hosts; std::hash does not guarantee that.
std::uint64_t hash_name(const std::string& name) noexcept
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : name) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return mix(hash);
}

} // namespace

void speed_average::add(duration elapsed, std::uint64_t sample_tokens, double weight,
                        time_point now)
{
    const double applied_weight = tokens > 0 ? weight : 1.0;
    seconds += applied_weight * (to_seconds(elapsed) - seconds);
    tokens +=
        applied_weight * (static_cast<double>(std::max<std::uint64_t>(sample_tokens, 1)) - tokens);
    sampled = now;
}

endpoint_table::endpoint_table(endpoint_table_settings settings) : m_settings{settings} {}

void endpoint_table::assign(std::span<const endpoint> endpoints, time_point now)
{
    m_now = std::max(m_now, now);
    const bool is_first = m_listed == 0 && m_entries.empty();
    for (entry& known : m_entries) {
        known.state.is_listed = false;
    }
    for (const endpoint& listed : endpoints) {
        const std::optional<std::size_t> known = find(listed.name);
        const std::size_t index = known ? *known : add(listed);
        entry& updated = m_entries[index];
        const bool is_returning = !known || (updated.state.is_leaving && !listed.is_leaving);
        if (is_returning && !is_first) {
            updated.slow_start_begin = m_now;
        }
        updated.state.slots = std::max<std::uint32_t>(listed.slots, 1);
        updated.state.is_leaving = listed.is_leaving;
        updated.state.is_listed = true;
    }
    for (entry& known : m_entries) {
        // marked as leaving, so that it starts slowly if it is listed again
        known.state.is_leaving = known.state.is_leaving || !known.state.is_listed;
    }
    m_listed = endpoints.size();
    rebuild_shards();
    refresh(now);
}

void endpoint_table::set_live_hosts(std::size_t count, time_point now)
{
    m_live_hosts = std::max<std::size_t>(count, 1);
    refresh(now);
}

void endpoint_table::on_report(std::size_t index, const load_report& report, time_point now)
{
    m_now = std::max(m_now, now);
    entry& reported = m_entries.at(index);
    const time_point observed_at = m_now - report.age;
    if (reported.report_time && observed_at < *reported.report_time) {
        return; // a newer report has already been applied
    }
    reported.report = report;
    reported.report_time = observed_at;
    while (!reported.events.empty() && reported.events.front().time <= observed_at) {
        reported.change_since_report -= reported.events.front().change;
        reported.events.pop_front();
    }
    if (report.slots > 0) {
        reported.state.slots = report.slots;
    }
    const bool is_half_open = reported.state.breaker == breaker_state::half_open;
    if (is_half_open && !reported.is_probing && observed_at >= reported.backoff_until) {
        reported.state.breaker = breaker_state::closed;
        reported.slow_start_begin = m_now;
    }
    update(index);
}

void endpoint_table::on_dispatch(std::size_t index, time_point now)
{
    m_now = std::max(m_now, now);
    entry& changed = m_entries.at(index);
    changed.mean_load += m_settings.sample_weight * (load_of(changed) - changed.mean_load);
    ++changed.state.in_flight;
    changed.is_probing = changed.is_probing || changed.state.breaker == breaker_state::half_open;
    record_change(changed, 1);
    update(index);
}

void endpoint_table::on_first_token(std::size_t index, duration elapsed, std::uint64_t tokens,
                                    time_point now)
{
    m_now = std::max(m_now, now);
    m_entries.at(index).state.first_token.add(elapsed, tokens, m_settings.sample_weight, m_now);
    m_first_token.add(elapsed, tokens, m_settings.sample_weight, m_now);
}

void endpoint_table::on_success(std::size_t index, duration elapsed, std::uint64_t tokens,
                                time_point now)
{
    m_now = std::max(m_now, now);
    entry& changed = m_entries.at(index);
    changed.state.whole_response.add(elapsed, tokens, m_settings.sample_weight, m_now);
    m_whole_response.add(elapsed, tokens, m_settings.sample_weight, m_now);
    changed.state.consecutive_failures = 0;
    if (changed.state.breaker == breaker_state::half_open) {
        close_breaker(changed);
    }
    end_request(index);
}

void endpoint_table::on_failure(std::size_t index, time_point now, random_source& random)
{
    m_now = std::max(m_now, now);
    entry& changed = m_entries.at(index);
    ++changed.state.consecutive_failures;
    const bool has_failed_half_open = changed.state.breaker == breaker_state::half_open;
    const bool has_failed_often = changed.state.breaker == breaker_state::closed &&
                                  changed.state.consecutive_failures >= m_settings.failures_to_open;
    if (has_failed_half_open || has_failed_often) {
        open_breaker(changed, random);
    }
    end_request(index);
}

void endpoint_table::on_cancelled(std::size_t index, time_point now)
{
    m_now = std::max(m_now, now);
    end_request(index);
}

void endpoint_table::refresh(time_point now)
{
    m_now = std::max(m_now, now);
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        entry& known = m_entries[index];
        if (known.state.breaker == breaker_state::open && m_now >= known.backoff_until) {
            known.state.breaker = breaker_state::half_open;
            known.is_probing = false;
        }
        if (known.slow_start_begin && m_now - *known.slow_start_begin >= m_settings.slow_start) {
            known.slow_start_begin.reset();
        }
        update(index);
    }
    m_typical_wait = compute_typical_wait({});
}

const endpoint_state& endpoint_table::state(std::size_t index) const
{
    return m_entries.at(index).state;
}

std::optional<std::size_t> endpoint_table::find(const std::string& name) const
{
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (m_entries[index].state.name == name) {
            return index;
        }
    }
    return std::nullopt;
}

std::size_t endpoint_table::live_count() const
{
    const auto is_closed = [this](std::size_t index) {
        return m_entries[index].state.breaker == breaker_state::closed;
    };
    return static_cast<std::size_t>(
        std::count_if(m_available.begin(), m_available.end(), is_closed));
}

bool endpoint_table::is_available(std::size_t index) const
{
    return m_entries.at(index).available_position != no_index;
}

bool endpoint_table::has_free_slot(std::size_t index) const
{
    return m_entries.at(index).free_slot_position != no_index;
}

const endpoint_table::affinity& endpoint_table::preferred(std::uint64_t prefix_hash) const
{
    static constexpr affinity no_affinity{no_index, no_index};
    return m_shards.empty() ? no_affinity : m_shards[mix(prefix_hash) % shard_count];
}

double endpoint_table::estimated_load(std::size_t index) const
{
    return load_of(m_entries.at(index));
}

double endpoint_table::usable_slots(std::size_t index) const
{
    return slots_of(m_entries.at(index));
}

double endpoint_table::mean_utilisation() const noexcept
{
    return m_available.empty() ? 0 : m_utilisation_sum / static_cast<double>(m_available.size());
}

double endpoint_table::learned_first_token_seconds(std::size_t index, std::uint64_t tokens) const
{
    return decayed_seconds_per_token(m_entries.at(index).state.first_token, m_first_token) *
           static_cast<double>(tokens);
}

double endpoint_table::first_token_seconds(std::size_t index, std::uint64_t tokens) const
{
    const entry& item = m_entries.at(index);
    const double load_ratio = (1 + load_of(item)) / (1 + item.mean_load);
    return learned_first_token_seconds(index, tokens) * load_ratio;
}

double endpoint_table::response_seconds(std::size_t index, std::uint64_t tokens) const
{
    const endpoint_state& item = m_entries.at(index).state;
    return decayed_seconds_per_token(item.whole_response, m_whole_response) *
           static_cast<double>(tokens);
}

double endpoint_table::mean_first_token_seconds(std::uint64_t tokens) const noexcept
{
    return m_first_token.seconds_per_token() * static_cast<double>(tokens);
}

double endpoint_table::mean_response_seconds(std::uint64_t tokens) const noexcept
{
    return m_whole_response.seconds_per_token() * static_cast<double>(tokens);
}

double endpoint_table::tokens_per_second() const
{
    double sum = 0;
    for (const std::size_t index : m_available) {
        const double seconds = response_seconds(index, 1);
        sum += seconds > 0 ? usable_slots(index) / seconds : 0;
    }
    return sum / static_cast<double>(m_live_hosts);
}

std::size_t endpoint_table::add(const endpoint& listed)
{
    std::size_t index = 0;
    while (index < m_entries.size() &&
           (m_entries[index].state.is_listed || m_entries[index].state.in_flight > 0)) {
        ++index;
    }
    if (index == m_entries.size()) {
        m_entries.emplace_back();
    }
    else {
        // reuse the index of an unlisted endpoint that runs no requests
        update_list(m_available, &entry::available_position, index, false);
        update_list(m_with_free_slot, &entry::free_slot_position, index, false);
        m_utilisation_sum -= m_entries[index].utilisation;
        m_entries[index] = entry{};
    }
    entry& added = m_entries[index];
    added.state.name = listed.name;
    added.state.is_listed = true;
    added.hash = hash_name(listed.name);
    return index;
}

void endpoint_table::update(std::size_t index)
{
    entry& changed = m_entries[index];
    const endpoint_state& state = changed.state;
    const bool is_usable =
        state.is_listed && !state.is_leaving && state.breaker != breaker_state::open;
    update_list(m_available, &entry::available_position, index, is_usable);
    update_list(m_with_free_slot, &entry::free_slot_position, index,
                is_usable && can_accept(changed));
    const double utilisation = is_usable ? load_of(changed) / slots_of(changed) : 0;
    m_utilisation_sum += utilisation - changed.utilisation;
    changed.utilisation = utilisation;
}

void endpoint_table::end_request(std::size_t index)
{
    entry& changed = m_entries[index];
    assert(changed.state.in_flight > 0);
    --changed.state.in_flight;
    changed.is_probing = false;
    record_change(changed, -1);
    update(index);
    m_typical_wait = 0; // an endpoint ended a request; recomputed by refresh()
}

void endpoint_table::record_change(entry& changed, int change)
{
    changed.last_change = m_now;
    changed.events.push_back({m_now, change});
    changed.change_since_report += change;
    // an older event came after a report that has expired too, so it is not needed
    while (changed.events.front().time < m_now - m_settings.report_expiry) {
        changed.change_since_report -= changed.events.front().change;
        changed.events.pop_front();
    }
}

void endpoint_table::close_breaker(entry& closed)
{
    closed.state.breaker = breaker_state::closed;
    closed.times_opened = 0;
    closed.slow_start_begin = m_now;
}

void endpoint_table::open_breaker(entry& opened, random_source& random)
{
    constexpr std::uint32_t max_shift = 10;
    const auto factor = std::int64_t{1} << std::min(opened.times_opened, max_shift);
    const duration backoff = std::min(m_settings.first_backoff * factor, m_settings.max_backoff);
    // 50 % to 100 % of the backoff, so that the hosts do not probe at the same time
    const double jitter = 0.5 + 0.5 * random_fraction(random);
    opened.state.breaker = breaker_state::open;
    opened.backoff_until = m_now + from_seconds(to_seconds(backoff) * jitter);
    ++opened.times_opened;
}

void endpoint_table::rebuild_shards()
{
    m_shards.assign(shard_count, affinity{no_index, no_index});
    for (std::size_t shard = 0; shard < shard_count; ++shard) {
        std::uint64_t best = 0;
        std::uint64_t second = 0;
        affinity& chosen = m_shards[shard];
        for (std::size_t index = 0; index < m_entries.size(); ++index) {
            const entry& known = m_entries[index];
            if (!known.state.is_listed || known.state.is_leaving) {
                continue;
            }
            const std::uint64_t score = mix(known.hash ^ mix(shard));
            if (chosen[0] == no_index || score > best) {
                chosen[1] = chosen[0];
                second = best;
                chosen[0] = index;
                best = score;
            }
            else if (chosen[1] == no_index || score > second) {
                chosen[1] = index;
                second = score;
            }
        }
    }
}

double endpoint_table::compute_typical_wait(std::span<const std::size_t> excluded) const
{
    double shortest = std::numeric_limits<double>::infinity();
    const double threshold = m_settings.typical_factor * m_first_token.seconds_per_token();
    for (const std::size_t index : m_available) {
        const entry& each = m_entries[index];
        const bool is_excluded =
            std::find(excluded.begin(), excluded.end(), index) != excluded.end();
        if (is_excluded || each.state.breaker != breaker_state::closed ||
            decayed_seconds_per_token(each.state.first_token, m_first_token) > threshold) {
            continue;
        }
        const double seconds_since_change = to_seconds(m_now - each.last_change);
        const bool is_stuck =
            !has_free_slot(index) && seconds_since_change > each.state.whole_response.seconds;
        shortest = std::min(shortest, is_stuck ? seconds_since_change : 0);
    }
    return shortest;
}

bool endpoint_table::is_report_fresh(const entry& reported) const
{
    return reported.report_time && m_now - *reported.report_time <= m_settings.report_expiry;
}

bool endpoint_table::can_accept(const entry& item) const
{
    if (item.state.breaker == breaker_state::half_open && item.is_probing) {
        return false;
    }
    const double slots = slots_of(item);
    const double hosts = static_cast<double>(m_live_hosts);
    const double fair_share = std::max(1.0, std::floor(slots / hosts));
    if (item.state.in_flight < fair_share) {
        return true;
    }
    if (!is_report_fresh(item)) {
        return false;
    }
    // beyond its fair share a host only takes its part of the free slots that the report shows,
    // since the other hosts see the same free slots
    const double reported = static_cast<double>(item.report.running) + item.report.waiting;
    const double free_slots = slots - reported;
    return free_slots >= 1 && item.change_since_report < std::max(1.0, free_slots / hosts) &&
           load_of(item) < slots;
}

double endpoint_table::load_of(const entry& item) const
{
    const double own = item.state.in_flight;
    if (!is_report_fresh(item)) {
        return own * static_cast<double>(m_live_hosts);
    }
    const double reported = static_cast<double>(item.report.running) + item.report.waiting;
    return std::max(own, reported + item.change_since_report);
}

double endpoint_table::slots_of(const entry& item) const
{
    const double slots = item.state.slots;
    if (!item.slow_start_begin) {
        return slots;
    }
    const double progress =
        to_seconds(m_now - *item.slow_start_begin) / to_seconds(m_settings.slow_start);
    return std::max(1.0, slots * std::clamp(progress, 0.0, 1.0));
}

double endpoint_table::decayed_seconds_per_token(const speed_average& own,
                                                 const speed_average& all) const
{
    if (own.tokens <= 0) {
        return all.seconds_per_token();
    }
    const double age = to_seconds(m_now - own.sampled) / to_seconds(m_settings.speed_decay_time);
    return all.seconds_per_token() +
           (own.seconds_per_token() - all.seconds_per_token()) * std::exp(-age);
}

void endpoint_table::update_list(std::vector<std::size_t>& list,
                                 std::size_t entry::*position_member, std::size_t index,
                                 bool is_member)
{
    std::size_t& position = m_entries[index].*position_member;
    if (is_member == (position != no_index)) {
        return;
    }
    if (is_member) {
        position = list.size();
        list.push_back(index);
        return;
    }
    // the last element moves to the freed position
    list[position] = list.back();
    m_entries[list[position]].*position_member = position;
    list.pop_back();
    position = no_index;
}

} // namespace hickorykeel
