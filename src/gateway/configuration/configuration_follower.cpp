#include "gateway/configuration/configuration_follower.h"

#include <algorithm> // max
#include <cstddef>   // size_t
#include <utility>   // exchange, move
#include <variant>   // get, get_if

namespace hickorykeel::gateway {

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
    m_dependencies.state.begin_version_check();
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

/// Begins a watch unless one is under way. One that was under way while the source didn't respond
/// may have lost its connection, and is begun anew; until the source responds again, it may still
/// end.
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
    const bool was_checked = m_dependencies.state.is_version_checked();
    const state_change change = update_state(outcome, confirmed_at);
    if (was_checked && !m_dependencies.state.is_version_checked()) {
        m_version_check.begin();
    }
    check_version(boot_clock::now());
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

void configuration_follower::update_readers(time_point now)
{
    if (m_choice.update(now)) {
        m_dependencies.log.write(
            log_line{m_choice.is_reader() ? "source_read_here" : "source_read_by_others"}.add(
                "readers", static_cast<std::int64_t>(m_choice.reader_count())));
    }
}

void configuration_follower::check_version(time_point now)
{
    published_state& state = m_dependencies.state;
    if (state.is_version_checked() || state.published() == nullptr ||
        !m_version_check.is_passed(m_dependencies.members, state.published()->version, now)) {
        return;
    }
    state.end_version_check();
    m_dependencies.log.write(
        log_line{"configuration_checked"}
            .add("version", static_cast<std::int64_t>(state.published()->version))
            .add("era", static_cast<std::int64_t>(state.last().position.era)));
}

relay_choice_state configuration_follower::choice_state(time_point now) const
{
    const publication_ptr& published = m_dependencies.state.published();
    return {published != nullptr, m_dependencies.state.age(now), m_source_read_at,
            published == nullptr ? 0 : published->version,
            std::max(m_items.position(), m_items.operator_change())};
}

} // namespace hickorykeel::gateway
