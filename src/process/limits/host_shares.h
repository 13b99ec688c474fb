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

/// Durations of consents within a failure domain, and switches for tests.
struct share_options {
    duration hold_term = std::chrono::seconds{10};   ///< from the claim: counts in full
    duration isolation_term = std::chrono::hours{2}; ///< from the claim: ends then
    /// Time after a decrease for which the former share still counts, as its loans may be open.
    duration settle_term = std::chrono::seconds{2};
    double reduced_consent_factor = 0.5; ///< of a consent between the two terms
    double drift = clock_drift_bound;

    /// Whether a newly started host reserves room for consents that its earlier incarnation gave: all of
    /// the rights for `hold_term`, then `reduced_consent_factor` of them until `isolation_term` has
    /// ended, each extended by `settle_term`. A complete reply of another host or a first host list
    /// ends this. Needed where the platform removes running hosts from its list. Off by default: a
    /// newly started failure domain would have half of its rights for the isolation term.
    bool counts_forgotten_consents = false;

    /// @name test only: false disables the rule
    /// @{
    bool waits_for_consent = true; ///< a share needs the consent of every listed host
    bool expires_consents = true;  ///< consents decrease after hold_term, end after isolation_term
    bool counts_settling = true;   ///< a former share counts for settle_term
    /// A consent is at most the fraction that this host has declared since its claim.
    bool bounds_stale_consents = true;
    /// A reply of an incarnation older than the known one is ignored.
    bool ignores_superseded_replies = true;
    /// @}
};

/// Splits a failure domain's weight among its hosts by messages, without shared state.
///
/// Each host records the fraction that it has consented to for every other host. It uses at most
/// what these consents leave, and at most what every other listed host has consented to. The
/// messages between two hosts therefore bound their shares even if their host lists differ.
///
/// A newly started host doesn't know which consents its earlier incarnation gave, possibly to a host that
/// is no longer in any list; `counts_forgotten_consents` makes it wait until they have ended.
///
/// Thread safety: none; the owner serialises calls. Complexity of each call: linear in the hosts
/// of the failure domain, unless noted.
class host_shares {
public:
    host_shares(std::string name, std::string failure_domain, std::uint64_t incarnation,
                share_options options);

    /// @name input
    /// @{
    void apply(const host_list& list, time_point now);

    /// Replies to a claim of the host `from`. The last entry of `others` is the consent to `from`.
    /// The other entries name the hosts that may use a share without being live in this host's
    /// list; an entry with an empty host name stands for the hosts whose consents this host may have
    /// forgotten. A claim of a retired incarnation gets a reply without shares.
    share_answer on_claim(const std::string& from, std::uint64_t incarnation,
                          const share_claim& claim, time_point now);

    /// Applies the reply to the claim that this host sent at `claimed_at`.
    void on_answer(const std::string& from, std::uint64_t incarnation, const share_answer& answer,
                   time_point claimed_at, time_point now);

    /// Records that this incarnation uses no share any more; its loans may still be spent for
    /// `settle_term`.
    void on_leave_notice(const std::string& from, std::uint64_t incarnation, time_point now);

    /// Updates the share of this host at `now`; consents that have ended no longer count.
    void advance(time_point now);
    /// @}

    /// @name state
    /// @{

    /// Fraction of the failure domain's weight that this host may use, as of the last input.
    /// Complexity: constant.
    [[nodiscard]] double fraction() const noexcept { return m_fraction; }

    /// Returns the next moment after `now` at which the fraction may decrease unless a reply comes,
    /// or `time_point::max()` if there is none.
    [[nodiscard]] time_point next_decrease(time_point now) const;

    /// Names the hosts to send a claim to: the listed ones and those that hold a consent.
    [[nodiscard]] std::vector<std::string> hosts_to_claim_from() const;

    [[nodiscard]] std::uint64_t host_list_revision() const noexcept { return m_revision; }
    /// @}

private:
    /// Consent received from another host.
    struct consent {
        double fraction = 0;
        time_point claimed_at; // hold and isolation term start here
    };

    /// State of another host of the failure domain: what it may use and what it consented to.
    struct peer {
        std::uint64_t incarnation = 0;
        time_point known_since;             // first message of this incarnation
        std::vector<std::uint64_t> retired; // earlier incarnations, oldest first
        double retired_fraction = 0;        // of retired incarnations whose loans may be open
        time_point retired_until;
        bool is_listed = false;
        bool is_live = false; // listed as live
        bool has_claimed = false;
        double granted = 0; // consent given by this host
        time_point granted_at;
        consent received;
        bool has_consented = false;
        time_point replied_at; // last reply sent to this peer
        double replied_fraction = 0;
        bool has_replied = false;
        time_point reports_claimed_at;
        std::vector<held_share> reports; // about third hosts; their ends are in report_ends
        std::vector<time_point> report_ends;
    };

    [[nodiscard]] double forgotten_fraction(time_point now) const;
    void note_first_call(time_point now);
    void take_reports(peer& other, const share_answer& answer, time_point now);
    peer* accept(const std::string& from, std::uint64_t incarnation, time_point now);
    void retire(peer& other, time_point now);
    [[nodiscard]] static bool is_retired(const peer& other, std::uint64_t incarnation);
    [[nodiscard]] double allowance_of(const peer& other, time_point now) const;
    [[nodiscard]] double consent_from(const peer& other, time_point now) const;
    [[nodiscard]] std::map<std::string, double> allowances(time_point now) const;
    [[nodiscard]] std::map<std::string, double> reported(time_point now) const;
    [[nodiscard]] double equal_share() const;
    [[nodiscard]] double target_scale(const std::map<std::string, double>& allowed,
                                      time_point now) const;
    [[nodiscard]] double committed(time_point now) const;
    [[nodiscard]] std::vector<held_share> unlisted_shares(time_point now) const;
    double grant(const std::string& to, peer& claimant, const share_claim& claim, time_point now);
    void update(time_point now);

    std::string m_name;
    std::string m_failure_domain;
    std::uint64_t m_incarnation;
    share_options m_options;
    std::uint64_t m_revision = 0;
    std::optional<time_point> m_started; // time of the first host list, claim or reply
    bool m_knows_all_consents = false;   // knows every host that may use a share
    bool m_is_live = false;              // whether the host list has this host as live
    std::map<std::string, peer> m_peers;
    // claimants that this host's list doesn't have but a newer one does; to that list's revision
    std::map<std::string, std::uint64_t> m_unlisted_claimants;
    double m_fraction = 0;
    double m_settling_fraction = 0; // former fraction that open loans may still use
    time_point m_settling_until;
};

} // namespace hickorykeel
