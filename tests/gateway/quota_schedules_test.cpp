#include "gateway/limits/rate_limiter.h"
#include "simulated_fleet.h"

#include <algorithm> // any_of, max, min, shuffle
#include <chrono>    // milliseconds, seconds
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <deque>     // deque
#include <memory>    // make_unique, unique_ptr
#include <random>    // mt19937_64, uniform_int_distribution
#include <string>    // string, to_string
#include <utility>   // pair
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

// the limit of one organisation, and the bounds within which the fleet keeps it
constexpr rate_limit limit{100'000, 100'000}; // tokens per second, tokens
constexpr double request_units = 1'000;
constexpr duration window = 8s;
constexpr double overage = 0.25;
constexpr double slack = 72'000; // tokens
constexpr double allowed = (limit.rate * 8 + limit.burst) * (1 + overage) + slack;

constexpr double demand = 3 * limit.rate; // tokens per second over all hosts
constexpr duration step_length = 20ms;
constexpr duration contact_time = 6s;   // after which all hosts know each other again
constexpr duration seed_staleness = 3s; // after which the settings name running hosts
const std::string organisation = "o";

/// Which kinds of disruptions a schedule has.
struct disruptions {
    bool cuts = false;         ///< of a pair of regions, or of one region from all others
    bool power_losses = false; ///< of some hosts, of a region, or of all
    duration shortest = 5s;
    duration longest = 40s;
};

/// A fleet whose hosts admit requests of one organisation, more than its limit allows, while regions
/// are cut off and hosts lose power.
class quota_schedule {
public:
    quota_schedule(std::vector<int> hosts_by_region, std::uint64_t seed,
                   fleet_membership_options options = {})
        : m_random{seed}, m_fleet{{.hosts_by_region = std::move(hosts_by_region),
                                   .seed = seed,
                                   .options = std::move(options)}},
          m_limiters(m_fleet.hosts().size()), m_back_at(m_fleet.hosts().size())
    {
        m_fleet.on_start = [this](simulated_fleet::host& started) {
            started.state.used.clear();
            started.state.refused.clear();
            limiter_of(started) = std::make_unique<rate_limiter>(m_fleet.now(), m_random());
            limiter_of(started)->set_limit(organisation, limit);
        };
        m_fleet.on_send = [this](simulated_fleet::host& sender) {
            rate_limiter& limiter = *limiter_of(sender);
            const fleet_size size = sender.membership->size(m_fleet.now());
            limiter.set_share(static_cast<double>(size.accounted) /
                                  static_cast<double>(size.expected),
                              m_fleet.now());
            sender.state.used = limiter.used();
            sender.state.refused = limiter.refused();
        };
        m_fleet.on_news = [this](simulated_fleet::host& receiver, const received_news& news) {
            for (const usage_report& report : news.usage) {
                limiter_of(receiver)->on_report(report, m_fleet.now());
            }
        };
        m_fleet.set_filter([this](const auto& from, const auto& to) {
            return from.region == to.region ||
                   std::none_of(m_cuts.begin(), m_cuts.end(), [&](const cut& each) {
                       return each.separates(from.region, to.region);
                   });
        });
    }

    /// Names any hosts as seeds.
    void choose_seeds(std::size_t count)
    {
        std::vector<std::string> ips;
        for (const auto& host : m_fleet.hosts()) {
            ips.push_back(host.ip);
        }
        std::shuffle(ips.begin(), ips.end(), m_random);
        ips.resize(std::min(ips.size(), count));
        m_fleet.set_seeds(ips);
    }
    /// Names these seeds, and no others when they are dark.
    void set_seeds(const std::vector<std::string>& ips)
    {
        m_fleet.set_seeds(ips);
        m_renames_seeds = false;
    }

    /// Lets requests come to hosts of these regions only; empty: to all.
    void direct_requests(std::vector<std::string> regions) { m_asked = std::move(regions); }

    void start_all() { m_fleet.start_all(); }

    /// Cuts a region off from another one, or from all if `to` is empty.
    void cut_off(const std::string& region, const std::string& to, duration length)
    {
        m_cuts.push_back({region, to, m_fleet.now() + length});
    }

    /// Ends the processes of hosts of `region`, of all regions if that is empty, with the given
    /// probability; each starts again after `length`.
    void lose_power(const std::string& region, double probability, duration length)
    {
        for (std::size_t i = 0; i < m_fleet.hosts().size(); ++i) {
            const auto& host = m_fleet.hosts()[i];
            if (host.is_running && (region.empty() || host.region == region) &&
                fraction() < probability) {
                m_fleet.kill(i);
                m_back_at[i] = m_fleet.now() + length;
            }
        }
    }

    void run_for(duration length)
    {
        const time_point end = m_fleet.now() + length;
        while (m_fleet.now() < end) {
            start_again();
            std::erase_if(m_cuts, [this](const cut& each) { return each.until <= m_fleet.now(); });
            m_fleet.run_for(step_length);
            ask();
        }
    }

    /// Plays random disruptions that overlap.
    void disrupt(const disruptions& kinds, duration length)
    {
        const time_point end = m_fleet.now() + length;
        while (m_fleet.now() < end) {
            const duration lasts = between(kinds.shortest, kinds.longest);
            if (kinds.cuts && (!kinds.power_losses || fraction() < 0.5)) {
                const bool is_pair = fraction() < 0.6;
                cut_off(any_region(), is_pair ? any_region() : std::string{}, lasts);
            }
            else {
                const bool is_regional = fraction() < 0.5;
                lose_power(is_regional ? any_region() : std::string{}, fraction() < 0.5 ? 1.0 : 0.4,
                           fraction() < 0.7 ? duration{1s} : lasts);
            }
            run_for(between(1s, lasts));
        }
    }

    /// Lets all disruptions end.
    void calm()
    {
        m_cuts.clear();
        for (time_point& at : m_back_at) {
            at = std::min(at, m_fleet.now());
        }
        run_for(seed_staleness + 1s);
    }

    /// Most tokens that were admitted within the window.
    [[nodiscard]] double most() const noexcept { return m_most; }
    [[nodiscard]] bool all_know_all() const { return m_fleet.fewest_live() == m_fleet.running(); }
    [[nodiscard]] simulated_fleet& fleet() noexcept { return m_fleet; }

private:
    struct cut {
        std::string region;
        std::string other; ///< empty: all others
        time_point until{};

        [[nodiscard]] bool separates(const std::string& from, const std::string& to) const
        {
            return (from == region && (other.empty() || to == other)) ||
                   (to == region && (other.empty() || from == other));
        }
    };

    std::unique_ptr<rate_limiter>& limiter_of(const simulated_fleet::host& host)
    {
        return m_limiters[m_fleet.index_of(host.ip)];
    }

    double fraction() { return std::uniform_real_distribution<double>{0, 1}(m_random); }
    duration between(duration least, duration most)
    {
        return std::chrono::milliseconds{std::uniform_int_distribution<std::int64_t>{
            to_milliseconds(least).count(), to_milliseconds(most).count()}(m_random)};
    }
    std::string any_region()
    {
        const auto& hosts = m_fleet.hosts();
        return hosts[m_random() % hosts.size()].region;
    }

    /// Starts hosts whose power is back, and names running seeds once the named ones are stale.
    void start_again()
    {
        for (std::size_t i = 0; i < m_back_at.size(); ++i) {
            if (!m_fleet.hosts()[i].is_running && m_fleet.now() >= m_back_at[i]) {
                m_fleet.start(i);
            }
        }
        if (!m_renames_seeds) {
            return;
        }
        std::vector<std::string> running;
        for (const auto& host : m_fleet.hosts()) {
            if (host.is_running) {
                running.push_back(host.ip);
            }
        }
        const auto& seeds = m_fleet.seed_ips();
        const bool is_stale = std::any_of(seeds.begin(), seeds.end(), [this](const auto& ip) {
            return !m_fleet.hosts()[m_fleet.index_of(ip)].is_running;
        });
        m_stale_since = is_stale ? std::min(m_stale_since, m_fleet.now()) : time_point::max();
        if (is_stale && m_fleet.now() - m_stale_since >= seed_staleness && !running.empty()) {
            std::shuffle(running.begin(), running.end(), m_random);
            running.resize(std::min(running.size(), seeds.size()));
            m_fleet.set_seeds(running);
        }
    }

    void ask()
    {
        std::vector<simulated_fleet::host*> asked;
        for (auto& host : m_fleet.hosts()) {
            const bool is_meant = m_asked.empty() || std::find(m_asked.begin(), m_asked.end(),
                                                               host.region) != m_asked.end();
            if (host.is_running && is_meant) {
                asked.push_back(&host);
            }
        }
        double admitted = 0;
        m_due += asked.empty() ? 0 : demand * to_seconds(step_length) / request_units;
        for (; m_due >= 1; m_due -= 1) {
            rate_limiter& limiter = *limiter_of(*asked[m_random() % asked.size()]);
            const bool is_admitted =
                limiter.take(organisation, limit, request_units, m_fleet.now()) == duration{0};
            admitted += is_admitted ? request_units : 0;
        }
        m_steps.emplace_back(m_fleet.now(), admitted);
        m_in_window += admitted;
        while (m_steps.front().first <= m_fleet.now() - window) {
            m_in_window -= m_steps.front().second;
            m_steps.pop_front();
        }
        m_most = std::max(m_most, m_in_window);
    }

    std::mt19937_64 m_random;
    simulated_fleet m_fleet;
    std::vector<std::unique_ptr<rate_limiter>> m_limiters;
    std::vector<time_point> m_back_at; ///< of hosts without power
    std::vector<cut> m_cuts;
    std::vector<std::string> m_asked;
    bool m_renames_seeds = true;
    time_point m_stale_since = time_point::max();
    double m_due = 0; ///< requests
    std::deque<std::pair<time_point, double>> m_steps;
    double m_in_window = 0;
    double m_most = 0;
};

std::vector<int> random_sizes(std::mt19937_64& random)
{
    std::vector<int> sizes(std::uniform_int_distribution<std::size_t>{2, 8}(random));
    for (int& size : sizes) {
        size = std::uniform_int_distribution<int>{1, sizes.size() > 4 ? 4 : 8}(random);
    }
    return sizes;
}

} // namespace

// guards against QUOTA: regions whose settings name no seed in each other never meet, and each gives
// out the quota (review/6, and any fleet of more than three regions)
TEST_CASE("regions meet through any region that hears both")
{
    for (const std::vector<int>& sizes :
         {std::vector<int>{3, 3, 3}, {2, 2, 2, 2, 2}, {1, 4, 1, 2, 3, 1, 2, 1}}) {
        CAPTURE(sizes.size());
        quota_schedule day{sizes, 1};
        day.set_seeds({"10.1.1.1"});
        day.start_all();
        day.run_for(contact_time);
        CHECK(day.all_know_all());
        day.run_for(20s);
        CHECK(day.most() <= allowed);
    }
}

// guards against QUOTA: two regions that lose each other, and reach a third one, give out the quota
// twice
TEST_CASE("two regions that lose each other keep the quota by the word of a third one")
{
    for (const int regions : {3, 4, 8, 12}) {
        CAPTURE(regions);
        quota_schedule day{std::vector<int>(static_cast<std::size_t>(regions), 3), 1};
        day.start_all();
        day.direct_requests({"region-1", "region-2"});
        day.run_for(10s);
        day.cut_off("region-1", "region-2", 1h);
        day.run_for(3s);
        for (const auto& host : day.fleet().hosts()) {
            if (host.region == "region-1") {
                // it knows what they use, but reaches none of them
                CHECK_FALSE(
                    host.membership->members().has_live_host("region-2", day.fleet().now()));
            }
        }
        day.run_for(150s);
        CHECK(day.most() <= allowed);
    }
}

// guards against QUOTA: a region that is cut off from all others is forgotten, and the quota is given
// out on both sides
TEST_CASE("regions that lose each other for minutes keep to their parts of the quota")
{
    // as after a long time: that regions exist isn't assumed, but remembered
    fleet_membership_options options;
    options.assumption_time = 5s;
    for (const int hosts : {3, 6, 8}) {
        CAPTURE(hosts);
        quota_schedule alone{{hosts, hosts, hosts}, 1, options};
        alone.start_all();
        alone.run_for(10s);
        alone.cut_off("region-1", {}, 1h);
        alone.run_for(200s);
        CHECK(alone.most() <= allowed);

        quota_schedule all{{hosts, hosts, hosts, hosts}, 1, options};
        all.start_all();
        all.run_for(10s);
        for (const std::string region : {"region-1", "region-2", "region-3"}) {
            all.cut_off(region, {}, 1h);
        }
        all.run_for(100s);
        // hosts that start meanwhile learn of the silent ones
        all.lose_power({}, 0.5, 1s);
        all.run_for(100s);
        CHECK(all.most() <= allowed);
    }
}

// guards against QUOTA: hosts that start while their seeds are dark each take a large part
TEST_CASE("hosts that know nobody keep to small parts of the quota")
{
    quota_schedule day{{8, 8, 8, 8}, 1};
    day.set_seeds({"10.9.1.1", "10.9.1.2", "10.9.1.3"});
    day.start_all();
    day.run_for(60s);
    CHECK(day.most() <= allowed);
    day.set_seeds({"10.2.1.1"});
    day.run_for(contact_time);
    CHECK(day.all_know_all());
}

TEST_CASE("random cuts and losses of power keep the quota")
{
    constexpr std::uint64_t schedules = 24;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random{seed};
        const bool has_power_losses = seed % 4 != 2;
        fleet_membership_options options;
        if (!has_power_losses) {
            // as after a long time: that regions exist isn't assumed, but remembered
            options.assumption_time = 5s;
        }
        quota_schedule day{random_sizes(random), seed, options};
        day.choose_seeds(3);
        day.start_all();
        day.run_for(10s);
        if (seed % 3 == 0) {
            day.direct_requests({"region-1", "region-2"});
        }
        day.disrupt({.cuts = seed % 4 != 1,
                     .power_losses = has_power_losses,
                     .longest = seed % 2 == 0 ? duration{40s} : duration{150s}},
                    120s);
        day.calm();
        day.run_for(contact_time);
        CHECK(day.most() <= allowed);
        CHECK(day.all_know_all());
    }
}
