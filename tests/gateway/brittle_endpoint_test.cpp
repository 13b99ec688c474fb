#include "gateway/gateway_fixture.h"
#include "gateway/routes.h"

#include <cstddef> // size_t
#include <memory>  // shared_ptr
#include <string>  // string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;

namespace {

/// Endpoint that names a rejection limit and rejects all requests.
gateway_fixture::behaviour full_endpoint(std::size_t& arrivals)
{
    return [&arrivals](const std::shared_ptr<server_exchange>& request) {
        ++arrivals;
        header_list headers = response_headers();
        headers.add("Server-Brittle", "2");
        headers.add("X-Hickorykeel-Not-Executed", "1");
        request->respond(503, headers, {});
    };
}

} // namespace

// guards against LIMIT: one request that several brittle endpoints reject within moments
TEST_CASE("a request that a brittle endpoint has rejected isn't sent to another one")
{
    gateway_fixture gateway{make_route(request_kind::safe, 4)};
    gateway.set_retry_slack(1'000);
    std::size_t arrivals = 0;
    for (const std::string name : {"a", "b", "c"}) {
        gateway.add_endpoint(name, full_endpoint(arrivals));
    }
    const auto refused = gateway.send_request("GET");
    gateway.run_to_end(refused);
    CHECK(refused->status == 503);
    CHECK(refused->headers.contains("Retry-After"));
    CHECK(arrivals == 1);
}

// guards against callers of hosts that have no share of few places, which would be refused
TEST_CASE("a host without a share of brittle endpoints forwards requests to one that has one")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 2)};
    std::size_t arrivals = 0;
    gateway.add_endpoint("a", full_endpoint(arrivals));
    gateway.pool().on_rejection_statement({"a", 0}, {2, boot_clock::now()}, boot_clock::now());
    gateway.set_room_share(0);
    std::size_t forwarded = 0;
    SUBCASE("there is one")
    {
        gateway.add_host_of_region([&](const std::shared_ptr<server_exchange>& request) {
            ++forwarded;
            request->respond(200, response_headers(), "answer");
        });
        const auto served = gateway.send_request();
        gateway.run_to_end(served);
        CHECK(served->status == 200);
        CHECK(forwarded == 1);

        // a host that was asked by another one doesn't ask further
        const auto refused = gateway.send_request("POST", "question", "other");
        gateway.run_to_end(refused);
        CHECK(refused->status == 503);
        CHECK(forwarded == 1);
    }
    SUBCASE("there is none")
    {
        const auto refused = gateway.send_request();
        gateway.run_to_end(refused);
        CHECK(refused->status == 503);
        CHECK(refused->headers.contains("Retry-After"));
    }
    CHECK(arrivals == 0);
}
