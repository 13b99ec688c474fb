#include "connection/limit_codec.h"

#include <limits> // numeric_limits

#include <doctest/doctest.h>

using namespace hickorykeel;

TEST_CASE("messages of the limiter with numbers that aren't finite or out of range")
{
    constexpr double nan = std::numeric_limits<double>::quiet_NaN();
    constexpr double infinity = std::numeric_limits<double>::infinity();
    CHECK(is_ok(from_link(to_link(loan_request{"offices", 9, 2, 1}))));
    for (const double number : {nan, infinity, -infinity}) {
        CHECK_FALSE(is_ok(from_link(to_link(loan_request{"offices", number, 2, 1}))));
        CHECK_FALSE(is_ok(from_link(to_link(loan_request{"offices", 9, number, 1}))));
        CHECK_FALSE(is_ok(from_link(to_link(loan_grant{"offices", 1, number, {}, 2}))));
        CHECK_FALSE(is_ok(from_link(to_link(loan_settle{1, 0, number}))));
    }
    CHECK(is_ok(from_link(to_link(share_answer{1, 1, 1, {{"a", 1, 0, {}}}, true}))));
    for (const double number : {nan, infinity, -0.1, 1.1}) {
        CHECK_FALSE(is_ok(from_link(to_link(share_answer{1, 1, number, {}, true}))));
        CHECK_FALSE(is_ok(from_link(to_link(share_answer{1, 1, 1, {{"a", 1, number, {}}}, true}))));
    }
}
