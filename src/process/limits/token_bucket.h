#pragma once

#include "process/clock.h"

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <vector>   // vector

namespace hickorykeel {

/// Token bucket for one host's share of an account's rate and burst.
///
/// Invariant: `level() + lent() <= capacity()`, unless the capacity was reduced below what is lent:
/// then the level is 0 until enough loans have ended. A `now` before that of an earlier call is
/// taken as the earlier call's.
///
/// Thread safety: none; the owner serialises calls.
class token_bucket {
public:
    /// Creates an empty bucket of rate and capacity 0. Nothing accrues before `accrues_from`.
    explicit token_bucket(time_point accrues_from) : m_updated{accrues_from} {}

    /// @name rights
    /// @{

    /// Sets `rate` (tokens a second) and `capacity` (tokens). Added capacity is empty; a reduction
    /// discards the tokens above it at once.
    void set_rights(double rate, double capacity, time_point now);
    /// @}

    /// @name own use
    /// @{

    /// Takes up to `tokens` and returns the number taken.
    double take_up_to(double tokens, time_point now);

    /// Puts back tokens that were taken and not used; tokens above the capacity are lost.
    void give_back(double tokens, time_point now);
    /// @}

    /// @name loans
    /// @{

    /// Lends up to `tokens` until `now + term`, or nothing if fewer than `minimum` can be lent.
    /// The capacity is lent with the tokens. Returns the number lent. Preconditions: `loan` isn't
    /// open; `term` is the same in all calls.
    double lend(std::uint64_t loan, double tokens, double minimum, duration term, time_point now);

    /// Ends a loan before its term: the lent capacity becomes usable again, and the returned tokens
    /// are added to the level. A loan that has ended or is unknown is ignored.
    /// Complexity: linear in the open loans.
    void settle(std::uint64_t loan, double returned, time_point now);
    /// @}

    /// @name state
    /// @{
    [[nodiscard]] double level(time_point now);
    [[nodiscard]] double rate() const noexcept { return m_rate; }
    [[nodiscard]] double capacity() const noexcept { return m_capacity; }
    [[nodiscard]] double lent() const noexcept { return m_lent; }

    /// Returns the time until the level reaches `tokens` if none are taken, or nothing if they
    /// exceed the capacity or don't accrue. Lent capacity and the time before `accrues_from` are not
    /// considered, so the wait may be too short.
    [[nodiscard]] std::optional<duration> wait_for(double tokens, time_point now);
    /// @}

    /// Test only: lends tokens without their capacity, to show that limits then break.
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
    std::vector<open_loan> m_loans; // ordered by end, as all terms are equal
};

} // namespace hickorykeel
