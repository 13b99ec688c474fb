#pragma once

#include "process/clock.h"
#include "process/error.h"
#include "version/replica.h"

#include <atomic>             // atomic
#include <condition_variable> // condition_variable
#include <cstdint>            // uint64_t
#include <functional>         // function
#include <memory>             // unique_ptr
#include <mutex>              // mutex
#include <optional>           // optional
#include <random>             // mt19937_64
#include <string>             // string
#include <thread>             // thread

namespace httplib {
class Client;
} // namespace httplib

namespace hickorykeel {

/// Reads the platform by long polls, entries and hosts on a thread each, while `plan` says so.
/// Errors, answers that show an older state, and refusals (429 with Retry-After) are followed by
/// a wait with backoff and jitter.
///
/// Thread safety: every public method may be called from any thread. The handlers are called on
/// the threads of the watch and must not block.
class configuration_watch {
public:
    /// Longest wait of one read. Short, so that each read without news confirms what is held.
    static constexpr std::chrono::milliseconds read_wait{1'000};

    /// What to read now.
    struct plan {
        bool should_read = false;
        std::uint64_t entries_after = 0; ///< held revision of the entries
        std::uint64_t hosts_after = 0;   ///< held revision of the hosts
    };

    struct handlers {
        std::function<plan()> current_plan;
        std::function<void(entries_update&&)> on_entries; ///< without entries where nothing is new
        std::function<void(hosts_update&&)> on_hosts;     ///< also where nothing is new
        std::function<void(const error&)> on_error;       ///< first failure after a success
    };

    /// Starts both threads.
    /// @param address of the platform, "ip:port"
    configuration_watch(const std::string& address, handlers callbacks);
    configuration_watch(const configuration_watch&) = delete;
    configuration_watch& operator=(const configuration_watch&) = delete;
    configuration_watch(configuration_watch&&) = delete;
    configuration_watch& operator=(configuration_watch&&) = delete;

    /// Cuts reads under way and ends both threads.
    ~configuration_watch();

    /// Reads of the platform so far, for metrics.
    [[nodiscard]] std::uint64_t reads() const noexcept { return m_reads; }

private:
    struct reader;

    void run(reader& own);
    duration read_once(reader& own, const plan& planned);
    duration fail(reader& own, const error& why, duration retry_after);
    bool is_stopping();
    void pause(duration wait);

    std::string m_address;
    handlers m_handlers;
    std::atomic<std::uint64_t> m_reads{0};
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_is_stopping = false; // guarded by m_mutex
    std::unique_ptr<reader> m_entries;
    std::unique_ptr<reader> m_hosts;
};

} // namespace hickorykeel
