#include "gateway/http/http_server.h"

#include <algorithm> // max, none_of
#include <utility>   // move, exchange

#include <asio/post.hpp> // post
#include <fmt/format.h>  // format

namespace hickorykeel::gateway {

namespace {

/// Bytes beyond the current request after which reading from its caller is paused: usually, and
/// while memory is scarce.
constexpr std::size_t usual_pending_bytes = 65'536;
constexpr std::size_t scarce_pending_bytes = 0;

constexpr int status_internal_error = 500;
constexpr int status_unavailable = 503;
constexpr std::string_view reject_retry_after = "1"; // seconds

/// Delay before the next attempt to accept after a failure.
constexpr duration accept_retry_delay = std::chrono::milliseconds{50};

} // namespace

// server_exchange

server_exchange::server_exchange(std::weak_ptr<server_connection> connection, message_head head,
                                 std::string body, memory_charge charge)
    : m_connection{std::move(connection)}, m_head{std::move(head)},
      m_content{std::make_shared<const content>(content{std::move(body), std::move(charge)})}
{
}

void server_exchange::finish(bool keeps_alive)
{
    m_is_done = true;
    m_on_disconnect = nullptr;
    const auto connection = m_connection.lock();
    if (connection == nullptr) {
        return;
    }
    if (keeps_alive) {
        connection->next_request();
    }
    else {
        connection->m_channel->close_after_sending();
        connection->on_end();
    }
}

void server_exchange::respond(int status, const header_list& headers, std::string_view body)
{
    const auto connection = m_connection.lock();
    if (m_is_done || connection == nullptr) {
        return;
    }
    const bool keeps_alive = connection->keeps_alive();
    const std::string_view shown = m_head.method == "HEAD" ? std::string_view{} : body;
    connection->m_channel->send(format_response(status, headers, shown, keeps_alive));
    finish(keeps_alive);
}

void server_exchange::respond(int status, const header_list& headers, body_buffer& body)
{
    if (body.size() <= memory_budget::max_small_bytes || m_head.method == "HEAD") {
        respond(status, headers, body.take_text());
        return;
    }
    const auto connection = m_connection.lock();
    if (m_is_done || connection == nullptr) {
        return;
    }
    const bool keeps_alive = connection->keeps_alive();
    connection->m_channel->send(format_response_head(status, headers, body.size(), keeps_alive));
    for (std::string& piece : body.take_pieces()) {
        connection->m_channel->send(piece);
        piece = {}; // the channel has a copy of what is unsent
    }
    finish(keeps_alive);
}

void server_exchange::begin(int status, const header_list& headers)
{
    if (const auto connection = m_connection.lock(); !m_is_done && connection != nullptr) {
        m_has_begun = true;
        m_keeps_alive = connection->keeps_alive();
        connection->m_channel->send(format_chunked_head(status, headers, m_keeps_alive));
    }
}

void server_exchange::send(std::string_view bytes)
{
    if (const auto connection = m_connection.lock();
        !m_is_done && connection != nullptr && !bytes.empty()) {
        connection->m_channel->send(format_chunk(bytes));
    }
}

void server_exchange::end()
{
    if (const auto connection = m_connection.lock(); !m_is_done && connection != nullptr) {
        connection->m_channel->send(last_chunk);
        finish(m_keeps_alive);
    }
}

void server_exchange::abort_response()
{
    const auto connection = m_connection.lock();
    if (!m_is_done && connection != nullptr) {
        m_is_done = true;
        m_on_disconnect = nullptr;
        connection->m_channel->close();
        connection->on_end();
    }
}

std::size_t server_exchange::unsent() const
{
    const auto connection = m_connection.lock();
    return connection == nullptr ? 0 : connection->m_channel->unsent();
}

// server_connection

server_connection::server_connection(http_server& owner, asio::ip::tcp::socket socket)
    : m_owner{owner}, m_registration{owner.m_registry.all(), this},
      m_channel{std::make_shared<tcp_channel>(std::move(socket))}, m_timer{owner.m_loop},
      m_parser{message_role::request, owner.m_limits.message}, m_pending_charge{owner.m_memory}
{
    m_parser.set_memory(owner.m_memory);
    m_channel->set_memory(owner.m_memory);
    ++m_owner.m_connections;
}

void server_connection::start()
{
    const auto self = shared_from_this();
    m_channel->set_handlers({
        .on_bytes = [self](std::string_view bytes) { self->on_bytes(bytes); },
        .on_end = [self](channel_end) { self->on_end(); },
        .on_drained = [self] { self->on_drained(); },
    });
    m_deadline = boot_clock::now() + m_owner.m_limits.idle_timeout;
    start_timer();
    m_channel->start_reading();
}

bool server_connection::keeps_alive() const
{
    return !m_owner.m_is_closing && m_parser.state() == parse_state::complete &&
           m_parser.head().keeps_alive;
}

void server_connection::on_bytes(std::string_view bytes)
{
    if (!m_is_counted) {
        // the last response is still being sent; the parser must not be fed after its end
        return;
    }
    if (m_exchange != nullptr || m_parses_pending) {
        m_pending.append(bytes);
        m_pending_charge.resize(m_pending.size());
        if (m_pending.size() > max_pending_bytes()) {
            m_channel->pause_reading();
        }
        return;
    }
    parse(bytes);
}

void server_connection::parse(std::string_view bytes)
{
    if (!m_parser.has_begun()) {
        // the limits may have changed while the connection was kept open
        m_parser.set_limits(m_owner.m_limits.message);
        m_deadline = boot_clock::now() + m_owner.m_limits.head_timeout;
        start_timer();
    }
    const std::size_t used = m_parser.feed(bytes);
    switch (m_parser.state()) {
    case parse_state::reading_head:
        break;
    case parse_state::reading_body:
        m_deadline = boot_clock::now() + m_owner.m_limits.idle_timeout;
        if (!m_sent_continue &&
            is_same_name(m_parser.head().headers.find("Expect"), "100-continue")) {
            m_sent_continue = true;
            m_channel->send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        break;
    case parse_state::complete:
        m_pending.assign(bytes.substr(used));
        m_pending_charge.resize(m_pending.size());
        start_exchange();
        break;
    case parse_state::out_of_memory:
        m_parser.body() = {};
        on_out_of_memory();
        break;
    case parse_state::malformed:
        reject(400, "malformed");
        break;
    case parse_state::head_too_large:
        reject(431, "head_too_large");
        break;
    case parse_state::body_too_large:
        reject(413, "body_too_large");
        break;
    }
}

void server_connection::start_exchange()
{
    m_exchange = std::make_shared<server_exchange>(
        weak_from_this(), m_parser.head(), std::move(m_parser.body()), m_parser.take_charge());
    m_exchange->m_is_out_of_memory = m_parser.state() == parse_state::out_of_memory;
    ++m_owner.m_active;
    m_timer.cancel();
    const auto exchange = m_exchange;
    try {
        m_owner.m_on_request(exchange);
    }
    catch (...) {
        // the caller gets an answer that promises nothing; the owner of the loop reports the failure
        if (exchange->m_has_begun) {
            exchange->abort_response();
        }
        else {
            exchange->respond(status_internal_error, {}, {});
        }
        throw;
    }
}

void server_connection::on_out_of_memory()
{
    const bool has_head = !m_parser.head().method.empty();
    if (has_head) {
        start_exchange();
    }
    else {
        reject(status_unavailable, "out_of_memory");
    }
}

std::size_t server_connection::max_pending_bytes() const noexcept
{
    const bool is_scarce = m_owner.m_memory != nullptr && m_owner.m_memory->is_scarce();
    return is_scarce ? scarce_pending_bytes : usual_pending_bytes;
}

void server_connection::reject(int status, std::string_view reason)
{
    if (m_owner.m_on_reject) {
        m_owner.m_on_reject(status, reason);
    }
    header_list headers;
    if (status == status_unavailable) {
        headers.add("Retry-After", std::string{reject_retry_after});
    }
    m_channel->send(format_response(status, headers, {}, false));
    m_channel->close_after_sending();
    on_end();
}

void server_connection::next_request()
{
    m_exchange = nullptr;
    --m_owner.m_active;
    m_parser.restart();
    m_sent_continue = false;
    m_deadline = boot_clock::now() + m_owner.m_limits.idle_timeout;
    start_timer();
    m_channel->resume_reading();
    if (!m_pending.empty()) {
        // from the loop: a request that is answered at once would nest the next one
        m_parses_pending = true;
        asio::post(m_owner.m_loop, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->parse_pending();
            }
        });
    }
}

void server_connection::parse_pending()
{
    m_parses_pending = false;
    if (!m_is_counted) {
        return;
    }
    const std::string bytes = std::exchange(m_pending, {});
    m_pending_charge.resize(0);
    parse(bytes);
}

void server_connection::on_end()
{
    if (!std::exchange(m_is_counted, false)) {
        return;
    }
    m_timer.cancel();
    --m_owner.m_connections;
    const auto exchange = std::exchange(m_exchange, nullptr);
    if (exchange == nullptr) {
        return;
    }
    --m_owner.m_active;
    if (!std::exchange(exchange->m_is_done, true) && exchange->m_on_disconnect) {
        const auto on_disconnect = std::move(exchange->m_on_disconnect);
        on_disconnect();
    }
}

/// Closes the connection as its server is destroyed. Its exchange has no effect any more.
void server_connection::abandon()
{
    m_channel->close();
    m_timer.cancel();
    m_is_counted = false;
    if (const auto exchange = std::exchange(m_exchange, nullptr)) {
        exchange->m_is_done = true;
        exchange->m_on_disconnect = nullptr;
    }
}

void server_connection::on_drained()
{
    if (m_exchange != nullptr && !m_exchange->m_is_done && m_exchange->m_on_drained) {
        m_exchange->m_on_drained();
    }
}

void server_connection::start_timer()
{
    m_timer.expires_after(
        std::max<duration>(m_deadline - boot_clock::now(), std::chrono::milliseconds{1}));
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code& failure) {
        if (const auto self = weak.lock(); !failure && self != nullptr) {
            self->on_timeout();
        }
    });
}

void server_connection::on_timeout()
{
    if (m_exchange != nullptr || m_parses_pending || !m_channel->is_open()) {
        return;
    }
    if (boot_clock::now() < m_deadline) {
        start_timer();
        return;
    }
    if (m_parser.has_begun()) {
        reject(408, "head_too_slow");
        return;
    }
    m_channel->close();
    on_end();
}

// http_server

http_server::~http_server()
{
    m_registry.for_each([](server_connection& connection) { connection.abandon(); });
}

result<bool> http_server::listen(const std::string& address)
{
    const auto local = to_tcp_endpoint(address);
    if (!local) {
        return error{error_kind::settings_invalid, "listen", address,
                     "address is not of the form ip:port"};
    }
    asio::error_code failure;
    m_acceptor.open(local->protocol(), failure);
    if (!failure) {
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address{true}, failure);
    }
    if (!failure) {
        m_acceptor.bind(*local, failure);
    }
    if (!failure) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        stop_listening();
        return error{error_kind::address_unavailable, "listen", address, failure.message()};
    }
    accept();
    return true;
}

void http_server::stop_listening()
{
    asio::error_code ignored; // the listener is not used any more
    m_acceptor.close(ignored);
}

bool http_server::is_idle() const
{
    return m_active == 0 &&
           std::ranges::none_of(*m_registry.all(), [](const server_connection* connection) {
               return connection->m_channel->is_open() &&
                      (connection->m_channel->unsent() > 0 || connection->m_parses_pending);
           });
}

void http_server::accept()
{
    // a handler that is due when the server is destroyed runs afterwards
    const auto is_closed = [this, lifetime = std::weak_ptr<void>{m_lifetime}] {
        return lifetime.expired() || !m_acceptor.is_open();
    };
    m_acceptor.async_accept(
        [this, is_closed](const asio::error_code& failure, asio::ip::tcp::socket socket) {
            if (is_closed()) {
                return;
            }
            if (!failure) {
                std::make_shared<server_connection>(*this, std::move(socket))->start();
                accept();
                return;
            }
            // probably out of file descriptors: retry later, when some may be free
            m_accept_timer.expires_after(accept_retry_delay);
            m_accept_timer.async_wait([this, is_closed](const asio::error_code& timer_failure) {
                if (!is_closed() && !timer_failure) {
                    accept();
                }
            });
        });
}

} // namespace hickorykeel::gateway
