#include "gateway/serving/exchange.h"

#include "gateway/routing/rendezvous.h"
#include "gateway/serving/region_options.h"
#include "gateway/serving/wait_outlook.h"

#include <algorithm> // clamp, max, min
#include <cstddef>   // size_t
#include <string>    // string
#include <utility>   // exchange, move
#include <variant>   // get, get_if

namespace hickorykeel::gateway {

namespace {

/// Idle connections to one other host. Each takes a part of the connections that the other host
/// accepts from all hosts.
constexpr std::size_t max_idle_to_host = 4;

/// Endpoints that a host without a path to them considers for one request.
constexpr std::size_t max_choices = 8;

} // namespace

exchange::exchange(serving_context& context, std::shared_ptr<server_exchange> caller,
                   bool is_forwarded)
    : m_context{context}, m_registration{context.exchanges.all(), this},
      m_caller{std::move(caller)}, m_is_forwarded{is_forwarded},
      m_received{boot_clock::now()}, m_events{context.memory}, m_timer{context.loop}
{
}

// checks

void exchange::start()
{
    m_caller->set_on_disconnect([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_disconnect();
        }
    });
    m_caller->set_on_drained([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->resume_reading();
        }
    });
    m_fields = m_context.adapter.read_caller_fields(m_caller->head());
    if (!m_fields.refusal_reason.empty()) {
        refuse(400, m_fields.refusal_reason, "no", {});
        return;
    }
    if (m_caller->is_out_of_memory() || !charge_fields()) {
        m_context.metrics.count("request_out_of_memory");
        refuse(503, "out_of_memory", "no", m_context.options.retry_after_out_of_memory);
        return;
    }
    if (!m_context.takes_requests) {
        refuse(503, "stopping", "no", m_context.options.retry_after_stop);
        return;
    }
    if (!authorise()) {
        return;
    }
    duration allowed = m_authorised.matched_route->timeout;
    if (m_fields.deadline) {
        allowed = std::min<duration>(allowed, *m_fields.deadline);
    }
    m_deadline = m_received + allowed;
    if (m_is_forwarded) {
        const header_list& headers = m_caller->head().headers;
        m_age = parse_milliseconds(headers.find(age_header)).value_or(duration{0});
        m_software_version = parse_hash(headers.find(software_version_header));
    }
    if (admit()) {
        place();
    }
}

/// Charges the memory of this object and of the fields read from the head. Returns whether the
/// budget admits it.
bool exchange::charge_fields()
{
    std::size_t bytes = sizeof(exchange) + m_fields.shared_parts.capacity() * sizeof(std::uint64_t);
    if (m_fields.prompt_size) {
        bytes += m_fields.prompt_size->prefixes.capacity() * sizeof(prompt_prefix);
    }
    m_fields_charge = memory_charge{m_context.memory};
    return m_fields_charge.try_resize(bytes);
}

authorisation_result exchange::check_authorisation() const
{
    return authorise_request(m_context.state, m_caller->head(), m_fields.key,
                             m_context.options.authorisation, boot_clock::now());
}

/// Authorises the request by the configuration published now, or refuses it.
bool exchange::authorise()
{
    authorisation_result checked = check_authorisation();
    if (const auto* refusal = std::get_if<authorisation_refusal>(&checked)) {
        refuse_authorisation(*refusal);
        return false;
    }
    m_authorised = std::get<authorisation>(std::move(checked));
    return true;
}

void exchange::refuse_authorisation(const authorisation_refusal& refusal)
{
    if (m_attempt_count.executions() == 0) {
        refuse(refusal.status, refusal.code, "no", refusal.retry_after);
        return;
    }
    // an earlier attempt may have run, so that nothing that promises the contrary is sent
    refuse(refusal.status == 503 ? 502 : refusal.status, refusal.code, "unknown", {});
}

double exchange::units() const
{
    const organisation* of = m_authorised.find_organisation();
    if (of == nullptr || !of->counts_tokens) {
        return 1;
    }
    return m_fields.prompt_size ? static_cast<double>(m_fields.prompt_size->total_tokens())
                                : of->default_tokens;
}

bool exchange::admit()
{
    const organisation* of = m_authorised.find_organisation();
    if (m_is_forwarded || of == nullptr || m_charged_units > 0) {
        return true;
    }
    const duration wait =
        m_context.usage.take(of->name, {of->rate, of->burst}, units(), boot_clock::now());
    if (wait > duration{0}) {
        m_context.log.write_request(log_line{"request_over_limit"}
                                        .add("id", m_fields.id)
                                        .add("organisation", of->name)
                                        .add_number("units", units())
                                        .add_number("level", m_context.usage.level(of->name))
                                        .add_number("rate", of->rate)
                                        .add_number("burst", of->burst)
                                        .add_number("part", m_context.usage.share())
                                        .add_ms("retry_after_ms", wait));
        refuse(429, "over_limit", "no", wait);
        return false;
    }
    m_charged_units = units();
    return true;
}

// placement

duration exchange::time_left() const
{
    return m_deadline - boot_clock::now();
}

time_point exchange::wait_deadline() const
{
    const serving_options& options = m_context.options;
    if (m_has_response_started) {
        return std::min(m_last_attempt_end + options.max_resumption_wait,
                        m_deadline - options.min_time_left);
    }
    const duration max_wait = m_is_forwarded
                                  ? options.max_forwarded_wait
                                  : from_seconds(to_seconds(m_authorised.matched_route->objective) *
                                                 options.wait_fraction);
    return std::min(m_received + max_wait, m_deadline - options.min_time_left);
}

duration exchange::max_expected_first_byte(time_point now) const
{
    return max_time_to_first_byte(m_authorised.matched_route->objective, m_age + (now - m_received),
                                  m_context.options.first_byte_limit);
}

bool exchange::retry_placement()
{
    if (m_stage != stage::waiting) {
        return false;
    }
    m_stage = stage::placing;
    return !place_again();
}

/// Places a request after time in the queue or a failed attempt. Authorises it again, since the
/// published configuration may have changed. Returns whether the request has left the queue.
bool exchange::place_again()
{
    return !authorise() || place();
}

void exchange::choose_service()
{
    double sum = 0;
    for (const weighted_service& candidate : m_authorised.matched_route->services) {
        sum += candidate.weight;
    }
    double remaining = random_fraction(m_context.random) * sum;
    for (const weighted_service& candidate : m_authorised.matched_route->services) {
        m_service = candidate.service;
        remaining -= candidate.weight;
        if (remaining < 0) {
            break;
        }
    }
    if (!m_is_forwarded) {
        service_retry_budget().on_request();
    }
}

retry_budget& exchange::service_retry_budget()
{
    // all hosts that may exist share the slack; half of it is kept back for hosts not yet known
    const auto hosts = static_cast<double>(m_context.members.known_count());
    const double slack = m_context.settings.retry_slack / (2 * hosts);
    return m_context.retry_budgets
        .try_emplace(m_service, m_context.settings.retry_ratio, std::max(1.0, slack))
        .first->second;
}

/// Sends, queues or refuses the request. Returns false if it waits in the queue.
/// Precondition: `authorise()` has just returned true.
bool exchange::place()
{
    if (time_left() < m_context.options.min_time_left) {
        give_up("deadline");
        return true;
    }
    if (refuse_quarantined()) {
        return true;
    }
    const bool is_first_placement = m_service.empty();
    if (is_first_placement) {
        choose_service();
    }
    const service* of = m_authorised.published->find_service(m_service);
    if (of == nullptr) {
        give_up("service_unknown");
        return true;
    }
    const time_point now = boot_clock::now();
    if (is_first_placement && engine_prompt(*of) != nullptr) {
        const route& matched = *m_authorised.matched_route;
        m_context.prompt_rooms[m_service].on_request(matched.priority, matched.objective, now);
    }
    if (is_first_placement && refuse_unknown_origin(now)) {
        return true;
    }
    const placement_options options = find_placements(m_authorised, *of, m_excluded, now);
    if (const auto chosen = choose_destination(m_authorised, options, now)) {
        if (!m_is_queued && !m_has_response_started && m_context.waiting_count(m_service) > 0) {
            // the round decides whether a request that waits already is placed first
            enqueue();
            m_context.retry_waiting();
            return false;
        }
        send(*chosen);
        return true;
    }
    const bool is_starting = now - m_context.started < m_context.options.startup_period;
    const bool may_become_available =
        options.is_overloaded || is_starting || !options.others.empty() ||
        (allows_own_region(m_authorised) &&
         m_context.pool.has_candidate(to_placement_request(*of, m_excluded), now, wait_deadline(),
                                      m_is_queued ? 0 : m_context.waiting_count(m_service)));
    if (!may_become_available) {
        give_up_without_endpoint(*of);
        return true;
    }
    if (now >= wait_deadline()) {
        give_up_after_wait(options, now);
        return true;
    }
    if (!is_starting && refuse_at_once(*of, options, now)) {
        return true;
    }
    m_lowest_expected = options.lowest_expected;
    note_wait();
    enqueue();
    return false;
}

/// Whether no other request waits here for the service, so that serving this one late delays none.
bool exchange::may_be_last() const
{
    return !m_is_forwarded && !m_has_response_started &&
           m_context.waiting_count(m_service) <= (m_is_queued ? 1U : 0U);
}

/// Refuses a request at the end of its wait, or sends it if it may be served late.
void exchange::give_up_after_wait(const placement_options& options, time_point now)
{
    if (options.late_here && may_be_last()) {
        const duration limit = max_time_to_last_first_byte(m_authorised.matched_route->objective,
                                                           m_age + (now - m_received), time_left(),
                                                           m_context.options.first_byte_limit);
        if (options.late_here->expected <= limit) {
            m_context.metrics.count("request_sent_late");
            send_to_endpoint(*options.late_here);
            return;
        }
    }
    give_up(options.is_overloaded ? "overloaded" : "no_free_place");
}

/// Whether the request certainly can't be placed until `wait_deadline()`.
/// Precondition: it has no option now, and `now` is before `wait_deadline()`.
bool exchange::is_known_hopeless(const service& of, const placement_options& options,
                                 time_point now)
{
    const duration wait = wait_deadline() - now;
    const auto rate = m_context.first_byte_rates.find(m_service);
    if (!m_is_queued && rate != m_context.first_byte_rates.end()) {
        const auto per_s = rate->second.per_s(now);
        if (per_s && is_out_of_reach(m_context.waiting_ahead(*this), *per_s, wait)) {
            return true;
        }
    }
    // an endpoint that can't take the request now may be able to during the wait
    const placement_request request = to_placement_request(of, m_excluded);
    if (!options.late_here || m_context.pool.may_gain_endpoint(request, now, now + wait)) {
        return false;
    }
    const duration objective = m_authorised.matched_route->objective;
    const duration age = m_age + (now - m_received) + wait;
    const first_byte_limit_options& limits = m_context.options.first_byte_limit;
    const duration limit =
        may_be_last() ? max_time_to_last_first_byte(objective, age, time_left() - wait, limits)
                      : max_time_to_first_byte(objective, age, limits);
    // the expected time falls by one second per second at most
    return is_hopeless({options.lowest_expected, wait, limit, time_left()});
}

/// Refuses the request if waiting can't help it. Returns whether it was refused.
bool exchange::refuse_at_once(const service& of, const placement_options& options, time_point now)
{
    if (m_has_response_started || !is_known_hopeless(of, options, now)) {
        return false;
    }
    if (!m_has_waited) {
        m_context.metrics.count("request_refused_at_once");
    }
    give_up(options.is_overloaded ? "overloaded" : "no_free_place");
    return true;
}

bool exchange::allows_own_region(const authorisation& authorised) const
{
    // a caller of a route that needs no key is served where it has connected
    const organisation* of =
        m_is_forwarded ? authorised.find_key_owner() : authorised.find_organisation();
    return allows_region(*authorised.matched_route, of, m_context.settings.region);
}

/// Returns the endpoint that the request may be sent to now, or nothing. Without a path, this host
/// only has its open connections, if those are in use.
std::optional<placement> exchange::choose_endpoint(placement_request request, time_point now) const
{
    const bool has_path = !m_context.path.is_lost(now);
    if (!has_path && !m_context.path.is_receiving(now)) {
        return std::nullopt;
    }
    for (std::size_t choices = 0; choices < max_choices; ++choices) {
        auto chosen = m_context.pool.choose(request, now, m_context.random);
        if (!chosen || has_path || m_context.client.has_idle(chosen->address)) {
            return chosen;
        }
        request.excluded.push_back(chosen->endpoint);
    }
    return std::nullopt;
}

/// Finds where a request may be sent now, without the endpoints in `excluded` and without those
/// from which the first byte is expected too late.
exchange::placement_options exchange::find_placements(const authorisation& authorised,
                                                      const service& of,
                                                      const std::vector<std::string>& excluded,
                                                      time_point now) const
{
    const placement_request request = to_placement_request(of, excluded);
    placement_options options;
    if (allows_own_region(authorised)) {
        options.here = choose_endpoint(request, now);
        if (m_context.pool.has_wanted()) {
            m_context.check_endpoints();
        }
    }
    options.others = find_other_region_options(authorised, now);
    remove_late(options, now);
    return options;
}

/// Refuses the request if it or a part of its prompt is quarantined. Returns whether it was
/// refused.
bool exchange::refuse_quarantined()
{
    const auto by_part = m_context.quarantine.refusal(m_fields.shared_parts, boot_clock::now());
    const auto remaining = by_part ? by_part : request_refusal();
    if (!remaining) {
        return false;
    }
    const std::string_view code = by_part ? "prompt_quarantined" : "request_quarantined";
    m_context.metrics.count(std::string{code});
    if (m_attempt_count.executions() > 0) {
        refuse(502, code, "unknown", {});
    }
    else {
        refuse(503, code, "no", *remaining);
    }
    return true;
}

/// Returns the time for which the request as a whole is refused, or nothing if it isn't.
std::optional<duration> exchange::request_refusal()
{
    return m_context.quarantine.has_request_verdicts()
               ? m_context.quarantine.request_refusal(fingerprint(), boot_clock::now())
               : std::nullopt;
}

std::uint64_t exchange::fingerprint()
{
    if (m_fingerprint == 0) {
        const message_head& head = m_caller->head();
        m_fingerprint = request_fingerprint(head.method, head.target, m_authorised.organisation,
                                            m_caller->body());
    }
    return m_fingerprint;
}

const prompt* exchange::engine_prompt(const service& of) const
{
    return m_fields.prompt_size && of.engine ? &*m_fields.prompt_size : nullptr;
}

/// @param excluded ids of endpoints that must not be chosen
placement_request exchange::to_placement_request(const service& of,
                                                 std::vector<std::string> excluded) const
{
    return {&of, engine_prompt(of), std::move(excluded), m_software_version};
}

std::vector<region_option> exchange::find_other_region_options(const authorisation& authorised,
                                                               time_point now) const
{
    if (m_is_forwarded) {
        return {};
    }
    region_query query{m_service, authorised.matched_route, authorised.find_key_owner(), nullptr,
                       m_software_version};
    if (m_fields.prompt_size && m_attempt_count.attempts() == 0) {
        query.prompt_size = &*m_fields.prompt_size;
    }
    return find_region_options(m_context, query, now);
}

/// Returns the maximum time that the work ahead of the request may take at an engine, so that there
/// is room for more urgent requests with a shorter objective.
duration exchange::max_time_ahead(time_point now) const
{
    const auto room = m_context.prompt_rooms.find(m_service);
    if (m_has_response_started || room == m_context.prompt_rooms.end()) {
        return duration::max();
    }
    const route& matched = *m_authorised.matched_route;
    return room->second.max_time_ahead(matched.priority, matched.objective, now)
        .value_or(duration::max());
}

/// Removes options whose expected time to first byte exceeds the limit, or whose work ahead exceeds
/// `max_time_ahead()`.
void exchange::remove_late(placement_options& options, time_point now) const
{
    const duration limit = m_has_response_started ? time_left() : max_expected_first_byte(now);
    const duration max_ahead = max_time_ahead(now);
    const bool is_late_here =
        options.here && (options.here->expected > limit || options.here->ahead > max_ahead);
    if (is_late_here) {
        options.lowest_expected = options.here->expected;
        options.late_here = std::exchange(options.here, std::nullopt);
    }
    const auto dropped = std::erase_if(options.others, [&](const region_option& option) {
        const duration expected =
            option.expected_wait + round_trip_to(option, m_context.options.regions);
        const bool is_late = expected > limit || option.expected_wait > max_ahead;
        if (is_late && option.free_places > 0) {
            options.lowest_expected = std::min(options.lowest_expected, expected);
        }
        return is_late;
    });
    options.is_overloaded = is_late_here || dropped > 0;
}

/// Returns the best of the options, or nothing if there is none.
std::optional<exchange::destination> exchange::choose_destination(const authorisation& allowed,
                                                                  const placement_options& options,
                                                                  time_point now) const
{
    const auto& here = options.here;
    if (!here && !m_is_forwarded && allows_own_region(allowed)) {
        if (const member* holder = find_room_holder(allowed, now)) {
            return destination{std::nullopt, holder, duration{0},
                               m_context.options.regions.round_trip_in_region};
        }
    }
    const auto elsewhere =
        choose_region(here ? std::optional{here->expected} : std::nullopt, options.others,
                      allowed.matched_route->objective, m_context.options.regions);
    if (elsewhere) {
        const region_option& chosen = options.others[*elsewhere];
        if (const member* host = pick_host(m_context, chosen.region, now)) {
            return destination{std::nullopt, host, chosen.expected_wait,
                               round_trip_to(chosen, m_context.options.regions)};
        }
    }
    if (here) {
        return destination{here, nullptr, here->expected, duration{0}};
    }
    return std::nullopt;
}

/// Returns a host of this region that may send the request to a brittle endpoint, if this host may send
/// to none; null otherwise.
const member* exchange::find_room_holder(const authorisation& allowed, time_point now) const
{
    const service* of = allowed.published->find_service(m_service);
    const auto room = of == nullptr ? std::nullopt
                                    : m_context.pool.find_room_elsewhere(
                                          to_placement_request(*of, m_excluded), m_context.random);
    return room ? pick_room_holder(m_context, *room, now) : nullptr;
}

void exchange::send(const destination& chosen)
{
    if (chosen.host != nullptr) {
        send_to_host(*chosen.host, chosen.expected, chosen.round_trip);
    }
    else {
        send_to_endpoint(*chosen.endpoint);
    }
}

void exchange::enqueue()
{
    m_stage = stage::waiting;
    if (!std::exchange(m_is_queued, true)) {
        m_context.enqueue(shared_from_this());
    }
    arm();
}

/// Reports that the request waits since it could not be placed; once.
void exchange::note_wait()
{
    if (!std::exchange(m_has_waited, true)) {
        m_context.log.write_request(log_line{"request_waits"}
                                        .add("id", m_fields.id)
                                        .add("service", m_service)
                                        .add("priority", std::int64_t{m_authorised.priority}));
        m_context.metrics.count("request_waits");
        if (m_context.pool.is_start_limited(m_service, boot_clock::now())) {
            m_context.metrics.count("request_waits_after_start");
        }
    }
}

order_key exchange::queue_key() const
{
    const double tokens =
        m_fields.prompt_size ? static_cast<double>(m_fields.prompt_size->total_tokens()) : 0;
    return {m_has_response_started, m_authorised.priority, m_authorised.organisation,
            std::max(1.0, tokens), m_received - m_age + m_authorised.matched_route->objective};
}

placement_need exchange::current_need() const
{
    const organisation* of = m_authorised.find_organisation();
    const bool is_restricted = of != nullptr && !of->home_regions.empty();
    const time_point now = boot_clock::now();
    return {.route = m_authorised.matched_route->name,
            .restricted_organisation = is_restricted ? of->name : std::string{},
            .software_version = m_software_version,
            .has_started = m_has_response_started,
            .excludes_endpoints = !m_excluded.empty(),
            .tokens = m_fields.prompt_size ? m_fields.prompt_size->total_tokens() : 0,
            .limit = m_has_response_started ? time_left() : max_expected_first_byte(now)};
}

const std::string& exchange::last_event_id() const
{
    return m_events.last_id().empty() ? m_fields.last_event_id : m_events.last_id();
}

exchange::attempt_state exchange::new_attempt() const
{
    attempt_state state;
    state.body = body_buffer{{m_context.options.max_response_bytes, m_context.memory}};
    return state;
}

void exchange::send_to_endpoint(const placement& chosen)
{
    const service* of = m_authorised.published->find_service(m_service);
    const prompt* request_prompt = engine_prompt(*of);
    m_attempt = new_attempt();
    m_attempt.endpoint = chosen.endpoint;
    m_attempt.peer = chosen.address;
    m_attempt.endpoint_started_ms = chosen.started_ms;
    m_attempt.software_version = chosen.software_version;
    m_attempt.placed_at = boot_clock::now();
    m_attempt.expected = chosen.expected;
    m_attempt.conditions = chosen.conditions;
    m_attempt.waiting_tokens = m_context.pool.on_sent(chosen.endpoint, request_prompt,
                                                      boot_clock::now(), chosen.fetched_tokens);
    endpoint_fields fields;
    fields.deadline = to_milliseconds(time_left());
    fields.instance = chosen.endpoint;
    fields.organisation = m_authorised.organisation;
    fields.last_event_id = last_event_id();
    fields.prompt_source = chosen.prompt_source;
    const message_head& head = m_caller->head();
    outgoing_request request = to_outgoing_request(
        head.method, head.target, m_context.adapter.to_endpoint_headers(head, fields),
        m_caller->shared_body());
    m_context.log.write_request(
        log_line{"request_sent"}
            .add("id", m_fields.id)
            .add("endpoint", chosen.endpoint)
            .add("service", m_service)
            .add("started_ms", chosen.started_ms)
            .add("cold", chosen.is_cold)
            .add_ms("expected_ms", chosen.expected)
            .add("unread_tokens", std::int64_t{m_attempt.waiting_tokens})
            .add("prompt_source", chosen.prompt_source)
            .add_ms("left_ms", time_left())
            .add("version", static_cast<std::int64_t>(m_authorised.published->version))
            .add_ms("configuration_age_ms", m_context.state.age(boot_clock::now())));
    m_attempt.is_on_trial = m_context.quarantine.has_request_verdicts() &&
                            m_context.quarantine.begin_trial(fingerprint(), boot_clock::now());
    call_options options;
    options.address = chosen.address;
    // a request must not reach an endpoint that says meanwhile that it is leaving
    options.connect_timeout =
        std::clamp<duration>(m_context.settings.drain, m_context.options.min_connect_timeout,
                             m_context.options.endpoint_connect_timeout);
    begin_call(options, std::move(request));
}

/// Sends the request of the attempt that was prepared.
void exchange::begin_call(call_options options, outgoing_request request)
{
    options.request_id = m_fields.id;
    options.max_idle_time = max_idle_time();
    m_broken_off.reset();
    m_attempt_count.on_attempt();
    m_stage = m_has_response_started ? stage::relaying : stage::sending;
    m_attempt.call = m_context.client.call(options, std::move(request), handlers());
    m_attempt.connection = m_attempt.call->number();
    m_attempt.connection_calls = m_attempt.call->calls();
    arm();
}

duration exchange::max_idle_time() const
{
    // the peer may be closing a connection that was idle for long, which leaves it unknown whether
    // the request was executed
    return m_authorised.matched_route->is_repeatable()
               ? m_context.options.max_idle_time
               : m_context.options.max_idle_time_non_repeatable;
}

std::string exchange::address_of(const member& host) const
{
    return host.last.ip + ':' + std::to_string(m_context.settings.peers_port());
}

void exchange::send_to_host(const member& chosen, duration expected, duration round_trip)
{
    m_attempt = new_attempt();
    m_attempt.peer = address_of(chosen);
    m_attempt.placed_at = boot_clock::now();
    m_attempt.expected = expected + round_trip;
    if (chosen.last.region != m_context.settings.region) {
        ++m_context.forwarded_requests[chosen.last.region + '/' + m_service];
    }
    const message_head& head = m_caller->head();
    header_list headers =
        m_context.adapter.to_host_headers(head, {to_milliseconds(time_left()), last_event_id()});
    headers.add(std::string{forwarded_header}, m_context.settings.host);
    const duration age = boot_clock::now() - m_received + round_trip / 2;
    headers.add(std::string{age_header}, std::to_string(to_milliseconds(age).count()));
    if (m_software_version) {
        headers.add(std::string{software_version_header}, std::to_string(*m_software_version));
    }
    m_context.log.write_request(log_line{"request_passed_on"}
                                    .add("id", m_fields.id)
                                    .add("host", chosen.last.host)
                                    .add("service", m_service)
                                    .add_ms("expected_ms", m_attempt.expected)
                                    .add_ms("load_age_ms", boot_clock::now() - chosen.last_seen)
                                    .add_ms("left_ms", time_left()));
    m_context.metrics.count("request_passed_on");
    call_options options;
    options.address = m_attempt.peer;
    options.connect_timeout = m_context.options.host_connect_timeout;
    options.max_idle_connections = max_idle_to_host;
    begin_call(options,
               to_outgoing_request(head.method, head.target, headers, m_caller->shared_body()));
}

} // namespace hickorykeel::gateway
