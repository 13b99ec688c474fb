#include "process/served_request.h"

#include "version/check.h"

#include <algorithm> // min
#include <mutex>     // lock_guard, unique_lock
#include <utility>   // move

namespace hickorykeel {
namespace detail {

// a larger answer is not kept for repeats; they are told that it may have run
constexpr std::size_t maximum_recorded_bytes = 1U << 20U;

// a whole answer is held in memory before its first byte is sent
constexpr std::size_t maximum_whole_bytes = 64U << 20U;

// tokens that an engine may have made beyond those that arrived
constexpr std::uint64_t tokens_under_way = 16;

refusal ticket_refusal(refusal_code code, ran_state ran, std::string peer, std::string message)
{
    return {code, ran, "ticket", std::move(peer), std::move(message), {}};
}

std::string to_fingerprint(const caller_request& request)
{
    return to_key_digest(request.method + '\n' + request.path + request.query + '\n' +
                         request.body);
}

} // namespace detail

served_request::served_request(entry_context& shared, caller_request request,
                               std::function<bool()> is_caller_connected)
    : m_shared(shared), m_request(std::move(request)),
      m_told(shared.counts, shared.spans.get(), m_request.traceparent),
      m_is_caller_connected(std::move(is_caller_connected))
{
    m_request.traceparent = m_told.traceparent();
    ++m_shared.under_way;
}

served_request::~served_request()
{
    if (m_ticket) {
        // the answer was not read to its end
        caf::anon_send(m_shared.admission, admission::lose_ticket{m_ticket->id});
    }
    // the caller went away before the end
    settle_reservation(tokens_so_far());
    if (m_runner) {
        m_told.on_attempts(m_runner->attempts());
    }
    m_runner.reset();
    --m_shared.under_way;
}

served_request::opening served_request::open()
{
    opening opened = run();
    record_opening(opened);
    return opened;
}

void served_request::record_opening(const opening& opened)
{
    if (const auto* why = std::get_if<refusal>(&opened)) {
        m_told.on_refused(*why);
    }
    else if (const auto* whole = std::get_if<whole_answer>(&opened)) {
        m_told.on_whole(whole->is_repeat);
    }
    else {
        m_told.on_stream();
    }
}

served_request::opening served_request::run()
{
    if (auto refused = prepare()) {
        return *refused;
    }
    if (auto taken = take_ticket()) {
        if (auto* whole = std::get_if<whole_answer>(&*taken)) {
            return std::move(*whole);
        }
        return std::get<refusal>(*taken);
    }
    if (auto refused = reserve()) {
        settle_ticket(*refused);
        return *refused;
    }
    start();
    return read_head();
}

std::optional<refusal> served_request::reserve()
{
    const admission::reserve_result answered = ask_limiter();
    m_reservation = answered.reservation;
    if (m_reservation != 0) {
        m_told.on_reserved(m_admitted.reserved_tokens);
        return std::nullopt;
    }
    m_told.on_reservation_refused();
    return refusal{refusal_code::over_limit,
                   ran_state::no,
                   "reserve",
                   "",
                   "the organisation's rate and burst do not allow these tokens now",
                   answered.retry_after};
}

admission::reserve_result served_request::ask_limiter()
{
    std::unique_lock lock(m_shared.desk.mutex);
    reservation_result begun = m_shared.desk.limits->reserve(
        m_admitted.accounts, static_cast<double>(m_admitted.reserved_tokens), boot_clock::now());
    lock.unlock();
    if (begun.state != reservation_state::waiting && begun.messages.empty()) {
        return to_result(begun);
    }
    admission::reserve_result answered{0, {}};
    caf::scoped_actor self{*m_shared.actors};
    self->request(m_shared.admission, caf::infinite, admission::await{std::move(begun)})
        .receive([&](const admission::reserve_result& result) { answered = result; },
                 [](const caf::error&) {});
    return answered;
}

// what is not known to be unused stays charged
void served_request::settle_reservation(std::uint64_t used_tokens)
{
    if (m_reservation != 0) {
        const std::uint64_t charged = std::min(used_tokens, m_admitted.reserved_tokens);
        {
            const std::lock_guard lock(m_shared.desk.mutex);
            m_shared.desk.limits->settle(m_reservation, static_cast<double>(charged),
                                         boot_clock::now());
        }
        m_told.on_used(charged);
        m_reservation = 0;
    }
}

std::uint64_t served_request::tokens_so_far() const
{
    return m_admitted.prompt_tokens + estimate_tokens(m_received_bytes) + detail::tokens_under_way;
}

std::optional<refusal> served_request::prepare()
{
    m_in_force = m_shared.published->current();
    if (!m_in_force) {
        return refusal{refusal_code::not_ready,
                       ran_state::no,
                       "admit",
                       "",
                       "no configuration is in force yet",
                       std::chrono::milliseconds{1000}};
    }
    auto outcome = admit(*m_in_force, m_request);
    if (auto* refused = std::get_if<refusal>(&outcome)) {
        return *refused;
    }
    m_admitted = std::move(std::get<admitted_request>(outcome));
    m_deadline = boot_clock::now() + m_admitted.deadline;
    m_told.on_admitted(m_admitted);
    return std::nullopt;
}

std::optional<std::variant<served_request::whole_answer, refusal>> served_request::take_ticket()
{
    if (m_admitted.matched_profile->is_idempotent || m_request.idempotency_key.empty()) {
        return std::nullopt;
    }
    const auto parsed = parse_ticket(m_request.idempotency_key);
    if (!parsed) {
        return detail::ticket_refusal(
            refusal_code::ticket_required, ran_state::no, "",
            "the profile is not idempotent: use a ticket of GET /v1/hosts as Idempotency-Key");
    }
    if (auto refused = check_ticket(*parsed)) {
        m_shared.counts.tickets.with({"refused"}).Increment();
        return *refused;
    }
    caf::scoped_actor self{*m_shared.actors};
    std::optional<std::variant<whole_answer, refusal>> early;
    const time_point expiry = from_stamp(parsed->expiry_stamp);
    self->request(m_shared.admission, caf::infinite,
                  admission::begin_ticket{parsed->id, expiry, detail::to_fingerprint(m_request)})
        .receive([&](const ticket_book::verdict& verdict) { early = to_opening(verdict); },
                 [&](const caf::error&) {
                     early = detail::ticket_refusal(refusal_code::not_ready, ran_state::unknown, "",
                                                    "the process is stopping");
                 });
    if (!early) {
        m_ticket = parsed;
    }
    m_shared.counts.tickets.with({to_ticket_event(early)}).Increment();
    return early;
}

std::string_view
served_request::to_ticket_event(const std::optional<std::variant<whole_answer, refusal>>& early)
{
    if (!early) {
        return "first_use";
    }
    return std::holds_alternative<whole_answer>(*early) ? "repeat" : "refused";
}

// model: at_most_once.pml, present
std::optional<refusal> served_request::check_ticket(const ticket& presented)
{
    if (!m_shared.mint->verify(m_request.idempotency_key)) {
        if (presented.host != m_shared.host) {
            return detail::ticket_refusal(refusal_code::ticket_elsewhere, ran_state::unknown,
                                          presented.host,
                                          "only the host that made the ticket can answer for it");
        }
        return detail::ticket_refusal(
            refusal_code::ticket_invalid, ran_state::unknown, m_shared.host,
            "the ticket was made by an earlier process of this host, or was changed");
    }
    if (presented.organisation != m_admitted.organisation ||
        presented.profile != m_admitted.matched_profile->name) {
        return detail::ticket_refusal(refusal_code::ticket_invalid, ran_state::no, "",
                                      "the ticket is for another organisation or profile");
    }
    if (from_stamp(presented.expiry_stamp) <= boot_clock::now()) {
        return detail::ticket_refusal(refusal_code::ticket_expired, ran_state::unknown, "",
                                      "the ticket has expired");
    }
    return std::nullopt;
}

std::optional<std::variant<served_request::whole_answer, refusal>>
served_request::to_opening(const ticket_book::verdict& verdict)
{
    if (std::holds_alternative<ticket_book::may_run>(verdict)) {
        return std::nullopt;
    }
    if (const auto* answer = std::get_if<ticket_book::has_run>(&verdict)) {
        return whole_answer{**answer, m_shared.host, true};
    }
    if (std::holds_alternative<ticket_book::is_running>(verdict)) {
        return detail::ticket_refusal(refusal_code::ticket_in_use, ran_state::unknown, "",
                                      "a request with this ticket is under way");
    }
    if (std::holds_alternative<ticket_book::body_differs>(verdict)) {
        return detail::ticket_refusal(refusal_code::ticket_invalid, ran_state::no, "",
                                      "the ticket was used for another request");
    }
    if (std::holds_alternative<ticket_book::is_full>(verdict)) {
        return detail::ticket_refusal(refusal_code::overloaded, ran_state::no, "",
                                      "no room to remember one more ticket");
    }
    if (std::holds_alternative<ticket_book::has_expired>(verdict)) {
        return detail::ticket_refusal(refusal_code::ticket_expired, ran_state::unknown, "",
                                      "the ticket has expired");
    }
    return detail::ticket_refusal(refusal_code::endpoint_failed, ran_state::unknown, "",
                                  "the first use of the ticket ended without an answer");
}

void served_request::start()
{
    entry_context& shared = m_shared;
    shared.router.on_request();
    request_runner::environment provided{*shared.links, shared.exchanges, shared.directory,
                                         shared.router, m_is_caller_connected};
    m_runner =
        std::make_unique<request_runner>(std::move(provided), m_admitted, m_request.method,
                                         m_request.headers, m_request.traceparent, m_deadline);
}

served_request::opening served_request::read_head()
{
    const request_runner::step first = m_runner->next();
    if (const auto* why = std::get_if<refusal>(&first)) {
        settle(*why);
        return *why;
    }
    const auto& head = std::get<request_runner::answer_head>(first);
    m_told.on_first_byte();
    if (!m_admitted.is_stream) {
        return read_whole(head);
    }
    m_stream_record = recorded_answer{head.status, head.content_type, "", head.endpoint};
    return stream_begin{head};
}

served_request::opening served_request::read_whole(const request_runner::answer_head& head)
{
    recorded_answer answer{head.status, head.content_type, "", head.endpoint};
    std::string dispatch_host = head.dispatch_host;
    while (true) {
        request_runner::step step = m_runner->next();
        if (const auto* why = std::get_if<refusal>(&step)) {
            settle(*why);
            return *why;
        }
        if (const auto* again = std::get_if<request_runner::answer_head>(&step)) {
            dispatch_host = again->dispatch_host;
            answer = {again->status, again->content_type, "", again->endpoint};
            m_received_bytes = 0;
        }
        if (const auto* more = std::get_if<request_runner::answer_data>(&step)) {
            answer.body += more->bytes;
            m_received_bytes += more->bytes.size();
        }
        if (answer.body.size() > detail::maximum_whole_bytes) {
            const refusal why{refusal_code::endpoint_failed,
                              ran_state::unknown,
                              "await answer",
                              answer.endpoint,
                              "the answer is too large to be held",
                              {}};
            settle(why);
            return why;
        }
        if (const auto* end = std::get_if<request_runner::answer_end>(&step)) {
            settle_reservation(to_used(*end));
        }
        if (std::holds_alternative<request_runner::answer_end>(step)) {
            record(answer);
            return whole_answer{std::move(answer), dispatch_host, false};
        }
    }
}

served_request::chunk served_request::next_chunk()
{
    request_runner::step step = m_runner->next();
    if (const auto* why = std::get_if<refusal>(&step)) {
        m_told.on_refused(*why);
        settle(*why);
        return *why;
    }
    if (auto* more = std::get_if<request_runner::answer_data>(&step)) {
        if (m_ticket && m_stream_record->body.size() <= detail::maximum_recorded_bytes) {
            m_stream_record->body += more->bytes;
        }
        m_received_bytes += more->bytes.size();
        return std::move(more->bytes);
    }
    settle_reservation(to_used(std::get<request_runner::answer_end>(step)));
    record(*m_stream_record);
    m_told.on_whole(false);
    return stream_end{};
}

std::uint64_t served_request::to_used(const request_runner::answer_end& end) const
{
    return end.used_tokens != 0 ? end.used_tokens : m_admitted.reserved_tokens;
}

void served_request::settle(const refusal& why)
{
    settle_reservation(why.ran == ran_state::no ? 0 : m_admitted.reserved_tokens);
    settle_ticket(why);
}

// model: at_most_once.pml, settle
void served_request::settle_ticket(const refusal& why)
{
    if (!m_ticket) {
        return;
    }
    if (why.ran == ran_state::no) {
        caf::anon_send(m_shared.admission, admission::release_ticket{m_ticket->id});
    }
    else {
        caf::anon_send(m_shared.admission, admission::lose_ticket{m_ticket->id});
    }
    m_ticket.reset();
}

void served_request::record(const recorded_answer& answer)
{
    if (!m_ticket) {
        return;
    }
    if (answer.body.size() > detail::maximum_recorded_bytes) {
        caf::anon_send(m_shared.admission, admission::lose_ticket{m_ticket->id});
    }
    else {
        caf::anon_send(m_shared.admission, admission::finish_ticket{m_ticket->id, answer});
    }
    m_ticket.reset();
}

} // namespace hickorykeel
