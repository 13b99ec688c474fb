#include "process/configuration_client.h"

#include "connection/sync_codec.h"

#include <utility> // move

namespace hickorykeel {

configuration_client::configuration_client(messenger& links, std::string address,
                                           handlers on_change)
    : m_links(links), m_address(std::move(address)), m_on_change(std::move(on_change))
{
}

void configuration_client::poll()
{
    link::envelope message;
    {
        const std::lock_guard lock(m_mutex);
        *message.mutable_sync_request() = make_request(m_replica);
    }
    m_links.send_request(m_address, std::move(message));
}

void configuration_client::deliver(const link::sync_update& update)
{
    configuration_ptr new_configuration;
    host_list_ptr new_hosts;
    {
        const std::lock_guard lock(m_mutex);
        const configuration_ptr before = m_replica.in_force();
        const host_list_ptr hosts_before = m_replica.hosts();
        apply_update(m_replica, update);
        if (m_replica.in_force() != before) {
            new_configuration = m_replica.in_force();
        }
        if (m_replica.hosts() != hosts_before) {
            new_hosts = m_replica.hosts();
        }
    }
    // outside the lock: the handlers ask for what is in force
    if (new_hosts) {
        m_on_change.on_hosts(new_hosts);
    }
    if (new_configuration) {
        m_on_change.on_configuration(new_configuration);
    }
}

configuration_ptr configuration_client::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_replica.in_force();
}

host_list_ptr configuration_client::hosts() const
{
    const std::lock_guard lock(m_mutex);
    return m_replica.hosts();
}

} // namespace hickorykeel
