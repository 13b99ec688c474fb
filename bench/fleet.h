#pragma once

#include "demand.h"
#include "fake_endpoint.h"
#include "process/routing/domain_choice.h"
#include "process/routing/hedge_policy.h"
#include "process/routing/target_scheduler.h"

#include <algorithm>     // find
#include <functional>    // function
#include <memory>        // unique_ptr, shared_ptr
#include <string>        // string, to_string
#include <unordered_map> // unordered_map
#include <variant>       // get, holds_alternative
#include <vector>        // vector

namespace hickorykeel::bench {

/// A way of routing that takes part in the comparison.
struct contestant {
    std::string name;
    std::function<std::unique_ptr<endpoint_policy>()> make_policy;
    bool uses_queue = false; ///< requests wait in the dispatcher, else at the endpoint
    bool hedges = false;
};

/// A generated request and what became of it.
struct request {
    std::uint64_t id = 0;
    std::size_t kind = 0;
    std::size_t organisation = 0;
    std::size_t region = 0;
    double weight = 1; ///< share of its organisation
    work asked;
    time_point arrived{};
    duration first_token{0};
    duration last_token{0};
    std::uint32_t tries = 0; ///< sent to an endpoint
    bool has_first = false;
    bool is_over = false;
    bool is_served = false;
    bool was_forwarded = false;
    std::vector<std::string> visited;
    std::vector<std::size_t> excluded;
    std::vector<std::pair<fake_endpoint*, copy_ptr>> copies;

    [[nodiscard]] std::uint64_t tokens() const
    {
        return asked.prefix_tokens + asked.own_tokens + asked.output_tokens;
    }
    [[nodiscard]] time_point deadline() const { return arrived + kinds[kind].deadline; }
};

using request_ptr = std::shared_ptr<request>;

/// One dispatcher's part for one target: the scheduling of the product, on the simulated clock.
class dispatcher {
public:
    dispatcher(simulation& clock, const contestant& way, std::vector<fake_endpoint*> endpoints,
               std::size_t hosts, std::uint64_t seed,
               std::function<void(const request_ptr&)> refuse)
        : m_clock{clock}, m_way{way}, m_endpoints{std::move(endpoints)},
          m_scheduler{way.make_policy(), seed}, m_refuse{std::move(refuse)}
    {
        std::vector<endpoint> listed(m_endpoints.size());
        for (std::size_t i = 0; i < listed.size(); ++i) {
            listed[i].name = m_endpoints[i]->name();
            listed[i].slots = m_endpoints[i]->slots();
        }
        m_scheduler.assign(listed, clock.now());
        m_scheduler.set_live_hosts(hosts, clock.now());
        tick();
    }

    /// Takes a request; one that cannot be served here is given up.
    void receive(const request_ptr& taken)
    {
        const auto hopeless_wait =
            m_scheduler.check_expected_wait(to_scheduled(taken), m_clock.now());
        if (!m_way.uses_queue) {
            send(taken);
            return;
        }
        if (hopeless_wait) {
            give_up(taken);
            return;
        }
        enqueue(taken);
        apply(m_scheduler.schedule(m_clock.now()));
    }

    [[nodiscard]] std::size_t live_endpoints() const { return m_scheduler.table().live_count(); }

    /// Time to serve all that waits before a new request of the class.
    [[nodiscard]] duration expected_wait(bool is_interactive) const
    {
        return m_scheduler.expected_wait(is_interactive);
    }

    /// Takes over a report of the endpoint `index` that describes the moment `age` ago.
    void on_report(std::size_t index, load_report report)
    {
        m_scheduler.on_report(index, report, m_clock.now());
        apply(m_scheduler.schedule(m_clock.now()));
    }

    [[nodiscard]] std::uint64_t retries() const noexcept { return m_retries; }
    [[nodiscard]] std::uint64_t hedges() const noexcept { return m_hedges; }

private:
    static scheduled_request to_scheduled(const request_ptr& taken)
    {
        scheduled_request asked;
        asked.queued.id = taken->id;
        asked.queued.organisation = std::to_string(taken->organisation);
        asked.queued.tokens = taken->tokens();
        asked.queued.is_interactive = taken->asked.is_interactive;
        asked.queued.weight = taken->weight;
        asked.queued.deadline = taken->deadline();
        asked.response_deadline = taken->deadline();
        asked.prefix_hash = taken->asked.prefix;
        asked.is_idempotent = kinds[taken->kind].is_idempotent;
        asked.excluded = taken->excluded;
        return asked;
    }

    void enqueue(const request_ptr& taken)
    {
        if (m_scheduler.push(to_scheduled(taken), m_clock.now()) != push_outcome::queued) {
            give_up(taken);
            return;
        }
        m_waiting[taken->id] = taken;
    }

    void apply(const schedule_result& step)
    {
        for (const std::uint64_t id : step.expired) {
            give_up(extract(id));
        }
        for (const schedule_result::assignment& each : step.started) {
            submit(extract(each.id), each.endpoint);
        }
        for (const std::uint64_t id : step.unservable) {
            refuse_not_run(extract(id));
        }
    }

    request_ptr extract(std::uint64_t id) { return m_waiting.extract(id).mapped(); }

    void send(const request_ptr& taken)
    {
        const time_point now = m_clock.now();
        const endpoint_choice choice =
            m_scheduler.choose_endpoint(to_scheduled(taken), choice_pool::available, now);
        if (const auto* index = std::get_if<std::size_t>(&choice)) {
            m_scheduler.on_dispatch(*index, now);
            submit(taken, *index);
        }
        else {
            refuse_not_run(taken);
        }
    }

    // precondition: the scheduler counts it at the endpoint
    void submit(const request_ptr& taken, std::size_t index)
    {
        ++taken->tries;
        const time_point sent = m_clock.now();
        const auto sent_copy = std::make_shared<copy>();
        sent_copy->asked = taken->asked;
        sent_copy->on_first_token = [this, taken, index, sent, raw = sent_copy.get()] {
            const duration elapsed = m_clock.now() - sent;
            m_scheduler.on_first_token(index, elapsed, taken->tokens(), m_clock.now());
            m_hedge.on_first_token(elapsed);
            if (!taken->has_first) {
                taken->has_first = true;
                taken->first_token = m_clock.now() - taken->arrived;
                cancel_others(taken, raw);
            }
        };
        sent_copy->on_end = [this, taken, index, sent] {
            m_scheduler.on_success(index, m_clock.now() - sent, taken->tokens(), m_clock.now());
            taken->last_token = m_clock.now() - taken->arrived;
            taken->is_over = true;
            taken->is_served = taken->last_token <= kinds[taken->kind].deadline;
            apply(m_scheduler.schedule(m_clock.now()));
        };
        sent_copy->on_failure = [this, taken, index](bool ran) { fail(taken, index, ran); };
        taken->copies.emplace_back(m_endpoints[index], sent_copy);
        m_endpoints[index]->submit(sent_copy);
        plan_hedge(taken, index);
    }

    void plan_hedge(const request_ptr& taken, std::size_t index)
    {
        const bool may_hedge = m_way.hedges && taken->copies.size() == 1 && m_hedge.hedge_after();
        if (!may_hedge || !kinds[taken->kind].is_idempotent) {
            return;
        }
        const duration delay = *m_hedge.hedge_after();
        m_clock.after(delay, [this, taken, index, delay] {
            if (taken->has_first || taken->is_over || taken->copies.size() != 1) {
                return;
            }
            taken->excluded.push_back(index);
            const time_point now = m_clock.now();
            const endpoint_choice choice =
                m_scheduler.choose_endpoint(to_scheduled(taken), choice_pool::with_free_slot, now);
            const auto* other = std::get_if<std::size_t>(&choice);
            if (other != nullptr && m_hedge.try_hedge(true, delay, m_scheduler.budget())) {
                ++m_hedges;
                m_scheduler.on_dispatch(*other, now);
                submit(taken, *other);
            }
        });
    }

    void cancel_others(const request_ptr& taken, const copy* winner)
    {
        for (const auto& [at, each] : taken->copies) {
            if (each.get() != winner && !each->is_over) {
                const auto found = std::find(m_endpoints.begin(), m_endpoints.end(), at);
                at->cancel(each);
                m_scheduler.on_cancelled(static_cast<std::size_t>(found - m_endpoints.begin()),
                                         m_clock.now());
            }
        }
    }

    void fail(const request_ptr& taken, std::size_t index, bool ran)
    {
        m_scheduler.on_failure(index, m_clock.now());
        taken->excluded.push_back(index);
        const auto is_going_on = [](const auto& item) { return !item.second->is_over; };
        if (std::any_of(taken->copies.begin(), taken->copies.end(), is_going_on)) {
            return;
        }
        const ran_state state = ran ? ran_state::unknown : ran_state::no;
        const bool may_repeat = may_retry(state, kinds[taken->kind].is_idempotent);
        if (taken->has_first || !may_repeat) {
            give_up(taken);
            return;
        }
        if (m_scheduler.table().live_count() == 0) {
            refuse_not_run(taken);
            return;
        }
        if (!m_scheduler.budget().try_take()) {
            give_up(taken);
            return;
        }
        ++m_retries;
        if (m_way.uses_queue) {
            enqueue(taken);
        }
        else {
            send(taken);
        }
    }

    static void give_up(const request_ptr& taken) { taken->is_over = true; }

    /// The entry host may try another failure domain.
    void refuse_not_run(const request_ptr& taken)
    {
        if (m_scheduler.budget().try_take()) {
            ++m_retries;
            m_refuse(taken);
        }
        else {
            give_up(taken);
        }
    }

    void tick()
    {
        apply(m_scheduler.tick(m_clock.now()));
        m_clock.after(std::chrono::milliseconds{100}, [this] { tick(); });
    }

    simulation& m_clock;
    const contestant& m_way;
    std::vector<fake_endpoint*> m_endpoints;
    target_scheduler m_scheduler;
    std::function<void(const request_ptr&)> m_refuse; // not run here
    hedge_policy m_hedge;
    std::unordered_map<std::uint64_t, request_ptr> m_waiting;
    std::uint64_t m_retries = 0;
    std::uint64_t m_hedges = 0;
};

/// Three regions of one failure domain each, with hosts, replicas of the model and a plain service.
class fleet {
public:
    static constexpr std::array<std::size_t, region_count> hosts{2, 2, 3};
    static constexpr std::array speeds{1.0, 0.8, 0.5, 0.4, 0.25, 0.1};
    static constexpr std::uint32_t slots = 8;
    static constexpr duration report_interval{std::chrono::milliseconds{500}};
    static constexpr duration report_lag{std::chrono::milliseconds{300}};
    static constexpr duration ping_interval{std::chrono::seconds{1}};

    fleet(simulation& clock, const contestant& way, std::uint64_t seed)
        : m_clock{clock}, m_way{way}, m_random{seed}
    {
        for (std::size_t region = 0; region < region_count; ++region) {
            add_region(region);
        }
        for (std::size_t region = 0; region < region_count; ++region) {
            const std::string name = region_name(region);
            for (std::size_t target = 0; target < 2; ++target) {
                for (std::size_t kind = 0; kind < 2; ++kind) {
                    m_views[target][kind].push_back({{name, name}, 6, duration{0}, duration{0}});
                    for (std::size_t host = 0; host < hosts[region]; ++host) {
                        m_choosers[region][target][kind].emplace_back(failure_domain{name, name});
                    }
                }
            }
        }
        ping();
        report();
    }

    /// A caller asks one of its region's entry hosts.
    void arrive(const request_ptr& taken)
    {
        const std::size_t region = taken->region;
        const std::size_t host = random_index(m_random, hosts[region]);
        const std::size_t target = kinds[taken->kind].is_service ? 1 : 0;
        const bool is_interactive = taken->asked.is_interactive;
        auto views = m_views[target][is_interactive ? 1 : 0];
        const dispatcher& own = *m_dispatchers[region][target][host];
        views[region].expected_wait = own.expected_wait(is_interactive);
        views[region].live_endpoints = own.live_endpoints();
        domain_chooser& chooser = m_choosers[region][target][is_interactive ? 1 : 0][host];
        const auto choice = chooser.choose(
            {.allowed_regions = m_regions, .visited = taken->visited, .bytes = 20'000}, views);
        const auto* chosen = std::get_if<std::size_t>(&choice);
        if (chosen == nullptr) {
            taken->is_over = true;
            return;
        }
        taken->visited.push_back(views[*chosen].domain.name);
        taken->excluded.clear();
        taken->copies.clear();
        if (*chosen == region) {
            m_dispatchers[region][target][host]->receive(taken);
            return;
        }
        taken->was_forwarded = true;
        const std::size_t other = random_index(m_random, hosts[*chosen]);
        dispatcher& there = *m_dispatchers[*chosen][target][other];
        // the answer's way back is added where the times are read
        m_clock.after(way_between(region, *chosen), [&there, taken] { there.receive(taken); });
    }

    [[nodiscard]] duration way_between(std::size_t from, std::size_t to) const
    {
        return from != to && from + to == m_slow_link ? duration{std::chrono::milliseconds{600}}
                                                      : duration{std::chrono::milliseconds{80}};
    }

    /// Makes the link between regions 1 and 2 slow.
    void slow_link() { m_slow_link = 3; }

    std::vector<fake_endpoint*>& endpoints_of(std::size_t region) { return m_models[region]; }

    [[nodiscard]] std::uint64_t recomputed() const
    {
        std::uint64_t sum = 0;
        for (const auto& each : m_endpoints) {
            sum += each->recomputed();
        }
        return sum;
    }

    [[nodiscard]] std::uint64_t retries() const { return sum_of(&dispatcher::retries); }
    [[nodiscard]] std::uint64_t hedges() const { return sum_of(&dispatcher::hedges); }

private:
    static std::string region_name(std::size_t region) { return "r" + std::to_string(region); }

    void add_region(std::size_t region)
    {
        m_regions.push_back(region_name(region));
        for (const double speed : speeds) {
            m_models[region].push_back(add_endpoint(region, speed));
        }
        m_services[region].push_back(add_endpoint(region, 1.0));
        for (std::size_t host = 0; host < hosts[region]; ++host) {
            for (std::size_t target = 0; target < 2; ++target) {
                const auto& used = target == 0 ? m_models[region] : m_services[region];
                m_dispatchers[region][target].push_back(std::make_unique<dispatcher>(
                    m_clock, m_way, used, hosts[region], m_random(),
                    [this](const request_ptr& refused) { arrive(refused); }));
            }
        }
    }

    fake_endpoint* add_endpoint(std::size_t region, double speed)
    {
        const std::string name = region_name(region) + "-" + std::to_string(m_endpoints.size());
        m_endpoints.push_back(std::make_unique<fake_endpoint>(m_clock, name, speed, slots));
        return m_endpoints.back().get();
    }

    /// Each dispatcher tells all entry hosts its state; it arrives later in other regions.
    void ping()
    {
        for (std::size_t region = 0; region < region_count; ++region) {
            for (std::size_t target = 0; target < 2; ++target) {
                for (std::size_t kind = 0; kind < 2; ++kind) {
                    renew(m_views[target][kind][region], m_dispatchers[region][target], kind == 1);
                    m_views[target][kind][region].measured_latency =
                        region > 0 ? way_between(1, 2) : duration{0};
                }
            }
        }
        m_clock.after(ping_interval, [this] { ping(); });
    }

    void renew(domain_view& view, const std::vector<std::unique_ptr<dispatcher>>& dispatchers,
               bool is_interactive) const
    {
        duration wait{0};
        for (const auto& each : dispatchers) {
            wait += each->expected_wait(is_interactive);
        }
        view.expected_wait = wait / static_cast<std::int64_t>(dispatchers.size());
        view.live_endpoints = dispatchers.front()->live_endpoints();
    }

    void report()
    {
        for (std::size_t region = 0; region < region_count; ++region) {
            report_of(m_models[region], m_dispatchers[region][0]);
            report_of(m_services[region], m_dispatchers[region][1]);
        }
        m_clock.after(report_interval, [this] { report(); });
    }

    void report_of(const std::vector<fake_endpoint*>& endpoints,
                   const std::vector<std::unique_ptr<dispatcher>>& dispatchers)
    {
        for (std::size_t index = 0; index < endpoints.size(); ++index) {
            const fake_endpoint& from = *endpoints[index];
            if (from.is_down()) {
                continue;
            }
            const load_report now{static_cast<std::uint32_t>(from.running()),
                                  static_cast<std::uint32_t>(from.waiting()), from.slots(),
                                  report_lag};
            for (const auto& each : dispatchers) {
                m_clock.after(report_lag, [&each, index, now] { each->on_report(index, now); });
            }
        }
    }

    [[nodiscard]] std::uint64_t sum_of(std::uint64_t (dispatcher::*count)() const noexcept) const
    {
        std::uint64_t sum = 0;
        for (const auto& targets : m_dispatchers) {
            for (const auto& dispatchers : targets) {
                for (const auto& each : dispatchers) {
                    sum += (*each.*count)();
                }
            }
        }
        return sum;
    }

    using dispatchers_by_target = std::array<std::vector<std::unique_ptr<dispatcher>>, 2>;
    using choosers_by_class = std::array<std::vector<domain_chooser>, 2>; // batch, interactive
    using views_by_class = std::array<std::vector<domain_view>, 2>;

    simulation& m_clock;
    const contestant& m_way;
    random_source m_random;
    std::vector<std::string> m_regions;
    std::vector<std::unique_ptr<fake_endpoint>> m_endpoints;
    std::array<std::vector<fake_endpoint*>, region_count> m_models;
    std::array<std::vector<fake_endpoint*>, region_count> m_services;
    std::array<dispatchers_by_target, region_count> m_dispatchers;
    std::array<std::array<choosers_by_class, 2>, region_count> m_choosers; // by region and target
    std::array<views_by_class, 2> m_views;                                 // by target
    std::size_t m_slow_link = region_count * 2;
};

} // namespace hickorykeel::bench
