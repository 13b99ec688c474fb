#include "gateway/serving/path_checker.h"

#include "gateway/http/tcp_channel.h"

#include <chrono>  // milliseconds
#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <memory>  // make_shared, weak_ptr
#include <string>  // string
#include <utility> // exchange

namespace hickorykeel::gateway {

namespace {

constexpr duration connect_timeout = std::chrono::milliseconds{300};
constexpr duration check_interval = connect_timeout;

/// Endpoints to which connections are opened at once: as many as have to fail.
constexpr std::size_t sample_count = path_monitor_options{}.lost_endpoints;

} // namespace

void path_checker::check(time_point now)
{
    update(now);
    if (now - m_checked_at < check_interval ||
        !m_dependencies.path.needs_check(m_dependencies.pool.own_active(), now)) {
        return;
    }
    m_checked_at = now;
    for (const endpoint_entry& entry :
         m_dependencies.pool.choose_path_samples(sample_count, m_dependencies.random)) {
        connect(entry);
    }
}

void path_checker::connect(const endpoint_entry& entry)
{
    const auto address = to_tcp_endpoint(entry.address);
    if (!address) {
        return;
    }
    m_dependencies.metrics.count("path_checked");
    const auto channel = std::make_shared<tcp_channel>(m_dependencies.loop);
    channel->set_handlers({.on_bytes = [](std::string_view) {},
                           .on_end =
                               [this, id = entry.id](channel_end) {
                                   const time_point now = boot_clock::now();
                                   m_dependencies.path.on_not_connected(
                                       id, m_dependencies.pool.listed(), now);
                                   update(now);
                               },
                           .on_connected =
                               [this, opened = std::weak_ptr{channel}] {
                                   m_dependencies.path.on_connected();
                                   update(boot_clock::now());
                                   if (const auto self = opened.lock()) {
                                       self->close();
                                   }
                               }});
    channel->connect(*address, connect_timeout);
}

void path_checker::update(time_point now)
{
    const bool is_lost = m_dependencies.path.is_lost(now);
    m_dependencies.pool.set_path_lost(m_dependencies.path.is_certainly_lost(now));
    if (is_lost == std::exchange(m_was_lost, is_lost)) {
        return;
    }
    const std::string event = is_lost ? "endpoint_path_lost" : "endpoint_path_found";
    m_dependencies.metrics.count(event);
    m_dependencies.log.write(
        log_line{event}.add("endpoints", static_cast<std::int64_t>(m_dependencies.pool.listed())));
}

} // namespace hickorykeel::gateway
