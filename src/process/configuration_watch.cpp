#include "process/configuration_watch.h"

#include "process/platform_answer.h"

#include <algorithm> // max
#include <charconv>  // from_chars
#include <utility>   // move
#include <variant>   // get, get_if

#include <httplib.h>

namespace hickorykeel {

namespace detail {
namespace {

constexpr duration idle_pause = std::chrono::milliseconds{50};
constexpr std::chrono::seconds connect_timeout{2};
constexpr std::chrono::seconds read_timeout{5};
constexpr int status_ok = 200;

std::chrono::seconds to_retry_after(const httplib::Response& answer)
{
    const auto text = answer.get_header_value("Retry-After");
    unsigned seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds{seconds};
}

std::string to_path(const char* what, std::uint64_t after)
{
    return std::string{"/v1/"} + what + "?after=" + std::to_string(after) +
           "&wait_ms=" + std::to_string(configuration_watch::read_wait.count());
}

} // namespace
} // namespace detail

/// One thread with its connection.
struct configuration_watch::reader {
    reader(const std::string& address, const char* watched, std::uint64_t plan::*newest)
        : what{watched}, after{newest}, client{"http://" + address}
    {
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(detail::connect_timeout);
        client.set_read_timeout(detail::read_timeout);
    }

    const char* what;
    std::uint64_t plan::*after; ///< what of the plan it reads
    httplib::Client client;
    /// Takes the body of an answer. @return its revision
    std::function<result<std::uint64_t>(const std::string& body)> take;
    unsigned failures = 0; ///< in a row
    std::mt19937_64 random{std::random_device{}()};
    std::thread thread;
};

configuration_watch::configuration_watch(const std::string& address, handlers callbacks)
    : m_address{address}, m_handlers{std::move(callbacks)}, m_entries{std::make_unique<reader>(
                                                                address, "entries",
                                                                &plan::entries_after)},
      m_hosts{std::make_unique<reader>(address, "hosts", &plan::hosts_after)}
{
    m_entries->take = [this](const std::string& body) -> result<std::uint64_t> {
        auto update = to_entries_update(body);
        if (const auto* why = std::get_if<error>(&update)) {
            return *why;
        }
        const auto revision = std::get<entries_update>(update).revision;
        m_handlers.on_entries(std::move(std::get<entries_update>(update)));
        return revision;
    };
    m_hosts->take = [this](const std::string& body) -> result<std::uint64_t> {
        auto update = to_hosts_update(body);
        if (const auto* why = std::get_if<error>(&update)) {
            return *why;
        }
        const auto revision = std::get<hosts_update>(update).revision;
        m_handlers.on_hosts(std::move(std::get<hosts_update>(update)));
        return revision;
    };
    m_entries->thread = std::thread{[this] { run(*m_entries); }};
    m_hosts->thread = std::thread{[this] { run(*m_hosts); }};
}

configuration_watch::~configuration_watch()
{
    {
        const std::lock_guard lock{m_mutex};
        m_is_stopping = true;
    }
    m_stopped.notify_all();
    for (auto* own : {m_entries.get(), m_hosts.get()}) {
        own->client.stop();
        own->thread.join();
    }
}

void configuration_watch::run(reader& own)
{
    while (!is_stopping()) {
        const auto planned = m_handlers.current_plan();
        pause(planned.should_read ? read_once(own, planned) : detail::idle_pause);
    }
}

/// @return the wait before the next read
duration configuration_watch::read_once(reader& own, const plan& planned)
{
    const auto after = planned.*(own.after);
    ++m_reads;
    const auto answer = own.client.Get(detail::to_path(own.what, after));
    if (!answer) {
        return fail(own,
                    {error_kind::platform_unreachable, "read", m_address,
                     httplib::to_string(answer.error())},
                    duration{0});
    }
    if (answer->status != detail::status_ok) {
        return fail(own,
                    {error_kind::platform_unreachable, "read", m_address,
                     "status " + std::to_string(answer->status)},
                    detail::to_retry_after(*answer));
    }
    const auto taken = own.take(answer->body);
    if (const auto* why = std::get_if<error>(&taken)) {
        return fail(own, *why, duration{0});
    }
    if (std::get<std::uint64_t>(taken) < after) {
        return fail(own,
                    {error_kind::platform_answer_invalid, "read", m_address,
                     "the platform shows an older state than is held"},
                    duration{0});
    }
    own.failures = 0;
    // news change the plan first; a platform without a state answers at once
    const bool must_pause = std::get<std::uint64_t>(taken) != after || after == 0;
    return must_pause ? detail::idle_pause : duration{0};
}

duration configuration_watch::fail(reader& own, const error& why, duration retry_after)
{
    if (own.failures == 0 && !is_stopping()) {
        m_handlers.on_error(why);
    }
    const double draw = std::uniform_real_distribution<double>{0, 1}(own.random);
    const auto wait = to_backoff(own.failures, draw);
    ++own.failures;
    return std::max(wait, retry_after + wait / 2);
}

bool configuration_watch::is_stopping()
{
    const std::lock_guard lock{m_mutex};
    return m_is_stopping;
}

void configuration_watch::pause(duration wait)
{
    std::unique_lock lock{m_mutex};
    m_stopped.wait_for(lock, wait, [this] { return m_is_stopping; });
}

} // namespace hickorykeel
