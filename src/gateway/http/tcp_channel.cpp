#include "gateway/http/tcp_channel.h"

#include <algorithm> // min
#include <array>     // array
#include <charconv>  // from_chars
#include <chrono>    // milliseconds
#include <utility>   // move

#include <asio/buffer.hpp> // buffer
#include <asio/post.hpp>   // post
#include <linux/sockios.h> // SIOCOUTQ
#include <netinet/tcp.h>   // TCP_USER_TIMEOUT
#include <sys/ioctl.h>     // ioctl
#include <sys/socket.h>    // setsockopt

namespace hickorykeel::gateway {

namespace {

constexpr std::size_t read_buffer_bytes = 65'536;
constexpr unsigned unacknowledged_timeout_ms = 5'000; // value of TCP_USER_TIMEOUT
constexpr duration linger_time = std::chrono::milliseconds{500};
constexpr duration max_linger_time = std::chrono::seconds{5};

using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Returns how a connection ended that failed as it was being established.
channel_end to_channel_end(const asio::error_code& failure) noexcept
{
    if (failure == asio::error::connection_refused) {
        return channel_end::refused;
    }
    // the peer's process closed its listener before it accepted the connection
    const bool is_reset = failure == asio::error::connection_reset;
    return is_reset ? channel_end::reset : channel_end::unreachable;
}

} // namespace

tcp_channel::tcp_channel(asio::ip::tcp::socket socket)
    : m_socket{std::move(socket)}, m_timer{m_socket.get_executor()}, m_is_open{true}
{
    configure();
}

void tcp_channel::configure()
{
    // a broken socket refuses options; its next read or write reports the error
    asio::error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    m_socket.set_option(user_timeout{static_cast<int>(unacknowledged_timeout_ms)}, ignored);
}

void tcp_channel::connect(const asio::ip::tcp::endpoint& peer, duration timeout)
{
    m_is_open = true;
    const auto self = shared_from_this();
    m_timer.expires_after(timeout);
    m_timer.async_wait([self](const asio::error_code& failure) {
        if (!failure && self->m_is_open && !self->m_is_reading) {
            self->end(channel_end::unreachable);
        }
    });
    m_socket.async_connect(peer, [self](const asio::error_code& failure) {
        if (!self->m_is_open) {
            return;
        }
        self->m_timer.cancel();
        if (failure) {
            self->end(to_channel_end(failure));
            return;
        }
        self->configure();
        self->start_reading();
        if (self->m_handlers.on_connected) {
            self->m_handlers.on_connected();
        }
    });
}

void tcp_channel::start_reading()
{
    m_is_reading = true;
    wait_readable();
}

void tcp_channel::resume_reading()
{
    if (m_is_paused) {
        m_is_paused = false;
        if (m_is_open && m_is_reading) {
            wait_readable();
        }
    }
}

void tcp_channel::wait_readable()
{
    if (m_waits_readable) {
        return;
    }
    m_waits_readable = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const asio::error_code& failure) {
                            self->m_waits_readable = false;
                            if (!failure && self->m_is_open && !self->m_is_paused) {
                                self->read_available();
                            }
                        });
}

void tcp_channel::read_available()
{
    // all connections share one buffer: its bytes are consumed before the next read
    static std::array<char, read_buffer_bytes> buffer;
    asio::error_code failure;
    const std::size_t count = m_socket.read_some(asio::buffer(buffer, m_max_read), failure);
    if (failure == asio::error::would_block || failure == asio::error::interrupted) {
        wait_readable();
        return;
    }
    if (failure) {
        // after a failed write, which clears the socket's error, reading reports a normal end
        const bool is_finished =
            failure == asio::error::eof && !m_has_write_failed && is_all_received();
        end(is_finished ? channel_end::finished : channel_end::reset);
        return;
    }
    const auto self = shared_from_this();
    if (m_is_lingering) {
        wait_for_silence();
    }
    else {
        m_handlers.on_bytes({buffer.data(), count});
    }
    if (m_is_open && !m_is_paused) {
        wait_readable();
    }
}

bool tcp_channel::has_unread_input()
{
    char next = 0;
    asio::error_code failure;
    m_socket.receive(asio::buffer(&next, 1), asio::ip::tcp::socket::message_peek, failure);
    return failure != asio::error::would_block;
}

void tcp_channel::send(std::string_view bytes)
{
    if (!m_is_open || m_closes_after_sending) {
        return;
    }
    if (m_unsent.empty()) {
        bytes.remove_prefix(write_now(bytes));
    }
    if (!bytes.empty() && !m_has_write_failed) {
        m_unsent.append(bytes);
        wait_writable();
    }
}

void tcp_channel::send(const shared_bytes& bytes)
{
    if (!m_is_open || m_closes_after_sending) {
        return;
    }
    const std::size_t written = m_unsent.empty() ? write_now(*bytes) : 0;
    if (written < bytes->size() && !m_has_write_failed) {
        m_unsent.append(bytes, written);
        wait_writable();
    }
}

/// Writes what the kernel accepts and returns its size.
std::size_t tcp_channel::write_now(std::string_view bytes)
{
    asio::error_code failure;
    const std::size_t count = m_socket.write_some(asio::buffer(bytes), failure);
    // the reading side detects and reports the end of the connection
    m_has_write_failed = m_has_write_failed || (failure && failure != asio::error::would_block);
    if (failure) {
        return 0;
    }
    m_written += count;
    return count;
}

/// Whether the peer's kernel has acknowledged all that was sent.
bool tcp_channel::is_all_received()
{
    return m_unsent.empty() && acknowledged() == m_written;
}

std::uint64_t tcp_channel::acknowledged()
{
    int unacknowledged = 0; // bytes that the kernel has accepted
    const bool is_known =
        m_is_open && ::ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
    return is_known ? m_written - static_cast<std::uint64_t>(unacknowledged) : m_written;
}

void tcp_channel::wait_writable()
{
    if (m_waits_writable) {
        return;
    }
    m_waits_writable = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_write,
                        [self = shared_from_this()](const asio::error_code& failure) {
                            self->m_waits_writable = false;
                            if (!failure && self->m_is_open) {
                                self->write_more();
                            }
                        });
}

void tcp_channel::write_more()
{
    bool is_accepting = true;
    while (is_accepting && !m_unsent.empty()) {
        const std::size_t size = m_unsent.front().size();
        const std::size_t count = write_now(m_unsent.front());
        m_unsent.pop(count);
        is_accepting = count == size;
    }
    if (m_has_write_failed) {
        return;
    }
    if (!m_unsent.empty()) {
        wait_writable();
        return;
    }
    if (m_closes_after_sending) {
        linger();
    }
    else if (m_handlers.on_drained) {
        m_handlers.on_drained();
    }
}

void tcp_channel::close_after_sending()
{
    if (!m_is_open || m_closes_after_sending) {
        return;
    }
    m_closes_after_sending = true;
    if (unsent() == 0) {
        linger();
    }
}

void tcp_channel::linger()
{
    m_is_lingering = true;
    m_max_read = read_buffer_bytes;
    asio::error_code ignored; // a broken connection is closed regardless
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    resume_reading();
    m_linger_end = boot_clock::now() + max_linger_time;
    wait_for_silence();
}

/// Closes once the peer has sent nothing for `linger_time`, or at `m_linger_end`.
void tcp_channel::wait_for_silence()
{
    m_timer.expires_after(std::min(linger_time, m_linger_end - boot_clock::now()));
    m_timer.async_wait([self = shared_from_this()](const asio::error_code& failure) {
        if (!failure) {
            self->close();
        }
    });
}

void tcp_channel::close()
{
    if (!m_is_open) {
        return;
    }
    m_is_open = false;
    // a handler may be running: handlers are destroyed only after it has returned
    asio::post(m_socket.get_executor(), [keep = std::move(m_handlers)] {});
    m_handlers = {};
    m_timer.cancel();
    m_unsent.clear();
    asio::error_code ignored; // the socket is not used any more
    m_socket.close(ignored);
}

void tcp_channel::abort()
{
    if (m_is_open) {
        asio::error_code ignored; // without the option the socket closes without a reset
        m_socket.set_option(asio::socket_base::linger{true, 0}, ignored);
        close();
    }
}

void tcp_channel::end(channel_end how)
{
    const auto self = shared_from_this();
    const auto on_end = std::move(m_handlers.on_end);
    const bool was_lingering = m_is_lingering;
    close();
    if (on_end && !was_lingering) {
        on_end(how);
    }
}

std::optional<asio::ip::tcp::endpoint> to_tcp_endpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const std::string_view digits = address.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    asio::error_code failure;
    const auto ip = asio::ip::make_address_v4(std::string{address.substr(0, colon)}, failure);
    if (failure || parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint{ip, port};
}

} // namespace hickorykeel::gateway
