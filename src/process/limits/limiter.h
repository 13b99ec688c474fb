#pragma once

#include "process/clock.h"
#include "process/limits/domain_weight.h"
#include "process/limits/host_shares.h"
#include "process/limits/limit_messages.h"
#include "process/limits/token_bucket.h"
#include "version/configuration.h"

#include <chrono>        // milliseconds, seconds
#include <cstdint>       // uint64_t
#include <map>           // map
#include <random>        // mt19937_64
#include <set>           // set
#include <string>        // string
#include <unordered_map> // unordered_map
#include <variant>       // variant
#include <vector>        // vector

namespace hickorykeel {

/// Durations and bounds of a limiter, and switches for tests.
struct limiter_options {
    weight_options weights;
    share_options shares;
    duration loan_term = std::chrono::seconds{2};                 ///< from the borrower's request
    duration loan_reply_timeout = std::chrono::milliseconds{300}; ///< for one round of queries
    duration lender_backoff = std::chrono::seconds{1};            ///< after a missed reply
    duration max_hint_age = std::chrono::seconds{1};              ///< of a lender's level
    duration claim_interval = std::chrono::seconds{1};
    std::size_t max_lenders = 4; ///< queried per attempt and account of a reservation
    duration retry_delay =
        std::chrono::milliseconds{150}; ///< between the attempts for a reservation
    std::size_t max_loan_attempts = 3;  ///< including the first
    /// With this many waiting, a reservation is refused instead of postponed. More may wait for loans.
    std::size_t max_waiting_reservations = 64;

    /// @name test only: false disables the rule, and tests show what then fails
    /// @{
    bool lends_capacity = true;    ///< the capacity is lent with the tokens
    bool waits_after_start = true; ///< nothing accrues until earlier incarnations' loans have ended
    /// @}
};

/// A message to another host's limiter. The reply carries the same `query_id`; 0: no reply.
struct limit_message {
    std::string host;
    std::uint64_t query_id = 0;
    std::variant<loan_request, loan_settle, share_claim> body;
};

enum class reservation_state { granted, waiting, refused };

/// State of a reservation, and the messages to send for it.
struct reservation_result {
    std::uint64_t id = 0;
    reservation_state state = reservation_state::refused;
    /// Of a refusal. 0: no configuration yet, or the tokens exceed the burst (0 for an unknown
    /// account); in the latter case retrying can't help.
    duration retry_after{0};
    std::vector<limit_message> messages;
};

/// Reservations that a call has changed, and further messages to send.
struct limiter_events {
    std::vector<reservation_result> results;
    std::vector<limit_message> messages;
};

/// One account as seen by this host.
struct account_status {
    std::string account;
    double rate = 0;     ///< tokens a second, this host's share
    double capacity = 0; ///< tokens, this host's share
    double level = 0;
    double lent = 0;
    double borrowed = 0; ///< tokens, in sum since the start
};

/// Enforces the fleet-wide rate limits at one host by token buckets, loans and shares.
///
/// Every call first advances the limiter to `now`, so a pause of the process can only reduce what
/// the host may use. A `now` before that of an earlier call is taken as the earlier call's.
///
/// Thread safety: none; the owner serialises calls. Complexity: `reserve` and the loan calls are
/// constant in the number of accounts and hosts unless a decrease of the share is due; for an open
/// profile they are linear in the failure domains. `apply` and `tick` are linear.
class limiter {
public:
    limiter(std::string host, std::string failure_domain, std::uint64_t incarnation,
            limiter_options options, time_point now);

    /// @name published configuration and host lists; older revisions are ignored
    /// @{
    void apply(const configuration_ptr& published, time_point now);
    void apply(const host_list_ptr& hosts, time_point now);
    /// @}

    /// @name requests
    /// @{

    /// Reserves `tokens` of each account. A waiting reservation is granted or refused by a later
    /// `on_loan_grant` or `tick`. Each granted reservation must be settled.
    reservation_result reserve(const std::vector<std::string>& accounts, double tokens,
                               time_point now);

    /// Returns the unused tokens of a granted reservation. An unknown one is ignored.
    void settle(std::uint64_t reservation, double used, time_point now);
    /// @}

    /// @name messages from other hosts
    /// @{
    loan_grant on_loan_request(const loan_request& request, time_point now);
    void on_loan_settle(const loan_settle& settled, time_point now);
    limiter_events on_loan_grant(const std::string& from, std::uint64_t query_id,
                                 const loan_grant& grant, time_point now);
    share_answer on_share_claim(const std::string& from, std::uint64_t incarnation,
                                const share_claim& claim, time_point now);
    void on_share_answer(const std::string& from, std::uint64_t incarnation, std::uint64_t query_id,
                         const share_answer& answer, time_point now);
    void on_leave_notice(const std::string& from, std::uint64_t incarnation, time_point now);
    /// @}

    /// Expires queries and rounds, and sends claims. To be called at least every 100 ms.
    limiter_events tick(time_point now);

    /// @name state
    /// @{
    [[nodiscard]] std::vector<account_status> status(time_point now);
    [[nodiscard]] double fraction() const noexcept { return m_shares.fraction(); }

    /// Returns whether tokens accrue: the host has a share and the wait after its start is over.
    [[nodiscard]] bool is_accruing(time_point now) const noexcept
    {
        return now >= m_accrues_from && fraction() > 0;
    }
    [[nodiscard]] bool is_confirmed() const noexcept { return m_weights.is_confirmed(); }
    /// @}

private:
    static constexpr double rounding_tolerance = 1e-6; // tokens

    struct hint {
        std::string host;
        double level;
        time_point at;
    };

    struct account_state {
        explicit account_state(time_point since) : bucket{since} {}

        token_bucket bucket;
        double borrowed = 0;
        std::vector<hint> hints; // of the hosts queried, at most one per host
    };

    struct borrowed_loan {
        std::string host;
        std::uint64_t loan;
        double tokens;
        time_point ends;
    };

    // one account of a reservation
    struct account_reservation {
        std::string account;
        std::uint64_t own_loan = 0; // own tokens are reserved as a loan to this host
        double own = 0;
        time_point own_ends;
        std::vector<borrowed_loan> loans;
        std::vector<std::string> queried_hosts;
        std::size_t open_queries = 0;
    };

    struct reservation {
        double tokens = 0;
        bool is_granted = false;
        bool is_postponed = false;       // reserves nothing until the round ends
        std::size_t failed_attempts = 0; // attempts to gather the tokens
        time_point next_step_at;         // end of the round, or time of the retry if postponed
        std::vector<account_reservation> parts;
    };

    struct open_query {
        std::string host;
        std::uint64_t reservation = 0; // 0: a share_claim
        std::size_t part = 0;
        std::size_t attempt = 0; // failed_attempts of the reservation when it was sent
        time_point sent_at;
    };

    struct open_loan {
        std::string account;
        time_point ends;
    };

    struct confirmation {
        std::uint64_t incarnation;
        std::uint64_t revision; // of the configuration
    };

    struct candidate {
        std::string host;
        double level = 0; // expected
    };

    [[nodiscard]] duration lender_term() const;
    duration next_claim_interval();
    time_point advance(time_point now);
    void after_share_change(time_point now);
    void set_all_rights(time_point now);
    void set_rights(const std::string& account, account_state& state, time_point now) const;
    account_state& find_or_create_account(const std::string& account, time_point now);
    void note_changed_accounts(const configuration& after, time_point now);
    void confirm_weights(time_point now);
    [[nodiscard]] bool is_confirmed_by_all() const;
    [[nodiscard]] std::uint64_t settled_revision(time_point now) const;

    // reservations
    bool take_locally(const reservation& pending, time_point now);
    void hold_own_tokens(reservation& pending, time_point now);
    [[nodiscard]] static double missing_tokens(const reservation& pending,
                                               const account_reservation& wanted, time_point now);
    [[nodiscard]] static bool is_complete(const reservation& pending, time_point now);
    [[nodiscard]] static bool has_all_replies(const reservation& pending);
    reservation_result advance_reservation(std::uint64_t id, bool is_round_over, time_point now);
    bool postpone(reservation& pending, time_point now, std::vector<limit_message>& messages);
    void end_loans(reservation& pending, bool is_granted, time_point now,
                   std::vector<limit_message>& messages);
    [[nodiscard]] duration to_retry_after(const reservation& pending) const;

    // lenders
    bool request_missing(std::uint64_t id, reservation& pending, time_point now,
                         std::vector<limit_message>& messages);
    bool request_missing_of(std::uint64_t id, std::size_t index, reservation& pending,
                            time_point now, std::vector<limit_message>& messages);
    [[nodiscard]] static std::size_t count_needed(const std::vector<candidate>& found,
                                                  double missing);
    std::vector<candidate> find_candidates(const account_reservation& wanted, double min_level,
                                           time_point now);
    void add_candidates(const std::string& failure_domain, const account_reservation& wanted,
                        double min_level, time_point now, std::vector<candidate>& found);
    double expected_level(const std::string& host, const std::string& failure_domain,
                          const std::string& account, time_point now);
    void store_hint(account_state& state, const std::string& host, double level,
                    time_point now) const;
    void expire_queries(time_point now);

    std::string m_host;
    std::string m_failure_domain;
    limiter_options m_options;
    host_shares m_shares;
    held_weights m_weights;
    configuration_ptr m_published;
    host_list_ptr m_hosts;
    time_point m_now;
    time_point m_accrues_from;
    time_point m_rights_since; // last change of all accounts' rights; later ones are in m_changed
    std::unordered_map<std::string, time_point> m_changed;  // by organisation or "open:" profile
    std::map<std::uint64_t, time_point> m_revisions;        // revision to the time it was applied
    std::map<std::string, confirmation> m_confirmed_by;     // by host
    std::map<std::string, std::vector<std::string>> m_live; // failure domain to its live hosts
    std::map<std::string, time_point> m_backoff_until;
    std::unordered_map<std::string, account_state> m_accounts;
    std::unordered_map<std::uint64_t, reservation> m_reservations;
    std::set<std::uint64_t> m_waiting; // ids of the waiting reservations
    std::map<std::uint64_t, open_query> m_open_queries;
    std::map<std::uint64_t, open_loan> m_open_loans;
    std::uint64_t m_last_id; // of reservations, queries and loans
    time_point m_next_decrease = time_point::max();
    double m_applied_fraction = 0;
    std::size_t m_rotation = 0; // varies the first host and failure domain considered as lenders
    time_point m_next_claim;
    std::mt19937_64 m_random; // varies the claim interval
};

} // namespace hickorykeel
