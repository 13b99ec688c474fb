#include "gateway/serving/attempt_rule.h"

#include "gateway/routes.h"

#include <doctest/doctest.h>

using namespace hickorykeel::gateway;
using hickorykeel::gateway::tests::make_route;

namespace {

constexpr unsigned many_attempts = 4;
constexpr failed_attempt executed{true};
constexpr failed_attempt not_executed{false};

} // namespace

TEST_CASE("a request that isn't repeatable is retried only if it has not been executed")
{
    const auto rule =
        to_attempt_rule(make_route(request_kind::non_idempotent, 3), false, many_attempts);
    attempt_count attempts;
    attempts.on_attempt();
    CHECK(attempts.may_retry(rule, not_executed, false));
    CHECK_FALSE(attempts.may_retry(rule, executed, false));
}

TEST_CASE("a safe request is executed at no more endpoints than its route allows")
{
    const auto rule = to_attempt_rule(make_route(request_kind::safe, 2), false, many_attempts);
    attempt_count attempts;
    attempts.on_attempt();
    CHECK(attempts.may_retry(rule, executed, false));
    attempts.on_execution();
    attempts.on_attempt();
    CHECK_FALSE(attempts.may_retry(rule, executed, false));
    CHECK(attempts.may_retry(rule, not_executed, false));
}

TEST_CASE("regression: a host that receives a forwarded request executes it at one endpoint")
{
    // two hosts that each used the route's two attempts executed a request at three endpoints
    const auto rule =
        to_attempt_rule(make_route(request_kind::streaming, 2, true), true, many_attempts);
    attempt_count attempts;
    attempts.on_attempt();
    CHECK_FALSE(attempts.may_retry(rule, executed, false));
    CHECK(attempts.may_retry(rule, not_executed, false));
}

TEST_CASE("a response that has started is resumed only on a resumable route")
{
    attempt_count attempts;
    attempts.on_attempt();
    const auto resumable =
        to_attempt_rule(make_route(request_kind::streaming, 2, true), false, many_attempts);
    CHECK(attempts.may_retry(resumable, executed, true));
    const auto cut = to_attempt_rule(make_route(request_kind::streaming, 2), false, many_attempts);
    CHECK_FALSE(attempts.may_retry(cut, not_executed, true));
}

TEST_CASE("attempts without an execution are limited as well")
{
    const auto rule = to_attempt_rule(make_route(request_kind::safe, 2), false, 2);
    attempt_count attempts;
    attempts.on_attempt();
    attempts.on_attempt();
    CHECK_FALSE(attempts.may_retry(rule, not_executed, false));
}
