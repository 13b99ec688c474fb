#include "gateway/serving/attempt_rule.h"

#include "gateway/routes.h"

#include <doctest/doctest.h>

using namespace hickorykeel::gateway;
using hickorykeel::gateway::tests::make_route;

namespace {

constexpr unsigned many_tries = 4;
constexpr failed_try ran{true};
constexpr failed_try not_run{false};

} // namespace

TEST_CASE("a request that isn't repeatable is tried again only while it has not run")
{
    const auto rule =
        to_attempt_rule(make_route(request_kind::non_idempotent, 3), false, many_tries);
    attempt_count attempts;
    attempts.on_try();
    CHECK(attempts.may_try_again(rule, not_run, false));
    CHECK_FALSE(attempts.may_try_again(rule, ran, false));
}

TEST_CASE("a safe request runs at no more endpoints than its route allows")
{
    const auto rule = to_attempt_rule(make_route(request_kind::safe, 2), false, many_tries);
    attempt_count attempts;
    attempts.on_try();
    CHECK(attempts.may_try_again(rule, ran, false));
    attempts.on_run();
    attempts.on_try();
    CHECK_FALSE(attempts.may_try_again(rule, ran, false));
    CHECK(attempts.may_try_again(rule, not_run, false));
}

TEST_CASE("regression: a host that gets a request passed on runs it at one endpoint")
{
    // two hosts that each used the route's two attempts ran a request at three endpoints
    const auto rule =
        to_attempt_rule(make_route(request_kind::streaming, 2, true), true, many_tries);
    attempt_count attempts;
    attempts.on_try();
    CHECK_FALSE(attempts.may_try_again(rule, ran, false));
    CHECK(attempts.may_try_again(rule, not_run, false));
}

TEST_CASE("an answer that was begun goes on elsewhere only where the route is resumable")
{
    attempt_count attempts;
    attempts.on_try();
    const auto resumable =
        to_attempt_rule(make_route(request_kind::streaming, 2, true), false, many_tries);
    CHECK(attempts.may_try_again(resumable, ran, true));
    const auto cut = to_attempt_rule(make_route(request_kind::streaming, 2), false, many_tries);
    CHECK_FALSE(attempts.may_try_again(cut, not_run, true));
}

TEST_CASE("tries that don't run end as well")
{
    const auto rule = to_attempt_rule(make_route(request_kind::safe, 2), false, 2);
    attempt_count attempts;
    attempts.on_try();
    attempts.on_try();
    CHECK_FALSE(attempts.may_try_again(rule, not_run, false));
}
