#pragma once

#include "standins/platform_store.h"

#include <memory> // unique_ptr
#include <string> // string
#include <thread> // thread

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace hickorykeel::standins {

/// Serves a `platform_store` over HTTP: the protocol that hickorykeel reads under `/v1/`, and
/// calls for tests under `/control/`, which count as no reads.
///
/// Thread safety: none, but for `store`, which any thread may use.
class platform_server {
public:
    /// @param read_rate calls a second that are answered; 0: all
    explicit platform_server(std::uint64_t read_rate = 0);
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;
    platform_server(platform_server&&) = delete;
    platform_server& operator=(platform_server&&) = delete;
    ~platform_server();

    /// Binds and serves on a thread of its own.
    /// @param port 0: any free port
    /// @return the bound port; 0 where the address can't be bound
    int start(const std::string& ip, int port);

    /// Ends every waiting call and stops. May be called twice.
    void stop();

    [[nodiscard]] platform_store& store() noexcept { return m_store; }

private:
    void add_reads();
    void add_controls();
    bool admit(httplib::Response& response);

    platform_store m_store;
    std::unique_ptr<httplib::Server> m_server;
    std::thread m_thread;
};

} // namespace hickorykeel::standins
