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
    SUBCASE("another region is not, nor a part of a name")
    {
        CHECK_FALSE(is_allowed_region(allowed, "epirus"));
        CHECK_FALSE(is_allowed_region(allowed, "attic"));
        CHECK_FALSE(is_allowed_region(allowed, ""));
    }
    SUBCASE("without regions none is allowed")
    {
        CHECK_FALSE(is_allowed_region({}, "attica"));
    }
}
