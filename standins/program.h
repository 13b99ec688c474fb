#pragma once

#include <string> // string

namespace hickorykeel::standins {

/// An address to listen on, split.
struct listen_address {
    std::string ip;
    int port = 0; ///< 0: any free port
};

/// Splits "ip:port"; text without a port gets port 0. Thread safe.
[[nodiscard]] listen_address to_listen_address(const std::string& text);

/// Keeps SIGINT and SIGTERM from ending the process, so that `wait_for_stop` sees them.
/// Precondition: called before the first thread starts.
void block_stop_signals();

/// Prints `listening <ip:port>` on standard output and, where `port_file` isn't empty, writes the
/// port there in one step (a reader never sees half of it).
void announce(const std::string& ip, int port, const std::string& port_file);

/// Waits for SIGINT or SIGTERM. Precondition: `block_stop_signals` was called.
void wait_for_stop();

} // namespace hickorykeel::standins
