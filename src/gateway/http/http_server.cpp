#include "gateway/http/http_server.h"

#include <algorithm> // max, min, none_of, sort
#include <utility>   // move, exchange
#include <vector>    // vector

#include <asio/post.hpp> // post
#include <fmt/format.h>  // format

namespace hickorykeel::gateway {

namespace {

/// Bytes received after the current request from which on reading is paused: usually, and while
/// memory is scarce.
constexpr std::size_t usual_pending_bytes = 65'536;
constexpr std::size_t scarce_pending_bytes = 1'024;

/// Unsent bytes of responses above which the next request of the connection has to wait.
constexpr std::size_t max_unread_bytes = 65'536;

/// Memory of a connection without its buffers.
constexpr std::size_t connection_bytes = 4'096;

/// Rate below which a request counts as received slowly. Slow requests are refused to make room for
/// others, only while memory or descriptors are short.
constexpr double reference_bytes_per_s = 65'536;

/// Time after which a client that reads nothing of a response may be closed where memory or
/// descriptors are short: for a response that is complete here, and for one under way.
constexpr duration min_unread_time = std::chrono::seconds{1};
constexpr duration min_unread_time_under_way = std::chrono::seconds{3};

/// Minimum time without progress of a request that is refused where memory is short. Requests that
/// arrive faster than the reference rate are not refused for the sake of others.
constexpr duration min_memory_idle_time = std::chrono::milliseconds{100};

/// Minimum time for which a connection is kept, so that its client can send a request.
constexpr duration min_connection_time = std::chrono::milliseconds{100};

/// Factor on the time without progress of a connection that has served no request, or is within a
/// request or response. A connection that is idle after a response has a factor of 1.
constexpr int suspicious_weight = 4;

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
    connection->m_acknowledged_at = std::max(connection->m_acknowledged_at, boot_clock::now());
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
        release(piece); // the channel has a copy of what is unsent
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
      m_parser{message_role::request, owner.m_limits.message}, m_pending_charge{owner.m_memory},
      m_own_charge{owner.m_memory}, m_last_received{boot_clock::now()}, m_acknowledged_at{
                                                                            m_last_received}
{
    m_own_charge.resize(connection_bytes);
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
           m_exchange->head().keeps_alive;
}

void server_connection::on_bytes(std::string_view bytes)
{
    if (!m_is_counted) {
        // the last response is still being sent; the parser must not be fed after its end
        return;
    }
    if (m_exchange != nullptr || m_parses_pending || m_waits_for_reader) {
        m_pending.erase(0, std::exchange(m_pending_at, 0));
        m_pending.append(bytes);
        m_pending_charge.resize(m_pending.capacity());
        limit_reading();
        return;
    }
    parse(bytes);
}

std::string_view server_connection::pending() const noexcept
{
    return std::string_view{m_pending}.substr(m_pending_at);
}

/// Bounds how much is received ahead while a request is being served.
void server_connection::limit_reading()
{
    const std::size_t max = max_pending_bytes();
    if (pending().size() >= max) {
        m_channel->pause_reading();
    }
    else {
        m_channel->set_max_read(max - pending().size());
        m_channel->resume_reading();
    }
}

/// Keeps what follows the first `used` bytes of `bytes`, which may be pending ones.
void server_connection::keep_pending(std::string_view bytes, std::size_t used)
{
    if (bytes.data() == pending().data()) {
        m_pending_at += used;
    }
    else {
        m_pending.assign(bytes.substr(used));
        m_pending_at = 0;
    }
    if (pending().empty()) {
        release(m_pending);
        m_pending_at = 0;
    }
    m_pending_charge.resize(m_pending.capacity());
}

/// Prepares for the first bytes of a request.
void server_connection::begin_request()
{
    // the limits may have changed while the connection was kept open
    m_parser.set_limits(m_owner.m_limits.message);
    m_received = 0;
    m_received_since = boot_clock::now();
    m_deadline = boot_clock::now() + m_owner.m_limits.head_timeout;
    start_timer();
}

/// Parses received bytes, and starts or rejects the request that they complete.
void server_connection::parse(std::string_view bytes)
{
    if (!m_parser.has_begun()) {
        begin_request();
    }
    m_received += bytes.size();
    m_last_received = boot_clock::now();
    m_is_parsing = true;
    const std::size_t used = m_parser.feed(bytes);
    m_is_parsing = false;
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
        keep_pending(bytes, used);
        limit_reading();
        start_exchange();
        break;
    case parse_state::out_of_memory:
        release(m_parser.body());
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
        weak_from_this(), m_parser.take_head(), std::move(m_parser.body()), m_parser.take_charge());
    m_exchange->m_is_out_of_memory = m_parser.state() == parse_state::out_of_memory;
    ++m_owner.m_active;
    m_timer.cancel();
    const auto exchange = m_exchange;
    try {
        m_owner.m_on_request(exchange);
    }
    catch (...) {
        // a status that doesn't say whether the request was executed; the owner of the loop reports
        // the exception
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
    if (m_owner.m_rejection_fields) {
        headers = m_owner.m_rejection_fields(m_parser.head(), reason);
    }
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
    m_has_served = true;
    m_last_received = boot_clock::now();
    m_deadline = m_last_received + m_owner.m_limits.idle_timeout;
    start_timer();
    if (m_channel->unsent() > max_unread_bytes) {
        m_waits_for_reader = true;
        limit_reading();
    }
    else {
        parse_soon();
    }
}

/// Continues with the requests that were received ahead.
void server_connection::parse_soon()
{
    if (pending().empty()) {
        m_channel->set_max_read(SIZE_MAX);
        m_channel->resume_reading();
    }
    else {
        limit_reading();
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
    parse(pending());
    if (m_is_counted && m_exchange == nullptr && !m_parses_pending && !m_waits_for_reader) {
        // the parser has consumed all pending bytes
        keep_pending(pending(), pending().size());
        m_channel->set_max_read(SIZE_MAX);
        m_channel->resume_reading();
    }
}

void server_connection::on_end()
{
    if (!std::exchange(m_is_counted, false)) {
        return;
    }
    m_timer.cancel();
    m_parser.discard();
    release(m_pending);
    m_pending_at = 0;
    m_pending_charge.resize(0);
    m_last_received = boot_clock::now();
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

/// Closes the connection when its server is destroyed. Calls of its exchange do nothing afterwards.
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
    m_acknowledged_at = boot_clock::now();
    if (std::exchange(m_waits_for_reader, false)) {
        m_last_received = m_acknowledged_at;
        m_deadline = m_acknowledged_at + m_owner.m_limits.idle_timeout;
        parse_soon();
        return;
    }
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
    record_progress(boot_clock::now());
    if (m_channel->unsent() > 0) {
        // a response is still being read
        m_deadline = std::max(m_deadline, m_acknowledged_at + m_owner.m_limits.idle_timeout);
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

// shortage

/// Returns the time of the last progress. Within a request it is the time by which the received
/// bytes would have arrived at the reference rate, so that a few bytes now and then don't count as
/// progress.
time_point server_connection::last_progress_at() const noexcept
{
    if (!m_parser.has_begun()) {
        return m_last_received;
    }
    const duration allowed = from_seconds(static_cast<double>(m_received) / reference_bytes_per_s);
    return std::min(m_last_received, m_received_since + allowed);
}

std::optional<duration> server_connection::eviction_score(scarce_resource resource,
                                                          time_point now) const
{
    if (m_is_parsing) {
        // the parser that asks for memory may be this connection's
        return std::nullopt;
    }
    const bool is_unread = m_channel->unsent() > 0;
    const duration unread_time = now - m_acknowledged_at;
    if (m_exchange != nullptr) {
        // never for memory: the memory may be needed for this very request
        const bool may_close = resource == scarce_resource::descriptor && is_unread &&
                               unread_time >= min_unread_time_under_way;
        return may_close ? std::optional{suspicious_weight * unread_time} : std::nullopt;
    }
    if (is_unread) {
        return unread_time >= min_unread_time ? std::optional{suspicious_weight * unread_time}
                                              : std::nullopt;
    }
    if (m_parses_pending) {
        return std::nullopt;
    }
    const duration idle_time = now - last_progress_at();
    if (resource == scarce_resource::memory) {
        const bool may_close =
            m_parser.has_begun() && m_is_counted && idle_time >= min_memory_idle_time;
        return may_close ? std::optional{idle_time} : std::nullopt;
    }
    if (!m_is_counted) {
        return duration::max(); // the last response has been sent
    }
    if (idle_time < min_connection_time) {
        return std::nullopt;
    }
    const bool is_suspicious = m_parser.has_begun() || !m_has_served;
    return is_suspicious ? suspicious_weight * idle_time : idle_time;
}

void server_connection::evict(scarce_resource resource)
{
    const auto self = shared_from_this();
    if (m_owner.m_on_shortage) {
        m_owner.m_on_shortage(resource);
    }
    if (m_is_counted && m_exchange == nullptr && m_parser.has_begun()) {
        reject(status_unavailable,
               resource == scarce_resource::memory ? "out_of_memory" : "too_many_connections");
        if (resource == scarce_resource::memory) {
            return; // the refusal is still being sent
        }
    }
    m_channel->close();
    on_end();
}

void server_connection::record_progress(time_point now)
{
    const bool has_unread = m_channel->unsent() > 0;
    const std::uint64_t acknowledged = has_unread ? m_channel->acknowledged() : m_acknowledged;
    if (!has_unread || acknowledged != m_acknowledged) {
        m_acknowledged = acknowledged;
        m_acknowledged_at = now;
    }
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

std::shared_ptr<server_connection> http_server::eviction_candidate(scarce_resource resource,
                                                                   time_point now) const
{
    return find_candidate(resource, now, false);
}

/// Returns the connection with the highest eviction score.
/// @param of_served only among those that have not ended
std::shared_ptr<server_connection> http_server::find_candidate(scarce_resource resource,
                                                               time_point now, bool of_served) const
{
    server_connection* found = nullptr;
    duration highest = duration::min();
    for (server_connection* connection : *m_registry.all()) {
        if (!connection->m_channel->is_open() || (of_served && !connection->m_is_counted)) {
            continue;
        }
        const std::optional<duration> score = connection->eviction_score(resource, now);
        if (score && *score > highest) {
            highest = *score;
            found = connection;
        }
    }
    return found == nullptr ? nullptr : found->shared_from_this();
}

void http_server::record_progress(time_point now)
{
    for (server_connection* connection : *m_registry.all()) {
        connection->record_progress(now);
    }
}

void http_server::close_unread(time_point now)
{
    const auto is_short = [this] { return m_memory != nullptr && m_memory->is_short(); };
    std::vector<std::shared_ptr<server_connection>> unread;
    for (server_connection* connection : *m_registry.all()) {
        const duration unread_time = now - connection->m_acknowledged_at;
        const bool is_over = !connection->m_is_counted && unread_time >= m_limits.idle_timeout;
        const duration min_time =
            connection->m_exchange != nullptr ? min_unread_time_under_way : min_unread_time;
        const bool is_dispensable = is_short() && unread_time >= min_time;
        if ((is_over || is_dispensable) && connection->m_channel->unsent() > 0) {
            unread.push_back(connection->shared_from_this());
        }
    }
    std::ranges::sort(unread, {}, [](const auto& held) { return held->m_acknowledged_at; });
    for (const auto& connection : unread) {
        const duration unread_time = now - connection->m_acknowledged_at;
        if (is_short() || unread_time >= m_limits.idle_timeout) {
            connection->evict(scarce_resource::memory);
        }
    }
}

/// Closes the connection with the highest eviction score. Returns whether there was one.
/// @param of_served only among those that have not ended
bool http_server::make_room(bool of_served)
{
    const auto found = find_candidate(scarce_resource::descriptor, boot_clock::now(), of_served);
    if (found != nullptr) {
        found->evict(scarce_resource::descriptor);
    }
    return found != nullptr;
}

/// Waits for the next connection and accepts it. If the server is full, first closes another one.
void http_server::accept()
{
    if (!is_full() && !has_all_served()) {
        accept_now();
        return;
    }
    m_acceptor.async_wait(
        asio::ip::tcp::acceptor::wait_read,
        [this, lifetime = std::weak_ptr<void>{m_lifetime}](const asio::error_code& failure) {
            // a handler that is due when the server is destroyed runs afterwards
            if (lifetime.expired() || !m_acceptor.is_open()) {
                return;
            }
            if (failure || !may_accept()) {
                accept_later();
            }
            else {
                accept_now();
            }
        });
}

void http_server::accept_now()
{
    m_acceptor.async_accept([this, lifetime = std::weak_ptr<void>{m_lifetime}](
                                const asio::error_code& failure, asio::ip::tcp::socket socket) {
        if (lifetime.expired() || !m_acceptor.is_open()) {
            return;
        }
        if (!failure) {
            const auto connection = std::make_shared<server_connection>(*this, std::move(socket));
            connection->start();
            if (m_refusal_connections > 0 &&
                m_connections > m_max_connections - m_refusal_connections) {
                connection->reject(status_unavailable, "too_many_connections");
            }
            accept();
            return;
        }
        // the usual cause is that no descriptor is left
        make_room(false);
        accept_later();
    });
}

bool http_server::is_full() const
{
    return m_registry.all()->size() >= m_max_connections;
}

/// Whether a further connection would have to be refused.
bool http_server::has_all_served() const
{
    return m_refusal_connections > 0 && m_connections >= m_max_connections - m_refusal_connections;
}

/// Closes connections until a further one may be accepted, to be served or refused. Returns whether
/// it may.
bool http_server::may_accept()
{
    if (has_all_served()) {
        make_room(true);
    }
    return !is_full() || make_room(false);
}

void http_server::accept_later()
{
    m_accept_timer.expires_after(accept_retry_delay);
    m_accept_timer.async_wait(
        [this, lifetime = std::weak_ptr<void>{m_lifetime}](const asio::error_code& cancelled) {
            if (!lifetime.expired() && m_acceptor.is_open() && !cancelled) {
                accept();
            }
        });
}

} // namespace hickorykeel::gateway
