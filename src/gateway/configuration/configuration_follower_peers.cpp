#include "gateway/configuration/configuration_follower.h"
#include "gateway/configuration/relay_codec.h"
#include "gateway/http/body_buffer.h"

#include <charconv>     // from_chars
#include <cstddef>      // size_t
#include <optional>     // optional
#include <system_error> // errc
#include <utility>      // exchange, move
#include <variant>      // get, get_if

// Questions to peer hosts, and the responses to theirs.

namespace hickorykeel::gateway {

namespace {

constexpr duration relay_connect_timeout = std::chrono::milliseconds{500};
constexpr int status_ok = 200;

/// Maximum size of the body of a peer host's answer, which is compressed.
constexpr std::size_t max_relay_body_bytes = 16'777'216;

/// A number that a peer host states; 0 if it is missing or invalid.
std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool is_whole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return is_whole ? number : 0;
}

/// Position that a peer host states; none, for all items, if its revision is missing or invalid.
source_position to_position(const header_list& headers)
{
    const std::uint64_t revision = parse_number(headers.find(relay_revision_header));
    return revision == 0 ? source_position{}
                         : source_position{parse_number(headers.find(relay_era_header)), revision};
}

} // namespace

/// Looks for a peer host with a fresher state while this host has none, or while a read of the
/// source is under way, which may take long if all items have to be read; and for one that knows a
/// newer configuration or change of the operator.
void configuration_follower::check_peers()
{
    const time_point now = boot_clock::now();
    if (m_is_reading_source || m_dependencies.state.published() == nullptr) {
        update_readers(now);
        query_fresher_peer();
    }
    query_newer_peer();
    query_informed_peer();
    check_version(now);
    if (m_is_reading_source && m_items.position().is_none() &&
        m_choice.gives_up_read(choice_state(now), now)) {
        m_is_reading_source = false;
        m_dependencies.source.cancel_read();
        schedule_read(m_options.peer_check_interval);
    }
    m_peer_timer.expires_after(m_options.peer_check_interval);
    m_peer_timer.async_wait([this](const asio::error_code& failure) {
        if (!failure) {
            m_version_check.count_round();
            check_peers();
        }
    });
}

void configuration_follower::query_fresher_peer()
{
    const time_point now = boot_clock::now();
    const relay_choice_state own = choice_state(now);
    if (m_is_querying_peer || own.age < m_options.choice.max_relay_age) {
        return;
    }
    if (const member* chosen = m_choice.select_fresher_peer(own, now)) {
        query_peer(*chosen, m_items.position(), [](bool) {});
    }
}

/// Queries a peer host that holds a higher version of the configuration. It may hold that as a part
/// of the state that this host has, so it is asked for all items.
void configuration_follower::query_newer_peer()
{
    const time_point now = boot_clock::now();
    const member* chosen = m_choice.select_newer_peer(choice_state(now), now);
    const bool is_due = now - m_version_queried_at >= m_options.version_query_interval;
    if (chosen != nullptr && is_due && !m_is_querying_peer) {
        m_version_queried_at = now;
        m_dependencies.metrics.count("newer_version_queried");
        query_peer(*chosen, {}, [](bool) {});
    }
}

/// Queries a peer host that knows a newer change of the operator.
void configuration_follower::query_informed_peer()
{
    const time_point now = boot_clock::now();
    const member* chosen = m_choice.select_informed_peer(choice_state(now), now);
    if (chosen == nullptr || m_is_querying_peer || m_items.position().is_none()) {
        return;
    }
    const source_position& change = chosen->last.operator_change;
    const bool is_due = now - m_change_queried_at >= m_options.change_query_interval;
    if (change > m_change_queried || is_due) {
        m_change_queried = change;
        m_change_queried_at = now;
        m_dependencies.metrics.count("operator_change_queried");
        query_peer(*chosen, m_items.position(), [](bool) {});
    }
}

/// A query to a peer host, and its response.
struct configuration_follower::relay_query {
    relay_query(asio::io_context& loop, std::string peer)
        : host{std::move(peer)}, requested_at{boot_clock::now()}, timeout_timer{loop}
    {
    }

    std::string host;
    time_point requested_at;
    asio::steady_timer timeout_timer;
    std::shared_ptr<client_connection> call;
    int status = 0;
    std::optional<duration> age; ///< since the state was confirmed up to date
    body_buffer body{{.max_bytes = max_relay_body_bytes}};
};

/// Queries the changes since a position in the published state of `chosen`. Calls `on_end` once,
/// with whether a usable state younger than `max_relay_age` was received.
void configuration_follower::query_peer(const member& chosen, const source_position& since,
                                        std::function<void(bool is_fresh)> on_end)
{
    m_is_querying_peer = true;
    const auto query = std::make_shared<relay_query>(m_dependencies.loop, chosen.last.host);
    const auto end = [this, query, on_end = std::move(on_end)](std::string_view failure) {
        m_is_querying_peer = false;
        query->timeout_timer.cancel();
        if (!failure.empty()) {
            on_relay_failure(query->host, failure);
        }
        on_end(failure.empty() && apply_relayed(*query));
    };
    query->timeout_timer.expires_after(since.is_none() ? m_options.initial_relay_timeout
                                                       : m_options.relay_timeout);
    query->timeout_timer.async_wait([query, end](const asio::error_code& failure) {
        if (!failure) {
            query->call->cancel();
            end("no answer in time");
        }
    });
    const std::string address = chosen.last.ip + ':' + std::to_string(m_options.relay_port);
    header_list headers;
    headers.add("Host", address);
    headers.add(std::string{relay_era_header}, std::to_string(since.era));
    headers.add(std::string{relay_revision_header}, std::to_string(since.revision));
    query->call = m_dependencies.client.call(
        {.address = address, .connect_timeout = relay_connect_timeout},
        format_request("GET", relay_path, headers, {}),
        {.on_head =
             [query](const message_head& head) {
                 query->status = head.status;
                 query->age = parse_milliseconds(head.headers.find(relay_age_header));
             },
         .on_body =
             [query, end](std::string& bytes) {
                 using append_result = body_buffer::append_result;
                 if (query->body.append(std::exchange(bytes, {})) != append_result::appended) {
                     query->call->cancel();
                     end("answer too large");
                 }
             },
         .on_end =
             [end](call_end how) {
                 end(how == call_end::complete ? std::string_view{} : to_name(how));
             }});
}

void configuration_follower::on_relay_failure(const std::string& host, std::string_view reason)
{
    m_dependencies.metrics.count("relay_failure");
    m_dependencies.log.write(log_line{"relay_failed"}.add("peer", host).add("reason", reason));
}

/// Applies a peer host's changes. Returns whether they were usable and younger than
/// `max_relay_age`.
bool configuration_follower::apply_relayed(relay_query& query)
{
    if (query.status != status_ok) {
        on_relay_failure(query.host, "unexpected HTTP status " + std::to_string(query.status));
        return false;
    }
    if (!query.age) {
        on_relay_failure(query.host, "age unreadable");
        return false;
    }
    const auto changes = decode_changes(query.body.take_text(), query.host);
    if (const auto* failure = std::get_if<error>(&changes)) {
        on_relay_failure(query.host, failure->to_string());
        return false;
    }
    const bool was_empty = m_items.position().is_none();
    const auto& received = std::get<published_changes>(changes);
    log_whole_state(received, query.host, query.requested_at);
    const auto applied = apply_changes(received, query.requested_at - *query.age);
    if (const auto* failure = std::get_if<error>(&applied)) {
        on_relay_failure(query.host, failure->to_string());
        return false;
    }
    m_dependencies.metrics.count("relay");
    if (was_empty && std::exchange(m_is_reading_source, false)) {
        // it would read all items
        m_dependencies.source.cancel_read();
        schedule_read(duration{0});
    }
    return *query.age < m_options.choice.max_relay_age;
}

/// Returns the message for a peer host that holds the state at `since`.
const std::string& configuration_follower::relayed_changes(const source_position& since)
{
    if (m_relayed.since != since || m_relayed.position != m_items.position()) {
        m_relayed = {since, m_items.position(), encode_changes(m_items.changes_since(since))};
    }
    return m_relayed.bytes;
}

void configuration_follower::serve_peer(server_exchange& request)
{
    if (m_items.position().is_none()) {
        request.respond(503, {}, {});
        return;
    }
    header_list headers;
    headers.add("Content-Type", "application/octet-stream");
    const duration age = m_dependencies.state.age(boot_clock::now());
    headers.add(std::string{relay_age_header}, std::to_string(to_milliseconds(age).count()));
    request.respond(200, headers, relayed_changes(to_position(request.head().headers)));
}

} // namespace hickorykeel::gateway
