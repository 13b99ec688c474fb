#include "gateway/routing/endpoint_pool.h"

#include "gateway/routing/rendezvous.h"

#include <algorithm> // clamp, find, find_if, max, min, min_element
#include <array>     // array
#include <utility>   // exchange, move

namespace hickorykeel::gateway {

namespace {

constexpr double slowness_weight = 0.15; // of a new sample
constexpr double failure_weight = 0.1;   // of a new sample
constexpr double min_slowness = 0.4;
constexpr double max_slowness = 12;
/// A failure rate of 1 multiplies the expected time by 1 + this.
constexpr double failure_penalty = 4;
constexpr std::size_t max_cached_prefixes = 4'096;
constexpr std::size_t max_sent_prefixes = 128; // in one heartbeat
constexpr std::uint64_t typical_tokens = 2'000;

} // namespace

std::string_view to_name(endpoint_outcome outcome) noexcept
{
    constexpr std::array<std::string_view, 10> names{
        "answered", "failed",    "shed",      "refused",   "unreachable",
        "cut",      "malformed", "timed_out", "abandoned", "gone"};
    return names[static_cast<std::size_t>(outcome)];
}

void endpoint_pool::update(const std::map<std::string, endpoint_entry>& entries,
                           const std::function<usability(const endpoint_entry&)>& to_usability,
                           const std::function<const service*(const std::string&)>& find_service,
                           time_point read_at, time_point now)
{
    std::map<std::string, endpoint_state> next;
    for (const auto& [id, entry] : entries) {
        const service* used_service = find_service(entry.service);
        const usability use = to_usability(entry);
        if (used_service == nullptr || use == usability::other_region) {
            continue;
        }
        endpoint_state& state = next[id];
        const auto held = m_endpoints.find(id);
        const bool is_same =
            held != m_endpoints.end() && held->second.entry.started_ms == entry.started_ms;
        if (is_same) {
            state = std::move(held->second);
        }
        held_history& known = history_of(id);
        state.history = &known.history;
        state.history->set_cold_time(used_service->cold_time);
        state.history->set_contact_retention(
            used_service->cold_rate > 0 ? m_options.contact_retention : std::nullopt);
        state.history->on_entry({entry.started_ms, entry.sequence, entry.cold_remaining}, read_at,
                                now);
        state.entry = entry;
        state.hash = short_hash(id);
        state.incarnation_hash = short_hash(endpoint_incarnation{id, entry.started_ms});
        state.software_version = short_hash(entry.software_version);
        state.is_engine = used_service->engine.has_value();
        state.of_service = &state_of(*used_service);
        state.transfer_rate = used_service->engine ? used_service->engine->transfer_rate : 0;
        state.cold_rate = used_service->cold_rate;
        state.is_listed = use == usability::usable && !entry.is_draining;
        state.is_leaving = m_notices.is_leaving({id, entry.started_ms});
        state.is_ended = m_notices.is_ended({id, entry.started_ms});
        state.turned_away_until = m_notices.turned_away_until({id, entry.started_ms});
        update_rate(state, now);
        state.rejections = m_notices.last_rejection_statement({id, entry.started_ms});
        if (use == usability::usable && known.evacuated_start == entry.started_ms) {
            // it may have become cold during the evacuation, after its last known heartbeat
            state.history->on_sign(restart_sign::unconfirmed, now);
            if (!state.is_leaving && !state.is_ended && now >= state.turned_away_until) {
                m_reinstated.push_back(entry);
            }
        }
        state.is_evacuated = use == usability::evacuated;
        known.evacuated_start = state.is_evacuated ? std::optional{entry.started_ms} : std::nullopt;
    }
    m_endpoints = std::move(next);
    for (auto& [name, of_service] : m_services) {
        of_service.endpoints = 0;
    }
    for (const auto& [id, state] : m_endpoints) {
        state.of_service->endpoints += state.is_listed ? 1 : 0;
    }
    drop_old_histories(now);
    m_incarnations.clear();
    for (const auto& [id, state] : m_endpoints) {
        m_incarnations[state.incarnation_hash] = {id, state.entry.started_ms};
    }
}

bool endpoint_pool::on_leaving(const endpoint_incarnation& endpoint, time_point now)
{
    const bool is_new = m_notices.on_leaving(endpoint, now);
    const auto found = m_endpoints.find(endpoint.id);
    if (found != m_endpoints.end()) {
        found->second.is_leaving =
            m_notices.is_leaving({endpoint.id, found->second.entry.started_ms});
    }
    return is_new;
}

bool endpoint_pool::is_stopping(const endpoint_incarnation& endpoint) const
{
    const auto found = m_endpoints.find(endpoint.id);
    const bool is_draining = found != m_endpoints.end() &&
                             found->second.entry.started_ms == endpoint.started_ms &&
                             found->second.entry.is_draining;
    return is_draining || m_notices.is_leaving(endpoint);
}

bool endpoint_pool::on_ended(const endpoint_incarnation& endpoint, time_point now)
{
    const bool is_new = m_notices.on_ended(endpoint, now);
    const auto found = m_endpoints.find(endpoint.id);
    if (found != m_endpoints.end()) {
        found->second.is_ended = m_notices.is_ended({endpoint.id, found->second.entry.started_ms});
    }
    return is_new;
}

std::vector<end_report> endpoint_pool::own_ended_endpoints() const
{
    std::vector<end_report> reports;
    for (const auto& [id, state] : m_endpoints) {
        if (state.is_ended) {
            reports.push_back({state.incarnation_hash, 1});
        }
    }
    return reports;
}

std::vector<std::string> endpoint_pool::set_ended_endpoints(const end_witnesses& witnesses)
{
    std::vector<std::string> learned;
    for (auto& [id, state] : m_endpoints) {
        const auto found = witnesses.find(state.incarnation_hash);
        const bool is_ended = found != witnesses.end() && found->second >= min_end_witnesses;
        const bool was_ended = std::exchange(state.is_ended_elsewhere, is_ended);
        if (is_ended && !was_ended && !state.is_ended) {
            learned.push_back(id);
        }
    }
    return learned;
}

void endpoint_pool::on_turned_away(const endpoint_incarnation& endpoint, duration delay,
                                   time_point now)
{
    m_notices.on_turned_away(endpoint, delay, now);
    const auto found = m_endpoints.find(endpoint.id);
    if (found != m_endpoints.end()) {
        found->second.turned_away_until =
            m_notices.turned_away_until({endpoint.id, found->second.entry.started_ms});
    }
}

bool endpoint_pool::is_candidate(const endpoint_state& state, const placement_request& request)
{
    return state.is_listed && !state.is_leaving && !state.is_ended && !state.is_ended_elsewhere &&
           state.entry.service == request.requested_service->name &&
           (!request.software_version || *request.software_version == state.software_version) &&
           std::find(request.excluded.begin(), request.excluded.end(), state.entry.id) ==
               request.excluded.end();
}

/// Whether the endpoint is a candidate that takes as many requests now as it has slots.
bool endpoint_pool::is_unrestricted(const endpoint_state& state, const placement_request& request,
                                    time_point now)
{
    return is_candidate(state, request) && !is_blocked(state, now) && !is_cold(state, now) &&
           !state.share;
}

std::uint32_t endpoint_pool::max_active(const endpoint_state& state) const
{
    const bool has_queue = !state.is_engine && !is_brittle(state);
    return state.entry.slots + (has_queue ? m_options.max_plain_queue : 0);
}

bool endpoint_pool::has_free_slot(const endpoint_state& state, time_point now) const
{
    const double assumed = state.of_service->states_load ? assumed_at(state, now).requests : 0;
    return static_cast<double>(state.own.active) + state.peers.active + assumed < max_active(state);
}

bool endpoint_pool::may_send(endpoint_state& state, time_point now)
{
    if (is_blocked(state, now) || (state.is_half_open && state.own.active > 0)) {
        return false;
    }
    if (time_to_share(state, now) != duration{0} || !has_room(state, now)) {
        return false;
    }
    if (is_cold(state, now) && state.cold_rate > 0) {
        if (state.history->on_wanted(now)) {
            m_wanted.insert(state.entry.id);
        }
        return state.history->has_capacity(m_to_cold_allowance(state.entry.id, state.cold_rate),
                                           now);
    }
    return true;
}

/// Returns the tokens of a prompt that an engine has cached and will have processed by
/// `processed_by`. With `processed_by` equal to `now`, these are the tokens that other
/// engines can fetch.
std::uint64_t endpoint_pool::cached_tokens(const endpoint_state& state,
                                           const prompt& request_prompt, time_point now,
                                           time_point processed_by) const
{
    std::uint64_t tokens = 0;
    for (const prompt_prefix& prefix : request_prompt.prefixes) {
        const cached_prefix* cached = find_cached(state, prefix.id, now);
        if (cached != nullptr && cached->processed_at <= processed_by) {
            tokens = prefix.tokens;
        }
    }
    return std::min(tokens, request_prompt.prompt_tokens);
}

const endpoint_pool::cached_prefix*
endpoint_pool::find_cached(const endpoint_state& state, std::uint64_t prefix, time_point now) const
{
    const auto found = state.cached_prefixes.find(prefix);
    const bool is_kept = found != state.cached_prefixes.end() &&
                         now - found->second.last_used < m_options.prefix_retention;
    return is_kept ? &found->second : nullptr;
}

/// Returns the tokens of a prompt that an engine with `cached` tokens of it would fetch from
/// another engine.
std::uint64_t endpoint_pool::tokens_to_fetch(const endpoint_state& state, std::uint64_t cached,
                                             const prefix_locations& locations) const
{
    if (locations.source == nullptr || locations.source == &state || state.transfer_rate <= 0 ||
        // memory that another version has written may not fit
        locations.source->software_version != state.software_version) {
        return 0;
    }
    const std::uint64_t more = locations.source_tokens - std::min(cached, locations.source_tokens);
    return more < m_options.min_fetched_tokens ? 0 : more;
}

/// Returns the work of prefilling the rest of a prompt, as the number of tokens that the engine
/// would process in the same time; computed tokens are weighted by `prefill_weight`, fetched ones
/// by the transfer rate. The preferred engine is treated as if it had cached the whole shareable
/// prefix, so that requests with the prefix are sent to the same engine.
double endpoint_pool::prefill_tokens(const endpoint_state& state, const prompt& request_prompt,
                                     const prefix_locations& locations, time_point now) const
{
    if (&state == locations.preferred) {
        const std::uint64_t shared =
            request_prompt.prefixes.empty() ? 0 : request_prompt.prefixes.back().tokens;
        return static_cast<double>(request_prompt.prompt_tokens -
                                   std::min(shared, request_prompt.prompt_tokens)) *
               m_options.prefill_weight;
    }
    const std::uint64_t cached = cached_tokens(state, request_prompt, now);
    const std::uint64_t fetched = tokens_to_fetch(state, cached, locations);
    const std::uint64_t computed = request_prompt.prompt_tokens - cached - fetched;
    const double transfer = fetched == 0 ? 0
                                         : static_cast<double>(fetched) *
                                               m_options.nominal_prefill_rate / state.transfer_rate;
    return static_cast<double>(computed) * m_options.prefill_weight + transfer;
}

double endpoint_pool::failure_factor(const endpoint_state& state) noexcept
{
    return 1 + failure_penalty * state.failure_rate;
}

duration endpoint_pool::expected_time(const endpoint_state& state, const prompt* request_prompt,
                                      const prefix_locations& locations, time_point now) const
{
    const std::uint32_t active = state.own.active + state.peers.active;
    duration expected{0};
    if (state.is_engine) {
        const std::uint64_t ahead = state.own.waiting_tokens + state.peers.waiting_tokens;
        const double own = request_prompt == nullptr
                               ? typical_tokens * m_options.prefill_weight
                               : prefill_tokens(state, *request_prompt, locations, now);
        const double milliseconds =
            (static_cast<double>(ahead) + own) / m_options.nominal_prefill_rate;
        expected = m_options.engine_base + m_options.step_per_request * active +
                   from_seconds(milliseconds / 1'000);
    }
    else {
        const std::uint32_t slots = std::max(1U, state.entry.slots);
        const double rounds = 1.0 + static_cast<double>(active) / slots;
        expected = from_seconds(to_seconds(m_options.plain_base) * rounds);
    }
    const double factor = state.slowness * failure_factor(state);
    return from_seconds(to_seconds(expected) * factor);
}

/// Inserts an endpoint into the owners, which are ordered by descending weight, if it is among them.
void endpoint_pool::add_owner(prefix_owners& owners, owner_weights& weights,
                              const endpoint_state& state, std::uint64_t weight)
{
    std::size_t at = owners.size();
    while (at > 0 && (owners[at - 1] == nullptr || weight > weights[at - 1])) {
        --at;
    }
    if (at == owners.size()) {
        return;
    }
    std::shift_right(owners.begin() + static_cast<std::ptrdiff_t>(at), owners.end(), 1);
    std::shift_right(weights.begin() + static_cast<std::ptrdiff_t>(at), weights.end(), 1);
    owners[at] = &state;
    weights[at] = weight;
}

endpoint_pool::prefix_locations endpoint_pool::find_locations(const placement_request& request,
                                                              time_point now) const
{
    prefix_locations locations;
    if (request.request_prompt == nullptr || request.request_prompt->shared_id() == 0) {
        return locations;
    }
    owner_weights weights{};
    for (const auto& [id, state] : m_endpoints) {
        if (!is_unrestricted(state, request, now)) {
            continue;
        }
        const std::uint64_t weight = rendezvous_weight(request.request_prompt->shared_id(), id);
        add_owner(locations.owners, weights, state, weight);
        const std::uint64_t fetchable = cached_tokens(state, *request.request_prompt, now, now);
        if (fetchable > locations.source_tokens) {
            locations.source = &state;
            locations.source_tokens = fetchable;
        }
    }
    locations.preferred = locations.owners.front();
    return locations;
}

std::vector<endpoint_pool::placement_option>
endpoint_pool::find_options(const placement_request& request, const prefix_locations& locations,
                            time_point now)
{
    std::vector<placement_option> options;
    for (auto& [id, state] : m_endpoints) {
        if (!is_candidate(state, request) || !has_free_slot(state, now) || !may_send(state, now)) {
            continue;
        }
        options.push_back(
            state.of_service->states_load
                ? modelled_option(state, request.request_prompt, locations, now)
                : placement_option{&state,
                                   expected_time(state, request.request_prompt, locations, now),
                                   {},
                                   0,
                                   0});
    }
    return options;
}

/// Returns a random one of the options that are equivalent to the best, but the preferred endpoint
/// if it is among them. Precondition: `options` is not empty.
const endpoint_pool::placement_option& endpoint_pool::pick(std::vector<placement_option>& options,
                                                           const endpoint_state* preferred,
                                                           random_source& random) const
{
    const auto best =
        std::min_element(options.begin(), options.end(), [](const auto& lhs, const auto& rhs) {
            return lhs.expected < rhs.expected;
        });
    const duration bound = best->expected + m_options.equivalence_range;
    std::erase_if(options, [bound](const auto& option) { return option.expected > bound; });
    const auto found = std::find_if(options.begin(), options.end(),
                                    [&](const auto& option) { return option.state == preferred; });
    return found != options.end() ? *found : options[random_index(random, options.size())];
}

std::optional<placement> endpoint_pool::choose(const placement_request& request, time_point now,
                                               random_source& random)
{
    const prefix_locations locations = find_locations(request, now);
    std::vector<placement_option> options = find_options(request, locations, now);
    if (options.empty()) {
        return std::nullopt;
    }
    const placement_option& picked = options.front().conditions.is_known
                                         ? pick_modelled(options, request, locations, now, random)
                                         : pick(options, locations.preferred, random);
    const endpoint_state* const best = picked.state;
    placement chosen{best->entry.id,
                     best->entry.address,
                     picked.expected,
                     is_cold(*best, now),
                     {},
                     0,
                     best->entry.started_ms,
                     picked.conditions,
                     time_ahead(picked, now),
                     best->software_version};
    if (request.request_prompt != nullptr) {
        chosen.fetched_tokens =
            tokens_to_fetch(*best, cached_tokens(*best, *request.request_prompt, now), locations);
    }
    if (chosen.fetched_tokens > 0) {
        chosen.prompt_source = locations.source->entry.address;
    }
    return chosen;
}

bool endpoint_pool::has_candidate(const placement_request& request, time_point now,
                                  time_point wait_until, std::size_t waiting_ahead)
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](auto& item) {
        endpoint_state& state = item.second;
        if (!is_candidate(state, request) || state.backoff_until >= now + m_options.max_backoff ||
            is_without_share(state)) {
            return false;
        }
        std::optional<duration> wait = time_unwanted(state, now);
        if (wait && state.share) {
            *wait += from_seconds(static_cast<double>(waiting_ahead) / state.share->rate());
        }
        return wait && (*wait <= duration{0} || *wait < wait_until - now);
    });
}

bool endpoint_pool::may_gain_endpoint(const placement_request& request, time_point now,
                                      time_point until)
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](auto& item) {
        endpoint_state& state = item.second;
        return is_candidate(state, request) && state.backoff_until < until &&
               state.turned_away_until < until && !is_without_share(state) &&
               !(has_free_slot(state, now) && may_send(state, now));
    });
}

std::optional<duration> endpoint_pool::time_turned_away(const placement_request& request,
                                                        time_point now)
{
    std::optional<duration> shortest;
    for (auto& [id, state] : m_endpoints) {
        if (!is_candidate(state, request)) {
            continue;
        }
        const std::optional<duration> wait = time_unwanted(state, now);
        if (!wait) {
            continue;
        }
        if (*wait <= duration{0}) {
            return std::nullopt;
        }
        shortest = shortest ? std::min(*shortest, *wait) : *wait;
    }
    return shortest;
}

service_load endpoint_pool::free_capacity(const service& queried_service, time_point now) const
{
    service_load load;
    load.expected_wait = max_expected_wait;
    const placement_request any{&queried_service, nullptr, {}};
    for (const auto& [id, state] : m_endpoints) {
        // one that is only unproven is asked ahead of requests, or at once when there are some
        if (!is_candidate(state, any) || is_blocked(state, now) || state.share ||
            state.history->is_known_cold(now) || is_without_share(state)) {
            continue;
        }
        add_capacity(state, load, now);
    }
    return load;
}

/// Adds the free slots of an endpoint to those of its region.
void endpoint_pool::add_capacity(const endpoint_state& state, service_load& load,
                                 time_point now) const
{
    const std::uint32_t active = state.own.active + state.peers.active;
    if (active >= max_active(state)) {
        return;
    }
    load.free_places += max_active(state) - active;
    const duration expected =
        state.of_service->states_load
            ? modelled_time(state, conditions_of(state, nullptr, {}, now), now)
            : expected_time(state, nullptr, {}, now);
    load.expected_wait = std::min(load.expected_wait, expected);
}

std::uint32_t endpoint_pool::on_sent(const std::string& endpoint, const prompt* request_prompt,
                                     time_point now, std::uint64_t fetched_tokens)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return 0;
    }
    endpoint_state& state = found->second;
    ++state.own.active;
    add_own_change(state, {now, false});
    if (state.share) {
        state.share->take_up_to(1, now);
    }
    if (state.cold_rate > 0) {
        state.history->on_sent(now);
    }
    if (request_prompt == nullptr) {
        state.of_service->share.on_sent(0, now);
        state.of_service->assumed_at = {};
        return 0;
    }
    const std::uint64_t had = cached_tokens(state, *request_prompt, now) + fetched_tokens;
    const auto waiting = static_cast<std::uint32_t>(request_prompt->prompt_tokens -
                                                    std::min(had, request_prompt->prompt_tokens));
    state.of_service->share.on_sent(waiting, now);
    state.of_service->assumed_at = {};
    state.own.waiting_tokens += waiting;
    const time_point processed_at = now + prefill_time(state);
    for (const prompt_prefix& prefix : request_prompt->prefixes) {
        add_cached_prefix(state, prefix.id, {now, processed_at});
    }
    if (request_prompt->shared_id() != 0 && m_sent_prefixes.size() < max_sent_prefixes) {
        m_sent_prefixes.push_back({request_prompt->shared_id(), state.hash});
    }
    return waiting;
}

/// Returns the time until the engine has processed all prompts that were sent to it.
duration endpoint_pool::prefill_time(const endpoint_state& state) const
{
    const auto waiting = static_cast<double>(state.own.waiting_tokens + state.peers.waiting_tokens);
    if (state.of_service->states_load) {
        return state.of_service->model.read_time(waiting);
    }
    constexpr double ms_per_s = 1'000;
    return from_seconds(waiting / m_options.nominal_prefill_rate / ms_per_s * state.slowness);
}

void endpoint_pool::add_cached_prefix(endpoint_state& state, std::uint64_t prefix,
                                      cached_prefix added)
{
    if (state.cached_prefixes.size() >= max_cached_prefixes) {
        state.cached_prefixes.clear();
    }
    const auto [held, is_new] = state.cached_prefixes.try_emplace(prefix, added);
    if (!is_new) {
        // a prefix that was processed before can still be fetched
        held->second = {added.last_used, std::min(held->second.processed_at, added.processed_at)};
    }
}

void endpoint_pool::on_peer_prefix(const sent_prefix& received, time_point now)
{
    for (auto& [id, state] : m_endpoints) {
        if (state.hash == received.endpoint) {
            add_cached_prefix(state, received.prefix, {now, now + prefill_time(state)});
        }
    }
}

std::vector<sent_prefix> endpoint_pool::take_sent_prefixes()
{
    return std::exchange(m_sent_prefixes, {});
}

void endpoint_pool::remove_waiting_tokens(endpoint_state& state, std::uint32_t waiting_tokens)
{
    state.own.waiting_tokens -= std::min(state.own.waiting_tokens, waiting_tokens);
}

void endpoint_pool::on_first_byte(const endpoint_incarnation& endpoint,
                                  std::uint32_t waiting_tokens, duration elapsed, duration expected,
                                  const first_byte_conditions& conditions, time_point now)
{
    endpoint_state* const found = find_incarnation(endpoint);
    if (found == nullptr) {
        return;
    }
    endpoint_state& state = *found;
    remove_waiting_tokens(state, waiting_tokens);
    if (now != time_point{}) {
        state.history->on_contact(now);
    }
    if (conditions.is_known) {
        learn_first_byte(state, elapsed, conditions, now);
        return;
    }
    const double sample =
        to_seconds(std::min(elapsed, max_expected_wait)) / std::max(to_seconds(expected), 0.001);
    const double learned = state.slowness * std::clamp(sample, 0.2, 5.0);
    state.slowness = std::clamp(state.slowness + slowness_weight * (learned - state.slowness),
                                min_slowness, max_slowness);
}

void endpoint_pool::start_backoff(endpoint_state& state, time_point now) const
{
    const unsigned doublings = std::min(state.failures, 6U);
    state.is_half_open = true;
    state.backoff_until =
        now + std::min(m_options.initial_backoff * (1U << doublings), m_options.max_backoff);
}

/// Returns the state of the endpoint if its entry is that of this incarnation, or null.
endpoint_pool::endpoint_state* endpoint_pool::find_incarnation(const endpoint_incarnation& endpoint)
{
    const auto found = m_endpoints.find(endpoint.id);
    const bool is_present =
        found != m_endpoints.end() && found->second.entry.started_ms == endpoint.started_ms;
    return is_present ? &found->second : nullptr;
}

/// Records what the end of an attempt tells of a restart. An attempt may have reached a later
/// incarnation than the one that was chosen, so it counts for the one whose entry is known.
void endpoint_pool::record_restart_sign(const std::string& endpoint, endpoint_outcome outcome,
                                        time_point now)
{
    switch (outcome) {
    case endpoint_outcome::refused:
        on_restart_sign(endpoint, restart_sign::refused, now);
        break;
    case endpoint_outcome::unreachable:
    case endpoint_outcome::timed_out:
        on_restart_sign(endpoint, restart_sign::unconfirmed, now);
        break;
    case endpoint_outcome::cut:
        if (const auto found = m_endpoints.find(endpoint); found != m_endpoints.end()) {
            on_disconnected(found->second, now);
        }
        break;
    default:
        break;
    }
}

void endpoint_pool::on_end(const endpoint_incarnation& endpoint, std::uint32_t waiting_tokens,
                           endpoint_outcome outcome, time_point now, duration elapsed)
{
    record_restart_sign(endpoint.id, outcome, now);
    endpoint_state* const found = find_incarnation(endpoint);
    if (found == nullptr) {
        return;
    }
    endpoint_state& state = *found;
    state.own.active -= std::min(state.own.active, 1U);
    add_own_change(state, {now, true});
    state.of_service->share.on_end();
    if (outcome == endpoint_outcome::answered && elapsed > duration{0}) {
        state.of_service->model.on_complete(elapsed);
    }
    remove_waiting_tokens(state, waiting_tokens);
    switch (outcome) {
    case endpoint_outcome::answered:
        state.failure_rate *= 1 - failure_weight;
        state.failures = 0;
        state.is_half_open = false;
        on_room_used(state);
        break;
    case endpoint_outcome::failed:
        state.failure_rate += failure_weight * (1 - state.failure_rate);
        state.is_half_open = false;
        break;
    case endpoint_outcome::shed:
        if (rejection_limit(state)) {
            on_rejected(state, now);
        }
        state.backoff_until = std::max(state.backoff_until, now + m_options.shed_backoff);
        break;
    case endpoint_outcome::refused:
    case endpoint_outcome::unreachable:
        start_backoff(state, now);
        ++state.failures;
        break;
    case endpoint_outcome::cut:
    case endpoint_outcome::timed_out:
    case endpoint_outcome::malformed:
        count_failure(state, now);
        break;
    case endpoint_outcome::gone:
        state.is_listed = false;
        break;
    case endpoint_outcome::abandoned:
        break;
    }
}

/// Counts a failure after which the endpoint is ejected unless it is the first one.
void endpoint_pool::count_failure(endpoint_state& state, time_point now) const
{
    state.failure_rate += failure_weight * (1 - state.failure_rate);
    if (++state.failures > 1) {
        start_backoff(state, now);
    }
}

} // namespace hickorykeel::gateway
