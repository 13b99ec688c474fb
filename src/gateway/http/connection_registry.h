#pragma once

#include <memory>        // shared_ptr
#include <unordered_set> // unordered_set
#include <utility>       // move
#include <vector>        // vector

namespace hickorykeel::gateway {

/// The connections of an owner that still exist. A connection and its channel hold each other until
/// the channel is closed, so an owner that ends closes what is left.
///
/// Thread safety: none; all calls come from the loop's thread.
template <typename Connection>
class connection_registry {
public:
    /// Membership of one connection for as long as it exists; it may outlive the set's owner.
    class entry {
    public:
        entry(std::shared_ptr<std::unordered_set<Connection*>> all, Connection* one)
            : m_all{std::move(all)}, m_one{one}
        {
            m_all->insert(m_one);
        }
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;
        entry(entry&&) = delete;
        entry& operator=(entry&&) = delete;
        ~entry() { m_all->erase(m_one); }

    private:
        std::shared_ptr<std::unordered_set<Connection*>> m_all;
        Connection* m_one;
    };

    [[nodiscard]] const std::shared_ptr<std::unordered_set<Connection*>>& all() const noexcept
    {
        return m_all;
    }

    /// Calls `act` with each connection; a connection may end meanwhile.
    template <typename Act>
    void for_each(Act act) const
    {
        std::vector<std::shared_ptr<Connection>> held;
        for (Connection* one : *m_all) {
            held.push_back(one->shared_from_this());
        }
        for (const auto& one : held) {
            act(*one);
        }
    }

private:
    std::shared_ptr<std::unordered_set<Connection*>> m_all =
        std::make_shared<std::unordered_set<Connection*>>();
};

} // namespace hickorykeel::gateway
