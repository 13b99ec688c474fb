#include "gateway/load_reports.h"
#include "gateway/routing/endpoint_pool.h"
#include "process/routing/random_source.h"

#include <algorithm>  // max, min
#include <chrono>     // milliseconds, seconds
#include <cstddef>    // size_t
#include <cstdint>    // uint32_t, uint64_t
#include <functional> // greater
#include <map>        // map
#include <queue>      // priority_queue
#include <random>     // poisson_distribution
#include <string>     // string, to_string
#include <vector>     // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

/// Load of a region and how its hosts learn of it.
struct region_load {
    std::size_t hosts = 65;
    std::size_t engines = 27;
    std::uint32_t slots = 16;
    duration load_delay = 400ms; ///< of the other hosts' load
    double long_prompts_per_s = 160;
    double short_prompts_per_s = 70;
    std::size_t sessions = 900; ///< whose long prompts share their first part
    duration span = 20s;
};

struct outcome {
    int requests = 0;
    int late = 0;           ///< first byte later than the objective
    int not_placed = 0;     ///< no free slot was known
    std::uint32_t peak = 0; ///< most requests at one engine
};

/// A region whose hosts each choose engines by themselves. An engine reads prompts one after the
/// other and holds a slot for each request; requests beyond its slots wait.
class region_simulation {
public:
    explicit region_simulation(const region_load& load) : m_load{load}, m_reports{load.load_delay}
    {
        m_service.name = "llm";
        m_service.engine = engine_capacity{
            .slots = load.slots, .kv_cache_tokens = 300'000, .transfer_rate = 2'000};
        m_engines.resize(load.engines);
        for (std::size_t i = 0; i < load.engines; ++i) {
            endpoint_entry& entry = m_entries[to_id(i)];
            entry.id = to_id(i);
            entry.service = "llm";
            entry.address = "10.0.0.9:" + std::to_string(8'000 + i);
            entry.slots = load.slots;
            entry.started_ms = 1;
        }
        for (std::size_t i = 0; i < load.hosts; ++i) {
            m_pools.emplace_back(
                endpoint_pool_options{}, [](const std::string&, double rate) { return rate; },
                [](const std::string&, double rate) { return rate; });
            m_pools.back().update(
                m_entries, [](const auto&) { return endpoint_pool::usability::usable; },
                [this](const auto&) { return &m_service; }, start, start);
        }
    }

    outcome run()
    {
        constexpr duration step = 5ms;
        const time_point end = start + m_load.span;
        time_point next_report = start;
        for (m_now = start; m_now < end; m_now += step) {
            finish_requests();
            if (m_now >= next_report) {
                m_reports.send(m_pools, m_now);
                m_reports.receive(m_pools, m_now);
                next_report += 200ms;
            }
            offer(m_load.long_prompts_per_s * to_seconds(step), true);
            offer(m_load.short_prompts_per_s * to_seconds(step), false);
        }
        return m_outcome;
    }

private:
    struct engine {
        time_point busy_until{}; ///< end of the reading of prompts
        std::uint32_t active = 0;
        std::priority_queue<time_point, std::vector<time_point>, std::greater<>> ends;
    };

    struct running {
        time_point at{};
        std::size_t host = 0;
        std::size_t engine = 0;
        std::uint32_t waiting_tokens = 0;
        bool is_first_byte = false;
        duration elapsed{0};
        duration expected{0};

        [[nodiscard]] bool operator>(const running& other) const { return at > other.at; }
    };

    static std::string to_id(std::size_t engine) { return "engine-" + std::to_string(engine); }

    void offer(double mean, bool is_long)
    {
        for (int n = std::poisson_distribution<int>{mean}(m_random); n > 0; --n) {
            send(random_index(m_random, m_load.hosts), is_long);
        }
    }

    [[nodiscard]] prompt make_request(bool is_long)
    {
        if (!is_long) {
            return {826, 290, {{random_index(m_random, 78) + 1, 120}}};
        }
        const std::uint64_t session = random_index(m_random, m_load.sessions);
        return {9'190, 50, {{1'000 + session % 4, 2'520}, {2'000 + session, 6'300}}};
    }

    void send(std::size_t host, bool is_long)
    {
        ++m_outcome.requests;
        const prompt request = make_request(is_long);
        const auto chosen = m_pools[host].choose({&m_service, &request, {}}, m_now, m_random);
        if (!chosen) {
            ++m_outcome.not_placed;
            return;
        }
        const std::size_t at = std::stoul(chosen->endpoint.substr(7));
        const std::uint32_t waiting =
            m_pools[host].on_sent(chosen->endpoint, &request, m_now, chosen->fetched_tokens);
        engine& runs = m_engines[at];
        // a request beyond the slots starts when enough of those before it have ended
        time_point begin = m_now;
        while (runs.ends.size() >= m_load.slots) {
            begin = std::max(begin, runs.ends.top());
            runs.ends.pop();
        }
        constexpr double tokens_per_ms = 110;
        const duration read = from_seconds(waiting / tokens_per_ms / 1'000);
        runs.busy_until = std::max(runs.busy_until, begin) + read;
        const time_point first_byte = runs.busy_until + 20ms;
        const duration elapsed = first_byte - m_now;
        m_outcome.late += elapsed > 600ms ? 1 : 0;
        const duration step_time = 6ms + runs.active * 100us;
        const time_point end = first_byte + step_time * static_cast<int>(request.output_tokens);
        runs.ends.push(end);
        ++runs.active;
        m_outcome.peak = std::max(m_outcome.peak, runs.active);
        m_running.push({first_byte, host, at, waiting, true, elapsed, chosen->expected});
        m_running.push({end, host, at, 0, false, {}, {}});
    }

    void finish_requests()
    {
        while (!m_running.empty() && m_running.top().at <= m_now) {
            const running done = m_running.top();
            m_running.pop();
            endpoint_pool& pool = m_pools[done.host];
            if (done.is_first_byte) {
                pool.on_first_byte({to_id(done.engine), 1}, done.waiting_tokens, done.elapsed,
                                   done.expected);
                continue;
            }
            pool.on_end({to_id(done.engine), 1}, 0, endpoint_outcome::answered, m_now);
            --m_engines[done.engine].active;
        }
    }

    region_load m_load;
    service m_service;
    std::map<std::string, endpoint_entry> m_entries;
    std::vector<endpoint_pool> m_pools; ///< by host
    std::vector<engine> m_engines;
    std::priority_queue<running, std::vector<running>, std::greater<>> m_running;
    tests::load_reports m_reports;
    random_source m_random{1};
    time_point m_now = start;
    outcome m_outcome;
};

} // namespace

TEST_CASE("many hosts with old loads: they don't send to the same engine at once")
{
    constexpr double max_late_fraction = 0.005;
    for (const double scale : {1.0, 1.3}) {
        for (const std::size_t hosts : {2U, 10U, 65U}) {
            CAPTURE(scale);
            CAPTURE(hosts);
            region_load load;
            load.hosts = hosts;
            load.long_prompts_per_s *= scale;
            load.short_prompts_per_s *= scale;
            const outcome result = region_simulation{load}.run();
            CHECK(result.late <= max_late_fraction * result.requests);
            CHECK(result.not_placed == 0);
            CHECK(result.peak <= 2 * load.slots);
        }
    }
}
