#include "gateway/http/http_client.h"

#include <algorithm> // any_of, find_if, min
#include <array>     // array
#include <charconv>  // from_chars
#include <cstddef>   // ptrdiff_t, size_t
#include <utility>   // exchange, move

#include <asio/post.hpp> // post

namespace hickorykeel::gateway {

namespace {

constexpr std::size_t max_response_head_bytes = 65'536;

/// Idle time after which a connection is not reused; less if the peer's Keep-Alive timeout is
/// short.
constexpr duration default_idle_time = std::chrono::seconds{4};

/// Margin below the peer's timeout: a request may be in transit when the peer closes.
constexpr duration idle_margin = std::chrono::milliseconds{1'000};

/// Returns how a call ends whose connection ended as `how` before it was established.
call_end to_unconnected_end(channel_end how) noexcept
{
    switch (how) {
    case channel_end::refused:
        return call_end::refused;
    case channel_end::reset:
        return call_end::not_accepted;
    default:
        return call_end::not_connected;
    }
}

} // namespace

std::string_view to_name(call_end end) noexcept
{
    constexpr std::array<std::string_view, 8> names{"complete",     "refused",      "not_connected",
                                                    "not_accepted", "no_response",  "broken",
                                                    "malformed",    "out_of_memory"};
    return names[static_cast<std::size_t>(end)];
}

client_connection::client_connection(asio::io_context& loop, http_client& owner,
                                     std::string address, std::uint64_t number)
    : m_owner{owner}, m_registration{owner.m_registry.all(), this}, m_address{std::move(address)},
      m_number{number}, m_channel{std::make_shared<tcp_channel>(loop)}, m_parser{
                                                                            message_role::response,
                                                                            {}}
{
    m_parser.set_memory(owner.m_memory);
    m_channel->set_memory(owner.m_memory);
}

void client_connection::begin(outgoing_request request, const call_options& options,
                              call_handlers handlers)
{
    ++m_calls;
    m_max_idle = options.max_idle_connections;
    m_carried_ids.insert(options.request_id);
    m_is_busy = true;
    m_head_delivered = false;
    m_handlers = std::move(handlers);
    m_channel->set_max_read(SIZE_MAX);
    m_parser.restart();
    m_parser.set_limits({max_response_head_bytes, options.max_response_bytes});
    if (request.head.starts_with("HEAD ")) {
        m_parser.expect_no_body();
    }
    if (m_is_connected) {
        send(request);
        return;
    }
    m_request = std::move(request);
    open(options.connect_timeout);
}

void client_connection::open(duration timeout)
{
    const auto peer = to_tcp_endpoint(m_address);
    if (!peer) {
        asio::post(m_owner.m_loop, [self = shared_from_this()] {
            if (self->m_is_busy) {
                self->finish(call_end::not_connected);
            }
        });
        return;
    }
    // the channel's handlers keep this connection alive until the channel is closed
    const auto self = shared_from_this();
    m_channel->set_handlers({
        .on_bytes = [self](std::string_view bytes) { self->on_bytes(bytes); },
        .on_end = [self](channel_end how) { self->on_end(how); },
        .on_connected =
            [self] {
                self->m_is_connected = true;
                self->send(*std::exchange(self->m_request, {}));
            },
    });
    m_channel->connect(*peer, timeout);
}

void client_connection::send(const outgoing_request& request)
{
    m_channel->send(request.head);
    if (request.body != nullptr) {
        m_channel->send(request.body);
    }
    if (m_handlers.on_sent) {
        m_handlers.on_sent();
    }
}

void client_connection::cancel()
{
    m_is_busy = false;
    // a handler may be running: handlers are destroyed only after it has returned
    asio::post(m_owner.m_loop, [keep = std::move(m_handlers)] {});
    m_handlers = {};
    m_owner.remove_idle(*this);
    m_channel->close();
}

void client_connection::on_bytes(std::string_view bytes)
{
    if (!m_is_busy) {
        // no request is pending, so the bytes are no response
        ++m_owner.m_unexpected;
        m_owner.remove_idle(*this);
        m_channel->close();
        return;
    }
    const std::size_t used = m_parser.feed(bytes);
    if (m_parser.is_failed()) {
        finish(m_parser.state() == parse_state::out_of_memory ? call_end::out_of_memory
                                                              : call_end::malformed);
        return;
    }
    const auto self = shared_from_this();
    deliver();
    if (m_is_busy && m_parser.state() == parse_state::complete) {
        complete(used < bytes.size());
    }
}

void client_connection::deliver()
{
    if (m_parser.state() == parse_state::reading_head) {
        return;
    }
    if (!m_head_delivered) {
        m_head_delivered = true;
        if (m_handlers.on_head) {
            m_handlers.on_head(m_parser.head());
        }
    }
    if (m_is_busy && m_handlers.on_body && !m_parser.body().empty()) {
        m_handlers.on_body(m_parser.body());
    }
}

void client_connection::on_end(channel_end how)
{
    m_owner.remove_idle(*this);
    if (!m_is_busy) {
        const bool is_early = m_has_idle_time && boot_clock::now() < m_reusable_until;
        if (is_early && m_owner.m_on_idle_end) {
            m_owner.m_on_idle_end(m_address);
        }
        return;
    }
    if (!m_is_connected) {
        finish(to_unconnected_end(how));
        return;
    }
    if (!m_parser.has_begun()) {
        finish(call_end::no_response);
        return;
    }
    if (how == channel_end::finished) {
        m_parser.finish();
        if (m_parser.state() == parse_state::complete) {
            finish(call_end::complete);
            return;
        }
    }
    finish(call_end::broken);
}

/// Returns for how long the connection may be idle by the peer's word, less a margin; nothing if it
/// hasn't said so.
std::optional<duration> client_connection::stated_idle_time() const
{
    const std::string_view text = m_parser.head().headers.find("Keep-Alive");
    const std::size_t at = text.find("timeout=");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    std::int64_t seconds = 0;
    const char* first = text.data() + at + std::string_view{"timeout="}.size();
    std::from_chars(first, text.data() + text.size(), seconds);
    return std::min<duration>(std::chrono::seconds{seconds}, default_idle_time + idle_margin) -
           idle_margin;
}

void client_connection::complete(bool has_extra_bytes)
{
    m_owner.m_unexpected += has_extra_bytes ? 1 : 0;
    const std::optional<duration> stated = stated_idle_time();
    const duration idle = stated.value_or(default_idle_time);
    if (has_extra_bytes || !is_reusable() || idle <= duration{0}) {
        finish(call_end::complete);
        return;
    }
    const auto handlers = std::move(m_handlers);
    m_handlers = {};
    m_is_busy = false;
    m_idle_since = boot_clock::now();
    m_reusable_until = m_idle_since + idle;
    m_has_idle_time = stated.has_value();
    m_channel->resume_reading();
    m_parser.restart();
    m_owner.add_idle(shared_from_this());
    handlers.on_end(call_end::complete);
}

/// Whether the connection may carry another request after a complete response.
bool client_connection::is_reusable() const
{
    return m_parser.head().keeps_alive && m_channel->unsent() == 0 && !m_carried_ids.is_full();
}

void client_connection::finish(call_end how)
{
    const auto self = shared_from_this();
    const auto handlers = std::move(m_handlers);
    m_handlers = {};
    m_is_busy = false;
    m_channel->close();
    if (handlers.on_end) {
        handlers.on_end(how);
    }
}

http_client::~http_client()
{
    m_registry.for_each([](client_connection& connection) { connection.cancel(); });
}

std::shared_ptr<client_connection>
http_client::call(const call_options& options, outgoing_request request, call_handlers handlers)
{
    auto connection = take_idle(options);
    if (connection == nullptr) {
        ++m_opened;
        connection = std::make_shared<client_connection>(m_loop, *this, options.address, m_opened);
    }
    connection->begin(std::move(request), options, std::move(handlers));
    return connection;
}

std::shared_ptr<client_connection> http_client::take_idle(const call_options& options)
{
    const auto found = m_idle.find(options.address);
    if (found == m_idle.end()) {
        return nullptr;
    }
    const time_point now = boot_clock::now();
    auto& idle = found->second;
    // the most recently used connection is the least likely to be closed by the peer
    for (std::size_t at = idle.size(); at-- > 0;) {
        auto connection = idle[at];
        const bool is_open = connection->m_reusable_until > now && connection->m_channel->is_open();
        if (is_open && now - connection->m_idle_since > options.max_idle_time) {
            return nullptr;
        }
        if (is_open && connection->m_carried_ids.contains(options.request_id)) {
            continue;
        }
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
        --m_idle_count;
        // what is unread would be taken for the response to the next request
        if (is_open && !connection->m_channel->has_unread_input()) {
            return connection;
        }
        connection->m_channel->close();
    }
    return nullptr;
}

bool http_client::has_idle(const std::string& address) const
{
    const auto found = m_idle.find(address);
    return found != m_idle.end() &&
           std::any_of(found->second.begin(), found->second.end(), [](const auto& connection) {
               return connection->m_reusable_until > boot_clock::now() &&
                      connection->m_channel->is_open();
           });
}

bool http_client::would_see_end(const std::string& address, time_point until) const
{
    const auto found = m_idle.find(address);
    return found != m_idle.end() &&
           std::any_of(found->second.begin(), found->second.end(), [until](const auto& connection) {
               return connection->m_has_idle_time && connection->m_reusable_until >= until &&
                      connection->m_channel->is_open();
           });
}

void http_client::add_idle(const std::shared_ptr<client_connection>& connection)
{
    auto& idle = m_idle[connection->m_address];
    idle.push_back(connection);
    ++m_idle_count;
    if (idle.size() > connection->m_max_idle) {
        idle.front()->m_channel->close();
        idle.erase(idle.begin());
        --m_idle_count;
    }
    if (m_idle_count > m_max_idle) {
        close_longest_idle();
    }
}

/// Closes the connection that has been idle for the longest time. Linear in the addresses.
/// Precondition: there is an idle connection.
void http_client::close_longest_idle()
{
    auto longest = m_idle.end();
    for (auto at = m_idle.begin(); at != m_idle.end();) {
        if (at->second.empty()) {
            at = m_idle.erase(at); // of an address that is not in use any more, perhaps
            continue;
        }
        // the connections to one address are in the order in which they became idle
        if (longest == m_idle.end() ||
            at->second.front()->m_idle_since < longest->second.front()->m_idle_since) {
            longest = at;
        }
        ++at;
    }
    auto& idle = longest->second;
    idle.front()->m_channel->close();
    idle.erase(idle.begin());
    --m_idle_count;
}

void http_client::remove_idle(const client_connection& connection)
{
    const auto found = m_idle.find(connection.m_address);
    if (found == m_idle.end()) {
        return;
    }
    auto& idle = found->second;
    const auto at = std::find_if(idle.begin(), idle.end(),
                                 [&](const auto& held) { return held.get() == &connection; });
    if (at != idle.end()) {
        idle.erase(at);
        --m_idle_count;
    }
}

} // namespace hickorykeel::gateway
