#pragma once

#include "gateway/http/http_client.h"
#include "gateway/http/message.h"
#include "process/clock.h"
#include "standins/gateway/platform_world.h"

#include <algorithm>  // find
#include <array>      // array
#include <chrono>     // milliseconds, seconds
#include <csignal>    // kill, signal
#include <cstddef>    // size_t
#include <cstdint>    // uint16_t
#include <cstdlib>    // exit, getenv
#include <filesystem> // create_directories, remove_all, temp_directory_path
#include <fstream>    // ofstream
#include <functional> // function
#include <iostream>   // cerr
#include <memory>     // make_unique, shared_ptr, unique_ptr
#include <string>     // string, to_string
#include <utility>    // move
#include <vector>     // vector

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

// A small deployment on loopback addresses: the platform's store and endpoints in this process, and
// gateways as processes of their own.

namespace review {

using hickorykeel::boot_clock;
using hickorykeel::duration;
using hickorykeel::time_point;

/// Exit codes of a case.
inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

/// Ends the case, since it could not run.
[[noreturn]] inline void give_up(const std::string& reason)
{
    std::cerr << "could not run: " << reason << '\n';
    throw std::string{reason};
}

/// Processes that are running, for the handler of signals that end this one; 0: none.
inline std::array<volatile pid_t, 64> running_processes{};

inline void note_process(pid_t ended, pid_t started)
{
    for (volatile pid_t& each : running_processes) {
        if (each == ended) {
            each = started;
            return;
        }
    }
}

/// Ends the started processes if this one is told to end, or aborts.
inline void end_processes_on_signals()
{
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGABRT}) {
        std::signal(number, [](int) {
            for (const volatile pid_t& each : running_processes) {
                if (each > 0) {
                    ::kill(each, SIGKILL);
                }
            }
            ::_exit(exit_not_run);
        });
    }
}

/// Whether the disruption is left out.
inline bool is_calm()
{
    const char* text = std::getenv("TROUBLE");
    return text != nullptr && std::string{text} == "0";
}

/// Milliseconds from `from` to `to`.
inline long long ms_between(time_point from, time_point to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

/// The loopback network of this run: 127.x.y.0, which depends on the process id.
inline std::string own_network()
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(10 + process / 240 % 240) + '.' +
           std::to_string(10 + process % 240) + '.';
}

inline bool is_free(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const bool is_bound =
        ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(socket);
    return is_bound;
}

/// First of ten ports that are free at all hosts of the network.
inline std::uint16_t free_ports(std::size_t hosts)
{
    for (std::uint16_t first = 20'000; first < 30'000;
         first = static_cast<std::uint16_t>(first + 10)) {
        bool is_usable = true;
        for (std::size_t host = 1; host <= hosts + 2 && is_usable; ++host) {
            for (std::uint16_t offset = 0; offset < 10 && is_usable; ++offset) {
                is_usable = is_free(own_network() + std::to_string(host),
                                    static_cast<std::uint16_t>(first + offset));
            }
        }
        if (is_usable) {
            return first;
        }
    }
    give_up("no free ports");
}

/// One machine with a gateway.
struct machine {
    std::string name;
    std::string ip;
    std::string zone;
    std::string region;
    std::string settings; ///< path of its settings file
    std::uint16_t peers_port = 0;
    pid_t process = 0; ///< 0: not running
};

/// Bounds that the settings state, by default those of the sheet of `kapnos-visits`.
struct bounds {
    int revoke_ms = 5'000;
    int drain_ms = 4'000;
    double budget_ratio = 0.2;
    int retry_slack = 52;
    int grace_s = 8;
    int memory_mb = 260;
    int max_fds = 4'200;
};

/// Gateways on machines of their own addresses. Ends all processes that it has started.
class fleet {
public:
    fleet(std::string store_address, std::uint16_t first_port, bounds stated = {})
        : m_store{std::move(store_address)}, m_first_port{first_port}, m_bounds{stated},
          m_folder{std::filesystem::temp_directory_path() /
                   ("review-" + std::to_string(::getpid()))}
    {
        std::filesystem::create_directories(m_folder);
    }

    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    ~fleet()
    {
        for (std::size_t at = 0; at < m_machines.size(); ++at) {
            kill(at);
        }
        std::filesystem::remove_all(m_folder);
    }

    /// Adds a machine; its process isn't started.
    /// @param peers_port port between machines; 0: the common one
    std::size_t add(const std::string& zone, const std::string& region,
                    std::uint16_t peers_port = 0)
    {
        const std::size_t at = m_machines.size();
        machine added;
        added.name = "front-" + zone + '-' + std::to_string(at + 1);
        added.ip = own_network() + std::to_string(at + 3);
        added.zone = zone;
        added.region = region;
        added.peers_port = peers_port;
        added.settings = (m_folder / (added.name + ".ini")).string();
        m_machines.push_back(added);
        return at;
    }

    [[nodiscard]] const std::vector<machine>& machines() const { return m_machines; }
    [[nodiscard]] std::string callers(std::size_t at) const { return address(at, 0); }
    [[nodiscard]] std::string readiness(std::size_t at) const { return address(at, 1); }
    [[nodiscard]] std::string directory(std::size_t at) const { return address(at, 2); }
    [[nodiscard]] std::string peers(std::size_t at) const
    {
        const machine& of = m_machines.at(at);
        return of.peers_port == 0 ? address(at, 3) : of.ip + ':' + std::to_string(of.peers_port);
    }
    [[nodiscard]] std::string metrics(std::size_t at) const { return address(at, 4); }

    /// Writes the settings of a machine, as the platform does.
    /// @param seeds machines that its settings name
    void write_settings(std::size_t at, const std::vector<std::size_t>& seeds)
    {
        const machine& of = m_machines.at(at);
        const std::string path = of.settings + ".new";
        {
            std::ofstream file{path};
            file << "[host]\nname = " << of.name << "\nip = " << of.ip
                 << "\nfailure_domain = " << of.zone << "\nregion = " << of.region
                 << "\nfailure_domains =\n";
            std::vector<std::string> zones;
            for (const machine& each : m_machines) {
                const std::string zone = each.zone + ':' + each.region;
                if (std::find(zones.begin(), zones.end(), zone) == zones.end()) {
                    zones.push_back(zone);
                    file << "  " << zone << '\n';
                }
            }
            file << "[listen]\ncallers = " << callers(at) << "\nreadiness = " << readiness(at)
                 << "\ndirectory = " << directory(at) << "\npeers = " << peers(at)
                 << "\nmetrics = " << metrics(at) << "\n[peers]\nseeds =\n";
            for (const std::size_t seed : seeds) {
                file << "  " << peers(seed) << '\n';
            }
            file << "[source]\naddress = " << m_store
                 << "\n[limits]\nkey_withdrawal_ms = " << m_bounds.revoke_ms
                 << "\ndrain_ms = " << m_bounds.drain_ms
                 << "\nretry_ratio = " << m_bounds.budget_ratio
                 << "\nretry_slack = " << m_bounds.retry_slack
                 << "\nstop_grace_s = " << m_bounds.grace_s
                 << "\nmemory_mb = " << m_bounds.memory_mb
                 << "\nmax_descriptors = " << m_bounds.max_fds << '\n';
        }
        std::filesystem::rename(path, of.settings);
    }

    /// Starts the process of a machine with the command of the deploy file.
    void start(std::size_t at)
    {
        machine& of = m_machines.at(at);
        const std::string log = of.settings + ".log";
        std::string program = "target/bin/hickorykeel-gateway";
        std::vector<char*> words{program.data(), nullptr};
        std::string boot = "HICKORYKEEL_BOOT=" + of.settings;
        std::string path = "PATH=/usr/bin:/bin";
        std::vector<char*> variables{boot.data(), path.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        const int failed = ::posix_spawn(&of.process, program.c_str(), &actions, nullptr,
                                         words.data(), variables.data());
        posix_spawn_file_actions_destroy(&actions);
        if (failed != 0) {
            of.process = 0;
            give_up("the gateway could not be started");
        }
        note_process(0, of.process);
    }

    void signal(std::size_t at, int number)
    {
        if (m_machines.at(at).process > 0) {
            ::kill(m_machines.at(at).process, number);
        }
    }

    /// Kills the process of a machine and waits for its end.
    void kill(std::size_t at)
    {
        signal(at, SIGCONT);
        signal(at, SIGKILL);
        if (m_machines.at(at).process > 0) {
            ::waitpid(m_machines.at(at).process, nullptr, 0);
            note_process(m_machines.at(at).process, 0);
            m_machines.at(at).process = 0;
        }
    }

    /// Whether the process of a machine has ended by itself.
    bool has_ended(std::size_t at)
    {
        machine& of = m_machines.at(at);
        if (of.process > 0 && ::waitpid(of.process, nullptr, WNOHANG) == of.process) {
            note_process(of.process, 0);
            of.process = 0;
            return true;
        }
        return of.process == 0;
    }

    /// What the processes of a machine have logged.
    [[nodiscard]] std::string log(std::size_t at) const
    {
        std::ifstream file{m_machines.at(at).settings + ".log"};
        return {std::istreambuf_iterator<char>{file}, {}};
    }

private:
    [[nodiscard]] std::string address(std::size_t at, unsigned offset) const
    {
        return m_machines.at(at).ip + ':' + std::to_string(m_first_port + offset);
    }

    std::string m_store;
    std::uint16_t m_first_port;
    bounds m_bounds;
    std::filesystem::path m_folder;
    std::vector<machine> m_machines;
};

/// Runs the loop of `world` until `is_done`, or for `limit`. Returns whether it came true.
inline bool run_for(
    hickorykeel::standins::platform_world& world, duration limit,
    const std::function<bool()>& is_done = [] { return false; })
{
    const time_point end = boot_clock::now() + limit;
    while (!is_done()) {
        if (boot_clock::now() >= end) {
            return false;
        }
        world.loop().restart();
        world.loop().run_one_for(std::chrono::milliseconds{2});
    }
    return true;
}

/// Waits until the machine says that it is ready.
inline bool wait_until_ready(hickorykeel::standins::platform_world& world, const fleet& of,
                             std::size_t at, duration limit = std::chrono::seconds{15})
{
    const time_point end = boot_clock::now() + limit;
    while (boot_clock::now() < end) {
        const auto answer = world.ask(of.readiness(at), "GET", "/hickorykeel/readyz", {});
        run_for(world, std::chrono::seconds{1}, [&] { return answer->has_ended; });
        if (answer->status == 200) {
            return true;
        }
        run_for(world, std::chrono::milliseconds{50});
    }
    return false;
}

} // namespace review
