#pragma once

#include "process/clock.h"

#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel {

/// Permission to run one non-idempotent request at one incarnation of one entry host.
/// See docs/design/at-most-once.md.
struct ticket {
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t expiry_stamp = 0; ///< on the boot clock of `host`
    std::string id;                 ///< random and unique
    std::string organisation;
    std::string profile;
};

/// Issues and verifies the tickets of one incarnation, as text with a message authentication code.
/// The secret is never stored, so tickets of earlier incarnations don't verify.
///
/// Thread safety: const methods may be called from any thread.
class ticket_mint {
public:
    /// Precondition: `secret` holds at least 16 random bytes.
    ticket_mint(std::string host, std::uint64_t incarnation, std::string secret);

    /// Returns the text of a new ticket. Precondition: `id` is unique and unguessable.
    [[nodiscard]] std::string make(std::string_view organisation, std::string_view profile,
                                   std::string_view id, time_point expiry) const;

    /// Returns the ticket if this incarnation issued `text`, otherwise nothing.
    [[nodiscard]] std::optional<ticket> verify(std::string_view text) const;

private:
    [[nodiscard]] std::string to_mac(std::string_view payload) const;

    std::string m_host;
    std::uint64_t m_incarnation;
    std::string m_secret;
};

/// Parses a ticket without verifying it. Use the result only to find the host that issued it.
/// @return nothing if the text doesn't have the format of a ticket
[[nodiscard]] std::optional<ticket> parse_ticket(std::string_view text);

} // namespace hickorykeel
