#pragma once

#include <chrono>     // milliseconds
#include <functional> // function
#include <memory>     // unique_ptr
#include <optional>   // optional
#include <string>     // string

namespace hickorykeel::tests {

/// What a relay does with the connections of one source.
enum class link_mode {
    open, ///< forwards
    held, ///< forwards nothing and keeps what arrives, as a network that drops packets
    cut,  ///< closes connections, and new ones as soon as they are made
    kept, ///< forwards on open connections, and resets new ones
};

struct link_state {
    link_mode mode = link_mode::open;
    std::chrono::milliseconds delay{0}; ///< one way
};

/// TCP relay on loopback that can cut, hold and delay what passes.
///
/// Thread safety: every public method may be called from any thread.
class relay {
public:
    /// Names the source of a connection by its address "ip:port"; a connection without a name is
    /// closed, so that none escapes a later `set`. Called on the relay's thread.
    using identify_source = std::function<std::optional<std::string>(const std::string& address)>;

    /// Listens at `listen` and forwards to `target`, both "ip:port".
    /// @param identify names sources for `set`; none: every source is ""
    relay(const std::string& listen, const std::string& target, identify_source identify = {});

    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    relay(relay&&) = delete;
    relay& operator=(relay&&) = delete;

    /// Closes every connection.
    ~relay();

    /// Sets the state of all present and later connections of `source`.
    void set(const link_state& state, const std::string& source = {});

    /// Whether it listens.
    [[nodiscard]] bool is_listening() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace hickorykeel::tests
