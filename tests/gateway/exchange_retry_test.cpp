#include "gateway/serving/exchange.h"

#include "gateway/endpoint_behaviours.h"
#include "gateway/gateway_fixture.h"
#include "gateway/http/http_server.h"
#include "gateway/routes.h"
#include "gateway/scripted_endpoint.h"

#include <cstddef> // size_t
#include <memory>  // shared_ptr
#include <string>  // string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;

TEST_CASE("a non-idempotent request isn't retried once it may have been executed")
{
    recording_endpoint other;
    for (const auto& broken : {cut, truncate, respond_to_another, respond_unsealed}) {
        gateway_fixture gateway{make_route(request_kind::non_idempotent, 3)};
        gateway.add_endpoint("a", broken);
        gateway.add_endpoint("b", other.behaviour());
        const auto response = gateway.send_request();
        gateway.run_to_end(response);
        CHECK(response->status == 502);
        CHECK_FALSE(response->headers.contains("Retry-After"));
    }
    CHECK(other.heads().empty());
}

TEST_CASE("a non-idempotent request is retried after a rejection")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
    recording_endpoint other;
    gateway.add_endpoint("a", reject);
    gateway.add_endpoint("b", other.behaviour());
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->status == 200);
    CHECK(other.heads().size() == 1);
}

TEST_CASE("a request that every endpoint rejects is refused with a Retry-After delay")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
    gateway.add_endpoint("a", reject);
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->status == 503);
    CHECK(response->headers.contains("Retry-After"));
}

TEST_CASE("a safe request is retried after every kind of failure")
{
    for (const auto& broken : {cut, truncate, respond_to_another, respond_unsealed, reject}) {
        gateway_fixture gateway{make_route(request_kind::safe, 2)};
        recording_endpoint other;
        gateway.add_endpoint("a", broken);
        gateway.add_endpoint("b", other.behaviour());
        const auto response = gateway.send_request("GET", {});
        gateway.run_to_end(response);
        CHECK(response->status == 200);
        CHECK(response->body == "answer");
    }
}

TEST_CASE("an endpoint's failure response is relayed unchanged once no attempt is left")
{
    gateway_fixture gateway{make_route(request_kind::safe, 1)};
    gateway.add_endpoint("a", fail);
    const auto response = gateway.send_request("GET", {});
    gateway.run_to_end(response);
    CHECK(response->status == 500);
    CHECK(response->body == "failure");
    CHECK(response->headers.contains("X-Hickorykeel-Response-Seal"));
}

// guards against REFUSED: a request whose key was withdrawn while it ran was refused as not run
TEST_CASE("regression: a retry that isn't allowed any more doesn't say that nothing has run")
{
    gateway_fixture gateway{make_route(request_kind::safe, 2)};
    gateway.add_endpoint("a", [&gateway](const std::shared_ptr<server_exchange>& request) {
        gateway.publish(2, {"another key"});
        cut(request);
    });
    recording_endpoint other;
    gateway.add_endpoint("b", other.behaviour());
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->status == 401);
    CHECK(response->body.find(R"("ran":"unknown")") != std::string::npos);
    CHECK(other.heads().empty());
}

TEST_CASE("a safe request is retried after a response whose status isn't one")
{
    gateway_fixture gateway{make_route(request_kind::safe, 2)};
    const scripted_endpoint endpoint{gateway, "a", [&](std::size_t) {
                                         return scripted_endpoint::step{
                                             format_answer("000 OK", id, {}, "wrong")};
                                     }};
    gateway.add_endpoint("b", [](const std::shared_ptr<server_exchange>& request) {
        request->respond(200, response_headers(), "right");
    });
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->status == 200);
    CHECK(response->body == "right");
}
