#include "gateway/serving/exchange.h"

#include "gateway/gateway_fixture.h"
#include "gateway/http/http_server.h"
#include "gateway/routes.h"

#include <memory> // shared_ptr
#include <string> // string
#include <vector> // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;

// guards against LOST: requests that were open at the end of a shutdown had no response
TEST_CASE("regression: a stopping host ends an open request with what is known of it")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
    std::vector<std::shared_ptr<server_exchange>> held;
    gateway.add_endpoint("a", [&](const auto& request) { held.push_back(request); });

    SUBCASE("it was sent")
    {
        const auto response = gateway.send_request();
        gateway.run_until([&] { return !held.empty(); });
        gateway.end_all();
        gateway.run_to_end(response);
        CHECK(response->end == call_end::complete);
        CHECK(response->status == 502);
        CHECK(response->body.find(R"("ran":"unknown")") != std::string::npos);
        // its caller has the response; nothing more happens to it
        gateway.end_all();
    }
    SUBCASE("it waits for a free slot")
    {
        gateway.occupy("a");
        const auto response = gateway.send_request();
        gateway.run_until([&] { return gateway.waiting() == 1; });
        gateway.end_all();
        gateway.run_to_end(response);
        CHECK(response->status == 503);
        CHECK(response->headers.contains("Retry-After"));
        CHECK(response->body.find(R"("ran":"no")") != std::string::npos);
        gateway.release("a");
        CHECK(gateway.waiting() == 0);
        CHECK(held.empty());
    }
}

// guards against ORDER: a stream that a stopping host can't end must not look complete
TEST_CASE("regression: a stopping host breaks an open stream off")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 1)};
    std::vector<std::shared_ptr<server_exchange>> held;
    gateway.add_endpoint("a", [&](const auto& request) {
        request->begin(200, response_headers());
        request->send("id: 1\ndata: word\n\n");
        held.push_back(request);
    });
    const auto response = gateway.send_request();
    gateway.run_until([&] { return !response->body.empty(); });
    gateway.end_all();
    gateway.run_to_end(response);
    CHECK(response->end == call_end::broken);
}
