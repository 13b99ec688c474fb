#include "gateway/endpoint_pool_fixture.h"
#include "gateway/routing/endpoint_pool.h"

#include <chrono> // milliseconds, seconds

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

// guards against FAILBACK: an endpoint that had started again under its id got a warm one's requests
// from hosts whose connections had ended with its former incarnation
TEST_CASE("regression: an endpoint that has ended a connection gets a warm one's requests")
{
    endpoint_pool_fixture with{true, 48};
    with.add("a");
    with.update(start);
    REQUIRE(with.choose(start));
    static_cast<void>(with.pool().on_sent("a", nullptr, start));
    with.end_attempt("a", endpoint_outcome::cut, start + 100ms);
    CHECK(with.fill(start + 600ms) <= 3);
}
