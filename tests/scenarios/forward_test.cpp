#include "support/fleet.h"
#include "support/wait_for.h"

#include <string> // string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

outcome ask(const fleet& running, const std::string& profile)
{
    chat_question question;
    question.profile = profile;
    question.model = "assistant";
    question.text = "the alarm in the kitchen beeps";
    return running.caller(0, "volunteers").ask(question);
}

} // namespace

TEST_CASE("a failure domain without a live endpoint")
{
    fleet_options options;
    options.adjust = [](nlohmann::json& entries) {
        entries["profiles/attica-only"] = entries["profiles/visit-summary"];
        entries["profiles/attica-only"]["regions"] = {"attica"};
    };
    fleet running{options};
    REQUIRE(running.start().empty());
    REQUIRE(running.hosts()[0].failure_domain == "attica-1");
    for (const char* endpoint : {"assistant-1", "assistant-4"}) {
        running.process(endpoint).kill();
    }

    SUBCASE("its requests are served by another one")
    {
        for (int i = 0; i < 10; ++i) {
            const outcome answer = ask(running, "visit-summary");
            INFO(answer.to_string());
            CHECK(answer.kind == outcome_kind::whole);
            CHECK(answer.endpoint != "assistant-1");
            CHECK(answer.endpoint != "assistant-4");
        }
    }
    SUBCASE("what may not leave its region is refused, and did not run")
    {
        const outcome answer = ask(running, "attica-only");
        INFO(answer.to_string());
        CHECK(answer.kind == outcome_kind::refused);
        CHECK(answer.ran == "no");
        CHECK(ask(running, "visit-summary").kind == outcome_kind::whole);
    }
}
