#include "gateway/configuration/configuration_follower.h"

#include "gateway/configuration/relay_codec.h"
#include "gateway/http/body_buffer.h"

#include <algorithm>    // max
#include <charconv>     // from_chars
#include <cstddef>      // size_t
#include <optional>     // optional
#include <system_error> // errc
#include <utility>      // exchange, move
#include <variant>      // get, get_if

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

configuration_follower::configuration_follower(dependencies objects, follower_options options,
                                               std::function<void()> on_change)
    : m_dependencies{objects}, m_options{std::move(options)}, m_on_change{std::move(on_change)},
      m_items{
          [&source = objects.source](const published_item& item) { return source.decode(item); }},
      m_choice{m_options.choice, objects.members, boot_clock::now()}, m_timer{objects.loop},
      m_peer_timer{objects.loop}
{
}

void configuration_follower::start()
{
    read();
    check_peers();
}

void configuration_follower::read()
{
    const time_point now = boot_clock::now();
    update_readers(now);
    const relay_choice_state own = choice_state(now);
    if (m_choice.waits_for_peers(own, now)) {
        schedule_read(m_options.peer_check_interval);
        return;
    }
    const member* reader = m_is_querying_peer ? nullptr : m_choice.select_reader(own, now);
    if (reader == nullptr) {
        read_source();
        return;
    }
    query_peer(*reader, m_items.position(), [this](bool is_fresh) {
        if (is_fresh) {
            schedule_read(m_options.read_interval);
        }
        else {
            read_source();
        }
    });
}

void configuration_follower::read_source()
{
    m_is_reading_source = true;
    m_source_read_at = boot_clock::now();
    m_dependencies.source.read(m_items.position(), [this, requested_at = m_source_read_at](
                                                       result<published_changes> changes) {
        m_is_reading_source = false;
        on_reading(std::move(changes), requested_at);
    });
}

void configuration_follower::on_reading(result<published_changes> changes, time_point requested_at)
{
    if (const auto* received = std::get_if<published_changes>(&changes)) {
        log_whole_state(*received, {}, requested_at);
        auto applied = apply_changes(*received, requested_at);
        if (auto* failure = std::get_if<error>(&applied)) {
            changes = std::move(*failure);
        }
    }
    const error* failure = std::get_if<error>(&changes);
    record_source_result(failure);
    if (failure == nullptr) {
        // after a slow read of many items, the state is already old
        const bool is_slow = boot_clock::now() - requested_at >= m_options.read_interval;
        schedule_read(is_slow ? duration{0} : m_options.read_interval);
        renew_watch();
        return;
    }
    m_has_failed_since_watch = true;
    m_dependencies.state.on_failure();
    query_fresher_peer();
    schedule_read(m_options.retry_interval);
}

/// Begins a watch unless one is under way. One that was under way while the source didn't respond may
/// have lost its connection, and is begun anew; until the source responds again, it may still end.
void configuration_follower::renew_watch()
{
    if (m_has_failed_since_watch && std::exchange(m_is_watching_source, false)) {
        m_dependencies.source.cancel_watch();
    }
    watch_source();
}

/// Waits for the operator's changes, unless that is under way.
void configuration_follower::watch_source()
{
    if (m_items.position().is_none() || std::exchange(m_is_watching_source, true)) {
        return;
    }
    m_has_failed_since_watch = false;
    const source_position& held = m_items.position();
    const bool is_ahead = m_watched_up_to.era == held.era && m_watched_up_to > held;
    m_dependencies.source.watch(
        is_ahead ? m_watched_up_to : held, m_options.max_watch,
        [this, started_at = boot_clock::now()](result<watched_changes> changes) {
            on_watched(std::move(changes), started_at);
        });
}

void configuration_follower::on_watched(result<watched_changes> changes, time_point started_at)
{
    m_is_watching_source = false;
    auto* watched = std::get_if<watched_changes>(&changes);
    if (watched == nullptr) {
        m_dependencies.metrics.count("watch_failure");
        return; // the next read starts another one
    }
    const bool has_changes = !watched->items.empty();
    const bool has_waited = boot_clock::now() - started_at >= m_options.min_watch;
    m_watched_up_to = watched->reached;
    if (has_changes) {
        m_dependencies.metrics.count("watched_changes");
        apply_watched(std::move(*watched));
    }
    if (m_choice.is_reader() && (has_changes || has_waited)) {
        watch_source();
    }
}

/// Merges changes that leave the position of the held state as it is: they are only those of the
/// operator. They don't confirm the state.
void configuration_follower::apply_watched(watched_changes changes)
{
    const source_position held = m_items.position();
    if (changes.reached.era != held.era) {
        return;
    }
    const auto applied = apply_changes({held, held, std::move(changes.items)}, time_point{});
    if (const auto* failure = std::get_if<error>(&applied)) {
        m_dependencies.log.write(
            log_line{"watched_changes_unusable"}.add("error", failure->to_string()));
    }
}

/// Merges changes whose contents are known to have been up to date at `confirmed_at`.
result<merge_outcome> configuration_follower::apply_changes(const published_changes& changes,
                                                            time_point confirmed_at)
{
    auto merged = m_items.apply(changes);
    if (!is_ok(merged)) {
        return merged;
    }
    log_restored_source(changes.position);
    const std::size_t before = m_dependencies.state.endpoints().size();
    const auto outcome = std::get<merge_outcome>(merged);
    const state_change change = update_state(outcome, confirmed_at);
    if (change.is_configuration_changed) {
        log_configuration();
    }
    log_endpoints(change, before);
    if (outcome == merge_outcome::changed) {
        m_relayed = {};
    }
    if (outcome == merge_outcome::changed || change.is_configuration_changed ||
        !change.removed.empty()) {
        m_on_change();
    }
    return merged;
}

state_change configuration_follower::update_state(merge_outcome outcome, time_point confirmed_at)
{
    const time_point now = boot_clock::now();
    if (outcome == merge_outcome::outdated) {
        return {};
    }
    if (outcome == merge_outcome::unchanged) {
        return m_dependencies.state.confirm(confirmed_at, now);
    }
    published_reading reading = m_items.to_reading();
    const std::size_t unusable = reading.unusable_entries;
    if (std::exchange(m_unusable_entries, unusable) != unusable) {
        m_dependencies.log.write(log_line{"endpoint_entries_unusable"}.add(
            "count", static_cast<std::int64_t>(unusable)));
    }
    return m_dependencies.state.apply(std::move(reading), confirmed_at, now);
}

/// Logs that all items were read, which is rare in an undisturbed fleet.
/// @param peer host that passed them on; empty: the source
void configuration_follower::log_whole_state(const published_changes& changes,
                                             std::string_view peer, time_point requested_at) const
{
    if (!changes.since.is_none()) {
        return;
    }
    m_dependencies.log.write(
        log_line{"whole_state_read"}
            .add("peer", peer)
            .add("items", static_cast<std::int64_t>(changes.items.size()))
            .add("era", static_cast<std::int64_t>(changes.position.era))
            .add("revision", static_cast<std::int64_t>(changes.position.revision))
            .add_ms("took_ms", boot_clock::now() - requested_at));
}

/// Logs that the source has been restored from a copy, once this host learns of it.
void configuration_follower::log_restored_source(const source_position& position)
{
    const source_position& last = m_dependencies.state.last().position;
    if (last.is_none() || position.era <= last.era) {
        return;
    }
    m_dependencies.metrics.count("source_restored");
    m_dependencies.log.write(log_line{"source_restored"}
                                 .add("era", static_cast<std::int64_t>(position.era))
                                 .add("revision", static_cast<std::int64_t>(position.revision))
                                 .add("former_era", static_cast<std::int64_t>(last.era))
                                 .add("former_revision", static_cast<std::int64_t>(last.revision)));
}

void configuration_follower::log_endpoints(const state_change& change,
                                           std::size_t former_count) const
{
    for (const std::string& id : change.removed) {
        m_dependencies.log.write(log_line{"endpoint_removed"}.add("endpoint", id));
    }
    const std::size_t count = m_dependencies.state.endpoints().size();
    if (count != former_count) {
        m_dependencies.log.write(
            log_line{"endpoints"}.add("count", static_cast<std::int64_t>(count)));
    }
}

void configuration_follower::log_configuration() const
{
    const published_reading& last = m_dependencies.state.last();
    log_line line{"configuration"};
    line.add("version",
             static_cast<std::int64_t>(last.published == nullptr ? 0 : last.published->version))
        .add("era", static_cast<std::int64_t>(last.position.era))
        .add("revision", static_cast<std::int64_t>(last.position.revision));
    for (const std::string& failure_domain : last.evacuated_domains) {
        line.add("evacuated", failure_domain);
    }
    m_dependencies.log.write(line);
}

void configuration_follower::record_source_result(const error* failure)
{
    const bool was_lost = std::exchange(m_is_source_lost, failure != nullptr);
    if (failure != nullptr) {
        m_dependencies.metrics.count("source_failure");
    }
    if (was_lost == m_is_source_lost) {
        return;
    }
    log_line line{m_is_source_lost ? "source_lost" : "source_regained"};
    line.add_ms("configuration_age_ms", m_dependencies.state.age(boot_clock::now()));
    if (failure != nullptr) {
        line.add("error", failure->to_string());
    }
    m_dependencies.log.write(line);
}

void configuration_follower::schedule_read(duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const asio::error_code& failure) {
        if (!failure) {
            read();
        }
    });
}

/// Looks for a peer host with a fresher state while this host has none, or while a read of the
/// source is under way, which may take long if all items have to be read.
void configuration_follower::check_peers()
{
    const time_point now = boot_clock::now();
    if (m_is_reading_source || m_dependencies.state.published() == nullptr) {
        update_readers(now);
        query_fresher_peer();
    }
    query_newer_peer();
    query_informed_peer();
    if (m_is_reading_source && m_items.position().is_none() &&
        m_choice.gives_up_read(choice_state(now), now)) {
        m_is_reading_source = false;
        m_dependencies.source.cancel_read();
        schedule_read(m_options.peer_check_interval);
    }
    m_peer_timer.expires_after(m_options.peer_check_interval);
    m_peer_timer.async_wait([this](const asio::error_code& failure) {
        if (!failure) {
            check_peers();
        }
    });
}

void configuration_follower::update_readers(time_point now)
{
    if (m_choice.update(now)) {
        m_dependencies.log.write(
            log_line{m_choice.is_reader() ? "source_read_here" : "source_read_by_others"}.add(
                "readers", static_cast<std::int64_t>(m_choice.reader_count())));
    }
}

relay_choice_state configuration_follower::choice_state(time_point now) const
{
    const publication_ptr& published = m_dependencies.state.published();
    return {published != nullptr, m_dependencies.state.age(now), m_source_read_at,
            published == nullptr ? 0 : published->version,
            std::max(m_items.position(), m_items.operator_change())};
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

/// Queries a peer host that holds a higher version of the configuration. It may hold that as a part of
/// the state that this host has, so it is asked for all items.
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

/// Queries the changes since a position in the published state of `chosen`. Calls `on_end` once, with whether a usable state
/// younger than `max_relay_age` was received.
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
