#pragma once

#include "process/clock.h"

#include <atomic> // atomic
#include <map>    // map
#include <string> // string

#include <httplib.h>

namespace hickorykeel::standins {

/// HTTP server whose handlers can see that their caller hung up, and can cut the connection.
///
/// Thread safety: handlers run side by side, one thread a connection.
class http_server : public httplib::Server {
public:
    http_server();

    /// Listens at `address` ("ip:port"), prints "listening <address>" and serves until SIGTERM or
    /// SIGINT. Call it once, from the main thread, before any other thread is started.
    /// @return exit code of the program
    int run(const std::string& address);

    /// @name the connection of a request
    /// @{

    /// Waits for `span`, or until the caller hangs up or the server stops.
    /// @return false where the caller is gone or the server stops
    [[nodiscard]] bool wait(const httplib::Request& request, duration span) const;

    /// Waits until the caller hangs up or the server stops.
    void wait_for_hang_up(const httplib::Request& request) const;

    /// Cuts the connection of `request` without an answer.
    static void cut(const httplib::Request& request);

    /// Headers that the caller sent, without those that the library adds.
    [[nodiscard]] static std::map<std::string, std::string>
    headers_of(const httplib::Request& request);

    /// @}

private:
    bool process_and_close_socket(socket_t socket) override;

    std::atomic<bool> m_is_stopping{false};
};

} // namespace hickorykeel::standins
