#include "gateway/endpoint_behaviours.h"
#include "gateway/gateway_fixture.h"
#include "gateway/http/http_server.h"
#include "gateway/routes.h"
#include "gateway/scripted_endpoint.h"
#include "gateway/serving/exchange.h"

#include <chrono>  // milliseconds, seconds
#include <cstddef> // size_t
#include <memory>  // shared_ptr
#include <string>  // string
#include <vector>  // vector

#include <doctest/doctest.h>
#include <fmt/format.h> // format

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

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
