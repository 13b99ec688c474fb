#include "gateway/limits/rate_limiter.h"

#include <algorithm> // max
#include <chrono>    // milliseconds
#include <deque>     // deque
#include <random>    // mt19937_64
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
constexpr rate_limit limit{.rate = 1'000, .burst = 1'000};

/// Units that a fleet admits of an organisation that asks without pause for `span`.
struct fleet_run {
    std::size_t hosts = 6;
    duration report_delay = 300ms;
    std::size_t cut_off = 0; ///< hosts that neither hear nor are heard
    double units = 50;       ///< of one request
    bool divides = true;     ///< a host takes only the part of the hosts that it hears

    /// Largest sum over a window of eight seconds.
    [[nodiscard]] double worst_window() const
    {
        constexpr duration step = 10ms;
        constexpr duration span = 40s;
        constexpr std::size_t window_steps = 8s / step;
        std::vector<rate_limiter> ledgers(hosts, rate_limiter{start});
        for (std::size_t host = 0; host < hosts && divides; ++host) {
            const std::size_t heard = host < cut_off ? 1 : hosts - cut_off;
            ledgers[host].set_share(static_cast<double>(heard) / static_cast<double>(hosts));
        }
        std::deque<double> window;
        std::deque<std::pair<time_point, std::vector<std::map<std::string, double>>>> reports;
        double sum = 0;
        double worst = 0;
        for (time_point now = start; now < start + span; now += step) {
            double admitted = 0;
            std::vector<std::map<std::string, double>> used;
            for (rate_limiter& ledger : ledgers) {
                while (ledger.take("o", limit, units, now) == duration{0}) {
                    admitted += units;
                }
                used.push_back(ledger.used());
            }
            reports.emplace_back(now + report_delay, used);
            while (!reports.empty() && reports.front().first <= now) {
                deliver(ledgers, reports.front().second);
                reports.pop_front();
            }
            window.push_back(admitted);
            sum += admitted;
            if (window.size() > window_steps) {
                sum -= window.front();
                window.pop_front();
            }
            worst = std::max(worst, sum);
        }
        return worst;
    }

private:
    void deliver(std::vector<rate_limiter>& ledgers,
                 const std::vector<std::map<std::string, double>>& used) const
    {
        for (std::size_t to = cut_off; to < hosts; ++to) {
            for (std::size_t from = cut_off; from < hosts; ++from) {
                if (from != to) {
                    ledgers[to].on_report(std::to_string(from), 1, used[from]);
                }
            }
        }
    }
};

/// What the users allow in a window of eight seconds, without the slack.
constexpr double allowed = (1'000.0 * 8 + 1'000) * 1.25;

/// Slack in proportion to this limit.
constexpr double slack = 1'000;

} // namespace

TEST_CASE("an organisation without a limit is never refused")
{
    rate_limiter ledger{start};
    CHECK(ledger.take("o", {}, 1e9, start) == duration{0});
}

TEST_CASE("a request larger than what is left is paid back before the next one")
{
    rate_limiter ledger{start};
    const time_point later = start + 10s;
    CHECK(ledger.take("o", limit, 3'000, later) == duration{0});
    const duration wait = ledger.take("o", limit, 1, later);
    CHECK(wait >= 2s);
    CHECK(wait < 2'100ms);
    CHECK(ledger.take("o", limit, 1, later + wait) == duration{0});
}

TEST_CASE(
    "regression: the first request of an organisation finds what has gathered since the start")
{
    // the bucket began to fill at the first request, and the next ones were refused
    rate_limiter ledger{start};
    double admitted = 0;
    while (ledger.take("o", limit, 100, start + 10s) == duration{0}) {
        admitted += 100;
    }
    CHECK(admitted >= limit.burst);
}

TEST_CASE("units of a request that has not run are given back")
{
    rate_limiter ledger{start};
    ledger.take("o", limit, 5'000, start + 10s);
    ledger.refund("o", 5'000);
    CHECK(ledger.take("o", limit, 1, start + 10s) == duration{0});
    CHECK(ledger.used().at("o") == 1);
}

TEST_CASE("hot organisation: all hosts together keep its limit over each window")
{
    CHECK(fleet_run{}.worst_window() <= allowed + slack);
    CHECK(fleet_run{.report_delay = 100ms}.worst_window() <= allowed);
    CHECK(fleet_run{.hosts = 7, .units = 200}.worst_window() <= allowed + slack);
}

TEST_CASE("hot organisation behind a cut: each side takes its part")
{
    CHECK(fleet_run{.cut_off = 2}.worst_window() <= allowed + slack);
    CHECK(fleet_run{.cut_off = 6}.worst_window() <= allowed + slack);
    // without the division the sides add up
    CHECK(fleet_run{.cut_off = 6, .divides = false}.worst_window() > allowed + slack);
}

TEST_CASE("a restarted host's reports begin anew")
{
    rate_limiter ledger{start};
    ledger.on_report("h", 1, {{"o", 5'000}});
    ledger.on_report("h", 2, {{"o", 100}});
    ledger.on_report("h", 2, {{"o", 300}});
    double admitted = 0;
    while (ledger.take("o", limit, 100, start + 10s) == duration{0}) {
        admitted += 100;
    }
    // 300 units of the new incarnation, and none of what was used before the first report
    CHECK(admitted <= limit.burst + 100);
}
