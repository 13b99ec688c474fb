#include "process/explain.h"

#include "support/published.h"

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

TEST_CASE("what would become of a request")
{
    const auto checked = check(1, to_entries(published_example()));
    const auto& in_force = std::get<configuration>(checked);
    std::vector<account_status> accounts;
    std::vector<dispatch_address> candidates{{"crete-a", "crete-1", ""}};
    const explain_state state{in_force, accounts, candidates};
    explain_question asked{"volunteers", "", "visit-summary", "assistant", 2000};

    SUBCASE("admitted, with every account and endpoint")
    {
        accounts = {{"volunteers", 1, 1, 5000, 0, 0}};
        const auto explained = explain(asked, state);
        CHECK(!explained.code);
        REQUIRE(explained.accounts.size() == 2);
        CHECK(explained.accounts[0].account == "volunteers/visit-summary");
        CHECK(!explained.accounts[0].level);
        CHECK(explained.accounts[1].level == 5000);
        REQUIRE(explained.endpoints.size() == 2);
        CHECK(!explained.endpoints[0].is_allowed); // leaving
        CHECK(explained.endpoints[1].is_allowed);
        CHECK(to_json(explained)["decision"] == "admit");
    }
    SUBCASE("the key's organisation counts")
    {
        asked.organisation = "";
        asked.key_digest = std::string(64, 'a');
        CHECK(!explain(asked, state).code);
        asked.key_digest = std::string(64, 'b');
        CHECK(explain(asked, state).code == refusal_code::profile_forbidden);
        asked.key_digest = std::string(64, 'c');
        CHECK(explain(asked, state).code == refusal_code::unauthorised);
    }
    SUBCASE("each refusal has the code of a request's")
    {
        asked.profile = "none";
        CHECK(explain(asked, state).code == refusal_code::profile_unknown);
        asked.profile = "booking";
        CHECK(explain(asked, state).code == refusal_code::target_unknown);
        asked.target = "bookings";
        CHECK(explain(asked, state).code == refusal_code::no_endpoint); // heard in crete only
        asked = {"volunteers", "", "visit-summary", "assistant", 2001};
        CHECK(explain(asked, state).code == refusal_code::over_limit);
    }
    SUBCASE("without a dispatch process that is heard")
    {
        candidates.clear();
        const auto explained = explain(asked, state);
        CHECK(explained.code == refusal_code::no_endpoint);
        CHECK(explained.steps.back().step == "candidates");
    }
}
