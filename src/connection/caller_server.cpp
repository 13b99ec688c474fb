#include "connection/caller_server.h"

#include <algorithm> // min
#include <array>     // array
#include <cerrno>    // errno, EINTR
#include <chrono>    // steady_clock
#include <cstring>   // memcpy
#include <string>    // string

#include <netdb.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorykeel {
namespace detail {

thread_local int current_caller_socket = -1;

constexpr int milliseconds_per_second = 1000;

// interval at which an idle connection checks whether the server stops
constexpr int idle_poll_ms = 100;

// returns 1 if ready, 0 if not within the limit, -1 on failure
int wait_until_ready(int socket, short events, int limit_ms)
{
    pollfd waited{socket, events, 0};
    int ready = -1;
    do {
        ready = ::poll(&waited, 1, limit_ms);
    } while (ready < 0 && errno == EINTR);
    return ready;
}

/// Stream of one caller's socket; each read and write has a time limit.
class caller_stream final : public httplib::Stream {
public:
    caller_stream(int socket, int read_limit_ms, int write_limit_ms)
        : m_socket(socket), m_read_limit_ms(read_limit_ms), m_write_limit_ms(write_limit_ms)
    {
    }

    [[nodiscard]] bool is_readable() const override
    {
        return m_begin < m_end || wait_until_ready(m_socket, POLLIN, 0) > 0;
    }

    [[nodiscard]] bool is_writable() const override
    {
        return is_peer_connected(m_socket) && wait_until_ready(m_socket, POLLOUT, 0) > 0;
    }

    // buffered, because the library reads lines byte by byte
    ssize_t read(char* into, size_t size) override
    {
        if (m_begin == m_end) {
            if (wait_until_ready(m_socket, POLLIN, m_read_limit_ms) <= 0) {
                return -1;
            }
            const ssize_t received = receive();
            if (received <= 0) {
                return received;
            }
            m_begin = 0;
            m_end = static_cast<std::size_t>(received);
        }
        const std::size_t taken = std::min(size, m_end - m_begin);
        std::memcpy(into, m_buffer.data() + m_begin, taken);
        m_begin += taken;
        return static_cast<ssize_t>(taken);
    }

    ssize_t write(const char* from, size_t size) override
    {
        if (wait_until_ready(m_socket, POLLOUT, m_write_limit_ms) <= 0) {
            return -1;
        }
        ssize_t sent = -1;
        do {
            sent = ::send(m_socket, from, size, MSG_NOSIGNAL);
        } while (sent < 0 && errno == EINTR);
        return sent;
    }

    void get_remote_ip_and_port(std::string& ip, int& port) const override
    {
        to_ip_and_port(::getpeername, ip, port);
    }

    void get_local_ip_and_port(std::string& ip, int& port) const override
    {
        to_ip_and_port(::getsockname, ip, port);
    }

    [[nodiscard]] socket_t socket() const override { return m_socket; }

    /// Whether bytes of the next request have already been read.
    [[nodiscard]] bool has_unread() const noexcept { return m_begin < m_end; }

private:
    static constexpr std::size_t buffer_bytes = 4096;

    ssize_t receive()
    {
        ssize_t received = -1;
        do {
            received = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        } while (received < 0 && errno == EINTR);
        return received;
    }

    template <typename Ask>
    void to_ip_and_port(Ask ask, std::string& ip, int& port) const
    {
        sockaddr_storage address{};
        socklen_t size = sizeof address;
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        std::array<char, NI_MAXHOST> host{};
        std::array<char, NI_MAXSERV> service{};
        if (ask(m_socket, generic, &size) == 0 &&
            ::getnameinfo(generic, size, host.data(), host.size(), service.data(), service.size(),
                          NI_NUMERICHOST | NI_NUMERICSERV) == 0) {
            ip = host.data();
            port = std::stoi(service.data());
        }
    }

    int m_socket;
    int m_read_limit_ms;
    int m_write_limit_ms;
    std::array<char, buffer_bytes> m_buffer{};
    std::size_t m_begin = 0; // of the unread part of the buffer
    std::size_t m_end = 0;
};

int to_milliseconds(time_t seconds, time_t microseconds)
{
    constexpr int microseconds_per_millisecond = 1000;
    return static_cast<int>(seconds) * milliseconds_per_second +
           static_cast<int>(microseconds) / microseconds_per_millisecond;
}

} // namespace detail

int caller_server::current_socket() noexcept
{
    return detail::current_caller_socket;
}

bool caller_server::process_and_close_socket(socket_t socket)
{
    detail::caller_stream stream(socket,
                                 detail::to_milliseconds(read_timeout_sec_, read_timeout_usec_),
                                 detail::to_milliseconds(write_timeout_sec_, write_timeout_usec_));
    const auto has_next_request = [&] {
        const int limit_ms = detail::to_milliseconds(keep_alive_timeout_sec_, 0);
        for (int waited_ms = 0; waited_ms < limit_ms; waited_ms += detail::idle_poll_ms) {
            if (stream.has_unread()) {
                return true;
            }
            if (svr_sock_ == INVALID_SOCKET) {
                return false;
            }
            const int ready = detail::wait_until_ready(socket, POLLIN, detail::idle_poll_ms);
            if (ready != 0) {
                return ready > 0;
            }
        }
        return false;
    };
    bool is_served = false;
    detail::current_caller_socket = socket;
    for (std::size_t left = keep_alive_max_count_; left > 0 && has_next_request(); --left) {
        bool is_closed = false;
        is_served = process_request(stream, left == 1, is_closed, nullptr);
        if (!is_served || is_closed) {
            break;
        }
    }
    detail::current_caller_socket = -1;
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return is_served;
}

bool is_peer_connected(int socket) noexcept
{
    pollfd asked{socket, POLLRDHUP, 0};
    return ::poll(&asked, 1, 0) <= 0;
}

} // namespace hickorykeel
