#pragma once

#include "version/configuration.h"

#include <cstdint>       // uint64_t
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_set> // unordered_set

namespace hickorykeel {

/// Settings for the split of an account's rights (its rate and burst) between failure domains. Each
/// domain has a floor of `total_floor / slots`; the home domain has all but the other slots' floors.
/// Slots: the number of failure domains, at least `minimum_slots`, rounded up to a power of two.
struct weight_options {
    double total_floor = 0.2; ///< fraction of the rights split evenly over the slots
    std::size_t minimum_slots = 4;
    bool waits_for_confirmation = true; ///< test only: if false, a raised weight is used at once
};

/// What a failure domain may hold of an account, as a fraction of the account's rights.
struct domain_weight {
    double floor = 0; ///< usable at any time
    double full = 0;  ///< usable once the account's home is confirmed
};

/// Rate and burst of an account.
struct account_limit {
    double rate = 0;  ///< tokens a second
    double burst = 0; ///< tokens
};

/// @name account names
/// "organisation", "organisation/profile", or "open:profile" for an open profile.
/// @{
[[nodiscard]] std::string to_organisation_account(std::string_view organisation);
[[nodiscard]] std::string to_profile_account(std::string_view organisation,
                                             std::string_view profile);
[[nodiscard]] std::string to_open_account(std::string_view profile);
/// @}

/// Returns the limit of `account`, or rate and burst 0 if the configuration doesn't contain it.
[[nodiscard]] account_limit to_limit(const configuration& published, std::string_view account);

/// Returns the failure domain with the largest weight for the account, or an empty string. For an
/// open profile it is the first failure domain by name within the profile's regions.
[[nodiscard]] std::string find_home_domain(const configuration& published,
                                           std::string_view account);

/// Returns the weight of `failure_domain` for `account`. Over all failure domains of one
/// configuration the full weights sum to at most 1. Pure. Complexity: logarithmic; linear in the
/// failure domains for an open profile.
[[nodiscard]] domain_weight to_weight(const configuration& published, std::string_view account,
                                      std::string_view failure_domain,
                                      const weight_options& options);

/// Tracks the weights that one host may use while hosts have different configurations.
///
/// A weight decreases as soon as a revision lowers it. It rises above the floor only after that
/// revision was confirmed.
///
/// Thread safety: none; the owner serialises calls.
class held_weights {
public:
    held_weights(std::string failure_domain, weight_options options);

    /// Applies a newer configuration; an older one is ignored. Complexity: linear in the
    /// organisations and open profiles.
    void apply(const configuration_ptr& published);

    /// Records that every listed host has applied `revision` and that the loans made under earlier
    /// revisions have ended. Ignored unless `revision` is the newest applied one.
    void confirm(std::uint64_t revision);

    /// Returns whether the newest revision was confirmed.
    [[nodiscard]] bool is_confirmed() const noexcept;

    /// Returns the fraction of the account's rights that this failure domain may use now.
    [[nodiscard]] double weight(std::string_view account) const;

private:
    void note_moved_accounts(const configuration& before, const configuration& after);

    std::string m_failure_domain;
    weight_options m_options;
    configuration_ptr m_published;
    std::uint64_t m_confirmed = 0;
    std::size_t m_slots = 0; // maximum since the last confirmation
    bool m_is_all_pending = true;
    std::unordered_set<std::string> m_pending; // accounts with an unconfirmed change of home
};

} // namespace hickorykeel
