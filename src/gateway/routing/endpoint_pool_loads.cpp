#include "gateway/routing/endpoint_choice.h"
#include "gateway/routing/endpoint_pool.h"

#include <algorithm> // clamp, find_if, max, min, min_element, nth_element
#include <chrono>    // milliseconds, seconds
#include <cmath>     // exp2, lround
#include <cstddef>   // size_t
#include <limits>    // numeric_limits
#include <optional>  // optional

// The part of endpoint_pool that concerns the load placed by hosts and stated by endpoints, and the times
// to first byte expected from it.

namespace hickorykeel::gateway {

namespace {

/// Time for which this host's own requests are remembered, to be added to an earlier statement.
constexpr duration own_change_retention = std::chrono::seconds{2};
constexpr std::size_t max_own_changes = 256; ///< of one endpoint
constexpr double mean_pace_weight = 0.05;    ///< of a new statement, in the mean of a service
/// Half-life of earlier statements in the mean pace of an endpoint. The pace changes many times a second,
/// so that the last value alone doesn't represent the time in which a request runs.
constexpr duration pace_half_life = std::chrono::milliseconds{800};
constexpr double typical_tokens = 2'000; ///< that a request has to read

/// Bounds of the time to read a prefix again, as part of the margin by which its owners may be worse.
constexpr duration min_preference = std::chrono::milliseconds{20};
constexpr duration max_preference = std::chrono::milliseconds{100};

/// After a host's start, an owner of a prompt's prefix is chosen as long as it isn't worse than the
/// best endpoint by more than this many times the best one's expected time, and hasn't more than
/// `max_start_load` times the mean load: engines may have cached nothing yet, and a prefix that several
/// of them read takes the time of other requests. In a simulated start with four seconds' requests at
/// once, 0.47 and 0.52 of the requests were in time without this, 0.73 with it.
constexpr int start_preference = 2;
constexpr double max_start_load = 3;

constexpr duration max_first_byte_sample = std::chrono::seconds{10};
/// Number of samples of a service from which on the corrections of endpoints are learned. Before, the
/// difference from the nominal times is that of the service.
constexpr std::uint32_t min_correction_samples = 20;

/// Precondition: `options` isn't empty.
duration best_expected(const std::vector<endpoint_option>& options)
{
    return std::min_element(
               options.begin(), options.end(),
               [](const auto& lhs, const auto& rhs) { return lhs.expected < rhs.expected; })
        ->expected;
}

} // namespace

endpoint_pool::service_state& endpoint_pool::state_of(const service& of)
{
    const first_byte_model_options options{.base = of.engine ? m_options.engine_base
                                                             : m_options.plain_base,
                                           .rate = m_options.nominal_prefill_rate};
    const start_share share = m_start.value_or(start_share{});
    return m_services
        .try_emplace(of.name, service_state{first_byte_model{options}, {}, false, share, 0, {}, {}})
        .first->second;
}

// start

void endpoint_pool::begin_start(const start_share_options& options, time_point now)
{
    m_start = start_share{options, now};
    for (auto& [name, of_service] : m_services) {
        of_service.share = *m_start;
    }
}

void endpoint_pool::set_known_hosts(const known_hosts& hosts, time_point now)
{
    if (!m_start || !m_start->is_active(now)) {
        return;
    }
    m_start->on_hosts(hosts, now);
    for (auto& [name, of_service] : m_services) {
        of_service.share.on_hosts(hosts, now);
        of_service.assumed_at = {};
    }
}

/// Returns the load that peers are assumed to have placed on the endpoint, beyond what they have told.
assumed_load endpoint_pool::assumed_at(const endpoint_state& state, time_point now)
{
    service_state& of = *state.of_service;
    if (!of.share.is_active(now)) {
        return {};
    }
    if (of.assumed_at != now) {
        constexpr double many = 1'000;
        const double tokens_per_s = many / to_seconds(of.model.read_time(many));
        of.assumed = of.share.assumed(of.endpoints, tokens_per_s, now);
        of.assumed_at = now;
    }
    return of.assumed;
}

bool endpoint_pool::is_start_limited(const std::string& service, time_point now) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.states_load &&
           found->second.share.is_active(now);
}

std::vector<endpoint_entry> endpoint_pool::choose_load_samples(std::size_t count, time_point now,
                                                               random_source& random) const
{
    std::map<std::string, std::vector<const endpoint_state*>> candidates;
    for (const auto& [id, state] : m_endpoints) {
        const bool gets_requests =
            state.is_listed && !state.is_leaving && !state.is_ended && !state.is_ended_elsewhere;
        const bool is_warm = state.cold_rate <= 0 || !is_cold(state, now);
        if (gets_requests && is_warm && state.is_engine && !is_blocked(state, now)) {
            candidates[state.entry.service].push_back(&state);
        }
    }
    std::vector<endpoint_entry> samples;
    for (auto& [service, of_service] : candidates) {
        for (std::size_t n = 0; n < count && !of_service.empty(); ++n) {
            const auto picked = of_service.begin() + static_cast<std::ptrdiff_t>(
                                                         random_index(random, of_service.size()));
            samples.push_back((*picked)->entry);
            of_service.erase(picked);
        }
    }
    return samples;
}

// loads placed by hosts

void endpoint_pool::set_peer_loads(const std::unordered_map<std::uint32_t, endpoint_load>& loads,
                                   time_point as_of)
{
    m_peer_loads_as_of = as_of;
    struct sum {
        double tokens = 0;
        double endpoints = 0;
    };
    std::map<service_state*, sum> sums;
    for (auto& [id, state] : m_endpoints) {
        const auto found = loads.find(state.hash);
        state.peers = found == loads.end() ? endpoint_load{} : found->second;
        if (state.peers.active > 0 && as_of != time_point::max()) {
            state.history->on_contact(as_of);
        }
        if (state.is_listed) {
            sum& of_service = sums[state.of_service];
            of_service.tokens += state.peers.waiting_tokens;
            ++of_service.endpoints;
        }
    }
    for (const auto& [of_service, total] : sums) {
        of_service->means.peer_tokens = total.tokens / total.endpoints;
    }
}

std::unordered_map<std::uint32_t, endpoint_load> endpoint_pool::own_loads() const
{
    std::unordered_map<std::uint32_t, endpoint_load> loads;
    for (const auto& [id, state] : m_endpoints) {
        if (state.own.active > 0) {
            loads[state.hash] = state.own;
        }
    }
    return loads;
}

void endpoint_pool::add_own_change(endpoint_state& state, const own_change& change)
{
    auto& changes = state.own_changes;
    const auto kept = std::find_if(changes.begin(), changes.end(), [&](const own_change& held) {
        return change.at - held.at < own_change_retention;
    });
    changes.erase(changes.begin(), kept);
    if (changes.size() >= max_own_changes) {
        changes.erase(changes.begin());
    }
    changes.push_back(change);
}

duration endpoint_pool::peer_loads_age(time_point now) const
{
    return std::max(duration{0}, now - std::min(now, m_peer_loads_as_of));
}

// loads stated by endpoints

void endpoint_pool::on_load_statement(const endpoint_incarnation& endpoint,
                                      const load_statement& load, time_point as_of, time_point now)
{
    endpoint_state* const state = find_incarnation(endpoint);
    as_of = std::min(as_of, now);
    if (state == nullptr || (state->stated && as_of <= state->stated->as_of)) {
        return;
    }
    double pace = load.pace;
    if (state->stated) {
        const double passed = to_seconds(as_of - state->stated->as_of);
        const double kept = std::exp2(-passed / to_seconds(pace_half_life));
        pace += kept * (state->stated->mean_pace - load.pace);
    }
    state->stated = held_statement{load, as_of, pace, true};
    service_state& of_service = *state->of_service;
    of_service.states_load = true;
    m_has_load_statements = true;
    of_service.means.pace += mean_pace_weight * (load.pace - of_service.means.pace);
}

void endpoint_pool::on_peer_load(const load_report& report, time_point arrived_after,
                                 time_point now)
{
    const auto found = m_incarnations.find(report.incarnation);
    if (found == m_incarnations.end()) {
        return;
    }
    const auto held = m_endpoints.find(found->second.id);
    const time_point as_of = arrived_after - report.age;
    if (held == m_endpoints.end() || (held->second.stated && as_of <= held->second.stated->as_of)) {
        return;
    }
    on_load_statement(found->second, report.load, as_of, now);
    if (held->second.stated) {
        held->second.stated->is_untold = false;
    }
}

std::vector<load_report> endpoint_pool::take_load_reports(time_point now)
{
    std::vector<endpoint_state*> untold;
    for (auto& [id, state] : m_endpoints) {
        if (state.stated && state.stated->is_untold) {
            untold.push_back(&state);
        }
    }
    if (untold.size() > max_load_reports) {
        // the rest are sent with the next heartbeats
        std::nth_element(untold.begin(), untold.begin() + max_load_reports, untold.end(),
                         [](const auto* lhs, const auto* rhs) {
                             return lhs->stated->as_of > rhs->stated->as_of;
                         });
        untold.resize(max_load_reports);
    }
    std::vector<load_report> reports;
    reports.reserve(untold.size());
    for (endpoint_state* const state : untold) {
        held_statement& stated = *state->stated;
        stated.is_untold = false;
        load_report report{state->incarnation_hash, stated.load, now - stated.as_of};
        if (report.load.slots == state->entry.slots) {
            report.load.slots = 0;
        }
        reports.push_back(report);
    }
    return reports;
}

load_estimate endpoint_pool::estimated_load(const endpoint_state& state, time_point now) const
{
    std::optional<aged_statement> stated;
    if (state.stated) {
        stated = aged_statement{state.stated->load, now - state.stated->as_of, 0, 0};
        stated->load.pace = state.stated->mean_pace;
        for (const own_change& change : state.own_changes) {
            if (change.at > state.stated->as_of) {
                ++(change.is_end ? stated->ended_since : stated->sent_since);
            }
        }
    }
    service_means means = state.of_service->means;
    means.residence = state.of_service->model.residence();
    const assumed_load assumed = assumed_at(state, now);
    endpoint_load peers = state.peers;
    peers.active += static_cast<std::uint32_t>(std::lround(assumed.requests));
    load_estimate estimate =
        estimate_load(stated, {state.own, peers, peer_loads_age(now)}, means, state.entry.slots);
    estimate.unread_tokens += assumed.unread_tokens;
    return estimate;
}

// expected times

/// Returns the prompt tokens that the endpoint would read; those that it would fetch from another one
/// count by the time that this takes.
double endpoint_pool::unread_tokens(const endpoint_state& state, const prompt* request_prompt,
                                    const prefix_locations& locations, time_point now) const
{
    if (request_prompt == nullptr) {
        return typical_tokens;
    }
    const std::uint64_t cached = cached_tokens(state, *request_prompt, now);
    const std::uint64_t fetched = tokens_to_fetch(state, cached, locations);
    const auto computed = static_cast<double>(request_prompt->prompt_tokens - cached - fetched);
    if (fetched == 0) {
        return computed;
    }
    constexpr double many = 1'000;
    const double ms_per_token = to_seconds(state.of_service->model.read_time(many));
    return computed + static_cast<double>(fetched) / state.transfer_rate / ms_per_token;
}

first_byte_conditions endpoint_pool::conditions_of(const endpoint_state& state,
                                                   const prompt* request_prompt,
                                                   const prefix_locations& locations,
                                                   time_point now) const
{
    const load_estimate load = estimated_load(state, now);
    first_byte_conditions conditions;
    conditions.is_known = true;
    conditions.pace = load.pace;
    conditions.correction = state.correction.factor(now);
    conditions.running = load.running;
    conditions.waiting = load.waiting;
    if (state.is_engine) {
        conditions.tokens_ahead = load.unread_tokens;
        conditions.own_tokens = unread_tokens(state, request_prompt, locations, now);
    }
    else {
        // running requests have no decoding steps
        const double slots = std::max(1U, state.entry.slots);
        conditions.rounds += std::max(0.0, load.running + load.waiting + 1 - slots) / slots;
        conditions.running = 0;
        conditions.waiting = 0;
    }
    return conditions;
}

/// Returns the expected time to first byte of a prompt without unread tokens, or 0 if the endpoint is
/// no engine or states no load.
duration endpoint_pool::time_ahead(const placement_option& option, time_point now)
{
    if (!option.conditions.is_known || !option.state->is_engine) {
        return duration{0};
    }
    first_byte_conditions conditions = option.conditions;
    conditions.own_tokens = 0;
    conditions.tokens_ahead += option.reserve;
    return modelled_time(*option.state, conditions, now);
}

/// Returns the expected time to first byte, raised by the endpoint's failure rate.
duration endpoint_pool::modelled_time(const endpoint_state& state,
                                      const first_byte_conditions& conditions, time_point now)
{
    const duration expected = state.of_service->model.expect(conditions, now).total();
    return from_seconds(to_seconds(expected) * failure_factor(state));
}

endpoint_pool::placement_option endpoint_pool::modelled_option(endpoint_state& state,
                                                               const prompt* request_prompt,
                                                               const prefix_locations& locations,
                                                               time_point now) const
{
    const first_byte_conditions conditions = conditions_of(state, request_prompt, locations, now);
    const double active = static_cast<double>(state.own.active) + state.peers.active;
    first_byte_conditions cautious = conditions;
    double reserve = 0;
    const double caution = state.of_service->share.caution(now);
    if (caution > 1) {
        reserve = (caution - 1) * assumed_at(state, now).unread_tokens;
        cautious.tokens_ahead += reserve;
    }
    return {&state, modelled_time(state, cautious, now), conditions, active, reserve};
}

/// Returns the margin by which an owner of the prompt's shared prefix may be worse than the best
/// endpoint. Another endpoint would read the prefix again. Where all endpoints have work ahead, the
/// requests behind it wait for that too, so that the least work ahead is added: otherwise a service
/// near saturation spends its time on prefixes. Precondition: `options` isn't empty.
duration endpoint_pool::prefix_preference(const std::vector<placement_option>& options,
                                          const prompt& request_prompt)
{
    const first_byte_model& model = options.front().state->of_service->model;
    const auto shared = static_cast<double>(request_prompt.prefixes.back().tokens);
    double least_ahead = std::numeric_limits<double>::max();
    for (const placement_option& option : options) {
        least_ahead =
            std::min(least_ahead, option.conditions.tokens_ahead * option.conditions.pace);
    }
    return std::clamp(model.read_time(shared), min_preference, max_preference) +
           model.read_time(least_ahead);
}

/// Chooses one of the options by their expected times. Precondition: `options` isn't empty.
const endpoint_pool::placement_option&
endpoint_pool::pick_modelled(const std::vector<placement_option>& options,
                             const placement_request& request, const prefix_locations& locations,
                             time_point now, random_source& random) const
{
    std::vector<endpoint_option> choices;
    choices.reserve(options.size());
    for (const placement_option& option : options) {
        choices.push_back({option.expected, option.load});
    }
    std::vector<std::size_t> preferred;
    for (const endpoint_state* const owner : locations.owners) {
        const auto found = std::find_if(options.begin(), options.end(), [&](const auto& option) {
            return owner != nullptr && option.state == owner;
        });
        if (found != options.end()) {
            preferred.push_back(static_cast<std::size_t>(found - options.begin()));
        }
    }
    duration preference =
        preferred.empty() ? duration{0} : prefix_preference(options, *request.request_prompt);
    endpoint_choice_options settings;
    if (preference > min_preference && options.front().state->of_service->share.is_active(now)) {
        preference = std::max(preference, best_expected(choices) * start_preference);
        settings.max_preferred_load = max_start_load;
    }
    return options[choose_endpoint(choices, preferred, preference, peer_loads_age(now), random,
                                   settings)];
}

void endpoint_pool::learn_first_byte(endpoint_state& state, duration elapsed,
                                     const first_byte_conditions& conditions, time_point now)
{
    first_byte_model& model = state.of_service->model;
    elapsed = std::min(elapsed, max_first_byte_sample);
    if (model.samples() >= min_correction_samples) {
        const first_byte_parts expected = model.expect(conditions, now);
        if (expected.admission < expected.work) {
            state.correction.learn(elapsed, expected.total(), now);
        }
    }
    model.learn(conditions, elapsed, now);
}

} // namespace hickorykeel::gateway
