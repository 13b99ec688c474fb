#include "gateway/membership/directory_choice.h"

#include <chrono>  // milliseconds, seconds
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

const directory_candidate near{"near", "a-1", "a"};
const directory_candidate neighbour{"neighbour", "a-2", "a"};
const directory_candidate home{"home", "b-1", "b"};
const directory_candidate far{"far", "c-1", "c"};

using addresses = std::vector<std::string>;

constexpr time_point start{1'000s};
constexpr duration restart_time = 4s;

addresses choose(const std::vector<directory_candidate>& candidates, const directory_caller& caller,
                 std::size_t max_addresses = 64)
{
    return choose_addresses(candidates, caller, max_addresses).addresses;
}

/// A name with three routes, of which two have home regions: "b", and "b" or "a".
const name_homes some_homes{3, 2, {{"a", 1}, {"b", 2}}, {}};

/// Two routes with home regions that have none in common.
const name_homes distinct_homes{2, 2, {{"b", 1}, {"c", 1}}, {}};

/// A host of region "c", and what it knows of the other hosts.
class answering_host {
public:
    /// Receives a heartbeat of the only host of `region`.
    void hear(const std::string& region, bool is_ready, bool is_leaving, time_point now)
    {
        heartbeat received;
        received.ip = region;
        received.failure_domain = region + "-1";
        received.region = region;
        received.incarnation = 1;
        received.sequence = ++m_sequence;
        received.is_ready = is_ready;
        received.is_leaving = is_leaving;
        m_members.on_heartbeat(received, now);
    }

    void start(time_point at) { m_started = at; }
    void stop() { m_is_stopping = true; }

    /// Returns what it names to a caller in region "a".
    [[nodiscard]] directory_choice answer(const name_homes& homes, time_point now) const
    {
        const directory_host own{"c:1", "c-1", "c", !m_is_stopping, now - m_started};
        return choose_hosts(m_members, own, {"a-1", "a", homes}, restart_time, now);
    }

private:
    member_table m_members{"c", {}, {}, "c"};
    time_point m_started{};
    bool m_is_stopping = false;
    std::uint64_t m_sequence = 0;
};

} // namespace

TEST_CASE("callers are given the nearest candidates")
{
    const directory_caller caller{"a-1", "a", name_homes{}};
    CHECK(choose({far, home, neighbour, near}, caller) == addresses{"near"});
    CHECK(choose({far, neighbour}, caller) == addresses{"neighbour"});
    CHECK(choose({far, home}, caller) == addresses{"far", "home"});
    CHECK(choose({}, caller).empty());
}

TEST_CASE("regression: while a region's hosts restart, its callers are given hosts of home regions")
{
    // while both hosts of a region were stopped in turn, the directory returned any other host, and
    // bodies of requests restricted to home regions were sent to a region that was not one
    directory_caller caller{"a-1", "a", some_homes};
    CHECK(choose({far, home}, caller) == addresses{"home"});
    CHECK(choose({far}, caller).empty());
    caller.may_be_elsewhere = true;
    CHECK(choose({far, home}, caller) == addresses{"home"});
    CHECK(choose({far}, caller) == addresses{"far"});
}

TEST_CASE("regression: a region that is home to few routes ranks below one that is home to many")
{
    // for routes without a common home region, the directory returned hosts of any region
    directory_caller caller{"a-1", "a", name_homes{6, 6, {{"b", 5}, {"c", 1}}, {}}, true};
    CHECK(choose({far, home}, caller) == addresses{"home"});
    CHECK(choose({home, far}, caller) == addresses{"home"});
}

// guards against HOME: routes whose homes are elsewhere were led to the home of the other routes
TEST_CASE("regression: a region that isn't home to all routes is given as a last resort only")
{
    directory_caller caller{"a-1", "a", distinct_homes};
    CHECK(choose({far, home}, caller).empty());
    CHECK(choose({far, home, neighbour}, caller) == addresses{"neighbour"});
    caller.may_be_elsewhere = true;
    CHECK(choose({far, home}, caller) == addresses{"far", "home"});
}

// guards against HOME: a host that had just started had heard no other one, and named itself
TEST_CASE("regression: hosts elsewhere are returned only to callers that may be there")
{
    directory_caller caller{"a-1", "a", some_homes};
    CHECK(choose({far}, caller).empty());
    CHECK(choose({far, home}, caller) == addresses{"home"});
    CHECK(choose({far, neighbour}, caller) == addresses{"neighbour"});
    caller.may_be_elsewhere = true;
    CHECK(choose({far}, caller) == addresses{"far"});
}

TEST_CASE("callers aren't given hosts that may serve none of their routes")
{
    const directory_caller caller{"a-1", "a", name_homes{1, 1, {{"b", 1}}, {}}, true};
    CHECK(choose({far}, caller).empty());
    CHECK(choose({far, home}, caller) == addresses{"home"});
}

TEST_CASE("without a configuration callers are given hosts of their region only")
{
    const directory_caller caller{"a-1", "a", {}};
    CHECK(choose({far, home}, caller).empty());
    CHECK(choose({far, neighbour}, caller) == addresses{"neighbour"});
}

TEST_CASE("of the home regions, those of the most organisations are given")
{
    name_homes homes = some_homes;
    homes.restricted_by_region["c"] = 2;
    const directory_caller caller{"a-1", "a", homes};
    CHECK(choose({far, home}, caller) == addresses{"far", "home"});
    homes.organisations_by_region["c"] = 1;
    CHECK(choose({far, home}, {"a-1", "a", homes}) == addresses{"far"});
    const name_homes unrestricted{1, 0, {}, homes.organisations_by_region};
    CHECK(choose({far, home}, {"a-1", "a", unrestricted}) == addresses{"far", "home"});
}

TEST_CASE("the directory returns no more hosts than requested")
{
    const directory_caller caller{"a-1", "a", name_homes{}};
    CHECK(choose({near, near, near}, caller, 2).size() == 2);
    CHECK(choose({near}, caller, 0).empty());
}

// guards against HOME: hosts elsewhere were named as soon as no host was ready
TEST_CASE("regression: while a region's hosts are restarted, callers are given no hosts elsewhere")
{
    answering_host host;
    host.hear("a", true, false, start);
    host.hear("b", true, false, start);
    CHECK(host.answer(some_homes, start).addresses == addresses{"a:1"});
    host.hear("a", false, true, start + 1s);
    host.hear("b", true, false, start + 1s);
    CHECK(host.answer(some_homes, start + 1s).addresses == addresses{"b:1"});
    host.hear("a", false, true, start + 2s);
    host.hear("b", false, true, start + 2s);
    CHECK(host.answer(some_homes, start + 2s).scope == directory_scope::none);
    // its process ends after its last heartbeat, and the next one is ready late
    host.hear("a", false, true, start + 20s);
    CHECK(host.answer(some_homes, start + 23'900ms).scope == directory_scope::none);
    host.hear("a", false, false, start + 23'900ms);
    CHECK(host.answer(some_homes, start + 27s).scope == directory_scope::none);
    host.hear("a", true, false, start + 27s);
    CHECK(host.answer(some_homes, start + 27s).addresses == addresses{"a:1"});
}

// guards against HOME: one that was cut off hadn't heard that the others were being restarted
TEST_CASE("regression: a host that doesn't hear the others for a short time names none elsewhere")
{
    answering_host host;
    host.hear("a", true, false, start);
    host.hear("b", true, false, start);
    CHECK(host.answer(some_homes, start + 3'900ms).scope == directory_scope::none);
}

TEST_CASE("callers of hosts that are lost are given hosts elsewhere")
{
    answering_host host;
    host.hear("a", true, false, start);
    host.hear("b", true, false, start);
    CHECK(host.answer(some_homes, start + 4s).scope == directory_scope::elsewhere);
    CHECK(host.answer(distinct_homes, start + 4s).addresses == addresses{"c:1"});
    host.hear("a", false, true, start + 5s);
    host.hear("a", true, false, start + 6s);
    CHECK(host.answer(some_homes, start + 6s).addresses == addresses{"a:1"});
    CHECK(host.answer(some_homes, start + 10s).scope == directory_scope::elsewhere);
    host.start(start + 8s);
    CHECK(host.answer(some_homes, start + 11s).scope == directory_scope::none);
    CHECK(host.answer(some_homes, start + 12s).scope == directory_scope::elsewhere);
}

TEST_CASE("a region without hosts isn't lost where no region suits all routes")
{
    answering_host host;
    host.hear("b", true, false, start);
    CHECK(host.answer(distinct_homes, start).scope == directory_scope::none);
    CHECK(host.answer(some_homes, start).addresses == addresses{"b:1"});
}

TEST_CASE("a stopping host isn't named")
{
    answering_host host;
    CHECK(host.answer({}, start).addresses == addresses{"c:1"});
    host.stop();
    CHECK(host.answer({}, start).scope == directory_scope::none);
    host.hear("b", false, true, start);
    CHECK(host.answer({}, start).scope == directory_scope::none);
}
