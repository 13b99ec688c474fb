#include "support/relay.h"

#include "process/clock.h"

#include <algorithm> // min
#include <array>     // array
#include <atomic>    // atomic
#include <deque>     // deque
#include <list>      // list
#include <map>       // map
#include <mutex>     // mutex
#include <thread>    // thread
#include <utility>   // move
#include <vector>    // vector

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorykeel::tests {

namespace detail {

constexpr std::size_t read_bytes = 65'536;
constexpr std::size_t most_waiting_chunks = 256; // then the relay stops to read

sockaddr_in to_socket_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

std::string to_text(const sockaddr_in& address)
{
    std::array<char, INET_ADDRSTRLEN> ip{};
    ::inet_ntop(AF_INET, &address.sin_addr, ip.data(), ip.size());
    return std::string{ip.data()} + ':' + std::to_string(ntohs(address.sin_port));
}

void set_up(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
}

/// Makes the next close of a socket reset its connection.
void set_reset_on_close(int socket)
{
    const linger at_once{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

/// Bytes that wait for their time to be sent.
struct chunk {
    time_point due;
    std::string bytes;
};

/// One direction of a connection.
struct flow {
    int from = -1;
    int to = -1;
    std::deque<chunk> waiting;
    bool is_ended = false;      // nothing more comes from `from`
    bool is_end_passed = false; // and `to` was told
};

struct connection {
    std::string source;
    int client = -1;
    int server = -1;
    flow upward;
    flow downward;
    bool is_broken = false;
};

/// Takes what `item.from` has to give.
void read_from(flow& item, std::chrono::milliseconds delay, connection& owner)
{
    std::string bytes(read_bytes, '\0');
    const ssize_t n = ::recv(item.from, bytes.data(), bytes.size(), 0);
    if (n > 0) {
        bytes.resize(static_cast<std::size_t>(n));
        item.waiting.push_back({boot_clock::now() + delay, std::move(bytes)});
    }
    else if (n == 0) {
        item.is_ended = true;
    }
    else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        owner.is_broken = true;
    }
}

/// Sends what is due, and the end once all is sent.
void write_to(flow& item, connection& owner)
{
    while (!item.waiting.empty() && item.waiting.front().due <= boot_clock::now()) {
        std::string& bytes = item.waiting.front().bytes;
        const ssize_t n = ::send(item.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0) {
            const bool is_full = errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN;
            owner.is_broken = owner.is_broken || !is_full;
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(n));
        if (!bytes.empty()) {
            return;
        }
        item.waiting.pop_front();
    }
    if (item.waiting.empty() && item.is_ended && !item.is_end_passed) {
        ::shutdown(item.to, SHUT_WR);
        item.is_end_passed = true;
    }
}

} // namespace detail

struct relay::state {
    sockaddr_in target{};
    identify_source identify;
    int listener = -1;
    int wake = -1;
    std::atomic<bool> is_stopping{false};
    std::mutex mutex; // guards links
    std::map<std::string, link_state> links;
    std::list<detail::connection> connections; // of the thread
    std::thread thread;

    link_state link(const std::string& source)
    {
        const std::lock_guard lock{mutex};
        const auto found = links.find(source);
        return found == links.end() ? link_state{} : found->second;
    }

    void run();
    void accept();
    void move_bytes(detail::connection& item, std::vector<pollfd>& next);
    void remove_ended();
};

relay::relay(const std::string& listen, const std::string& target, identify_source identify)
    : m_state(std::make_unique<state>())
{
    m_state->target = detail::to_socket_address(target);
    m_state->identify = std::move(identify);
    m_state->wake = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    m_state->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_state->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = detail::to_socket_address(listen);
    const auto* raw = reinterpret_cast<const sockaddr*>(&address);
    if (::bind(m_state->listener, raw, sizeof address) != 0 ||
        ::listen(m_state->listener, SOMAXCONN) != 0) {
        ::close(m_state->listener);
        m_state->listener = -1;
        return;
    }
    detail::set_up(m_state->listener);
    m_state->thread = std::thread{[this] { m_state->run(); }};
}

relay::~relay()
{
    m_state->is_stopping = true;
    ::eventfd_write(m_state->wake, 1);
    if (m_state->thread.joinable()) {
        m_state->thread.join();
    }
    for (const detail::connection& item : m_state->connections) {
        ::close(item.client);
        ::close(item.server);
    }
    ::close(m_state->listener);
    ::close(m_state->wake);
}

void relay::set(const link_state& wanted, const std::string& source)
{
    {
        const std::lock_guard lock{m_state->mutex};
        m_state->links[source] = wanted;
    }
    ::eventfd_write(m_state->wake, 1);
}

bool relay::is_listening() const
{
    return m_state->listener >= 0;
}

void relay::state::run()
{
    constexpr int tick_ms = 100;
    while (!is_stopping) {
        std::vector<pollfd> items{{wake, POLLIN, 0}, {listener, POLLIN, 0}};
        int timeout_ms = tick_ms;
        for (detail::connection& item : connections) {
            move_bytes(item, items);
            for (const detail::flow* part : {&item.upward, &item.downward}) {
                if (!part->waiting.empty() && part->waiting.front().due > boot_clock::now()) {
                    timeout_ms = 1;
                }
            }
        }
        remove_ended();
        ::poll(items.data(), items.size(), timeout_ms);
        eventfd_t ignored = 0;
        ::eventfd_read(wake, &ignored);
        if ((items[1].revents & POLLIN) != 0) {
            accept();
        }
    }
}

void relay::state::accept()
{
    sockaddr_in source{};
    socklen_t size = sizeof source;
    const int client =
        ::accept4(listener, reinterpret_cast<sockaddr*>(&source), &size, SOCK_CLOEXEC);
    if (client < 0) {
        return;
    }
    detail::connection item;
    const std::optional<std::string> name =
        identify ? identify(detail::to_text(source)) : std::string{};
    item.source = name.value_or("");
    const link_mode mode = link(item.source).mode;
    if (!name || mode == link_mode::cut || mode == link_mode::kept) {
        if (mode == link_mode::kept) {
            detail::set_reset_on_close(client);
        }
        ::close(client);
        return;
    }
    item.client = client;
    item.server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    detail::set_up(item.client);
    detail::set_up(item.server);
    // does not wait; a refusal shows at the first read
    static_cast<void>(
        ::connect(item.server, reinterpret_cast<const sockaddr*>(&target), sizeof target));
    item.upward.from = item.client;
    item.upward.to = item.server;
    item.downward.from = item.server;
    item.downward.to = item.client;
    connections.push_back(std::move(item));
}

/// Forwards what can be forwarded, and adds to `next` what has to be waited for.
void relay::state::move_bytes(detail::connection& item, std::vector<pollfd>& next)
{
    const link_state now = link(item.source);
    if (now.mode == link_mode::cut) {
        item.is_broken = true;
        return;
    }
    for (detail::flow* part : {&item.upward, &item.downward}) {
        if (!part->is_ended && part->waiting.size() < detail::most_waiting_chunks) {
            detail::read_from(*part, now.delay, item);
            if (!part->is_ended) {
                next.push_back({part->from, POLLIN, 0});
            }
        }
        if (now.mode != link_mode::held) {
            detail::write_to(*part, item);
            if (!part->waiting.empty() && part->waiting.front().due <= boot_clock::now()) {
                next.push_back({part->to, POLLOUT, 0});
            }
        }
    }
}

void relay::state::remove_ended()
{
    for (auto it = connections.begin(); it != connections.end();) {
        const bool is_ended = it->upward.is_end_passed && it->downward.is_end_passed;
        if (it->is_broken || is_ended) {
            ::close(it->client);
            ::close(it->server);
            it = connections.erase(it);
        }
        else {
            ++it;
        }
    }
}

} // namespace hickorykeel::tests
