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

/// CURVE keys of the links between processes, in Z85. Both empty: links are not encrypted.
struct link_keys {
    std::string public_key;
    std::string secret_key;
    std::vector<std::string> accepted_keys; ///< public keys of peers; one's own always counts
};

/// A message as it arrived.
struct received_message {
    link::envelope message;
    std::string route; ///< a question: where `messenger::answer` sends the answer
    std::string peer;  ///< an answer: the address that was asked
    /// Upper bound of the message's age, from the newest own stamp its sender had seen; nothing
    /// where the sender had seen none of this incarnation. Needs no agreement between clocks.
    std::optional<duration> maximum_age;
};

/// Sends and receives envelopes; fills in sender, incarnation, stamps and echo stamps. A message is
/// given to its socket by the thread that sends it; a thread of the messenger's own receives.
///
/// Thread safety: every public method may be called from any thread.
class messenger {
public:
    struct options {
        std::string name;   ///< "<host>/<program>"
        std::string listen; ///< "ip:port"; empty: answers only, nobody can connect
        link_keys keys;
        std::uint64_t incarnation = 0; ///< 0: chosen at random
    };

    /// Called on the messenger's own thread; must not block.
    using handler = std::function<void(received_message&&)>;

    /// Binds and starts the thread.
    /// @return link_unreachable where the address cannot be bound
    static result<std::unique_ptr<messenger>> open(const options& settings, handler on_message);

    messenger(const messenger&) = delete;
    messenger& operator=(const messenger&) = delete;
    messenger(messenger&&) = delete;
    messenger& operator=(messenger&&) = delete;

    /// Stops the thread; messages not yet sent are dropped.
    ~messenger();

    /// @name sending
    /// @{

    /// Sends a question to the ROUTER socket at `address` ("ip:port"); connects on first use.
    /// Never blocks; a message to a peer that cannot be reached is dropped after its queue fills.
    void ask(const std::string& address, link::envelope message);

    /// Sends an answer back along the route of a question.
    void answer(const std::string& route, link::envelope message);

    /// Closes the connection to `address` and drops what waits for it.
    void forget(const std::string& address);

    /// @}
    /// @name observers
    /// @{

    /// Random number that differs for each start of a process.
    [[nodiscard]] std::uint64_t incarnation() const noexcept;

    /// Address that is bound, "ip:port", with the port that the system chose for port 0.
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
