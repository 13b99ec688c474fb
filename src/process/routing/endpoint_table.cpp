#include "process/routing/endpoint_table.h"

#include <algorithm> // clamp, count_if, find, max, min
#include <cassert>   // assert
#include <cmath>     // exp, floor
#include <limits>    // numeric_limits

namespace hickorykeel {

namespace {

/// Parts of the hash space; all prefixes of a part prefer the same endpoints.
constexpr std::size_t shard_count = 1024;

constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15ULL;

/// Spreads every bit of `value` over the whole word (the finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t value) noexcept
{
    value += golden_ratio;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// FNV-1a: equal on all hosts, which std::hash does not promise.
std::uint64_t hash_name(const std::string& name) noexcept
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : name) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return mix(hash);
}

} // namespace

void speed_average::add(duration elapsed, std::uint64_t spent_tokens, double weight, time_point now)
{
    const double used = tokens > 0 ? weight : 1.0;
    seconds += used * (to_seconds(elapsed) - seconds);
    tokens += used * (static_cast<double>(std::max<std::uint64_t>(spent_tokens, 1)) - tokens);
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
        entry& taken = m_entries[index];
        const bool is_back = !known || (taken.state.is_leaving && !listed.is_leaving);
        if (is_back && !is_first) {
            taken.returned = m_now;
        }
        taken.state.slots = std::max<std::uint32_t>(listed.slots, 1);
        taken.state.is_leaving = listed.is_leaving;
        taken.state.is_listed = true;
    }
    for (entry& known : m_entries) {
        // an endpoint that is listed again later starts as one that returns
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
    const time_point moment = m_now - report.age;
    if (reported.reported && moment < *reported.reported) {
        return; // overtaken by a newer one
    }
    reported.report = report;
    reported.reported = moment;
    while (!reported.events.empty() && reported.events.front().moment <= moment) {
        reported.change_since_report -= reported.events.front().change;
        reported.events.pop_front();
    }
    if (report.slots > 0) {
        reported.state.slots = report.slots;
    }
    const bool is_half_open = reported.state.breaker == breaker_state::half_open;
    if (is_half_open && !reported.is_probing && moment >= reported.open_until) {
        reported.state.breaker = breaker_state::closed;
        reported.returned = m_now;
    }
    update(index);
}

void endpoint_table::on_dispatch(std::size_t index, time_point now)
{
    m_now = std::max(m_now, now);
    entry& used = m_entries.at(index);
    used.usual_load += m_settings.sample_weight * (load_of(used) - used.usual_load);
    ++used.state.in_flight;
    used.is_probing = used.is_probing || used.state.breaker == breaker_state::half_open;
    note_change(used, 1);
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
    entry& used = m_entries.at(index);
    used.state.whole_answer.add(elapsed, tokens, m_settings.sample_weight, m_now);
    m_whole_answer.add(elapsed, tokens, m_settings.sample_weight, m_now);
    used.state.consecutive_failures = 0;
    if (used.state.breaker == breaker_state::half_open) {
        close_breaker(used);
    }
    end_request(index);
}

void endpoint_table::on_failure(std::size_t index, time_point now, random_source& random)
{
    m_now = std::max(m_now, now);
    entry& used = m_entries.at(index);
    ++used.state.consecutive_failures;
    const bool has_failed_probe = used.state.breaker == breaker_state::half_open;
    const bool has_failed_often = used.state.breaker == breaker_state::closed &&
                                  used.state.consecutive_failures >= m_settings.failures_to_open;
    if (has_failed_probe || has_failed_often) {
        open_breaker(used, random);
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
        if (known.state.breaker == breaker_state::open && m_now >= known.open_until) {
            known.state.breaker = breaker_state::half_open;
            known.is_probing = false;
        }
        if (known.returned && m_now - *known.returned >= m_settings.slow_start) {
            known.returned.reset();
        }
        update(index);
    }
    m_usual_wait = find_usual_wait({});
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
    static constexpr affinity nobody{no_index, no_index};
    return m_shards.empty() ? nobody : m_shards[mix(prefix_hash) % shard_count];
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
    return faded(m_entries.at(index).state.first_token, m_first_token) *
           static_cast<double>(tokens);
}

double endpoint_table::first_token_seconds(std::size_t index, std::uint64_t tokens) const
{
    const entry& asked = m_entries.at(index);
    const double crowding = (1 + load_of(asked)) / (1 + asked.usual_load);
    return learned_first_token_seconds(index, tokens) * crowding;
}

double endpoint_table::answer_seconds(std::size_t index, std::uint64_t tokens) const
{
    const endpoint_state& asked = m_entries.at(index).state;
    return faded(asked.whole_answer, m_whole_answer) * static_cast<double>(tokens);
}

double endpoint_table::usual_first_token_seconds(std::uint64_t tokens) const noexcept
{
    return m_first_token.per_token() * static_cast<double>(tokens);
}

double endpoint_table::usual_answer_seconds(std::uint64_t tokens) const noexcept
{
    return m_whole_answer.per_token() * static_cast<double>(tokens);
}

double endpoint_table::tokens_per_second() const
{
    double sum = 0;
    for (const std::size_t index : m_available) {
        const double seconds = answer_seconds(index, 1);
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
        // an unlisted endpoint without requests gives its place to the new one
        place(m_available, &entry::available_position, index, false);
        place(m_with_free_slot, &entry::free_slot_position, index, false);
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
    place(m_available, &entry::available_position, index, is_usable);
    place(m_with_free_slot, &entry::free_slot_position, index, is_usable && may_take(changed));
    const double utilisation = is_usable ? load_of(changed) / slots_of(changed) : 0;
    m_utilisation_sum += utilisation - changed.utilisation;
    changed.utilisation = utilisation;
}

void endpoint_table::end_request(std::size_t index)
{
    entry& used = m_entries[index];
    assert(used.state.in_flight > 0);
    --used.state.in_flight;
    used.is_probing = false;
    note_change(used, -1);
    update(index);
    m_usual_wait = 0; // until the next refresh
}

void endpoint_table::note_change(entry& changed, int change)
{
    changed.changed = m_now;
    changed.events.push_back({m_now, change});
    changed.change_since_report += change;
    // older events belong to a report that has expired
    while (changed.events.front().moment < m_now - m_settings.report_expiry) {
        changed.change_since_report -= changed.events.front().change;
        changed.events.pop_front();
    }
}

void endpoint_table::close_breaker(entry& closed)
{
    closed.state.breaker = breaker_state::closed;
    closed.times_opened = 0;
    closed.returned = m_now;
}

void endpoint_table::open_breaker(entry& opened, random_source& random)
{
    constexpr std::uint32_t largest_shift = 10;
    const auto factor = std::int64_t{1} << std::min(opened.times_opened, largest_shift);
    const duration backoff = std::min(m_settings.open_minimum * factor, m_settings.open_maximum);
    // half to whole, so that the hosts do not probe at the same moment
    const double jitter = 0.5 + 0.5 * random_fraction(random);
    opened.state.breaker = breaker_state::open;
    opened.open_until = m_now + from_seconds(to_seconds(backoff) * jitter);
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

double endpoint_table::find_usual_wait(std::span<const std::size_t> excluded) const
{
    double least = std::numeric_limits<double>::infinity();
    const double usual = m_settings.usual_factor * m_first_token.per_token();
    for (const std::size_t index : m_available) {
        const entry& each = m_entries[index];
        const bool is_excluded =
            std::find(excluded.begin(), excluded.end(), index) != excluded.end();
        if (is_excluded || each.state.breaker != breaker_state::closed ||
            faded(each.state.first_token, m_first_token) > usual) {
            continue;
        }
        const double unchanged = to_seconds(m_now - each.changed);
        const bool is_stuck = !has_free_slot(index) && unchanged > each.state.whole_answer.seconds;
        least = std::min(least, is_stuck ? unchanged : 0);
    }
    return least;
}

bool endpoint_table::is_report_fresh(const entry& reported) const
{
    return reported.reported && m_now - *reported.reported <= m_settings.report_expiry;
}

bool endpoint_table::may_take(const entry& asked) const
{
    if (asked.state.breaker == breaker_state::half_open && asked.is_probing) {
        return false;
    }
    const double slots = slots_of(asked);
    const double hosts = static_cast<double>(m_live_hosts);
    const double fair_share = std::max(1.0, std::floor(slots / hosts));
    if (asked.state.in_flight < fair_share) {
        return true;
    }
    if (!is_report_fresh(asked)) {
        return false;
    }
    // above the fair share only into this host's part of the room that the report shows, since
    // the other hosts see the same room
    const double reported = static_cast<double>(asked.report.running) + asked.report.waiting;
    const double room = slots - reported;
    return room >= 1 && asked.change_since_report < std::max(1.0, room / hosts) &&
           load_of(asked) < slots;
}

double endpoint_table::load_of(const entry& asked) const
{
    const double own = asked.state.in_flight;
    if (!is_report_fresh(asked)) {
        return own * static_cast<double>(m_live_hosts);
    }
    const double reported = static_cast<double>(asked.report.running) + asked.report.waiting;
    return std::max(own, reported + asked.change_since_report);
}

double endpoint_table::slots_of(const entry& asked) const
{
    const double slots = asked.state.slots;
    if (!asked.returned) {
        return slots;
    }
    const double progress = to_seconds(m_now - *asked.returned) / to_seconds(m_settings.slow_start);
    return std::max(1.0, slots * std::clamp(progress, 0.0, 1.0));
}

double endpoint_table::faded(const speed_average& own, const speed_average& all) const
{
    if (own.tokens <= 0) {
        return all.per_token();
    }
    const double age = to_seconds(m_now - own.sampled) / to_seconds(m_settings.speed_memory);
    return all.per_token() + (own.per_token() - all.per_token()) * std::exp(-age);
}

void endpoint_table::place(std::vector<std::size_t>& list, std::size_t entry::*at,
                           std::size_t index, bool belongs)
{
    std::size_t& position = m_entries[index].*at;
    if (belongs == (position != no_index)) {
        return;
    }
    if (belongs) {
        position = list.size();
        list.push_back(index);
        return;
    }
    // the last one takes the place that becomes free
    list[position] = list.back();
    m_entries[list[position]].*at = position;
    list.pop_back();
    position = no_index;
}

} // namespace hickorykeel
