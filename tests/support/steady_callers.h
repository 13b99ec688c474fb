#pragma once

#include <atomic>     // atomic
#include <cstddef>    // size_t
#include <functional> // function
#include <thread>     // thread
#include <utility>    // move
#include <vector>     // vector

namespace hickorykeel::tests {

/// Threads that repeat a step, each without a pause, until stopped.
///
/// Thread safety: one thread owns it; the steps of different callers run side by side.
class steady_callers {
public:
    /// @param caller  0 to `callers` - 1
    /// @param turn    counts up from 0 for each caller
    using step = std::function<void(std::size_t caller, std::size_t turn)>;

    steady_callers(std::size_t callers, step each) : m_step{std::move(each)}
    {
        m_threads.reserve(callers);
        for (std::size_t i = 0; i < callers; ++i) {
            m_threads.emplace_back([this, i] { run(i); });
        }
    }

    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;
    steady_callers(steady_callers&&) = delete;
    steady_callers& operator=(steady_callers&&) = delete;

    ~steady_callers() { stop(); }

    /// Lets each caller end its step, and waits for it.
    void stop()
    {
        m_is_over = true;
        for (std::thread& caller : m_threads) {
            caller.join();
        }
        m_threads.clear();
    }

private:
    void run(std::size_t caller)
    {
        for (std::size_t turn = 0; !m_is_over; ++turn) {
            m_step(caller, turn);
        }
    }

    step m_step;
    std::atomic<bool> m_is_over{false};
    std::vector<std::thread> m_threads;
};

} // namespace hickorykeel::tests
