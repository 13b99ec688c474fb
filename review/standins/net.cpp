#include "net.h"

#include <algorithm> // transform
#include <chrono>    // steady_clock
#include <cstdlib>   // strtoul
#include <iostream>  // cerr
#include <memory>    // make_shared
#include <thread>    // thread

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int exit_not_run = 2;

sockaddr_in to_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

message parse_head(const std::string& head)
{
    message parsed;
    std::size_t at = head.find("\r\n");
    parsed.start = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t end = head.find("\r\n", at + 2);
        const std::string line =
            head.substr(at + 2, end == std::string::npos ? std::string::npos : end - at - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            parsed.headers[to_lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
        at = end;
    }
    return parsed;
}

std::string nth_word(const std::string& text, int n)
{
    std::size_t begin = 0;
    for (; n > 0; --n) {
        begin = text.find(' ', begin);
        if (begin == std::string::npos) {
            return {};
        }
        ++begin;
    }
    return text.substr(begin, text.find(' ', begin) - begin);
}

} // namespace

std::string message::header(const std::string& name) const
{
    const auto found = headers.find(to_lower(name));
    return found == headers.end() ? std::string{} : found->second;
}

std::string message::first_word() const
{
    return nth_word(start, 0);
}

std::string message::second_word() const
{
    return nth_word(start, 1);
}

connection::~connection()
{
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

int connection::open(const std::string& address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in peer = to_address(address);
    const int status = ::connect(socket, reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
    if (status < 0 && errno == EINPROGRESS) {
        pollfd waited{socket, POLLOUT, 0};
        ::poll(&waited, 1, 1'000);
    }
    int failure = 0;
    socklen_t size = sizeof failure;
    ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size);
    sockaddr_in connected{};
    socklen_t connected_size = sizeof connected;
    if (failure != 0 ||
        ::getpeername(socket, reinterpret_cast<sockaddr*>(&connected), &connected_size) < 0) {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

bool connection::send(const std::string& bytes) const
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        const ssize_t count = ::send(m_socket, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return false;
        }
        at += static_cast<std::size_t>(count);
    }
    return true;
}

read_result connection::fill(int timeout_ms)
{
    pollfd waited{m_socket, POLLIN, 0};
    if (::poll(&waited, 1, timeout_ms) <= 0) {
        return read_result::timed_out;
    }
    char bytes[65'536];
    const ssize_t count = ::recv(m_socket, bytes, sizeof bytes, 0);
    if (count <= 0) {
        return count == 0 ? read_result::closed : read_result::broken;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return read_result::message;
}

read_result connection::read_chunks(std::string& body, int timeout_ms)
{
    for (;;) {
        std::size_t line = m_buffer.find("\r\n");
        while (line == std::string::npos) {
            if (const auto got = fill(timeout_ms); got != read_result::message) {
                return got;
            }
            line = m_buffer.find("\r\n");
        }
        const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
        while (m_buffer.size() < line + 2 + size + 2) {
            if (const auto got = fill(timeout_ms); got != read_result::message) {
                return got;
            }
        }
        body += m_buffer.substr(line + 2, size);
        m_buffer.erase(0, line + 2 + size + 2);
        if (size == 0) {
            return read_result::message;
        }
    }
}

read_result connection::read(message& received, int timeout_ms)
{
    std::size_t end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (const auto got = fill(timeout_ms); got != read_result::message) {
            return got;
        }
        end = m_buffer.find("\r\n\r\n");
    }
    received = parse_head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    if (!received.header("transfer-encoding").empty()) {
        return read_chunks(received.body, timeout_ms);
    }
    const bool has_length = !received.header("content-length").empty();
    if (!has_length && received.start.starts_with("HTTP/")) {
        read_result got = read_result::message;
        while (got == read_result::message) {
            got = fill(timeout_ms);
        }
        received.body = m_buffer;
        m_buffer.clear();
        return got == read_result::closed ? read_result::message : got;
    }
    const std::size_t size = has_length ? std::stoul(received.header("content-length")) : 0;
    while (m_buffer.size() < size) {
        if (const auto got = fill(timeout_ms); got != read_result::message) {
            return got;
        }
    }
    received.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return read_result::message;
}

void listen_at(const std::string& address, std::function<void(connection&)> serve)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = to_address(address);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&local), sizeof local) < 0 ||
        ::listen(listener, 1'024) < 0) {
        std::cerr << "can't listen at " << address << '\n';
        std::_Exit(exit_not_run);
    }
    std::thread{[listener, serve = std::move(serve)] {
        for (;;) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            const int no_delay = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
            std::thread{[socket, &serve] {
                connection peer{socket};
                serve(peer);
            }}.detach();
        }
    }}.detach();
}

std::string make_response(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string percent_decoded(const std::string& text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        }
        else {
            decoded += text[at];
        }
    }
    return decoded;
}

std::string query_value(const std::string& target, const std::string& name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair =
            target.substr(at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
        if (pair.starts_with(name + "=")) {
            return percent_decoded(pair.substr(name.size() + 1));
        }
        at = end;
    }
    return {};
}

std::string to_base64(const std::string& bytes)
{
    static const std::string digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            group = group << 8U |
                    (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        }
        for (std::size_t i = 0; i < 4; ++i) {
            text += at + i > bytes.size() ? '=' : digits[(group >> (18 - 6 * i)) & 63U];
        }
    }
    return text;
}

long now_ms()
{
    static const auto started = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 started)
        .count();
}

void sleep_ms(long duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{duration});
}

std::string own_network()
{
    const int id = ::getpid();
    return "127." + std::to_string(10 + id / 250 % 200) + '.' + std::to_string(1 + id % 250) + '.';
}

} // namespace review
