#include "standins/http_server.h"

#include <algorithm>          // min, max
#include <array>              // array
#include <condition_variable> // condition_variable
#include <csignal>            // sigwait, sigset_t
#include <functional>         // function
#include <iostream>           // cout, cerr
#include <mutex>              // mutex
#include <thread>             // thread
#include <utility>            // move

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorykeel::standins {

namespace detail {

constexpr const char* socket_header = "X-Standin-Socket";
constexpr int poll_slice_ms = 50;

/// One thread for each connection, so that no idle connection keeps another one waiting.
class thread_per_connection : public httplib::TaskQueue {
public:
    void enqueue(std::function<void()> task) override
    {
        {
            const std::lock_guard lock{m_mutex};
            ++m_running;
        }
        std::thread{[this, work = std::move(task)] {
            work();
            const std::lock_guard lock{m_mutex};
            --m_running;
            m_ended.notify_all();
        }}.detach();
    }

    void shutdown() override
    {
        std::unique_lock lock{m_mutex};
        m_ended.wait(lock, [this] { return m_running == 0; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::size_t m_running = 0;
};

/// A connected socket as the library's stream.
class socket_stream : public httplib::Stream {
public:
    explicit socket_stream(socket_t socket) : m_socket(socket) {}

    [[nodiscard]] bool is_readable() const override
    {
        constexpr int read_timeout_ms = 5000;
        return poll_for(POLLIN, read_timeout_ms);
    }

    [[nodiscard]] bool is_writable() const override
    {
        constexpr int write_timeout_ms = 5000;
        return poll_for(POLLOUT, write_timeout_ms);
    }

    ssize_t read(char* target, size_t size) override
    {
        return is_readable() ? ::recv(m_socket, target, size, 0) : -1;
    }

    ssize_t write(const char* source, size_t size) override
    {
        return is_writable() ? ::send(m_socket, source, size, MSG_NOSIGNAL) : -1;
    }

    void get_remote_ip_and_port(std::string& ip, int& port) const override
    {
        read_address(::getpeername, ip, port);
    }

    void get_local_ip_and_port(std::string& ip, int& port) const override
    {
        read_address(::getsockname, ip, port);
    }

    [[nodiscard]] socket_t socket() const override { return m_socket; }

private:
    [[nodiscard]] bool poll_for(short events, int timeout_ms) const
    {
        pollfd item{m_socket, events, 0};
        return ::poll(&item, 1, timeout_ms) > 0 && (item.revents & events) != 0;
    }

    template <typename Query>
    void read_address(Query query, std::string& ip, int& port) const
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        if (query(m_socket, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
            std::array<char, INET_ADDRSTRLEN> text{};
            ip = ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
            port = ntohs(address.sin_port);
        }
    }

    socket_t m_socket;
};

int socket_of(const httplib::Request& request)
{
    return std::stoi(request.get_header_value(socket_header));
}

/// Whether the peer of `socket` closes within `timeout`.
bool hangs_up(int socket, std::chrono::nanoseconds timeout)
{
    pollfd item{socket, POLLRDHUP, 0};
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    const timespec limit{seconds.count(), (timeout - seconds).count()};
    return ::ppoll(&item, 1, &limit, nullptr) > 0;
}

} // namespace detail

http_server::http_server()
{
    new_task_queue = [] { return new detail::thread_per_connection; };
    set_tcp_nodelay(true);
}

int http_server::run(const std::string& address)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto colon = address.rfind(':');
    if (colon == std::string::npos ||
        !bind_to_port(address.substr(0, colon), std::stoi(address.substr(colon + 1)))) {
        std::cerr << "listen " << address << ": cannot bind\n";
        return 1;
    }
    std::thread server{[this] { listen_after_bind(); }};
    std::cout << "listening " << address << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    m_is_stopping = true;
    stop();
    server.join();
    return 0;
}

bool http_server::wait(const httplib::Request& request, duration span) const
{
    constexpr duration slice = std::chrono::milliseconds{detail::poll_slice_ms};
    const int socket = detail::socket_of(request);
    const time_point end = boot_clock::now() + span;
    do {
        const duration left = std::max(duration::zero(), end - boot_clock::now());
        if (detail::hangs_up(socket, std::min(slice, left)) || m_is_stopping) {
            return false;
        }
    } while (boot_clock::now() < end);
    return true;
}

void http_server::wait_for_hang_up(const httplib::Request& request) const
{
    constexpr duration slice = std::chrono::milliseconds{detail::poll_slice_ms};
    while (wait(request, slice)) {}
}

void http_server::cut(const httplib::Request& request)
{
    ::shutdown(detail::socket_of(request), SHUT_RDWR);
}

std::map<std::string, std::string> http_server::headers_of(const httplib::Request& request)
{
    std::map<std::string, std::string> headers{request.headers.begin(), request.headers.end()};
    for (const char* added :
         {detail::socket_header, "LOCAL_ADDR", "LOCAL_PORT", "REMOTE_ADDR", "REMOTE_PORT"}) {
        headers.erase(added);
    }
    return headers;
}

bool http_server::process_and_close_socket(socket_t socket)
{
    const auto add_socket = [socket](httplib::Request& request) {
        request.headers.erase(detail::socket_header);
        request.set_header(detail::socket_header, std::to_string(socket));
    };
    detail::socket_stream stream{socket};
    bool is_closed = false;
    while (!is_closed && !m_is_stopping) {
        pollfd item{socket, POLLIN, 0};
        const int ready = ::poll(&item, 1, detail::poll_slice_ms);
        if (ready < 0) {
            break;
        }
        if (ready > 0 && !process_request(stream, false, is_closed, add_socket)) {
            break;
        }
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
}

} // namespace hickorykeel::standins
