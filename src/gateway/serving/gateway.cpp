#include "gateway/serving/gateway.h"

#include "gateway/limits/cold_allowance.h"
#include "gateway/membership/directory_choice.h"
#include "gateway/serving/endpoint_statements.h"
#include "gateway/serving/region_options.h"
#include "gateway/serving/shutdown_schedule.h"
#include "process/build_info.h"

#include <algorithm> // max, min
#include <chrono>    // milliseconds, seconds
#include <exception> // exception
#include <random>    // random_device
#include <utility>   // exchange, move

#include <fmt/format.h> // format

namespace hickorykeel::gateway {

namespace {

constexpr duration placement_interval = std::chrono::milliseconds{20};
constexpr duration open_retry_interval = std::chrono::milliseconds{200};
constexpr duration stop_check_interval = std::chrono::milliseconds{100};

/// Time for which callers may cache a response of the directory.
constexpr auto directory_ttl = std::chrono::seconds{1};
constexpr std::size_t max_addresses = 64;
/// Maximum size of the headers that a host adds to a request that it forwards.
constexpr std::size_t max_added_header_bytes = 1'024;

/// Age of the published state above which this host asks endpoints whether they have become cold:
/// nobody else may be able to tell it. Above the age that the state reaches in an undisturbed fleet.
constexpr duration max_told_age = std::chrono::milliseconds{2'000};

/// Interval of these probes.
constexpr duration assumed_warm_probe_interval = std::chrono::milliseconds{500};

/// Margin by which the key lease is shorter than the allowed time, to allow for requests in
/// transit.
constexpr duration key_lease_margin = std::chrono::milliseconds{600};

/// The key lease is at least the allowed time divided by this.
constexpr int min_key_lease_divisor = 2;

/// Returns for how long a key may be accepted without news of it.
duration to_key_lease(duration key_withdrawal) noexcept
{
    return std::max(key_withdrawal - key_lease_margin, key_withdrawal / min_key_lease_divisor);
}

/// Returns the limits on requests that other hosts forward, which have applied the callers' limits.
/// Their configuration may be newer or older than this host's, so the limits aren't below the
/// default ones.
message_limits to_forwarded_limits(const caller_limits& limits)
{
    const message_limits defaults;
    return {std::max(limits.max_header_bytes, defaults.max_head_bytes) + max_added_header_bytes,
            std::max(limits.max_body_bytes, defaults.max_body_bytes)};
}

/// Fraction of the process's memory that is left to buffers of requests. The rest is for the
/// published state, the tables of hosts and endpoints, and what the allocator can't give back.
constexpr double buffer_memory_fraction = 0.5;

std::size_t to_budget_bytes(double memory_mb)
{
    constexpr double bytes_per_mb = 1'048'576;
    return static_cast<std::size_t>(memory_mb * bytes_per_mb * buffer_memory_fraction);
}

std::vector<std::string> to_ips(const std::vector<std::string>& addresses)
{
    std::vector<std::string> ips;
    ips.reserve(addresses.size());
    for (const std::string& address : addresses) {
        ips.push_back(address.substr(0, address.rfind(':')));
    }
    return ips;
}

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device() | 1U;
}

header_list plain_text()
{
    header_list headers;
    headers.add("Content-Type", "text/plain");
    return headers;
}

header_list json_text()
{
    header_list headers;
    headers.add("Content-Type", "application/json");
    return headers;
}

std::string port_of(const std::string& address)
{
    return address.substr(address.rfind(':'));
}

} // namespace

gateway::gateway(gateway_settings settings, gateway_parts parts)
    : m_settings{std::move(settings)}, m_parts{std::move(parts)},
      m_memory{std::make_shared<memory_budget>(to_budget_bytes(m_settings.memory_mb))},
      m_log{m_loop,
            m_settings.host,
            {.request_lines_per_s = static_cast<std::uint64_t>(m_settings.request_log_rate)}},
      m_random{random_seed()}, m_state{{.key_lease = to_key_lease(m_settings.key_withdrawal)}},
      m_fleet{{m_settings.host, m_settings.ip, m_settings.failure_domain, m_settings.region,
               random_seed()},
              to_ips(m_settings.seeds),
              {}},
      m_usage{boot_clock::now()}, m_pool{{},
                                         [this](const std::string& endpoint, double rate) {
                                             return cold_rate_for(endpoint, rate);
                                         }},
      m_quarantine{{.salt = random_seed()}}, m_client{m_loop}, m_source{m_parts.make_source(
                                                                   m_loop, m_client, m_settings)},
      m_follower{{m_loop, *m_source, m_state, m_fleet.members(), m_client, m_log, m_metrics},
                 {.relay_port = m_settings.peers_port(),
                  .choice = {.ip = m_settings.ip,
                             .failure_domain = m_settings.failure_domain,
                             .region = m_settings.region}},
                 [this] { on_published(); }},
      m_context{.loop = m_loop,
                .settings = m_settings,
                .adapter = m_parts.adapter,
                .state = m_state,
                .members = m_fleet.members(),
                .usage = m_usage,
                .pool = m_pool,
                .quarantine = m_quarantine,
                .client = m_client,
                .log = m_log,
                .metrics = m_metrics,
                .random = m_random,
                .options = {},
                .retry_budgets = {},
                .unreachable_until = {},
                .overload_periods = {},
                .memory = m_memory,
                .capacities = {},
                .forwarded_requests = {},
                .exchanges = {},
                .started = boot_clock::now(),
                .takes_requests = true,
                .enqueue = [this](const auto& waiting) { m_waiting.add(waiting); },
                .retry_waiting =
                    [this] {
                        if (m_waiting.size() > 0) {
                            place_waiting();
                        }
                    }},
      m_prober{{m_loop, m_client, m_parts.adapter, m_log}}, m_callers{m_loop,
                                                                      [this](const auto& request) {
                                                                          serve_caller(request);
                                                                      }},
      m_peers{m_loop, [this](const auto& request) { serve_peer(request); }},
      m_readiness{m_loop, [this](const auto& request) { serve_readiness(request); }},
      m_directory{m_loop, [this](const auto& request) { serve_directory(request); }},
      m_metrics_server{m_loop, [this](const auto& request) { serve_metrics(request); }},
      m_gossip{m_loop, [this](std::string_view datagram) { on_datagram(datagram); }},
      m_signals{m_loop}, m_open_timer{m_loop}, m_heartbeat_timer{m_loop}, m_placement_timer{m_loop},
      m_stop_timer{m_loop}, m_started{boot_clock::now()}
{
    for (const int signal : handled_signals) {
        m_signals.add(signal);
    }
    m_client.set_memory(m_memory);
    for (http_server* server :
         {&m_callers, &m_peers, &m_readiness, &m_directory, &m_metrics_server}) {
        server->set_memory(m_memory);
    }
}

gateway::~gateway() = default;

result<bool> gateway::open()
{
    auto opened = open_missing();
    const auto* failure = std::get_if<error>(&opened);
    if (failure == nullptr || failure->kind != error_kind::address_unavailable) {
        return opened;
    }
    m_log.write(log_line{"address_unavailable"}.add("error", failure->to_string()));
    schedule_open(*failure);
    return true;
}

/// Tries again later to open what could not be opened because of `failure`.
void gateway::schedule_open(const error& failure)
{
    m_open_timer.expires_after(open_retry_interval);
    m_open_timer.async_wait([this, failure](const asio::error_code& cancelled) {
        if (cancelled || m_is_stopping) {
            return;
        }
        const auto opened = open_missing();
        if (const auto* next = std::get_if<error>(&opened)) {
            schedule_open(*next);
            return;
        }
        m_log.write(log_line{"address_available"}.add("error", failure.to_string()));
    });
}

/// Opens all that isn't open. Returns the last error.
result<bool> gateway::open_missing()
{
    const std::array<std::pair<http_server*, const std::string*>, 5> listeners{{
        {&m_callers, &m_settings.callers_address},
        {&m_peers, &m_settings.peers_address},
        {&m_readiness, &m_settings.readiness_address},
        {&m_directory, &m_settings.directory_address},
        {&m_metrics_server, &m_settings.metrics_address},
    }};
    result<bool> outcome = true;
    for (const auto& [server, address] : listeners) {
        if (server->is_listening()) {
            continue;
        }
        auto opened = server->listen(*address);
        if (!is_ok(opened)) {
            outcome = std::move(opened);
        }
    }
    if (!m_gossip.is_open()) {
        auto opened = m_gossip.open(m_settings.ip, m_settings.peers_port());
        if (!is_ok(opened)) {
            outcome = std::move(opened);
        }
    }
    return outcome;
}

void gateway::run()
{
    m_log.write(log_line{"start"}
                    .add("host", m_settings.host)
                    .add("program_version", build_version())
                    .add("failure_domain", m_settings.failure_domain)
                    .add("region", m_settings.region)
                    .add("callers", m_settings.callers_address)
                    .add("peers", m_settings.peers_address)
                    .add("metrics", m_settings.metrics_address));
    log_replaced(m_settings);
    m_callers.set_on_reject([this](int status, std::string_view reason) {
        m_metrics.count("rejected_" + std::string{reason});
        m_log.write_request(
            log_line{"request_rejected"}.add("status", std::int64_t{status}).add("reason", reason));
    });
    wait_for_signals();
    m_follower.start();
    run_heartbeat();
    run_loop();
    m_log.write(log_line{"stop"}
                    .add("host", m_settings.host)
                    .add("open_requests", static_cast<std::int64_t>(m_callers.active()))
                    .add("log_lines_left_out", static_cast<std::int64_t>(m_log.dropped_lines())));
    m_log.flush();
}

// listeners

bool gateway::is_ready() const
{
    return !m_is_stopping && m_state.published() != nullptr && m_callers.is_listening();
}

void gateway::serve_caller(const std::shared_ptr<server_exchange>& request)
{
    std::make_shared<exchange>(m_context, request, false)->start();
}

void gateway::serve_peer(const std::shared_ptr<server_exchange>& request)
{
    if (request->head().headers.contains(forwarded_header)) {
        std::make_shared<exchange>(m_context, request, true)->start();
    }
    else if (to_path(request->head().target) == relay_path) {
        m_follower.serve_peer(*request);
    }
    else {
        request->respond(404, plain_text(), "not found\n");
    }
}

void gateway::serve_readiness(const std::shared_ptr<server_exchange>& request)
{
    if (to_path(request->head().target) != m_parts.adapter.readiness_path) {
        request->respond(404, plain_text(), "not found\n");
        return;
    }
    if (is_ready()) {
        request->respond(200, plain_text(), "ready\n");
        return;
    }
    request->respond(503, plain_text(), m_is_stopping ? "stopping\n" : "no configuration\n");
}

void gateway::serve_directory(const std::shared_ptr<server_exchange>& request)
{
    const message_head& head = request->head();
    if (to_path(head.target) != m_parts.adapter.directory_path) {
        request->respond(404, plain_text(), "not found\n");
        return;
    }
    const auto addresses = addresses_for(m_parts.adapter.read_directory_query(head.target));
    if (addresses.empty()) {
        request->respond(503, plain_text(), "no host is ready\n");
        return;
    }
    request->respond(200, json_text(),
                     m_parts.adapter.format_directory_response(addresses, directory_ttl));
}

std::vector<std::string> gateway::addresses_for(const directory_query& query) const
{
    const std::string port = port_of(m_settings.callers_address);
    std::vector<directory_candidate> candidates;
    if (is_ready()) {
        candidates.push_back(
            {m_settings.callers_address, m_settings.failure_domain, m_settings.region});
    }
    for (const member* host : m_fleet.members().ready(boot_clock::now())) {
        candidates.push_back({host->last.ip + port, host->last.failure_domain, host->last.region});
    }
    directory_caller caller{query.failure_domain, query.region, {}};
    if (const publication_ptr& published = m_state.published()) {
        caller.home_routes = published->count_home_routes(query.host);
    }
    return choose_addresses(candidates, caller, max_addresses);
}

void gateway::serve_metrics(const std::shared_ptr<server_exchange>& request)
{
    const time_point now = boot_clock::now();
    m_metrics.set_gauge("configuration_age_s", to_seconds(m_state.age(now)));
    m_metrics.set_gauge("endpoints", static_cast<double>(m_pool.size()));
    m_metrics.set_gauge("live_hosts", static_cast<double>(m_fleet.members().live_count(now)));
    m_metrics.set_gauge("waiting_requests", static_cast<double>(m_waiting.size()));
    m_metrics.set_gauge("active_requests", static_cast<double>(m_callers.active()));
    m_metrics.set_gauge("connections_opened", static_cast<double>(m_client.connections_opened()));
    m_metrics.set_gauge("buffer_bytes", static_cast<double>(m_memory->used()));
    m_metrics.set_gauge("buffer_bytes_allowed", static_cast<double>(m_memory->capacity()));
    m_metrics.set_gauge("heartbeats_not_sent", static_cast<double>(m_gossip.send_failures()));
    m_metrics.set_gauge("log_lines_left_out", static_cast<double>(m_log.dropped_lines()));
    request->respond(200, plain_text(), m_metrics.to_text());
}

// membership

heartbeat gateway::own_state(time_point now)
{
    heartbeat state;
    state.is_ready = is_ready();
    state.is_leaving = m_is_stopping;
    if (const publication_ptr& published = m_state.published()) {
        state.has_configuration = true;
        state.configuration_version = published->version;
        state.configuration_age = m_state.age(now);
        for (const auto& [name, of] : published->services()) {
            state.services[name] = m_pool.free_capacity(of, now);
        }
    }
    state.endpoints = m_pool.own_loads();
    state.warm_endpoints = m_pool.own_warm_endpoints(now);
    state.cold_endpoints = m_pool.own_cold_endpoints(now);
    state.ended_endpoints = m_pool.own_ended_endpoints();
    state.used = m_usage.used();
    state.prompts = m_pool.take_sent_prefixes();
    state.crashes = m_quarantine.evidence(now);
    return state;
}

void gateway::send_heartbeats()
{
    const time_point now = boot_clock::now();
    for (const outgoing_heartbeat& sent : m_fleet.send(own_state(now), now)) {
        m_gossip.send(sent.ip, sent.datagram);
    }
    log_aggregators();
}

void gateway::update_quarantine(time_point now)
{
    for (const std::uint64_t part : m_quarantine.update(now)) {
        m_log.write(log_line{"prompt_part_quarantined"}.add("part", fmt::format("{:x}", part)));
    }
}

void gateway::log_aggregators()
{
    const std::vector<std::string>& aggregators = m_fleet.schedule().aggregators();
    if (aggregators == m_aggregators) {
        return;
    }
    m_aggregators = aggregators;
    log_line line{"aggregators"};
    for (const std::string& ip : aggregators) {
        line.add("peer", ip);
    }
    m_log.write(line);
}

void gateway::on_datagram(std::string_view datagram)
{
    const time_point now = boot_clock::now();
    const received_news news = m_fleet.on_datagram(datagram, now);
    if (!news.is_readable) {
        m_metrics.count("heartbeat_unreadable");
        return;
    }
    for (const usage_report& report : news.usage) {
        m_usage.on_report(report);
    }
    for (const sent_prefix& prefix : news.prompts) {
        m_pool.on_peer_prefix(prefix, now);
    }
    for (const std::uint32_t hash : news.warm_endpoints) {
        m_pool.on_peer_warm(hash);
    }
    for (const cold_report& report : news.cold_endpoints) {
        m_pool.on_peer_cold(report, now);
    }
    m_quarantine.on_evidence(news.crashes, now);
    if (!news.new_host.empty()) {
        m_log.write(log_line{"host_heard"}.add("peer", news.new_host).add("region", news.region));
    }
    for (const std::string& region : news.regions) {
        std::erase_if(m_context.forwarded_requests,
                      [&region](const auto& item) { return item.first.starts_with(region + '/'); });
    }
}

void gateway::update_members(time_point now)
{
    for (const std::string& host : m_fleet.expire(now)) {
        m_log.write(log_line{"host_silent"}
                        .add("peer", host)
                        .add_ms("after_ms", m_fleet.members().options().heartbeat_timeout));
    }
    m_cold_side.update(m_fleet.members(), m_settings.region, now);
    m_pool.set_peer_loads(m_fleet.peer_loads(now));
    for (const std::string& endpoint : m_pool.set_ended_endpoints(m_fleet.ended_endpoints(now))) {
        m_metrics.count("endpoint_ended_elsewhere");
        m_log.write(
            log_line{"endpoint_ended"}.add("endpoint", endpoint).add("evidence", "other_hosts"));
    }
    const member_table& members = m_fleet.members();
    m_usage.set_share(static_cast<double>(members.live_count(now)) /
                      static_cast<double>(members.known_count()));
}

double gateway::cold_rate_for(const std::string& endpoint, double rate) const
{
    const time_point now = boot_clock::now();
    const cold_ownership ownership =
        to_cold_ownership(m_fleet.members(), {m_settings.ip, m_settings.region, m_is_stopping},
                          m_cold_side, endpoint, now);
    return cold_allowance(ownership, now - m_started, rate);
}

// configuration

void gateway::on_published()
{
    const publication_ptr& published = m_state.published();
    if (published == nullptr) {
        return;
    }
    const auto to_usability = [this](const endpoint_entry& entry) {
        using usability = endpoint_pool::usability;
        if (m_settings.region_of(entry.failure_domain) != m_settings.region) {
            return usability::other_region;
        }
        return m_state.is_evacuated(entry.failure_domain) ? usability::evacuated
                                                          : usability::usable;
    };
    const auto find_service = [&published](const std::string& name) {
        return published->find_service(name);
    };
    m_pool.update(m_state.endpoints(), to_usability, find_service, boot_clock::now());
    m_context.capacities = to_capacities(m_state, m_settings);
    probe_reinstated_endpoints();
    const caller_limits& limits = published->limits;
    m_callers.set_limits({.message = {limits.max_header_bytes, limits.max_body_bytes},
                          .head_timeout = limits.header_timeout,
                          .idle_timeout = limits.idle_timeout});
    m_peers.set_limits({.message = to_forwarded_limits(limits)});
    place_waiting();
}

void gateway::probe_reinstated_endpoints()
{
    for (const endpoint_entry& entry : m_pool.take_reinstated()) {
        const service* of = m_state.published()->find_service(entry.service);
        if (is_prober_of(entry, of)) {
            probe_reinstated(entry, of->health_path);
        }
    }
}

/// Whether this host probes the endpoint of a service. Only one of its region does, the owner, since
/// a probe may count as a request to a cold endpoint.
bool gateway::is_prober_of(const endpoint_entry& entry, const service* of) const
{
    return of != nullptr && !of->health_path.empty() && cold_rate_for(entry.id, of->cold_rate) >= 1;
}

/// Asks endpoints whether they are cold while the published state, which tells it otherwise, is old.
void gateway::probe_assumed_warm_endpoints(time_point now)
{
    if (m_state.published() == nullptr || m_state.age(now) < max_told_age ||
        now - m_assumed_warm_probed_at < assumed_warm_probe_interval) {
        return;
    }
    m_assumed_warm_probed_at = now;
    for (const endpoint_entry& entry : m_pool.assumed_warm(now)) {
        const service* of = m_state.published()->find_service(entry.service);
        if (is_prober_of(entry, of)) {
            probe_assumed_warm(entry, of->health_path);
        }
    }
}

void gateway::probe_assumed_warm(const endpoint_entry& entry, const std::string& health_path)
{
    const endpoint_incarnation endpoint{entry.id, entry.started_ms};
    m_metrics.count("probe_with_old_state");
    m_prober.probe(
        entry, health_path,
        {.on_cold =
             [this, id = entry.id](duration remaining) {
                 if (m_pool.on_cold(id, remaining, boot_clock::now())) {
                     m_metrics.count("endpoint_found_cold");
                 }
             },
         .on_head = [this, endpoint](const message_head& head) { on_probe_head(endpoint, head); }});
}

void gateway::probe_reinstated(const endpoint_entry& entry, const std::string& health_path)
{
    const endpoint_incarnation endpoint{entry.id, entry.started_ms};
    m_prober.probe(
        entry, health_path,
        {.on_warm =
             [this, id = entry.id] {
                 m_pool.on_warm(id, boot_clock::now());
                 place_waiting();
             },
         .on_head = [this, endpoint](const message_head& head) { on_probe_head(endpoint, head); }});
}

/// Records what an endpoint says of itself in the head of its response to a probe.
void gateway::on_probe_head(const endpoint_incarnation& endpoint, const message_head& head)
{
    record_statement({m_parts.adapter, m_pool, m_log, m_metrics}, endpoint, head,
                     boot_clock::now());
}

// lifecycle

/// Runs the loop until it is stopped. An exception of one handler ends that handler only.
void gateway::run_loop()
{
    while (!m_loop.stopped()) {
        try {
            m_loop.run();
        }
        catch (const std::exception& failure) {
            m_metrics.count("handler_failed");
            m_log.write(log_line{"handler_failed"}.add("error", failure.what()));
        }
    }
}

void gateway::run_heartbeat()
{
    update_members(boot_clock::now());
    update_quarantine(boot_clock::now());
    probe_assumed_warm_endpoints(boot_clock::now());
    send_heartbeats();
    place_waiting();
    m_heartbeat_timer.expires_after(m_fleet.schedule().options().heartbeat_interval);
    m_heartbeat_timer.async_wait([this](const asio::error_code& failure) {
        if (!failure) {
            run_heartbeat();
        }
    });
}

void gateway::place_waiting()
{
    // a placement may end another request, which triggers a placement in turn
    if (std::exchange(m_is_placement_scheduled, true)) {
        return;
    }
    asio::post(m_loop, [this] {
        m_waiting.place();
        m_is_placement_scheduled = false;
        if (m_waiting.size() == 0) {
            return;
        }
        m_placement_timer.expires_after(placement_interval);
        m_placement_timer.async_wait([this](const asio::error_code& failure) {
            if (!failure) {
                place_waiting();
            }
        });
    });
}

void gateway::wait_for_signals()
{
    m_signals.async_wait([this](const asio::error_code& failure, int signal) {
        if (failure) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        }
        else if (!m_is_stopping) {
            begin_shutdown();
        }
        wait_for_signals();
    });
}

void gateway::log_replaced(const gateway_settings& settings)
{
    for (const std::string& fault : settings.replaced) {
        m_log.write(log_line{"setting_replaced_by_default"}.add("fault", fault));
    }
}

void gateway::reload()
{
    const auto loaded = m_parts.reload();
    if (const auto* failure = std::get_if<error>(&loaded)) {
        m_log.write(log_line{"reload_failed"}.add("error", failure->to_string()));
        return;
    }
    const auto& settings = std::get<gateway_settings>(loaded);
    log_replaced(settings);
    m_settings.seeds = settings.seeds;
    m_settings.drain = settings.drain;
    m_settings.stop_grace = settings.stop_grace;
    m_fleet.members().add_seeds(to_ips(settings.seeds));
    m_log.write(log_line{"reload"}.add("seeds", static_cast<std::int64_t>(settings.seeds.size())));
}

void gateway::begin_shutdown()
{
    m_is_stopping = true;
    m_shutdown_started = boot_clock::now();
    reload(); // the grace may have changed without a signal
    m_log.write(log_line{"stopping"}
                    .add("host", m_settings.host)
                    .add("open_requests", static_cast<std::int64_t>(m_callers.active()))
                    .add("connections", static_cast<std::int64_t>(m_callers.connections())));
    m_callers.announce_close();
    m_peers.announce_close();
    send_heartbeats();
    check_shutdown();
}

void gateway::stop_admission()
{
    m_context.takes_requests = false;
    m_callers.stop_listening();
    m_peers.stop_listening();
    m_log.write(log_line{"stopped_taking_requests"}.add(
        "open_requests", static_cast<std::int64_t>(m_callers.active())));
}

void gateway::check_shutdown()
{
    const bool is_idle = m_callers.is_idle() && m_peers.is_idle();
    const duration elapsed = boot_clock::now() - m_shutdown_started;
    const shutdown_phase phase = to_shutdown_phase(elapsed, m_settings.stop_grace, is_idle);
    if (phase != shutdown_phase::admitting && m_context.takes_requests) {
        stop_admission();
    }
    if (phase == shutdown_phase::over && (is_idle || m_has_ended_requests)) {
        m_loop.stop();
        return;
    }
    if (phase == shutdown_phase::ending || phase == shutdown_phase::over) {
        // also where this host stood still until the process should be over
        m_context.exchanges.for_each([](exchange& open) { open.end_for_shutdown(); });
        m_has_ended_requests = true;
    }
    m_stop_timer.expires_after(stop_check_interval);
    m_stop_timer.async_wait([this](const asio::error_code& failure) {
        if (!failure) {
            check_shutdown();
        }
    });
}

} // namespace hickorykeel::gateway
