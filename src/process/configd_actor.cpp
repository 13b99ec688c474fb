#include "process/configd_actor.h"

#include "connection/sync_codec.h"

#include <utility> // move

#include <glog/logging.h>

namespace hickorykeel {

namespace detail {
namespace {

using actor_t = caf::stateful_actor<configd_state>;

constexpr auto tick_interval = std::chrono::milliseconds{100};

held_revisions to_held(const replica& held)
{
    return {held.revision(), held.hosts_revision()};
}

void ask(configd_state& state, const std::vector<std::string>& addresses)
{
    for (const auto& address : addresses) {
        link::envelope question;
        *question.mutable_sync_request() = make_request(state.held);
        state.links->send_request(address, std::move(question));
    }
}

void publish_status(configd_state& state, time_point now)
{
    const auto& held = state.held;
    configuration_status status;
    status.held = to_held(held);
    status.in_force = held.in_force();
    status.hosts = held.hosts();
    status.refused_entries = held.refused_entries();
    status.refused_hosts = held.refused_hosts();
    status.confirmed_at = held.confirmed_at();
    status.is_watcher = state.relay->is_watcher();
    const bool should_read =
        state.relay->should_read_platform(now, status.held, held.confirmed_at());
    status.plan = {should_read, status.held.entries, status.held.hosts};
    state.on_status(std::move(status));
}

void log_outcome(const char* what, update_outcome outcome, std::uint64_t revision,
                 const std::optional<refused_revision>& refused)
{
    if (outcome == update_outcome::accepted) {
        LOG(INFO) << what << " revision " << revision << " is in force";
    }
    else if (outcome == update_outcome::refused) {
        LOG(WARNING) << what << " revision " << revision
                     << " is refused: " << refused->faults.front().path << ' '
                     << refused->faults.front().message;
    }
}

bool is_taken(update_outcome outcome)
{
    return outcome == update_outcome::accepted || outcome == update_outcome::refused;
}

/// Passes what an update changed on to the relay, the peers and the watch.
void after_update(configd_state& state, const sync_outcome& outcome, time_point now)
{
    log_outcome("configuration", outcome.entries, state.held.revision(),
                state.held.refused_entries());
    log_outcome("host list", outcome.hosts, state.held.hosts_revision(),
                state.held.refused_hosts());
    if (state.held.hosts() && state.held.hosts()->revision != state.applied_hosts) {
        state.applied_hosts = state.held.hosts()->revision;
        state.relay->set_hosts(*state.held.hosts());
    }
    if (is_taken(outcome.entries) || is_taken(outcome.hosts)) {
        ask(state, state.relay->take_behind(to_held(state.held), now));
    }
    publish_status(state, now);
}

void on_question(configd_state& state, const received_message& received, time_point now)
{
    const auto& message = received.message;
    link::envelope answer;
    answer.set_correlation(message.correlation());
    *answer.mutable_sync_update() = make_update(state.held, message.sync_request(), now);
    state.links->send_reply(received.route, std::move(answer));
    const held_revisions theirs{message.sync_request().configuration_revision(),
                                message.sync_request().host_list_revision()};
    if (auto address = state.relay->on_question(message.sender(), theirs, to_held(state.held))) {
        ask(state, {*address});
    }
}

void on_answer(configd_state& state, const received_message& received, time_point arrived)
{
    const auto& update = received.message.sync_update();
    const auto outcome = apply_update(state.held, update);
    state.relay->on_answer(received.peer,
                           {update.configuration_revision(), update.host_list_revision()});
    // only a peer with the same entries confirms them
    const bool is_level = update.configuration_revision() == state.held.revision();
    if (is_level && update.has_confirmed_age_ms() && received.maximum_age) {
        const std::chrono::milliseconds age{update.confirmed_age_ms()};
        state.held.confirm(arrived - *received.maximum_age - age);
    }
    after_update(state, outcome, boot_clock::now());
}

void on_link_message(configd_state& state, const configuring::link_message& message)
{
    if (message.received->message.has_sync_request()) {
        on_question(state, *message.received, boot_clock::now());
    }
    else if (message.received->message.has_sync_update()) {
        on_answer(state, *message.received, message.arrived);
    }
}

void on_platform_entries(configd_state& state, const configuring::platform_entries& message)
{
    const auto outcome = state.held.apply(*message.update);
    // an older state confirms nothing
    if (message.update->revision != 0 && message.update->revision == state.held.revision()) {
        state.held.confirm(message.arrived);
    }
    after_update(state, {outcome, update_outcome::ignored}, boot_clock::now());
}

void on_tick(actor_t* self)
{
    auto& state = self->state;
    const auto now = boot_clock::now();
    ask(state, state.relay->take_due(now));
    publish_status(state, now);
    self->delayed_send(self, tick_interval, configuring::tick{});
}

} // namespace
} // namespace detail

caf::behavior configd_actor(caf::stateful_actor<configd_state>* self,
                            const configuration_relay::options& chosen, messenger* links,
                            std::function<void(configuration_status&&)> on_status)
{
    self->state.relay = std::make_unique<configuration_relay>(chosen, boot_clock::now());
    self->state.links = links;
    self->state.on_status = std::move(on_status);
    self->send(self, configuring::tick{});
    return {
        [self](const configuring::link_message& message) {
            detail::on_link_message(self->state, message);
        },
        [self](const configuring::platform_entries& message) {
            detail::on_platform_entries(self->state, message);
        },
        [self](const configuring::platform_hosts& message) {
            const auto outcome = self->state.held.apply(*message.update);
            detail::after_update(self->state, {update_outcome::ignored, outcome},
                                 boot_clock::now());
        },
        [self](const configuring::tick&) { detail::on_tick(self); },
    };
}

} // namespace hickorykeel
