#include "gateway/endpoint_behaviours.h"
#include "gateway/gateway_fixture.h"
#include "gateway/http/http_server.h"
#include "gateway/routes.h"
#include "gateway/serving/exchange.h"

#include <chrono> // milliseconds
#include <memory> // shared_ptr
#include <string> // stod, string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

namespace {

header_list leaving_headers()
{
    header_list headers = response_headers();
    headers.add("Server-Leaving", "1");
    return headers;
}

void answer_and_leave(const std::shared_ptr<server_exchange>& request)
{
    request->respond(200, leaving_headers(), "answer");
}

void fail_and_leave(const std::shared_ptr<server_exchange>& request)
{
    request->respond(500, leaving_headers(), "failure");
}

void reject_and_leave(const std::shared_ptr<server_exchange>& request)
{
    header_list headers = leaving_headers();
    headers.add("X-Hickorykeel-Not-Executed", "1");
    request->respond(503, headers, {});
}

void break_off_and_leave(const std::shared_ptr<server_exchange>& request)
{
    request->begin(200, leaving_headers());
    request->send("ans");
    request->abort_response();
}

/// Endpoint that turns requests away for `delay` seconds.
gateway_fixture::behaviour turn_away(const std::string& delay, bool is_rejection = true)
{
    return [=](const std::shared_ptr<server_exchange>& request) {
        header_list headers = response_headers();
        if (is_rejection) {
            headers.add("X-Hickorykeel-Not-Executed", "1");
        }
        headers.add("Retry-After", delay);
        request->respond(503, headers, {});
    };
}

} // namespace

// guards against requests to an endpoint whose published entry doesn't say yet that it is leaving
TEST_CASE("leaving endpoint: it gets another request after a response that said so")
{
    for (const auto& leave :
         {answer_and_leave, fail_and_leave, reject_and_leave, break_off_and_leave}) {
        gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
        int calls = 0;
        recording_endpoint other;
        gateway.add_endpoint("a", [&](const auto& request) {
            ++calls;
            leave(request);
        });
        gateway.add_endpoint("b", other.behaviour());
        gateway.run_to_end(gateway.send_request());
        // a publication in between must not reinstate it
        gateway.slow_down("b");
        gateway.add_endpoint("c", other.behaviour());
        for (int i = 0; i < 5; ++i) {
            const auto response = gateway.send_request();
            gateway.run_to_end(response);
            CHECK(response->status == 200);
        }
        CHECK(calls == 1);
        CHECK(gateway.events("endpoint_leaving") == 1);
    }
}

// guards against waiting for the end of a stream before its head counts
TEST_CASE("leaving endpoint: it gets another request while its stream is still under way")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    int calls = 0;
    std::shared_ptr<server_exchange> stream;
    recording_endpoint other;
    gateway.add_endpoint("a", [&](const auto& request) {
        ++calls;
        stream = request;
        request->begin(200, leaving_headers());
        request->send("id: 1\ndata: x\n\n");
    });
    gateway.add_endpoint("b", other.behaviour());
    const auto first = gateway.send_request();
    gateway.run_until([&] { return !first->body.empty(); });
    gateway.run_to_end(gateway.send_request());
    CHECK(calls == 1);
    CHECK(other.heads().size() == 1);
}

// guards against taking the response of a new endpoint on a reused address for the former one's
TEST_CASE("leaving endpoint: another incarnation at its address is taken for it")
{
    gateway_fixture gateway{make_route(request_kind::safe, 2)};
    recording_endpoint other;
    gateway.add_endpoint("a",
                         [](const auto& request) { request->respond(421, leaving_headers(), {}); });
    gateway.add_endpoint("b", other.behaviour());
    gateway.run_to_end(gateway.send_request());
    CHECK(other.heads().size() == 1);
    CHECK(gateway.events("endpoint_leaving") == 0);
}

// guards against a refusal that a caller can't act on, and against waiting for no endpoint
TEST_CASE("leaving endpoint: requests wait for it though it is the only one")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
    gateway.add_endpoint("a", answer_and_leave);
    gateway.run_to_end(gateway.send_request());
    const auto refused = gateway.send_request();
    gateway.run_to_end(refused);
    CHECK(refused->status == 503);
    CHECK(refused->headers.contains("Retry-After"));
    CHECK(refused->body.find(R"("ran":"no")") != std::string::npos);
    CHECK(gateway.events("request_waits") == 0);
}

// guards against requests to an endpoint in the time for which it wants none, and against refusals
// that don't say when to return
TEST_CASE("endpoint that turns away: requests are sent to it, or wait until they time out")
{
    for (const bool is_rejection : {true, false}) {
        CAPTURE(is_rejection);
        gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
        int calls = 0;
        const auto respond = turn_away("20", is_rejection);
        gateway.add_endpoint("a", [&](const auto& request) {
            ++calls;
            respond(request);
        });
        gateway.run_to_end(gateway.send_request());
        // longer than the backoff after a rejection
        gateway.run_for(200ms);
        for (int i = 0; i < 3; ++i) {
            const auto refused = gateway.send_request();
            gateway.run_to_end(refused);
            CHECK(refused->status == 503);
            CHECK(refused->body.find("turned_away") != std::string::npos);
            const double delay = std::stod("0" + std::string{refused->headers.find("Retry-After")});
            CHECK(delay > 1);
            CHECK(delay <= 20);
        }
        CHECK(calls == 1);
        CHECK(gateway.events("request_waits") == 0);
        CHECK(gateway.events("endpoint_turned_away") == 1);
    }
}

// guards against giving up a request that could be served in time
TEST_CASE("endpoint that turns away for a short time: a request doesn't wait for it")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
    int calls = 0;
    gateway.add_endpoint("a", [&](const auto& request) {
        if (++calls == 1) {
            turn_away("0.2")(request);
            return;
        }
        request->respond(200, response_headers(), "answer");
    });
    gateway.run_to_end(gateway.send_request());
    const auto response = gateway.send_request();
    gateway.run_for(250ms);
    gateway.release("a");
    gateway.run_to_end(response);
    CHECK(response->status == 200);
    CHECK(calls == 2);
}

// guards against a delay that an endpoint sends by mistake
TEST_CASE("endpoint that turns away: an invalid delay is obeyed, or not reported")
{
    for (const std::string delay : {"-1", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "86400"}) {
        CAPTURE(delay);
        gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
        gateway.add_endpoint("a", turn_away(delay));
        gateway.run_to_end(gateway.send_request());
        CHECK(gateway.events("endpoint_statement_malformed") == 1);
        CHECK(gateway.events("endpoint_turned_away") == (delay == "86400" ? 1 : 0));
    }
}
