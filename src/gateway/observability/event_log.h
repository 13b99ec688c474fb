#pragma once

#include "process/clock.h"

#include <cstddef>     // size_t
#include <cstdint>     // int64_t, uint64_t
#include <memory>      // shared_ptr
#include <string>      // string
#include <string_view> // string_view

#include <asio/io_context.hpp>   // io_context
#include <asio/steady_timer.hpp> // steady_timer

namespace spdlog {
class logger;
} // namespace spdlog

namespace hickorykeel::gateway {

/// One structured log line: a JSON object with the time, the event's name and its fields.
class log_line {
public:
    explicit log_line(std::string_view event);

    /// @name fields
    /// Precondition: `name` needs no JSON escaping. Values are escaped where necessary.
    /// @{
    log_line& add(std::string_view name, std::string_view value);
    log_line& add(std::string_view name, const char* value)
    {
        return add(name, std::string_view{value});
    }
    log_line& add(std::string_view name, std::int64_t value);
    log_line& add(std::string_view name, bool value);
    log_line& add_number(std::string_view name, double value); ///< to three decimals
    log_line& add_ms(std::string_view name, duration value);   ///< whole milliseconds
    /// @}

    /// The complete JSON object, without a line end.
    [[nodiscard]] std::string to_string() const { return m_text + '}'; }

private:
    std::string m_text;
};

struct event_log_options {
    std::size_t max_buffer_bytes = 262'144; ///< lines are dropped while more than this is unwritten
    std::uint64_t request_lines_per_s = 400; ///< further lines on requests are dropped
};

/// Writes structured log lines to standard output without blocking. The buffer is bounded: lines
/// are dropped and counted while it is full. A `log_lines_left_out` line reports how many, unless
/// the buffer is full at that time too.
///
/// Thread safety: none; all calls come from the loop's thread.
class event_log {
public:
    event_log(asio::io_context& loop, std::string host, event_log_options options);
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    event_log(event_log&&) = delete;
    event_log& operator=(event_log&&) = delete;
    ~event_log();

    /// Logs a line on the state of the process: start, stop, reload, changed state of a peer.
    void write(const log_line& line);

    /// Logs a line on a request; dropped above `request_lines_per_s`.
    void write_request(const log_line& line);

    /// Writes as much of the buffer as standard output accepts without blocking.
    void flush();

    /// Number of lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped_lines() const noexcept { return m_dropped_lines; }

private:
    void tick();
    void append(const log_line& line);

    std::string m_host;
    event_log_options m_options;
    asio::steady_timer m_timer;
    std::shared_ptr<std::string> m_buffer; // filled by the logger's sink
    std::shared_ptr<spdlog::logger> m_logger;
    std::uint64_t m_request_lines_this_second = 0;
    std::uint64_t m_dropped_lines = 0;
    std::uint64_t m_reported_dropped_lines = 0;
    unsigned m_ticks = 0;
};

} // namespace hickorykeel::gateway
