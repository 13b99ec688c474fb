#include "support/fleet.h"
#include "support/wait_for.h"

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

outcome ask(const fleet& running, std::size_t host, const std::string& profile)
{
    chat_question question;
    question.profile = profile;
    question.model = "assistant";
    question.text = "which lamp is the smoke alarm";
    question.is_stream = true;
    return running.caller(host, "volunteers").ask(question);
}

bool is_whole(const fleet& running, std::size_t host, const std::string& profile)
{
    return ask(running, host, profile).kind == outcome_kind::whole;
}

} // namespace

TEST_CASE("links between failure domains")
{
    constexpr std::size_t attica = 0;
    constexpr std::size_t crete = 1;
    fleet_options options;
    options.has_relays = true;
    fleet running{options};
    REQUIRE(running.start().empty());
    // only Crete may run a request of this profile
    const std::string crete_only = "visit-summary-crete";
    for (const std::size_t host : {attica, crete}) {
        REQUIRE(wait_for([&] { return is_whole(running, host, crete_only); }));
    }

    SUBCASE("an isolated failure domain goes on serving its own requests")
    {
        for (const link_mode mode : {link_mode::cut, link_mode::held}) {
            running.isolate("crete-1", {mode, {}});
            const outcome own = ask(running, crete, crete_only);
            INFO(own.to_string());
            CHECK(own.kind == outcome_kind::whole);
            CHECK(is_whole(running, attica, "visit-summary"));
        }
    }

    SUBCASE("a request whose region is cut off is refused, and served once the link is back")
    {
        running.isolate("crete-1", {link_mode::cut, {}});
        outcome answer;
        const bool is_refused = wait_for([&] {
            answer = ask(running, attica, crete_only);
            return answer.kind == outcome_kind::refused && answer.ran == "no";
        });
        INFO(answer.to_string());
        CHECK(is_refused);
        running.isolate("crete-1", {link_mode::open, {}});
        CHECK(wait_for([&] { return is_whole(running, attica, crete_only); }));
    }
}
