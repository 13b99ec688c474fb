#include "gateway/serving/endpoint_checker.h"

#include "gateway/serving/endpoint_statements.h"

#include <chrono> // milliseconds

namespace hickorykeel::gateway {

namespace {

/// Age of the published state above which endpoints are asked whether they have become cold: nobody
/// else may be able to tell it. Above the age that the state reaches in an undisturbed fleet.
constexpr duration max_told_age = std::chrono::milliseconds{2'000};

/// Interval of the questions to an endpoint in doubt.
constexpr duration check_interval = std::chrono::milliseconds{500};

/// Questions to an endpoint that ends their connections, and the pause between them: long enough
/// for a process that is ending to close its listener.
constexpr unsigned max_questions = 3;
constexpr duration question_pause = std::chrono::milliseconds{50};

} // namespace

void endpoint_checker::check_disconnected()
{
    for (const endpoint_entry& entry : m_dependencies.pool.take_disconnected()) {
        ask_disconnected(entry);
    }
}

void endpoint_checker::check_wanted()
{
    const time_point now = boot_clock::now();
    for (const endpoint_entry& entry : m_dependencies.pool.take_wanted()) {
        ask_owned(entry, purpose::doubt, "probe_of_wanted", now);
    }
}

void endpoint_checker::check_after_start(duration delay)
{
    m_start_timer.expires_after(delay);
    m_start_timer.async_wait([this](const asio::error_code& failure) {
        if (!failure) {
            ask_past_unknown(boot_clock::now());
        }
    });
}

void endpoint_checker::ask_past_unknown(time_point now)
{
    for (const endpoint_entry& entry : m_dependencies.pool.past_unknown(now)) {
        const service* of = askable_service(entry);
        if (of != nullptr && m_dependencies.is_first_candidate(entry) &&
            m_dependencies.pool.try_take_share(entry.id, now)) {
            m_dependencies.metrics.count("probe_after_start");
            ask(entry, of->health_path, purpose::doubt);
        }
    }
}

void endpoint_checker::ask_for_load(std::size_t count, random_source& random)
{
    const time_point now = boot_clock::now();
    for (const endpoint_entry& entry :
         m_dependencies.pool.choose_load_samples(count, now, random)) {
        const service* of = askable_service(entry);
        if (of != nullptr && m_dependencies.pool.try_take_share(entry.id, now)) {
            m_dependencies.metrics.count("probe_for_load");
            ask(entry, of->health_path, purpose::state);
        }
    }
}

/// Returns the service of an endpoint that can be asked for its health, or null.
const service* endpoint_checker::askable_service(const endpoint_entry& entry) const
{
    const publication_ptr& published = m_dependencies.state.published();
    const service* of = published == nullptr ? nullptr : published->find_service(entry.service);
    return of == nullptr || of->health_path.empty() ? nullptr : of;
}

void endpoint_checker::check_reinstated()
{
    for (const endpoint_entry& entry : m_dependencies.pool.take_reinstated()) {
        ask_owned(entry, purpose::state, "probe_after_evacuation", boot_clock::now());
    }
}

void endpoint_checker::check_periodically(time_point now)
{
    if (now - m_unconfirmed_asked_at < check_interval) {
        return;
    }
    m_unconfirmed_asked_at = now;
    for (const endpoint_entry& entry : m_dependencies.pool.unconfirmed(now)) {
        ask_owned(entry, purpose::doubt, "probe_in_doubt", now);
    }
    for (const endpoint_entry& entry : m_dependencies.pool.needing_contact(now)) {
        ask_owned(entry, purpose::contact, "probe_for_contact", now);
    }
    if (m_dependencies.state.age(now) < max_told_age) {
        return;
    }
    for (const endpoint_entry& entry : m_dependencies.pool.assumed_warm(now)) {
        ask_owned(entry, purpose::state, "probe_with_old_state", now);
    }
}

/// Asks an endpoint, and counts it, if this host is the one that has to.
void endpoint_checker::ask_owned(const endpoint_entry& entry, purpose asked_for,
                                 const std::string& counter, time_point now)
{
    const service* of = askable_service(entry);
    if (of != nullptr && m_dependencies.is_owner(entry, *of) &&
        m_dependencies.pool.try_take_share(entry.id, now)) {
        m_dependencies.metrics.count(counter);
        ask(entry, of->health_path, asked_for);
    }
}

/// Asks an endpoint that has ended a connection, unless it is being asked already.
void endpoint_checker::ask_disconnected(const endpoint_entry& entry)
{
    const auto [check, is_new] = m_checks.try_emplace(entry.id, m_dependencies.loop);
    if (!is_new) {
        check->second.has_ended_connection = true;
    }
    else if (try_ask(entry, check->second)) {
        m_dependencies.metrics.count("probe_after_disconnection");
    }
    else {
        m_checks.erase(check);
    }
}

/// Asks the next question of a check. Returns false, without effect, if the endpoint can't be asked
/// or takes no more requests of this host now.
bool endpoint_checker::try_ask(const endpoint_entry& entry, disconnection_check& check)
{
    const service* of = askable_service(entry);
    if (of == nullptr || !m_dependencies.pool.try_take_share(entry.id, boot_clock::now())) {
        return false;
    }
    ++check.questions;
    ask(entry, of->health_path, purpose::doubt,
        [this, entry](std::optional<probe_failure> failure) { on_asked(entry, failure); });
    return true;
}

/// Asks the next question of a check after a pause.
void endpoint_checker::ask_again(const endpoint_entry& entry, disconnection_check& check)
{
    check.pause_timer.expires_after(question_pause);
    check.pause_timer.async_wait([this, entry](const asio::error_code& failure) {
        if (failure) {
            return;
        }
        const auto held = m_checks.find(entry.id);
        if (held != m_checks.end() && !try_ask(entry, held->second)) {
            m_checks.erase(held);
        }
    });
}

/// Ends a question of a check. The endpoint is asked again if it has ended the question's
/// connection or another one meanwhile.
void endpoint_checker::on_asked(const endpoint_entry& entry, std::optional<probe_failure> failure)
{
    const auto held = m_checks.find(entry.id);
    if (held == m_checks.end()) {
        return;
    }
    disconnection_check& check = held->second;
    if (failure == probe_failure::disconnected && check.questions < max_questions) {
        ask_again(entry, check);
        return;
    }
    const bool has_ended_connection = check.has_ended_connection;
    m_checks.erase(held);
    if (has_ended_connection) {
        ask_disconnected(entry);
    }
}

void endpoint_checker::ask(const endpoint_entry& entry, const std::string& health_path,
                           purpose asked_for,
                           std::function<void(std::optional<probe_failure>)> on_end)
{
    const endpoint_incarnation endpoint{entry.id, entry.started_ms};
    const time_point asked_at = boot_clock::now();
    m_dependencies.pool.on_asked(entry.id, asked_at);
    m_dependencies.prober.probe(
        entry, health_path,
        {.on_warm = [this, entry, asked_at, asked_for] { on_warm(entry, asked_at, asked_for); },
         .on_cold = [this, id = entry.id,
                     asked_at](duration remaining) { on_cold(id, remaining, asked_at); },
         .on_failure = [this, id = entry.id,
                        asked_for](probe_failure why) { on_failure(id, asked_for, why); },
         .on_head =
             [this, endpoint, asked_at](const message_head& head) {
                 record_statement({m_dependencies.adapter, m_dependencies.pool, m_dependencies.log,
                                   m_dependencies.metrics},
                                  endpoint, head, {asked_at, boot_clock::now()});
             },
         .on_end = std::move(on_end)});
}

void endpoint_checker::on_warm(const endpoint_entry& entry, time_point asked_at, purpose asked_for)
{
    const bool is_end_seen = m_dependencies.sees_end(entry, asked_at);
    m_dependencies.pool.set_end_seen(entry.id, is_end_seen);
    if (asked_for == purpose::contact && !is_end_seen) {
        return;
    }
    m_dependencies.pool.on_warm(entry.id, asked_at, boot_clock::now());
    m_dependencies.on_warm();
    m_dependencies.on_urgent_news();
}

void endpoint_checker::on_cold(const std::string& endpoint, duration remaining, time_point asked_at)
{
    if (m_dependencies.pool.on_cold(endpoint, remaining, asked_at, boot_clock::now())) {
        m_dependencies.metrics.count("endpoint_found_cold");
    }
    m_dependencies.on_urgent_news();
}

void endpoint_checker::on_failure(const std::string& endpoint, purpose asked_for, probe_failure why)
{
    const bool is_refused = why == probe_failure::refused;
    const bool is_sign = asked_for == purpose::doubt ||
                         (asked_for == purpose::contact && why == probe_failure::disconnected);
    if (is_refused || is_sign) {
        m_dependencies.pool.on_restart_sign(
            endpoint, is_refused ? restart_sign::refused : restart_sign::unconfirmed,
            boot_clock::now());
        m_dependencies.on_urgent_news();
    }
}

} // namespace hickorykeel::gateway
