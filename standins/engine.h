#pragma once

#include "process/clock.h"
#include "standins/faults.h"
#include "standins/http_server.h"

#include <atomic>        // atomic
#include <chrono>        // milliseconds
#include <cstdint>       // uint64_t
#include <deque>         // deque
#include <list>          // list
#include <map>           // map
#include <memory>        // shared_ptr
#include <mutex>         // mutex
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <vector>        // vector

#include <nlohmann/json.hpp>

namespace hickorykeel::standins {

/// Measures of a stand-in for a model engine.
struct engine_options {
    std::string name;
    std::uint32_t slots = 8; ///< requests in one batch
    double prefill_tokens_per_second = 20'000;
    std::chrono::microseconds token_time{2'000}; ///< of one output token in a batch of one
    std::chrono::milliseconds load_lag{500};
    bool checks_fencing = false;
    std::size_t cached_blocks = 4'096; ///< capacity of the prefix cache, in blocks of 64 tokens
};

/// Tokens of the prompt by what they cost. Counted since the start.
struct prefix_counts {
    std::uint64_t cached = 0;     ///< found in the cache
    std::uint64_t computed = 0;   ///< computed, never seen before
    std::uint64_t recomputed = 0; ///< computed again after eviction
};

/// Prefix cache of limited size with least-recently-used eviction. Not thread safe.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t capacity) : m_capacity(capacity) {}

    /// Looks `prompt` up and stores all its blocks.
    /// @return what its tokens cost
    prefix_counts use(std::string_view prompt);

    [[nodiscard]] std::size_t size() const noexcept { return m_blocks.size(); }

private:
    void store(std::uint64_t block);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_order; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::unordered_set<std::uint64_t> m_seen;
};

/// What an engine reports of itself.
struct engine_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::size_t cached_prefixes = 0;
};

/// Load report that shows the state of `lag` ago. Not thread safe.
class lagging_load {
public:
    explicit lagging_load(duration lag) : m_lag(lag) {}

    void record(time_point now, const engine_load& load);

    /// Newest load that is at least the lag old; an idle engine where there is none.
    [[nodiscard]] engine_load at(time_point now);

private:
    duration m_lag;
    std::deque<std::pair<time_point, engine_load>> m_samples;
};

enum class run_state { waiting, running, completed, cancelled, cut };

/// A request as the engine saw it.
struct engine_run {
    std::string id; ///< X-Request-Id
    std::uint64_t stamp = 0;
    std::map<std::string, std::string> headers;
    run_state state = run_state::waiting;
    bool is_stream = false;
    std::size_t resumed_at = 0;
    std::size_t prompt_tokens = 0;
    std::size_t output_tokens = 0; ///< produced so far
};

/// Stand-in for a model engine: continuous batching, a prefix cache, priorities, cancellation and
/// resumption of streams. Its answer is a function of the request (see `answer.h`).
///
/// Thread safety: handlers run side by side.
class engine {
public:
    explicit engine(engine_options options);

    /// Registers all calls at `server`, which must not outlive the engine.
    void serve(http_server& server);

private:
    struct job;

    void complete(const httplib::Request& request, httplib::Response& response, bool is_chat);
    void answer_whole(const std::shared_ptr<job>& work, httplib::Response& response);
    void answer_stream(const std::shared_ptr<job>& work, httplib::Response& response);
    bool stream_next(job& work, httplib::DataSink& sink);
    bool start(job& work);
    bool wait_for_slot(job& work);
    bool wait_while_held(const job& work);
    bool make_token(job& work);
    void finish(job& work, run_state state);
    void cancel(job& work);
    [[nodiscard]] bool is_fenced_off(const httplib::Request& request);
    [[nodiscard]] bool may_enter(bool is_interactive) const;
    [[nodiscard]] nlohmann::json load();
    [[nodiscard]] nlohmann::json ledger() const;
    void record_load();

    engine_options m_options;
    http_server* m_server = nullptr;
    fault_switch m_faults;
    mutable std::mutex m_mutex; // guards all below
    engine_load m_load;
    std::uint32_t m_waiting_interactive = 0;
    lagging_load m_report;
    prefix_cache m_cache;
    prefix_counts m_prefix_counts;
    std::map<std::string, std::uint64_t> m_fencing_tokens; // newest of each request identifier
    std::vector<std::shared_ptr<engine_run>> m_runs;
};

} // namespace hickorykeel::standins
