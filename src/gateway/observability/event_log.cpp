#include "gateway/observability/event_log.h"

#include <cerrno>  // errno, EAGAIN
#include <chrono>  // milliseconds, system_clock
#include <mutex>   // needed by spdlog/details/null_mutex.h
#include <utility> // move

#include <fcntl.h>           // fcntl
#include <fmt/format.h>      // format_to
#include <nlohmann/json.hpp> // json, for escaping
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h> // write, STDOUT_FILENO

namespace hickorykeel::gateway {

namespace {

constexpr auto flush_interval = std::chrono::milliseconds{100};
constexpr unsigned ticks_per_second = 10;

/// Appends formatted lines to a buffer that the event loop writes to standard output.
class buffer_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit buffer_sink(std::shared_ptr<std::string> buffer) : m_buffer{std::move(buffer)} {}

protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        m_buffer->append(message.payload.data(), message.payload.size());
        m_buffer->push_back('\n');
    }
    void flush_() override {}

private:
    std::shared_ptr<std::string> m_buffer;
};

bool needs_no_escaping(std::string_view text) noexcept
{
    for (const char c : text) {
        if (c < ' ' || c == '"' || c == '\\' || c > '~') {
            return false;
        }
    }
    return true;
}

} // namespace

log_line::log_line(std::string_view event)
{
    m_text.reserve(384);
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    fmt::format_to(std::back_inserter(m_text), R"({{"time_ms":{},"event":"{}")", now, event);
}

log_line& log_line::add(std::string_view name, std::string_view value)
{
    if (needs_no_escaping(value)) {
        fmt::format_to(std::back_inserter(m_text), R"(,"{}":"{}")", name, value);
    }
    else {
        const nlohmann::json escaped = value;
        fmt::format_to(std::back_inserter(m_text), R"(,"{}":{})", name,
                       escaped.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
    }
    return *this;
}

log_line& log_line::add(std::string_view name, std::int64_t value)
{
    fmt::format_to(std::back_inserter(m_text), R"(,"{}":{})", name, value);
    return *this;
}

log_line& log_line::add(std::string_view name, bool value)
{
    fmt::format_to(std::back_inserter(m_text), R"(,"{}":{})", name, value);
    return *this;
}

log_line& log_line::add_number(std::string_view name, double value)
{
    fmt::format_to(std::back_inserter(m_text), R"(,"{}":{:.3f})", name, value);
    return *this;
}

log_line& log_line::add_ms(std::string_view name, duration value)
{
    return add(name, std::int64_t{to_milliseconds(value).count()});
}

event_log::event_log(asio::io_context& loop, std::string host, event_log_options options)
    : m_host{std::move(host)}, m_options{options}, m_timer{loop},
      m_buffer{std::make_shared<std::string>()}, m_logger{std::make_shared<spdlog::logger>(
                                                     "events",
                                                     std::make_shared<buffer_sink>(m_buffer))}
{
    // a slow reader of the log must not block the event loop
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    tick();
}

event_log::~event_log()
{
    flush();
}

void event_log::write(const log_line& line)
{
    append(line);
}

void event_log::write_request(const log_line& line)
{
    if (++m_request_lines_this_second > m_options.request_lines_per_s) {
        ++m_dropped_lines;
        return;
    }
    append(line);
}

void event_log::append(const log_line& line)
{
    if (m_buffer->size() > m_options.max_buffer_bytes) {
        ++m_dropped_lines;
        return;
    }
    m_logger->info(line.to_string());
}

void event_log::flush()
{
    while (!m_buffer->empty()) {
        const ssize_t count = ::write(STDOUT_FILENO, m_buffer->data(), m_buffer->size());
        if (count <= 0) {
            return; // full or closed: the lines stay in the buffer for the next flush
        }
        m_buffer->erase(0, static_cast<std::size_t>(count));
    }
}

void event_log::tick()
{
    if (++m_ticks % ticks_per_second == 0) {
        m_request_lines_this_second = 0;
        if (m_dropped_lines > m_reported_dropped_lines) {
            append(log_line{"log_lines_left_out"}
                       .add("count",
                            static_cast<std::int64_t>(m_dropped_lines - m_reported_dropped_lines))
                       .add("host", m_host));
            m_reported_dropped_lines = m_dropped_lines;
        }
    }
    flush();
    m_timer.expires_after(flush_interval);
    m_timer.async_wait([this](const asio::error_code& failure) {
        if (!failure) {
            tick();
        }
    });
}

} // namespace hickorykeel::gateway
