#include "request/refusal.h"

#include <doctest/doctest.h>

using namespace hickorykeel;

TEST_CASE("refusal codes")
{
    SUBCASE("each row of the table has the index of its code")
    {
        for (std::size_t i = 0; i < refusal_kinds.size(); ++i) {
            CHECK(static_cast<std::size_t>(refusal_kinds[i].code) == i);
        }
    }
}
