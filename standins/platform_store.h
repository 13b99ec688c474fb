#pragma once

#include <chrono>             // milliseconds, steady_clock
#include <condition_variable> // condition_variable
#include <cstdint>            // uint64_t
#include <deque>              // deque
#include <map>                // map
#include <mutex>              // mutex
#include <optional>           // optional
#include <string>             // string
#include <variant>            // variant
#include <vector>             // vector

#include <nlohmann/json.hpp>

namespace hickorykeel::standins {

/// What readers of the platform meet.
enum class platform_mode {
    live,
    stale, ///< answers go on showing the state of the moment when the mode was set
    down   ///< every read is answered with 503
};

/// Calls of the platform protocol.
struct platform_counts {
    std::uint64_t total = 0;
    std::uint64_t refused = 0;     ///< over the read rate
    std::uint64_t last_second = 0; ///< calls of the last whole second
    std::uint64_t peak_second = 0; ///< most calls of one second
    double per_second = 0;         ///< average since the first call
};

/// What the platform holds: entries with their revisions and recent changes, and the hosts.
///
/// Thread safety: every public method may be called from any thread.
class platform_store {
public:
    using clock = std::chrono::steady_clock;

    /// Largest value of an entry, bytes of JSON.
    static constexpr std::size_t maximum_value = 1'000'000;
    /// Changes kept for readers with an older revision.
    static constexpr std::size_t maximum_log = 1'000;
    /// Longest wait of a watch.
    static constexpr std::chrono::milliseconds maximum_wait{30'000};

    /// @param read_rate calls a second that are answered; 0: all
    explicit platform_store(std::uint64_t read_rate = 0) : m_read_rate{read_rate} {}

    /// @name control
    /// @{

    /// Sets each key of the object `changes` to its value, or deletes it where that is null, all
    /// in one revision.
    /// @return the new revision, or why nothing was changed
    std::variant<std::uint64_t, std::string> put_entries(const nlohmann::json& changes);

    /// Replaces the list of hosts.
    /// @return the new revision, or why nothing was changed
    std::variant<std::uint64_t, std::string> put_hosts(const nlohmann::json& hosts);

    /// @param hosts_lag how much later readers see a new list of hosts
    void set_mode(platform_mode mode, std::chrono::milliseconds hosts_lag);

    [[nodiscard]] platform_counts counts() const;

    /// Ends every wait and all later ones at once.
    void stop();

    /// @}
    /// @name reading
    /// @{

    [[nodiscard]] platform_mode mode() const;

    /// Counts a call. @return whether the read rate allows it
    bool take_call();

    /// Answer of `GET /v1/entries`; waits up to `wait` while there is nothing after `after`.
    [[nodiscard]] nlohmann::json read_entries(std::uint64_t after, std::chrono::milliseconds wait);

    /// Answer of `GET /v1/hosts`; waits up to `wait` while the list isn't newer than `after`.
    [[nodiscard]] nlohmann::json read_hosts(std::uint64_t after, std::chrono::milliseconds wait);

    /// @}

private:
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        nlohmann::json value; ///< null: deleted
    };
    struct entry_state {
        std::uint64_t revision = 0;
        std::map<std::string, change> by_key;
        std::deque<change> log;
        std::uint64_t log_base = 0; ///< every change after it is in the log
    };
    struct hosts_state {
        std::uint64_t revision = 0;
        nlohmann::json hosts = nlohmann::json::array();
        clock::time_point since;
    };

    void take_change(const change& taken);
    [[nodiscard]] const entry_state& seen_entries() const;
    [[nodiscard]] const hosts_state& seen_hosts() const;
    [[nodiscard]] clock::time_point next_change(clock::time_point limit) const;
    [[nodiscard]] bool must_end_wait() const;
    static nlohmann::json to_answer(const entry_state& state, std::uint64_t after);
    void count_second(clock::time_point now);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_stopped = false;

    std::uint64_t m_revision = 0; ///< of all changes
    entry_state m_entries;
    std::vector<hosts_state> m_hosts{hosts_state{}}; ///< oldest first

    platform_mode m_mode = platform_mode::live;
    std::chrono::milliseconds m_hosts_lag{0};
    std::optional<entry_state> m_frozen_entries;
    std::optional<hosts_state> m_frozen_hosts;

    std::uint64_t m_read_rate;
    platform_counts m_counts;
    std::uint64_t m_this_second = 0;
    clock::time_point m_second_start;
    clock::time_point m_first_call;
};

} // namespace hickorykeel::standins
