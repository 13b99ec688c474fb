#include "gateway/serving/exchange.h"

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

// guards against LOST: the limit on callers' requests was applied to what endpoints send
TEST_CASE("regression: a response may be longer than a request")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
    const std::string body(6'000'000, 'x');
    gateway.add_endpoint("a", [&body](const std::shared_ptr<server_exchange>& request) {
        request->respond(200, response_headers(), body);
    });
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->status == 200);
    CHECK((response->body == body));
}

TEST_CASE("a response above the maximum size ends in a refusal")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
    gateway.set_max_response_bytes(1'000);
    gateway.add_endpoint("a", [](const std::shared_ptr<server_exchange>& request) {
        request->respond(200, response_headers(), std::string(1'001, 'x'));
    });
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->status == 502);
}

// guards against MIXED and ORDER: a response that broke off in its head reached the caller as
// complete, with an empty or short body
TEST_CASE("regression: a response that breaks off in its head is no response")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Hickorykeel-Attempt-Id: " + id +
                             "\r\nX-Hickorykeel-Response-Seal: seal\r\n";
    for (const std::string& framing :
         {std::string{"Content-Length: 0\r\n\r\n"}, std::string{"Connection: close\r\n\r\n"},
          std::string{"Transfer-Encoding: chunked\r\n\r\n"}}) {
        const std::string whole = head + framing;
        for (const request_kind kind : {request_kind::non_idempotent, request_kind::streaming}) {
            for (std::size_t length = 0; length < whole.size(); ++length) {
                CAPTURE(whole.substr(0, length));
                gateway_fixture gateway{make_route(kind, 1)};
                const scripted_endpoint endpoint{
                    gateway, "a", [&](std::size_t) {
                        return scripted_endpoint::step{whole.substr(0, length), true};
                    }};
                const auto response = gateway.send_request();
                gateway.run_to_end(response);
                CHECK(response->status == 502);
                CHECK(response->body.find(R"("ran":"unknown")") != std::string::npos);
            }
        }
    }
}

// guards against MIXED and REFUSED: a response with status 000 reached the caller, or counted as not
// executed
TEST_CASE("a response whose status isn't one never reaches the caller")
{
    for (const std::string status :
         {"000 OK", "000", "0 OK", "20 OK", "99 OK", "0200 OK", "600 OK", "999 OK"}) {
        for (const request_kind kind : {request_kind::non_idempotent, request_kind::streaming}) {
            for (const std::string& more : {std::string{}, rejection_line}) {
                CAPTURE(status);
                CAPTURE(more);
                gateway_fixture gateway{make_route(kind, 1)};
                const scripted_endpoint endpoint{
                    gateway, "a", [&](std::size_t) {
                        return scripted_endpoint::step{
                            format_answer(status, id, more, "id: 1\ndata: word\n\n"), true};
                    }};
                const auto response = gateway.send_request();
                gateway.run_to_end(response);
                CHECK(response->status == 502);
                CHECK(response->body.find(R"("ran":"unknown")") != std::string::npos);
                CHECK(endpoint.requests() == 1);
            }
        }
    }
}
