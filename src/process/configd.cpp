#include "process/configd.h"

#include "process/configd_actor.h"

#include <utility> // move

#include <glog/logging.h>

namespace hickorykeel {

/// What the actor tells other threads.
struct configd::shared_state {
    std::mutex mutex;
    configuration_status status; // guarded by mutex
    caf::actor actor;            // guarded by mutex; null until there is one

    void set(configuration_status&& changed)
    {
        const std::lock_guard lock{mutex};
        status = std::move(changed);
    }

    [[nodiscard]] configuration_status current()
    {
        const std::lock_guard lock{mutex};
        return status;
    }

    [[nodiscard]] configuration_watch::plan current_plan()
    {
        const std::lock_guard lock{mutex};
        return status.plan;
    }

    template <typename Message>
    void send(Message message)
    {
        const std::lock_guard lock{mutex};
        if (actor) {
            caf::anon_send(actor, std::move(message));
        }
    }
};

result<std::unique_ptr<configd>> configd::open(const options& chosen)
{
    std::unique_ptr<configd> opened(new configd(chosen));
    if (auto failure = opened->start()) {
        return *failure;
    }
    return opened;
}

configd::configd(options chosen)
    : m_options{std::move(chosen)}, m_actors{m_actor_config}, m_shared{
                                                                  std::make_shared<shared_state>()}
{
}

configd::~configd()
{
    m_watch.reset();
    if (m_actor) {
        caf::scoped_actor self{m_actors};
        self->send_exit(m_actor, caf::exit_reason::user_shutdown);
        self->wait_for(m_actor);
        const std::lock_guard lock{m_shared->mutex};
        m_shared->actor = nullptr;
    }
    m_links.reset();
}

std::optional<error> configd::start()
{
    // messages that arrive before the actor is there are dropped; the askers ask again
    auto links = messenger::open(
        {m_options.host + "/configd", m_options.link_listen, m_options.keys, 0},
        [shared = m_shared](received_message&& received) {
            shared->send(configuring::link_message{
                std::make_shared<received_message>(std::move(received)), boot_clock::now()});
        });
    if (auto* failure = std::get_if<error>(&links)) {
        return *failure;
    }
    m_links = std::move(std::get<0>(links));
    const configuration_relay::options peers{m_options.host, m_options.failure_domain,
                                             m_options.seeds};
    m_actor = m_actors.spawn(
        configd_actor, peers, m_links.get(),
        [shared = m_shared](configuration_status&& changed) { shared->set(std::move(changed)); });
    {
        const std::lock_guard lock{m_shared->mutex};
        m_shared->actor = m_actor;
    }
    watch_platform();
    return std::nullopt;
}

void configd::watch_platform()
{
    m_watch = std::make_unique<configuration_watch>(
        m_options.platform_address,
        configuration_watch::handlers{
            [shared = m_shared] { return shared->current_plan(); },
            [shared = m_shared](entries_update&& update) {
                shared->send(configuring::platform_entries{
                    std::make_shared<entries_update>(std::move(update)), boot_clock::now()});
            },
            [shared = m_shared](hosts_update&& update) {
                shared->send(
                    configuring::platform_hosts{std::make_shared<hosts_update>(std::move(update))});
            },
            [](const error& why) { LOG(WARNING) << why.to_string(); }});
}

const std::string& configd::link_address() const noexcept
{
    return m_links->listen_address();
}

configuration_status configd::status() const
{
    return m_shared->current();
}

std::uint64_t configd::platform_reads() const noexcept
{
    return m_watch->reads();
}

} // namespace hickorykeel
