#pragma once

#include "gateway_pair.h"
#include "process/clock.h"
#include "standins/gateway/platform_world.h"
#include "support/child_process.h"
#include "support/free_port.h"
#include "support/scratch_file.h"
#include "support/wait_for.h"

#include <algorithm>  // all_of, min, shuffle, stable_partition
#include <chrono>     // milliseconds, seconds
#include <cstddef>    // ptrdiff_t, size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // make_unique, shared_ptr, unique_ptr
#include <optional>   // optional
#include <random>     // mt19937_64, uniform_int_distribution
#include <string>     // string, to_string
#include <utility>    // move
#include <vector>     // vector

#include <doctest/doctest.h>
#include <fmt/format.h> // format
#include <nlohmann/json.hpp>

namespace hickorykeel::tests {

/// Gateways of several regions, with one failure domain each, before endpoints that the test adds.
///
/// Thread safety: none; one thread uses it.
class gateway_regions {
public:
    /// Starts the gateways. @param regions their names, of one letter
    gateway_regions(const std::vector<std::string>& regions, std::size_t hosts_per_region,
                    const nlohmann::json& configuration)
        : m_regions{regions}
    {
        m_world.put("op/config", configuration);
        const std::string any = free_address();
        const std::string net = any.substr(0, any.rfind('.') + 1);
        for (const std::string& region : regions) {
            for (std::size_t i = 0; i < hosts_per_region; ++i) {
                host& added = m_hosts.emplace_back();
                added.region = region;
                // hosts differ in their addresses and share their ports
                added.ip = net + std::to_string(m_hosts.size() + 1);
            }
        }
        for (host& each : m_hosts) {
            each.settings = std::make_unique<scratch_file>(to_settings(each, hosts_per_region));
            start(each);
        }
    }

    standins::platform_world& world() { return m_world; }
    [[nodiscard]] std::size_t size() const noexcept { return m_hosts.size(); }
    [[nodiscard]] const std::string& region(std::size_t at) const { return m_hosts.at(at).region; }
    [[nodiscard]] std::string callers_address(std::size_t at) const
    {
        return m_hosts.at(at).ip + m_callers;
    }
    [[nodiscard]] std::string directory_address(std::size_t at) const
    {
        return m_hosts.at(at).ip + m_directory;
    }
    [[nodiscard]] pid_t process_id(std::size_t at) const { return m_hosts.at(at).process->id(); }

    /// The host whose address for callers is given.
    [[nodiscard]] std::size_t host_at(const std::string& callers_address) const
    {
        for (std::size_t at = 0; at < m_hosts.size(); ++at) {
            if (this->callers_address(at) == callers_address) {
                return at;
            }
        }
        FAIL("the directory named an address of no host: " << callers_address);
        return 0;
    }

    /// Last signal to a host's process, or its last start.
    [[nodiscard]] time_point disturbed(std::size_t at) const { return m_hosts.at(at).disturbed; }

    /// Tells a gateway to stop. It is started again once it has ended.
    void terminate(std::size_t at)
    {
        m_hosts.at(at).process->terminate();
        m_hosts.at(at).disturbed = boot_clock::now();
    }

    /// Kills a gateway. It is started again.
    void kill(std::size_t at)
    {
        m_hosts.at(at).process->kill();
        m_hosts.at(at).disturbed = boot_clock::now();
    }

    /// Starts the gateways again that ended a short time ago.
    void start_ended()
    {
        constexpr auto restart_delay = std::chrono::milliseconds{300};
        for (host& each : m_hosts) {
            if (each.process->exit_code()) {
                each.ended = each.ended.value_or(boot_clock::now());
                if (boot_clock::now() >= *each.ended + restart_delay) {
                    start(each);
                }
            }
        }
    }

    /// Waits until all run, are ready and have heard all others.
    void wait_until_met()
    {
        const std::string all = fmt::format("live_hosts\"}} {}\n", m_hosts.size());
        for (host& each : m_hosts) {
            REQUIRE(m_world.run_until([&] {
                start_ended();
                return get(each.ip + m_readiness, "/hickorykeel/readyz").status == 200 &&
                       get(each.ip + m_metrics, "/metrics").body.find(all) != std::string::npos;
            }));
        }
    }

private:
    /// One host, and its gateway process.
    struct host {
        std::string ip;
        std::string region;
        std::unique_ptr<scratch_file> settings;
        std::unique_ptr<child_process> process;
        time_point disturbed{};          ///< last signal or start
        std::optional<time_point> ended; ///< when the end was noticed
    };

    static std::string port()
    {
        const std::string address = free_address();
        return address.substr(address.rfind(':'));
    }

    [[nodiscard]] std::string to_settings(const host& each, std::size_t hosts_per_region) const
    {
        std::string text = fmt::format("[host]\nname = host-{}\nip = {}\nfailure_domain = {}-1\n"
                                       "region = {}\nfailure_domains =\n",
                                       each.ip, each.ip, each.region, each.region);
        for (const std::string& region : m_regions) {
            text += fmt::format("  {}-1:{}\n", region, region);
        }
        text += fmt::format("[listen]\ncallers = {0}{1}\nreadiness = {0}{2}\ndirectory = {0}{3}\n"
                            "peers = {0}{4}\nmetrics = {0}{5}\n[peers]\nseeds =\n",
                            each.ip, m_callers, m_readiness, m_directory, m_peers, m_metrics);
        for (std::size_t i = 0; i < m_hosts.size(); i += hosts_per_region) {
            text += fmt::format("  {}{}\n", m_hosts.at(i).ip, m_peers);
        }
        return text + fmt::format("[source]\naddress = {}\n", m_store_address);
    }

    static void start(host& each)
    {
        each.process = std::make_unique<child_process>(
            "hickorykeel-gateway", std::vector<std::string>{"--settings", each.settings->path()});
        each.disturbed = boot_clock::now();
        each.ended = std::nullopt;
    }

    standins::world_answer get(const std::string& address, const std::string& target)
    {
        const auto answer = m_world.ask(address, "GET", target, {});
        REQUIRE(m_world.run_until([&] { return answer->has_ended; }));
        return *answer;
    }

    std::vector<std::string> m_regions;
    std::string m_store_address = free_address();
    std::string m_callers = port();
    std::string m_readiness = port();
    std::string m_directory = port();
    std::string m_peers = port();
    std::string m_metrics = port();
    standins::platform_world m_world{m_store_address};
    std::vector<host> m_hosts;
};

/// Request that a caller has sent.
struct sent_request {
    std::string id;
    std::string target;
    std::string region;   ///< of the caller
    std::size_t host = 0; ///< to which it was sent
    time_point sent{};
    time_point disturbed{}; ///< last signal or start of the host before
    std::shared_ptr<standins::world_answer> answer;
};

/// Caller that follows the directory: it asks up to three hosts, the nearest first, and keeps an
/// answer for its time to live or three times as long, and longer while it gets no new one.
///
/// Thread safety: none; used on the thread of the world's loop.
class directory_caller {
public:
    /// @param lifetimes for how many times its time to live an answer is kept
    directory_caller(gateway_regions& gateways, std::string region, int lifetimes,
                     std::uint64_t seed)
        : m_gateways{&gateways}, m_region{std::move(region)}, m_lifetimes{lifetimes}, m_random{seed}
    {
    }

    /// Asks the directory when the answer that it holds is too old.
    void step()
    {
        const time_point now = boot_clock::now();
        if (m_question != nullptr) {
            if (m_question->has_ended && take_answer(now)) {
                m_question = nullptr;
            }
            else if (m_question->has_ended || now >= m_asked + max_wait) {
                ask_next(now);
            }
        }
        else if (now >= m_valid_until) {
            choose_hosts_to_ask();
            ask_next(now);
        }
    }

    /// Sends a request to one of the addresses that it holds, chosen at random among those that
    /// haven't failed. Returns nothing if there is none.
    std::optional<sent_request> send(const std::string& target, const std::string& id)
    {
        forget_failed();
        if (m_addresses.empty()) {
            m_valid_until = {}; // the answer is of no more use
            return std::nullopt;
        }
        std::uniform_int_distribution<std::size_t> any{0, m_addresses.size() - 1};
        const std::string& address = m_addresses.at(any(m_random));
        const std::size_t host = m_gateways->host_at(address);
        sent_request sent{
            id, target, m_region, host, boot_clock::now(), m_gateways->disturbed(host), {}};
        sent.answer = m_gateways->world().ask(address, "POST", target,
                                              {{"Host", caller_host},
                                               {"X-Hickorykeel-Attempt-Id", id},
                                               {"X-Hickorykeel-Deadline-Ms", "5000"},
                                               {"Api-Key", key}},
                                              "body");
        m_open.emplace_back(address, sent.answer);
        return sent;
    }

private:
    static constexpr duration max_wait = std::chrono::seconds{1}; // for an answer of one host
    static constexpr std::size_t max_asked = 3;
    static constexpr duration pause = std::chrono::milliseconds{100}; // before it asks anew

    void choose_hosts_to_ask()
    {
        m_to_ask.resize(m_gateways->size());
        for (std::size_t at = 0; at < m_to_ask.size(); ++at) {
            m_to_ask.at(at) = at;
        }
        std::ranges::shuffle(m_to_ask, m_random);
        std::stable_partition(m_to_ask.begin(), m_to_ask.end(), [this](std::size_t at) {
            return m_gateways->region(at) == m_region;
        });
        m_to_ask.resize(std::min(m_to_ask.size(), max_asked));
    }

    void ask_next(time_point now)
    {
        m_question = nullptr;
        if (m_to_ask.empty()) {
            m_valid_until = now + pause; // nobody has answered
            return;
        }
        const std::string address = m_gateways->directory_address(m_to_ask.front());
        m_to_ask.erase(m_to_ask.begin());
        m_asked = now;
        m_question = m_gateways->world().ask(address, "GET",
                                             fmt::format("/hickorykeel/resolve?name={}&region={}"
                                                         "&zone={}-1",
                                                         caller_host, m_region, m_region),
                                             {});
    }

    bool take_answer(time_point now)
    {
        const auto body = nlohmann::json::parse(m_question->body, nullptr, false);
        if (m_question->status != 200 || !body.is_object() || body.value("ttlS", 0) <= 0 ||
            body.value("addresses", nlohmann::json::array()).empty()) {
            return false;
        }
        m_addresses = body.at("addresses").get<std::vector<std::string>>();
        m_valid_until = now + m_lifetimes * std::chrono::seconds{body.at("ttlS").get<int>()};
        m_open.clear();
        return true;
    }

    /// Drops addresses at which a request has ended without a response.
    void forget_failed()
    {
        std::erase_if(m_open, [this](const auto& each) {
            const auto& [address, answer] = each;
            if (answer->has_ended && answer->status == 0) {
                std::erase(m_addresses, address);
            }
            return answer->has_ended;
        });
    }

    gateway_regions* m_gateways;
    std::string m_region;
    int m_lifetimes;
    std::mt19937_64 m_random;
    std::vector<std::string> m_addresses;
    time_point m_valid_until{};
    std::vector<std::size_t> m_to_ask;                  ///< hosts, after the one that is asked
    std::shared_ptr<standins::world_answer> m_question; ///< null while none is open
    time_point m_asked{};
    std::vector<std::pair<std::string, std::shared_ptr<standins::world_answer>>> m_open;
};

/// What the callers of a crowd do.
struct crowd_options {
    std::vector<std::string> targets; ///< of the requests, in turn
    std::uint64_t seed = 1;
    /// For how many times its time to live a third of the callers keep an answer of the directory, if
    /// its addresses don't fail them.
    int long_lifetimes = 3;
};

/// Callers of all regions, which follow the directory and send requests at the same interval.
///
/// Thread safety: none; used on the thread of the world's loop.
class directory_crowd {
public:
    directory_crowd(gateway_regions& gateways, const std::vector<std::string>& regions,
                    const crowd_options& options)
        : m_gateways{&gateways}, m_targets{options.targets}
    {
        for (const std::string& region : regions) {
            for (std::uint64_t i = 0; i < callers_per_region; ++i) {
                const int lifetimes = i % 3 == 0 ? options.long_lifetimes : 1;
                m_callers.emplace_back(gateways, region, lifetimes,
                                       options.seed * max_callers + m_callers.size());
            }
        }
    }

    /// Lets the callers send requests for `span`, and calls `on_step` with the time since the begin.
    /// Gateways that end are started again. Returns once all requests have ended.
    void run(duration span, const std::function<void(duration)>& on_step = {})
    {
        const time_point begin = boot_clock::now();
        time_point next = begin;
        REQUIRE(m_gateways->world().run_until([&] {
            const time_point now = boot_clock::now();
            m_gateways->start_ended();
            if (on_step) {
                on_step(now - begin);
            }
            for (directory_caller& caller : m_callers) {
                caller.step();
            }
            if (now >= next) {
                next = now + interval;
                send();
            }
            return now >= begin + span;
        }));
        REQUIRE(m_gateways->world().run_until([&] {
            return std::ranges::all_of(m_sent,
                                       [](const auto& each) { return each.answer->has_ended; });
        }));
    }

    /// Checks that, once all gateways run, the callers come to be served without exception.
    void check_service()
    {
        constexpr duration span = std::chrono::milliseconds{500};
        m_gateways->wait_until_met();
        const time_point limit = boot_clock::now() + longest_wait;
        bool is_served = false;
        while (!is_served && boot_clock::now() < limit) {
            const std::size_t before = m_sent.size();
            run(span);
            is_served =
                m_sent.size() >= before + m_callers.size() &&
                std::all_of(m_sent.begin() + static_cast<std::ptrdiff_t>(before), m_sent.end(),
                            [](const auto& each) { return each.answer->status == 200; });
        }
        CHECK(is_served);
    }

    /// All requests so far.
    [[nodiscard]] const std::vector<sent_request>& sent() const noexcept { return m_sent; }

private:
    static constexpr std::uint64_t callers_per_region = 6;
    static constexpr std::uint64_t max_callers = 100;
    static constexpr duration interval =
        std::chrono::milliseconds{100}; // of each caller's requests

    void send()
    {
        for (directory_caller& caller : m_callers) {
            const std::string& target = m_targets.at(m_count % m_targets.size());
            if (auto sent = caller.send(target, fmt::format("{:016x}", ++m_count))) {
                m_sent.push_back(std::move(*sent));
            }
        }
    }

    gateway_regions* m_gateways;
    std::vector<std::string> m_targets;
    std::vector<directory_caller> m_callers;
    std::vector<sent_request> m_sent;
    std::uint64_t m_count = 0;
};

} // namespace hickorykeel::tests
