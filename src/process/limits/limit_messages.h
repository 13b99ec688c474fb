#pragma once

#include <chrono>  // milliseconds
#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

namespace hickorykeel {

/// Messages between limiters, as in proto/link.proto.
/// @{

/// Asks for tokens of one account.
struct loan_request {
    std::string account;
    double tokens = 0;  ///< wanted
    double minimum = 0; ///< grant at least this much or nothing
    std::uint64_t configuration_revision = 0;
};

/// Answer to a loan_request.
struct loan_grant {
    std::string account;
    std::uint64_t loan = 0; ///< unique per lender incarnation; 0: nothing granted
    double tokens = 0;
    std::chrono::milliseconds term{0}; ///< from the moment the borrower asked
    double level = 0;                  ///< what the lender still holds, a hint
};

/// What became of a loan.
struct loan_settle {
    std::uint64_t loan = 0;
    double spent = 0;
    double returned = 0;
};

/// Asks for consent to use a share.
struct share_claim {
    std::uint64_t host_list_revision = 0;
    std::uint64_t configuration_revision = 0;
};

/// What a host may still use, as the sender knows it.
struct held_share {
    std::string host;
    std::uint64_t incarnation = 0;
    double fraction = 0;
    std::chrono::milliseconds remaining{0}; ///< until it has certainly ended
};

/// Answer to a share_claim. The entry for the asker is the sender's consent.
struct share_answer {
    std::uint64_t host_list_revision = 0;
    std::uint64_t configuration_revision = 0; ///< nothing is used that this revision took away
    double fraction = 0;                      ///< what the sender uses at most from now on
    std::vector<held_share> others;
    bool is_confirmed = false; ///< every listed host has confirmed configuration_revision
};
/// @}

} // namespace hickorykeel
