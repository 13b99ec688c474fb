#pragma once

#include "support/child_process.h"
#include "support/http_caller.h"
#include "support/relay.h"

#include <cstddef>    // size_t
#include <filesystem> // path
#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <mutex>      // mutex
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include <nlohmann/json.hpp>

namespace hickorykeel::tests {

/// What a fleet is made of.
struct fleet_options {
    std::string sample = "kapnos"; ///< folder under examples/ with entries.json and keys.json
    std::size_t hosts_per_failure_domain = 1;
    bool has_relays = false; ///< links between processes and to the platform can be cut
    std::vector<std::string> engine_arguments;                ///< further ones of every engine
    std::function<void(nlohmann::json& entries)> adjust = {}; ///< changes what is published first
    std::string trace_address;      ///< collector of every process's spans; empty: none
    bool is_link_encrypted = false; ///< all processes share one pair of CURVE keys
    std::string own_settings;       ///< further sections of every entry and dispatch process
    std::map<std::string, std::string> further_keys = {}; ///< keys of organisations, by name
};

/// One host of a fleet; the addresses are those the programs listen at.
struct fleet_host {
    std::string name;
    std::string failure_domain;
    std::string caller_address;
    std::string entry_address;
    std::string dispatch_address;
    std::string configd_address;
    std::map<std::string, std::string> admin_addresses; ///< by "entry", "dispatch", "configd"
};

/// The real programs of several failure domains, with stand-ins for the platform and the
/// endpoints. Every process has a name: "platform", the endpoint's own, or "<host>/entry",
/// "<host>/dispatch", "<host>/configd". The hosts of failure domain `d` are `d-a`, `d-b`, ...
///
/// Thread safety: one thread uses it; callers that it made may be used by any.
class fleet {
public:
    explicit fleet(fleet_options options = {});

    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    /// Kills every process that it started, and removes its settings files.
    ~fleet();

    /// Starts everything and waits until every entry host is ready.
    /// @return empty, or what failed
    [[nodiscard]] std::string start();

    /// @name observers
    /// @{
    [[nodiscard]] const std::vector<fleet_host>& hosts() const noexcept;
    [[nodiscard]] std::vector<std::string> failure_domains() const;
    [[nodiscard]] const nlohmann::json& entries() const noexcept; ///< as published last

    /// Names of all processes, in the order of their start.
    [[nodiscard]] const std::vector<std::string>& process_names() const noexcept;

    /// Key of every process's administration.
    [[nodiscard]] static std::string admin_key();

    /// The CURVE secret key; empty: links are not encrypted.
    [[nodiscard]] const std::string& link_secret_key() const noexcept;

    /// A caller at host number `host` with the key of `organisation` (empty: none).
    [[nodiscard]] http_caller caller(std::size_t host, const std::string& organisation) const;

    [[nodiscard]] std::string key(const std::string& organisation) const; ///< empty: none

    /// What the endpoint's ledger holds.
    [[nodiscard]] nlohmann::json ledger(const std::string& endpoint) const;

    /// Ledgers of every endpoint of `target`, by endpoint.
    [[nodiscard]] std::map<std::string, nlohmann::json> ledgers(const std::string& target) const;

    /// Runs of each identifier over all endpoints of the service `target`.
    [[nodiscard]] std::map<std::string, std::uint64_t>
    service_runs(const std::string& target) const;

    /// @}
    /// @name processes
    /// @{

    /// Precondition: there is a process of that name.
    [[nodiscard]] child_process& process(const std::string& name);

    /// Kills the process where it still runs, and starts it anew with the same settings.
    /// @return whether it listens
    [[nodiscard]] bool restart(const std::string& name);

    /// Waits until entry host number `host` answers that it is ready.
    [[nodiscard]] bool wait_until_ready(std::size_t host) const;

    /// @}
    /// @name platform and endpoints
    /// @return whether the call succeeded
    /// @{

    /// Publishes entries: key to value, or to null, which deletes.
    bool publish(const nlohmann::json& change);

    /// Publishes the list of hosts as it was at the start, with the states given.
    bool publish_hosts(const std::map<std::string, std::string>& state_by_host);

    bool set_platform_mode(const std::string& mode); ///< "live", "stale" or "down"
    [[nodiscard]] nlohmann::json platform_counts() const;
    bool set_faults(const std::string& endpoint, const nlohmann::json& faults);

    /// @}
    /// @name links; need `has_relays`
    /// @{

    /// Connections that processes of failure domain `from` make to processes of `to`.
    void set_link(const std::string& from, const std::string& to, const link_state& state);

    /// All links between `failure_domain` and the others, and its link to the platform.
    void isolate(const std::string& failure_domain, const link_state& state);

    void set_platform_link(const std::string& failure_domain, const link_state& state);

    /// @}

private:
    struct program;

    void place_endpoints();
    void place_hosts();
    void place_relays();
    void add_endpoints();
    void add_platform();
    void add_host(const fleet_host& item);
    [[nodiscard]] std::string link_section(const std::string& address) const;
    void make_link_keys();
    void add(const std::string& name, const std::string& program_name,
             std::vector<std::string> arguments, const std::string& failure_domain);
    std::string listed(const std::string& address) const;
    std::string write_file(const std::string& name, const std::string& text) const;
    [[nodiscard]] nlohmann::json
    host_list(const std::map<std::string, std::string>& state_by_host) const;
    [[nodiscard]] std::optional<std::string> source_of(const std::string& address,
                                                       const std::string& relay_address) const;
    [[nodiscard]] std::map<pid_t, std::string> failure_domain_by_process() const;
    [[nodiscard]] std::string address_of_endpoint(const std::string& endpoint) const;

    fleet_options m_options;
    std::filesystem::path m_folder;
    nlohmann::json m_entries;
    nlohmann::json m_keys;
    std::string m_platform_address;
    std::string m_link_public_key; // both empty: not encrypted
    std::string m_link_secret_key;
    std::vector<fleet_host> m_hosts;
    std::vector<std::string> m_order; // of starting
    std::map<std::string, program> m_programs;
    mutable std::mutex m_mutex; // guards m_failure_domain_by_process
    std::map<pid_t, std::string> m_failure_domain_by_process;
    std::map<std::string, std::string> m_relay_addresses; // by the address behind the relay
    std::map<std::string, std::vector<std::unique_ptr<relay>>> m_relays; // by failure domain behind
    std::map<std::string, std::unique_ptr<relay>> m_platform_relays;     // by failure domain
    std::map<std::string, std::string> m_platform_relay_addresses;       // by failure domain
};

} // namespace hickorykeel::tests
