#pragma once

#include "gateway/membership/fleet_membership.h"

#include <chrono>     // milliseconds
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <random>     // mt19937_64
#include <string>     // string
#include <vector>     // vector

namespace hickorykeel::gateway {

/// Shape of a simulated fleet.
struct fleet_shape {
    int regions = 3;
    int domains_per_region = 2;
    int hosts_per_domain = 10;
    /// Hosts of each region, in one failure domain each; empty: as above.
    std::vector<int> hosts_by_region{};
    int seeds = 3; ///< of different regions
    std::uint64_t seed = 1;
    double loss = 0; ///< fraction of the datagrams that are lost
    fleet_membership_options options{};
};

/// Hosts of a fleet that exchange heartbeats in one process, on a clock of its own.
///
/// Thread safety: none.
class simulated_fleet {
public:
    struct host {
        std::string ip;
        std::string failure_domain;
        std::string region;
        std::unique_ptr<fleet_membership> membership;
        heartbeat state; ///< sent with each heartbeat
        bool is_running = false;
        bool is_frozen = false; ///< it doesn't run, but the datagrams for it wait until `wake()`
        std::vector<std::string> waiting_datagrams;
        time_point next_heartbeat{};
        std::uint64_t sent_bytes = 0;
        std::uint64_t sent_bytes_between_regions = 0;
        std::uint64_t sent_datagrams = 0;
        std::uint64_t lost_hosts = 0; ///< hosts that became not live
    };

    /// Whether a datagram between two hosts is delivered.
    using link_filter = std::function<bool(const host& from, const host& to)>;

    explicit simulated_fleet(const fleet_shape& shape);

    /// @name events
    /// @{
    void start(std::size_t index);
    void start_all();
    void kill(std::size_t index) { m_hosts[index].is_running = false; }
    /// A host that was frozen runs on, and receives the datagrams that have waited for it.
    void wake(std::size_t index);
    /// Names other seeds in the settings of all hosts. Running ones read them at once.
    void set_seeds(std::vector<std::string> ips);
    void set_filter(link_filter filter) { m_filter = std::move(filter); }
    void run_for(duration span);
    void reset_counters();
    /// @}

    /// Called for each datagram that a host has received.
    std::function<void(host& receiver, const received_news& news)> on_news;

    /// Called before a host sends its heartbeats, for its `state`.
    std::function<void(host& sender)> on_send;

    /// Called for each process that starts.
    std::function<void(host& started)> on_start;

    /// @name state
    /// @{
    [[nodiscard]] std::vector<host>& hosts() noexcept { return m_hosts; }
    [[nodiscard]] time_point now() const noexcept { return m_now; }
    [[nodiscard]] std::size_t index_of(const std::string& ip) const { return m_index_by_ip.at(ip); }
    [[nodiscard]] const std::vector<std::string>& seed_ips() const noexcept { return m_seed_ips; }

    /// Fewest hosts, itself included, that a running host believes live.
    [[nodiscard]] std::size_t fewest_live() const;

    /// Most hosts, itself included, that a running host believes live.
    [[nodiscard]] std::size_t most_live() const;
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::uint64_t lost_hosts() const;
    /// @}

private:
    struct datagram {
        std::size_t to = 0;
        std::string bytes;
    };

    void add_host(int region, int domain, int number);
    void send(host& from);
    void deliver_until(time_point until);
    void receive(host& to, const std::string& bytes, time_point at);

    fleet_shape m_shape;
    std::mt19937_64 m_random;
    std::vector<host> m_hosts;
    std::map<std::string, std::size_t> m_index_by_ip;
    std::multimap<time_point, datagram> m_in_transit;
    std::vector<std::string> m_seed_ips;
    link_filter m_filter;
    time_point m_now{std::chrono::seconds{1'000}};
    std::uint64_t m_incarnations = 0;
};

} // namespace hickorykeel::gateway
