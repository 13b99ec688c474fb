#include "request/ticket.h"
#include "support/fuzz_targets.h"

#include <string> // string

namespace hickorykeel::tests {

namespace {

bool is_same(const ticket& lhs, const ticket& rhs)
{
    return lhs.host == rhs.host && lhs.incarnation == rhs.incarnation &&
           lhs.expiry_stamp == rhs.expiry_stamp && lhs.id == rhs.id &&
           lhs.organisation == rhs.organisation && lhs.profile == rhs.profile;
}

} // namespace

int fuzz_ticket(const std::uint8_t* data, std::size_t size)
{
    const auto text = to_text(data, size);
    // the one that made the corpus
    const ticket_mint mint("attica-a", 42, "0123456789abcdef");
    const auto parsed = parse_ticket(text);
    const auto verified = mint.verify(text);
    hold(parsed || !verified, "what verifies also parses");
    if (!parsed) {
        return 0;
    }
    const ticket_mint maker(parsed->host, parsed->incarnation, "0123456789abcdef");
    const auto made = maker.make(parsed->organisation, parsed->profile, parsed->id,
                                 from_stamp(parsed->expiry_stamp));
    // the text read may have been longer than a proper one by its code only
    if (const auto again = parse_ticket(made)) {
        hold(is_same(*again, *parsed), "a ticket written again says the same");
    }
    hold(!verified || made == text, "only the text that the mint wrote verifies");
    return 0;
}

} // namespace hickorykeel::tests
