#include "gateway/serving/overload_spell.h"

#include <chrono> // milliseconds, seconds

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
constexpr overload_options options;

} // namespace

TEST_CASE("burst: a moment's refusals send callers away for a short while")
{
    overload_spell spell;
    CHECK(spell.on_refusal(options, start, 0) == options.least_pause);
    CHECK(spell.on_refusal(options, start + 100ms, 0) == options.least_pause);
}

TEST_CASE("long overload: the longer it lasts, the longer callers stay away")
{
    overload_spell spell;
    duration last{0};
    for (duration elapsed{0}; elapsed <= 20s; elapsed += 500ms) {
        const duration pause = spell.on_refusal(options, start + elapsed, 0);
        CHECK(pause >= last);
        CHECK(pause <= options.longest_pause);
        last = pause;
    }
    CHECK(last == options.longest_pause);
    SUBCASE("and a calm while ends it")
    {
        CHECK(spell.on_refusal(options, start + 20s + options.calm, 0) == options.least_pause);
    }
}

TEST_CASE("long overload: callers who are refused together don't come back together")
{
    overload_spell spell;
    const duration first = spell.on_refusal(options, start, 0);
    const duration second = spell.on_refusal(options, start, 0.9);
    CHECK(second - first > 300ms);
}
