#include "gateway/membership/directory_choice.h"

#include <doctest/doctest.h>

using namespace hickorykeel::gateway;

namespace {

const directory_candidate near{"near", "a-1", "a"};
const directory_candidate neighbour{"neighbour", "a-2", "a"};
const directory_candidate home{"home", "b-1", "b"};
const directory_candidate far{"far", "c-1", "c"};

using addresses = std::vector<std::string>;

addresses choose(const std::vector<directory_candidate>& candidates, const directory_caller& caller,
                 std::size_t max_addresses = 64)
{
    return choose_addresses(candidates, caller, max_addresses).addresses;
}

} // namespace

TEST_CASE("callers are given the nearest candidates")
{
    const directory_caller caller{"a-1", "a", {}};
    CHECK(choose({far, home, neighbour, near}, caller) == addresses{"near"});
    CHECK(choose({far, neighbour}, caller) == addresses{"neighbour"});
    CHECK(choose({far, home}, caller) == addresses{"far", "home"});
    CHECK(choose({}, caller).empty());
}

TEST_CASE("regression: while a region's hosts restart, its callers are given hosts of home regions")
{
    // while both hosts of a region were stopped in turn, the directory returned any other host, and
    // bodies of requests restricted to home regions were sent to a region that was not one
    const directory_caller caller{"a-1", "a", {{"a", 1}, {"b", 1}}};
    CHECK(choose({far, home}, caller) == addresses{"home"});
    CHECK(choose({far}, caller) == addresses{"far"});
}

TEST_CASE("regression: a region that is home to few routes ranks below one that is home to many")
{
    // for routes without a common home region, the directory returned hosts of any region
    const directory_caller caller{"a-1", "a", {{"b", 5}, {"c", 1}}};
    CHECK(choose({far, home}, caller) == addresses{"home"});
    CHECK(choose({home, far}, caller) == addresses{"home"});
}

// guards against HOME: a host that had just started had heard no other one, and named itself
TEST_CASE("regression: hosts elsewhere are returned only to callers that may be there")
{
    directory_caller caller{"a-1", "a", {{"b", 1}}, false};
    CHECK(choose({far}, caller).empty());
    CHECK(choose({far, home}, caller) == addresses{"home"});
    CHECK(choose({far, neighbour}, caller) == addresses{"neighbour"});
    caller.may_be_elsewhere = true;
    CHECK(choose({far}, caller) == addresses{"far"});
}

TEST_CASE("the directory returns no more hosts than requested")
{
    const directory_caller caller{"a-1", "a", {}};
    CHECK(choose({near, near, near}, caller, 2).size() == 2);
}
