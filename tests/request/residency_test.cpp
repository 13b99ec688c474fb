#include "request/residency.h"

#include <string> // string
#include <vector> // vector

#include <doctest/doctest.h>

using namespace hickorykeel;

TEST_CASE("residency")
{
    const std::vector<std::string> allowed{"attica", "crete"};

    SUBCASE("a listed region is allowed")
    {
        CHECK(is_allowed_region(allowed, "attica"));
        CHECK(is_allowed_region(allowed, "crete"));
    }
    SUBCASE("another region or part of a name is not allowed")
    {
        CHECK_FALSE(is_allowed_region(allowed, "epirus"));
        CHECK_FALSE(is_allowed_region(allowed, "attic"));
        CHECK_FALSE(is_allowed_region(allowed, ""));
    }
    SUBCASE("no region is allowed if none is listed")
    {
        CHECK_FALSE(is_allowed_region({}, "attica"));
    }
}
