#include "gateway/load_reports.h"
#include "gateway/routing/endpoint_pool.h"
#include "process/routing/random_source.h"

#include <algorithm> // any_of, max, min
#include <chrono>    // milliseconds, seconds
#include <cstddef>   // size_t
#include <cstdint>   // uint32_t, uint64_t
#include <deque>     // deque
#include <map>       // map
#include <random>    // lognormal_distribution, poisson_distribution
#include <string>    // string, to_string
#include <utility>   // move
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
constexpr duration step = 5ms;
constexpr duration objective = 600ms;
constexpr duration max_wait = 480ms; ///< at a host, for an engine with a free slot
constexpr int max_attempts = 4;

/// A region in its peak: a quarter of the engines are slow, and all are nearly full.
struct region_peak {
    std::size_t hosts = 65;
    double scale = 1; ///< of the load; at 1 the engines are about full
    std::size_t engines = 54;
    std::uint32_t slots = 16;
    std::size_t max_queue = 33; ///< at an engine; it rejects requests beyond
    duration load_delay = 250ms;
    double long_prompts_per_s = 405;
    double short_prompts_per_s = 202;
    std::size_t sessions = 2'900;
    duration span = 10s;
};

struct outcome {
    int requests = 0;
    int late = 0;     ///< first byte later than the objective
    int refused = 0;  ///< no engine was expected to begin in time
    int rejected = 0; ///< attempts at engines whose queue was full
    int first_bytes = 0;
    duration expected{0}; ///< sum over the first bytes
    duration measured{0}; ///< sum over the first bytes

    [[nodiscard]] double lost_fraction() const
    {
        return static_cast<double>(late + refused) / requests;
    }
};

/// Hosts that choose engines by themselves, and engines that batch requests: while prompts are
/// processed, the other requests of the batch get a quarter of the engine's time.
class peak_simulation {
public:
    explicit peak_simulation(const region_peak& load) : m_load{load}, m_reports{load.load_delay}
    {
        m_service.name = "llm";
        m_service.engine = engine_capacity{
            .slots = load.slots, .kv_cache_tokens = 300'000, .transfer_rate = 2'000};
        for (std::size_t i = 0; i < load.engines; ++i) {
            endpoint_entry& entry = m_entries[to_id(i)];
            entry.id = to_id(i);
            entry.service = "llm";
            entry.address = "10.0.0.9:" + std::to_string(8'000 + i);
            entry.slots = load.slots;
            entry.started_ms = 1;
            m_engines.push_back({i % 4 == 0 ? 0.55 : 1.2, {}, {}});
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
        time_point next_report = start;
        for (m_now = start; m_now < start + m_load.span; m_now += step) {
            for (std::size_t i = 0; i < m_engines.size(); ++i) {
                run_engine(i);
            }
            if (m_now >= next_report) {
                m_reports.send(m_pools, m_now);
                next_report += 200ms;
            }
            m_reports.receive(m_pools, m_now);
            place_waiting();
            offer(m_load.long_prompts_per_s, true);
            offer(m_load.short_prompts_per_s, false);
        }
        return m_outcome;
    }

private:
    struct request {
        std::size_t host = 0;
        prompt content;
        time_point received{};
        time_point sent{};
        duration expected{0};
        std::uint32_t waiting_tokens = 0;
        double unprocessed_tokens = 0;
        double output_tokens = 0;
        bool has_first_byte = false;
    };

    struct engine {
        double speed = 1;
        std::vector<request> running;
        std::deque<request> queue;
    };

    static std::string to_id(std::size_t engine) { return "engine-" + std::to_string(engine); }

    // engines

    void run_engine(std::size_t at)
    {
        engine& used = m_engines[at];
        const bool is_processing =
            std::any_of(used.running.begin(), used.running.end(),
                        [](const request& held) { return held.unprocessed_tokens > 0; });
        constexpr double processing_share = 0.75;
        const double work_ms = to_seconds(step) * 1'000 * used.speed;
        const double left_ms =
            process_prompts(used, is_processing ? work_ms * processing_share : 0);
        const double output_ms =
            (is_processing ? work_ms * (1 - processing_share) : work_ms) + left_ms;
        const double token_ms = 6.1 + 0.09 * static_cast<double>(used.running.size());
        for (request& held : used.running) {
            if (held.unprocessed_tokens <= 0) {
                record_first_byte(at, held);
                held.output_tokens -= output_ms / token_ms;
            }
        }
        end_requests(at);
    }

    /// Processes prompts one after the other and returns the time that is left.
    static double process_prompts(engine& used, double ms)
    {
        constexpr double tokens_per_ms = 110;
        for (request& held : used.running) {
            const double processed = std::min(held.unprocessed_tokens, ms * tokens_per_ms);
            held.unprocessed_tokens -= processed;
            ms -= processed / tokens_per_ms;
        }
        return ms;
    }

    void record_first_byte(std::size_t at, request& held)
    {
        if (held.has_first_byte) {
            return;
        }
        held.has_first_byte = true;
        const duration elapsed = m_now - held.sent;
        m_pools[held.host].on_first_byte({to_id(at), 1}, held.waiting_tokens, elapsed,
                                         held.expected);
        ++m_outcome.first_bytes;
        m_outcome.expected += held.expected;
        m_outcome.measured += elapsed;
        m_outcome.late += m_now - held.received > objective ? 1 : 0;
    }

    void end_requests(std::size_t at)
    {
        engine& used = m_engines[at];
        std::erase_if(used.running, [&](const request& held) {
            const bool has_ended = held.has_first_byte && held.output_tokens <= 0;
            if (has_ended) {
                m_pools[held.host].on_end({to_id(at), 1}, 0, endpoint_outcome::answered, m_now);
            }
            return has_ended;
        });
        while (used.running.size() < m_load.slots && !used.queue.empty()) {
            used.running.push_back(std::move(used.queue.front()));
            used.queue.pop_front();
        }
    }

    // hosts

    void offer(double per_s, bool is_long)
    {
        for (int n =
                 std::poisson_distribution<int>{per_s * m_load.scale * to_seconds(step)}(m_random);
             n > 0; --n) {
            ++m_outcome.requests;
            request offered;
            offered.host = random_index(m_random, m_load.hosts);
            offered.content = is_long ? make_long() : make_short();
            offered.received = m_now;
            if (!place(offered)) {
                m_waiting.push_back(std::move(offered));
            }
        }
    }

    double random_size()
    {
        constexpr double max_size = 4;
        return std::min(max_size, std::lognormal_distribution<double>{-0.25, 0.7}(m_random));
    }

    prompt make_long()
    {
        const std::uint64_t session = random_index(m_random, m_load.sessions);
        return {static_cast<std::uint64_t>(2'890 * random_size()) + 6'300,
                52,
                {{1'000 + session % 4, 2'520}, {2'000 + session, 6'300}}};
    }

    prompt make_short()
    {
        return {static_cast<std::uint64_t>(628 * random_size()) + 200,
                static_cast<std::uint64_t>(290 * random_size()) + 5,
                {{random_index(m_random, 78) + 1, 120}}};
    }

    void place_waiting()
    {
        std::erase_if(m_waiting, [this](request& waiting) {
            if (m_now - waiting.received > max_wait) {
                ++m_outcome.refused;
                return true;
            }
            return place(waiting);
        });
    }

    /// Sends a request to engines until one takes it. Returns whether one did.
    bool place(request& offered)
    {
        endpoint_pool& pool = m_pools[offered.host];
        placement_request wanted{&m_service, &offered.content, {}};
        for (int attempt = 0; attempt < max_attempts; ++attempt) {
            const auto chosen = pool.choose(wanted, m_now, m_random);
            if (!chosen || chosen->expected > objective - (m_now - offered.received)) {
                return false;
            }
            if (send(offered, *chosen)) {
                return true;
            }
            wanted.excluded.push_back(chosen->endpoint);
        }
        return false;
    }

    bool send(request& offered, const placement& chosen)
    {
        endpoint_pool& pool = m_pools[offered.host];
        offered.waiting_tokens =
            pool.on_sent(chosen.endpoint, &offered.content, m_now, chosen.fetched_tokens);
        engine& used = m_engines[std::stoul(chosen.endpoint.substr(7))];
        if (used.running.size() >= m_load.slots && used.queue.size() >= m_load.max_queue) {
            ++m_outcome.rejected;
            pool.on_end({chosen.endpoint, chosen.started_ms}, offered.waiting_tokens,
                        endpoint_outcome::shed, m_now);
            return false;
        }
        offered.sent = m_now;
        offered.expected = chosen.expected;
        offered.unprocessed_tokens = offered.waiting_tokens;
        offered.output_tokens = static_cast<double>(offered.content.output_tokens);
        if (used.running.size() < m_load.slots) {
            used.running.push_back(offered);
        }
        else {
            used.queue.push_back(offered);
        }
        return true;
    }

    region_peak m_load;
    service m_service;
    std::map<std::string, endpoint_entry> m_entries;
    std::vector<endpoint_pool> m_pools; ///< by host
    std::vector<engine> m_engines;
    std::vector<request> m_waiting; ///< at their hosts
    tests::load_reports m_reports;
    random_source m_random{1};
    time_point m_now = start;
    outcome m_outcome;
};

outcome run(std::size_t hosts, double scale)
{
    region_peak load;
    load.hosts = hosts;
    load.scale = scale;
    return peak_simulation{load}.run();
}

} // namespace

TEST_CASE("a region in its peak: hosts that each see little of it expect what is measured")
{
    for (const double scale : {0.9, 1.0, 1.15}) {
        CAPTURE(scale);
        const outcome result = run(65, scale);
        CHECK(result.measured < 1.5 * result.expected);
        CHECK(result.rejected < 0.01 * result.requests);
    }
}

TEST_CASE("a region in its peak: many hosts lose hardly more requests than few hosts do")
{
    for (const double scale : {0.9, 1.0, 1.15}) {
        CAPTURE(scale);
        CHECK(run(65, scale).lost_fraction() < run(4, scale).lost_fraction() + 0.1);
    }
}
