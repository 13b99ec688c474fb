#include "connection/messenger.h"

#include <algorithm>     // find
#include <array>         // array
#include <atomic>        // atomic
#include <mutex>         // mutex, lock_guard
#include <random>        // random_device, uniform_int_distribution
#include <thread>        // thread
#include <unordered_map> // unordered_map
#include <utility>       // move

#include <glog/logging.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

namespace hickorykeel {
namespace detail {

// queue limit of one peer; further messages to an unreachable peer are dropped
constexpr int peer_queue_messages = 10'000;

// read from one socket before the next socket is read
constexpr int messages_per_socket = 256;

constexpr int connect_retry_ms = 50;
constexpr int connect_retry_maximum_ms = 1'000;
constexpr int link_heartbeat_ms = 1'000;
constexpr int link_heartbeat_timeout_ms = 5'000;

// address that ZAP prescribes, see ZeroMQ RFC 27
constexpr const char* zap_address = "inproc://zeromq.zap.01";
constexpr std::size_t curve_key_bytes = 32;
constexpr std::size_t curve_key_text_bytes = 41;

struct dealer {
    zmq::socket_t socket;
    std::uint64_t newest_stamp = 0;
    std::uint64_t peer_incarnation = 0;
};

struct route_stamp {
    std::uint64_t stamp = 0;
    std::uint64_t incarnation = 0;
};

std::uint64_t random_incarnation()
{
    std::random_device device;
    // identifiers count up from the incarnation and must not overflow
    std::uniform_int_distribution<std::uint64_t> numbers(1, std::uint64_t{1} << 62U);
    return numbers(device);
}

std::string to_key_text(const void* key)
{
    std::array<char, curve_key_text_bytes> text{};
    zmq_z85_encode(text.data(), static_cast<const std::uint8_t*>(key), curve_key_bytes);
    return text.data();
}

} // namespace detail

struct messenger::state {
    options settings;
    handler on_message;
    std::uint64_t incarnation = 0;
    zmq::context_t context{1};
    zmq::socket_t router{context, zmq::socket_type::router};
    zmq::socket_t zap{context, zmq::socket_type::rep};
    std::string bound_address;
    std::unordered_map<std::string, detail::dealer> dealers;
    std::unordered_map<std::string, detail::route_stamp> routes;
    std::mutex mutex; // guards the sockets and the members above, once the worker runs
    const int wake_descriptor = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    std::atomic<bool> is_stopping{false};
    std::atomic<std::uint64_t> sent_bytes{0};
    std::atomic<std::uint64_t> received_bytes{0};
    std::thread worker;

    state() = default;
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;
    ~state() { ::close(wake_descriptor); }

    [[nodiscard]] bool is_encrypted() const { return !settings.keys.secret_key.empty(); }

    void bind()
    {
        router.set(zmq::sockopt::linger, 0);
        router.set(zmq::sockopt::sndhwm, detail::peer_queue_messages);
        router.set(zmq::sockopt::router_handover, true);
        router.set(zmq::sockopt::heartbeat_ivl, detail::link_heartbeat_ms);
        router.set(zmq::sockopt::heartbeat_timeout, detail::link_heartbeat_timeout_ms);
        if (is_encrypted()) {
            zap.set(zmq::sockopt::linger, 0);
            zap.bind(detail::zap_address);
            router.set(zmq::sockopt::curve_server, true);
            router.set(zmq::sockopt::curve_secretkey, settings.keys.secret_key);
        }
        if (!settings.listen.empty()) {
            router.bind("tcp://" + settings.listen);
            bound_address = router.get(zmq::sockopt::last_endpoint).substr(6);
        }
    }

    // makes the worker read all sockets and check is_stopping
    void wake() const
    {
        const std::uint64_t one = 1;
        // fails only if the counter is at its maximum, and then the worker wakes anyway
        static_cast<void>(::write(wake_descriptor, &one, sizeof one));
    }

    void clear_wake() const
    {
        std::uint64_t count = 0;
        static_cast<void>(::read(wake_descriptor, &count, sizeof count));
    }

    void run()
    {
        std::vector<pollfd> polled;
        std::vector<std::string> addresses;
        while (true) {
            clear_wake();
            if (is_stopping) {
                return;
            }
            collect_sockets(polled, addresses);
            bool is_drained = receive_requests();
            authenticate_peers();
            for (const std::string& address : addresses) {
                is_drained = receive_replies(address) && is_drained;
            }
            // EINTR only causes one more iteration
            static_cast<void>(::poll(polled.data(), polled.size(), is_drained ? -1 : 0));
        }
    }

    // a ZeroMQ descriptor is edge-triggered: it signals new input, not remaining input, so all
    // sockets are read until they are empty before the descriptors are polled
    void collect_sockets(std::vector<pollfd>& polled, std::vector<std::string>& addresses)
    {
        const std::lock_guard lock(mutex);
        polled.clear();
        addresses.clear();
        polled.push_back({wake_descriptor, POLLIN, 0});
        polled.push_back({router.get(zmq::sockopt::fd), POLLIN, 0});
        polled.push_back({zap.get(zmq::sockopt::fd), POLLIN, 0});
        for (auto& [address, peer] : dealers) {
            polled.push_back({peer.socket.get(zmq::sockopt::fd), POLLIN, 0});
            addresses.push_back(address);
        }
    }

    // precondition: the mutex is held. Sending may consume the descriptor's signal for pending
    // input, in which case the worker would wait although there is a message to receive
    void wake_for_input(zmq::socket_t& socket) const
    {
        if ((socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
            wake();
        }
    }

    template <typename Send>
    void send(const std::string& to, const Send& perform)
    {
        const std::lock_guard lock(mutex);
        try {
            perform();
        }
        catch (const zmq::error_t& failure) {
            LOG_EVERY_N(WARNING, 1000) << "link to " << to << ": " << failure.what();
            wake();
        }
    }

    void disconnect(const std::string& address)
    {
        const std::lock_guard lock(mutex);
        dealers.erase(address);
        wake();
    }

    void write_request(const std::string& address, link::envelope& message)
    {
        detail::dealer& peer = connect(address);
        stamp(message, peer.newest_stamp, peer.peer_incarnation);
        const std::string bytes = message.SerializeAsString();
        if (peer.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
            sent_bytes += bytes.size();
        }
        wake_for_input(peer.socket);
    }

    void write_reply(const std::string& route, link::envelope& message)
    {
        const detail::route_stamp& seen = routes[route];
        stamp(message, seen.stamp, seen.incarnation);
        const std::string bytes = message.SerializeAsString();
        const zmq::send_flags flags = zmq::send_flags::dontwait;
        if (router.send(zmq::buffer(route), flags | zmq::send_flags::sndmore) &&
            router.send(zmq::buffer(bytes), flags)) {
            sent_bytes += bytes.size();
        }
        wake_for_input(router);
    }

    void stamp(link::envelope& message, std::uint64_t echo, std::uint64_t echo_incarnation) const
    {
        message.set_sender(settings.name);
        message.set_incarnation(incarnation);
        message.set_sent_stamp(to_stamp(boot_clock::now()));
        message.set_echo_stamp(echo);
        message.set_echo_incarnation(echo_incarnation);
    }

    detail::dealer& connect(const std::string& address)
    {
        const auto found = dealers.find(address);
        if (found != dealers.end()) {
            return found->second;
        }
        detail::dealer peer{zmq::socket_t(context, zmq::socket_type::dealer)};
        peer.socket.set(zmq::sockopt::linger, 0);
        peer.socket.set(zmq::sockopt::sndhwm, detail::peer_queue_messages);
        peer.socket.set(zmq::sockopt::reconnect_ivl, detail::connect_retry_ms);
        peer.socket.set(zmq::sockopt::reconnect_ivl_max, detail::connect_retry_maximum_ms);
        peer.socket.set(zmq::sockopt::heartbeat_ivl, detail::link_heartbeat_ms);
        peer.socket.set(zmq::sockopt::heartbeat_timeout, detail::link_heartbeat_timeout_ms);
        const std::string route = std::to_string(incarnation) + '/' + address;
        peer.socket.set(zmq::sockopt::routing_id, route);
        if (is_encrypted()) {
            peer.socket.set(zmq::sockopt::curve_serverkey, settings.keys.public_key);
            peer.socket.set(zmq::sockopt::curve_publickey, settings.keys.public_key);
            peer.socket.set(zmq::sockopt::curve_secretkey, settings.keys.secret_key);
        }
        peer.socket.connect("tcp://" + address);
        wake(); // so that the worker polls this socket too
        return dealers.emplace(address, std::move(peer)).first->second;
    }

    // returns false if there may be more messages
    bool receive_requests()
    {
        for (int i = 0; i < detail::messages_per_socket; ++i) {
            received_message received;
            const receive_result outcome = receive_request(received);
            if (outcome == receive_result::nothing) {
                return true;
            }
            if (outcome == receive_result::message) {
                on_message(std::move(received));
            }
        }
        return false;
    }

    bool receive_replies(const std::string& address)
    {
        for (int i = 0; i < detail::messages_per_socket; ++i) {
            received_message received;
            const receive_result outcome = receive_reply(address, received);
            if (outcome == receive_result::nothing) {
                return true;
            }
            if (outcome == receive_result::message) {
                on_message(std::move(received));
            }
        }
        return false;
    }

    enum class receive_result { nothing, message, unreadable };

    // the mutex is held only while one message is read, not while it is handled
    receive_result receive_request(received_message& received)
    {
        const std::lock_guard lock(mutex);
        zmq::message_t route;
        if (!router.recv(route, zmq::recv_flags::dontwait)) {
            return receive_result::nothing;
        }
        zmq::message_t bytes;
        if (!route.more() || !router.recv(bytes, zmq::recv_flags::dontwait)) {
            return receive_result::unreadable;
        }
        received.route = route.to_string();
        if (!parse(bytes, received)) {
            return receive_result::unreadable;
        }
        detail::route_stamp& seen = routes[received.route];
        seen.stamp = received.message.sent_stamp();
        seen.incarnation = received.message.incarnation();
        return receive_result::message;
    }

    receive_result receive_reply(const std::string& address, received_message& received)
    {
        const std::lock_guard lock(mutex);
        const auto found = dealers.find(address);
        zmq::message_t bytes;
        if (found == dealers.end() ||
            !found->second.socket.recv(bytes, zmq::recv_flags::dontwait)) {
            return receive_result::nothing;
        }
        received.peer = address;
        if (!parse(bytes, received)) {
            return receive_result::unreadable;
        }
        found->second.newest_stamp = received.message.sent_stamp();
        found->second.peer_incarnation = received.message.incarnation();
        return receive_result::message;
    }

    bool parse(const zmq::message_t& bytes, received_message& received)
    {
        received_bytes += bytes.size();
        if (!received.message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
            LOG_EVERY_N(WARNING, 1000) << "link message dropped: cannot be parsed";
            return false;
        }
        const link::envelope& message = received.message;
        if (message.echo_stamp() != 0 && message.echo_incarnation() == incarnation) {
            received.maximum_age = boot_clock::now() - from_stamp(message.echo_stamp());
        }
        return true;
    }

    void authenticate_peers()
    {
        const std::lock_guard lock(mutex);
        while ((zap.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
            authenticate_peer();
        }
    }

    // handles one ZAP request: whether the peer's key is accepted
    void authenticate_peer()
    {
        std::vector<zmq::message_t> frames;
        do {
            frames.emplace_back();
            static_cast<void>(zap.recv(frames.back()));
        } while (frames.back().more());
        constexpr std::size_t key_frame = 6;
        const bool is_known = frames.size() > key_frame &&
                              frames[key_frame].size() == detail::curve_key_bytes &&
                              is_accepted(detail::to_key_text(frames[key_frame].data()));
        const std::array<std::string, 6> reply{"1.0",
                                               frames.size() > 1 ? frames[1].to_string() : "",
                                               is_known ? "200" : "400",
                                               is_known ? "OK" : "key not accepted",
                                               "",
                                               ""};
        for (std::size_t i = 0; i < reply.size(); ++i) {
            const bool is_last = i + 1 == reply.size();
            zap.send(zmq::buffer(reply[i]),
                     is_last ? zmq::send_flags::none : zmq::send_flags::sndmore);
        }
    }

    [[nodiscard]] bool is_accepted(const std::string& key) const
    {
        const auto& accepted = settings.keys.accepted_keys;
        return key == settings.keys.public_key ||
               std::find(accepted.begin(), accepted.end(), key) != accepted.end();
    }
};

result<std::unique_ptr<messenger>> messenger::open(const options& settings, handler on_message)
{
    auto owned = std::make_unique<state>();
    owned->settings = settings;
    owned->on_message = std::move(on_message);
    owned->incarnation =
        settings.incarnation != 0 ? settings.incarnation : detail::random_incarnation();
    try {
        owned->bind();
    }
    catch (const zmq::error_t& failure) {
        return error{error_kind::link_unreachable, "bind", settings.listen, failure.what()};
    }
    std::unique_ptr<messenger> opened(new messenger(std::move(owned)));
    opened->m_state->worker = std::thread([raw = opened->m_state.get()] { raw->run(); });
    return opened;
}

messenger::messenger(std::unique_ptr<state> owned) : m_state(std::move(owned)) {}

messenger::~messenger()
{
    m_state->is_stopping = true;
    m_state->wake();
    m_state->worker.join();
}

void messenger::send_request(const std::string& address, link::envelope message)
{
    m_state->send(address, [&] { m_state->write_request(address, message); });
}

void messenger::send_reply(const std::string& route, link::envelope message)
{
    m_state->send(route, [&] { m_state->write_reply(route, message); });
}

void messenger::disconnect(const std::string& address)
{
    m_state->disconnect(address);
}

std::uint64_t messenger::incarnation() const noexcept
{
    return m_state->incarnation;
}

const std::string& messenger::listen_address() const noexcept
{
    return m_state->bound_address;
}

std::uint64_t messenger::bytes_sent() const noexcept
{
    return m_state->sent_bytes;
}

std::uint64_t messenger::bytes_received() const noexcept
{
    return m_state->received_bytes;
}

} // namespace hickorykeel
