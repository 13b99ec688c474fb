#include "process/routing/hedge_policy.h"
#include "process/routing/retry_budget.h"
#include "support/seeded_property.h"

#include <chrono> // milliseconds
#include <vector> // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace std::chrono_literals;

TEST_CASE("retry budget")
{
    SUBCASE("one retry for ten requests once the initial budget is used up")
    {
        retry_budget budget{0.1, 1};
        CHECK(budget.try_take());
        CHECK_FALSE(budget.try_take());
        for (int i = 0; i < 11; ++i) { // ten times 0.1 is just below 1 in floating point
            budget.on_request();
        }
        CHECK(budget.try_take());
        CHECK_FALSE(budget.try_take());
    }
    SUBCASE("no more is saved up than its capacity")
    {
        retry_budget budget{0.5, 2};
        for (int i = 0; i < 100; ++i) {
            budget.on_request();
        }
        CHECK(budget.tokens() == 2);
    }
    SUBCASE("only requests that were not executed, or are idempotent, may be retried")
    {
        CHECK(may_retry(ran_state::no, false));
        CHECK(may_retry(ran_state::unknown, true));
        CHECK_FALSE(may_retry(ran_state::unknown, false));
    }
    SUBCASE("retries never exceed the capacity plus the ratio times the number of requests")
    {
        CHECK(holds_with_seed(41, [] {
            retry_budget budget{0.1, 10};
            double retries = 0;
            double requests = 0;
            for (const bool is_request : *rc::gen::arbitrary<std::vector<bool>>()) {
                if (is_request) {
                    budget.on_request();
                    requests += 1;
                }
                else {
                    retries += budget.try_take() ? 1 : 0;
                }
                RC_ASSERT(retries <= 10 + 0.1 * requests + 1e-9);
            }
        }));
    }
}

TEST_CASE("hedging")
{
    hedge_policy policy;
    retry_budget budget{0.1, 1};

    SUBCASE("no request is hedged before the quantile is known")
    {
        CHECK_FALSE(policy.hedge_after());
        CHECK_FALSE(policy.try_hedge(true, 60s, budget));
    }
    for (int i = 1; i <= 256; ++i) {
        policy.on_first_token(1ms * i);
    }
    SUBCASE("the wait is the 95th percentile of the newest samples")
    {
        CHECK(*policy.hedge_after() == 243ms);
        for (int i = 0; i < 256; ++i) {
            policy.on_first_token(2ms);
        }
        CHECK(*policy.hedge_after() == 2ms);
    }
    SUBCASE("only late idempotent requests are hedged, and only within the budget")
    {
        CHECK_FALSE(policy.try_hedge(false, 300ms, budget));
        CHECK_FALSE(policy.try_hedge(true, 200ms, budget));
        CHECK(policy.try_hedge(true, 300ms, budget));
        CHECK_FALSE(policy.try_hedge(true, 300ms, budget));
    }
}
