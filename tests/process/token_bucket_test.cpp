#include "process/limits/token_bucket.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint> // uint64_t
#include <vector>  // vector

using namespace hickorykeel;
using namespace std::chrono_literals;

namespace {

constexpr duration term = 2s;

time_point at(double seconds)
{
    return time_point{} + from_seconds(seconds);
}

token_bucket full_bucket()
{
    token_bucket bucket{at(0)};
    bucket.set_rights(10, 100, at(0));
    CHECK(bucket.level(at(10)) == doctest::Approx(100));
    return bucket;
}

} // namespace

TEST_CASE("token bucket rights")
{
    token_bucket bucket = full_bucket();
    SUBCASE("a bucket starts empty")
    {
        token_bucket fresh{at(0)};
        fresh.set_rights(10, 100, at(0));
        CHECK(fresh.level(at(0)) == 0);
    }
    SUBCASE("nothing accrues before the start")
    {
        token_bucket fresh{at(2)};
        fresh.set_rights(10, 100, at(0));
        CHECK(fresh.level(at(2)) == 0);
        CHECK(fresh.level(at(3)) == doctest::Approx(10));
    }
    SUBCASE("added capacity is empty")
    {
        bucket.set_rights(10, 200, at(10));
        CHECK(bucket.level(at(10)) == doctest::Approx(100));
    }
    SUBCASE("a reduced capacity discards the tokens above it")
    {
        bucket.set_rights(10, 40, at(10));
        CHECK(bucket.level(at(10)) == doctest::Approx(40));
    }
    SUBCASE("returned tokens above the capacity are lost")
    {
        CHECK(bucket.take_up_to(30, at(10)) == 30);
        bucket.give_back(50, at(10));
        CHECK(bucket.level(at(10)) == doctest::Approx(100));
    }
    SUBCASE("an earlier now adds no tokens")
    {
        CHECK(bucket.take_up_to(100, at(10)) == doctest::Approx(100));
        CHECK(bucket.level(at(5)) == 0);
        CHECK(bucket.level(at(10)) == 0);
    }
    SUBCASE("the wait is known if the capacity suffices")
    {
        CHECK(bucket.take_up_to(100, at(10)) == doctest::Approx(100));
        CHECK(to_seconds(bucket.wait_for(50, at(10)).value()) == doctest::Approx(5));
        CHECK_FALSE(bucket.wait_for(101, at(10)).has_value());
    }
}

TEST_CASE("token bucket loans")
{
    token_bucket bucket = full_bucket();
    SUBCASE("capacity is lent with the tokens")
    {
        CHECK(bucket.lend(1, 60, 0, term, at(10)) == 60);
        CHECK(bucket.level(at(11.9)) == doctest::Approx(40));
        CHECK(bucket.lent() == 60);
    }
    SUBCASE("less than the minimum is not lent")
    {
        CHECK(bucket.lend(1, 200, 150, term, at(10)) == 0);
        CHECK(bucket.lent() == 0);
    }
    SUBCASE("the capacity is usable again and empty at the end of the term")
    {
        CHECK(bucket.lend(1, 60, 0, term, at(10)) == 60);
        CHECK(bucket.level(at(13)) == doctest::Approx(50));
        CHECK(bucket.lent() == 0);
    }
    SUBCASE("a settled loan adds the returned tokens once")
    {
        CHECK(bucket.lend(1, 60, 0, term, at(10)) == 60);
        bucket.settle(1, 25, at(10));
        bucket.settle(1, 25, at(10));
        CHECK(bucket.level(at(10)) == doctest::Approx(65));
        CHECK(bucket.lent() == 0);
    }
    SUBCASE("a capacity below what is lent leaves level 0 until the loan has ended")
    {
        CHECK(bucket.lend(1, 60, 0, term, at(10)) == 60);
        bucket.set_rights(10, 50, at(10));
        CHECK(bucket.level(at(11.9)) == 0);
        CHECK(bucket.level(at(13)) == doctest::Approx(10));
    }
}

TEST_CASE("token bucket keeps its invariant over random schedules")
{
    const bool is_kept = rc::check("level is 0, or level + lent <= capacity", [] {
        token_bucket bucket{at(0)};
        double now = 0;
        std::uint64_t loan = 0;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5000))) {
            now += (step % 10) * 0.1;
            const double amount = step * 0.02;
            switch (step % 5) {
            case 0:
                bucket.set_rights(amount, amount * 2, at(now));
                break;
            case 1:
                bucket.take_up_to(amount, at(now));
                break;
            case 2:
                bucket.lend(++loan, amount, 0, term, at(now));
                break;
            case 3:
                bucket.settle(loan, amount, at(now));
                break;
            default:
                bucket.give_back(amount, at(now));
                break;
            }
            const double level = bucket.level(at(now));
            RC_ASSERT(level >= 0);
            RC_ASSERT(level <= 1e-6 || level + bucket.lent() <= bucket.capacity() + 1e-6);
        }
    });
    CHECK(is_kept);
}
