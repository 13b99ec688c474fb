#pragma once

#include "gateway/http/http_server.h"
#include "process/clock.h"
#include "standins/gateway/platform_world.h"

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <deque>   // deque
#include <memory>  // shared_ptr, unique_ptr
#include <string>  // string
#include <vector>  // vector

namespace hickorykeel::standins {

struct brittle_endpoint_options {
    std::size_t slots = 4;   ///< requests that run at a time
    std::size_t waiting = 8; ///< requests that wait for a slot
    duration work_time = std::chrono::milliseconds{60};
    duration down_time = std::chrono::seconds{2}; ///< from a fall to the next start
};

/// An endpoint of a plain service that runs a few requests at a time, lets a few wait and rejects the
/// others. While it says that it is brittle, it crashes once it has rejected more requests within a
/// second than it has named, and starts again as another incarnation.
///
/// Thread safety: none; it is used on the thread of the world's loop. The world must outlive it.
class brittle_endpoint {
public:
    /// Listens at `address` and lists the first incarnation. Aborts if the address is in use.
    brittle_endpoint(platform_world& world, std::string id, std::string service,
                     std::string failure_domain, std::string address,
                     const brittle_endpoint_options& options);

    brittle_endpoint(const brittle_endpoint&) = delete;
    brittle_endpoint& operator=(const brittle_endpoint&) = delete;
    brittle_endpoint(brittle_endpoint&&) = delete;
    brittle_endpoint& operator=(brittle_endpoint&&) = delete;
    ~brittle_endpoint();

    /// Names, in each response from now on, the rejections in a second that it survives.
    void become_brittle(std::size_t max_rejections);

    /// Sets how many requests wait for a slot. Those that wait already go on waiting.
    void set_waiting(std::size_t waiting) noexcept { m_options.waiting = waiting; }

    [[nodiscard]] bool is_brittle() const noexcept { return m_is_brittle; }

    /// Requests that ran to the end.
    [[nodiscard]] std::size_t served() const noexcept { return m_served; }

    /// Times of the rejections and of the falls, in order.
    [[nodiscard]] const std::vector<time_point>& rejections() const noexcept
    {
        return m_rejections;
    }
    [[nodiscard]] const std::vector<time_point>& falls() const noexcept { return m_falls; }

private:
    using request_ptr = std::shared_ptr<gateway::server_exchange>;

    void start();
    void fall();
    void serve(const request_ptr& request);
    void run(const request_ptr& request);
    void reject(const request_ptr& request);
    void on_run_end();
    [[nodiscard]] gateway::header_list headers(const request_ptr& request) const;
    void after(duration delay, void (brittle_endpoint::*action)());

    platform_world& m_world;
    std::string m_id;
    std::string m_service;
    std::string m_failure_domain;
    std::string m_address;
    brittle_endpoint_options m_options;
    std::int64_t m_started_ms = 1'700'000'000'000;
    bool m_is_brittle = false;
    std::size_t m_max_rejections = 0;
    std::size_t m_running = 0;
    std::size_t m_served = 0;
    std::deque<request_ptr> m_waiting;
    std::deque<request_ptr> m_in_work; ///< in the order of their ends
    std::vector<time_point> m_rejections;
    std::vector<time_point> m_falls;
    std::unique_ptr<gateway::http_server> m_server;          ///< null while it is down
    std::shared_ptr<bool> m_life = std::make_shared<bool>(); ///< of the incarnation, for timers
};

} // namespace hickorykeel::standins
