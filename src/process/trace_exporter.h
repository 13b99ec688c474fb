#pragma once

#include "request/trace_context.h"

#include <array>              // array
#include <atomic>             // atomic
#include <chrono>             // system_clock, milliseconds
#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <cstdint>            // int64_t, uint64_t
#include <mutex>              // mutex
#include <string>             // string
#include <string_view>        // string_view
#include <thread>             // thread
#include <vector>             // vector

#include <nlohmann/json.hpp>

namespace hickorykeel {

/// All that a span may tell beside its name and times. No key here stands for a part of a request
/// or an answer, so neither can reach a collector.
enum class span_attribute {
    organisation,
    profile,
    target,
    endpoint,
    peer_host,
    peer_address,
    refusal,
    ran,
    http_status,
    attempt,
    revision,
    tokens_reserved,
    tokens_used,
    tokens_borrowed,
    waited_ms,
};

/// One row of the table of attributes.
struct span_attribute_kind {
    span_attribute attribute;
    std::string_view key;
};

inline constexpr std::array span_attribute_kinds{
    span_attribute_kind{span_attribute::organisation, "hickorykeel.organisation"},
    span_attribute_kind{span_attribute::profile, "hickorykeel.profile"},
    span_attribute_kind{span_attribute::target, "hickorykeel.target"},
    span_attribute_kind{span_attribute::endpoint, "hickorykeel.endpoint"},
    span_attribute_kind{span_attribute::peer_host, "hickorykeel.peer_host"},
    span_attribute_kind{span_attribute::peer_address, "network.peer.address"},
    span_attribute_kind{span_attribute::refusal, "hickorykeel.refusal"},
    span_attribute_kind{span_attribute::ran, "hickorykeel.ran"},
    span_attribute_kind{span_attribute::http_status, "http.response.status_code"},
    span_attribute_kind{span_attribute::attempt, "hickorykeel.attempt"},
    span_attribute_kind{span_attribute::revision, "hickorykeel.revision"},
    span_attribute_kind{span_attribute::tokens_reserved, "hickorykeel.tokens_reserved"},
    span_attribute_kind{span_attribute::tokens_used, "hickorykeel.tokens_used"},
    span_attribute_kind{span_attribute::tokens_borrowed, "hickorykeel.tokens_borrowed"},
    span_attribute_kind{span_attribute::waited_ms, "hickorykeel.waited_ms"},
};

/// Name of a span. Only a literal can be one, so that no text of a request ends up in it.
class span_name {
public:
    explicit consteval span_name(const char* literal) : m_text{literal} {}

    [[nodiscard]] constexpr std::string_view text() const noexcept { return m_text; }

private:
    std::string_view m_text;
};

/// Side of a hop, with the numbers of OTLP.
enum class span_side { internal = 1, server = 2, client = 3 };

/// Outcome of a span, with the numbers of OTLP.
enum class span_status { unset = 0, ok = 1, error = 2 };

/// One hop or step of a request. A value; not shared between threads.
class trace_span {
public:
    using clock = std::chrono::system_clock;

    /// @param context of this span; `context.span` is its own identifier
    /// @param parent  0 where this is the first span
    trace_span(span_name name, span_side side, const trace_context& context, span_id parent,
               clock::time_point start);

    /// @name modifiers
    /// @{

    /// @param name of something configured, an address or a code; any other text is replaced
    void set(span_attribute attribute, std::string_view name);
    void set(span_attribute attribute, std::int64_t number);
    void end(clock::time_point moment, span_status status);

    /// @}
    /// @name observers
    /// @{
    [[nodiscard]] const trace_context& context() const noexcept;
    [[nodiscard]] nlohmann::json to_otlp() const;
    /// @}

private:
    template <typename Value>
    struct value {
        span_attribute attribute;
        Value content;
    };

    span_name m_name;
    span_side m_side;
    trace_context m_context;
    span_id m_parent;
    clock::time_point m_start;
    clock::time_point m_end;
    span_status m_status = span_status::unset;
    std::vector<value<std::string>> m_names;
    std::vector<value<std::int64_t>> m_numbers;
};

/// Sends spans in batches as OTLP/HTTP JSON from a thread of its own. Spans that nobody takes are
/// dropped and counted; nothing waits for the collector.
///
/// Thread safety: every public method may be called from any thread.
class trace_exporter {
public:
    struct options {
        std::string address; ///< "ip:port" of the collector; empty: nothing is sent
        std::string program; ///< "hickorykeel-entry"
        std::string host;
        std::string failure_domain;
        std::size_t capacity = 4'096;              ///< spans that wait at most
        std::size_t batch = 256;                   ///< spans of one call at most
        std::chrono::milliseconds interval{1'000}; ///< between calls while fewer wait
    };

    explicit trace_exporter(options chosen);

    trace_exporter(const trace_exporter&) = delete;
    trace_exporter& operator=(const trace_exporter&) = delete;
    trace_exporter(trace_exporter&&) = delete;
    trace_exporter& operator=(trace_exporter&&) = delete;

    /// Sends what still waits, as long as the collector takes it, and ends the thread.
    ~trace_exporter();

    /// Queues a span; never blocks. One that is not sampled is ignored.
    void add(trace_span&& finished);

    /// Spans that the collector took, and those that were dropped.
    /// @{
    [[nodiscard]] std::uint64_t exported() const noexcept;
    [[nodiscard]] std::uint64_t dropped() const noexcept;
    /// @}

private:
    void run();
    std::vector<trace_span> take_batch();
    bool send(const std::vector<trace_span>& batch);
    [[nodiscard]] nlohmann::json to_body(const std::vector<trace_span>& batch) const;

    const options m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<trace_span> m_waiting;
    bool m_is_ending = false;
    std::atomic<std::uint64_t> m_exported = 0;
    std::atomic<std::uint64_t> m_dropped = 0;
    std::thread m_thread;
};

} // namespace hickorykeel
