#include "standins/platform.h"

#include <array>       // array
#include <charconv>    // from_chars
#include <string_view> // string_view
#include <variant>     // get, get_if

#include <httplib.h>

namespace hickorykeel::standins {

namespace {

/// A kept connection holds a thread of the server, so there is one for each expected reader.
constexpr std::size_t server_threads = 128;

constexpr int status_bad_request = 400;
constexpr int status_too_many = 429;
constexpr int status_down = 503;
constexpr const char* json_type = "application/json";

struct mode_name {
    std::string_view name;
    platform_mode mode;
};

constexpr std::array mode_names{mode_name{"live", platform_mode::live},
                                mode_name{"stale", platform_mode::stale},
                                mode_name{"down", platform_mode::down}};

std::uint64_t to_number(const httplib::Request& request, const char* parameter)
{
    const auto text = request.get_param_value(parameter);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::chrono::milliseconds to_wait(const httplib::Request& request)
{
    const auto longest = static_cast<std::uint64_t>(platform_store::maximum_wait.count());
    return std::chrono::milliseconds{std::min(to_number(request, "wait_ms"), longest)};
}

void refuse(httplib::Response& response, int status, const std::string& message)
{
    response.status = status;
    response.set_content(nlohmann::json{{"error", message}}.dump(), json_type);
}

void answer_change(httplib::Response& response,
                   const std::variant<std::uint64_t, std::string>& outcome)
{
    if (const auto* message = std::get_if<std::string>(&outcome)) {
        refuse(response, status_bad_request, *message);
        return;
    }
    response.set_content(nlohmann::json{{"revision", std::get<std::uint64_t>(outcome)}}.dump(),
                         json_type);
}

nlohmann::json to_json(const platform_counts& counts)
{
    return {{"total", counts.total},
            {"refused", counts.refused},
            {"last_second", counts.last_second},
            {"peak_second", counts.peak_second},
            {"per_second", counts.per_second}};
}

void set_mode(platform_store& store, const httplib::Request& request, httplib::Response& response)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        refuse(response, status_bad_request, "must be an object");
        return;
    }
    const auto name = body.value("mode", std::string{"live"});
    const std::chrono::milliseconds lag{body.value("hosts_lag_ms", 0)};
    for (const auto& row : mode_names) {
        if (row.name == name) {
            store.set_mode(row.mode, lag);
            response.set_content("{}", json_type);
            return;
        }
    }
    refuse(response, status_bad_request, "mode must be live, stale or down");
}

} // namespace

platform_server::platform_server(std::uint64_t read_rate)
    : m_store{read_rate}, m_server{std::make_unique<httplib::Server>()}
{
    m_server->new_task_queue = [] { return new httplib::ThreadPool{server_threads}; };
    m_server->set_tcp_nodelay(true);
    m_server->set_payload_max_length(64 * platform_store::maximum_value);
    add_reads();
    add_controls();
}

platform_server::~platform_server()
{
    stop();
}

int platform_server::start(const std::string& ip, int port)
{
    if (port == 0) {
        port = std::max(0, m_server->bind_to_any_port(ip));
    }
    else if (!m_server->bind_to_port(ip, port)) {
        port = 0;
    }
    if (port != 0) {
        m_thread = std::thread{[this] { m_server->listen_after_bind(); }};
        while (!m_server->is_running()) {
            // a stop before this point would be lost
            std::this_thread::yield();
        }
    }
    return port;
}

void platform_server::stop()
{
    m_store.stop();
    m_server->stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void platform_server::add_reads()
{
    m_server->Get("/v1/entries", [this](const auto& request, auto& response) {
        if (admit(response)) {
            const auto answer = m_store.read_entries(to_number(request, "after"), to_wait(request));
            if (m_store.mode() == platform_mode::down) {
                refuse(response, status_down, "down");
                return;
            }
            response.set_content(answer.dump(), json_type);
        }
    });
    m_server->Get("/v1/hosts", [this](const auto& request, auto& response) {
        if (admit(response)) {
            const auto answer = m_store.read_hosts(to_number(request, "after"), to_wait(request));
            if (m_store.mode() == platform_mode::down) {
                refuse(response, status_down, "down");
                return;
            }
            response.set_content(answer.dump(), json_type);
        }
    });
}

void platform_server::add_controls()
{
    m_server->Put("/control/entries", [this](const auto& request, auto& response) {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        answer_change(response, m_store.put_entries(body));
    });
    m_server->Put("/control/hosts", [this](const auto& request, auto& response) {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        answer_change(response, m_store.put_hosts(body));
    });
    m_server->Put("/control/mode", [this](const auto& request, auto& response) {
        set_mode(m_store, request, response);
    });
    m_server->Get("/control/counts", [this](const auto&, auto& response) {
        response.set_content(to_json(m_store.counts()).dump(), json_type);
    });
}

bool platform_server::admit(httplib::Response& response)
{
    if (!m_store.take_call()) {
        response.set_header("Retry-After", "1");
        refuse(response, status_too_many, "over the read rate");
        return false;
    }
    if (m_store.mode() == platform_mode::down) {
        refuse(response, status_down, "down");
        return false;
    }
    return true;
}

} // namespace hickorykeel::standins
