#pragma once

#include "generated/link.pb.h"
#include "process/error.h"
#include "process/limits/limit_messages.h"

namespace hickorykeel {

/// Conversions between the limiter's messages and those on the link. Thread safe.
/// @return link_message_invalid, without a peer, if a number isn't finite or a fraction isn't
///         between 0 and 1; the limiter's comparisons would not detect such numbers
/// @{
[[nodiscard]] link::loan_request to_link(const loan_request& request);
[[nodiscard]] link::loan_grant to_link(const loan_grant& grant);
[[nodiscard]] link::loan_settle to_link(const loan_settle& settled);
[[nodiscard]] link::share_claim to_link(const share_claim& claim);
[[nodiscard]] link::share_answer to_link(const share_answer& answer);
[[nodiscard]] result<loan_request> from_link(const link::loan_request& request);
[[nodiscard]] result<loan_grant> from_link(const link::loan_grant& grant);
[[nodiscard]] result<loan_settle> from_link(const link::loan_settle& settled);
[[nodiscard]] share_claim from_link(const link::share_claim& claim);
[[nodiscard]] result<share_answer> from_link(const link::share_answer& answer);
/// @}

} // namespace hickorykeel
