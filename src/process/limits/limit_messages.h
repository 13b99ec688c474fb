#pragma once

#include <chrono>  // milliseconds
#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

namespace hickorykeel {

/// Messages between limiters, as in proto/link.proto.
/// @{

/// Request for tokens of one account.
struct loan_request {
    std::string account;
    double tokens = 0;  ///< wanted
    double minimum = 0; ///< the lender grants at least this much or nothing
    std::uint64_t configuration_revision = 0;
};

/// Reply to a loan_request.
struct loan_grant {
    std::string account;
    std::uint64_t loan = 0; ///< unique per lender incarnation; 0: nothing granted
    double tokens = 0;
    std::chrono::milliseconds term{0}; ///< starts when the borrower sent the request
    double level = 0;                  ///< tokens that the lender has left, a hint
};

/// End of a loan: how many of its tokens were spent and returned.
struct loan_settle {
    std::uint64_t loan = 0;
    double spent = 0;
    double returned = 0;
};

/// Request for consent to use a share.
struct share_claim {
    std::uint64_t host_list_revision = 0;
    std::uint64_t configuration_revision = 0;
};

/// Share that a host may still use, as known to the sender.
struct held_share {
    std::string host; ///< empty: all hosts whose consents the sender may have forgotten
    std::uint64_t incarnation = 0;
    double fraction = 0;
    std::chrono::milliseconds remaining{0}; ///< time until the share has certainly ended
};

/// Reply to a share_claim. The entry for the claimant is the sender's consent.
struct share_answer {
    std::uint64_t host_list_revision = 0;
    /// Newest revision for which the sender's loans made under earlier ones have ended.
    std::uint64_t configuration_revision = 0;
    double fraction = 0; ///< maximum that the sender and its open loans use from now on
    std::vector<held_share> others;
    bool is_confirmed = false; ///< every listed host has confirmed configuration_revision
};
/// @}

} // namespace hickorykeel
