#pragma once

#include "process/clock.h"
#include "process/limits/limit_messages.h"
#include "version/configuration.h"

#include <chrono>   // seconds, hours
#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace hickorykeel {

/// Terms of the shares within a failure domain, and switches for tests.
struct share_options {
    duration hold_term = std::chrono::seconds{10};   ///< full consent
    duration isolation_term = std::chrono::hours{2}; ///< reduced consent
    duration settle_term = std::chrono::seconds{2};  ///< after a fall, until loans have ended
    double reduced_consent_factor = 0.5;             ///< of a consent after the hold term
    double drift = clock_drift_bound;

    /// A started host uses nothing for the hold term, then half until the isolation term has ended,
    /// unless a host that knows has answered or its list is the first. Needed where the platform
    /// drops running hosts from its list; off, since a started failure domain would have half of
    /// its rights for the isolation term.
    bool counts_forgotten_consents = false;

    /// @name test only: each false shows that the rule is needed
    /// @{
    bool waits_for_consent = true;
    bool expires_consents = true;
    bool counts_settling = true;
    bool bounds_stale_consents = true;
    bool ignores_superseded_replies = true;
    /// @}
};

/// Splits a failure domain's rights among its hosts without shared state.
///
/// Each host keeps, for every other, the fraction that it has consented to, and uses no more than
/// what these consents leave and what every other listed host has consented to. Rights of a pair
/// of hosts are so bounded by their own messages, whatever their lists say.
///
/// A started host doesn't know which consents its earlier incarnation gave, perhaps to a host that
/// no list names any more; `counts_forgotten_consents` makes it wait for them.
///
/// Thread safety: none; the owner serialises calls. Complexity of each call: linear in the hosts
/// of the failure domain, but where noted.
class host_shares {
public:
    host_shares(std::string name, std::string failure_domain, std::uint64_t incarnation,
                share_options options);

    /// @name input
    /// @{
    void apply(const host_list& list, time_point now);

    /// Answers a claim; consent is in the entry for the claimant.
    /// `others` of the answer names every host that isn't live in this host's list.
    share_answer on_claim(const std::string& from, std::uint64_t incarnation,
                          const share_claim& claim, time_point now);

    /// Takes the answer to the claim that this host sent at `claimed_at`.
    void on_answer(const std::string& from, std::uint64_t incarnation, const share_answer& answer,
                   time_point claimed_at, time_point now);

    /// That incarnation uses nothing any more.
    void on_leave_notice(const std::string& from, std::uint64_t incarnation, time_point now);

    /// Moves to `now`: what has ended by then is counted no more.
    void advance(time_point now);
    /// @}

    /// @name state
    /// @{

    /// Fraction of the failure domain's rights that this host uses since the last call above.
    /// Constant time.
    [[nodiscard]] double fraction() const noexcept { return m_fraction; }

    /// Next moment at which the fraction falls unless an answer comes; `time_point::max()`: none.
    [[nodiscard]] time_point next_decrease(time_point now) const;

    /// Hosts to send a claim to.
    [[nodiscard]] std::vector<std::string> hosts_to_claim_from() const;

    [[nodiscard]] std::uint64_t host_list_revision() const noexcept { return m_revision; }
    /// @}

private:
    /// Consent received from another host.
    struct consent {
        double fraction = 0;
        time_point claimed_at; // both terms count from here
    };

    /// What another host may use.
    struct peer {
        std::uint64_t incarnation = 0;
        time_point known_since;             // that incarnation
        std::vector<std::uint64_t> retired; // earlier incarnations, oldest first
        double retired_fraction = 0;        // of the last one
        time_point retired_until;
        bool is_listed = false;
        bool is_live = false; // listed as live
        bool has_claimed = false;
        double granted = 0; // by this host
        time_point granted_at;
        consent received;
        bool has_consented = false;
        time_point replied_at; // last answer given to it
        double replied_fraction = 0;
        bool has_replied = false;
        time_point reports_claimed_at;
        std::vector<held_share> reports; // of third hosts, with the ends beside
        std::vector<time_point> report_ends;
    };

    [[nodiscard]] double forgotten_fraction(time_point now) const;
    void note_first_call(time_point now);
    void take_reports(peer& other, const share_answer& answer, time_point now);
    peer* accept(const std::string& from, std::uint64_t incarnation, time_point now);
    void retire(peer& other, time_point now);
    [[nodiscard]] static bool is_retired(const peer& other, std::uint64_t incarnation);
    [[nodiscard]] double allowance(const peer& other, time_point now) const;
    [[nodiscard]] double consented(const peer& other, time_point now) const;
    [[nodiscard]] std::map<std::string, double> allowances(time_point now) const;
    [[nodiscard]] std::map<std::string, double> reported(time_point now) const;
    [[nodiscard]] double equal_share() const;
    [[nodiscard]] double target_scale(const std::map<std::string, double>& allowed,
                                      time_point now) const;
    [[nodiscard]] double committed(time_point now) const;
    [[nodiscard]] std::vector<held_share> unlisted_shares(time_point now) const;
    [[nodiscard]] duration with_drift_margin(duration term) const;
    double grant(const std::string& to, peer& claimant, const share_claim& claim, time_point now);
    void update(time_point now);

    std::string m_name;
    std::string m_failure_domain;
    std::uint64_t m_incarnation;
    share_options m_options;
    std::uint64_t m_revision = 0;
    std::optional<time_point> m_started; // first call
    bool m_knows_all_consents = false;   // knows of every host that may use something
    bool m_is_live = false;              // this host, by its own list
    std::map<std::string, peer> m_peers;
    std::map<std::string, std::uint64_t>
        m_unlisted_claimants; // of newer lists, with their revision
    double m_fraction = 0;
    double m_settling_fraction = 0; // fraction that loans may still unused on
    time_point m_settling_until;
};

} // namespace hickorykeel
