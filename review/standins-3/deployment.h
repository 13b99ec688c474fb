// A small deployment on loopback addresses for the cases from 11 on: the platform's store, replicas,
// clients, and gateways as separate processes that are started as the deploy file says.
#pragma once

#include "gateway/http/http_client.h"
#include "gateway/http/http_server.h"
#include "process/clock.h"
#include "standins/gateway/platform_world.h"

#include <algorithm>  // any_of, count_if
#include <chrono>     // milliseconds
#include <csignal>    // kill, SIGKILL, SIGTERM
#include <cstdint>    // int64_t, uint64_t
#include <cstdlib>    // getenv
#include <filesystem> // create_directories, path, remove_all
#include <fstream>    // ofstream
#include <functional> // function
#include <iostream>   // cerr
#include <map>        // map
#include <memory>     // make_shared, make_unique, shared_ptr, unique_ptr
#include <random>     // random_device
#include <set>        // set
#include <string>     // string, to_string
#include <utility>    // move
#include <vector>     // vector

#include <asio/steady_timer.hpp> // steady_timer
#include <fcntl.h>               // open
#include <fmt/format.h>          // format
#include <nlohmann/json.hpp>
#include <sys/prctl.h> // prctl
#include <sys/wait.h>  // waitpid
#include <unistd.h>    // execv, fork, getpid

namespace review {

using hickorykeel::boot_clock;
using hickorykeel::duration;
using hickorykeel::time_point;
using hickorykeel::to_seconds;
using hickorykeel::gateway::header_list;
using hickorykeel::gateway::message_head;
using hickorykeel::gateway::server_exchange;
using hickorykeel::standins::platform_world;
using hickorykeel::standins::world_answer;
using namespace std::chrono_literals;

/// Exit codes of a case.
enum exit_code : int { held = 0, broken = 1, could_not_run = 2 };

/// Whether the case runs with its disruption.
inline bool has_trouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string{trouble} != "0";
}

/// The file that says what was sent, answered and run.
class record {
public:
    explicit record(const std::string& path) : m_file{path}, m_began{boot_clock::now()} {}

    void line(const std::string& text)
    {
        m_file << fmt::format("{:8.3f} {}\n", now_s(), text) << std::flush;
    }

    /// Seconds since the case began.
    [[nodiscard]] double now_s() const { return to_seconds(boot_clock::now() - m_began); }

private:
    std::ofstream m_file;
    time_point m_began;
};

/// A replica as the pages have it: it answers by its own id, and streams events.
class replica {
public:
    struct options {
        std::string service;
        std::string zone = {};
        std::string address = {};
        int events = 10;
        std::chrono::milliseconds first_event{30};
        std::chrono::milliseconds crash_after{30}; ///< from the receipt of a deadly request
        std::chrono::milliseconds event_interval{100};
        std::chrono::milliseconds down_time{2'000}; ///< from a crash to the next start
    };

    /// @param crashes whether the replica crashes as it begins to answer the request
    replica(platform_world& world, record& book, std::string name, options chosen,
            std::function<bool(const message_head&, const std::string&)> crashes)
        : m_world{world}, m_book{book}, m_name{std::move(name)}, m_options{std::move(chosen)},
          m_crashes{std::move(crashes)}, m_beat{world.loop()}, m_restart{world.loop()}
    {
        start();
        beat();
    }

    /// @name what it has seen
    /// @{
    struct arrival {
        double at_s = 0;
        std::string attempt;
        bool is_deadly = false;
    };
    std::vector<arrival> arrivals;
    std::vector<double> crashes;
    /// @}

    [[nodiscard]] const std::string& id() const noexcept { return m_id; }

private:
    static constexpr auto heartbeat = 1'200ms;
    static constexpr auto silence = 3'600ms; // after which the store removes an entry

    void start()
    {
        ++m_incarnation;
        m_id = fmt::format("{}-{}", m_name, m_incarnation);
        m_sequence = 0;
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
        m_server = std::make_unique<hickorykeel::gateway::http_server>(
            m_world.loop(), [this](const auto& request) { serve(request); });
        m_server->set_limits({.message = {65'536, 16'777'216}});
        if (!is_ok(m_server->listen(m_options.address))) {
            m_book.line("replica " + m_id + " can't listen");
            std::exit(could_not_run);
        }
        put_entry();
    }

    void put_entry()
    {
        m_world.put("servers/" + m_id, {{"service", m_options.service},
                                        {"address", m_options.address},
                                        {"zone", m_options.zone},
                                        {"version", "v1"},
                                        {"slots", 8},
                                        {"state", "ready"},
                                        {"seq", ++m_sequence},
                                        {"coldRemainingMs", 0},
                                        {"born", m_born}});
    }

    void beat()
    {
        m_beat.expires_after(heartbeat);
        m_beat.async_wait([this](const asio::error_code& failure) {
            if (!failure) {
                if (m_server != nullptr) {
                    put_entry();
                }
                beat();
            }
        });
    }

    void serve(const std::shared_ptr<server_exchange>& request)
    {
        const message_head& head = request->head();
        const std::string attempt{head.headers.find("X-Hickorykeel-Attempt-Id")};
        header_list headers;
        headers.add("X-Hickorykeel-Attempt-Id", attempt);
        headers.add("X-Hickorykeel-Instance-Id", m_id);
        if (head.target == "/healthz") {
            request->respond(200, headers, {});
            return;
        }
        if (head.headers.find("X-Hickorykeel-Target-Instance") != m_id) {
            headers.add("X-Hickorykeel-Not-Executed", "1");
            request->respond(421, headers, {});
            return;
        }
        const bool is_deadly = m_crashes(head, request->body());
        arrivals.push_back({m_book.now_s(), attempt, is_deadly});
        m_book.line(fmt::format("ran {} at {}{}", attempt, m_id, is_deadly ? " (deadly)" : ""));
        after(is_deadly ? m_options.crash_after : m_options.first_event,
              [this, request, headers, is_deadly, id = m_id]() mutable {
                  if (id != m_id || m_server == nullptr) {
                      return; // it has crashed meanwhile
                  }
                  if (is_deadly) {
                      crash();
                      return;
                  }
                  headers.add("X-Hickorykeel-Response-Seal", "seal-of-" + m_id);
                  headers.add("Content-Type", "text/event-stream");
                  request->begin(200, headers);
                  stream(request, 1, id);
              });
    }

    void stream(const std::shared_ptr<server_exchange>& request, int next, const std::string& id)
    {
        if (id != m_id || m_server == nullptr || !request->is_open()) {
            return;
        }
        request->send(fmt::format("id: {}\ndata: word\n\n", next));
        if (next >= m_options.events) {
            request->end();
            return;
        }
        after(m_options.event_interval,
              [this, request, next, id] { stream(request, next + 1, id); });
    }

    void crash()
    {
        m_book.line("crash of " + m_id);
        crashes.push_back(m_book.now_s());
        m_server = nullptr;
        after(silence, [this, id = m_id] { m_world.remove("servers/" + id); });
        after(m_options.down_time, [this] { start(); });
    }

    void after(duration delay, std::function<void()> then)
    {
        const auto timer = std::make_shared<asio::steady_timer>(m_world.loop());
        timer->expires_after(delay);
        timer->async_wait([timer, then = std::move(then)](const asio::error_code& failure) {
            if (!failure) {
                then();
            }
        });
    }

    platform_world& m_world;
    record& m_book;
    std::string m_name;
    options m_options;
    std::function<bool(const message_head&, const std::string&)> m_crashes;
    asio::steady_timer m_beat;
    asio::steady_timer m_restart;
    std::unique_ptr<hickorykeel::gateway::http_server> m_server; ///< null while it is down
    std::string m_id;
    int m_incarnation = 0;
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
};

/// The deployment: one region with gateways and replicas.
class deployment {
public:
    static constexpr const char* host = "site.example";
    static constexpr const char* zone = "muscat-a";
    static constexpr const char* region = "muscat";

    /// @param folder for the settings and the logs of the gateways; removed at the end
    explicit deployment(record& book) : m_book{book}
    {
        std::random_device random;
        const unsigned second = 16 + random() % 200;
        const unsigned third = random() % 250;
        m_net = fmt::format("127.{}.{}.", second, third);
        m_port_base = 20'000 + static_cast<int>(random() % 10'000);
        m_folder = std::filesystem::temp_directory_path() /
                   fmt::format("hickorykeel-case-{}-{}", ::getpid(), random() % 100'000);
        std::filesystem::create_directories(m_folder);
        m_world = std::make_unique<platform_world>(address(250, 5));
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    ~deployment()
    {
        requests.clear();
        replicas.clear(); // before the loop that they use
        for (const auto& [number, pid] : m_processes) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    platform_world& world() { return *m_world; }

    [[nodiscard]] std::string address(int last_byte, int port_offset) const
    {
        return fmt::format("{}{}:{}", m_net, last_byte, m_port_base + port_offset);
    }

    /// Runs the loop for `time`.
    void run_for(duration time)
    {
        const time_point until = boot_clock::now() + time;
        m_world->run_until([until] { return boot_clock::now() >= until; });
    }

    void add_replica(const std::string& name, replica::options chosen,
                     std::function<bool(const message_head&, const std::string&)> crashes)
    {
        chosen.zone = zone;
        chosen.address = address(100 + static_cast<int>(replicas.size()), 0);
        replicas.push_back(
            std::make_unique<replica>(*m_world, m_book, name, chosen, std::move(crashes)));
    }

    /// Starts gateways 1 to `count` and waits until all are ready and have met.
    void start_gateways(int count)
    {
        m_count = count;
        for (int number = 1; number <= count; ++number) {
            write_settings(number);
            start_gateway(number);
        }
        for (int number = 1; number <= count; ++number) {
            wait_until_ready(number);
        }
    }

    void wait_until_ready(int number)
    {
        const time_point limit = boot_clock::now() + 15s;
        while (boot_clock::now() < limit) {
            const auto answer = m_world->ask(address(number, 2), "GET", "/hickorykeel/readyz", {});
            m_world->run_until([&] { return answer->has_ended; });
            if (answer->status == 200) {
                m_book.line(fmt::format("gateway {} is ready", number));
                return;
            }
            run_for(100ms);
        }
        m_book.line(fmt::format("gateway {} isn't ready", number));
        throw std::runtime_error{"a gateway isn't ready"};
    }

    void start_gateway(int number)
    {
        const std::string settings = (m_folder / fmt::format("{}.ini", number)).string();
        const std::string log = (m_folder / fmt::format("{}.log", number)).string();
        const pid_t parent = ::getpid();
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(1);
            }
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, STDOUT_FILENO);
            ::close_range(STDERR_FILENO + 1, ~0U, 0); // the sockets of the stand-ins
            ::setenv("HICKORYKEEL_BOOT", settings.c_str(), 1);
            const char* const arguments[] = {"target/bin/hickorykeel-gateway", nullptr};
            ::execv(arguments[0], const_cast<char* const*>(arguments));
            ::_exit(127);
        }
        m_processes[number] = pid;
        m_book.line(fmt::format("gateway {} started", number));
    }

    /// Sends `signal` to a gateway that this case started.
    void signal_gateway(int number, int signal)
    {
        ::kill(m_processes.at(number), signal);
        m_book.line(fmt::format("signal {} to gateway {}", signal, number));
        if (signal == SIGKILL) {
            ::waitpid(m_processes.at(number), nullptr, 0);
            m_processes.erase(number);
        }
    }

    /// Whether all gateways that were started run still.
    [[nodiscard]] bool are_all_running()
    {
        return std::none_of(m_processes.begin(), m_processes.end(), [](const auto& held) {
            return ::waitpid(held.second, nullptr, WNOHANG) != 0;
        });
    }

    [[nodiscard]] std::string log_path(int number) const
    {
        return (m_folder / fmt::format("{}.log", number)).string();
    }

    struct sent_request {
        double at_s = 0;
        std::string attempt;
        std::string group;
        std::shared_ptr<world_answer> answer;
    };

    /// Sends a request to a gateway.
    void send(int gateway, const std::string& group, const std::string& method,
              const std::string& target, std::map<std::string, std::string> headers,
              const std::string& body)
    {
        const std::string attempt = fmt::format("{:016x}", ++m_attempts);
        headers["Host"] = host;
        headers["X-Hickorykeel-Attempt-Id"] = attempt;
        headers.emplace("X-Hickorykeel-Deadline-Ms", "15000");
        m_book.line(fmt::format("sent {} to gateway {}: {} {} {}", attempt, gateway, group, method,
                                target));
        requests.push_back({m_book.now_s(), attempt, group,
                            m_world->ask(address(gateway, 1), method, target, headers, body)});
    }

    /// Records how each request ended.
    void record_answers()
    {
        for (const sent_request& sent : requests) {
            const world_answer& answer = *sent.answer;
            std::string outcome = "none so far";
            if (answer.has_ended) {
                outcome = std::to_string(answer.status);
                outcome += answer.is_whole ? "" : " broken off";
                outcome += answer.status == 200 ? "" : " " + answer.body;
            }
            m_book.line(fmt::format("answer to {} ({}, sent at {:.3f}): {}", sent.attempt,
                                    sent.group, sent.at_s, outcome));
        }
    }

    /// Whether the request was served whole.
    static bool is_served(const sent_request& sent)
    {
        return sent.answer->has_ended && sent.answer->is_whole && sent.answer->status == 200;
    }

    std::vector<sent_request> requests;
    std::vector<std::unique_ptr<replica>> replicas;

private:
    void write_settings(int number) const
    {
        // as platform/settings.ini.template has it, with the bounds of kapnos-visits
        std::string text =
            fmt::format("[host]\nname = front-{0}-{1}\nip = {2}{1}\n"
                        "failure_domain = {0}\nregion = {3}\n"
                        "failure_domains =\n  {0}:{3}\n[listen]\n"
                        "callers = {4}\nreadiness = {5}\ndirectory = {6}\n"
                        "peers = {7}\nmetrics = {8}\n\n[peers]\nseeds =\n",
                        zone, number, m_net, region, address(number, 1), address(number, 2),
                        address(number, 3), address(number, 4), address(number, 6));
        for (int seed = 1; seed <= std::min(m_count, 3); ++seed) {
            text += fmt::format("  {}\n", address(seed, 4));
        }
        text += fmt::format("\n[source]\naddress = {}\n\n[limits]\nkey_withdrawal_ms = 5000\n"
                            "drain_ms = 4000\nretry_ratio = 0.2\nretry_slack = 52\n"
                            "stop_grace_s = 8\nmemory_mb = 260\nmax_descriptors = 4200\n",
                            address(250, 5));
        std::ofstream{m_folder / fmt::format("{}.ini", number)} << text;
    }

    record& m_book;
    std::string m_net;
    int m_port_base = 0;
    int m_count = 0;
    std::filesystem::path m_folder;
    std::unique_ptr<platform_world> m_world;
    std::map<int, pid_t> m_processes;
    std::uint64_t m_attempts = 0;
};

/// A route of the configuration that the operator writes.
inline nlohmann::json to_route(const std::string& name, const std::string& service,
                               const std::string& kind, int attempts, bool is_resumable,
                               int timeout_ms)
{
    return {{"name", name},
            {"host", deployment::host},
            {"prefix", "/" + name + "/"},
            {"kind", kind},
            {"service", service},
            {"maxAttempts", attempts},
            {"timeoutMs", timeout_ms},
            {"sloMs", 600},
            {"priority", 0},
            {"anonymous", false},
            {"resumable", is_resumable},
            {"sticky", kind == "streaming"}};
}

inline nlohmann::json to_configuration(const std::vector<nlohmann::json>& routes,
                                       const std::vector<nlohmann::json>& services)
{
    return {{"version", 1},
            {"routes", routes},
            {"services", services},
            {"limits",
             {{"headerBytes", 16'384},
              {"bodyBytes", 1'000'000},
              {"headerTimeoutMs", 10'000},
              {"idleTimeoutMs", 60'000}}},
            {"tenants",
             {{{"name", "caller-a"},
               {"apiKeys", {"key-a"}},
               {"perS", 0},
               {"burst", 0},
               {"unit", "tokens"},
               {"plainTokens", 200}},
              {{"name", "caller-b"},
               {"apiKeys", {"key-b"}},
               {"perS", 0},
               {"burst", 0},
               {"unit", "tokens"},
               {"plainTokens", 200}}}}};
}

/// Runs a case. An exception means that it could not run.
inline int run_case(const std::function<int(record&)>& body)
{
    const char* path = std::getenv("RECORD");
    record book{path == nullptr ? "record.txt" : path};
    try {
        const int result = body(book);
        book.line(result == held ? "result: the rule held" : "result: the rule was broken");
        return result;
    }
    catch (const std::exception& failure) {
        book.line(fmt::format("the case could not run: {}", failure.what()));
        std::cerr << failure.what() << '\n';
        return could_not_run;
    }
}

} // namespace review
