#include "gateway/limits/rate_limiter.h"

#include <algorithm>  // clamp, max, min
#include <cmath>      // exp, sqrt
#include <functional> // hash

namespace hickorykeel::gateway {

namespace {

/// Fraction of the burst that a bucket holds when this host starts: the usage just before the start
/// isn't known.
constexpr double initial_burst_fraction = 0.1;

/// Weight of a new request in the mean size of the requests.
constexpr double units_weight = 0.1;

/// Smallest size of a request, in units, for which a number of requests is computed.
constexpr double min_units = 1e-9;

/// Minimum factor on the times in which the level is corrected.
constexpr double min_scale = 1e-6;

/// Length of the intervals in which a host counts its own requests.
constexpr duration recent_step = std::chrono::milliseconds{200};

/// Age of a report from which on the growth of the demand at this host is taken into account, and
/// the length of the time before the report with which the requests since then are compared.
/// Reports that aren't delayed are younger, and give a better estimate than the few requests at
/// this host.
constexpr duration min_growth_span = std::chrono::milliseconds{900};
constexpr duration growth_baseline = std::chrono::milliseconds{2'000};

/// Minimum number of requests that indicates growth, by how many standard deviations it must exceed
/// the expected number, and the maximum factor.
constexpr double min_growth_requests = 3;
constexpr double growth_deviations = 3;
constexpr double max_growth = 8;

/// Bounds of the time returned for a refused request while the hosts share the rate.
constexpr duration min_wait = std::chrono::milliseconds{100};
constexpr duration max_wait = std::chrono::seconds{5};
/// The same for an organisation that no other host serves: its level tells the time exactly.
constexpr duration longest_wait = std::chrono::hours{24};

/// Minimum admitted fraction for which a waiting time is computed.
constexpr double min_fraction = 1e-3;

/// Returns the factor of an exponential decay after `elapsed`.
double decay(duration elapsed, duration time_constant)
{
    return std::exp(-to_seconds(elapsed) / to_seconds(time_constant));
}

double units_of(const std::map<std::string, double>& counts, const std::string& organisation)
{
    const auto found = counts.find(organisation);
    return found == counts.end() ? 0 : found->second;
}

/// Returns a pseudo-random number in [0, 1) that depends on `value` only.
double to_unit_interval(std::uint64_t value)
{
    // the finaliser of splitmix64
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    value ^= value >> 31U;
    return static_cast<double>(value >> 11U) * 0x1.0p-53;
}

} // namespace

void rate_limiter::recent_requests::add(double units, time_point now)
{
    const std::int64_t number = now.time_since_epoch() / recent_step;
    interval& current = m_intervals.at(static_cast<std::size_t>(number) % size);
    if (current.number != number) {
        current = {number, {}};
    }
    current.received.requests += 1;
    current.received.units += units;
}

rate_limiter::recent_requests::sum rate_limiter::recent_requests::between(time_point from,
                                                                          time_point until) const
{
    const std::int64_t first = from.time_since_epoch() / recent_step;
    const std::int64_t last = until.time_since_epoch() / recent_step;
    sum total;
    for (const interval& each : m_intervals) {
        if (each.number > first && each.number <= last) {
            total.requests += each.received.requests;
            total.units += each.received.units;
        }
    }
    return total;
}

/// Returns the factor by which the demand at this host has grown since a report was made, from
/// which that of other hosts is extrapolated. 1 if few requests arrived, or not significantly more
/// than before.
double rate_limiter::growth_since(const organisation_state& of, time_point known_at,
                                  time_point now) const
{
    const duration span = now - known_at;
    if (span < min_growth_span) {
        return 1;
    }
    const recent_requests::sum recent = of.own_requests.between(now - span, now);
    if (recent.requests < min_growth_requests) {
        return 1;
    }
    const recent_requests::sum before =
        of.own_requests.between(now - span - growth_baseline, now - span);
    const double expected =
        std::max(1.0, before.requests) * to_seconds(span) / to_seconds(growth_baseline);
    if (recent.requests < expected + growth_deviations * std::sqrt(expected)) {
        return 1;
    }
    return std::min(max_growth, recent.requests / expected);
}

rate_limiter::organisation_state& rate_limiter::find_or_add(const std::string& organisation)
{
    const auto [it, is_new] = m_organisations.try_emplace(organisation);
    if (is_new) {
        it->second.demand_time = m_options.max_demand_time;
        it->second.admission_credit =
            to_unit_interval(m_seed ^ std::hash<std::string>{}(organisation));
    }
    return it->second;
}

void rate_limiter::refill(organisation_state& of, time_point now) const
{
    const double capacity = of.limit.burst * m_share;
    if (!of.is_initialised) {
        of.is_initialised = true;
        of.level += capacity * initial_burst_fraction;
        of.updated = m_started;
    }
    const bool has_extra = of.level < 0 && of.level >= -of.margin;
    const double extra = has_extra ? m_options.extra_rate : 0;
    const double gained = of.limit.rate * (1 + extra) * m_share * to_seconds(now - of.updated);
    of.level = std::min(capacity, of.level + std::max(0.0, gained));
    of.updated = std::max(of.updated, now);
}

double rate_limiter::own_rate(const organisation_state& of, time_point now) const
{
    return of.own_rate * decay(now - of.own_rate_at, of.demand_time);
}

/// Charges the estimated usage of the groups whose reports have timed out. They count as without
/// demand from then on.
void rate_limiter::expire_silent_groups(organisation_state& of, time_point now) const
{
    for (auto& [name, group] : of.groups) {
        if (group.rate > 0 && now - group.known_at >= m_options.report_timeout) {
            charge_estimate(of, group, m_options.report_timeout);
            group.rate = 0;
        }
    }
}

rate_limiter::other_demand rate_limiter::sum_other_demand(const organisation_state& of,
                                                          time_point now) const
{
    other_demand sum;
    for (const auto& [name, group] : of.groups) {
        const duration age = now - group.known_at;
        const double rate =
            group.rate * growth_since(of, group.known_at - m_options.count_age, now);
        sum.rate += rate;
        sum.age = std::max(sum.age, rate > 0 ? age : duration{0});
        sum.unreported += rate * of.mean_admitted_fraction * to_seconds(age + m_options.count_age);
    }
    return sum;
}

/// Chooses the fraction of the requests that is admitted from now on.
void rate_limiter::update_admitted_fraction(organisation_state& of, time_point now) const
{
    const double kept =
        decay(std::max(duration{0}, now - of.fraction_updated), m_options.report_delay);
    of.mean_admitted_fraction =
        of.mean_admitted_fraction * kept + of.admitted_fraction * (1 - kept);
    of.fraction_updated = std::max(of.fraction_updated, now);
    refill(of, now);
    expire_silent_groups(of, now);
    const other_demand other = sum_other_demand(of, now);
    if (other.rate <= 0) {
        of.margin = 0;
        of.admitted_fraction = of.level > 0 ? 1 : 0;
        return;
    }
    const double rate = of.limit.rate * m_share;
    const double burst = of.limit.burst * m_share;
    const double demand = other.rate + own_rate(of, now);
    of.demand_time =
        std::clamp<duration>(from_seconds(m_options.demand_requests * request_size(of) / demand),
                             m_options.min_demand_time, m_options.max_demand_time);
    if (other.age >= m_options.late_report || m_share < m_options.cautious_share) {
        of.cautious_until = now + m_options.window;
    }
    const bool is_cautious = now < of.cautious_until;
    of.margin = is_cautious ? 0
                            : (m_options.margin * (rate * to_seconds(m_options.window) + burst) +
                               m_options.margin_requests * request_size(of)) *
                                  other.rate / demand;
    of.admitted_fraction = std::clamp(admitted_rate(of, other, is_cautious) / demand, 0.0, 1.0);
}

/// Returns the rate that all hosts together may admit now, in units per second.
double rate_limiter::admitted_rate(const organisation_state& of, const other_demand& other,
                                   bool is_cautious) const
{
    const double rate = of.limit.rate * m_share;
    const double factor = is_cautious ? m_options.cautious_rate : 1 + m_options.extra_rate;
    const double level = of.level - other.unreported;
    const double requests =
        other.rate * to_seconds(m_options.report_delay) / std::max(min_units, request_size(of));
    const double scale = std::clamp(requests / m_options.sparse_requests, min_scale, 1.0);
    const double rate_of_level =
        std::max(0.0, level) / to_seconds(m_options.spending_time) +
        (std::min(0.0, level) + of.margin) / to_seconds(m_options.correction_time);
    return rate * factor + rate_of_level / scale;
}

duration rate_limiter::take(const std::string& organisation, rate_limit limit, double units,
                            time_point now)
{
    if (limit.rate <= 0) {
        m_used[organisation] += units;
        return duration{0};
    }
    organisation_state& of = find_or_add(organisation);
    of.limit = limit;
    of.own_rate = own_rate(of, now) + units / to_seconds(of.demand_time);
    of.own_rate_at = now;
    of.own_requests.add(units, now);
    of.mean_units =
        of.mean_units <= 0 ? units : of.mean_units + (units - of.mean_units) * units_weight;
    update_admitted_fraction(of, now);
    of.admission_credit += of.admitted_fraction;
    if (of.admitted_fraction < 1 && of.admission_credit < 1) {
        m_refused[organisation] += units;
        m_used.try_emplace(organisation); // heartbeats list the organisations of this map only
        return wait_for(of, now);
    }
    if (of.admission_credit >= 1) {
        of.admission_credit -= 1;
    }
    of.level -= units;
    m_used[organisation] += units;
    return duration{0};
}

duration rate_limiter::wait_for(const organisation_state& of, time_point now) const
{
    const double rate = of.limit.rate * m_share;
    const other_demand other = sum_other_demand(of, now);
    if (other.rate <= 0) {
        return std::min(from_seconds(std::max(0.0, -of.level) / rate), longest_wait) + duration{1};
    }
    const double requests_per_s = own_rate(of, now) / of.mean_units;
    const double admitted_per_s = std::max(min_fraction, of.admitted_fraction) * requests_per_s;
    return std::clamp<duration>(from_seconds((1 - of.admission_credit) / admitted_per_s), min_wait,
                                max_wait);
}

void rate_limiter::set_share(double share, time_point now)
{
    if (share > m_share && now - m_started >= m_options.start_time) {
        if (!m_larger_since) {
            m_larger_since = now;
        }
        if (now - *m_larger_since < m_options.share_delay) {
            return;
        }
    }
    m_larger_since.reset();
    m_share = share;
}

void rate_limiter::set_limit(const std::string& organisation, rate_limit limit)
{
    organisation_state& of = find_or_add(organisation);
    if (of.is_unlimited || limit.rate <= 0) {
        // what is used without a limit isn't charged to a later one
        of.level = 0;
        of.is_initialised = false;
        for (auto& [name, group] : of.groups) {
            group.rate = 0;
        }
    }
    of.limit = limit;
    of.is_unlimited = limit.rate <= 0;
}

void rate_limiter::refund(const std::string& organisation, double units)
{
    find_or_add(organisation).level += units;
    m_used[organisation] -= units;
}

/// Updates the rate of a group's demand from what has been asked for since the last sample.
/// @return whether enough time has passed since then
bool rate_limiter::sample(organisation_state& of, group_demand& group, time_point known_at) const
{
    const duration elapsed = known_at - group.sampled_at;
    if (elapsed < m_options.sample_interval) {
        return false;
    }
    const double increase = std::max(0.0, group.asked - group.sampled);
    if (elapsed < m_options.report_timeout) {
        const double kept = decay(elapsed, of.demand_time);
        group.rate = group.rate * kept + increase / to_seconds(elapsed) * (1 - kept);
        if (increase > 0) {
            of.mean_increase =
                of.mean_increase <= 0
                    ? increase
                    : of.mean_increase + (increase - of.mean_increase) * units_weight;
        }
    }
    group.sampled = group.asked;
    group.sampled_at = known_at;
    return true;
}

/// Sets the offsets of a host that counts a group so that the counts of `report` aren't charged,
/// and later increases are.
void rate_limiter::reset_offsets(counting_host& host, const usage_report& report,
                                 time_point known_at)
{
    host.counted_since = known_at;
    host.offsets.clear();
    for (const auto& [organisation, of] : m_organisations) {
        const auto found = of.groups.find(report.group);
        if (found != of.groups.end()) {
            host.offsets[organisation] = {found->second.used, found->second.asked};
        }
    }
    for (const auto& [organisation, used] : report.used) {
        offset& base = host.offsets[organisation];
        base.used -= used;
        base.asked -= used + units_of(report.refused, organisation);
    }
}

/// Charges the estimated usage of a group for `elapsed`, a time that no report covers.
void rate_limiter::charge_estimate(organisation_state& of, const group_demand& group,
                                   duration elapsed) const
{
    if (!of.is_unlimited) {
        of.level -= group.rate * of.mean_admitted_fraction *
                    to_seconds(std::min(elapsed, m_options.report_timeout));
    }
}

/// Charges what a group has used since its last reports, as counted by `host`.
void rate_limiter::charge(organisation_state& of, group_demand& group, const counting_host& host,
                          const reported_units& reported, time_point known_at) const
{
    if (host.counted_since > group.known_at) {
        charge_estimate(of, group, host.counted_since - group.known_at);
        group.sampled = group.asked;
        group.sampled_at = host.counted_since;
    }
    const double charged = std::max(0.0, reported.used - group.used);
    group.used += charged;
    of.level -= of.is_unlimited ? 0 : charged;
    group.asked = std::max(group.asked, reported.asked);
    group.known_at = std::max(group.known_at, known_at);
}

void rate_limiter::on_report(const usage_report& report, time_point now)
{
    auto& hosts = m_groups[report.group];
    const bool is_known = !hosts.empty();
    const auto [it, is_first] = hosts.try_emplace(report.host);
    counting_host& host = it->second;
    const time_point known_at = now - report.age;
    if (is_first || host.incarnation != report.incarnation ||
        now - host.heard_at >= m_options.report_timeout) {
        host.incarnation = report.incarnation;
        host.settles_at = is_known ? now + m_options.settling_time : now;
        reset_offsets(host, report, known_at);
    }
    host.heard_at = now;
    if (now < host.settles_at) {
        reset_offsets(host, report, known_at);
        return;
    }
    for (const auto& [organisation, used] : report.used) {
        organisation_state& of = find_or_add(organisation);
        group_demand& group = of.groups[report.group];
        const offset& base = host.offsets[organisation];
        const double used_before = group.used;
        const double asked = used + units_of(report.refused, organisation);
        charge(of, group, host, {base.used + used, base.asked + asked}, known_at);
        const bool is_sampled = sample(of, group, known_at);
        if ((is_sampled || group.used > used_before) && of.limit.rate > 0) {
            update_admitted_fraction(of, now);
        }
    }
}

} // namespace hickorykeel::gateway
