#include "gateway/settings_watch.h"

#include <optional> // nullopt
#include <string>   // string

#include <doctest/doctest.h>

using namespace hickorykeel::gateway;

// guards against QUOTA: seeds that were named without a signal were never used
TEST_CASE("a new content is to be applied once it has stayed the same")
{
    settings_watch watch{"a"};
    CHECK(watch.look("a") == settings_change::none);
    CHECK(watch.look("b") == settings_change::unsettled);
    CHECK(watch.look("bc") == settings_change::unsettled); // it was being written
    CHECK(watch.look("bc") == settings_change::complete);
    CHECK(watch.look("bc") == settings_change::none);
    CHECK(watch.look("a") == settings_change::unsettled);
    CHECK(watch.look("a") == settings_change::complete);
}

TEST_CASE("a content that comes back before it was applied changes nothing")
{
    settings_watch watch{"a"};
    CHECK(watch.look("b") == settings_change::unsettled);
    CHECK(watch.look("a") == settings_change::none);
    CHECK(watch.look("b") == settings_change::unsettled);
}

TEST_CASE("a file that can't be read is found so once, and looked at again")
{
    settings_watch watch{"a"};
    CHECK(watch.look(std::nullopt) == settings_change::unreadable);
    CHECK(watch.look(std::nullopt) == settings_change::none);
    CHECK(watch.look("a") == settings_change::none);
    CHECK(watch.look(std::nullopt) == settings_change::unreadable);
    CHECK(watch.look("b") == settings_change::unsettled);
    CHECK(watch.look(std::nullopt) == settings_change::unreadable);
    CHECK(watch.look("b") == settings_change::unsettled);
    CHECK(watch.look("b") == settings_change::complete);
}

TEST_CASE("the first content is to be applied if it isn't known which one is in force")
{
    settings_watch watch{std::nullopt};
    CHECK(watch.look("a") == settings_change::unsettled);
    CHECK(watch.look("a") == settings_change::complete);
}
