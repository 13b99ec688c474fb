#pragma once

#include "gateway/http/connection_registry.h"
#include "gateway/http/message_parser.h"
#include "gateway/http/tcp_channel.h"
#include "process/clock.h"

#include <chrono>        // milliseconds
#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <functional>    // function
#include <memory>        // enable_shared_from_this, shared_ptr, weak_ptr
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace hickorykeel::gateway {

class http_client;

/// How a call ended.
enum class call_end {
    complete,      ///< a whole response
    not_connected, ///< no byte of the request was sent
    no_response,   ///< sent, and the connection ended without a byte of a response
    broken,        ///< the response ended early
    malformed,     ///< bytes that are no response, or more than one
};

[[nodiscard]] std::string_view to_name(call_end end) noexcept;

/// One request to a peer, and its response.
struct call_options {
    std::string address;                               ///< "ip:port"
    duration max_idle_time = std::chrono::seconds{60}; ///< of a kept connection that is used again
    duration connect_timeout = std::chrono::milliseconds{500};
    std::size_t max_response_bytes = 16'777'216; ///< largest body that is accepted
};

/// Handlers of a call. They run on the loop's thread, and never after `cancel()`.
struct call_handlers {
    std::function<void()> on_sent = {}; ///< handed to an established connection
    std::function<void(const message_head&)> on_head = {};
    std::function<void(std::string&)> on_body = {}; ///< bytes so far; the handler may take them
    std::function<void(call_end)> on_end;           ///< last
};

/// Connection of the client: one call at a time.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    client_connection(asio::io_context& loop, http_client& owner, std::string address);

    void begin(std::string request, bool has_no_body, const call_options& options,
               call_handlers handlers);

    /// Ends the call without its handlers and closes the connection.
    void cancel();

    /// Holds the peer back, or lets it go on.
    void pause() { m_channel->pause_reading(); }
    void resume() { m_channel->resume_reading(); }

private:
    friend class http_client;

    void open(duration timeout);
    void on_bytes(std::string_view bytes);
    void on_end(channel_end how);
    void deliver();
    void complete(bool has_extra_bytes);
    void finish(call_end how);
    [[nodiscard]] duration idle_time() const;

    http_client& m_owner;
    connection_registry<client_connection>::entry m_live;
    std::string m_address;
    std::shared_ptr<tcp_channel> m_channel;
    message_parser m_parser;
    call_handlers m_handlers;
    std::string m_request;
    time_point m_idle_since{};
    time_point m_reusable_until{};
    bool m_is_connected = false;
    bool m_is_busy = false;
    bool m_head_delivered = false;
};

/// HTTP/1.1 client with kept connections: endpoints, other hosts and the configuration's source
/// are all called through it.
///
/// Thread safety: none; all calls come from the loop's thread. Outlives its calls.
class http_client {
public:
    explicit http_client(asio::io_context& loop) : m_loop{loop} {}
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Ends all calls without their handlers. The loop must still exist.
    ~http_client();

    /// Starts a call. `request` is the whole request as `format_request` makes it.
    std::shared_ptr<client_connection> call(const call_options& options, std::string request,
                                            call_handlers handlers);

    [[nodiscard]] std::uint64_t connections_opened() const noexcept { return m_opened; }

private:
    friend class client_connection;

    std::shared_ptr<client_connection> take_idle(const call_options& options);
    void keep(const std::shared_ptr<client_connection>& connection);
    void drop(const client_connection& connection);

    asio::io_context& m_loop;
    connection_registry<client_connection> m_live;
    std::unordered_map<std::string, std::vector<std::shared_ptr<client_connection>>> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace hickorykeel::gateway
