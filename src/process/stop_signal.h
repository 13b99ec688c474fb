#pragma once

#include <condition_variable> // condition_variable
#include <functional>         // function
#include <mutex>              // mutex
#include <thread>             // thread
#include <vector>             // vector

namespace hickorykeel {

/// The wish that the process ends: SIGTERM, SIGINT or `request`. Given once, it stays.
///
/// SIGTERM and SIGINT are blocked in the creating thread and those it starts later, and are read by
/// a thread of this object; create it before any other thread. Signals after the first are ignored,
/// so that a hasty second one cuts no request.
///
/// Thread safety: every public method may be called from any thread.
class stop_signal {
public:
    using callback = std::function<void()>;

    stop_signal();

    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;
    stop_signal(stop_signal&&) = delete;
    stop_signal& operator=(stop_signal&&) = delete;

    /// Ends the thread; the signals stay blocked.
    ~stop_signal();

    /// Blocks until a stop is wished. Must not be called by a callback.
    void wait();

    /// @return whether a stop is wished; stays true
    [[nodiscard]] bool is_stopping() const;

    /// Wishes a stop from within the process, e.g. after a drain.
    void request();

    /// Has `run` called once when a stop is wished: on the thread that sees the wish, or at once on
    /// the caller's where it has been seen already. Must not block for long.
    void on_stop(callback run);

private:
    void read_signals();

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_stopping = false;
    std::vector<callback> m_callbacks;
    int m_signals = -1; ///< signalfd
    int m_end = -1;     ///< eventfd that ends the thread
    std::thread m_thread;
};

} // namespace hickorykeel
