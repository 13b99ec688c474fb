#pragma once

#include "process/clock.h"

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <vector>   // vector

namespace hickorykeel {

/// One host's part of an account's rate and burst.
///
/// Invariant: `level() + lent() <= capacity()`, but for a cut of the capacity below what is lent:
/// then the level is 0 until the loans have ended. Moments that lie before an earlier call's are
/// taken as that call's moment.
///
/// Thread safety: none; the owner serialises calls.
class token_bucket {
public:
    /// An empty bucket without rights. Nothing accrues before `accrues_from`.
    explicit token_bucket(time_point accrues_from) : m_updated{accrues_from} {}

    /// @name rights
    /// @{

    /// Sets `rate` (tokens a second) and `capacity` (tokens). Growth arrives empty; a cut takes
    /// what lies above it at once.
    void set_rights(double rate, double capacity, time_point now);
    /// @}

    /// @name own use
    /// @{

    /// Takes up to `tokens`; returns what was taken.
    double take_up_to(double tokens, time_point now);

    /// Puts back tokens that were taken and not used; what lies above the capacity is lost.
    void give_back(double tokens, time_point now);
    /// @}

    /// @name loans
    /// @{

    /// Lends up to `tokens` until `now + term`, or nothing where the level is below `minimum`.
    /// The capacity is lent with the tokens. Returns what was lent. Preconditions: `loan` isn't
    /// open; `term` is the same in all calls.
    double lend(std::uint64_t loan, double tokens, double minimum, duration term, time_point now);

    /// Ends a loan early: what was spent is gone and its capacity comes back empty, what was
    /// returned goes to the level. A loan that has ended or is unknown changes nothing.
    /// Complexity: linear in the open loans.
    void settle(std::uint64_t loan, double returned, time_point now);
    /// @}

    /// @name state
    /// @{
    [[nodiscard]] double level(time_point now);
    [[nodiscard]] double rate() const noexcept { return m_rate; }
    [[nodiscard]] double capacity() const noexcept { return m_capacity; }
    [[nodiscard]] double lent() const noexcept { return m_lent; }

    /// Time until `tokens` are there if nobody takes any; nothing where the capacity is too small.
    [[nodiscard]] std::optional<duration> wait_for(double tokens, time_point now);
    /// @}

    /// Test only: lends tokens without their capacity, to show that the rule is needed.
    void keep_capacity_when_lending() noexcept { m_lends_capacity = false; }

private:
    struct open_loan {
        std::uint64_t id = 0;
        double tokens = 0;
        time_point ends{};
    };

    void advance(time_point now);
    void refill(time_point now);
    void end_loan(std::vector<open_loan>::iterator loan);
    [[nodiscard]] double free_capacity() const noexcept;

    double m_rate = 0;
    double m_capacity = 0;
    double m_level = 0;
    double m_lent = 0;
    time_point m_updated;
    bool m_lends_capacity = true;
    std::vector<open_loan> m_loans; // in the order of their ends, as all terms are equal
};

} // namespace hickorykeel
