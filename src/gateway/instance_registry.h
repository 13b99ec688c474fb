#pragma once

#include <memory>        // shared_ptr
#include <unordered_set> // unordered_set
#include <utility>       // move
#include <vector>        // vector

namespace hickorykeel::gateway {

/// Registry of the existing objects of one type, which keep themselves alive, so that their owner
/// can end the remaining ones.
///
/// Thread safety: none; all calls come from the loop's thread.
template <typename T>
class instance_registry {
public:
    /// Registers an object for the entry's lifetime, which may exceed that of the registry.
    class entry {
    public:
        entry(std::shared_ptr<std::unordered_set<T*>> all, T* instance)
            : m_all{std::move(all)}, m_instance{instance}
        {
            m_all->insert(m_instance);
        }
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;
        entry(entry&&) = delete;
        entry& operator=(entry&&) = delete;
        ~entry() { m_all->erase(m_instance); }

    private:
        std::shared_ptr<std::unordered_set<T*>> m_all;
        T* m_instance;
    };

    [[nodiscard]] const std::shared_ptr<std::unordered_set<T*>>& all() const noexcept
    {
        return m_all;
    }

    /// Calls `act` with each object; `act` may end objects. Linear in the objects.
    template <typename Act>
    void for_each(Act act) const
    {
        std::vector<std::shared_ptr<T>> held;
        for (T* instance : *m_all) {
            held.push_back(instance->shared_from_this());
        }
        for (const auto& instance : held) {
            act(*instance);
        }
    }

private:
    std::shared_ptr<std::unordered_set<T*>> m_all = std::make_shared<std::unordered_set<T*>>();
};

} // namespace hickorykeel::gateway
