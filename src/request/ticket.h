#pragma once

#include "process/clock.h"

#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace hickorykeel {

/// Permission to run one request that must not be repeated, at one incarnation of one entry host.
/// See docs/design/at-most-once.md.
struct ticket {
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t expiry_stamp = 0; ///< on the boot clock of `host`
    std::string id;                 ///< random, unique
    std::string organisation;
    std::string profile;
};

/// Makes and verifies the text form of tickets for one incarnation. The secret is never stored,
/// so no text of an earlier incarnation verifies.
///
/// Thread safety: const methods may be called from any thread.
class ticket_mint {
public:
    /// Precondition: `secret` holds at least 16 random bytes.
    ticket_mint(std::string host, std::uint64_t incarnation, std::string secret);

    /// Text of a new ticket; `id` must be unique and unguessable.
    [[nodiscard]] std::string make(std::string_view organisation, std::string_view profile,
                                   std::string_view id, time_point expiry) const;

    /// What a text says when this incarnation made it; nothing for any other text.
    [[nodiscard]] std::optional<ticket> verify(std::string_view text) const;

private:
    [[nodiscard]] std::string to_code(std::string_view payload) const;

    std::string m_host;
    std::uint64_t m_incarnation;
    std::string m_secret;
};

/// Reads a ticket's text without verifying it: tells which host made it, no more.
/// @return nothing where the text has not the form of a ticket
[[nodiscard]] std::optional<ticket> parse_ticket(std::string_view text);

} // namespace hickorykeel
