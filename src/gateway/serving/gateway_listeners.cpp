#include "gateway/membership/directory_choice.h"
#include "gateway/serving/exchange.h"
#include "gateway/serving/gateway.h"

#include <algorithm> // any_of, max, min
#include <chrono>    // seconds
#include <cstddef>   // size_t
#include <memory>    // make_shared, shared_ptr
#include <string>    // string
#include <utility>   // exchange, move
#include <vector>    // vector

#include <malloc.h>       // malloc_trim
#include <sys/resource.h> // getrlimit, rlimit

// What a gateway answers at each of its listeners.

namespace hickorykeel::gateway {

namespace {

/// Time for which callers may cache a response of the directory.
constexpr auto directory_ttl = std::chrono::seconds{1};

/// Maximum time from a host's last heartbeat until other hosts hear its next process.
constexpr duration restart_time = std::chrono::seconds{4};

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

/// Descriptors reserved for files.
constexpr std::size_t file_descriptors = 200;

/// If the process may open few descriptors, one in this many is reserved for files.
constexpr std::size_t min_file_divisor = 4;

/// @name fractions of the other descriptors
/// Each request of a caller or of another host that isn't waiting may need a connection to an endpoint,
/// so the parts of these two listeners count twice; with the other listeners they make 1.01. Callers
/// get more than that would allow at 0.25 and 0.15: requests that wait for an endpoint keep connections
/// in use and need none, and a few hundred of them shut out all other callers. Other hosts get enough
/// for the idle connections of 88 hosts on the smallest machine.
/// @{
constexpr double caller_part = 0.35;
constexpr double peer_part = 0.125;
constexpr double directory_part = 0.03125;
constexpr double readiness_part = 0.015625;
constexpr double metrics_part = 0.015625;
constexpr double idle_call_part = 0.125; ///< idle connections to endpoints and other hosts
/// @}

constexpr std::size_t min_connections = 4; ///< of each listener

/// One in this many connections of other hosts is reserved for refusing further ones. Otherwise the
/// kernel would take their requests, which then count as possibly executed.
constexpr std::size_t refusal_divisor = 8;

/// Minimum time between two releases of unused heap memory to the system. One takes some
/// milliseconds.
constexpr duration trim_interval = std::chrono::seconds{1};

/// Returns how many descriptors the process may open.
/// @param max_descriptors the setting of that name; 0: not limited by it
std::size_t descriptor_limit(double max_descriptors)
{
    rlimit allowed{};
    constexpr rlim_t unlimited_descriptors = 1'000'000;
    const bool is_known = ::getrlimit(RLIMIT_NOFILE, &allowed) == 0;
    const rlim_t system_limit =
        is_known ? std::min(allowed.rlim_cur, unlimited_descriptors) : unlimited_descriptors;
    return max_descriptors >= 1
               ? std::min(static_cast<std::size_t>(max_descriptors), std::size_t{system_limit})
               : std::size_t{system_limit};
}

} // namespace

bool gateway::is_ready() const
{
    const publication_ptr& published = m_state.published();
    if (m_is_stopping || published == nullptr || !m_callers.is_listening()) {
        return false;
    }
    // until then, a host that has started refuses each request with a key
    return m_state.has_been_trusted() || !published->needs_keys();
}

/// Bounds the memory and the descriptors that clients of the listeners use.
void gateway::set_client_limits()
{
    const std::size_t descriptors = descriptor_limit(m_settings.max_descriptors);
    const auto available = static_cast<double>(
        descriptors - std::min(file_descriptors, descriptors / min_file_divisor));
    const auto part = [available](double fraction) {
        return std::max(min_connections, static_cast<std::size_t>(fraction * available));
    };
    m_callers.set_max_connections(part(caller_part));
    m_peers.set_max_connections(part(peer_part));
    m_peers.set_refusal_connections(std::max<std::size_t>(1, part(peer_part) / refusal_divisor));
    m_peers.set_rejection_fields([this](const message_head& received, std::string_view reason) {
        // the method is known once the head has been received completely
        return rejection_fields(received.method.empty()
                                    ? std::string{}
                                    : m_parts.adapter.read_caller_fields(received).id,
                                reason);
    });
    m_directory.set_max_connections(part(directory_part));
    m_readiness.set_max_connections(part(readiness_part));
    m_metrics_server.set_max_connections(part(metrics_part));
    m_client.set_max_idle(part(idle_call_part));
    for (http_server* server : {&m_readiness, &m_directory, &m_metrics_server}) {
        server->set_limits({.message = {.drops_body = true}});
    }
    for (http_server* server : m_servers) {
        server->set_memory(m_memory);
        server->set_on_shortage([this](scarce_resource resource) {
            m_metrics.count(resource == scarce_resource::memory
                                ? "connection_closed_for_memory"
                                : "connection_closed_for_descriptors");
        });
    }
    m_memory->set_reclaimer([this] { return free_memory(); });
}

/// Closes the connection of any listener with the highest eviction score for memory. Returns
/// whether there was one.
bool gateway::free_memory()
{
    const time_point now = boot_clock::now();
    std::shared_ptr<server_connection> found;
    duration highest = duration::min();
    for (const http_server* server : m_servers) {
        auto candidate = server->eviction_candidate(scarce_resource::memory, now);
        if (candidate == nullptr) {
            continue;
        }
        const duration score = *candidate->eviction_score(scarce_resource::memory, now);
        if (score > highest) {
            highest = score;
            found = std::move(candidate);
        }
    }
    if (found != nullptr) {
        found->evict(scarce_resource::memory);
    }
    return found != nullptr;
}

/// Releases unused heap memory to the system after a time in which memory was scarce. Freed buffers
/// leave gaps in the heap that the allocator keeps otherwise.
void gateway::trim_heap(time_point now)
{
    const bool was_scarce = std::exchange(m_was_memory_scarce, m_memory->is_scarce());
    if (was_scarce && now >= m_next_trim) {
        ::malloc_trim(0);
        m_next_trim = now + trim_interval;
    }
}

/// Closes connections whose clients don't read their responses.
void gateway::close_unread(time_point now)
{
    for (http_server* server : m_servers) {
        server->record_progress(now);
        server->close_unread(now);
    }
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
    const directory_query query = m_parts.adapter.read_directory_query(head.target);
    const directory_choice choice = hosts_for(query);
    record_directory_choice(query, choice.scope);
    if (choice.addresses.empty()) {
        request->respond(503, plain_text(), "no host is ready\n");
        return;
    }
    request->respond(200, json_text(),
                     m_parts.adapter.format_directory_response(choice.addresses, directory_ttl));
}

/// Returns the hosts to name in answer to `query`.
directory_choice gateway::hosts_for(const directory_query& query) const
{
    const time_point now = boot_clock::now();
    const directory_host own{m_settings.callers_address, m_settings.failure_domain,
                             m_settings.region, is_ready(), now - m_started};
    directory_caller caller{query.failure_domain, query.region};
    if (const publication_ptr& published = m_state.published()) {
        caller.homes = published->find_homes(query.host);
    }
    return choose_hosts(m_fleet.members(), own, caller, restart_time, now);
}

/// Counts an answer to `query`, and logs it if the hosts named to its region were of another scope
/// before. Callers may name any region and host, so only known ones are logged.
void gateway::record_directory_choice(const directory_query& query, directory_scope scope)
{
    m_metrics.count("directory_named_" + std::string{to_name(scope)});
    const std::string& region = query.region;
    const publication_ptr& published = m_state.published();
    const bool is_known_host = published == nullptr || published->find_homes(query.host).routes > 0;
    const bool is_known_region =
        std::any_of(m_settings.regions.begin(), m_settings.regions.end(),
                    [&region](const auto& item) { return item.second == region; });
    if (!is_known_host || !is_known_region ||
        std::exchange(m_named_scopes[region], scope) == scope) {
        return;
    }
    m_log.write_request(
        log_line{"directory_scope"}.add("region", region).add("scope", to_name(scope)));
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
    m_metrics.set_gauge("unexpected_responses",
                        static_cast<double>(m_client.unexpected_responses()));
    for (const auto& [organisation, units] : m_usage.used()) {
        m_metrics.set_gauge("units_admitted", organisation, units);
    }
    for (const auto& [organisation, units] : m_usage.refused()) {
        m_metrics.set_gauge("units_refused", organisation, units);
    }
    m_metrics.set_gauge("buffer_bytes", static_cast<double>(m_memory->used()));
    m_metrics.set_gauge("buffer_bytes_allowed", static_cast<double>(m_memory->capacity()));
    m_metrics.set_gauge("heartbeats_not_sent", static_cast<double>(m_gossip.send_failures()));
    m_metrics.set_gauge("log_lines_left_out", static_cast<double>(m_log.dropped_lines()));
    request->respond(200, plain_text(), m_metrics.to_text());
}

} // namespace hickorykeel::gateway
