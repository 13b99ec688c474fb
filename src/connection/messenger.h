#pragma once

#include "generated/link.pb.h"
#include "process/clock.h"
#include "process/error.h"

#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // unique_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

namespace hickorykeel {

/// CURVE keys of the links between processes, in Z85. If both are empty, links are not encrypted.
struct link_keys {
    std::string public_key;
    std::string secret_key;
    std::vector<std::string>
        accepted_keys; ///< public keys of peers; the own key is always accepted
};

/// A received message with its origin.
struct received_message {
    link::envelope message;
    std::string route; ///< of a request: where `messenger::send_reply` sends the reply
    std::string peer;  ///< of a reply: the address that the request was sent to
    /// Upper bound of the message's age, from the newest own timestamp that its sender echoes;
    /// nothing if the sender had received none of this incarnation. Needs no synchronised clocks.
    std::optional<duration> maximum_age;
};

/// Sends and receives envelopes; fills in sender, incarnation, timestamps and echoed timestamps.
/// The calling thread passes a message to its socket; a thread of the messenger receives.
///
/// Thread safety: every public method may be called from any thread.
class messenger {
public:
    struct options {
        std::string name;   ///< "<host>/<program>"
        std::string listen; ///< "ip:port"; empty: no peer can connect, only replies are received
        link_keys keys;
        std::uint64_t incarnation = 0; ///< 0: chosen at random
    };

    /// Called on the receiving thread; must not block.
    using handler = std::function<void(received_message&&)>;

    /// Binds the address and starts the receiving thread.
    /// @return link_unreachable if the address cannot be bound
    static result<std::unique_ptr<messenger>> open(const options& settings, handler on_message);

    messenger(const messenger&) = delete;
    messenger& operator=(const messenger&) = delete;
    messenger(messenger&&) = delete;
    messenger& operator=(messenger&&) = delete;

    /// Stops the receiving thread; messages that are still queued are dropped.
    ~messenger();

    /// @name sending
    /// @{

    /// Sends a request to the ROUTER socket at `address` ("ip:port"); connects on first use.
    /// Never blocks: once the queue of an unreachable peer is full, messages to it are dropped.
    void send_request(const std::string& address, link::envelope message);

    /// Sends a reply along the route of a request.
    void send_reply(const std::string& route, link::envelope message);

    /// Closes the connection to `address` and drops the messages queued for it.
    void disconnect(const std::string& address);

    /// @}
    /// @name observers
    /// @{

    /// Random number, different for each start of a process.
    [[nodiscard]] std::uint64_t incarnation() const noexcept;

    /// The bound address, "ip:port", with the actual port if port 0 was requested.
    [[nodiscard]] const std::string& listen_address() const noexcept;

    /// Bytes sent and received so far, for metrics.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept;
    [[nodiscard]] std::uint64_t bytes_received() const noexcept;

    /// @}

private:
    struct state;
    explicit messenger(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

} // namespace hickorykeel
