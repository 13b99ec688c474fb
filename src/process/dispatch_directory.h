#pragma once

#include "generated/link.pb.h"
#include "process/clock.h"
#include "version/configuration.h"

#include <cstdint>  // uint64_t
#include <map>      // map
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace hickorykeel {

/// Load of one target at one dispatch process, as it said last.
struct dispatch_load {
    std::uint32_t live_endpoints = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    double wait_seconds = 0;
};

/// One dispatch process that an entry process may hand requests to.
struct dispatch_peer {
    std::string host;
    std::string failure_domain;
    std::string address;
    std::uint64_t incarnation = 0; ///< 0: never heard
    bool is_leaving = false;
    time_point last_heard{};
    std::map<std::string, dispatch_load> loads; ///< by target
};

/// The dispatch processes of all listed hosts and what their heartbeats said.
///
/// Thread safety: all methods may be called from any thread.
class dispatch_directory {
public:
    /// A dispatch process that said nothing for this long is taken for dead.
    static constexpr duration silence_limit = std::chrono::milliseconds{1500};

    /// @param own_address  link address of this host's own dispatch process; known without a list
    dispatch_directory(std::string own_host, std::string own_failure_domain,
                       std::string own_address);

    /// @name modifiers
    /// @{

    /// Takes over a new host list. Linear in its size.
    void apply(const host_list& listed);

    /// Notes a heartbeat.
    void on_pong(const std::string& address, std::uint64_t incarnation, const link::pong& pong,
                 time_point now);

    /// @}
    /// @name observers
    /// @{

    /// Addresses to send heartbeats to.
    [[nodiscard]] std::vector<std::string> addresses() const;

    /// Live dispatch processes with a live endpoint of `target_name`, own host first, then the own
    /// failure domain, then the others. Linear in the number of listed hosts.
    [[nodiscard]] std::vector<dispatch_peer> candidates(const std::string& target_name,
                                                        time_point now) const;

    /// Whether the dispatch process at `address` was heard within the silence limit.
    [[nodiscard]] bool is_alive(const std::string& address, time_point now) const;

    /// When the dispatch process at `address` was last heard; nothing: never.
    [[nodiscard]] std::optional<time_point> last_heard(const std::string& address) const;

    /// Whether any dispatch process can take requests.
    [[nodiscard]] bool is_any_ready(time_point now) const;

    /// @}

private:
    const std::string m_own_host;
    const std::string m_own_failure_domain;
    const std::string m_own_address;
    mutable std::mutex m_mutex;
    std::map<std::string, dispatch_peer> m_peers; // by address
};

} // namespace hickorykeel
