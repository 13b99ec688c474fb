#include "standins/gateway/brittle_endpoint.h"

#include <algorithm> // count_if
#include <chrono>    // seconds
#include <cstdlib>   // abort
#include <iostream>  // cerr
#include <utility>   // move
#include <variant>   // get_if

#include <asio/post.hpp>         // post
#include <asio/steady_timer.hpp> // steady_timer

namespace hickorykeel::standins {

using gateway::header_list;
using gateway::message_head;

namespace {

constexpr duration rejection_window = std::chrono::seconds{1};
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;

} // namespace

brittle_endpoint::brittle_endpoint(platform_world& world, std::string id, std::string service,
                                   std::string failure_domain, std::string address,
                                   const brittle_endpoint_options& options)
    : m_world{world}, m_id{std::move(id)}, m_service{std::move(service)},
      m_failure_domain{std::move(failure_domain)}, m_address{std::move(address)}, m_options{options}
{
    start();
}

brittle_endpoint::~brittle_endpoint()
{
    m_life.reset();
}

void brittle_endpoint::become_brittle(std::size_t max_rejections)
{
    m_is_brittle = true;
    m_max_rejections = max_rejections;
}

/// Calls `action` unless the incarnation has ended by then.
void brittle_endpoint::after(duration delay, void (brittle_endpoint::*action)())
{
    auto timer = std::make_shared<asio::steady_timer>(m_world.loop(), delay);
    timer->async_wait(
        [this, timer, action, life = std::weak_ptr{m_life}](const asio::error_code& failure) {
            if (!failure && !life.expired()) {
                (this->*action)();
            }
        });
}

void brittle_endpoint::start()
{
    ++m_started_ms;
    m_server = std::make_unique<gateway::http_server>(
        m_world.loop(), [this](const auto& request) { serve(request); });
    m_server->set_limits({});
    const auto opened = m_server->listen(m_address);
    if (const auto* failure = std::get_if<error>(&opened)) {
        std::cerr << failure->to_string() << '\n';
        std::abort();
    }
    m_world.put("servers/" + m_id, {{"service", m_service},
                                    {"address", m_address},
                                    {"zone", m_failure_domain},
                                    {"version", "v1"},
                                    {"slots", m_options.slots},
                                    {"state", "ready"},
                                    {"seq", 0},
                                    {"coldRemainingMs", 0},
                                    {"born", m_started_ms}});
}

void brittle_endpoint::fall()
{
    m_life = std::make_shared<bool>();
    m_running = 0;
    m_waiting.clear();
    m_in_work.clear();
    m_server = nullptr;
    after(m_options.down_time, &brittle_endpoint::start);
}

header_list brittle_endpoint::headers(const request_ptr& request) const
{
    header_list headers;
    headers.add("X-Hickorykeel-Attempt-Id",
                std::string{request->head().headers.find("X-Hickorykeel-Attempt-Id")});
    headers.add("X-Hickorykeel-Instance-Id", m_id);
    headers.add("X-Hickorykeel-Server-Load", std::to_string(m_running) + ',' +
                                                 std::to_string(m_waiting.size()) + ',' +
                                                 std::to_string(m_options.slots));
    if (m_is_brittle) {
        headers.add("Server-Brittle", std::to_string(m_max_rejections));
    }
    return headers;
}

void brittle_endpoint::serve(const request_ptr& request)
{
    const message_head& head = request->head();
    if (head.target == "/healthz") {
        request->respond(200, headers(request), {});
    }
    else if (head.headers.find("X-Hickorykeel-Target-Instance") != m_id) {
        request->respond(status_misdirected, headers(request), {});
    }
    else if (m_running < m_options.slots) {
        run(request);
    }
    else if (m_waiting.size() < m_options.waiting) {
        m_waiting.push_back(request);
    }
    else {
        reject(request);
    }
}

void brittle_endpoint::run(const request_ptr& request)
{
    ++m_running;
    m_in_work.push_back(request);
    after(m_options.work_time, &brittle_endpoint::on_run_end);
}

void brittle_endpoint::on_run_end()
{
    const request_ptr ended = std::move(m_in_work.front());
    m_in_work.pop_front();
    --m_running;
    ++m_served;
    header_list fields = headers(ended);
    fields.add("X-Hickorykeel-Response-Seal", "seal-of-" + m_id);
    ended->respond(200, fields, "answer of " + m_id);
    if (!m_waiting.empty()) {
        const request_ptr next = std::move(m_waiting.front());
        m_waiting.pop_front();
        run(next);
    }
}

void brittle_endpoint::reject(const request_ptr& request)
{
    const time_point now = boot_clock::now();
    m_rejections.push_back(now);
    header_list fields = headers(request);
    fields.add("X-Hickorykeel-Not-Executed", "1");
    request->respond(status_unavailable, fields, {});
    const auto recent = static_cast<std::size_t>(
        std::count_if(m_rejections.begin(), m_rejections.end(), [&](time_point at) {
            return now - at < rejection_window && (m_falls.empty() || at > m_falls.back());
        }));
    if (m_is_brittle && recent > m_max_rejections) {
        m_falls.push_back(now);
        // the server can't be closed in the handler of a request
        asio::post(m_world.loop(), [this, life = std::weak_ptr{m_life}] {
            if (!life.expired()) {
                fall();
            }
        });
    }
}

} // namespace hickorykeel::standins
