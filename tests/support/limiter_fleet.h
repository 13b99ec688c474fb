#pragma once

#include "process/limits/limiter.h"

#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <queue>      // priority_queue
#include <random>     // mt19937_64
#include <set>        // set
#include <string>     // string
#include <variant>    // variant
#include <vector>     // vector

namespace hickorykeel {

/// Tokens charged to an account at a time; negative if given back.
struct charge {
    time_point at{};
    double tokens = 0;
};

/// Returns the largest amount by which any window of `charges` exceeds `burst + rate * t`; 0 or
/// less if none does. Precondition: `charges` are in order of time. Complexity: linear.
double largest_excess(const std::vector<charge>& charges, double rate, double burst);

/// Limiters connected by a simulated link, on a simulated clock.
class limiter_fleet {
public:
    struct link_faults {
        double loss = 0;
        double duplication = 0;
        duration jitter{0}; ///< added at random to each message, which reorders them
        duration intra_domain_delay = std::chrono::milliseconds{1};
        duration cross_domain_delay = std::chrono::milliseconds{80};
    };

    struct counts {
        std::uint64_t granted = 0;
        std::uint64_t refused = 0;
        double granted_tokens = 0;
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
        duration waited{0}; ///< sum of the times from reservation to grant
    };

    limiter_fleet(std::uint64_t seed, limiter_options options, link_faults faults);
    ~limiter_fleet() = default;
    limiter_fleet(const limiter_fleet&) = delete; // scheduled events refer to it
    limiter_fleet& operator=(const limiter_fleet&) = delete;
    limiter_fleet(limiter_fleet&&) = delete;
    limiter_fleet& operator=(limiter_fleet&&) = delete;

    /// Starts a host, or replaces it by a new incarnation without its state.
    void start(const std::string& name, const std::string& failure_domain);
    void stop(const std::string& name);
    /// Pauses the host until `until`; messages to it are delivered then.
    void pause(const std::string& name, time_point until);
    /// Cuts or restores the link of two hosts, in both directions.
    void set_link_cut(const std::string& one, const std::string& other, bool is_cut);
    void set_domain_isolated(const std::string& failure_domain, bool is_cut);
    void publish(const std::string& name, const configuration_ptr& published);
    void publish(const std::string& name, const host_list_ptr& hosts);

    /// `used` of the tokens are kept, the rest is given back after `settle_delay`. A negative `used`
    /// means all tokens.
    void reserve(const std::string& name, const std::vector<std::string>& accounts, double tokens,
                 double used = -1, duration settle_delay = duration::zero());

    void run_until(time_point end);

    [[nodiscard]] time_point now() const noexcept { return m_now; }
    [[nodiscard]] bool is_running(const std::string& name) const;
    /// Returns whether the host runs and isn't paused.
    [[nodiscard]] bool is_responsive(const std::string& name) const;
    [[nodiscard]] limiter& at(const std::string& name) { return *m_hosts.at(name).host_limiter; }
    [[nodiscard]] const std::vector<charge>& charges(const std::string& account)
    {
        return m_charges[account];
    }
    [[nodiscard]] const counts& totals() const noexcept { return m_counts; }
    /// Counts of one account.
    [[nodiscard]] const counts& totals(const std::string& account) { return m_by_account[account]; }

private:
    using body = std::variant<loan_request, loan_grant, loan_settle, share_claim, share_answer>;

    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const event& other) const // the earliest is the top of the queue
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    struct member {
        std::string failure_domain;
        std::uint64_t incarnation = 0;
        std::unique_ptr<limiter> host_limiter; // null: stopped
        time_point paused_until;
    };

    struct pending {
        std::vector<std::string> accounts;
        double tokens = 0;
        double used = 0;
        duration settle_delay{};
        time_point since;
    };

    void schedule(time_point at, std::function<void()> run);
    void run_when_resumed(const std::string& name, std::uint64_t incarnation,
                          const std::function<void(limiter&)>& run);
    void send(const std::string& from, const std::string& to, std::uint64_t query_id,
              const body& content);
    void deliver(const std::string& from, std::uint64_t incarnation, const std::string& to,
                 std::uint64_t query_id, const body& content);
    void handle(const std::string& from, std::uint64_t incarnation, const std::string& to,
                limiter& host_limiter, std::uint64_t query_id, const body& content);
    void send_all(const std::string& from, const std::vector<limit_message>& messages);
    void take(const std::string& name, const limiter_events& events);
    void take(const std::string& name, const reservation_result& outcome);
    void tick(const std::string& name, std::uint64_t incarnation);
    double random();

    std::mt19937_64 m_random;
    limiter_options m_options;
    link_faults m_faults;
    time_point m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::map<std::string, member> m_hosts;
    std::set<std::pair<std::string, std::string>> m_cut_links; // both directions
    std::map<std::pair<std::string, std::uint64_t>, pending> m_pending;
    std::map<std::string, std::vector<charge>> m_charges;
    std::map<std::string, counts> m_by_account;
    counts m_counts;
};

} // namespace hickorykeel
