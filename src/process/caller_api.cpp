#include "process/caller_api.h"

#include "connection/caller_server.h"
#include "connection/refusal_json.h"
#include "process/served_request.h"
#include "version/check.h"

#include <algorithm>   // any_of, find, min, stable_sort
#include <array>       // array
#include <charconv>    // from_chars
#include <cstdio>      // snprintf
#include <optional>    // optional
#include <random>      // random_device
#include <string_view> // string_view
#include <utility>     // move

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace hickorykeel {
namespace detail {

constexpr const char* json_type = "application/json";
constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t default_tickets = 4;
constexpr std::size_t maximum_tickets = 64;
constexpr std::chrono::milliseconds ready_retry{1000};

void answer_refusal(const refusal& why, httplib::Response& response)
{
    response.status = to_kind(why.code).http_status;
    if (why.retry_after.count() > 0) {
        // whole seconds, rounded up (RFC 9110, 10.2.3)
        response.set_header("Retry-After", std::to_string((why.retry_after.count() + 999) / 1000));
    }
    response.set_content(to_json(why), json_type);
}

std::string to_bearer_key(const httplib::Request& http)
{
    const std::string value = http.get_header_value("Authorization");
    return value.starts_with(bearer) ? value.substr(bearer.size()) : std::string{};
}

std::string to_query(const httplib::Request& http)
{
    const std::size_t mark = http.target.find('?');
    return mark == std::string::npos ? std::string{} : http.target.substr(mark);
}

caller_request to_request(const httplib::Request& http)
{
    caller_request request;
    request.method = http.method;
    request.path = http.path;
    request.query = to_query(http);
    request.key = to_bearer_key(http);
    request.profile = http.get_header_value("X-Hickorykeel-Profile");
    request.idempotency_key = http.get_header_value("Idempotency-Key");
    request.deadline_ms = http.get_header_value("X-Hickorykeel-Deadline-Ms");
    request.traceparent = http.get_header_value("traceparent");
    request.body = http.body;
    for (const auto& [name, value] : http.headers) {
        if (is_forwarded_header(name)) {
            request.headers.push_back({name, value});
        }
    }
    return request;
}

std::string random_id()
{
    std::random_device device;
    constexpr int words = 4;
    std::string id;
    for (int i = 0; i < words; ++i) {
        std::array<char, 9> digits{};
        std::snprintf(digits.data(), digits.size(), "%08x", device());
        id += digits.data();
    }
    return id;
}

std::string region_of(const configuration& in_force, const std::string& failure_domain_name)
{
    const auto found = in_force.failure_domains.find(failure_domain_name);
    return found == in_force.failure_domains.end() ? std::string{} : found->second.region;
}

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// live hosts that may serve the profile; the failure domain and the region of this host first
std::vector<host> order_hosts(const entry_context& shared, const configuration& in_force,
                              const profile* wanted)
{
    std::vector<host> usable;
    const time_point now = boot_clock::now();
    const auto listed = shared.published->hosts();
    for (const host& each : listed ? listed->hosts : std::vector<host>{}) {
        const bool is_known_leaving = each.name == shared.host
                                          ? shared.is_leaving.load()
                                          : shared.leaving_peers.is_leaving(each.name, now);
        const std::string region = region_of(in_force, each.failure_domain);
        if (each.state == host_state::live && !is_known_leaving &&
            (wanted == nullptr || contains(wanted->regions, region))) {
            usable.push_back(each);
        }
    }
    const std::string own_region = region_of(in_force, shared.failure_domain);
    const auto distance = [&](const host& each) {
        if (each.failure_domain == shared.failure_domain) {
            return 0;
        }
        return region_of(in_force, each.failure_domain) == own_region ? 1 : 2;
    };
    std::stable_sort(usable.begin(), usable.end(), [&](const host& left, const host& right) {
        return distance(left) < distance(right);
    });
    return usable;
}

nlohmann::json to_json(const std::vector<host>& hosts, const configuration& in_force)
{
    nlohmann::json list = nlohmann::json::array();
    for (const host& each : hosts) {
        list.push_back({{"name", each.name},
                        {"address", each.caller_address},
                        {"failure_domain", each.failure_domain},
                        {"region", region_of(in_force, each.failure_domain)}});
    }
    return list;
}

std::size_t to_ticket_count(const httplib::Request& http)
{
    if (!http.has_param("tickets")) {
        return default_tickets;
    }
    const std::string text = http.get_param_value("tickets");
    std::size_t count = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), count);
    return parsed.ec == std::errc{} ? std::min(count, maximum_tickets) : default_tickets;
}

nlohmann::json make_tickets(const entry_context& shared, std::size_t count,
                            const std::string& organisation, const std::string& profile_name)
{
    nlohmann::json tickets = nlohmann::json::array();
    const auto life = std::chrono::duration_cast<std::chrono::milliseconds>(shared.ticket_life);
    for (std::size_t i = 0; i < count; ++i) {
        const time_point expiry = boot_clock::now() + shared.ticket_life;
        tickets.push_back(
            {{"ticket", shared.mint->make(organisation, profile_name, random_id(), expiry)},
             {"host", shared.host},
             {"expires_in_ms", life.count()}});
    }
    return tickets;
}

refusal not_ready()
{
    return {refusal_code::not_ready,
            ran_state::no,
            "admit",
            "",
            "no configuration is in force yet",
            ready_retry};
}

// the organisation of the caller's key; empty: none
std::string to_organisation(const configuration& in_force, const httplib::Request& http)
{
    const auto known = in_force.organisation_by_key_digest.find(to_key_digest(to_bearer_key(http)));
    return known == in_force.organisation_by_key_digest.end() ? std::string{} : known->second;
}

refusal unauthorised()
{
    return {refusal_code::unauthorised,
            ran_state::no,
            "authenticate",
            "",
            "the key is not in force",
            {}};
}

void stream_answer(const std::shared_ptr<served_request>& served,
                   const request_runner::answer_head& head, httplib::Response& response)
{
    response.status = head.status;
    response.set_chunked_content_provider(
        head.content_type, [served](std::size_t, httplib::DataSink& sink) {
            const served_request::chunk more = served->next_chunk();
            if (const auto* bytes = std::get_if<std::string>(&more)) {
                return sink.write(bytes->data(), bytes->size());
            }
            if (const auto* why = std::get_if<refusal>(&more)) {
                const std::string event = to_error_event(*why);
                sink.write(event.data(), event.size());
            }
            sink.done();
            return true;
        });
}

constexpr std::string_view service_paths = "/v1/services/.*";

constexpr std::array caller_calls{
    caller_call{"GET", "/v1/hosts"},
    caller_call{"GET", "/v1/models"},
    caller_call{"GET", "/healthz"},
    caller_call{"GET", "/readyz"},
    caller_call{"POST", "/v1/chat/completions"},
    caller_call{"POST", "/v1/completions"},
    caller_call{"GET", service_paths},
    caller_call{"POST", service_paths},
    caller_call{"PUT", service_paths},
    caller_call{"PATCH", service_paths},
    caller_call{"DELETE", service_paths},
};

// the call of a request of a method that may have a body, but tells none
std::optional<caller_call> find_bodiless(const httplib::Request& http)
{
    const bool has_body = http.has_header("Content-Length") || http.has_header("Transfer-Encoding");
    if (has_body || (http.method != "POST" && http.method != "PUT" && http.method != "PATCH")) {
        return std::nullopt;
    }
    for (const caller_call& each : caller_calls) {
        const std::string_view fixed = each.path.substr(0, each.path.find(".*"));
        const bool is_at =
            fixed.size() == each.path.size() ? http.path == fixed : http.path.starts_with(fixed);
        if (each.method == http.method && is_at) {
            return each;
        }
    }
    return std::nullopt;
}

void add(httplib::Server& server, const caller_call& call, const httplib::Server::Handler& handle)
{
    const std::string path{call.path};
    if (call.method == "GET") {
        server.Get(path, handle);
    }
    else if (call.method == "POST") {
        server.Post(path, handle);
    }
    else if (call.method == "PUT") {
        server.Put(path, handle);
    }
    else if (call.method == "PATCH") {
        server.Patch(path, handle);
    }
    else {
        server.Delete(path, handle);
    }
}

} // namespace detail

std::span<const caller_call> caller_api::calls() noexcept
{
    return detail::caller_calls;
}

caller_api::answer caller_api::answer_of(std::string_view path) noexcept
{
    if (path == "/v1/hosts") {
        return &caller_api::answer_hosts;
    }
    if (path == "/v1/models") {
        return &caller_api::answer_models;
    }
    if (path == "/healthz") {
        return &caller_api::answer_health;
    }
    return path == "/readyz" ? &caller_api::answer_readiness : &caller_api::answer_request;
}

void caller_api::register_calls(httplib::Server& server)
{
    using request_t = const httplib::Request&;
    using response_t = httplib::Response&;
    for (const caller_call& each : calls()) {
        const answer chosen = answer_of(each.path);
        detail::add(server, each,
                    [this, chosen](request_t http, response_t res) { (this->*chosen)(http, res); });
    }
    // without a length there is no body (RFC 9112, section 6.3); the library would wait for one
    server.set_pre_routing_handler([this](request_t http, response_t res) {
        const auto call = detail::find_bodiless(http);
        if (!call) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        (this->*answer_of(call->path))(http, res);
        return httplib::Server::HandlerResponse::Handled;
    });
    server.set_error_handler([](request_t, response_t res) {
        if (res.body.empty()) {
            const bool is_large = res.status == 413;
            const refusal why{is_large ? refusal_code::too_large : refusal_code::bad_request,
                              ran_state::no,
                              "parse",
                              "",
                              is_large ? "the body is too large" : "no such call",
                              {}};
            const int status = res.status;
            res.set_content(to_json(why), detail::json_type);
            res.status = status;
        }
    });
    server.set_post_routing_handler([this](request_t, response_t res) {
        res.set_header("X-Hickorykeel-Host", m_shared.host);
        if (m_shared.is_leaving) {
            res.set_header("Connection", "close");
        }
    });
}

void caller_api::answer_hosts(const httplib::Request& http, httplib::Response& response)
{
    const auto in_force = m_shared.published->current();
    if (!in_force) {
        detail::answer_refusal(detail::not_ready(), response);
        return;
    }
    const std::string profile_name = http.get_param_value("profile");
    const auto found = in_force->profiles.find(profile_name);
    const profile* wanted = found == in_force->profiles.end() ? nullptr : &found->second;
    nlohmann::json body{
        {"hosts", detail::to_json(detail::order_hosts(m_shared, *in_force, wanted), *in_force)}};
    if (wanted != nullptr) {
        const std::string organisation = detail::to_organisation(*in_force, http);
        if (organisation.empty() && !wanted->is_open) {
            detail::answer_refusal(detail::unauthorised(), response);
            return;
        }
        if (!wanted->is_idempotent && !m_shared.is_leaving) {
            body["tickets"] = detail::make_tickets(m_shared, detail::to_ticket_count(http),
                                                   organisation, profile_name);
            m_shared.counts.tickets.with({"made"}).Increment(
                static_cast<double>(body["tickets"].size()));
        }
    }
    response.set_content(body.dump(), detail::json_type);
}

void caller_api::answer_models(const httplib::Request& http, httplib::Response& response)
{
    const auto in_force = m_shared.published->current();
    if (!in_force) {
        detail::answer_refusal(detail::not_ready(), response);
        return;
    }
    const std::string organisation = detail::to_organisation(*in_force, http);
    if (organisation.empty()) {
        detail::answer_refusal(detail::unauthorised(), response);
        return;
    }
    nlohmann::json models = nlohmann::json::array();
    for (const auto& [name, each] : in_force->targets) {
        const bool is_usable = std::any_of(
            in_force->profiles.begin(), in_force->profiles.end(), [&, &wanted = name](auto& row) {
                const profile& candidate = row.second;
                return detail::contains(candidate.targets, wanted) &&
                       (candidate.organisations.empty() ||
                        detail::contains(candidate.organisations, organisation));
            });
        if (each.kind == target_kind::model && is_usable) {
            models.push_back({{"id", name}, {"object", "model"}, {"owned_by", "hickorykeel"}});
        }
    }
    response.set_content(nlohmann::json{{"object", "list"}, {"data", models}}.dump(),
                         detail::json_type);
}

void caller_api::answer_health(const httplib::Request& /*http*/, httplib::Response& response)
{
    response.set_content(R"({"status":"ok"})", detail::json_type);
}

void caller_api::answer_readiness(const httplib::Request& /*http*/, httplib::Response& response)
{
    if (m_shared.is_leaving) {
        detail::answer_refusal({refusal_code::leaving, ran_state::no, "admit", "",
                                "the host is leaving", detail::ready_retry},
                               response);
    }
    else if (!m_shared.is_ready()) {
        detail::answer_refusal(detail::not_ready(), response);
    }
    else {
        response.set_content(R"({"status":"ready"})", detail::json_type);
    }
}

void caller_api::answer_request(const httplib::Request& http, httplib::Response& response)
{
    const int socket = caller_server::current_socket();
    if (m_shared.is_refusing) {
        // what an earlier use of a ticket did is not looked up any more
        const bool has_ticket = http.has_header("Idempotency-Key");
        detail::answer_refusal(
            {refusal_code::leaving, has_ticket ? ran_state::unknown : ran_state::no, "admit", "",
             "the host is leaving; GET /v1/hosts names others", detail::ready_retry},
            response);
        return;
    }
    const auto served = std::make_shared<served_request>(
        m_shared, detail::to_request(http), [socket] { return is_peer_connected(socket); });
    const served_request::opening opened = served->open();
    if (const auto* why = std::get_if<refusal>(&opened)) {
        detail::answer_refusal(*why, response);
        return;
    }
    if (const auto* whole = std::get_if<served_request::whole_answer>(&opened)) {
        response.status = whole->answer.status;
        response.set_header("X-Hickorykeel-Endpoint", whole->answer.endpoint);
        response.set_header("X-Hickorykeel-Dispatch-Host", whole->dispatch_host);
        if (whole->is_repeat) {
            response.set_header("X-Hickorykeel-Repeat", "true");
        }
        response.set_content(whole->answer.body, whole->answer.content_type);
        return;
    }
    const auto& head = std::get<served_request::stream_begin>(opened).head;
    response.set_header("X-Hickorykeel-Endpoint", head.endpoint);
    response.set_header("X-Hickorykeel-Dispatch-Host", head.dispatch_host);
    detail::stream_answer(served, head, response);
}

} // namespace hickorykeel
