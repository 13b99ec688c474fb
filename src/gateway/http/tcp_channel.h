#pragma once

#include "process/clock.h"

#include <cstddef>     // size_t
#include <functional>  // function
#include <memory>      // enable_shared_from_this, shared_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include <asio/io_context.hpp>   // io_context
#include <asio/ip/tcp.hpp>       // tcp
#include <asio/steady_timer.hpp> // steady_timer

namespace hickorykeel::gateway {

/// How a connection ended.
enum class channel_end {
    finished, ///< the peer closed its side in order
    reset,    ///< the connection broke
    refused,  ///< it was never established
};

/// One TCP connection on the event loop: bytes in, bytes out, and its end.
///
/// Handlers run on the loop's thread and never after `close()`.
/// Thread safety: none; all calls come from the loop's thread.
class tcp_channel : public std::enable_shared_from_this<tcp_channel> {
public:
    struct handlers {
        std::function<void(std::string_view)> on_bytes;
        std::function<void(channel_end)> on_end;
        std::function<void()> on_connected = {}; ///< of an outgoing connection
        std::function<void()> on_drained = {};   ///< all that was sent has gone to the kernel
    };

    /// @name construction
    /// @{
    explicit tcp_channel(asio::io_context& loop) : m_socket{loop}, m_timer{loop} {}

    /// Takes an accepted socket.
    explicit tcp_channel(asio::ip::tcp::socket socket);
    /// @}

    /// @name connection
    /// @{

    /// Connects; ends as `refused` after `timeout`.
    void connect(const asio::ip::tcp::endpoint& peer, duration timeout);

    /// Reads until the end. Precondition: the connection is established.
    void start_reading();

    /// Stops reading for now; the kernel's buffers then hold the peer back.
    void pause_reading() noexcept { m_is_paused = true; }
    void resume_reading();

    void send(std::string_view bytes);

    /// Bytes that the kernel has not taken yet.
    [[nodiscard]] std::size_t unsent() const noexcept { return m_unsent.size() - m_unsent_at; }

    /// Closes after everything was sent, waiting a little for the peer to close first, so that
    /// unread bytes don't turn the close into a reset.
    void close_after_sending();

    /// Closes at once; what was not sent is lost.
    void close();

    /// Closes with a reset, so that an unfinished answer cannot look complete.
    void abort();
    [[nodiscard]] bool is_open() const noexcept { return m_is_open; }
    /// @}

    void set_handlers(handlers chosen) { m_handlers = std::move(chosen); }

private:
    void configure();
    void wait_readable();
    void read_available();
    void write_more();
    void wait_writable();
    void linger();
    void end(channel_end how);

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    handlers m_handlers;
    std::string m_unsent;
    std::size_t m_unsent_at = 0;
    bool m_is_open = false;
    bool m_is_reading = false;
    bool m_is_paused = false;
    bool m_waits_writable = false;
    bool m_closes_after_sending = false;
    bool m_is_lingering = false;
};

/// Parses "ip:port". An empty optional for anything else. Thread safe.
[[nodiscard]] std::optional<asio::ip::tcp::endpoint> to_tcp_endpoint(std::string_view address);

} // namespace hickorykeel::gateway
