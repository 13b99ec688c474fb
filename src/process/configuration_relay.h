#pragma once

#include "process/clock.h"
#include "version/configuration.h"

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace hickorykeel {

/// Revisions that a process holds.
struct held_revisions {
    std::uint64_t entries = 0;
    std::uint64_t hosts = 0;
};

/// Decides which peers a hickorykeel-configd asks and when, and whether it reads the platform.
///
/// Peers are all listed hosts of its own failure domain and two others, or the seeds of the
/// settings while there is no list. The two live hosts of each failure domain with the highest
/// rendezvous scores watch the platform. All others read it only while nobody has confirmed for
/// `freshness_limit` that the held state is the newest.
///
/// After a start the platform is trusted once every peer has answered and holds nothing newer, or
/// `start_wait` has passed: the platform may be stale.
///
/// Thread safety: none; one actor owns it.
class configuration_relay {
public:
    static constexpr duration ask_interval = std::chrono::milliseconds{500};
    static constexpr duration start_wait = std::chrono::seconds{2};
    static constexpr duration freshness_limit = std::chrono::seconds{3};
    static constexpr std::size_t peers_elsewhere = 2;
    static constexpr std::size_t watchers_per_domain = 2;

    struct options {
        std::string host;
        std::string failure_domain;
        std::vector<std::string> seeds; ///< link addresses of other hosts' hickorykeel-configd
    };

    configuration_relay(options chosen, time_point start);

    /// @name peers
    /// @{

    /// Chooses peers and watchers anew. O(n log n) in the number of hosts.
    void set_hosts(const host_list& hosts);

    /// Addresses to ask now: every peer whose turn it is.
    [[nodiscard]] std::vector<std::string> take_due(time_point now);

    /// Addresses of peers that aren't known to hold `held` yet, to be asked at once after an own
    /// change: the question tells them of it, and they ask back.
    [[nodiscard]] std::vector<std::string> take_behind(const held_revisions& held, time_point now);

    /// Notes the answer of the peer at `address`.
    void on_answer(const std::string& address, const held_revisions& theirs);

    /// Notes a question of the process `sender` ("<host>/configd").
    /// @return the address to ask back where the sender holds something newer and is listed
    std::optional<std::string> on_question(const std::string& sender, const held_revisions& theirs,
                                           const held_revisions& held);

    /// @}
    /// @name platform
    /// @{

    /// Whether to read the platform now.
    /// @param held what this process holds
    /// @param confirmed_at when the held state was last known to be the newest
    bool should_read_platform(time_point now, const held_revisions& held,
                              std::optional<time_point> confirmed_at);

    /// Whether this host is one of its failure domain's watchers.
    [[nodiscard]] bool is_watcher() const noexcept { return m_is_watcher; }

    /// @}

private:
    struct peer {
        std::optional<time_point> asked_at;
        bool has_answered = false;
        held_revisions holds; ///< at least
    };

    void set_peers(const std::vector<std::string>& addresses);
    bool is_platform_trusted(time_point now, const held_revisions& held);

    options m_options;
    time_point m_start;
    std::map<std::string, peer> m_peers; ///< by address
    std::map<std::string, std::string> m_address_by_host;
    bool m_has_hosts = false;
    bool m_is_watcher = false;
    bool m_is_trusted = false;
};

/// Score of `host` for `chooser`; the hosts with the highest scores are chosen. Each chooser ranks
/// the hosts in its own order, and a host that comes or goes changes no other's rank against each
/// other. Pure.
[[nodiscard]] std::uint64_t rendezvous_score(const std::string& chooser,
                                             const std::string& host) noexcept;

} // namespace hickorykeel
