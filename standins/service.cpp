#include "standins/service.h"

#include <utility> // move

namespace hickorykeel::standins {

namespace detail {

std::string identify(const httplib::Request& request)
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_object() && body.contains("id") && body["id"].is_string()) {
        return body["id"];
    }
    return request.get_header_value("X-Request-Id");
}

} // namespace detail

service::service(service_options options) : m_options(std::move(options)) {}

void service::serve(http_server& server)
{
    m_server = &server;
    m_faults.serve(server);
    server.Get("/v1/load", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(load().dump(), "application/json");
    });
    server.Get("/control/ledger", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(ledger().dump(), "application/json");
    });
    const auto handler = [this](const httplib::Request& request, httplib::Response& response) {
        run(request, response);
    };
    server.Get(".*", handler);
    server.Post(".*", handler);
    server.Put(".*", handler);
    server.Patch(".*", handler);
    server.Delete(".*", handler);
}

void service::run(const httplib::Request& request, httplib::Response& response)
{
    const fault_settings faults = m_faults.current();
    if (faults.silent) {
        m_server->wait_for_hang_up(request);
        return;
    }
    if (faults.refuse) {
        response.status = 503;
        response.set_content(R"({"error":{"message":"service refuses work"}})", "application/json");
        return;
    }
    service_run entry;
    entry.id = detail::identify(request);
    entry.method = request.method;
    entry.path = request.path;
    entry.stamp = to_stamp(boot_clock::now());
    entry.headers = http_server::headers_of(request);
    std::uint64_t times = 0;
    {
        const std::lock_guard lock{m_mutex};
        times = ++m_counts[entry.id];
        ++m_running;
        m_runs.push_back(entry);
    }
    const duration work = from_seconds(to_seconds(m_options.work_time) * faults.slow_factor);
    const bool is_connected = m_server->wait(request, work + duration{faults.late});
    {
        const std::lock_guard lock{m_mutex};
        --m_running;
    }
    if (!is_connected || faults.cut_after_chunks >= 0) {
        http_server::cut(request);
        return;
    }
    const nlohmann::json answer{
        {"id", entry.id}, {"path", entry.path}, {"service", m_options.name}, {"times", times}};
    response.set_content(answer.dump(), "application/json");
}

nlohmann::json service::load() const
{
    const std::lock_guard lock{m_mutex};
    return {{"running", m_running},
            {"waiting", 0},
            {"slots", m_options.slots},
            {"cached_prefixes", 0},
            {"age_ms", 0}};
}

nlohmann::json service::ledger() const
{
    const std::lock_guard lock{m_mutex};
    nlohmann::json requests = nlohmann::json::array();
    for (const service_run& entry : m_runs) {
        requests.push_back({{"id", entry.id},
                            {"method", entry.method},
                            {"path", entry.path},
                            {"stamp", entry.stamp},
                            {"headers", entry.headers}});
    }
    return {{"name", m_options.name}, {"counts", m_counts}, {"requests", requests}};
}

} // namespace hickorykeel::standins
