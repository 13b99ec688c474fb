#pragma once

#include "gateway/http/body_buffer.h"
#include "gateway/http/message_parser.h"
#include "gateway/http/tcp_channel.h"
#include "gateway/instance_registry.h"
#include "process/clock.h"
#include "process/error.h"

#include <chrono>      // milliseconds, seconds
#include <cstddef>     // size_t
#include <cstdint>     // SIZE_MAX, uint8_t, uint64_t
#include <functional>  // function
#include <memory>      // enable_shared_from_this, shared_ptr, weak_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include <asio/ip/tcp.hpp> // tcp

namespace hickorykeel::gateway {

class http_server;
class server_connection;

/// Limits on messages and waiting times of a caller's connection.
struct server_limits {
    message_limits message = {};
    duration head_timeout = std::chrono::seconds{3};  ///< from the first byte to the complete head
    duration idle_timeout = std::chrono::seconds{15}; ///< between requests or bytes of a body
};

/// A resource that is freed by closing connections.
enum class scarce_resource : std::uint8_t { memory, descriptor };

/// One request received on a connection, and its response.
///
/// Calls after the end of the response or after the caller's disconnect do nothing.
/// Thread safety: none; all calls come from the loop's thread.
class server_exchange {
public:
    server_exchange(std::weak_ptr<server_connection> connection, message_head head,
                    std::string body, memory_charge charge);

    [[nodiscard]] const message_head& head() const noexcept { return m_head; }
    [[nodiscard]] const std::string& body() const noexcept { return m_content->body; }

    /// The body, for owners that may outlive this object.
    [[nodiscard]] shared_bytes shared_body() const { return {m_content, &m_content->body}; }

    /// Whether the body was discarded, since the memory budget did not admit it. The connection
    /// closes after the response.
    [[nodiscard]] bool is_out_of_memory() const noexcept { return m_is_out_of_memory; }

    /// Sets the handler that is called once if the caller disconnects before the response's end.
    void set_on_disconnect(std::function<void()> on_disconnect)
    {
        m_on_disconnect = std::move(on_disconnect);
    }

    /// Sets the handler that is called each time the kernel has accepted all bytes that were sent.
    void set_on_drained(std::function<void()> on_drained) { m_on_drained = std::move(on_drained); }

    /// @name response
    /// @{

    /// Sends a complete response. The body of a response to HEAD is not sent.
    void respond(int status, const header_list& headers, std::string_view body);

    /// The same with a body in pieces, which is left empty.
    void respond(int status, const header_list& headers, body_buffer& body);

    /// Sends the head of a chunked response; `send()` adds chunks and `end()` completes it.
    /// Precondition of `send()` and `end()`: `begin()` has been called.
    void begin(int status, const header_list& headers);
    void send(std::string_view bytes);
    void end();

    /// Closes the connection within the response, so that the caller sees it as incomplete.
    void abort_response();

    /// Bytes of the response that the kernel has not accepted yet.
    [[nodiscard]] std::size_t unsent() const;
    [[nodiscard]] bool is_open() const noexcept { return !m_connection.expired() && !m_is_done; }
    /// @}

private:
    friend class server_connection;

    /// The body, with its charge and that of the head.
    struct content {
        std::string body;
        memory_charge charge;
    };

    void finish(bool keeps_alive);

    std::weak_ptr<server_connection> m_connection;
    message_head m_head;
    std::shared_ptr<const content> m_content;
    bool m_is_out_of_memory = false;
    std::function<void()> m_on_disconnect;
    std::function<void()> m_on_drained;
    bool m_is_done = false;
    bool m_has_begun = false;
    bool m_keeps_alive = false; // what the head of a chunked response has promised
};

/// A caller's connection, which serves its requests one after another.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(http_server& owner, asio::ip::tcp::socket socket);

    void start();

    /// @name shortage
    /// @{

    /// Returns the priority for closing the connection while `resource` is short, or nothing if it
    /// must not be closed: the time without progress, with a larger weight for what clients that
    /// keep to the limits rarely do.
    [[nodiscard]] std::optional<duration> eviction_score(scarce_resource resource,
                                                         time_point now) const;

    /// Closes the connection to free `resource`. A request that hasn't been received completely is
    /// refused with 503, not run.
    void evict(scarce_resource resource);

    /// Whether bytes of the connection are being parsed.
    [[nodiscard]] bool is_parsing() const noexcept { return m_is_parsing; }

    /// Records whether the client has acknowledged bytes of a response since the last call.
    void record_progress(time_point now);
    /// @}

private:
    friend class server_exchange;
    friend class http_server;

    void on_bytes(std::string_view bytes);
    void begin_request();
    void parse(std::string_view bytes);
    void keep_pending(std::string_view bytes, std::size_t used);
    [[nodiscard]] std::string_view pending() const noexcept;
    void start_exchange();
    void on_out_of_memory();
    [[nodiscard]] std::size_t max_pending_bytes() const noexcept;
    void limit_reading();
    void reject(int status, std::string_view reason);
    void on_end();
    void abandon();
    void on_drained();
    void next_request();
    void parse_soon();
    void parse_pending();
    void start_timer();
    void on_timeout();
    [[nodiscard]] bool keeps_alive() const;
    [[nodiscard]] time_point last_progress_at() const noexcept;

    http_server& m_owner;
    instance_registry<server_connection>::entry m_registration;
    std::shared_ptr<tcp_channel> m_channel;
    asio::steady_timer m_timer;
    message_parser m_parser;
    std::shared_ptr<server_exchange> m_exchange; // the current request; null between requests
    std::string m_pending;                       // bytes received after the current request
    std::size_t m_pending_at = 0; // position in `m_pending` of the first byte not parsed
    memory_charge m_pending_charge;
    time_point m_deadline{}; // end of the wait for a request or its next bytes
    bool m_sent_continue = false;
    memory_charge m_own_charge; // of the connection itself
    std::size_t m_received = 0; // bytes of the request that is being received
    time_point m_received_since{};
    time_point m_last_received{};     // last receipt of bytes, or end of the last response
    std::uint64_t m_acknowledged = 0; // bytes of responses, at the last call of record_progress()
    time_point m_acknowledged_at{};   // last time with progress, or with nothing unacknowledged
    bool m_has_served = false;        // a request was served
    bool m_is_parsing = false;
    bool m_parses_pending = false;   // a call of parse_pending() is posted to the loop
    bool m_waits_for_reader = false; // parsing is paused until the client has read the responses
    bool m_is_counted = true;        // in the owner's number of connections; false after the end
};

/// Accepts connections and passes their requests to a handler.
///
/// Thread safety: none; used on the loop's thread only. The destructor closes all connections.
class http_server {
public:
    using handler = std::function<void(const std::shared_ptr<server_exchange>&)>;

    http_server(asio::io_context& loop, handler on_request)
        : m_loop{loop}, m_acceptor{loop}, m_accept_timer{loop}, m_on_request{std::move(on_request)}
    {
    }

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Closes all connections. The loop must still exist, and may go on.
    ~http_server();

    /// Charges the requests and unsent bytes of connections that are accepted from now on to
    /// `budget`, which may refuse requests.
    void set_memory(std::shared_ptr<memory_budget> budget) { m_memory = std::move(budget); }

    /// Keeps at most `count` connections, including those whose last response is being sent. To
    /// accept a further one, the connection with the highest eviction score is closed; while none
    /// can be closed, no connection is accepted.
    void set_max_connections(std::size_t count) noexcept { m_max_connections = count; }

    /// Serves at most `max_connections - count` connections and keeps `count` to refuse further ones:
    /// if none can be closed for a new one, it gets a 503 at once. For clients that count a request
    /// that is written to a connection without a response as possibly executed.
    /// Precondition: `count` is less than the number of `set_max_connections()`.
    void set_refusal_connections(std::size_t count) noexcept { m_refusal_connections = count; }

    /// Listens at `address` ("ip:port") and starts to accept connections. Fails if the address is
    /// malformed (`settings_invalid`) or can't be bound (`address_unavailable`); it may be called
    /// again then.
    result<bool> listen(const std::string& address);

    [[nodiscard]] bool is_listening() const { return m_acceptor.is_open(); }

    /// Port at which the server listens. Precondition: `listen()` has succeeded.
    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// Stops accepting connections; existing ones stay open.
    void stop_listening();

    /// From now on closes each connection after its next response. If the head of a response under
    /// way has announced that the connection is kept, it is closed after the response that follows.
    void announce_close() noexcept { m_is_closing = true; }

    /// Sets the handler that is called for each request rejected before it reaches `on_request`.
    void set_on_reject(std::function<void(int status, std::string_view reason)> on_reject)
    {
        m_on_reject = std::move(on_reject);
    }

    /// Sets the function that returns further fields for the response to a rejected request.
    /// `received` is the part of its head that has been received.
    void set_rejection_fields(
        std::function<header_list(const message_head& received, std::string_view reason)> fields)
    {
        m_rejection_fields = std::move(fields);
    }

    /// Sets the handler that is called for each connection that is closed to free `resource`.
    void set_on_shortage(std::function<void(scarce_resource resource)> on_shortage)
    {
        m_on_shortage = std::move(on_shortage);
    }

    /// Sets the limits. Those on messages apply from the next request of each connection on.
    void set_limits(server_limits limits) noexcept { m_limits = limits; }

    /// Number of open connections.
    [[nodiscard]] std::size_t connections() const noexcept { return m_connections; }

    /// Number of requests without a complete response.
    [[nodiscard]] std::size_t active() const noexcept { return m_active; }

    /// Whether no request is without a complete response, and the kernel has accepted all bytes of
    /// the responses, so that the process can end without cutting one off. Linear in the
    /// connections.
    [[nodiscard]] bool is_idle() const;

    /// @name shortage
    /// Linear in the connections.
    /// @{

    /// Returns the connection with the highest eviction score for `resource`, or null if none may
    /// be closed.
    [[nodiscard]] std::shared_ptr<server_connection> eviction_candidate(scarce_resource resource,
                                                                        time_point now) const;

    /// Records which clients read their responses. To be called at least twice a second.
    void record_progress(time_point now);

    /// Closes connections that wait for their client to read the last response and have seen no
    /// progress for the idle timeout. While memory is short, also closes others whose responses
    /// aren't read, those without progress for the longest time first.
    void close_unread(time_point now);
    /// @}

private:
    friend class server_connection;
    friend class server_exchange;

    void accept();
    void accept_now();
    void accept_later();
    [[nodiscard]] bool is_full() const;
    [[nodiscard]] bool has_all_served() const;
    [[nodiscard]] bool may_accept();
    bool make_room(bool of_served);
    [[nodiscard]] std::shared_ptr<server_connection>
    find_candidate(scarce_resource resource, time_point now, bool of_served) const;

    asio::io_context& m_loop;
    instance_registry<server_connection> m_registry;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_accept_timer; // delays the next accept after a failure
    handler m_on_request;
    std::function<void(int, std::string_view)> m_on_reject;
    server_limits m_limits;
    std::shared_ptr<memory_budget> m_memory; // may be null
    std::function<void(scarce_resource)> m_on_shortage;
    std::function<header_list(const message_head&, std::string_view)> m_rejection_fields;
    std::size_t m_max_connections = SIZE_MAX;
    std::size_t m_refusal_connections = 0;
    std::size_t m_connections = 0; // that have not ended
    std::size_t m_active = 0;
    bool m_is_closing = false;
    std::shared_ptr<void> m_lifetime = std::make_shared<char>(); ///< ends with the server
};

} // namespace hickorykeel::gateway
