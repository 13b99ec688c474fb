#include "gateway/serving/exchange.h"

#include "gateway/endpoint_behaviours.h"
#include "gateway/gateway_fixture.h"
#include "gateway/routes.h"

#include <algorithm> // is_sorted
#include <chrono>    // milliseconds
#include <string>    // stod, string
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

TEST_CASE("burst on full endpoints: no request is sent if its first byte would miss the objective")
{
    route served = make_route(request_kind::non_idempotent, 1);
    served.objective = 100ms;
    gateway_fixture gateway{served};
    recording_endpoint late;
    gateway.add_endpoint("a", late.behaviour());
    gateway.slow_down("a");
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->status == 503);
    CHECK(response->headers.contains("Retry-After"));
    CHECK(response->body.find("overloaded") != std::string::npos);
    CHECK(late.heads().empty());
    CHECK(gateway.events("request_refused_at_once") == 1);
    CHECK(gateway.events("request_waits") == 0);
}

// guards against a refusal at once while an endpoint is only full for a moment
TEST_CASE("burst on full endpoints: a request waits for an endpoint that may begin in time")
{
    route served = make_route(request_kind::non_idempotent, 1);
    served.objective = 500ms;
    gateway_fixture gateway{served};
    recording_endpoint full;
    recording_endpoint late;
    gateway.add_endpoint("a", full.behaviour());
    gateway.occupy("a");
    gateway.add_endpoint("b", late.behaviour());
    gateway.slow_down("b");
    const auto response = gateway.send_request();
    gateway.run_until([&] { return gateway.waiting() == 1; });
    CHECK(gateway.events("request_refused_at_once") == 0);
    gateway.release("a");
    gateway.run_to_end(response);
    CHECK(response->status == 200);
    CHECK(full.heads().size() == 1);
    CHECK(late.heads().empty());
}

// guards against a refusal of the only request that waits, though its caller has time
TEST_CASE("an endpoint that is free but slow serves a lone request late")
{
    route served = make_route(request_kind::non_idempotent, 1);
    served.objective = 800ms;
    gateway_fixture gateway{served};
    recording_endpoint slow;
    gateway.add_endpoint("a", slow.behaviour());
    gateway.slow_down("a");
    gateway.occupy("a");
    const auto response = gateway.send_request();
    gateway.run_until([&] { return gateway.waiting() == 1; });
    gateway.run_for(450ms);
    gateway.release("a"); // it is expected to take more than half of the objective
    CHECK(gateway.waiting() == 1);
    gateway.run_to_end(response);
    CHECK(response->status == 200);
    CHECK(gateway.events("request_sent_late") == 1);
}

// guards against REFUSED: "not run" of a request that was cut, and then found no place in time
TEST_CASE("a request that may have run is not refused as not run when waiting can't help it")
{
    route served = make_route(request_kind::safe, 2);
    served.objective = 100ms;
    gateway_fixture gateway{served};
    recording_endpoint late;
    gateway.add_endpoint("a", cut);
    gateway.add_endpoint("b", late.behaviour());
    gateway.slow_down("b");
    const auto response = gateway.send_request("GET", {});
    gateway.run_to_end(response);
    CHECK(response->status == 502);
    CHECK(response->body.find(R"("ran":"unknown")") != std::string::npos);
    CHECK_FALSE(response->headers.contains("Retry-After"));
    CHECK(late.heads().empty());
}

// guards against return times that follow the length of the overload where the rate is known
TEST_CASE("callers refused for want of room are told to return one after the other")
{
    route served = make_route(request_kind::non_idempotent, 1);
    served.objective = 100ms;
    gateway_fixture gateway{served};
    recording_endpoint endpoint;
    gateway.add_endpoint("a", endpoint.behaviour());
    for (int i = 0; i < 10; ++i) {
        gateway.run_to_end(gateway.send_request());
    }
    gateway.occupy("a");
    std::vector<time_point> told;
    for (int i = 0; i < 5; ++i) {
        const auto response = gateway.send_request();
        gateway.run_to_end(response);
        CHECK(response->status == 503);
        const double delay = std::stod(std::string{response->headers.find("Retry-After")});
        CHECK(delay >= 0.1);
        told.push_back(boot_clock::now() + from_seconds(delay));
    }
    CHECK(std::is_sorted(told.begin(), told.end()));
    CHECK(gateway.events("return_in_turn") == 5);
    CHECK(gateway.events("return_rate_unknown") == 0);
}

TEST_CASE("fleet restart: a request waits for heartbeats from hosts of other regions")
{
    route served = make_route(request_kind::safe, 2);
    served.home_regions = {"another"};
    gateway_fixture gateway{served};
    SUBCASE("just after the start")
    {
        gateway.restart_startup_period();
        const auto response = gateway.send_request("GET", "");
        gateway.run_until([&] { return gateway.waiting() > 0 || response->end.has_value(); });
        CHECK(gateway.waiting() == 1);
    }
    SUBCASE("after the startup period")
    {
        const auto response = gateway.send_request("GET", "");
        gateway.run_to_end(response);
        CHECK(response->status == 503);
        CHECK(response->body.find("no_endpoint") != std::string::npos);
    }
}
