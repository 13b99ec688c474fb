#include "process/dispatch.h"

#include "process/process_metrics.h"

#include <utility> // move

#include <glog/logging.h>

namespace hickorykeel {
namespace detail {

constexpr auto configuration_poll_interval = std::chrono::milliseconds{200};

// entry processes hear of the leaving well within this and send no more
constexpr duration quiet_time = std::chrono::seconds{2};

} // namespace detail

result<std::unique_ptr<dispatch>> dispatch::open(const options& chosen)
{
    std::unique_ptr<dispatch> opened(new dispatch(chosen));
    if (auto failure = opened->start(chosen)) {
        return *failure;
    }
    return opened;
}

dispatch::dispatch(const options& chosen)
    : m_actors(m_actor_config), m_registry(chosen.host, chosen.failure_domain),
      m_telemetry(m_registry, {chosen.trace_address, "hickorykeel-dispatch", chosen.host,
                               chosen.failure_domain})
{
}

dispatch::~dispatch()
{
    m_is_stopping = true;
    if (m_poller.joinable()) {
        m_poller.join();
    }
    if (m_actor) {
        caf::scoped_actor self{m_actors};
        self->send_exit(m_actor, caf::exit_reason::user_shutdown);
        self->wait_for(m_actor);
    }
    m_links.reset();
}

std::optional<error> dispatch::start(const options& chosen)
{
    // messages that arrive before the actor is there are dropped; the asker's silence limit covers it
    auto links =
        messenger::open({chosen.host + "/dispatch", chosen.link_listen, chosen.keys, 0},
                        [this](received_message&& received) { on_message(std::move(received)); });
    if (auto* failure = std::get_if<error>(&links)) {
        return *failure;
    }
    m_links = std::move(std::get<0>(links));
    m_published = std::make_unique<configuration_client>(
        *m_links, chosen.configd_address,
        configuration_client::handlers{[this](const configuration_ptr& in_force) {
                                           caf::anon_send(m_actor,
                                                          dispatching::new_configuration{in_force});
                                       },
                                       [this](const host_list_ptr& listed) {
                                           caf::anon_send(m_actor, dispatching::new_hosts{listed});
                                       }});
    m_actor = m_actors.spawn<caf::detached>(
        dispatch_actor, dispatch_environment{chosen.failure_domain, m_links.get(),
                                             m_published.get(), &m_telemetry, chosen.tls});
    m_registry.before_collect([this, shared = process_metrics{m_registry}]() mutable {
        shared.refresh(*m_links, *m_published);
    });
    m_is_open = true;
    m_poller = std::thread([this] { poll(); });
    return std::nullopt;
}

void dispatch::drain()
{
    LOG(INFO) << "leaving";
    caf::anon_send(m_actor, dispatching::leave{});
    time_point quiet_since = boot_clock::now();
    while (boot_clock::now() - quiet_since < detail::quiet_time) {
        std::this_thread::sleep_for(detail::configuration_poll_interval);
        if (describe().size > 0) {
            quiet_since = boot_clock::now();
        }
    }
}

const std::string& dispatch::link_address() const noexcept
{
    return m_links->listen_address();
}

bool dispatch::is_ready() const
{
    return m_published->current() != nullptr;
}

void dispatch::on_message(received_message&& received)
{
    if (!m_is_open) {
        return;
    }
    if (received.message.has_sync_update()) {
        m_published->deliver(received.message.sync_update());
        return;
    }
    caf::anon_send(
        m_actor, dispatching::link_message{std::make_shared<received_message>(std::move(received)),
                                           boot_clock::now()});
}

void dispatch::poll()
{
    while (!m_is_stopping) {
        m_published->poll();
        std::this_thread::sleep_for(detail::configuration_poll_interval);
    }
}

serving_status dispatch::status()
{
    const dispatching::description described = describe();
    return {described.is_leaving, m_published->current(), m_published->hosts(),
            described.size - described.waiting, described.waiting};
}

dispatching::description dispatch::describe()
{
    dispatching::description described;
    caf::scoped_actor self{m_actors};
    self->request(m_actor, caf::infinite, dispatching::describe{})
        .receive([&](const dispatching::description& answered) { described = answered; },
                 [](const caf::error&) {});
    return described;
}

} // namespace hickorykeel
