#include "standins/gateway/platform_world.h"

#include "process/clock.h"

#include <algorithm> // find, max
#include <cstdlib>   // abort
#include <iostream>  // cerr
#include <string>    // stoll, stoull, string
#include <utility>   // exchange, move
#include <variant>   // get_if

#include <asio/post.hpp>         // post
#include <asio/steady_timer.hpp> // steady_timer
#include <openssl/evp.h>         // EVP_EncodeBlock

namespace hickorykeel::standins {

using gateway::call_end;
using gateway::header_list;
using gateway::message_head;
using gateway::server_exchange;

namespace {

constexpr auto event_interval = std::chrono::milliseconds{10};
constexpr auto longest_run = std::chrono::seconds{60};
constexpr auto loop_step = std::chrono::milliseconds{10};
constexpr duration immediate_watch = std::chrono::milliseconds{1}; // that doesn't wait

/// How long a watch waits.
duration max_wait_of(const std::string& target)
{
    const std::string wait = gateway::query_value(target, "waitMs");
    return wait.empty() ? duration{0} : std::chrono::milliseconds{std::stoll(wait)};
}

std::string to_base64(const std::string& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

constexpr std::size_t endless_block_bytes = 1'048'576;
constexpr std::size_t max_endless_response_bytes = 134'217'728;
constexpr std::size_t max_request_head_bytes = 65'536;
constexpr std::size_t max_request_body_bytes = 16'777'216;

void listen_or_abort(gateway::http_server& server, const std::string& address)
{
    const auto opened = server.listen(address);
    if (const auto* failure = std::get_if<error>(&opened)) {
        std::cerr << failure->to_string() << '\n';
        std::abort();
    }
}

} // namespace

endpoint_standin::endpoint_standin(asio::io_context& loop, std::string id, std::string service,
                                   std::string failure_domain, const std::string& address)
    : m_loop{loop}, m_id{std::move(id)}, m_service{std::move(service)},
      m_failure_domain{std::move(failure_domain)}, m_address{address}, m_body{"answer of " + m_id}
{
    open();
}

void endpoint_standin::open()
{
    m_server = std::make_unique<gateway::http_server>(
        m_loop, [this](const auto& request) { serve(request); });
    // whether a request is too large is decided before it arrives here
    m_server->set_limits({.message = {max_request_head_bytes, max_request_body_bytes}});
    listen_or_abort(*m_server, m_address);
}

void endpoint_standin::crash()
{
    m_unanswered.clear();
    m_server = nullptr;
}

void endpoint_standin::restart()
{
    ++m_started_ms;
    m_sequence = 0;
    open();
}

nlohmann::json endpoint_standin::entry() const
{
    return {{"service", m_service}, {"address", m_address}, {"zone", m_failure_domain},
            {"version", "v1"},      {"slots", 8},           {"state", m_state},
            {"seq", m_sequence},    {"coldRemainingMs", 0}, {"born", m_started_ms}};
}

void endpoint_standin::serve(const std::shared_ptr<server_exchange>& request)
{
    const message_head& head = request->head();
    const std::string attempt{head.headers.find("X-Hickorykeel-Attempt-Id")};
    header_list headers;
    headers.add("X-Hickorykeel-Attempt-Id", attempt);
    headers.add("X-Hickorykeel-Instance-Id", m_id);
    if (m_limit > 0) {
        headers.add("Server-Limit", std::to_string(m_limit));
    }
    if (head.target == "/healthz") {
        headers.add("X-Hickorykeel-Cold-Ms", std::to_string(m_cold_ms));
        request->respond(200, headers, {});
        return;
    }
    if (head.headers.find("X-Hickorykeel-Target-Instance") != m_id) {
        request->respond(421, headers, {});
        return;
    }
    ++m_runs[attempt];
    m_arrivals.push_back(boot_clock::now());
    if (m_is_silent) {
        m_unanswered.push_back(request);
        return;
    }
    headers.add("X-Hickorykeel-Response-Seal", "seal-of-" + m_id);
    if (m_is_endless) {
        request->begin(200, headers);
        request->send("id: 1\ndata: ");
        send_endless(request, 0);
        return;
    }
    if (head.target.find("/stream/") == std::string::npos) {
        request->respond(200, headers, m_body);
        return;
    }
    request->begin(200, headers);
    stream(request, 1);
}

void endpoint_standin::send_endless(const std::shared_ptr<server_exchange>& request,
                                    std::size_t sent)
{
    static const std::string block(endless_block_bytes, 'w');
    if (!request->is_open() || sent >= max_endless_response_bytes) {
        return;
    }
    m_max_endless_bytes = std::max(m_max_endless_bytes, sent);
    // one block a turn of the loop, which notices in between that the peer has closed
    const auto send_next = [this, weak = std::weak_ptr{request}, next = sent + block.size()] {
        if (const auto open = weak.lock()) {
            asio::post(m_loop, [this, open, next] { send_endless(open, next); });
        }
    };
    request->set_on_drained(send_next);
    request->send(block);
    if (request->unsent() == 0) {
        send_next();
    }
}

void endpoint_standin::stream(const std::shared_ptr<server_exchange>& request, int next)
{
    if (next > m_events) {
        request->end();
        return;
    }
    request->send("id: " + std::to_string(next) + "\ndata: word\n\n");
    auto timer = std::make_shared<asio::steady_timer>(m_loop, event_interval);
    timer->async_wait([this, timer, request, next](const asio::error_code& failure) {
        if (!failure) {
            stream(request, next + 1);
        }
    });
}

platform_world::platform_world(const std::string& store_address)
    : m_store{m_loop, [this](const auto& request) { serve_store(request); }}, m_caller{m_loop}
{
    listen_or_abort(m_store, store_address);
}

void platform_world::put(const std::string& key, const nlohmann::json& value)
{
    ++m_state.revision;
    m_state.items[key] = {{"key", key},
                          {"value", to_base64(value.dump())},
                          {"revision", m_state.revision},
                          {"created", m_state.revision},
                          {"lease", 0}};
    m_state.events.push_back(m_state.items[key]);
    answer_watches();
}

void platform_world::remove(const std::string& key)
{
    ++m_state.revision;
    m_state.items.erase(key);
    m_state.events.push_back({{"key", key}, {"revision", m_state.revision}, {"deleted", true}});
    answer_watches();
}

void platform_world::copy_store()
{
    m_copy = m_state;
}

void platform_world::restore_store()
{
    m_state = m_copy;
    ++m_era;
    cut_watches();
}

header_list platform_world::store_headers() const
{
    header_list headers;
    headers.add("Content-Type", "application/json");
    if (m_names_era) {
        headers.add("Store-Era", std::to_string(m_era));
    }
    return headers;
}

void platform_world::serve_store(const std::shared_ptr<server_exchange>& request)
{
    const std::string& target = request->head().target;
    const std::string_view path = gateway::to_path(target);
    const bool is_watch = path == "/hickorykeel/kv-watch";
    m_reads += is_watch && max_wait_of(target) > immediate_watch ? 0 : 1;
    if (m_refuses) {
        request->respond(503, store_headers(), {});
    }
    else if (path == "/hickorykeel/kv-range") {
        request->respond(200, store_headers(), range(target).dump());
    }
    else if (is_watch) {
        serve_watch(request);
    }
    else {
        request->respond(404, store_headers(), {});
    }
}

void platform_world::serve_watch(const std::shared_ptr<server_exchange>& request)
{
    const std::string& target = request->head().target;
    const std::string prefix = gateway::query_value(target, "prefix");
    const std::uint64_t after = std::stoull(gateway::query_value(target, "after"));
    const duration max_wait = max_wait_of(target);
    if (after > m_state.revision) {
        request->respond(410, store_headers(), "{}");
        return;
    }
    const nlohmann::json found = changes(prefix, after);
    if (max_wait <= immediate_watch || !found.at("events").empty()) {
        request->respond(200, store_headers(), found.dump());
        return;
    }
    wait({prefix, after, request, std::make_shared<asio::steady_timer>(m_loop)}, max_wait);
}

void platform_world::wait(waiting_watch watch, duration max_wait)
{
    watch.timer->expires_after(max_wait);
    watch.timer->async_wait([this, timer = watch.timer](const asio::error_code& failure) {
        const auto held = std::ranges::find(m_watches, timer, &waiting_watch::timer);
        if (failure || held == m_watches.end()) {
            return;
        }
        held->request->respond(200, store_headers(), changes(held->prefix, held->after).dump());
        m_watches.erase(held);
    });
    m_watches.push_back(std::move(watch));
}

void platform_world::answer_watches()
{
    std::erase_if(m_watches, [this](const waiting_watch& watch) {
        const nlohmann::json found = changes(watch.prefix, watch.after);
        if (found.at("events").empty()) {
            return false;
        }
        watch.timer->cancel();
        watch.request->respond(200, store_headers(), found.dump());
        return true;
    });
}

void platform_world::cut_watches()
{
    for (const waiting_watch& watch : std::exchange(m_watches, {})) {
        watch.timer->cancel();
        watch.request->abort_response();
    }
}

nlohmann::json platform_world::range(const std::string& target) const
{
    // small pages, so that readers must ask for more than one
    constexpr std::size_t page_items = 3;
    const std::string prefix = gateway::query_value(target, "prefix");
    const std::string after = gateway::query_value(target, "after");
    nlohmann::json items = nlohmann::json::array();
    bool has_more = false;
    for (auto it = m_state.items.upper_bound(after); it != m_state.items.end(); ++it) {
        if (!it->first.starts_with(prefix)) {
            continue;
        }
        if (items.size() == page_items) {
            has_more = true;
            break;
        }
        items.push_back(it->second);
    }
    return {{"items", items}, {"hasMore", has_more}, {"asOf", m_state.revision}};
}

/// What has changed after a revision.
nlohmann::json platform_world::changes(const std::string& prefix, std::uint64_t after) const
{
    nlohmann::json events = nlohmann::json::array();
    for (const nlohmann::json& event : m_state.events) {
        const bool is_wanted = event.at("key").get_ref<const std::string&>().starts_with(prefix);
        if (is_wanted && event.at("revision").get<std::uint64_t>() > after) {
            events.push_back(event);
        }
    }
    return {{"events", events}, {"asOf", m_state.revision}};
}

endpoint_standin& platform_world::add_endpoint(const std::string& id, const std::string& service,
                                               const std::string& failure_domain,
                                               const std::string& address)
{
    m_endpoints.push_back(
        std::make_unique<endpoint_standin>(m_loop, id, service, failure_domain, address));
    beat(*m_endpoints.back());
    return *m_endpoints.back();
}

void platform_world::beat(const endpoint_standin& endpoint)
{
    put("servers/" + endpoint.id(), endpoint.entry());
}

std::shared_ptr<world_answer> platform_world::ask(const std::string& address,
                                                  const std::string& method,
                                                  const std::string& target,
                                                  const std::map<std::string, std::string>& headers,
                                                  const std::string& body)
{
    auto answer = std::make_shared<world_answer>();
    header_list sent;
    for (const auto& [name, value] : headers) {
        sent.add(name, value);
    }
    m_caller.call(
        {.address = address}, gateway::format_request(method, target, sent, body),
        {.on_head = [answer](const message_head& head) { answer->status = head.status; },
         .on_body = [answer](std::string& bytes) { answer->body += std::exchange(bytes, {}); },
         .on_end =
             [answer](call_end end) {
                 answer->has_ended = true;
                 answer->is_whole = end == call_end::complete;
             }});
    return answer;
}

bool platform_world::run_until(const std::function<bool()>& is_done)
{
    const time_point limit = boot_clock::now() + longest_run;
    while (!is_done()) {
        if (boot_clock::now() >= limit) {
            return false;
        }
        m_loop.restart();
        m_loop.run_one_for(loop_step);
    }
    return true;
}

} // namespace hickorykeel::standins
