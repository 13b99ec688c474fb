#include "process/stop_signal.h"

#include <array>   // array
#include <csignal> // sigset_t, pthread_sigmask
#include <cstdint> // uint64_t
#include <utility> // move, exchange

#include <poll.h>         // poll
#include <sys/eventfd.h>  // eventfd
#include <sys/signalfd.h> // signalfd
#include <unistd.h>       // close, read, write

namespace hickorykeel {

stop_signal::stop_signal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    m_signals = signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
    m_end = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    m_thread = std::thread{[this] { read_signals(); }};
}

stop_signal::~stop_signal()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = write(m_end, &one, sizeof one);
    m_thread.join();
    close(m_signals);
    close(m_end);
}

void stop_signal::wait()
{
    std::unique_lock lock{m_mutex};
    m_changed.wait(lock, [this] { return m_is_stopping; });
}

bool stop_signal::is_stopping() const
{
    const std::lock_guard lock{m_mutex};
    return m_is_stopping;
}

void stop_signal::request()
{
    std::vector<callback> callbacks;
    {
        const std::lock_guard lock{m_mutex};
        m_is_stopping = true;
        callbacks = std::exchange(m_callbacks, {});
    }
    m_changed.notify_all();
    for (const auto& run : callbacks) {
        run();
    }
}

void stop_signal::on_stop(callback run)
{
    {
        const std::lock_guard lock{m_mutex};
        if (!m_is_stopping) {
            m_callbacks.push_back(std::move(run));
            return;
        }
    }
    run();
}

void stop_signal::read_signals()
{
    std::array<pollfd, 2> sources{{{m_signals, POLLIN, 0}, {m_end, POLLIN, 0}}};
    while (true) {
        // an interrupted poll reports nothing and is simply repeated
        if (poll(sources.data(), sources.size(), -1) <= 0) {
            continue;
        }
        // signals first: one that came before the end is not left to a later reader
        signalfd_siginfo received{};
        while (read(m_signals, &received, sizeof received) == sizeof received) {
            request();
        }
        if (sources[1].revents != 0) {
            return;
        }
    }
}

} // namespace hickorykeel
