#include "request/ticket.h"

#include <doctest/doctest.h>

using namespace hickorykeel;

TEST_CASE("tickets")
{
    const ticket_mint mint("attica-a", 42, "0123456789abcdef");
    const time_point expiry{std::chrono::seconds{90}};
    const std::string text = mint.make("volunteers", "booking", "f00d", expiry);

    SUBCASE("a ticket of this incarnation verifies with its fields")
    {
        const auto verified = mint.verify(text);
        REQUIRE(verified);
        CHECK(verified->host == "attica-a");
        CHECK(verified->incarnation == 42);
        CHECK(verified->organisation == "volunteers");
        CHECK(verified->profile == "booking");
        CHECK(verified->id == "f00d");
        CHECK(from_stamp(verified->expiry_stamp) == expiry);
    }

    SUBCASE("a ticket of another incarnation, host or secret doesn't verify")
    {
        CHECK_FALSE(ticket_mint("attica-a", 43, "0123456789abcdef").verify(text));
        CHECK_FALSE(ticket_mint("attica-a", 42, "fedcba9876543210").verify(text));
        CHECK_FALSE(ticket_mint("attica-b", 42, "0123456789abcdef").verify(text));
    }

    SUBCASE("a ticket with a changed character doesn't verify")
    {
        for (std::size_t i = 0; i < text.size(); ++i) {
            std::string changed = text;
            changed[i] = changed[i] == '0' ? '1' : '0';
            CHECK_FALSE(mint.verify(changed));
        }
    }

    SUBCASE("texts of another format are not parsed as tickets")
    {
        for (const char* other : {"", "hkt1.", "hkt1.a~x~c~d~e~f~g", "booking-17"}) {
            CHECK_FALSE(parse_ticket(other));
        }
        CHECK(parse_ticket(text)->host == "attica-a");
    }
}
