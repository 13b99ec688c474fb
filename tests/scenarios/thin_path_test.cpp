#include "support/fleet.h"
#include "support/questions.h"

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

} // namespace

TEST_CASE("whole path over three failure domains")
{
    fleet running;
    REQUIRE(running.start() == "");

    SUBCASE("answers are whole, plain and streamed, at every host")
    {
        for (std::size_t host = 0; host < running.hosts().size(); ++host) {
            const http_caller caller = running.caller(host, "volunteers");
            for (const bool is_stream : {false, true}) {
                const outcome answer = caller.ask(make_question("visit-summary", is_stream));
                INFO(answer.to_string());
                CHECK(answer.kind == outcome_kind::whole);
                CHECK(answer.host == running.hosts()[host].name);
            }
        }
    }

    SUBCASE("a booking with a ticket runs once, and its repeat gets the same answer")
    {
        const http_caller caller = running.caller(0, "volunteers");
        const auto hosts = caller.hosts("booking");
        REQUIRE(hosts.contains("tickets"));
        const auto booking =
            make_booking("visit-1", hosts["tickets"][0]["ticket"].get<std::string>());
        for (int i = 0; i < 2; ++i) {
            const outcome answer = caller.call(booking);
            INFO(answer.to_string());
            CHECK(answer.kind == outcome_kind::whole);
        }
        CHECK(running.service_runs("bookings")["visit-1"] == 1);
        const outcome elsewhere = running.caller(1, "volunteers").call(booking);
        CHECK(elsewhere.code == "ticket_elsewhere");
        CHECK(elsewhere.ran == "unknown");
        CHECK(running.service_runs("bookings")["visit-1"] == 1);
    }

    SUBCASE("a stranger is refused, and nothing ran")
    {
        const outcome answer = running.caller(0, "").ask(make_question("visit-summary", false));
        CHECK(answer.kind == outcome_kind::refused);
        CHECK(answer.code == "unauthorised");
        CHECK(answer.ran == "no");
    }
}
