#pragma once

#include <memory>        // shared_ptr
#include <unordered_set> // unordered_set
#include <utility>       // move
#include <vector>        // vector

namespace hickorykeel::gateway {

/// Registry of the existing connections of one owner. A connection and its channel keep each other
/// alive until the channel is closed, so the owner's destructor has to close the remaining ones.
///
/// Thread safety: none; all calls come from the loop's thread.
template <typename Connection>
class connection_registry {
public:
    /// Registers a connection for the entry's lifetime, which may exceed that of the registry.
    class entry {
    public:
        entry(std::shared_ptr<std::unordered_set<Connection*>> all, Connection* connection)
            : m_all{std::move(all)}, m_connection{connection}
        {
            m_all->insert(m_connection);
        }
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;
        entry(entry&&) = delete;
        entry& operator=(entry&&) = delete;
        ~entry() { m_all->erase(m_connection); }

    private:
        std::shared_ptr<std::unordered_set<Connection*>> m_all;
        Connection* m_connection;
    };

    [[nodiscard]] const std::shared_ptr<std::unordered_set<Connection*>>& all() const noexcept
    {
        return m_all;
    }

    /// Calls `act` with each connection; `act` may end connections. Linear in the connections.
    template <typename Act>
    void for_each(Act act) const
    {
        std::vector<std::shared_ptr<Connection>> held;
        for (Connection* connection : *m_all) {
            held.push_back(connection->shared_from_this());
        }
        for (const auto& connection : held) {
            act(*connection);
        }
    }

private:
    std::shared_ptr<std::unordered_set<Connection*>> m_all =
        std::make_shared<std::unordered_set<Connection*>>();
};

} // namespace hickorykeel::gateway
