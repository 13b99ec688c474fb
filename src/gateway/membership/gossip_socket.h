#pragma once

#include "process/clock.h"
#include "process/error.h"

#include <array>       // array
#include <cstddef>     // size_t
#include <cstdint>     // uint16_t, uint64_t
#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view

#include <asio/io_context.hpp> // io_context
#include <asio/ip/udp.hpp>     // udp

namespace hickorykeel::gateway {

/// UDP socket for the heartbeats between hosts. Lost datagrams are expected and not sent again.
///
/// Thread safety: none; all calls must come from the thread of the event loop.
class gossip_socket {
public:
    /// Receives a datagram and a time before its arrival; it may have waited since then.
    using handler = std::function<void(std::string_view datagram, time_point arrived_after)>;

    gossip_socket(asio::io_context& loop, handler on_datagram)
        : m_socket{loop}, m_on_datagram{std::move(on_datagram)}
    {
    }

    /// Binds the socket to the IPv4 address `ip` and `port`, and starts to receive.
    /// @return true, or an error of kind `address_unavailable`, after which it may be called again
    result<bool> open(const std::string& ip, std::uint16_t port);

    [[nodiscard]] bool is_open() const { return m_socket.is_open(); }

    /// Sends `datagram` to the host at `ip`, on the port given to `open()`. Failures are counted.
    void send(const std::string& ip, std::string_view datagram);

    /// Number of datagrams that could not be passed to the kernel. Losses on the network aren't
    /// counted.
    [[nodiscard]] std::uint64_t send_failures() const noexcept { return m_send_failures; }

private:
    static constexpr std::size_t max_datagram_bytes = 65'536;

    void receive();
    void on_received(std::size_t size);

    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_sender;
    handler m_on_datagram;
    std::array<char, max_datagram_bytes> m_buffer{};
    time_point m_empty_at{}; ///< the last time at which no datagram was waiting
    std::uint16_t m_port = 0;
    std::uint64_t m_send_failures = 0;
};

} // namespace hickorykeel::gateway
