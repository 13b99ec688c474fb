#pragma once

#include "world.h"

#include <atomic> // atomic
#include <memory> // unique_ptr
#include <string> // string
#include <thread> // thread
#include <vector> // vector

namespace review {

struct tally {
    std::atomic<int> answered = 0;
    /// Ran at a sound replica, and the kept connection was closed without an answer.
    std::atomic<int> unanswered = 0;
    std::atomic<int> other = 0;
};

/// A small deployment: a store, replicas of two services and a few machines, in one zone.
class fleet {
public:
    static constexpr int machines = 2;
    static constexpr int desks = 3;
    static constexpr int engines = 4;
    static constexpr long memory_mb = 260;

    /// Starts all but the machines.
    explicit fleet(const std::string& record_path);

    /// Starts the machines and waits until they are ready.
    void start_machines();

    /// Stops the machines and removes their folders.
    void stop_machines() { m_fronts.clear(); }

    [[nodiscard]] const deployment& place() const { return m_deployment; }
    [[nodiscard]] recorder& record() { return m_record; }
    [[nodiscard]] store& platform() { return m_store; }
    [[nodiscard]] replica& desk(int at) { return *m_desks.at(static_cast<std::size_t>(at)); }
    [[nodiscard]] replica& engine(int at) { return *m_engines.at(static_cast<std::size_t>(at)); }
    [[nodiscard]] machine& front(int at) { return *m_fronts.at(static_cast<std::size_t>(at)); }

    /// Books at a machine again and again on one connection, until `end_ms`.
    void book(int number, long end_ms, tally& counts);

    /// Stops the machines, writes the summary and ends the process with the result of the case: 1 if
    /// LOST or the rule on processes that end by themselves is broken.
    [[noreturn]] void finish(const tally& bookings, const std::string& remarks);

private:
    deployment m_deployment;
    recorder m_record;
    store m_store;
    std::vector<std::unique_ptr<replica>> m_desks;
    std::vector<std::unique_ptr<replica>> m_engines;
    std::vector<std::unique_ptr<machine>> m_fronts;
};

/// Runs `work` in `count` threads, each with its number, and waits for them.
void run_callers(int count, const std::function<void(int)>& work,
                 std::vector<std::thread>& threads);

} // namespace review
