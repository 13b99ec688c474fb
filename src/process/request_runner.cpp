#include "process/request_runner.h"

#include <algorithm> // find, max, min
#include <array>     // array
#include <utility>   // move

namespace hickorykeel {
namespace detail {

// the caller's connection and the dispatch process are looked at this often
constexpr duration look_interval = std::chrono::milliseconds{200};

// a dispatch process repeats its sign of life for each request well within this
constexpr duration silence_limit = std::chrono::seconds{3};

constexpr unsigned maximum_attempts = 3;

// a dispatch process refuses a request that may have been longer on its way
constexpr std::chrono::milliseconds age_limit{5'000};

// a newer configuration than the one that admitted the request has ended it while it ran
bool is_withdrawn(const refusal& why)
{
    constexpr std::array withdrawals{refusal_code::key_withdrawn, refusal_code::unauthorised,
                                     refusal_code::profile_unknown, refusal_code::profile_forbidden,
                                     refusal_code::target_unknown};
    return why.ran == ran_state::unknown &&
           std::find(withdrawals.begin(), withdrawals.end(), why.code) != withdrawals.end();
}

std::chrono::milliseconds to_milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

refusal_code to_code(const std::string& name)
{
    for (const refusal_kind& kind : refusal_kinds) {
        if (kind.name == name) {
            return kind.code;
        }
    }
    return refusal_code::endpoint_failed;
}

} // namespace detail

request_runner::request_runner(environment provided, const admitted_request& request,
                               std::string method, std::vector<forwarded_header> headers,
                               std::string traceparent, time_point deadline)
    : m_provided(std::move(provided)), m_request(request), m_method(std::move(method)),
      m_headers(std::move(headers)), m_traceparent(std::move(traceparent)),
      m_deadline(deadline), m_last_failure{
                                refusal_code::no_endpoint,
                                ran_state::no,
                                "route",
                                "",
                                "no live endpoint in the regions that the profile allows",
                                std::chrono::milliseconds{1000}}
{
}

request_runner::~request_runner()
{
    end_attempt();
}

request_runner::step request_runner::next()
{
    if (!m_ready.empty()) {
        step ready = std::move(m_ready.front());
        m_ready.pop_front();
        return ready;
    }
    while (true) {
        if (!m_exchange && !start_attempt()) {
            return give_up(m_last_failure);
        }
        const time_point now = boot_clock::now();
        auto outcome = m_exchange->next(std::min(m_deadline, now + detail::look_interval),
                                        detail::silence_limit);
        std::variant<std::monostate, step> taken;
        if (auto* event = std::get_if<link::dispatch_event>(&outcome)) {
            taken = on_event(*event);
        }
        else if (const auto* why = std::get_if<refusal>(&outcome)) {
            return give_up(*why);
        }
        else if (std::holds_alternative<exchange::timed_out>(outcome)) {
            taken = on_time_out();
        }
        else {
            taken = on_lost();
        }
        if (auto* ready = std::get_if<step>(&taken)) {
            return std::move(*ready);
        }
    }
}

std::variant<std::monostate, request_runner::step> request_runner::on_time_out()
{
    const time_point now = boot_clock::now();
    if (const std::string reason = reason_to_stop(now); !reason.empty()) {
        return step{give_up({refusal_code::deadline_exceeded,
                             ran_state::unknown,
                             "await answer",
                             m_at.host,
                             reason,
                             {}})};
    }
    if (!m_provided.directory.is_alive(m_exchange->who().dispatch_address, now)) {
        return on_lost();
    }
    return std::monostate{};
}

// empty: none
std::string request_runner::reason_to_stop(time_point now) const
{
    if (now >= m_deadline) {
        return "the deadline passed";
    }
    return m_provided.is_caller_connected() ? "" : "the caller has gone";
}

// model: at_most_once.pml, start_attempt
bool request_runner::start_attempt()
{
    if (m_attempts >= detail::maximum_attempts) {
        return false;
    }
    const auto chosen = m_provided.router.choose(m_request, m_visited);
    if (!chosen || (m_attempts > 0 && !m_provided.router.may_retry(m_last_cause))) {
        return false;
    }
    ++m_attempts;
    m_at = *chosen;
    m_visited.addresses.push_back(m_at.address);
    m_exchange = m_provided.exchanges.open({m_request.organisation, m_request.key_digest,
                                            m_request.matched_profile->name,
                                            m_request.matched_target->name, m_at.address});
    m_provided.links.send_request(m_at.address, to_message());
    return true;
}

// a failure domain that refused a request does not get it again, nor does one that it was
// forwarded to; after a lost link another host of the own failure domain may
void request_runner::note_visit(retry_cause cause)
{
    if (cause == retry_cause::endpoint_failed || !m_provided.router.is_own(m_at)) {
        m_visited.failure_domains.push_back(m_at.failure_domain);
    }
}

void request_runner::end_attempt()
{
    if (!m_exchange) {
        return;
    }
    if (!m_has_ended) {
        link::envelope cancel;
        cancel.set_correlation(m_exchange->correlation());
        cancel.mutable_dispatch_cancel();
        m_provided.links.send_request(m_exchange->who().dispatch_address, std::move(cancel));
    }
    m_provided.exchanges.close(m_exchange->correlation());
    m_exchange.reset();
}

link::envelope request_runner::to_message() const
{
    const auto left = detail::to_milliseconds(m_deadline - boot_clock::now());
    const auto budget = std::max(left, std::chrono::milliseconds{1});
    link::envelope message;
    message.set_correlation(m_exchange->correlation());
    link::dispatch_request& request = *message.mutable_dispatch_request();
    request.set_organisation(m_request.organisation);
    request.set_key_digest(m_request.key_digest);
    request.set_profile(m_request.matched_profile->name);
    request.set_target(m_request.matched_target->name);
    request.set_configuration_revision(m_request.revision);
    request.set_method(m_method);
    request.set_path(m_request.endpoint_path);
    for (const forwarded_header& header : m_headers) {
        link::header& copy = *request.add_headers();
        copy.set_name(header.name);
        copy.set_value(header.value);
    }
    request.set_body(m_request.body);
    request.set_maximum_age_ms(
        static_cast<std::uint32_t>(std::min(budget, detail::age_limit).count()));
    request.set_deadline_ms(static_cast<std::uint32_t>(budget.count()));
    request.set_idempotent(m_request.matched_profile->is_idempotent);
    request.set_interactive(m_request.matched_profile->is_interactive);
    request.set_stream(m_request.is_stream);
    request.set_takes_whole(!m_request.is_stream);
    request.set_reserved_tokens(m_request.reserved_tokens);
    request.set_traceparent(m_traceparent);
    request.set_prefix_hash(m_request.prefix_hash);
    for (const std::string& visited : m_visited.failure_domains) {
        request.add_visited(visited);
    }
    request.add_visited(m_at.failure_domain);
    return message;
}

std::variant<std::monostate, request_runner::step>
request_runner::on_event(link::dispatch_event& event)
{
    switch (event.kind()) {
    case link::dispatch_event::kind_head:
        return step{to_head(event)};
    case link::dispatch_event::kind_data:
        return step{answer_data{std::move(*event.mutable_data())}};
    case link::dispatch_event::kind_end:
        m_has_ended = true;
        end_attempt();
        if (event.status() == 0) {
            return step{answer_end{event.used_tokens()}};
        }
        m_ready.emplace_back(answer_data{std::move(*event.mutable_data())});
        m_ready.emplace_back(answer_end{event.used_tokens()});
        return step{to_head(event)};
    case link::dispatch_event::kind_failed:
        m_has_ended = true;
        return on_refused(to_refusal(event));
    default:
        return std::monostate{};
    }
}

request_runner::answer_head request_runner::to_head(const link::dispatch_event& event)
{
    m_has_head = true;
    answer_head head;
    head.status = static_cast<int>(event.status());
    head.endpoint = event.endpoint();
    head.dispatch_host = m_at.host;
    for (const link::header& header : event.headers()) {
        if (header.name() == "Content-Type") {
            head.content_type = header.value();
        }
    }
    return head;
}

// model: at_most_once.pml, on_failure
std::variant<std::monostate, request_runner::step> request_runner::on_failure(refusal why,
                                                                              retry_cause cause)
{
    if (cause == retry_cause::process_lost) {
        m_provided.directory.suspect(m_at.address, boot_clock::now());
    }
    if (detail::is_withdrawn(why) || !may_try_again(why.ran)) {
        return step{give_up(std::move(why))};
    }
    const bool may_have_run = m_last_failure.ran == ran_state::unknown;
    m_last_failure = std::move(why);
    if (may_have_run) {
        m_last_failure.ran = ran_state::unknown;
    }
    m_last_cause = cause;
    note_visit(cause);
    end_attempt();
    m_has_ended = false;
    return std::monostate{};
}

std::variant<std::monostate, request_runner::step> request_runner::on_refused(refusal why)
{
    const bool is_process_at_fault =
        why.code == refusal_code::not_ready || why.code == refusal_code::leaving;
    return on_failure(std::move(why), is_process_at_fault ? retry_cause::process_lost
                                                          : retry_cause::endpoint_failed);
}

std::variant<std::monostate, request_runner::step> request_runner::on_lost()
{
    return on_failure({refusal_code::endpoint_failed,
                       ran_state::unknown,
                       "await answer",
                       m_at.host,
                       "the link to the dispatch process was lost",
                       {}},
                      retry_cause::process_lost);
}

bool request_runner::may_try_again(ran_state ran) const
{
    const bool is_safe = ran == ran_state::no || m_request.matched_profile->is_idempotent;
    // of an answer that is handed over whole, the caller has seen nothing yet
    const bool is_begun = m_has_head && m_request.is_stream;
    return is_safe && !is_begun && m_attempts < detail::maximum_attempts &&
           boot_clock::now() < m_deadline;
}

refusal request_runner::to_refusal(const link::dispatch_event& event) const
{
    const std::string peer = event.endpoint().empty() ? m_at.host : event.endpoint();
    return {detail::to_code(event.error_code()),
            event.ran() ? ran_state::unknown : ran_state::no,
            event.error_step(),
            peer,
            event.error_message(),
            std::chrono::milliseconds{event.retry_after_ms()}};
}

refusal request_runner::give_up(refusal why)
{
    // an earlier attempt of an idempotent request may have run though the last one did not
    if (m_last_failure.ran == ran_state::unknown) {
        why.ran = ran_state::unknown;
    }
    end_attempt();
    return why;
}

} // namespace hickorykeel
