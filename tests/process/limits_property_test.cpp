#include "process/limits/limiter.h"
#include "support/limiter_fleet.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm> // any_of, find, max, min
#include <map>       // map
#include <memory>    // make_shared
#include <random>    // mt19937_64
#include <string>    // string
#include <vector>    // vector

using namespace hickorykeel;
using namespace std::chrono_literals;

namespace {

constexpr double rounding_tolerance = 1e-3; // tokens, of sums over a whole run

// short terms, so that each of them ends within a run of seconds
limiter_options short_term_options()
{
    limiter_options options;
    options.weights.minimum_slots = 2; // all slots are in use, so that nothing is left unused
    options.loan_term = 400ms;
    options.loan_reply_timeout = 150ms;
    options.claim_interval = 100ms;
    options.shares.hold_term = 1s;
    options.shares.isolation_term = 4s;
    options.shares.settle_term = 400ms;
    options.shares.counts_forgotten_consents = true;
    return options;
}

// Faults and changes of a random schedule. Rates are probabilities per step of 10 ms.
struct disturbance {
    double loss = 0.05;
    double duplication = 0.05;
    duration jitter = 30ms;
    double cut = 0.02;
    double pause = 0.005;
    double replacement = 0.003;
    double change_host_list = 0.002;
    double republish = 0.005;
    bool changes_home = true;
    bool changes_rate = true;
    double burst_seconds = 0.5; // of the rate
    duration intra_domain_delay = 1ms;
    duration cross_domain_delay = 20ms;
    double max_request_tokens = 40;
    double dropped_keeps_running = 0.5; // fraction of removed hosts that keep running, isolated
};

// One random run: hosts in two failure domains, each with its own lag of the published states.
class random_run {
public:
    random_run(std::uint64_t seed, const limiter_options& options, const disturbance& wanted)
        : m_random{seed}, m_disturbance{wanted}, m_fleet{seed,
                                                         options,
                                                         {wanted.loss, wanted.duplication,
                                                          wanted.jitter, wanted.intra_domain_delay,
                                                          wanted.cross_domain_delay}}
    {
        const int count = 3 + static_cast<int>(m_random() % 5);
        for (int i = 0; i < count; ++i) {
            const std::string domain = i % 3 == 2 ? "b" : "a";
            m_names.push_back(domain + std::to_string(i));
        }
        m_listed = m_names;
        publish_configuration();
        publish_list();
        for (const std::string& name : m_names) {
            replace(name);
        }
    }

    // Largest excess over any window, with the largest rate and burst that were in force.
    double excess()
    {
        bool is_busy = true;
        for (int step = 0; step < 1'500; ++step) {
            apply_disturbances();
            // buckets fill while idle, then all hosts drain them at once
            is_busy = happens(0.04) ? !is_busy : is_busy;
            const int requests = is_busy ? 6 : 0;
            for (int i = 0; i < requests; ++i) {
                request();
            }
            m_fleet.run_until(m_fleet.now() + 10ms);
            add_up_shares();
        }
        double largest = -m_largest_burst;
        for (const std::string account : {"volunteers", "volunteers/summary"}) {
            const bool is_own = account == "volunteers";
            const double part = is_own ? 1 : 0.25;
            largest =
                std::max(largest, largest_excess(m_fleet.charges(account), m_largest_rate * part,
                                                 m_largest_burst * part));
        }
        return largest;
    }

    // Largest sum of the fractions in use within a failure domain at any step.
    [[nodiscard]] double largest_share() const { return m_largest_share; }

    double granted() { return m_fleet.totals("volunteers").granted_tokens; }

private:
    bool happens(double rate)
    {
        return std::uniform_real_distribution<double>{0, 1}(m_random) < rate;
    }

    const std::string& random_host() { return m_names[m_random() % m_names.size()]; }

    void publish_configuration()
    {
        auto published = std::make_shared<configuration>();
        published->revision = m_configurations.size() + 1;
        published->failure_domains["a"] = {"a", "a"};
        published->failure_domains["b"] = {"b", "b"};
        const double rate = m_disturbance.changes_rate && happens(0.5) ? 500 : 1000;
        const std::string home = m_disturbance.changes_home && happens(0.5) ? "b" : "a";
        published->organisations["volunteers"] = {
            "volunteers", home, rate, rate * m_disturbance.burst_seconds, {}};
        published->profiles["summary"].rate = rate / 4;
        published->profiles["summary"].burst = rate * m_disturbance.burst_seconds / 4;
        m_largest_rate = std::max(m_largest_rate, rate);
        m_largest_burst = std::max(m_largest_burst, rate * m_disturbance.burst_seconds);
        m_configurations.push_back(published);
    }

    void publish_list()
    {
        auto list = std::make_shared<host_list>();
        list->revision = m_lists.size() + 1;
        for (const std::string& name : m_listed) {
            list->hosts.push_back({name, name.substr(0, 1), host_state::live, {}, {}, {}, {}});
        }
        m_lists.push_back(list);
    }

    void replace(const std::string& name)
    {
        m_fleet.start(name, name.substr(0, 1));
        publish_latest(name);
    }

    void publish_latest(const std::string& name)
    {
        m_fleet.publish(name, m_configurations.back());
        m_fleet.publish(name, m_lists.back());
        m_last_lists[name] = m_lists.back();
    }

    void apply_disturbances()
    {
        if (happens(m_disturbance.cut)) {
            m_fleet.set_link_cut(random_host(), random_host(), happens(0.2));
        }
        if (happens(m_disturbance.pause)) {
            m_fleet.pause(random_host(), m_fleet.now() + 10ms * (m_random() % 200));
        }
        if (happens(m_disturbance.replacement)) {
            replace(random_host());
        }
        if (happens(m_disturbance.change_host_list)) {
            change_host_list();
        }
        if (happens(m_disturbance.republish)) {
            publish_configuration();
        }
        const std::string& receiver = random_host();
        if (m_fleet.is_running(receiver) && is_listed(receiver) && happens(0.2)) {
            publish_latest(receiver);
        }
    }

    // Removes a host from the list, stopped, or running but isolated as if the platform took it for
    // stopped; or adds it again.
    void change_host_list()
    {
        const std::string& name = random_host();
        const auto found = std::find(m_listed.begin(), m_listed.end(), name);
        if (found != m_listed.end() && m_listed.size() > 2) {
            if (has_listed_peer(name) && happens(m_disturbance.dropped_keeps_running)) {
                set_host_isolated(name, true);
            }
            else {
                m_fleet.stop(name);
            }
            m_listed.erase(found);
            publish_list();
        }
        else if (found == m_listed.end()) {
            m_listed.push_back(name);
            publish_list();
            if (m_fleet.is_running(name)) {
                set_host_isolated(name, false);
            }
            else {
                replace(name);
            }
        }
    }

    // Returns whether the last host list of `name` has another listed host of its failure domain.
    // A host without one keeps using the whole weight, so it must not keep running after removal.
    bool has_listed_peer(const std::string& name)
    {
        const auto& known = m_last_lists.at(name)->hosts;
        return std::any_of(known.begin(), known.end(), [&](const host& other) {
            return other.name != name && other.failure_domain == name.substr(0, 1) &&
                   is_listed(other.name);
        });
    }

    void set_host_isolated(const std::string& name, bool is_cut)
    {
        for (const std::string& other : m_names) {
            m_fleet.set_link_cut(name, other, is_cut);
        }
    }

    bool is_listed(const std::string& name)
    {
        return std::find(m_listed.begin(), m_listed.end(), name) != m_listed.end();
    }

    void add_up_shares()
    {
        std::map<std::string, double> sums;
        for (const std::string& name : m_names) {
            if (m_fleet.is_responsive(name)) {
                m_fleet.at(name).settle(0, 0, m_fleet.now()); // advances the limiter to now
                sums[name.substr(0, 1)] += m_fleet.at(name).fraction();
            }
        }
        for (const auto& [domain, sum] : sums) {
            m_largest_share = std::max(m_largest_share, sum);
        }
    }

    void request()
    {
        const std::string& name = random_host();
        if (!m_fleet.is_running(name)) {
            return;
        }
        const double tokens =
            1 + static_cast<double>(m_random() %
                                    static_cast<std::uint64_t>(m_disturbance.max_request_tokens));
        const double used = happens(0.5) ? tokens : tokens / 4;
        const std::vector<std::string> accounts =
            happens(0.3) ? std::vector<std::string>{"volunteers", "volunteers/summary"}
                         : std::vector<std::string>{"volunteers"};
        m_fleet.reserve(name, accounts, tokens, used, 50ms);
    }

    std::mt19937_64 m_random;
    disturbance m_disturbance;
    std::vector<std::string> m_names;
    std::vector<std::string> m_listed;
    std::vector<configuration_ptr> m_configurations;
    std::vector<host_list_ptr> m_lists;
    std::map<std::string, host_list_ptr> m_last_lists;
    double m_largest_rate = 0;
    double m_largest_burst = 0;
    double m_largest_share = 0;
    limiter_fleet m_fleet;
};

constexpr int max_seeds = 60;
constexpr double full_share = 1 + 1e-6; // with the rounding of sums

// Returns the largest excess of up to max_seeds runs; stops at the first above
// `rounding_tolerance`.
double worst_excess(const limiter_options& options, const disturbance& wanted)
{
    double worst = -1e9;
    for (int i = 0; i < max_seeds && worst <= rounding_tolerance; ++i) {
        worst = std::max(worst,
                         random_run{static_cast<std::uint64_t>(i + 1), options, wanted}.excess());
    }
    return worst;
}

// Returns the largest sum of shares of up to max_seeds runs; stops at the first above `full_share`.
double worst_share(const limiter_options& options, const disturbance& wanted)
{
    double worst = 0;
    for (int i = 0; i < max_seeds && worst <= full_share; ++i) {
        random_run run{static_cast<std::uint64_t>(i + 1), options, wanted};
        run.excess();
        worst = std::max(worst, run.largest_share());
    }
    return worst;
}

} // namespace

TEST_CASE("limits hold over every window of random schedules")
{
    const bool is_kept = rc::check("admitted <= burst + rate * t", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        random_run run{seed, short_term_options(), {}};
        RC_ASSERT(run.excess() <= rounding_tolerance);
        RC_ASSERT(run.largest_share() <= full_share);
        RC_ASSERT(run.granted() > 0);
    });
    CHECK(is_kept);
}

TEST_CASE("limits hold without disturbance and tokens are granted")
{
    random_run run{1, short_term_options(), {0, 0, 0ms, 0, 0, 0, 0, 0, false, false}};
    CHECK(run.excess() <= rounding_tolerance);
    CHECK(run.granted() > 0);
}

TEST_CASE("limits break without each rule")
{
    limiter_options options = short_term_options();
    disturbance wanted;
    wanted.changes_rate = false;
    wanted.changes_home = false;
    wanted.loss = 0;
    wanted.max_request_tokens = 20;
    SUBCASE("lending without capacity")
    {
        options.lends_capacity = false;
        wanted.cut = 0;
        wanted.burst_seconds = 0.1;
        wanted.intra_domain_delay = 50ms;
        wanted.cross_domain_delay = 60ms;
        CHECK(worst_excess(options, wanted) > rounding_tolerance);
    }
    SUBCASE("gain of a share without consent")
    {
        options.shares.waits_for_consent = false;
        wanted.cut = 0;
        wanted.change_host_list = 0.01;
        CHECK(worst_share(options, wanted) > full_share);
    }
    SUBCASE("full use without renewed consent")
    {
        wanted.cut = 0;
        wanted.pause = 0;
        wanted.replacement = 0;
        wanted.dropped_keeps_running = 1;
        CHECK(worst_share(options, wanted) <= full_share);
        options.shares.expires_consents = false;
        CHECK(worst_share(options, wanted) > full_share);
    }
    SUBCASE("gain of a failure domain's weight without confirmation")
    {
        options.weights.waits_for_confirmation = false;
        wanted.changes_home = true;
        wanted.cut = 0;
        wanted.republish = 0.02;
        wanted.max_request_tokens = 40;
        CHECK(worst_excess(options, wanted) > rounding_tolerance);
    }
}
