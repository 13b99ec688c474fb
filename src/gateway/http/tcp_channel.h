#pragma once

#include "gateway/http/send_queue.h"
#include "process/clock.h"

#include <cstddef>     // size_t
#include <cstdint>     // SIZE_MAX, uint64_t
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
    /// The peer closed its side normally, and had received all that was sent before. A peer that
    /// closes earlier has not received a complete request.
    finished,
    reset,       ///< the connection failed, or ended before the peer had received all
    refused,     ///< the peer's machine refused the connection
    unreachable, ///< the connection was not established otherwise
};

/// One non-blocking TCP connection on the event loop.
///
/// Handlers run on the loop's thread and never after `close()`.
/// Thread safety: none; all calls come from the loop's thread.
class tcp_channel : public std::enable_shared_from_this<tcp_channel> {
public:
    struct handlers {
        std::function<void(std::string_view)> on_bytes;
        std::function<void(channel_end)> on_end;
        std::function<void()> on_connected = {}; ///< outgoing connections only
        std::function<void()> on_drained = {};   ///< the kernel accepted all buffered bytes
    };

    /// @name construction
    /// @{
    explicit tcp_channel(asio::io_context& loop) : m_socket{loop}, m_timer{loop} {}

    /// Takes an accepted socket.
    explicit tcp_channel(asio::ip::tcp::socket socket);
    /// @}

    /// @name connection
    /// @{

    /// Connects; a failure ends the channel as `refused`, as `reset` if the peer's machine had
    /// established the connection, or as `unreachable`, `timeout` as `unreachable`.
    void connect(const asio::ip::tcp::endpoint& peer, duration timeout);

    /// Starts reading, until the connection ends. Precondition: the connection is established.
    void start_reading();

    /// Sets the maximum number of bytes passed to `on_bytes` at once. Precondition: `bytes` > 0.
    void set_max_read(std::size_t bytes) noexcept { m_max_read = bytes; }

    /// Pauses reading; once the kernel's buffers are full, TCP flow control holds the peer back.
    void pause_reading() noexcept { m_is_paused = true; }
    void resume_reading();

    /// Sends `bytes`, buffering what the kernel does not accept at once. Does nothing on a closed
    /// or closing channel.
    void send(std::string_view bytes);

    /// The same without a copy of the buffered bytes. Precondition: `bytes` isn't null.
    void send(const shared_bytes& bytes);

    /// Number of buffered bytes that the kernel has not accepted yet.
    [[nodiscard]] std::size_t unsent() const noexcept { return m_unsent.size(); }

    /// Number of sent bytes that the peer's kernel has acknowledged. Once the buffers of that
    /// kernel are full, it grows only while the peer reads.
    [[nodiscard]] std::uint64_t acknowledged();

    /// Closes after all bytes are sent. Waits for the peer to close first, since closing a socket
    /// with unread bytes would send a reset: until it has sent nothing for 500 ms, and for 5 s at
    /// most.
    void close_after_sending();

    /// Closes at once; unsent bytes are lost.
    void close();

    /// Closes with a reset, so that the peer cannot take an unfinished response for a complete one.
    void abort();
    [[nodiscard]] bool is_open() const noexcept { return m_is_open; }

    /// Whether the peer has sent bytes that aren't read yet, or has ended the connection. Reads
    /// nothing.
    [[nodiscard]] bool has_unread_input();
    /// @}

    void set_handlers(handlers chosen) { m_handlers = std::move(chosen); }

    /// Charges buffered bytes to `budget`. Precondition: nothing is buffered.
    void set_memory(std::shared_ptr<memory_budget> budget)
    {
        m_unsent.set_memory(std::move(budget));
    }

private:
    void configure();
    void wait_readable();
    void read_available();
    [[nodiscard]] bool is_all_received();
    std::size_t write_now(std::string_view bytes);
    void write_more();
    void wait_writable();
    void linger();
    void wait_for_silence();
    void end(channel_end how);

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    handlers m_handlers;
    send_queue m_unsent;
    time_point m_linger_end{}; ///< set while `m_is_lingering`
    std::size_t m_max_read = SIZE_MAX;
    std::uint64_t m_written = 0; ///< bytes that the kernel has accepted
    bool m_has_write_failed = false;
    bool m_is_open = false;
    bool m_is_reading = false;
    bool m_is_paused = false;
    bool m_waits_readable = false;
    bool m_waits_writable = false;
    bool m_closes_after_sending = false;
    bool m_is_lingering = false;
};

/// Parses "ip:port" with an IPv4 address; an empty optional for anything else. Thread safe.
[[nodiscard]] std::optional<asio::ip::tcp::endpoint> to_tcp_endpoint(std::string_view address);

} // namespace hickorykeel::gateway
