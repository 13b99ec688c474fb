#pragma once

#include "gateway/http/message_parser.h"
#include "gateway/http/request_id_set.h"
#include "gateway/http/tcp_channel.h"
#include "gateway/instance_registry.h"
#include "process/clock.h"

#include <chrono>        // milliseconds
#include <cstddef>       // size_t
#include <cstdint>       // SIZE_MAX, uint64_t
#include <functional>    // function
#include <memory>        // enable_shared_from_this, shared_ptr, weak_ptr
#include <optional>      // optional
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <utility>       // move
#include <vector>        // vector

namespace hickorykeel::gateway {

class http_client;

/// How a call ended.
enum class call_end {
    complete,      ///< a complete response was received
    refused,       ///< the peer's machine refused the connection; no byte was sent
    not_connected, ///< no connection otherwise; no byte of the request was sent
    not_accepted,  ///< the peer reset the connection as it was established; no byte was sent
    no_response,   ///< connection ended after the request, before any byte of a response
    broken,        ///< the connection ended within the response
    malformed,     ///< no valid response, or one over the size limits
    out_of_memory, ///< the memory budget did not admit the response's head
};

[[nodiscard]] std::string_view to_name(call_end end) noexcept;

/// Options of one call: a request to a server, and its response.
struct call_options {
    std::string address; ///< "ip:port"
    /// Id that the peer's response repeats; empty: none. A connection carries an id only once.
    std::string request_id = {};
    duration max_idle_time = std::chrono::seconds{60}; ///< of a connection that may be reused
    duration connect_timeout = std::chrono::milliseconds{500};
    std::size_t max_idle_connections = 24; ///< to the address, after the call
    /// Maximum size of what `call_handlers::on_body` leaves of a response's body.
    std::size_t max_response_bytes = 67'108'864;
};

/// Handlers of a call. They run on the loop's thread, and never after `cancel()`.
struct call_handlers {
    /// The request was passed to an established connection; it may be executed from now on.
    std::function<void()> on_sent = {};
    std::function<void(const message_head&)> on_head = {};
    std::function<void(std::string&)> on_body = {}; ///< unread bytes; may be moved out
    std::function<void(call_end)> on_end;           ///< called last
};

/// Client connection for one call at a time.
///
/// A peer may send a response twice, and the copy may arrive where the next response is due. It
/// carries the id of its request, so it is recognised as long as the connection carries no two
/// requests with the same id. A connection that can't remember more ids is closed.
///
/// Thread safety: none; all calls come from the loop's thread.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    /// @param number of the connection among those that `owner` has opened, from 1
    client_connection(asio::io_context& loop, http_client& owner, std::string address,
                      std::uint64_t number);

    void begin(outgoing_request request, const call_options& options, call_handlers handlers);

    /// Number of the connection among those that its client has opened, from 1.
    [[nodiscard]] std::uint64_t number() const noexcept { return m_number; }

    /// Number of calls that have begun on the connection.
    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }

    /// Ends the call without its handlers and closes the connection.
    void cancel();

    /// Stops or resumes reading; while stopped, TCP flow control holds the peer back. The end of
    /// the call resumes it.
    void pause() { m_channel->pause_reading(); }

    void resume() { m_channel->resume_reading(); }

    /// Sets the maximum number of bytes of a response that are passed on at once, until the next
    /// call on the connection. Precondition: `bytes` > 0.
    void set_max_read(std::size_t bytes) noexcept { m_channel->set_max_read(bytes); }

private:
    friend class http_client;

    void open(duration timeout);
    void send(const outgoing_request& request);
    void on_bytes(std::string_view bytes);
    void on_end(channel_end how);
    void deliver();
    void complete(bool has_extra_bytes);
    [[nodiscard]] bool is_reusable() const;
    void finish(call_end how);
    [[nodiscard]] std::optional<duration> stated_idle_time() const;

    http_client& m_owner;
    instance_registry<client_connection>::entry m_registration;
    std::string m_address;
    std::uint64_t m_number;
    std::uint64_t m_calls = 0;
    std::size_t m_max_idle = 0; // connections to the address
    request_id_set m_carried_ids;
    std::shared_ptr<tcp_channel> m_channel;
    message_parser m_parser;
    call_handlers m_handlers;
    std::optional<outgoing_request> m_request; // until the connection is established
    time_point m_idle_since{};
    time_point m_reusable_until{};
    bool m_has_idle_time = false; // stated by the peer
    bool m_is_connected = false;
    bool m_is_busy = false;
    bool m_head_delivered = false;
};

/// HTTP/1.1 client with persistent connections, for calls to endpoints, peer hosts and the source
/// of the configuration.
///
/// Thread safety: none; used on the loop's thread only. The destructor ends the calls under way.
class http_client {
public:
    explicit http_client(asio::io_context& loop) : m_loop{loop} {}
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Ends all calls without their handlers. The loop must still exist.
    ~http_client();

    /// Sets the handler that is called with the address of a peer that ends an idle connection
    /// earlier than it has said in its last response.
    void set_on_idle_end(std::function<void(const std::string& address)> on_idle_end)
    {
        m_on_idle_end = std::move(on_idle_end);
    }

    /// Charges the heads of responses and the unsent bytes of connections that are opened from now
    /// on to `budget`.
    void set_memory(std::shared_ptr<memory_budget> budget) { m_memory = std::move(budget); }

    /// Keeps at most `count` idle connections, to all addresses together. Beyond it, the one that has
    /// been idle for the longest time is closed.
    void set_max_idle(std::size_t count) noexcept { m_max_idle = count; }

    /// Starts a call on a new connection, or on an idle one that has carried no request with the
    /// same id. `request` is the complete request, as formatted by `format_request()`.
    std::shared_ptr<client_connection> call(const call_options& options, outgoing_request request,
                                            call_handlers handlers);
    std::shared_ptr<client_connection> call(const call_options& options, std::string request,
                                            call_handlers handlers)
    {
        return call(options, outgoing_request{std::move(request)}, std::move(handlers));
    }

    /// Whether the handler of idle ends would be called if the peer at `address` ended before `until`:
    /// there is an idle connection that it has promised to keep for so long.
    [[nodiscard]] bool would_see_end(const std::string& address, time_point until) const;

    /// Whether there is an open idle connection to `address`.
    [[nodiscard]] bool has_idle(const std::string& address) const;

    /// Number of connections created since the start, failed ones included.
    [[nodiscard]] std::uint64_t connections_opened() const noexcept { return m_opened; }

    /// Number of times that bytes arrived which belong to no call: after a complete response, or on
    /// an idle connection. The connection is closed then.
    [[nodiscard]] std::uint64_t unexpected_responses() const noexcept { return m_unexpected; }

private:
    friend class client_connection;

    std::shared_ptr<client_connection> take_idle(const call_options& options);
    void add_idle(const std::shared_ptr<client_connection>& connection);
    void remove_idle(const client_connection& connection);
    void close_longest_idle();

    asio::io_context& m_loop;
    instance_registry<client_connection> m_registry;
    std::unordered_map<std::string, std::vector<std::shared_ptr<client_connection>>> m_idle;
    std::shared_ptr<memory_budget> m_memory; // may be null
    std::function<void(const std::string&)> m_on_idle_end;
    std::size_t m_max_idle = SIZE_MAX;
    std::size_t m_idle_count = 0; // connections in `m_idle`
    std::uint64_t m_opened = 0;
    std::uint64_t m_unexpected = 0;
};

} // namespace hickorykeel::gateway
