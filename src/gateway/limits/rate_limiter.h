#pragma once

#include "process/clock.h"

#include <array>         // array
#include <chrono>        // milliseconds, seconds
#include <cstddef>       // size_t
#include <cstdint>       // int64_t, uint64_t
#include <map>           // map
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map

namespace hickorykeel::gateway {

/// An organisation's fleet-wide limit.
struct rate_limit {
    double rate = 0;  ///< units per second; 0: no limit
    double burst = 0; ///< units
};

/// One host's count of what a group of hosts has used.
struct usage_report {
    std::string group; ///< for example the hosts of a region
    std::string host;  ///< that has counted
    std::uint64_t incarnation = 0;
    /// Units of admitted requests by organisation, since a point in time that stays the same for
    /// one incarnation of the host.
    std::map<std::string, double> used;
    /// Units of refused requests by organisation, since the same time; absent: 0.
    std::map<std::string, double> refused{};
    duration age{0}; ///< since the report was made, as far as this host knows
};

/// Parameters of the admission while other hosts have demand.
struct rate_limiter_options {
    /// Fraction of the rate that is admitted in addition while the demand exceeds the limit.
    /// Without it, errors of the estimates would cause refusals within the limit.
    double extra_rate = 0.06;
    /// Excess that is admitted before the rate is reduced, as a fraction of what the limit admits in
    /// `window`.
    double margin = 0.08;
    double margin_requests = 2;                ///< further excess, in requests of mean size
    duration window = std::chrono::seconds{8}; ///< over which the excess is bounded
    /// Fraction of the rate that is admitted while the demand exceeds the limit and reports of
    /// other hosts are missing, or were within `window`: their usage is uncertain then.
    double cautious_rate = 0.75;
    /// Share of the limit below which `cautious_rate` applies. A smaller share indicates a
    /// partition: single hosts that end leave a larger one.
    double cautious_share = 0.9;
    /// Age of the latest report of a group from which on its reports count as missing.
    duration late_report = std::chrono::milliseconds{1'200};
    /// Time in which an excess is compensated. With a time shorter than the delay of the reports,
    /// the level oscillates.
    duration correction_time = std::chrono::milliseconds{1'000};
    /// Time in which a positive level may be used up. Longer times refuse requests although the level
    /// is positive.
    duration spending_time = std::chrono::milliseconds{300};
    /// Time constant of the estimated demand: the time in which `demand_requests` requests arrive,
    /// within these bounds. Fewer requests give a poor estimate.
    duration min_demand_time = std::chrono::milliseconds{250};
    duration max_demand_time = std::chrono::seconds{4};
    double demand_requests = 8;
    /// Mean delay with which the usage of other hosts becomes known.
    duration report_delay = std::chrono::milliseconds{500};
    /// Mean age of the counts in a report when the report is made.
    duration count_age = std::chrono::milliseconds{150};
    /// Minimum time between two samples of a group's demand.
    duration sample_interval = std::chrono::milliseconds{150};
    /// Time without a report after which a group counts as without demand, and its usage is no
    /// longer charged, since it keeps to the share of its hosts. Longer than the time in which the
    /// share is reduced by hosts that are silent, and in which lost aggregators are replaced.
    duration report_timeout = std::chrono::milliseconds{3'500};
    /// Time from the first report of a further host that counts a group, in which nothing of its
    /// counts is charged. Until then it may not have heard all hosts of the group.
    duration settling_time = std::chrono::milliseconds{600};
    /// Time after which a larger share applies.
    duration share_delay = std::chrono::milliseconds{1'500};
    /// Time after the start in which a larger share applies at once.
    duration start_time = std::chrono::seconds{5};
    /// Number of requests at other hosts within `report_delay` below which the level has more
    /// weight than the rate.
    double sparse_requests = 4;
};

/// Fleet-wide rate limits of organisations, enforced by each host from the usage that all report.
///
/// Each host keeps one token bucket per organisation for the usage of the whole fleet: its own
/// admissions are charged at once, those of other hosts when their heartbeats report them. What the
/// others have used since is estimated from their demand. While the fleet's demand exceeds what may
/// be admitted, each host admits the same fraction of its requests, evenly in time, so that the hosts
/// together use the rate and none needs to know its part of it. The fraction follows from the level:
/// a rate above the limit's while the level is positive, and one below it while the fleet has used
/// too much.
///
/// A host that hears of no demand at other hosts admits while the level is positive. A host for which
/// some known hosts are not live applies only the share of the rate and burst that belongs to the
/// live ones.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class rate_limiter {
public:
    /// Buckets are refilled from `started` on.
    /// @param seed number that differs between hosts, so that they don't admit at the same times
    explicit rate_limiter(time_point started, std::uint64_t seed = 0,
                          rate_limiter_options options = {})
        : m_started{started}, m_seed{seed}, m_options{options}
    {
    }

    /// @name usage
    /// @{

    /// Admits a request of `units` of `organisation`, charging them, or refuses it. Without demand at
    /// other hosts, it is admitted if the level is above zero. The level may fall below zero.
    /// @return zero if the units were charged, else the time until this host admits a request of the
    ///         organisation again, as far as can be told
    duration take(const std::string& organisation, rate_limit limit, double units, time_point now);

    /// Gives the units of a request that was not executed back to `organisation`.
    void refund(const std::string& organisation, double units);
    /// @}

    /// @name other hosts
    /// @{

    /// Sets the limit of an organisation. If this is done before its first request at this host,
    /// the usage that other hosts report is charged to its bucket from the start.
    void set_limit(const std::string& organisation, rate_limit limit);

    /// Charges what a group of hosts has admitted since the previous reports about it. Several hosts
    /// may count the same group; what any of them has counted is charged once. Nothing is charged of
    /// the first report of a host, nor of the first one after it was silent for the report timeout;
    /// after a restart its counts are taken to start from zero.
    void on_report(const usage_report& report, time_point now);

    /// Sets the fraction of each rate and burst that this host and its live peers may use together.
    /// To be called at least with each heartbeat. Unless this host has just started, a larger share
    /// applies only after `share_delay`, when the demand of the hosts that are heard again is
    /// known. Precondition: 0 < `share` <= 1.
    void set_share(double share, time_point now);

    [[nodiscard]] double share() const noexcept { return m_share; }

    /// Units in an organisation's bucket as of its last update; negative: in excess; 0 if there is
    /// no bucket.
    [[nodiscard]] double level(const std::string& organisation) const
    {
        const auto found = m_organisations.find(organisation);
        return found == m_organisations.end() ? 0 : found->second.level;
    }

    /// Fraction of an organisation's requests that this host admits, as of the last request or
    /// report.
    [[nodiscard]] double admitted_fraction(const std::string& organisation) const
    {
        const auto found = m_organisations.find(organisation);
        return found == m_organisations.end() ? 1 : found->second.admitted_fraction;
    }

    /// Units that this host has admitted since its start, by organisation.
    [[nodiscard]] const std::map<std::string, double>& used() const noexcept { return m_used; }

    /// Units of the requests that this host has refused since its start, by organisation.
    [[nodiscard]] const std::map<std::string, double>& refused() const noexcept
    {
        return m_refused;
    }
    /// @}

private:
    /// What a group's hosts have used and asked for, as far as reported.
    struct group_demand {
        double used = 0;    ///< units of admitted requests
        double asked = 0;   ///< units of all requests
        double sampled = 0; ///< `asked` at the last sample
        time_point sampled_at{};
        time_point known_at{}; ///< the counts are those of this time
        double rate = 0;       ///< units asked for per second
    };

    /// Requests that this host received in the last seconds, counted by intervals.
    class recent_requests {
    public:
        void add(double units, time_point now);

        struct sum {
            double requests = 0;
            double units = 0;
        };
        /// Requests from `from` to `until`, rounded to intervals.
        [[nodiscard]] sum between(time_point from, time_point until) const;

    private:
        static constexpr std::size_t size = 32;
        struct interval {
            std::int64_t number = -1;
            sum received;
        };
        std::array<interval, size> m_intervals;
    };

    struct organisation_state {
        double level = 0;
        time_point updated{};
        bool is_initialised = false;
        bool is_unlimited = false; ///< the published configuration sets no limit
        rate_limit limit;
        /// Sum of the fractions of the requests, less the number of those admitted. A request is
        /// admitted when this reaches 1.
        double admission_credit = 0;
        recent_requests own_requests;
        double own_rate = 0; ///< units asked for at this host per second, as of `own_rate_at`
        time_point own_rate_at{};
        double admitted_fraction = 1;      ///< of the requests
        double mean_admitted_fraction = 1; ///< over about the last `report_delay`
        time_point fraction_updated{};
        time_point cautious_until{}; ///< end of the time in which `cautious_rate` applies
        double margin = 0;        ///< excess that is admitted before the rate is reduced, in units
        double mean_units = 0;    ///< of a request at this host; 0: none was received
        double mean_increase = 0; ///< of `group_demand::asked` between two samples
        duration demand_time{0};  ///< time constant of the estimated demand
        std::unordered_map<std::string, group_demand> groups;
    };

    struct reported_units {
        double used = 0;
        double asked = 0;
    };
    using offset = reported_units;

    /// A host that reports counts of a group. A reported count and its offset add up to the units
    /// of the group since this host has been heard.
    struct counting_host {
        std::uint64_t incarnation = 0;
        time_point heard_at{};
        time_point settles_at{};    ///< nothing is charged before
        time_point counted_since{}; ///< its counts are charged from this time on
        std::unordered_map<std::string, offset> offsets; // by organisation
    };

    /// Estimated demand of the other hosts.
    struct other_demand {
        duration age{0};       ///< of the oldest of the groups' last reports
        double rate = 0;       ///< units asked for per second
        double unreported = 0; ///< units used and not reported yet
    };

    organisation_state& find_or_add(const std::string& organisation);
    void refill(organisation_state& of, time_point now) const;
    void update_admitted_fraction(organisation_state& of, time_point now) const;
    [[nodiscard]] double admitted_rate(const organisation_state& of, const other_demand& other,
                                       bool is_cautious) const;
    [[nodiscard]] other_demand sum_other_demand(const organisation_state& of, time_point now) const;
    [[nodiscard]] double growth_since(const organisation_state& of, time_point known_at,
                                      time_point now) const;
    [[nodiscard]] double own_rate(const organisation_state& of, time_point now) const;
    [[nodiscard]] duration wait_for(const organisation_state& of, time_point now) const;
    [[nodiscard]] double request_size(const organisation_state& of) const noexcept
    {
        return of.mean_units > 0 ? of.mean_units : of.mean_increase;
    }
    bool sample(organisation_state& of, group_demand& group, time_point known_at) const;
    void expire_silent_groups(organisation_state& of, time_point now) const;
    void reset_offsets(counting_host& host, const usage_report& report, time_point known_at);
    void charge_estimate(organisation_state& of, const group_demand& group, duration elapsed) const;
    void charge(organisation_state& of, group_demand& group, const counting_host& host,
                const reported_units& reported, time_point known_at) const;

    time_point m_started;
    std::uint64_t m_seed;
    rate_limiter_options m_options;
    double m_share = 1;
    std::optional<time_point> m_larger_since; ///< first call with a share larger than `m_share`
    std::unordered_map<std::string, organisation_state> m_organisations; ///< by name
    /// Hosts that count a group, by group and host.
    std::unordered_map<std::string, std::unordered_map<std::string, counting_host>> m_groups;
    std::map<std::string, double> m_used;
    std::map<std::string, double> m_refused;
};

} // namespace hickorykeel::gateway
