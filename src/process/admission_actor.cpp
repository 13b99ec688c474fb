#include "process/admission_actor.h"

#include "connection/limit_codec.h"

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

admission::reserve_result to_result(const reservation_result& result)
{
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(result.retry_after);
    return {result.state == reservation_state::granted ? result.id : 0, wait};
}

void send_messages(admission_state& state, const std::vector<limit_message>& messages)
{
    for (const limit_message& item : messages) {
        const auto address = state.entry_addresses.find(item.host);
        if (address == state.entry_addresses.end()) {
            continue;
        }
        link::envelope message;
        message.set_correlation(item.question);
        if (const auto* request = std::get_if<loan_request>(&item.body)) {
            *message.mutable_loan_request() = to_link(*request);
        }
        else if (const auto* settled = std::get_if<loan_settle>(&item.body)) {
            *message.mutable_loan_settle() = to_link(*settled);
        }
        else {
            *message.mutable_share_claim() = to_link(std::get<share_claim>(item.body));
        }
        state.links->ask(address->second, std::move(message));
    }
}

void take_events(admission_state& state, const limiter_events& events)
{
    send_messages(state, events.messages);
    for (const reservation_result& result : events.results) {
        send_messages(state, result.messages);
        const auto found = state.waiting.find(result.id);
        if (found != state.waiting.end() && result.state != reservation_state::waiting) {
            caf::response_promise promise = found->second;
            state.waiting.erase(found);
            promise.deliver(to_result(result));
        }
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
    if (message.has_loan_request()) {
        if (const auto request = read(message.loan_request(), from)) {
            *answer.mutable_loan_grant() = to_link(state.limits->on_loan_request(*request, now));
            state.links->answer(received.route, std::move(answer));
        }
    }
    else if (message.has_share_claim()) {
        *answer.mutable_share_answer() = to_link(state.limits->on_share_claim(
            from, message.incarnation(), from_link(message.share_claim()), now));
        state.links->answer(received.route, std::move(answer));
    }
    else if (message.has_loan_settle()) {
        if (const auto settled = read(message.loan_settle(), from)) {
            state.limits->on_loan_settle(*settled, now);
        }
    }
    else if (message.has_ping() && message.ping().ended()) {
        state.limits->on_goodbye(from, message.incarnation(), now);
    }
}

void on_answer(admission_state& state, const received_message& received)
{
    const link::envelope& message = received.message;
    const time_point now = boot_clock::now();
    const std::string from = to_host(message.sender());
    if (message.has_loan_grant()) {
        if (const auto grant = read(message.loan_grant(), from)) {
            take_events(state,
                        state.limits->on_loan_grant(from, message.correlation(), *grant, now));
        }
    }
    else if (message.has_share_answer()) {
        if (const auto answer = read(message.share_answer(), from)) {
            state.limits->on_share_answer(from, message.incarnation(), message.correlation(),
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
    state.limits->apply(listed, boot_clock::now());
}

void say_goodbye(admission_state& state)
{
    for (const auto& [name, address] : state.entry_addresses) {
        link::envelope message;
        message.mutable_ping()->set_ended(true);
        state.links->ask(address, std::move(message));
    }
}

caf::result<admission::reserve_result> reserve(admission_self* self,
                                               const admission::reserve& request)
{
    admission_state& state = self->state;
    const reservation_result result = state.limits->reserve(
        request.accounts, static_cast<double>(request.tokens), boot_clock::now());
    send_messages(state, result.messages);
    if (result.state != reservation_state::waiting) {
        return to_result(result);
    }
    caf::response_promise promise = self->make_response_promise();
    state.waiting.emplace(result.id, promise);
    return promise;
}

} // namespace detail

caf::behavior admission_actor(caf::stateful_actor<admission_state>* self, messenger* links,
                              std::string host, std::string failure_domain,
                              std::atomic<bool>* is_accruing)
{
    admission_state& state = self->state;
    state.is_accruing = is_accruing;
    state.links = links;
    state.host = host;
    state.limits =
        std::make_unique<limiter>(std::move(host), std::move(failure_domain), links->incarnation(),
                                  limiter_options{}, boot_clock::now());
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
        [self](const admission::reserve& request) { return detail::reserve(self, request); },
        [self](const admission::settle& request) {
            self->state.limits->settle(request.reservation,
                                       static_cast<double>(request.used_tokens), boot_clock::now());
        },
        [self](const admission::link_message& message) {
            if (message.received->route.empty()) {
                detail::on_answer(self->state, *message.received);
            }
            else {
                detail::on_question(self->state, *message.received);
            }
        },
        [self](const admission::new_configuration& message) {
            self->state.limits->apply(message.in_force, boot_clock::now());
        },
        [self](const admission::new_hosts& message) {
            detail::apply_hosts(self->state, message.listed);
        },
        [self](const admission::say_goodbye&) {
            detail::say_goodbye(self->state);
            return true;
        },
        [self](const admission::describe_limits&) -> admission::limits_description {
            return self->state.limits->status(boot_clock::now());
        },
        [self](const admission::tick&) {
            const time_point now = boot_clock::now();
            detail::take_events(self->state, self->state.limits->tick(now));
            *self->state.is_accruing = self->state.limits->is_accruing(now);
            self->delayed_send(self, detail::limits_tick_interval, admission::tick{});
        },
    };
}

} // namespace hickorykeel
