#pragma once

#include "connection/messenger.h"
#include "process/error.h"
#include "version/replica.h"

#include <atomic>   // atomic
#include <cstdint>  // uint64_t
#include <memory>   // unique_ptr
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <thread>   // thread
#include <vector>   // vector

namespace hickorykeel {

/// Process that reads what the platform publishes, checks it, and relays it to the processes of its
/// host and to its peers on other hosts.
///
/// Thread safety: all methods may be called from any thread.
class configd {
public:
    struct options {
        std::string host;
        std::string link_listen; ///< "ip:port" for other processes
        std::string platform_address;
        std::vector<std::string>
            seeds; ///< link addresses of peers, used until a host list is known
        link_keys keys;
    };

    /// Binds, and starts to ask peers and the platform.
    /// @return link_unreachable where the address cannot be bound
    static result<std::unique_ptr<configd>> open(const options& chosen);

    configd(const configd&) = delete;
    configd& operator=(const configd&) = delete;
    configd(configd&&) = delete;
    configd& operator=(configd&&) = delete;
    ~configd();

    /// Where other processes connect, "ip:port".
    [[nodiscard]] const std::string& link_address() const noexcept;

private:
    explicit configd(options chosen);

    std::optional<error> start();
    void on_message(received_message&& received);
    void ask_peers();
    void watch_entries();
    void watch_hosts();
    [[nodiscard]] std::vector<std::string> peers() const;

    const options m_options;
    mutable std::mutex m_mutex; // guards m_replica
    replica m_replica;
    std::unique_ptr<messenger> m_links;
    std::atomic<bool> m_is_open{false}; // all members are set
    std::atomic<bool> m_is_stopping{false};
    std::vector<std::thread> m_threads;
};

} // namespace hickorykeel
