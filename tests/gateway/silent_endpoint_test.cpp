#include "gateway/endpoint_behaviours.h"
#include "gateway/gateway_fixture.h"
#include "gateway/http/http_server.h"
#include "gateway/routes.h"
#include "gateway/serving/exchange.h"

#include <chrono>  // milliseconds
#include <cstddef> // size_t
#include <memory>  // shared_ptr
#include <string>  // string
#include <utility> // exchange
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

namespace {

/// Endpoint that starts a stream of two events and is silent between them until told to go on.
class pausing_endpoint {
public:
    gateway_fixture::behaviour behaviour()
    {
        return [this](const std::shared_ptr<server_exchange>& request) {
            m_running.push_back(request);
            request->set_on_disconnect([this] { ++m_cancelled; });
            request->begin(200, response_headers());
            request->send("id: 1\ndata: a\n\n");
        };
    }

    /// Ends all streams with their second event.
    void go_on()
    {
        for (const auto& request : std::exchange(m_running, {})) {
            request->send("id: 2\ndata: b\n\n");
            request->end();
        }
    }

    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    [[nodiscard]] int cancelled() const { return m_cancelled; }

private:
    std::vector<std::shared_ptr<server_exchange>> m_running;
    int m_cancelled = 0;
};

const std::string both_events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

} // namespace

// guards against LOST: streams of a sound endpoint that fell silent for a second were cancelled,
// and then broken off because no other endpoint could take them
TEST_CASE("regression: a silent endpoint's stream isn't ended while no other endpoint is free")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    pausing_endpoint silent;
    recording_endpoint other;
    gateway.add_endpoint("a", silent.behaviour());
    const auto response = gateway.send_request();
    gateway.run_until([&] { return !response->body.empty(); });
    SUBCASE("there is no other one") {}
    SUBCASE("the other one is full")
    {
        gateway.add_endpoint("b", other.behaviour());
        gateway.occupy_all();
    }
    SUBCASE("the key has been withdrawn")
    {
        gateway.add_endpoint("b", other.behaviour());
        gateway.publish(2, {"another"});
    }
    SUBCASE("the route has been removed")
    {
        gateway.add_endpoint("b", other.behaviour());
        gateway.remove_route(2);
    }
    gateway.run_until([&] { return gateway.kept_attempts() == 1; });
    CHECK(silent.cancelled() == 0);
    silent.go_on();
    gateway.run_to_end(response);
    CHECK(response->end == call_end::complete);
    CHECK(response->body == both_events);
    CHECK(other.heads().empty());
}

TEST_CASE("regression: a silent endpoint's streams aren't ended once the retry budget is empty")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    gateway.set_retry_slack(4); // of two hosts that may exist: two retries
    pausing_endpoint silent;
    int moved = 0;
    gateway.add_endpoint("a", silent.behaviour());
    std::vector<std::shared_ptr<received_response>> responses;
    for (int i = 0; i < 3; ++i) {
        responses.push_back(gateway.send_request());
        gateway.run_until([&] { return !responses.back()->body.empty(); });
    }
    gateway.add_endpoint("b", [&](const std::shared_ptr<server_exchange>& request) {
        ++moved;
        request->begin(200, response_headers());
        request->send("id: 2\ndata: b\n\n");
        request->end();
    });
    gateway.run_until([&] { return moved > 0 && gateway.kept_attempts() == 2; });
    CHECK(moved == 1);
    CHECK(silent.cancelled() == 1);
    silent.go_on();
    for (const auto& response : responses) {
        gateway.run_to_end(response);
        CHECK(response->end == call_end::complete);
        CHECK(response->body == both_events);
    }
}

TEST_CASE("regression: a safe request isn't ended before a silent endpoint's response if it can't "
          "be sent elsewhere")
{
    gateway_fixture gateway{make_route(request_kind::safe, 2)};
    std::shared_ptr<server_exchange> running;
    gateway.add_endpoint("a", [&](const auto& request) { running = request; });
    const auto response = gateway.send_request("GET", {});
    gateway.run_until([&] { return running != nullptr && gateway.kept_attempts() == 1; });
    running->respond(200, response_headers(), "answer");
    gateway.run_to_end(response);
    CHECK(response->status == 200);
    CHECK(response->body == "answer");
}

TEST_CASE("a silent endpoint's stream is resumed elsewhere as soon as another endpoint is free")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    pausing_endpoint silent;
    gateway.add_endpoint("a", silent.behaviour());
    const auto response = gateway.send_request();
    gateway.run_until([&] { return gateway.kept_attempts() == 1; });
    gateway.add_endpoint("b", [&](const std::shared_ptr<server_exchange>& request) {
        CHECK(request->head().headers.find("Last-Event-Id") == "1");
        request->begin(200, response_headers());
        request->send("id: 2\ndata: b\n\n");
        request->end();
    });
    gateway.run_to_end(response);
    CHECK(silent.cancelled() == 1);
    CHECK(response->end == call_end::complete);
    CHECK(response->body == both_events);
}

// guards against LOST: a stream was moved to an endpoint that could not be reached, after a silence
// so long that no time was left to wait for another one
TEST_CASE("regression: a moved stream waits for a free slot if the other endpoint is unreachable")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    pausing_endpoint silent;
    gateway.add_endpoint("a", silent.behaviour());
    const auto response = gateway.send_request();
    gateway.run_until([&] { return gateway.kept_attempts() == 1; });
    gateway.add_endpoint("c", [&](const std::shared_ptr<server_exchange>& request) {
        request->begin(200, response_headers());
        request->send("id: 2\ndata: b\n\n");
        request->end();
    });
    gateway.occupy_all();
    gateway.run_for(serving_options{}.max_resumption_wait);
    gateway.add_unreachable_endpoint("b");
    gateway.run_until([&] { return silent.cancelled() == 1; });
    gateway.run_until([&] { return gateway.waiting() > 0 || response->end.has_value(); });
    gateway.release("c");
    gateway.run_to_end(response);
    CHECK(response->end == call_end::complete);
    CHECK(response->body == both_events);
}

// guards against LOST: the retry budget had one token, which the move took, and the other endpoint
// rejected the request
TEST_CASE("regression: a stream is moved only if a rejection leaves one more retry")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    SUBCASE("one token is left")
    {
        gateway.set_retry_slack(0);
    }
    SUBCASE("two are left")
    {
        gateway.set_retry_slack(4);
    }
    pausing_endpoint silent;
    gateway.add_endpoint("a", silent.behaviour());
    const auto response = gateway.send_request();
    gateway.run_until([&] { return !response->body.empty(); });
    gateway.add_endpoint("b", [&](const std::shared_ptr<server_exchange>& request) {
        gateway.add_endpoint("c", [](const std::shared_ptr<server_exchange>& other) {
            other->begin(200, response_headers());
            other->send("id: 2\ndata: b\n\n");
            other->end();
        });
        reject(request);
    });
    gateway.run_until([&] { return gateway.kept_attempts() == 1 || response->end.has_value(); });
    silent.go_on();
    gateway.run_to_end(response);
    CHECK(response->end == call_end::complete);
    CHECK(response->body == both_events);
}

// guards against BUDGET: a long response that arrived in parts counted as silence
TEST_CASE("regression: a safe request isn't retried while its response arrives")
{
    route served = make_route(request_kind::safe, 2);
    served.objective = test_timeout;
    gateway_fixture gateway{served};
    recording_endpoint other;
    std::shared_ptr<server_exchange> running;
    gateway.add_endpoint("a", [&](const std::shared_ptr<server_exchange>& request) {
        running = request;
        request->begin(200, response_headers());
    });
    const auto response = gateway.send_request("GET", {});
    gateway.run_until([&] { return running != nullptr; });
    gateway.add_endpoint("b", other.behaviour());
    const time_point started = boot_clock::now();
    while (boot_clock::now() - started < 2 * serving_options{}.min_inactivity_timeout) {
        running->send("part");
        gateway.run_for(100ms);
    }
    running->end();
    gateway.run_to_end(response);
    CHECK(response->status == 200);
    CHECK(other.heads().empty());
}
