#include "gateway/serving/gateway.h"

#include "gateway/serving/shutdown_schedule.h"
#include "process/build_info.h"

#include <algorithm> // max, min
#include <chrono>    // milliseconds, seconds
#include <exception> // exception
#include <random>    // random_device
#include <utility>   // exchange, move

namespace hickorykeel::gateway {

namespace {

constexpr duration placement_interval = std::chrono::milliseconds{20};
constexpr duration open_retry_interval = std::chrono::milliseconds{200};
constexpr duration stop_check_interval = std::chrono::milliseconds{100};

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

/// Fraction of the process's memory that is left to buffers of requests. The rest is for the
/// published state, the tables of hosts and endpoints, and what the allocator can't give back.
constexpr double buffer_memory_fraction = 0.5;

/// Time after a contact with an endpoint for which its end is seen: shorter than hosts keep idle
/// connections to endpoints that don't state a shorter time.
constexpr duration contact_retention = std::chrono::seconds{3};

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

fleet_membership_options to_membership_options(const gateway_settings& settings)
{
    fleet_membership_options options;
    options.assumed_hosts = static_cast<std::size_t>(settings.start_assumed_hosts);
    for (const auto& [failure_domain, region] : settings.regions) {
        options.regions.insert(region);
    }
    return options;
}

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device() | 1U;
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
              to_membership_options(m_settings)},
      m_usage{boot_clock::now(), random_seed()},
      m_pool{{.contact_retention = contact_retention},
             [this](const std::string& endpoint, double rate) {
                 return cold_rate_for(endpoint, rate);
             },
             [this](const std::string& endpoint, double rate) {
                 return rate_share_of(endpoint, rate);
             },
             [this](const std::string& endpoint, std::uint32_t places) {
                 return room_share_of(endpoint, places);
             }},
      m_quarantine{{.salt = random_seed()}}, m_client{m_loop}, m_source{m_parts.make_source(
                                                                   m_loop, m_client, m_settings)},
      m_follower{{m_loop, *m_source, m_state, m_fleet.members(), m_client, m_log, m_metrics},
                 {.relay_port = m_settings.peers_port(),
                  .choice = {.ip = m_settings.ip,
                             .failure_domain = m_settings.failure_domain,
                             .region = m_settings.region}},
                 [this] { on_published(); }},
      m_context{
          .loop = m_loop,
          .settings = m_settings,
          .adapter = m_parts.adapter,
          .state = m_state,
          .members = m_fleet.members(),
          .usage = m_usage,
          .pool = m_pool,
          .quarantine = m_quarantine,
          .origins = m_origins,
          .versions = m_version_history,
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
          .memory = m_memory,
          .capacities = {},
          .forwarded_requests = {},
          .exchanges = {},
          .started = boot_clock::now(),
          .takes_requests = true,
          .enqueue = [this](const auto& waiting) { m_waiting.add(waiting); },
          .waiting_count = [this](const std::string& service) { return m_waiting.count(service); },
          .waiting_ahead =
              [this](const exchange& candidate) { return m_waiting.count_ahead(candidate); },
          .retry_waiting =
              [this] {
                  if (m_waiting.size() > 0) {
                      place_waiting();
                  }
              }},
      m_prober{{m_loop, m_client, m_parts.adapter, m_log}},
      m_checker{{.loop = m_loop,
                 .pool = m_pool,
                 .prober = m_prober,
                 .state = m_state,
                 .adapter = m_parts.adapter,
                 .log = m_log,
                 .metrics = m_metrics,
                 .is_owner =
                     [this](const endpoint_entry& entry, const service& of) {
                         return cold_rate_for(entry.id, of.cold_rate) >= 1;
                     },
                 .is_first_candidate =
                     [this](const endpoint_entry& entry) {
                         return is_cold_owner(m_fleet.members(),
                                              {m_settings.ip, m_settings.region, m_is_stopping},
                                              entry.id, boot_clock::now());
                     },
                 .sees_end =
                     [this](const endpoint_entry& entry, time_point since) {
                         return m_client.would_see_end(entry.address, since + contact_retention);
                     },
                 .on_warm = [this] { place_waiting(); },
                 .on_urgent_news = [this] { tell_urgent_news(); }}},
      m_path_checker{{m_loop, m_pool, m_context.path, m_log, m_metrics, m_random}},
      m_callers{m_loop, [this](const auto& request) { serve_caller(request); }},
      m_peers{m_loop, [this](const auto& request) { serve_peer(request); }},
      m_readiness{m_loop, [this](const auto& request) { serve_readiness(request); }},
      m_directory{m_loop, [this](const auto& request) { serve_directory(request); }},
      m_metrics_server{m_loop, [this](const auto& request) { serve_metrics(request); }},
      m_gossip{m_loop, [this](std::string_view datagram,
                              time_point arrived_after) { on_datagram(datagram, arrived_after); }},
      m_signals{m_loop}, m_open_timer{m_loop}, m_heartbeat_timer{m_loop}, m_placement_timer{m_loop},
      m_news_timer{m_loop}, m_stop_timer{m_loop}, m_settings_timer{m_loop},
      m_settings_watch{m_parts.loaded_settings_file}, m_started{boot_clock::now()}
{
    for (const int signal : handled_signals) {
        m_signals.add(signal);
    }
    m_context.check_endpoints = [this] {
        m_checker.check_disconnected();
        m_checker.check_wanted();
        tell_urgent_news();
    };
    m_context.check_path = [this] { m_path_checker.check(boot_clock::now()); };
    m_client.set_on_idle_end([this](const std::string& address) {
        m_pool.on_idle_connection_ended(address, boot_clock::now());
        m_context.path.on_disconnected(boot_clock::now());
        m_path_checker.check(boot_clock::now());
        m_checker.check_disconnected();
    });
    m_client.set_memory(m_memory);
    set_client_limits();
}

gateway::~gateway()
{
    // the reclaimer must not use servers that are destroyed already
    m_memory->set_reclaimer(nullptr);
}

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
    m_peers.set_on_reject([this](int, std::string_view reason) {
        m_metrics.count("forward_rejected_" + std::string{reason});
    });
    wait_for_signals();
    if (m_parts.read_settings_file) {
        watch_settings(settings_check_interval);
    }
    m_follower.start();
    run_heartbeat();
    run_loop();
    m_log.write(log_line{"stop"}
                    .add("host", m_settings.host)
                    .add("open_requests", static_cast<std::int64_t>(m_callers.active()))
                    .add("log_lines_left_out", static_cast<std::int64_t>(m_log.dropped_lines())));
    m_log.flush();
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
    m_heard_since = std::exchange(m_heartbeat_at, boot_clock::now());
    update_members(boot_clock::now());
    update_quarantine(boot_clock::now());
    m_checker.check_periodically(boot_clock::now());
    m_path_checker.check(boot_clock::now());
    trim_heap(boot_clock::now());
    close_unread(boot_clock::now());
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
            reload("signal");
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

/// Looks at the settings file after `delay`, and at intervals from then on.
void gateway::watch_settings(duration delay)
{
    m_settings_timer.expires_after(delay);
    m_settings_timer.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) {
            check_settings();
        }
    });
}

void gateway::check_settings()
{
    const settings_change change = m_settings_watch.look(m_parts.read_settings_file());
    if (change == settings_change::complete) {
        reload("file_changed");
    }
    if (change == settings_change::unreadable) {
        m_log.write(log_line{"settings_unreadable"});
    }
    watch_settings(change == settings_change::unsettled ? settings_recheck_interval
                                                        : settings_check_interval);
}

/// Applies the settings file, or leaves the running settings in force if it has faults.
/// @param cause for the log
void gateway::reload(std::string_view cause)
{
    const auto loaded = m_parts.reload();
    if (const auto* failure = std::get_if<error>(&loaded)) {
        m_log.write(
            log_line{"reload_failed"}.add("cause", cause).add("error", failure->to_string()));
        return;
    }
    const auto& settings = std::get<gateway_settings>(loaded);
    log_replaced(settings);
    m_settings.seeds = settings.seeds;
    m_settings.drain = settings.drain;
    m_settings.stop_grace = settings.stop_grace;
    m_fleet.members().set_seeds(to_ips(settings.seeds));
    m_log.write(log_line{"reload"}
                    .add("cause", cause)
                    .add("seeds", static_cast<std::int64_t>(settings.seeds.size())));
}

void gateway::begin_shutdown()
{
    m_is_stopping = true;
    m_shutdown_started = boot_clock::now();
    reload("stop"); // the grace may have changed since the last look
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
