#include "gateway/serving/exchange.h"

#include "gateway/endpoint_behaviours.h"
#include "gateway/gateway_fixture.h"
#include "gateway/http/http_server.h"
#include "gateway/routes.h"

#include <chrono>      // milliseconds
#include <memory>      // shared_ptr
#include <string>      // string, to_string
#include <string_view> // string_view

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

TEST_CASE("a request and its response are relayed unchanged")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
    recording_endpoint endpoint;
    gateway.add_endpoint("a", endpoint.behaviour());
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->status == 200);
    CHECK(response->body == "answer");
    CHECK(response->headers.find("X-Hickorykeel-Response-Seal") == "seal");
    REQUIRE(endpoint.heads().size() == 1);
    const message_head& head = endpoint.heads().front();
    CHECK(head.method == "POST");
    CHECK(head.target == "/a/x?y=z");
    CHECK(endpoint.bodies().front() == "question");
    CHECK(head.headers.find("X-Hickorykeel-Target-Instance") == "a");
    CHECK(head.headers.find("X-Hickorykeel-Tenant") == "o");
    CHECK_FALSE(head.headers.contains("Api-Key"));
}

TEST_CASE("an unknown key is refused")
{
    gateway_fixture gateway{make_route(request_kind::safe, 1)};
    gateway.publish(2, {"another"});
    const auto response = gateway.send_request("GET", {});
    gateway.run_to_end(response);
    CHECK(response->status == 401);
}

TEST_CASE("an endpoint's request is cancelled when the caller disconnects")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 1)};
    bool is_running = false;
    bool has_stopped = false;
    gateway.add_endpoint("a", [&](const std::shared_ptr<server_exchange>& request) {
        is_running = true;
        request->set_on_disconnect([&] { has_stopped = true; });
    });
    gateway.send_request();
    gateway.run_until([&] { return is_running; });
    gateway.disconnect();
    gateway.run_until([&] { return has_stopped; });
}

TEST_CASE("a malformed request is refused and reported")
{
    asio::io_context loop{1};
    http_server server{loop, [](const auto& request) { request->respond(200, {}, {}); }};
    std::string reported;
    server.set_on_reject([&](int, std::string_view reason) { reported = reason; });
    REQUIRE(is_ok(server.listen("127.0.0.1:0")));
    http_client caller{loop};
    int status = 0;
    bool has_ended = false;
    caller.call({.address = "127.0.0.1:" + std::to_string(server.port())},
                "GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                {.on_head = [&](const message_head& head) { status = head.status; },
                 .on_end = [&](call_end) { has_ended = true; }});
    const time_point limit = boot_clock::now() + test_timeout;
    while (!has_ended && boot_clock::now() < limit) {
        loop.restart();
        loop.run_one_for(10ms);
    }
    CHECK(status == 400);
    CHECK(reported == "malformed");
    loop.restart();
    loop.run_for(1ms);
}
