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
    time_point last_asked{};
    std::optional<time_point> unanswered_since; ///< first heartbeat after the last answer
    std::map<std::string, dispatch_load> loads; ///< by target
};

/// The dispatch processes of all listed hosts and what their heartbeats said.
///
/// Those of the own failure domain are all asked, at each call of `take_due`. Of each other failure
/// domain the two that are first in this host's own order are asked once a second, and further ones
/// in their place while they are silent or leave. Only those that answer are candidates.
///
/// Thread safety: all methods may be called from any thread.
class dispatch_directory {
public:
    /// A dispatch process that owes an answer for this long is taken for dead.
    static constexpr duration silence_limit = std::chrono::milliseconds{1500};

    /// Between two heartbeats to a process of another failure domain.
    static constexpr duration far_interval = std::chrono::seconds{1};

    /// Processes of each other failure domain that must answer.
    static constexpr std::size_t asked_elsewhere = 2;

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

    /// Addresses to send heartbeats to now. Call it each 200 ms or so. Linear in the listed hosts.
    [[nodiscard]] std::vector<std::string> take_due(time_point now);

    /// @}
    /// @name observers
    /// @{

    /// Live dispatch processes with a live endpoint of `target_name`, own host first, then the own
    /// failure domain, then the others. Linear in the number of listed hosts.
    [[nodiscard]] std::vector<dispatch_peer> candidates(const std::string& target_name,
                                                        time_point now) const;

    /// Whether the dispatch process at `address` is listed, was heard, and doesn't owe an answer for
    /// longer than the silence limit. One that is asked no more stays alive.
    [[nodiscard]] bool is_alive(const std::string& address, time_point now) const;

    /// Whether any dispatch process can take requests.
    [[nodiscard]] bool is_any_ready(time_point now) const;

    /// @}

private:
    [[nodiscard]] bool is_near(const dispatch_peer& peer) const;
    [[nodiscard]] bool may_take_requests(const dispatch_peer& peer, time_point now) const;
    void take_due_elsewhere(const std::vector<std::string>& ranked, time_point now,
                            std::vector<std::string>& due);

    const std::string m_own_host;
    const std::string m_own_failure_domain;
    const std::string m_own_address;
    mutable std::mutex m_mutex;
    std::map<std::string, dispatch_peer> m_peers; // by address
    std::map<std::string, std::vector<std::string>>
        m_elsewhere; // addresses by failure domain, in this host's own order
};

} // namespace hickorykeel
