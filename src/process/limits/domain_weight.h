#pragma once

#include "version/configuration.h"

#include <cstdint>       // uint64_t
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_set> // unordered_set

namespace hickorykeel {

/// Shares of an account's rights that its failure domains hold together.
struct weight_options {
    double total_floor = 0.2; ///< part that is split evenly over the slots
    std::size_t minimum_slots = 4;
    bool waits_for_confirmation = true; ///< test only: false shows that the rule is needed
};

/// What a failure domain may hold of an account, as a fraction of the account's rights.
struct domain_weight {
    double floor = 0; ///< always
    double full = 0;  ///< once every host knows the revision
};

/// Rate and burst of an account.
struct account_limit {
    double rate = 0;  ///< tokens a second
    double burst = 0; ///< tokens
};

/// @name account names
/// "organisation", "organisation/profile" or "open:profile".
/// @{
[[nodiscard]] std::string to_organisation_account(std::string_view organisation);
[[nodiscard]] std::string to_profile_account(std::string_view organisation,
                                             std::string_view profile);
[[nodiscard]] std::string to_open_account(std::string_view profile);
/// @}

/// Limit of `account`; rate 0 where the configuration doesn't know it.
[[nodiscard]] account_limit to_limit(const configuration& published, std::string_view account);

/// Failure domain that holds most of the account's rights. An open profile has the first failure
/// domain by name within its regions. Empty: none.
[[nodiscard]] std::string find_home_domain(const configuration& published,
                                           std::string_view account);

/// Weight of `failure_domain` for `account`. Over all failure domains of one configuration the
/// full weights sum to at most 1. Pure. Complexity: logarithmic; linear in the failure domains
/// for an open profile.
[[nodiscard]] domain_weight to_weight(const configuration& published, std::string_view account,
                                      std::string_view failure_domain,
                                      const weight_options& options);

/// The weights that one host may use while configurations differ between hosts.
///
/// A weight falls with the revision that lowers it. It rises above the floor once that revision
/// was confirmed.
///
/// Thread safety: none; the owner serialises calls.
class held_weights {
public:
    held_weights(std::string failure_domain, weight_options options);

    /// Takes a newer configuration; an older one changes nothing. Linear in the organisations
    /// and open profiles.
    void apply(const configuration_ptr& published);

    /// Every listed host uses nothing that `revision` took away.
    void confirm(std::uint64_t revision);

    /// Whether the newest revision was confirmed.
    [[nodiscard]] bool is_confirmed() const noexcept;

    /// Fraction of the account's rights for this failure domain.
    [[nodiscard]] double weight(std::string_view account) const;

private:
    void note_moved_accounts(const configuration& before, const configuration& after);

    std::string m_failure_domain;
    weight_options m_options;
    configuration_ptr m_published;
    std::uint64_t m_confirmed = 0;
    std::size_t m_slots = 0; // most slots since the last confirmation
    bool m_is_all_pending = true;
    std::unordered_set<std::string> m_pending; // accounts whose home is not confirmed
};

} // namespace hickorykeel
