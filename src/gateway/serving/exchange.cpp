#include "gateway/serving/exchange.h"

#include <algorithm> // any_of, find, max, min
#include <charconv>  // from_chars
#include <utility>   // exchange, move

#include <fmt/format.h> // format

namespace hickorykeel::gateway {

namespace {

constexpr int first_failure_status = 500;
constexpr int status_misdirected = 421;

bool is_success(int status) noexcept
{
    return status >= 200 && status < 300;
}

std::chrono::milliseconds to_ms(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

/// Milliseconds as another host wrote them; what can't be read counts as none.
duration to_age(std::string_view text) noexcept
{
    std::int64_t ms = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), ms);
    return parsed.ec == std::errc{} && ms > 0 ? std::chrono::milliseconds{ms} : duration{0};
}

std::string_view ran_name(bool may_have_run) noexcept
{
    return may_have_run ? "unknown" : "no";
}

} // namespace

exchange::exchange(serving_context& context, std::shared_ptr<server_exchange> caller,
                   bool from_host)
    : m_context{context}, m_caller{std::move(caller)}, m_is_forwarded{from_host},
      m_received{boot_clock::now()}, m_timer{context.loop}
{
}

// checks

void exchange::start()
{
    m_caller->set_on_gone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_gone();
        }
    });
    m_fields = m_context.spelling.read_caller(m_caller->head());
    if (!m_fields.refused_because.empty()) {
        refuse(400, m_fields.refused_because, "no", {});
        return;
    }
    if (!m_context.takes_requests) {
        refuse(503, "stopping", "no", m_context.options.retry_after_stop);
        return;
    }
    if (!authorise()) {
        return;
    }
    duration allowed = m_route->timeout;
    if (m_fields.deadline) {
        allowed = std::min<duration>(allowed, *m_fields.deadline);
    }
    m_deadline = m_received + allowed;
    if (m_is_forwarded) {
        m_age = to_age(m_caller->head().headers.find(age_header));
    }
    if (admit()) {
        place();
    }
}

const organisation* exchange::holder() const
{
    const auto found = m_published->organisations().find(m_organisation);
    return found == m_published->organisations().end() ? nullptr : &found->second;
}

bool exchange::authorise()
{
    const time_point now = boot_clock::now();
    const published_state& state = m_context.state;
    m_published = state.published();
    if (m_published == nullptr) {
        refuse(503, "no_configuration", "no", m_context.options.retry_after_outage);
        return false;
    }
    const bool is_trusted = state.age(now) < m_context.options.trusted_age;
    const message_head& head = m_caller->head();
    m_route = m_published->find_route(head.headers.find("Host"), to_path(head.target));
    if (m_route == nullptr) {
        if (is_trusted) {
            refuse(404, "route_unknown", "no", {});
        }
        else {
            refuse(503, "configuration_stale", "no", m_context.options.retry_after_outage);
        }
        return false;
    }
    m_priority = m_route->priority;
    if (m_route->is_open || !m_published->needs_keys()) {
        return true;
    }
    if (!state.may_honour_keys(now)) {
        refuse(503, "keys_stale", "no", m_context.options.retry_after_outage);
        return false;
    }
    const organisation* found = m_published->find_holder(m_fields.key);
    if (found == nullptr) {
        if (is_trusted) {
            refuse(401, "key_unknown", "no", {});
        }
        else {
            refuse(503, "keys_stale", "no", m_context.options.retry_after_outage);
        }
        return false;
    }
    m_organisation = found->name;
    m_priority = found->priority.value_or(m_priority);
    return true;
}

double exchange::units() const
{
    const organisation* of = holder();
    if (of == nullptr || !of->counts_tokens) {
        return 1;
    }
    return m_fields.size ? static_cast<double>(m_fields.size->total_tokens()) : of->plain_tokens;
}

bool exchange::admit()
{
    const organisation* of = holder();
    if (m_is_forwarded || of == nullptr || m_charged > 0) {
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
                                        .add_number("part", m_context.usage.part())
                                        .add_ms("retry_after_ms", wait));
        refuse(429, "over_limit", "no", wait);
        return false;
    }
    m_charged = units();
    return true;
}

bool exchange::allows_region(const std::string& region) const
{
    const auto allows = [&region](const std::vector<std::string>& homes) {
        return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
    };
    const organisation* of = holder();
    return allows(m_route->home_regions) && (of == nullptr || allows(of->home_regions));
}

// placement

duration exchange::time_left() const
{
    return m_deadline - boot_clock::now();
}

time_point exchange::waits_until() const
{
    const serving_options& options = m_context.options;
    if (m_began_answer) {
        return std::min(m_last_event + options.resumption_wait,
                        m_deadline - options.least_time_left);
    }
    const duration longest = m_is_forwarded
                                 ? options.forwarded_wait
                                 : from_seconds(to_seconds(m_route->objective) * options.wait_part);
    return std::min(m_received + longest, m_deadline - options.least_time_left);
}

duration exchange::longest_begin(time_point now) const
{
    return begin_limit(m_route->objective, m_age + (now - m_received), m_context.options.begin);
}

bool exchange::retry_placement()
{
    if (m_stage != stage::waiting) {
        return false;
    }
    m_stage = stage::placing;
    return !place();
}

void exchange::choose_service()
{
    double sum = 0;
    for (const weighted_service& part : m_route->services) {
        sum += part.weight;
    }
    double drawn = random_fraction(m_context.random) * sum;
    for (const weighted_service& part : m_route->services) {
        m_service = part.service;
        drawn -= part.weight;
        if (drawn < 0) {
            break;
        }
    }
    if (!m_is_forwarded) {
        retries().on_request();
    }
}

retry_budget& exchange::retries()
{
    // the slack is divided among all hosts that may exist, twice over for those not yet heard of
    const auto hosts = static_cast<double>(m_context.members.possible_count());
    const double slack = m_context.settings.retry_slack / (2 * hosts);
    return m_context.retries
        .try_emplace(m_service, m_context.settings.retry_ratio, std::max(1.0, slack))
        .first->second;
}

/// Sends, queues or refuses the request. Returns whether it has left the queue.
bool exchange::place()
{
    // what was published may have changed while the request waited
    if (!authorise()) {
        return true;
    }
    if (time_left() < m_context.options.least_time_left) {
        give_up("deadline");
        return true;
    }
    if (m_service.empty()) {
        choose_service();
    }
    const service* of = m_published->find_service(m_service);
    if (of == nullptr) {
        give_up("service_unknown");
        return true;
    }
    const prompt* size = m_fields.size && of->engine ? &*m_fields.size : nullptr;
    const placement_request request{of, size, m_excluded};
    const time_point now = boot_clock::now();
    const bool is_home = allows_region(m_context.settings.region);
    const duration limit = m_began_answer ? time_left() : longest_begin(now);
    std::optional<placement> here;
    bool is_late = false; // there are free places, but none that would begin in time
    if (is_home) {
        here = m_context.pool.choose(request, now);
        is_late = here && here->expected > limit;
    }
    if (is_late) {
        here.reset();
    }
    auto others = other_regions();
    is_late |= std::erase_if(others, [&](const region_option& option) {
                   return option.expected_wait + m_context.options.regions.distance > limit;
               }) > 0;
    const auto elsewhere = choose_region(here ? std::optional{here->expected} : std::nullopt,
                                         others, m_route->objective, m_context.options.regions);
    if (elsewhere) {
        if (const member* host = pick_host(others[*elsewhere].region)) {
            send_to_host(*host, others[*elsewhere].expected_wait);
            return true;
        }
    }
    if (here) {
        send_to_endpoint(*here);
        return true;
    }
    const bool can_come =
        is_late || (is_home && m_context.pool.has_candidate(request, now)) || !others.empty();
    if (!can_come || now >= waits_until()) {
        give_up(!can_come ? "no_endpoint" : is_late ? "overloaded" : "no_free_place");
        return true;
    }
    m_stage = stage::waiting;
    if (!std::exchange(m_is_queued, true)) {
        m_context.log.write_request(log_line{"request_waits"}
                                        .add("id", m_fields.id)
                                        .add("service", m_service)
                                        .add("priority", std::int64_t{m_priority}));
        m_context.metrics.count("request_waits");
        m_context.wait(shared_from_this());
    }
    arm();
    return false;
}

std::string exchange::home_of_prompt() const
{
    // a short prompt is read quicker than it travels
    if (!m_fields.size || m_attempts.tries() > 0 || m_fields.size->prefixes.empty() ||
        m_fields.size->prefixes.back().tokens < m_context.options.least_home_tokens) {
        return {};
    }
    std::map<std::string, double> capacities;
    for (const auto& [id, entry] : m_context.state.endpoints()) {
        const std::string region = m_context.settings.region_of(entry.failure_domain);
        if (entry.service == m_service && !entry.is_draining && allows_region(region) &&
            !m_context.state.is_evacuated(entry.failure_domain)) {
            capacities[region] += entry.slots;
        }
    }
    return home_region(m_fields.size->shared_id(), capacities);
}

std::vector<region_option> exchange::other_regions() const
{
    std::vector<region_option> options;
    if (m_is_forwarded) {
        return options;
    }
    const std::string home = home_of_prompt();
    const time_point now = boot_clock::now();
    for (const member* host : m_context.members.ready(now)) {
        const auto blocked = m_context.unreachable.find(host->last.ip);
        const auto load = host->last.services.find(m_service);
        if (host->last.region == m_context.settings.region || !host->last.has_configuration ||
            load == host->last.services.end() || !allows_region(host->last.region) ||
            (blocked != m_context.unreachable.end() && now < blocked->second)) {
            continue;
        }
        const auto at = std::find_if(options.begin(), options.end(), [&](const auto& option) {
            return option.region == host->last.region;
        });
        region_option& option = at == options.end() ? options.emplace_back() : *at;
        if (option.region.empty() || load->second.expected_wait < option.expected_wait) {
            option = {host->last.region, load->second.expected_wait, load->second.free_places};
        }
    }
    for (region_option& option : options) {
        const auto passed = m_context.passed_on.find(option.region + '/' + m_service);
        if (passed != m_context.passed_on.end()) {
            option.free_places -= std::min(option.free_places, passed->second);
        }
        option.is_home = option.region == home;
    }
    return options;
}

const member* exchange::pick_host(const std::string& region)
{
    const time_point now = boot_clock::now();
    std::vector<const member*> hosts = m_context.members.ready(now);
    std::erase_if(hosts, [&](const member* host) {
        const auto blocked = m_context.unreachable.find(host->last.ip);
        return host->last.region != region || !host->last.has_configuration ||
               !host->last.services.contains(m_service) ||
               (blocked != m_context.unreachable.end() && now < blocked->second);
    });
    return hosts.empty() ? nullptr : hosts[random_index(m_context.random, hosts.size())];
}

const std::string& exchange::last_event() const
{
    return m_events.last_id().empty() ? m_fields.last_event : m_events.last_id();
}

void exchange::send_to_endpoint(const placement& chosen)
{
    const service* of = m_published->find_service(m_service);
    const prompt* size = m_fields.size && of->engine ? &*m_fields.size : nullptr;
    m_try = {};
    m_try.endpoint = chosen.endpoint;
    m_try.peer = chosen.address;
    m_try.expected = chosen.expected;
    m_try.waiting_tokens =
        m_context.pool.on_sent(chosen.endpoint, size, boot_clock::now(), chosen.fetched_tokens);
    endpoint_fields fields;
    fields.deadline = to_ms(time_left());
    fields.instance = chosen.endpoint;
    fields.organisation = m_organisation;
    fields.last_event = last_event();
    fields.prompt_source = chosen.prompt_source;
    const message_head& head = m_caller->head();
    std::string request = format_request(
        head.method, head.target, m_context.spelling.to_endpoint(head, fields), m_caller->body());
    m_context.log.write_request(
        log_line{"request_sent"}
            .add("id", m_fields.id)
            .add("endpoint", chosen.endpoint)
            .add("service", m_service)
            .add_ms("expected_ms", chosen.expected)
            .add("unread_tokens", std::int64_t{m_try.waiting_tokens})
            .add("prompt_source", chosen.prompt_source)
            .add_ms("left_ms", time_left())
            .add("version", static_cast<std::int64_t>(m_published->version))
            .add_ms("configuration_age_ms", m_context.state.age(boot_clock::now())));
    call_options options;
    options.address = chosen.address;
    options.connect_timeout = m_context.options.endpoint_connect_timeout;
    options.longest_idle = longest_idle();
    m_attempts.on_try();
    m_stage = m_began_answer ? stage::relaying : stage::sending;
    m_try.call = m_context.client.call(options, std::move(request), handlers());
    arm();
}

duration exchange::longest_idle() const
{
    // the peer may just be closing a connection that was idle for long, and then nobody knows
    // whether the request has run
    return m_route->is_repeatable() ? m_context.options.longest_idle
                                    : m_context.options.longest_idle_once;
}

void exchange::send_to_host(const member& chosen, duration expected)
{
    m_try = {};
    m_try.peer = chosen.last.ip + ':' + std::to_string(m_context.settings.peers_port());
    m_try.expected = expected + m_context.options.regions.distance;
    ++m_context.passed_on[chosen.last.region + '/' + m_service];
    const message_head& head = m_caller->head();
    header_list headers = m_context.spelling.to_host(head, {to_ms(time_left()), last_event()});
    headers.add(std::string{forwarded_header}, m_context.settings.host);
    const duration age = boot_clock::now() - m_received + m_context.options.regions.distance / 2;
    headers.add(std::string{age_header}, std::to_string(to_ms(age).count()));
    m_context.log.write_request(log_line{"request_passed_on"}
                                    .add("id", m_fields.id)
                                    .add("host", chosen.last.host)
                                    .add("service", m_service)
                                    .add_ms("expected_ms", m_try.expected)
                                    .add_ms("load_age_ms", boot_clock::now() - chosen.heard)
                                    .add_ms("left_ms", time_left()));
    m_context.metrics.count("request_passed_on");
    call_options options;
    options.address = m_try.peer;
    options.connect_timeout = m_context.options.host_connect_timeout;
    options.longest_idle = longest_idle();
    m_attempts.on_try();
    m_stage = m_began_answer ? stage::relaying : stage::sending;
    m_try.call = m_context.client.call(
        options, format_request(head.method, head.target, headers, m_caller->body()), handlers());
    arm();
}

// course of a try

call_handlers exchange::handlers()
{
    // the call holds the request until its end
    const auto self = shared_from_this();
    return {.on_sent = [self] { self->on_sent(); },
            .on_head = [self](const message_head& head) { self->on_head(head); },
            .on_body = [self](std::string& bytes) { self->on_body(bytes); },
            .on_end = [self](call_end end) { self->on_end(end); }};
}

void exchange::on_sent()
{
    m_try.is_sent = true;
    m_try.sent_at = boot_clock::now();
    m_last_event = m_try.sent_at;
    arm();
}

bool exchange::is_stream() const noexcept
{
    return m_route->kind == request_kind::streaming;
}

bool exchange::is_genuine(const message_head& head) const
{
    const answer_fields answer = m_context.spelling.read_answer(head);
    return answer.id == m_fields.id && !answer.is_encoded &&
           (!is_success(head.status) || answer.has_seal);
}

void exchange::on_head(const message_head& head)
{
    const duration elapsed = boot_clock::now() - m_try.sent_at;
    m_try.has_head = true;
    m_try.head = head;
    m_try.first_byte = elapsed;
    if (!m_try.endpoint.empty() && is_success(head.status)) {
        m_context.pool.on_first_byte(m_try.endpoint, std::exchange(m_try.waiting_tokens, 0),
                                     elapsed, m_try.expected);
        m_context.metrics.on_first_byte(elapsed);
    }
    m_last_event = boot_clock::now();
    arm();
}

void exchange::on_body(std::string& bytes)
{
    const std::string taken = std::exchange(bytes, {});
    const bool is_relayed = is_stream() && is_success(m_try.head.status) && is_genuine(m_try.head);
    if (!is_relayed) {
        m_try.body += taken;
        return;
    }
    relay(taken);
}

void exchange::begin_relay()
{
    if (!std::exchange(m_began_answer, true)) {
        m_stage = stage::relaying;
        m_caller->begin(m_try.head.status, m_context.spelling.to_caller(m_try.head));
    }
}

void exchange::relay(std::string_view bytes)
{
    const std::string events = m_events.take(bytes);
    if (m_events.is_out_of_order()) {
        m_try.call->cancel();
        fail_try({endpoint_outcome::cut, true, true, "events_out_of_order"});
        return;
    }
    if (events.empty()) {
        return;
    }
    const time_point now = boot_clock::now();
    if (m_began_answer) {
        m_longest_pause = std::max(m_longest_pause, now - m_last_event);
    }
    begin_relay();
    m_caller->send(events);
    m_last_event = now;
    if (m_caller->unsent() > m_context.options.most_unsent) {
        m_try.call->pause();
    }
}

void exchange::on_end(call_end end)
{
    if (m_stage == stage::done) {
        return;
    }
    if (end == call_end::complete) {
        on_whole_answer();
        return;
    }
    if (end == call_end::not_connected) {
        if (m_try.endpoint.empty()) {
            const std::string ip = m_try.peer.substr(0, m_try.peer.rfind(':'));
            m_context.unreachable[ip] = boot_clock::now() + m_context.options.unreachable_block;
        }
        fail_try({endpoint_outcome::unreachable, false, false, to_name(end)});
        return;
    }
    fail_try({endpoint_outcome::cut, true, true, to_name(end)});
}

void exchange::on_whole_answer()
{
    const message_head& head = m_try.head;
    const bool is_host = m_try.endpoint.empty();
    if (is_host && head.headers.contains(refusal_header)) {
        const bool has_not_run = head.headers.find(ran_header) == "no";
        fail_try({endpoint_outcome::shed, !has_not_run, !has_not_run,
                  head.headers.find(refusal_header)});
        return;
    }
    const answer_fields answer = m_context.spelling.read_answer(head);
    if (!is_host && (answer.was_rejected || head.status == status_misdirected)) {
        const bool is_gone = head.status == status_misdirected;
        fail_try({is_gone ? endpoint_outcome::gone : endpoint_outcome::shed, false, true,
                  is_gone ? "misdirected" : "rejected"});
        return;
    }
    if (!is_genuine(head)) {
        fail_try({endpoint_outcome::cut, true, true, "not_the_answer"});
        return;
    }
    if (head.status >= first_failure_status) {
        const try_failure failure{endpoint_outcome::failed, true, true, "endpoint_failed"};
        if (!m_began_answer && may_try_again(failure)) {
            fail_try(failure);
            return;
        }
    }
    if (is_stream() && is_success(head.status)) {
        if (m_events.has_partial()) {
            fail_try({endpoint_outcome::cut, true, true, "event_incomplete"});
            return;
        }
        begin_relay();
        end_try(endpoint_outcome::answered);
        m_caller->end();
        finish("answered", head.status);
        return;
    }
    if (m_began_answer) {
        fail_try({endpoint_outcome::failed, true, true, "resumption_failed"});
        return;
    }
    end_try(head.status >= first_failure_status ? endpoint_outcome::failed
                                                : endpoint_outcome::answered);
    m_caller->respond(head.status, m_context.spelling.to_caller(head), m_try.body);
    finish(is_success(head.status) ? "answered" : "endpoint_failed", head.status);
}

void exchange::end_try(endpoint_outcome outcome)
{
    if (!m_try.endpoint.empty()) {
        m_context.pool.on_end(m_try.endpoint, m_try.waiting_tokens, outcome, boot_clock::now());
    }
    m_try.call = nullptr;
    m_context.wake();
}

attempt_rule exchange::rule() const
{
    return to_attempt_rule(*m_route, m_is_forwarded, m_context.options.most_tries);
}

bool exchange::may_try_again(const try_failure& failure) const
{
    return m_attempts.may_try_again(rule(), {failure.may_have_run}, m_began_answer) &&
           time_left() > m_context.options.least_time_left;
}

void exchange::fail_try(const try_failure& failure)
{
    const duration elapsed =
        m_try.is_sent ? boot_clock::now() - m_try.sent_at : boot_clock::now() - m_received;
    m_context.log.write_request(
        log_line{"request_try_failed"}
            .add("id", m_fields.id)
            .add("peer", m_try.endpoint.empty() ? m_try.peer : m_try.endpoint)
            .add("outcome", to_name(failure.outcome))
            .add("reason", failure.reason)
            .add("status", std::int64_t{m_try.head.status})
            .add("ran", ran_name(failure.may_have_run))
            .add_ms("after_ms", elapsed)
            .add("events", static_cast<std::int64_t>(m_events.events())));
    m_context.metrics.count("try_" + std::string{to_name(failure.outcome)});
    bool again = may_try_again(failure);
    if (again && failure.has_arrived) {
        again = retries().try_take();
        if (!again) {
            m_context.metrics.count("retry_budget_empty");
        }
    }
    // an endpoint that answers, if with a failure, may well answer the next time
    if (!m_try.endpoint.empty() && failure.outcome != endpoint_outcome::failed) {
        m_excluded.push_back(m_try.endpoint);
    }
    if (failure.may_have_run) {
        m_attempts.on_run();
    }
    end_try(failure.outcome);
    m_events.drop_partial();
    if (!again) {
        give_up(failure.reason);
        return;
    }
    m_stage = stage::placing;
    place();
}

// time

std::optional<time_point> exchange::silence_limit() const
{
    if (!m_try.is_sent || !m_route->is_repeatable() || m_attempts.runs() + 1 >= rule().max_runs) {
        return std::nullopt;
    }
    const serving_options& options = m_context.options;
    duration patience = options.least_silence;
    if (!m_began_answer) {
        patience =
            std::max(patience, from_seconds(to_seconds(m_try.expected) * options.silence_factor));
    }
    return std::max(m_last_event, m_try.sent_at) + patience;
}

void exchange::arm()
{
    time_point next = m_deadline;
    if (m_stage == stage::waiting) {
        next = std::min(next, waits_until());
    }
    else if (const auto limit = silence_limit()) {
        next = std::min(next, *limit);
    }
    m_timer.expires_after(
        std::max<duration>(next - boot_clock::now(), std::chrono::milliseconds{1}));
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code& failure) {
        if (const auto self = weak.lock(); !failure && self != nullptr) {
            self->on_timer();
        }
    });
}

void exchange::on_timer()
{
    const time_point now = boot_clock::now();
    if (m_stage == stage::done) {
        return;
    }
    if (m_stage == stage::waiting) {
        if (now >= std::min(waits_until(), m_deadline)) {
            retry_placement();
        }
        else {
            arm();
        }
        return;
    }
    if (m_try.call != nullptr && m_caller->unsent() <= m_context.options.most_unsent) {
        m_try.call->resume();
    }
    if (now >= m_deadline) {
        const bool may_have_run = m_try.is_sent;
        if (m_try.call != nullptr) {
            m_try.call->cancel();
        }
        if (may_have_run) {
            m_attempts.on_run();
        }
        end_try(may_have_run ? endpoint_outcome::abandoned : endpoint_outcome::unreachable);
        give_up("deadline");
        return;
    }
    const auto limit = silence_limit();
    if (limit && now >= *limit) {
        m_try.call->cancel();
        fail_try({endpoint_outcome::timed_out, true, true, "silent"});
        return;
    }
    arm();
}

// final answers

void exchange::give_up(std::string_view code)
{
    if (m_attempts.runs() == 0) {
        const serving_options& options = m_context.options;
        refuse(503, code, "no",
               code == "no_endpoint"
                   ? options.retry_after_outage
                   : m_context.spells[m_service].on_refusal(options.overload, boot_clock::now(),
                                                            random_fraction(m_context.random)));
        return;
    }
    refuse(code == "deadline" ? 504 : 502, code, "unknown", {});
}

void exchange::refuse(int status, std::string_view code, std::string_view ran, duration retry_after)
{
    if (m_began_answer) {
        // the caller already reads an answer: only its end can still be told
        m_context.log.write_request(
            log_line{"request_broken_off"}.add("id", m_fields.id).add("reason", code));
        m_caller->break_off();
        finish("broken_off", 0);
        return;
    }
    header_list headers;
    headers.add("Content-Type", "application/json");
    if (retry_after > duration{0}) {
        headers.add("Retry-After", fmt::format("{:.3f}", to_seconds(retry_after)));
    }
    if (m_is_forwarded) {
        headers.add(std::string{refusal_header}, std::string{code});
        headers.add(std::string{ran_header}, std::string{ran});
    }
    m_caller->respond(status, headers, fmt::format(R"({{"error":"{}","ran":"{}"}})", code, ran));
    finish(code, status);
}

void exchange::finish(std::string_view outcome, int status)
{
    m_stage = stage::done;
    m_timer.cancel();
    if (m_attempts.runs() == 0 && m_charged > 0 && outcome != "answered" &&
        outcome != "endpoint_failed" && outcome != "caller_gone") {
        m_context.usage.give_back(m_organisation, m_charged);
    }
    const duration elapsed = boot_clock::now() - m_received;
    const std::string name = m_route == nullptr ? std::string{} : m_route->name;
    m_context.metrics.on_answer(name, std::string{outcome}, elapsed);
    log_line line{"request_end"};
    line.add("id", m_fields.id)
        .add("route", name)
        .add("organisation", m_organisation)
        .add_number("units", m_charged)
        .add("outcome", outcome)
        .add("status", std::int64_t{status})
        .add("tries", std::int64_t{m_attempts.tries()})
        .add("ran", m_attempts.runs() > 0 || outcome == "answered" ? "unknown" : "no")
        .add_ms("elapsed_ms", elapsed)
        .add("peer", m_try.endpoint.empty() ? m_try.peer : m_try.endpoint)
        .add_ms("expected_ms", m_try.expected)
        .add_ms("first_byte_ms", m_try.first_byte)
        .add_ms("longest_pause_ms", m_longest_pause)
        .add("events", static_cast<std::int64_t>(m_events.events()))
        .add_ms("configuration_age_ms", m_context.state.age(boot_clock::now()));
    if (m_is_forwarded) {
        line.add("passed_on_by", m_caller->head().headers.find(forwarded_header));
    }
    m_context.log.write_request(line);
}

void exchange::on_gone()
{
    if (m_stage == stage::done) {
        return;
    }
    const bool was_sent = m_try.is_sent;
    if (m_try.call != nullptr) {
        m_try.call->cancel();
        end_try(endpoint_outcome::abandoned);
    }
    if (was_sent) {
        m_attempts.on_run();
    }
    finish("caller_gone", 0);
}

} // namespace hickorykeel::gateway
