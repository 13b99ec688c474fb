#include "process/admission_actor.h"

#include "connection/limit_codec.h"

#include <mutex>    // lock_guard, unique_lock
#include <optional> // optional
#include <utility>  // move
#include <variant>  // get, get_if, variant_alternative_t

#include <glog/logging.h>

namespace hickorykeel {
namespace detail {

using admission_self = caf::stateful_actor<admission_state>;

constexpr auto limits_tick_interval = std::chrono::milliseconds{50};

// "attica-a/entry" is a process of the host "attica-a"
std::string to_host(const std::string& sender)
{
    return sender.substr(0, sender.find('/'));
}

void send_messages(admission_state& state, const std::vector<limit_message>& messages)
{
    for (const limit_message& item : messages) {
        const auto address = state.entry_addresses.find(item.host);
        if (address == state.entry_addresses.end()) {
            continue;
        }
        link::envelope message;
        message.set_correlation(item.query_id);
        if (const auto* request = std::get_if<loan_request>(&item.body)) {
            *message.mutable_loan_request() = to_link(*request);
        }
        else if (const auto* settled = std::get_if<loan_settle>(&item.body)) {
            *message.mutable_loan_settle() = to_link(*settled);
        }
        else {
            *message.mutable_share_claim() = to_link(std::get<share_claim>(item.body));
        }
        state.links->send_request(address->second, std::move(message));
    }
}

void take_events(admission_state& state, const limiter_events& events)
{
    send_messages(state, events.messages);
    for (const reservation_result& result : events.results) {
        send_messages(state, result.messages);
        if (result.state == reservation_state::waiting) {
            continue;
        }
        const auto found = state.waiting.find(result.id);
        if (found == state.waiting.end()) {
            // its `await` is still on its way
            state.ended.emplace(result.id, to_result(result));
            continue;
        }
        caf::response_promise promise = found->second;
        state.waiting.erase(found);
        promise.deliver(to_result(result));
    }
}

/// A message of the limiter, or nothing and a line in the log: it counts as lost.
template <typename Message>
auto read(const Message& message, const std::string& from)
{
    auto outcome = from_link(message);
    using value_t = std::variant_alternative_t<0, decltype(outcome)>;
    if (auto* why = std::get_if<error>(&outcome)) {
        why->peer = from;
        LOG_EVERY_N(WARNING, 1000) << why->to_string();
        return std::optional<value_t>{};
    }
    return std::optional<value_t>{std::move(std::get<value_t>(outcome))};
}

void on_question(admission_state& state, const received_message& received)
{
    const link::envelope& message = received.message;
    const time_point now = boot_clock::now();
    const std::string from = to_host(message.sender());
    link::envelope answer;
    answer.set_correlation(message.correlation());
    const std::lock_guard lock(state.desk->mutex);
    if (message.has_loan_request()) {
        if (const auto request = read(message.loan_request(), from)) {
            *answer.mutable_loan_grant() =
                to_link(state.desk->limits->on_loan_request(*request, now));
            state.links->send_reply(received.route, std::move(answer));
        }
    }
    else if (message.has_share_claim()) {
        *answer.mutable_share_answer() = to_link(state.desk->limits->on_share_claim(
            from, message.incarnation(), from_link(message.share_claim()), now));
        state.links->send_reply(received.route, std::move(answer));
    }
    else if (message.has_loan_settle()) {
        if (const auto settled = read(message.loan_settle(), from)) {
            state.desk->limits->on_loan_settle(*settled, now);
        }
    }
    else if (message.has_ping() && message.ping().ended()) {
        state.desk->limits->on_leave_notice(from, message.incarnation(), now);
    }
}

void on_answer(admission_state& state, const received_message& received)
{
    const link::envelope& message = received.message;
    const time_point now = boot_clock::now();
    const std::string from = to_host(message.sender());
    if (message.has_loan_grant()) {
        if (const auto grant = read(message.loan_grant(), from)) {
            std::unique_lock lock(state.desk->mutex);
            const limiter_events events =
                state.desk->limits->on_loan_grant(from, message.correlation(), *grant, now);
            lock.unlock();
            take_events(state, events);
        }
    }
    else if (message.has_share_answer()) {
        if (const auto answer = read(message.share_answer(), from)) {
            const std::lock_guard lock(state.desk->mutex);
            state.desk->limits->on_share_answer(from, message.incarnation(), message.correlation(),
                                                *answer, now);
        }
    }
}

void apply_hosts(admission_state& state, const host_list_ptr& listed)
{
    // hosts that the list has dropped keep their addresses: they may still hold rights
    for (const host& each : listed->hosts) {
        if (each.name != state.host) {
            state.entry_addresses.insert_or_assign(each.name, each.entry_address);
        }
    }
    const std::lock_guard lock(state.desk->mutex);
    state.desk->limits->apply(listed, boot_clock::now());
}

void say_goodbye(admission_state& state)
{
    for (const auto& [name, address] : state.entry_addresses) {
        link::envelope message;
        message.mutable_ping()->set_ended(true);
        state.links->send_request(address, std::move(message));
    }
}

caf::result<admission::reserve_result> await(admission_self* self, const reservation_result& begun)
{
    admission_state& state = self->state;
    send_messages(state, begun.messages);
    if (begun.state != reservation_state::waiting) {
        return to_result(begun);
    }
    if (const auto ended = state.ended.extract(begun.id)) {
        return ended.mapped();
    }
    caf::response_promise promise = self->make_response_promise();
    state.waiting.emplace(begun.id, promise);
    return promise;
}

void tick(admission_self* self)
{
    admission_state& state = self->state;
    const time_point now = boot_clock::now();
    std::unique_lock lock(state.desk->mutex);
    const limiter_events events = state.desk->limits->tick(now);
    *state.is_accruing = state.desk->limits->is_accruing(now);
    lock.unlock();
    take_events(state, events);
    self->delayed_send(self, limits_tick_interval, admission::tick{});
}

} // namespace detail

admission::reserve_result to_result(const reservation_result& ended)
{
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(ended.retry_after);
    return {ended.state == reservation_state::granted ? ended.id : 0, wait};
}

caf::behavior admission_actor(caf::stateful_actor<admission_state>* self, messenger* links,
                              limit_desk* desk, std::string host, std::atomic<bool>* is_accruing)
{
    admission_state& state = self->state;
    state.is_accruing = is_accruing;
    state.links = links;
    state.desk = desk;
    state.host = std::move(host);
    self->delayed_send(self, detail::limits_tick_interval, admission::tick{});
    return {
        [self](const admission::begin_ticket& request) {
            return self->state.tickets.begin(request.id, request.expiry, request.fingerprint,
                                             boot_clock::now());
        },
        [self](admission::finish_ticket& request) {
            self->state.tickets.finish(request.id, std::move(request.answer));
        },
        [self](const admission::lose_ticket& request) { self->state.tickets.lose(request.id); },
        [self](const admission::release_ticket& request) {
            self->state.tickets.release(request.id);
        },
        [self](const admission::await& request) { return detail::await(self, request.begun); },
        [self](const admission::link_message& message) {
            if (message.received->route.empty()) {
                detail::on_answer(self->state, *message.received);
            }
            else {
                detail::on_question(self->state, *message.received);
            }
        },
        [self](const admission::new_hosts& message) {
            detail::apply_hosts(self->state, message.listed);
        },
        [self](const admission::say_goodbye&) {
            detail::say_goodbye(self->state);
            return true;
        },
        [self](const admission::describe_limits&) -> admission::limits_description {
            const std::lock_guard lock(self->state.desk->mutex);
            return self->state.desk->limits->status(boot_clock::now());
        },
        [self](const admission::tick&) { detail::tick(self); },
    };
}

} // namespace hickorykeel
