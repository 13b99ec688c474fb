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

/// One structured line: a JSON object with the event's name and its fields.
class log_line {
public:
    explicit log_line(std::string_view event);

    /// @name fields
    /// Names are literals that need no escaping.
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

    /// The finished line, without its line end.
    [[nodiscard]] std::string to_string() const { return m_text + '}'; }

private:
    std::string m_text;
};

struct event_log_options {
    std::size_t max_buffer_bytes = 262'144;  ///< lines that are not yet written
    std::uint64_t request_lines_per_s = 400; ///< lines on requests; the rest is counted
};

/// Structured lines on standard output. Bounded, and never blocks: lines that don't fit are
/// counted, and a line of their own says how many were left out.
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

    /// A line on the process's state: start, stop, reload, a belief that has changed.
    void write(const log_line& line);

    /// A line on a request; left out above the rate.
    void write_request(const log_line& line);

    /// Writes what standard output takes now.
    void flush();

    /// Lines that were left out since the start.
    [[nodiscard]] std::uint64_t dropped_lines() const noexcept { return m_dropped_lines; }

private:
    void tick();
    void append(const log_line& line);

    std::string m_host;
    event_log_options m_options;
    asio::steady_timer m_timer;
    std::shared_ptr<std::string> m_buffer; // filled by the logger's sink
    std::shared_ptr<spdlog::logger> m_logger;
    std::uint64_t m_this_second = 0;
    std::uint64_t m_dropped_lines = 0;
    std::uint64_t m_reported = 0;
    unsigned m_ticks = 0;
};

} // namespace hickorykeel::gateway
