#include "gateway/serving/exchange.h"

#include "gateway/gateway_fixture.h"
#include "gateway/http/http_server.h"
#include "gateway/routes.h"
#include "gateway/scripted_endpoint.h"

#include <chrono>     // milliseconds, seconds
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // make_shared, make_unique
#include <optional>   // optional
#include <string>     // string
#include <utility>    // exchange
#include <vector>     // vector

#include <doctest/doctest.h>
#include <fmt/format.h> // format

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

namespace {

/// Endpoint that sends complete responses and records the requests.
class recording_endpoint {
public:
    gateway_fixture::behaviour behaviour()
    {
        return [this](const std::shared_ptr<server_exchange>& request) {
            m_heads.push_back(request->head());
            m_bodies.push_back(request->body());
            request->respond(200, response_headers(), "answer");
        };
    }

    [[nodiscard]] const std::vector<message_head>& heads() const { return m_heads; }
    [[nodiscard]] const std::vector<std::string>& bodies() const { return m_bodies; }

private:
    std::vector<message_head> m_heads;
    std::vector<std::string> m_bodies;
};

void cut(const std::shared_ptr<server_exchange>& request)
{
    request->abort_response();
}

void reject(const std::shared_ptr<server_exchange>& request)
{
    header_list headers = response_headers();
    headers.add("X-Hickorykeel-Not-Executed", "1");
    request->respond(503, headers, {});
}

void fail(const std::shared_ptr<server_exchange>& request)
{
    request->respond(500, response_headers(), "failure");
}

void truncate(const std::shared_ptr<server_exchange>& request)
{
    request->begin(200, response_headers());
    request->send("ans");
    request->abort_response();
}

void respond_to_another(const std::shared_ptr<server_exchange>& request)
{
    request->respond(200, response_headers("0000000000000001"), "of another request");
}

void respond_unsealed(const std::shared_ptr<server_exchange>& request)
{
    header_list headers;
    headers.add("X-Hickorykeel-Attempt-Id", id);
    request->respond(200, headers, "not sealed");
}

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

TEST_CASE("an unknown key is refused")
{
    gateway_fixture gateway{make_route(request_kind::safe, 1)};
    gateway.publish(2, {"another"});
    const auto response = gateway.send_request("GET", {});
    gateway.run_to_end(response);
    CHECK(response->status == 401);
}

TEST_CASE("an interrupted stream is resumed at another endpoint after its last complete event")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    std::string resumed_at;
    gateway.add_endpoint("a", [](const std::shared_ptr<server_exchange>& request) {
        request->begin(200, response_headers());
        request->send("id: 1\ndata: a\n\nid: 2\nda");
        request->abort_response();
    });
    gateway.add_endpoint("b", [&](const std::shared_ptr<server_exchange>& request) {
        resumed_at = request->head().headers.find("Last-Event-ID");
        request->begin(200, response_headers());
        request->send("id: 2\ndata: b\n\n");
        request->end();
    });
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->end == call_end::complete);
    CHECK(response->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(resumed_at == "1");
}

TEST_CASE("lost endpoints at full load: an interrupted stream waits for a free slot")
{
    route served = make_route(request_kind::streaming, 2, true);
    served.objective = 100ms;
    gateway_fixture gateway{served};
    std::shared_ptr<server_exchange> running;
    gateway.add_endpoint("a", [&](const std::shared_ptr<server_exchange>& request) {
        running = request;
        request->begin(200, response_headers());
        request->send("id: 1\ndata: a\n\n");
    });
    const auto response = gateway.send_request();
    gateway.run_until([&] { return !response->body.empty(); });
    gateway.add_endpoint("b", [&](const std::shared_ptr<server_exchange>& request) {
        CHECK(request->head().headers.find("Last-Event-Id") == "1");
        request->begin(200, response_headers());
        request->send("id: 2\ndata: b\n\n");
        request->end();
    });
    gateway.remove_endpoint("a");
    gateway.occupy("b");
    // wait longer than a new request may
    const time_point wait_started = boot_clock::now();
    gateway.run_until([&] { return boot_clock::now() - wait_started > served.objective; });
    running->abort_response();
    gateway.run_until([&] { return gateway.waiting() > 0 || response->end.has_value(); });
    gateway.release("b");
    gateway.run_to_end(response);
    CHECK(response->end == call_end::complete);
    CHECK(response->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_CASE("an interrupted stream that isn't resumable breaks the caller's connection")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2)};
    recording_endpoint other;
    gateway.add_endpoint("a", [](const std::shared_ptr<server_exchange>& request) {
        request->begin(200, response_headers());
        request->send("id: 1\ndata: a\n\n");
        request->abort_response();
    });
    gateway.add_endpoint("b", other.behaviour());
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->end == call_end::broken);
    CHECK(other.heads().empty());
}

TEST_CASE("regression: no refusal is sent after a response has started")
{
    // a key was withdrawn between a stream's first events and its resumption, and the head of the
    // refusal was sent in the middle of the stream
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    std::shared_ptr<server_exchange> running;
    recording_endpoint other;
    gateway.add_endpoint("a", [&](const std::shared_ptr<server_exchange>& request) {
        running = request;
        request->begin(200, response_headers());
        request->send("id: 1\ndata: a\n\n");
    });
    gateway.add_endpoint("b", other.behaviour());
    const auto response = gateway.send_request();
    gateway.run_until([&] { return !response->body.empty(); });
    gateway.publish(2, {"another"});
    running->abort_response();
    gateway.run_to_end(response);
    CHECK(response->end == call_end::broken);
    CHECK(response->body == "id: 1\ndata: a\n\n");
    CHECK(other.heads().empty());
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

TEST_CASE("regression: hops between overloaded regions use the retry budget once an endpoint was "
          "reached")
{
    struct refusal_case {
        std::string reached;
        int max_hops;
    };
    for (const refusal_case& refusal : {refusal_case{"yes", 2}, refusal_case{"no", 4}}) {
        CAPTURE(refusal.reached);
        gateway_fixture gateway{make_route(request_kind::safe, 2)};
        int hops = 0;
        gateway.add_host([&hops, &refusal](const auto& request) {
            ++hops;
            header_list headers;
            headers.add(std::string{refusal_header}, "rejected");
            headers.add(std::string{refused_id_header}, id);
            headers.add(std::string{ran_header}, "no");
            headers.add(std::string{reached_header}, refusal.reached);
            request->respond(503, headers, {});
        });
        const auto response = gateway.send_request();
        gateway.run_to_end(response);
        CHECK(response->status == 503);
        CHECK(hops == refusal.max_hops);
    }
}

TEST_CASE("a host that refuses a forwarded request says whether an endpoint was reached")
{
    gateway_fixture gateway{make_route(request_kind::safe, 2)};
    SUBCASE("it was")
    {
        gateway.add_endpoint("i-1", reject);
        const auto response = gateway.send_request("POST", "question", "other");
        gateway.run_to_end(response);
        CHECK(response->status == 503);
        CHECK(response->headers.find(reached_header) == "yes");
        CHECK(response->headers.find(refused_id_header) == id);
    }
    SUBCASE("there is none")
    {
        const auto response = gateway.send_request("POST", "question", "other");
        gateway.run_to_end(response);
        CHECK(response->status == 503);
        CHECK(response->headers.find(reached_header) == "no");
        CHECK(response->headers.find(refused_id_header) == id);
    }
}

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

namespace {

/// Endpoint that sends a whole stream at once, of more bytes than are buffered for a slow caller.
class fast_endpoint {
public:
    gateway_fixture::behaviour behaviour()
    {
        return [this](const std::shared_ptr<server_exchange>& request) {
            request->begin(200, response_headers());
            request->send(m_events);
            request->end();
        };
    }

    [[nodiscard]] const std::string& events() const { return m_events; }

private:
    std::string m_events = [] {
        std::string events;
        for (int i = 1; i <= 250; ++i) {
            events += fmt::format("id: {}\ndata: {}\n\n", i, std::string(65'000, 'x'));
        }
        return events;
    }();
};

/// Runs the loop until the caller has received a part of the response, which it then stops reading
/// for `span`.
void delay_reading(gateway_fixture& gateway, const received_response& response, duration span)
{
    gateway.run_until([&response] { return !response.body.empty(); });
    gateway.pause_caller();
    gateway.run_for(span);
    gateway.resume_caller();
}

} // namespace

// guards against LOST: once the caller had fallen behind, its stream was read again only by a
// timer, for most routes at the deadline
TEST_CASE("regression: a stream goes on as soon as a slow caller has caught up")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 1)};
    fast_endpoint endpoint;
    gateway.add_endpoint("a", endpoint.behaviour());
    const auto response = gateway.send_request();
    delay_reading(gateway, *response, 300ms);
    const time_point resumed = boot_clock::now();
    gateway.run_to_end(response);
    CHECK(response->end == call_end::complete);
    CHECK((response->body == endpoint.events()));
    CHECK(boot_clock::now() - resumed < 2s); // the deadline is 5 s after the start
}

// guards against LOST: while this host itself didn't read a stream, its endpoint counted as silent
TEST_CASE("regression: an endpoint isn't silent while its stream is held back for a slow caller")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    fast_endpoint endpoint;
    recording_endpoint other;
    gateway.add_endpoint("a", endpoint.behaviour());
    gateway.add_endpoint("b", other.behaviour());
    const auto response = gateway.send_request();
    delay_reading(gateway, *response, 1'500ms);
    gateway.run_to_end(response);
    CHECK(response->end == call_end::complete);
    CHECK((response->body == endpoint.events()));
    CHECK(other.heads().empty());
}

// guards against REFUSED and TWICE: an earlier refusal that an endpoint repeated on a kept
// connection counted as the refusal of the request that was running there
TEST_CASE("regression: a refusal of another request doesn't count as not executed")
{
    const std::vector<std::string> refusals{
        format_answer("503 Service Unavailable", another_id, rejection_line),
        format_answer("421 Misdirected Request", another_id),
        "HTTP/1.1 503 Service Unavailable\r\n" + rejection_line + "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" +
            format_answer("429 Too Many Requests", another_id, rejection_line),
    };
    for (const std::string& refusal : refusals) {
        CAPTURE(refusal);
        for (const auto kind : {request_kind::non_idempotent, request_kind::safe}) {
            const bool is_safe = kind == request_kind::safe;
            CAPTURE(is_safe);
            gateway_fixture gateway{make_route(kind, 2)};
            recording_endpoint other;
            scripted_endpoint faulty{gateway, "a",
                                     [&](std::size_t) { return scripted_endpoint::step{refusal}; }};
            gateway.add_endpoint("b", other.behaviour());
            const auto response = gateway.send_request();
            gateway.run_to_end(response);
            CHECK(response->status == (is_safe ? 200 : 502));
            CHECK_FALSE(response->headers.contains("Retry-After"));
            CHECK(other.heads().size() == (is_safe ? 1 : 0));
            CHECK(faulty.requests() == 1);
            // the response to the request may follow on the connection
            gateway.run_until([&] { return faulty.closed() == 1; });
        }
    }
}

// guards against REFUSED and TWICE: a request that another host sent twice was refused twice by the
// same bytes of an endpoint, and ran the second time
TEST_CASE("regression: a repeated refusal of a forwarded request isn't taken for its next one")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
    scripted_endpoint faulty{
        gateway, "a", [](std::size_t connection) {
            return scripted_endpoint::step{
                connection == 1 ? format_answer("503 Service Unavailable", id, rejection_line)
                                : format_answer("200 OK", id, {}, "answer")};
        }};
    const auto refused = gateway.send_request("POST", "question", "other");
    gateway.run_to_end(refused);
    CHECK(refused->status == 503);
    const auto response = gateway.send_request("POST", "question", "other");
    gateway.run_to_end(response);
    CHECK(faulty.requests() == 2);
    CHECK(response->status == 200);
    CHECK(response->body == "answer");
}

// guards against REFUSED and TWICE: a host's refusal had no id, so that it could count for any
// request
TEST_CASE("regression: a host's refusal of another request doesn't count as not executed")
{
    for (const std::string& refused_id : {another_id, std::string{}, id}) {
        CAPTURE(refused_id);
        const bool is_own = refused_id == id;
        gateway_fixture gateway{make_route(request_kind::non_idempotent, 2)};
        int hops = 0;
        gateway.add_host([&](const auto& request) {
            ++hops;
            header_list headers;
            headers.add(std::string{refusal_header}, "overloaded");
            headers.add(std::string{refused_id_header}, refused_id);
            headers.add(std::string{ran_header}, "no");
            headers.add(std::string{reached_header}, "yes");
            request->respond(503, headers, {});
        });
        const auto response = gateway.send_request();
        gateway.run_to_end(response);
        CHECK(response->status == (is_own ? 503 : 502));
        CHECK(hops == (is_own ? 2 : 1));
    }
}

namespace {

const std::string first_event = "id: 1\ndata: a\n\n";
const std::string second_event = "id: 2\ndata: b\n\n";

/// Formats the head of a response whose body ends with the connection.
std::string format_open_head(const std::string& status)
{
    return "HTTP/1.1 " + status + "\r\nX-Hickorykeel-Attempt-Id: " + id +
           "\r\nX-Hickorykeel-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n";
}

std::string format_chunked(const std::string& body)
{
    std::string message = "HTTP/1.1 200 OK\r\nX-Hickorykeel-Attempt-Id: " + id +
                          "\r\nX-Hickorykeel-Response-Seal: seal\r\nTransfer-Encoding: "
                          "chunked\r\nContent-Type: Text/Event-Stream; charset=utf-8\r\n\r\n";
    if (!body.empty()) {
        message += fmt::format("{:x}\r\n{}\r\n", body.size(), body);
    }
    return message + "0\r\n\r\n";
}

void break_off_after_first_event(const std::shared_ptr<server_exchange>& request)
{
    request->begin(200, response_headers());
    request->send(first_event + "id: 2\nda");
    request->abort_response();
}

} // namespace

// guards against ORDER and MIXED: a stream that had broken off ended as complete, or with bytes that
// are no event, because the endpoint where it was resumed sent no rest of the stream
TEST_CASE("regression: a resumed stream is complete only if its rest is a stream")
{
    struct resumption {
        std::string name;
        scripted_endpoint::step response;
        bool is_complete;
        std::string relayed;
    };
    const std::string own_head = format_answer("503 Service Unavailable", id);
    const std::string json_line = "Content-Type: application/json\r\n";
    const std::vector<resumption> resumptions{
        {"500", {format_answer("500 Error", id, {}, second_event)}, false, {}},
        {"503", {format_answer("503 Error", id, {}, second_event)}, false, {}},
        {"rejection", {format_answer("503 Error", id, rejection_line, second_event)}, false, {}},
        {"404", {format_answer("404 Not Found", id, {}, second_event)}, false, {}},
        {"204", {format_answer("204 No Content", id)}, false, {}},
        {"another success", {format_answer("202 Accepted", id, {}, second_event)}, false, {}},
        {"no event stream", {format_answer("200 OK", id, json_line, second_event)}, false, {}},
        {"empty, no event stream", {format_answer("200 OK", id, json_line)}, false, {}},
        {"text of an error", {format_answer("200 OK", id, {}, "error\n\n")}, false, {}},
        {"empty up to the end of the connection", {format_open_head("200 OK"), true}, false, {}},
        {"ends inside an event",
         {format_open_head("200 OK") + second_event + "id: 3\nda", true},
         false,
         second_event},
        {"a second head follows",
         {format_open_head("200 OK") + second_event + own_head, true},
         false,
         second_event},
        {"a second head instead of events",
         {format_open_head("200 OK") + own_head, true},
         false,
         {}},
        {"events up to the end of the connection",
         {format_open_head("200 OK") + second_event, true},
         true,
         second_event},
        {"events in chunks", {format_chunked(second_event)}, true, second_event},
        {"no further event", {format_chunked({})}, true, {}},
    };
    for (const resumption& resumed : resumptions) {
        CAPTURE(resumed.name);
        gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
        gateway.add_endpoint("a", break_off_after_first_event);
        scripted_endpoint other{gateway, "b", [&](std::size_t) { return resumed.response; }};
        const auto response = gateway.send_request();
        gateway.run_to_end(response);
        CHECK(other.requests() == 1);
        CHECK(response->end == (resumed.is_complete ? call_end::complete : call_end::broken));
        CHECK(response->body == first_event + resumed.relayed);
    }
}

// guards against MIXED: the head of another response in a stream that ends with its connection was
// relayed as an event
TEST_CASE("regression: a stream with bytes that are no event is broken off or resumed")
{
    for (const bool is_resumable : {false, true}) {
        CAPTURE(is_resumable);
        gateway_fixture gateway{make_route(request_kind::streaming, 2, is_resumable)};
        std::string resumed_at;
        scripted_endpoint faulty{gateway, "a", [](std::size_t) {
                                     return scripted_endpoint::step{
                                         format_open_head("200 OK") + first_event +
                                             format_answer("503 Service Unavailable", id),
                                         true};
                                 }};
        gateway.add_endpoint("b", [&](const std::shared_ptr<server_exchange>& request) {
            resumed_at = request->head().headers.find("Last-Event-Id");
            request->begin(200, response_headers());
            request->send(second_event);
            request->end();
        });
        const auto response = gateway.send_request();
        gateway.run_to_end(response);
        CHECK(response->end == (is_resumable ? call_end::complete : call_end::broken));
        CHECK(response->body == (is_resumable ? first_event + second_event : first_event));
        CHECK(resumed_at == (is_resumable ? "1" : ""));
    }
}

// guards against ORDER: events before a repeated one in the same bytes were missing in the stream
TEST_CASE("regression: no event is missing after a repeated event")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    std::string resumed_at;
    scripted_endpoint faulty{gateway, "a", [](std::size_t) {
                                 return scripted_endpoint::step{
                                     format_chunked(first_event + second_event + second_event)};
                             }};
    gateway.add_endpoint("b", [&](const std::shared_ptr<server_exchange>& request) {
        resumed_at = request->head().headers.find("Last-Event-Id");
        request->begin(200, response_headers());
        request->send("id: 3\ndata: c\n\n");
        request->end();
    });
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->end == call_end::complete);
    CHECK(response->body == first_event + second_event + "id: 3\ndata: c\n\n");
    CHECK(resumed_at == "2");
}

// guards against BUDGET: each request with a part that crashes engines was sent to the next engine
TEST_CASE("regression: a request whose prompt crashes engines is refused without being sent")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 1)};
    const auto stream = [](const std::shared_ptr<server_exchange>& request) {
        request->begin(200, response_headers());
        request->send("id: 1\ndata: a\n\n");
        request->end();
    };
    SUBCASE("its tokens are stated") {}
    SUBCASE("its tokens are not stated")
    {
        gateway.set_states_tokens(false);
    }
    gateway.set_prompt("bad:10,5:10,1:10");
    for (const std::string endpoint : {"a", "b", "c"}) {
        gateway.add_endpoint(endpoint, cut);
        const auto crashed = gateway.send_request();
        gateway.run_to_end(crashed);
        CHECK(crashed->status == 502);
        gateway.remove_endpoint(endpoint);
        gateway.run_for(prompt_quarantine_options{}.separation);
    }
    int sent = 0;
    gateway.add_endpoint("d", [&](const auto& request) {
        ++sent;
        stream(request);
    });
    gateway.set_prompt("5:10,2:10");
    const auto sound = gateway.send_request();
    gateway.run_to_end(sound);
    CHECK(sound->end == call_end::complete);
    gateway.quarantine().update(boot_clock::now());
    gateway.set_prompt("bad:10,7:10,3:10");
    const auto tainted = gateway.send_request();
    gateway.run_to_end(tainted);
    CHECK(tainted->status == 503);
    CHECK(tainted->body.find("prompt_quarantined") != std::string::npos);
    CHECK(tainted->headers.contains("Retry-After"));
    CHECK(sent == 1);
}

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
