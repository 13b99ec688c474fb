// Compares ways of routing on a simulated clock; see docs/design/routing.md.
#include "demand.h"
#include "fake_endpoint.h"
#include "fleet.h"

#include <algorithm>  // sort, max, min
#include <array>      // array
#include <chrono>     // seconds
#include <cstdio>     // printf
#include <functional> // function
#include <memory>     // make_shared, make_unique
#include <string>     // string
#include <vector>     // vector

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

namespace hickorykeel::bench {

namespace {

/// Requests that arrive before this are not counted: the dispatchers learn.
constexpr duration warm_up{std::chrono::seconds{30}};

/// When a fault begins and ends.
constexpr duration fault_begin{std::chrono::seconds{120}};
constexpr duration fault_end{std::chrono::seconds{180}};

/// After a fault has ended, its traces should be gone by this.
constexpr duration recovered{std::chrono::seconds{220}};

/// Organisation that sends more than its share, and how much.
constexpr std::size_t greedy_organisation = 1;
constexpr double greedy_factor = 5;

enum class scenario { steady, greedy, region_lost, endpoint_slow, region_slow, link_slow };
constexpr std::array scenario_names{"steady",        "greedy",      "region_lost",
                                    "endpoint_slow", "region_slow", "link_slow"};

/// One run of one contestant.
struct run_plan {
    const contestant* way;
    const user_shape* user;
    scenario what;
    double load;
    std::uint64_t seed;
};

/// What a run measured. Times in seconds.
struct measures {
    std::array<double, 3> first_token{}; // p50, p95, p99 of interactive requests
    std::array<double, 3> last_token{};  // of all requests
    double batch_first_p95 = 0;
    double recomputed_per_request = 0; // prefix tokens
    double forwarded = 0;              // share of requests
    double worst_p95_ratio = 0;        // first token: worst organisation over the median one
    double worst_served = 0;           // smallest share of an organisation's tokens served
    double refused = 0;                // share of rightful requests not served in time
    double retries = 0;                // for each request
    double hedges = 0;
    double late_first_p99 = 0; // after a fault has ended
    double late_refused = 0;
    std::size_t requests = 0;
};

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

std::array<double, 3> quantiles(const std::vector<double>& values)
{
    return {quantile(values, 0.5), quantile(values, 0.95), quantile(values, 0.99)};
}

/// Time until `elapsed`, the deadline where the request was not served: a refusal is no fast answer.
double counted(const request& asked, bool has_it, duration elapsed)
{
    const duration deadline = kinds[asked.kind].deadline;
    return to_seconds(has_it ? std::min(elapsed, deadline) : deadline);
}

double first_token_of(const request& asked)
{
    return counted(asked, asked.has_first && asked.is_served, asked.first_token);
}

/// Draws all requests of a run ahead, so that each contestant gets the same.
std::vector<request_ptr> draw_demand(const run_plan& plan)
{
    random_source random{plan.seed};
    const double speed_sum = [] {
        double sum = 0;
        for (const double speed : fleet::speeds) {
            sum += speed;
        }
        return sum;
    }();
    const double model_share = 1 - plan.user->mix.back();
    const double capacity = fleet::slots * speed_sum / slot_seconds(*plan.user, fleet::slots);
    const double mean_rate = plan.load * capacity / model_share;
    const double greedy_share = plan.user->organisations[greedy_organisation];
    const bool is_greedy = plan.what == scenario::greedy;
    const double extra = is_greedy ? (greedy_factor - 1) * greedy_share : 0;
    std::vector<request_ptr> drawn;
    for (std::size_t region = 0; region < region_count; ++region) {
        time_point moment{};
        const double highest = mean_rate * (1 + peak) * (1 + extra);
        while (moment < time_point{day}) {
            moment += from_seconds(-std::log(1 - random_fraction(random)) / highest);
            if (random_fraction(random) * (1 + peak) > daily_factor(moment, region)) {
                continue;
            }
            auto made = std::make_shared<request>();
            const bool is_extra = random_fraction(random) * (1 + extra) < extra;
            made->organisation =
                is_extra ? greedy_organisation : weighted_index(random, plan.user->organisations);
            made->kind = weighted_index(random, plan.user->mix);
            made->region = region;
            made->weight = plan.user->organisations[made->organisation];
            made->arrived = moment;
            made->asked = make_work(kinds[made->kind], made->organisation, random);
            drawn.push_back(made);
        }
    }
    std::sort(drawn.begin(), drawn.end(), [](const request_ptr& lhs, const request_ptr& rhs) {
        return lhs->arrived < rhs->arrived;
    });
    for (std::size_t i = 0; i < drawn.size(); ++i) {
        drawn[i]->id = i + 1;
    }
    return drawn;
}

void plan_faults(simulation& clock, fleet& system, scenario what)
{
    const auto at = [&clock](duration moment, std::function<void()> action) {
        clock.after(moment, std::move(action));
    };
    if (what == scenario::region_lost) {
        at(fault_begin, [&system] {
            for (fake_endpoint* each : system.endpoints_of(0)) {
                each->go_down();
            }
        });
        at(fault_end, [&system] {
            for (fake_endpoint* each : system.endpoints_of(0)) {
                each->come_up();
            }
        });
    }
    if (what == scenario::endpoint_slow) {
        // the fastest becomes the slowest and does not fail
        fake_endpoint* slowed = system.endpoints_of(0).front();
        const double speed = slowed->speed();
        at(fault_begin, [slowed, speed] { slowed->set_speed(speed / 20); });
        at(fault_end, [slowed, speed] { slowed->set_speed(speed); });
    }
    if (what == scenario::region_slow) {
        for (fake_endpoint* each : system.endpoints_of(0)) {
            const double speed = each->speed();
            at(fault_begin, [each, speed] { each->set_speed(speed / 100); });
            at(fault_end, [each, speed] { each->set_speed(speed); });
        }
    }
    if (what == scenario::link_slow) {
        at(fault_begin, [&system] { system.slow_link(); });
    }
}

measures summarise(const std::vector<request_ptr>& demand, const fleet& system, scenario what)
{
    measures found;
    std::vector<double> first;
    std::vector<double> last;
    std::vector<double> batch;
    std::vector<double> late;
    std::array<std::vector<double>, organisation_count> by_organisation;
    std::array<double, organisation_count> asked_tokens{};
    std::array<double, organisation_count> served_tokens{};
    double rightful = 0;
    double refused = 0;
    double late_refused = 0;
    double forwarded = 0;
    double model_requests = 0;
    for (const request_ptr& each : demand) {
        model_requests += kinds[each->kind].is_service ? 0 : 1;
        if (each->arrived < time_point{warm_up}) {
            continue;
        }
        ++found.requests;
        forwarded += each->was_forwarded ? 1 : 0;
        const double first_token = first_token_of(*each);
        const bool is_greedy =
            what == scenario::greedy && each->organisation == greedy_organisation;
        if (!is_greedy) {
            (each->asked.is_interactive ? first : batch).push_back(first_token);
            last.push_back(counted(*each, each->is_served, each->last_token));
            rightful += 1;
            refused += each->is_served ? 0 : 1;
            asked_tokens[each->organisation] += static_cast<double>(each->tokens());
            served_tokens[each->organisation] +=
                each->is_served ? static_cast<double>(each->tokens()) : 0;
            if (kinds[each->kind].name == "quick question") {
                by_organisation[each->organisation].push_back(first_token);
            }
        }
        if (each->arrived >= time_point{recovered}) {
            late_refused += each->is_served ? 0 : 1;
            if (each->asked.is_interactive) {
                late.push_back(first_token);
            }
        }
    }
    std::vector<double> p95;
    found.worst_served = 1;
    for (std::size_t i = 0; i < organisation_count; ++i) {
        if (!by_organisation[i].empty()) {
            p95.push_back(quantile(by_organisation[i], 0.95));
            found.worst_served = std::min(found.worst_served, served_tokens[i] / asked_tokens[i]);
        }
    }
    const double median = quantile(p95, 0.5);
    found.first_token = quantiles(first);
    found.last_token = quantiles(last);
    found.batch_first_p95 = quantile(batch, 0.95);
    found.recomputed_per_request = static_cast<double>(system.recomputed()) / model_requests;
    found.forwarded = forwarded / static_cast<double>(found.requests);
    found.worst_p95_ratio = median > 0 ? quantile(p95, 1) / median : 0;
    found.refused = refused / rightful;
    found.retries = static_cast<double>(system.retries()) / static_cast<double>(demand.size());
    found.hedges = static_cast<double>(system.hedges()) / static_cast<double>(demand.size());
    found.late_first_p99 = quantile(late, 0.99);
    found.late_refused = late_refused / static_cast<double>(std::max<std::size_t>(late.size(), 1));
    return found;
}

measures run(const run_plan& plan)
{
    const std::vector<request_ptr> demand = draw_demand(plan);
    simulation clock;
    fleet system{clock, *plan.way, plan.seed};
    for (const request_ptr& each : demand) {
        clock.after(each->arrived - time_point{}, [&system, each] { system.arrive(each); });
    }
    plan_faults(clock, system, plan.what);
    constexpr duration longest_deadline{std::chrono::seconds{60}};
    clock.run(time_point{day} + longest_deadline);
    measures found = summarise(demand, system, plan.what);
    for (const request_ptr& each : demand) {
        each->copies.clear(); // each copy holds its request
    }
    return found;
}

template <typename Policy>
std::unique_ptr<endpoint_policy> make()
{
    return std::make_unique<Policy>();
}

/// The default policy with one setting changed.
template <typename Value>
contestant make_variant(const std::string& name, Value weigh_settings::*member, Value value)
{
    weigh_settings settings;
    settings.*member = value;
    return {"weigh-" + name, [settings] { return std::make_unique<weigh_policy>(settings); }, true};
}

std::vector<contestant> make_contestants(bool with_variants)
{
    std::vector<contestant> made{
        {"random", make<random_policy>},
        {"round_robin", make<round_robin_policy>},
        {"least_outstanding", make<least_outstanding_policy>},
        {"power_of_two", make<power_of_two_policy>},
        {"least_outstanding+queue", make<least_outstanding_policy>, true},
        {"power_of_two+queue", make<power_of_two_policy>, true},
        {"weigh", make<weigh_policy>, true},
        {"weigh+hedge", make<weigh_policy>, true, true},
    };
    if (!with_variants) {
        return made;
    }
    made.push_back({"weigh-direct", make<weigh_policy>});
    made.push_back(make_variant("no-affinity", &weigh_settings::affinity_discount, 1.0));
    made.push_back(make_variant("discount-0.35", &weigh_settings::affinity_discount, 0.35));
    made.push_back(make_variant("bound-2", &weigh_settings::affinity_bound, 2.0));
    made.push_back(make_variant("hot-1", &weigh_settings::hot_utilisation, 1.0));
    made.push_back(make_variant("slow-1.2", &weigh_settings::slow_factor, 1.2));
    made.push_back(make_variant("slow-2.5", &weigh_settings::slow_factor, 2.5));
    made.push_back(make_variant("slow-4", &weigh_settings::slow_factor, 4.0));
    made.push_back(make_variant("slow-off", &weigh_settings::slow_factor, 1e9));
    made.push_back(make_variant("margin-1", &weigh_settings::deadline_margin, 1.0));
    made.push_back(make_variant("margin-3", &weigh_settings::deadline_margin, 3.0));
    made.push_back(make_variant("samples-6", &weigh_settings::samples, std::size_t{6}));
    return made;
}

void print_row(const run_plan& plan, const measures& found)
{
    std::printf("%-24s %6.2f %6.2f %6.2f  %6.2f %6.2f %6.2f  %6.2f %6.0f %6.3f %6.2f %6.3f %7.4f "
                "%6.3f %6.3f %6.2f %7.4f\n",
                plan.way->name.c_str(), found.first_token[0], found.first_token[1],
                found.first_token[2], found.last_token[0], found.last_token[1], found.last_token[2],
                found.batch_first_p95, found.recomputed_per_request, found.forwarded,
                found.worst_p95_ratio, found.worst_served, found.refused, found.retries,
                found.hedges, found.late_first_p99, found.late_refused);
}

void print_json(const run_plan& plan, const measures& found)
{
    const nlohmann::json row{{"way", plan.way->name},
                             {"user", plan.user->name},
                             {"scenario", scenario_names[static_cast<std::size_t>(plan.what)]},
                             {"load", plan.load},
                             {"seed", plan.seed},
                             {"requests", found.requests},
                             {"first_token_s", found.first_token},
                             {"last_token_s", found.last_token},
                             {"batch_first_token_p95_s", found.batch_first_p95},
                             {"recomputed_prefix_tokens_per_request", found.recomputed_per_request},
                             {"forwarded", found.forwarded},
                             {"worst_organisation_p95_ratio", found.worst_p95_ratio},
                             {"worst_organisation_served", found.worst_served},
                             {"refused", found.refused},
                             {"retries_per_request", found.retries},
                             {"hedges_per_request", found.hedges},
                             {"late_first_token_p99_s", found.late_first_p99},
                             {"late_refused", found.late_refused}};
    std::printf("%s\n", row.dump().c_str());
}

void print_title(const run_plan& plan)
{
    std::printf("\n%s, %s, load %.0f %%\n", std::string{plan.user->name}.c_str(),
                scenario_names[static_cast<std::size_t>(plan.what)], plan.load * 100);
    std::printf("%-24s %20s  %20s  %6s %6s %6s %6s %6s %7s %6s %6s %6s %7s\n", "way",
                "first p50/p95/p99", "last p50/p95/p99", "batch", "prefix", "fwd", "worst",
                "served", "refused", "retry", "hedge", "after", "refused");
}

struct plan_group {
    scenario what;
    double load;
};

constexpr std::array plan_groups{
    plan_group{scenario::steady, 0.5},      plan_group{scenario::steady, 0.8},
    plan_group{scenario::steady, 0.95},     plan_group{scenario::greedy, 0.6},
    plan_group{scenario::region_lost, 0.6}, plan_group{scenario::endpoint_slow, 0.6},
    plan_group{scenario::region_slow, 0.6}, plan_group{scenario::link_slow, 0.8},
};

} // namespace

} // namespace hickorykeel::bench

int main(int argc, char** argv)
{
    using namespace hickorykeel::bench;
    TCLAP::CmdLine line{"Compares ways of routing on a simulated clock.", ' ', "0.1.0"};
    const TCLAP::SwitchArg as_json{"j", "json", "print JSON lines", line};
    const TCLAP::SwitchArg with_variants{"", "variants", "also run variants of the default", line};
    const TCLAP::ValueArg<std::uint64_t> seed{"s", "seed", "of the demand", false, 1, "n", line};
    const TCLAP::ValueArg<std::string> only{"o",    "only", "run only this scenario", false, "",
                                            "name", line};
    const TCLAP::ValueArg<std::string> way{
        "w", "way", "run only ways whose name begins so", false, "", "name", line};
    line.parse(argc, argv);

    const std::vector<contestant> contestants = make_contestants(with_variants.getValue());
    for (const user_shape& user : users) {
        for (const plan_group& group : plan_groups) {
            const std::string name = scenario_names[static_cast<std::size_t>(group.what)];
            if (!only.getValue().empty() && only.getValue() != name) {
                continue;
            }
            if (!as_json.getValue()) {
                print_title({nullptr, &user, group.what, group.load, seed.getValue()});
            }
            for (const contestant& each : contestants) {
                if (!each.name.starts_with(way.getValue())) {
                    continue;
                }
                const run_plan plan{&each, &user, group.what, group.load, seed.getValue()};
                const measures found = run(plan);
                as_json.getValue() ? print_json(plan, found) : print_row(plan, found);
            }
        }
    }
    return 0;
}
