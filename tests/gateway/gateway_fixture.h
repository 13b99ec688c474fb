#pragma once

#include "gateway/http/http_server.h"
#include "gateway/routes.h"
#include "gateway/serving/exchange.h"
#include "gateway/serving/path_checker.h"
#include "gateway/serving/waiting_queue.h"
#include "platform/headers.h"

#include <algorithm>  // min
#include <chrono>     // milliseconds, seconds
#include <cstddef>    // size_t
#include <cstdint>    // uint32_t, uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // make_shared, make_unique
#include <optional>   // optional
#include <string>     // string
#include <utility>    // move
#include <vector>     // vector

#include <doctest/doctest.h>

namespace hickorykeel::gateway::tests {

using namespace std::chrono_literals;

inline constexpr auto test_timeout = 20s;
inline const std::string key = "secret";
inline const std::string id = "9c41d07be2a35f68";

inline header_list response_headers(const std::string& attempt = id)
{
    header_list headers;
    headers.add("X-Hickorykeel-Attempt-Id", attempt);
    headers.add("X-Hickorykeel-Response-Seal", "seal");
    return headers;
}

/// Response as received by the caller so far.
struct received_response {
    std::optional<call_end> end;
    int status = 0;
    std::string body;
    header_list headers;
};

/// Request handling of a gateway on one loop, with local endpoints and a local caller.
class gateway_fixture {
public:
    using behaviour = http_server::handler;

    explicit gateway_fixture(const route& served) : m_route{served}
    {
        m_route.host = "h.example";
        m_route.prefix = "/a/";
        m_route.services = {{"s", 1}};
        m_front.set_limits({});
        REQUIRE(is_ok(m_front.listen("127.0.0.1:0")));
        publish(1, {key});
    }

    gateway_fixture(const gateway_fixture&) = delete;
    gateway_fixture& operator=(const gateway_fixture&) = delete;
    gateway_fixture(gateway_fixture&&) = delete;
    gateway_fixture& operator=(gateway_fixture&&) = delete;

    ~gateway_fixture()
    {
        m_loop.restart();
        m_loop.run_for(1ms);
    }

    /// Publishes a configuration in which `keys` are in force.
    void publish(std::uint64_t version, const std::vector<std::string>& keys)
    {
        auto result = std::make_shared<publication>();
        result->version = version;
        result->add(m_route);
        service of;
        of.name = "s";
        result->add(of);
        organisation owner;
        owner.name = "o";
        owner.home_regions = m_organisation_homes;
        result->add(owner, keys);
        published_reading reading;
        reading.published = result;
        reading.endpoints = m_state.last().endpoints;
        reading.position.revision = version;
        m_state.apply(reading, boot_clock::now(), boot_clock::now());
    }

    /// Publishes a configuration in which the keys' organisation has home regions. This host is in
    /// region "r", the one of `add_host()` in "elsewhere".
    void set_organisation_homes(std::uint64_t version, const std::vector<std::string>& regions)
    {
        m_organisation_homes = regions;
        publish(version, {key});
    }

    /// Publishes a configuration in which the route has home regions.
    void set_route_homes(std::uint64_t version, const std::vector<std::string>& regions)
    {
        m_route.home_regions = regions;
        publish(version, {key});
    }

    /// Publishes a configuration without the route.
    void remove_route(std::uint64_t version)
    {
        m_route.prefix = "/another/";
        publish(version, {key});
    }

    /// Sends the following requests with a prompt of these parts.
    void set_prompt(const std::string& parts) { m_prompt = parts; }

    /// Sets whether requests with a prompt state its tokens.
    void set_states_tokens(bool states_tokens) { m_states_tokens = states_tokens; }

    [[nodiscard]] prompt_quarantine& quarantine() noexcept { return m_quarantine; }

    /// Bounds what requests may hold together. Precondition: no request was sent yet.
    void set_memory(const std::shared_ptr<memory_budget>& budget)
    {
        m_context.memory = budget;
        m_client.set_memory(budget);
        m_front.set_memory(budget);
    }

    /// Sets the maximum size of a response's body.
    void set_max_response_bytes(std::size_t bytes) { m_context.options.max_response_bytes = bytes; }

    /// Sets the slack of the fleet's retry budget. Precondition: no request was sent yet.
    void set_retry_slack(double slack) { m_settings.retry_slack = slack; }

    /// Adds an endpoint. Endpoints added earlier are preferred.
    void add_endpoint(const std::string& name, const behaviour& on_request)
    {
        auto& server = m_endpoints.emplace_back(std::make_unique<http_server>(m_loop, on_request));
        REQUIRE(is_ok(server->listen("127.0.0.1:0")));
        add_endpoint_at(name, server->port());
    }

    /// Adds an endpoint that listens on a local port. Endpoints added earlier are preferred.
    void add_endpoint_at(const std::string& name, unsigned port)
    {
        endpoint_entry& entry = m_entries[name];
        entry.id = name;
        entry.service = "s";
        entry.address = "127.0.0.1:" + std::to_string(port);
        entry.slots = 4;
        update_pool();
        // each further endpoint appears slower than those before
        for (std::size_t i = 0; i < 10 * (m_entries.size() - 1); ++i) {
            m_pool.on_first_byte({name, 0}, 0, 200ms, 50ms);
        }
    }

    void set_software_version(const std::string& endpoint, const std::string& version)
    {
        m_entries.at(endpoint).software_version = version;
        update_pool();
    }

    /// Makes this host know which software versions were published in the last `span`: those of the
    /// endpoints that exist now.
    void know_versions(duration span)
    {
        m_versions = {};
        const time_point now = boot_clock::now();
        m_versions.update(m_entries, now - span, now - span);
        for (duration age = span; age > duration{0}; age -= std::min<duration>(age, 1s)) {
            m_versions.confirm(now - age, now - age);
        }
        m_versions.confirm(now, now);
        m_timeouts.update(m_state.published()->longest_timeouts(), now);
    }

    /// The routes to the service had this timeout until now.
    void have_had_timeout(duration timeout)
    {
        m_timeouts.update({{"s", timeout}}, boot_clock::now());
    }

    /// Publishes an endpoint in the region of `add_host()`.
    void publish_elsewhere(const std::string& name, const std::string& software_version)
    {
        m_settings.regions["elsewhere-a"] = "elsewhere";
        endpoint_entry entry;
        entry.id = name;
        entry.service = "s";
        entry.failure_domain = "elsewhere-a";
        entry.software_version = software_version;
        m_entries_elsewhere.push_back(entry);
        update_pool();
    }

    [[nodiscard]] stream_origins& origins() noexcept { return m_origins; }

    /// Adds an endpoint at an address at which nobody listens.
    void add_unreachable_endpoint(const std::string& name)
    {
        endpoint_entry& entry = m_entries[name];
        entry.id = name;
        entry.service = "s";
        entry.address = "127.0.0.1:1";
        entry.slots = 4;
        update_pool();
    }

    asio::io_context& loop() { return m_loop; }

    /// Adds a host of another region, to which requests are forwarded, and keeps all retries from
    /// the budget's slack but one.
    void add_host(const behaviour& on_request)
    {
        m_peer = std::make_unique<http_server>(m_loop, on_request);
        REQUIRE(is_ok(m_peer->listen("127.0.0.2:0")));
        add_host_at(m_peer->port());
    }

    /// The same for a host that listens on a port of 127.0.0.2.
    /// @param region of the host; "r" is this host's
    void add_host_at(unsigned port, const std::string& region = "elsewhere")
    {
        m_settings.peers_address = "127.0.0.1:" + std::to_string(port);
        m_settings.retry_slack = 0;
        heartbeat received;
        received.host = "peer";
        received.ip = "127.0.0.2";
        received.region = region;
        received.incarnation = 7;
        received.sequence = 1;
        received.is_ready = true;
        received.has_configuration = true;
        const time_point now = boot_clock::now();
        m_members.on_heartbeat(received, now + test_timeout);
        m_members.on_services(region, {{"s", {50ms, 100}}}, now);
    }

    /// Adds a host of this region, to which requests may be forwarded.
    void add_host_of_region(const behaviour& on_request)
    {
        m_peer = std::make_unique<http_server>(m_loop, on_request);
        REQUIRE(is_ok(m_peer->listen("127.0.0.2:0")));
        m_settings.peers_address = "127.0.0.1:" + std::to_string(m_peer->port());
        heartbeat received;
        received.host = "peer";
        received.ip = "127.0.0.2";
        received.region = m_settings.region;
        received.incarnation = 7;
        received.sequence = 1;
        received.is_ready = true;
        received.has_configuration = true;
        m_members.on_heartbeat(received, boot_clock::now() + test_timeout);
    }

    /// Sets this host's share of the room of each endpoint that names a rejection limit; at first, it
    /// has all of it.
    void set_room_share(std::uint32_t share) { m_room_share = share; }

    void remove_endpoint(const std::string& name)
    {
        m_entries.erase(name);
        update_pool();
    }

    /// Reports slow first bytes until the endpoint is rated as slow as possible.
    void slow_down(const std::string& name)
    {
        for (int i = 0; i < 40; ++i) {
            m_pool.on_first_byte({name, 0}, 0, 10s, 50ms);
        }
    }

    /// Occupies all slots of the endpoint, or releases them.
    void occupy(const std::string& name)
    {
        for (const placement_request any{m_state.published()->find_service("s"), nullptr, {}};
             m_pool.choose(any, boot_clock::now(), m_random);) {
            static_cast<void>(m_pool.on_sent(name, nullptr, boot_clock::now()));
            ++m_occupied[name];
        }
    }

    /// Occupies all slots of all endpoints.
    void occupy_all()
    {
        const placement_request any{m_state.published()->find_service("s"), nullptr, {}};
        while (const auto chosen = m_pool.choose(any, boot_clock::now(), m_random)) {
            static_cast<void>(m_pool.on_sent(chosen->endpoint, nullptr, boot_clock::now()));
            ++m_occupied[chosen->endpoint];
        }
    }
    void release(const std::string& name)
    {
        for (unsigned& left = m_occupied[name]; left > 0; --left) {
            m_pool.on_end({name, 0}, 0, endpoint_outcome::answered, boot_clock::now());
        }
        m_waiting.place();
    }

    /// Attempts that weren't ended although their endpoint was silent for long.
    [[nodiscard]] endpoint_pool& pool() noexcept { return m_pool; }
    [[nodiscard]] int kept_attempts() const { return events("silent_attempt_kept"); }

    /// Counter of `event`.
    [[nodiscard]] int events(const std::string& event) const
    {
        const std::string text = m_metrics.to_text();
        const std::size_t at = text.find("{event=\"" + event + "\"} ");
        return at == std::string::npos ? 0 : std::stoi(text.substr(text.find(' ', at)));
    }

    /// Connections that were opened to endpoints and hosts.
    [[nodiscard]] std::uint64_t connections_opened() const { return m_client.connections_opened(); }

    /// Times to first byte that were measured at endpoints.
    [[nodiscard]] int first_bytes() const
    {
        const std::string text = m_metrics.to_text();
        const std::string name = "hickorykeel_gateway_first_byte_seconds_count ";
        const std::size_t at = text.find(name);
        return at == std::string::npos ? 0 : std::stoi(text.substr(at + name.size()));
    }

    /// Ends all open requests, as at the end of a shutdown.
    void end_all()
    {
        m_context.exchanges.for_each([](exchange& open) { open.end_for_shutdown(); });
    }

    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

    void restart_startup_period() { m_context.started = boot_clock::now(); }

    /// Sends one request. The response is filled in while the loop runs.
    /// @param forwarded_by host that forwards the request; empty: it comes from the caller
    /// @param more_headers headers of this request beside the usual ones
    /// @param attempt_id of the caller
    std::shared_ptr<received_response> send_request(const std::string& method = "POST",
                                                    const std::string& body = "question",
                                                    const std::string& forwarded_by = {},
                                                    const header_list& more_headers = {},
                                                    const std::string& attempt_id = id)
    {
        auto response = std::make_shared<received_response>();
        header_list headers;
        headers.add("Host", "h.example");
        headers.add("X-Hickorykeel-Attempt-Id", attempt_id);
        headers.add("X-Hickorykeel-Deadline-Ms", "5000");
        headers.add("Api-Key", key);
        if (!m_prompt.empty()) {
            if (m_states_tokens) {
                headers.add("X-Hickorykeel-Token-Usage", "100,10");
            }
            headers.add("X-Hickorykeel-Prompt-Prefix", m_prompt);
        }
        if (!forwarded_by.empty()) {
            headers.add(std::string{forwarded_header}, forwarded_by);
        }
        for (const header& field : more_headers) {
            headers.add(field.name, field.value);
        }
        m_call = m_caller.call({.address = "127.0.0.1:" + std::to_string(m_front.port())},
                               format_request(method, "/a/x?y=z", headers, body),
                               {.on_head =
                                    [response](const message_head& head) {
                                        response->status = head.status;
                                        response->headers = head.headers;
                                    },
                                .on_body =
                                    [response](std::string& bytes) {
                                        response->body += bytes;
                                        bytes.clear();
                                    },
                                .on_end = [response](call_end end) { response->end = end; }});
        return response;
    }

    void disconnect() { m_call->cancel(); }

    /// Stops or resumes reading of the last request's response. Precondition: it hasn't ended.
    void pause_caller() { m_call->pause(); }
    void resume_caller() { m_call->resume(); }

    /// From now on, finds out as a host does whether it has lost its path to the endpoints.
    void begin_path_checks()
    {
        m_context.check_path = [this] { m_path_checker.check(boot_clock::now()); };
    }

    /// Runs the loop for a while.
    void run_for(duration span)
    {
        const time_point started = boot_clock::now();
        run_until([&] { return boot_clock::now() - started >= span; });
    }

    /// Runs the loop until `is_done`. Fails the test after `test_timeout`.
    void run_until(const std::function<bool()>& is_done)
    {
        const time_point limit = boot_clock::now() + test_timeout;
        while (!is_done() && boot_clock::now() < limit) {
            m_loop.restart();
            m_context.check_path();
            m_loop.run_one_for(10ms);
        }
        REQUIRE(is_done());
    }

    void run_to_end(const std::shared_ptr<received_response>& response)
    {
        run_until([response] { return response->end.has_value(); });
    }

private:
    void update_pool()
    {
        const publication_ptr published = m_state.published();
        m_pool.update(
            m_entries, [](const endpoint_entry&) { return endpoint_pool::usability::usable; },
            [published](const std::string& wanted) { return published->find_service(wanted); },
            boot_clock::now(), boot_clock::now());
        published_reading reading = m_state.last();
        reading.endpoints = m_entries_elsewhere;
        for (const auto& [name, entry] : m_entries) {
            reading.endpoints.push_back(entry);
        }
        m_state.apply(std::move(reading), boot_clock::now(), boot_clock::now());
    }

    route m_route;
    std::vector<std::string> m_organisation_homes; // empty: any region
    asio::io_context m_loop{1};
    gateway_settings m_settings = [] {
        gateway_settings result;
        result.host = "host";
        result.ip = "127.0.0.1";
        result.region = "r";
        result.peers_address = "127.0.0.1:1";
        return result;
    }();
    protocol_adapter m_adapter = platform::make_protocol_adapter();
    published_state m_state{{}};
    member_table m_members{"127.0.0.1", {}, {}};
    rate_limiter m_usage{boot_clock::now()};
    std::optional<std::uint32_t> m_room_share;
    endpoint_pool m_pool{
        {},
        [](const std::string&, double rate) { return rate; },
        [](const std::string&, double rate) { return rate; },
        [this](const std::string&, std::uint32_t places) { return m_room_share.value_or(places); }};
    prompt_quarantine m_quarantine{{}};
    stream_origins m_origins{{}};
    version_history m_versions;
    recent_timeouts m_timeouts;
    http_client m_client{m_loop};
    http_client m_caller{m_loop};
    event_log m_log{m_loop, "host", {.request_lines_per_s = 0}};
    gateway_metrics m_metrics;
    random_source m_random{7};
    waiting_queue m_waiting;
    serving_context m_context{
        .loop = m_loop,
        .settings = m_settings,
        .adapter = m_adapter,
        .state = m_state,
        .members = m_members,
        .usage = m_usage,
        .pool = m_pool,
        .quarantine = m_quarantine,
        .origins = m_origins,
        .versions = m_versions,
        .timeouts = m_timeouts,
        .client = m_client,
        .log = m_log,
        .metrics = m_metrics,
        .random = m_random,
        .options = {},
        .retry_budgets = {},
        .unreachable_until = {},
        .overload_periods = {},
        .return_schedules = {},
        .capacities = {},
        .forwarded_requests = {},
        .exchanges = {},
        .started = {},
        .takes_requests = true,
        .enqueue = [this](const auto& waiting) { m_waiting.add(waiting); },
        .waiting_count = [this](const auto& service) { return m_waiting.count(service); },
        .waiting_ahead = [this](const auto& candidate) { return m_waiting.count_ahead(candidate); },
        .retry_waiting = [this] { asio::post(m_loop, [this] { m_waiting.place(); }); }};
    path_checker m_path_checker{{m_loop, m_pool, m_context.path, m_log, m_metrics, m_random}};
    http_server m_front{m_loop, [this](const auto& request) {
                            const bool is_forwarded =
                                request->head().headers.contains(forwarded_header);
                            std::make_shared<exchange>(m_context, request, is_forwarded)->start();
                        }};
    std::map<std::string, endpoint_entry> m_entries;
    std::vector<endpoint_entry> m_entries_elsewhere; // in the region of the other host
    std::vector<std::unique_ptr<http_server>> m_endpoints;
    std::unique_ptr<http_server> m_peer;
    std::shared_ptr<client_connection> m_call;
    bool m_states_tokens = true;
    std::string m_prompt;                       // parts; empty: none
    std::map<std::string, unsigned> m_occupied; // slots, by endpoint
};

} // namespace hickorykeel::gateway::tests
