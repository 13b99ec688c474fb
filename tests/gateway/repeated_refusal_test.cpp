#include "gateway/endpoint_behaviours.h"
#include "gateway/gateway_fixture.h"
#include "gateway/routes.h"
#include "gateway/scripted_endpoint.h"
#include "gateway/serving/exchange.h"

#include <cstddef> // size_t
#include <set>     // set
#include <string>  // string
#include <utility> // exchange, move
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;

namespace {

const std::vector<std::string> refusals{
    format_answer("421 Misdirected Request", id),
    format_answer("503 Service Unavailable", id, rejection_line),
    format_answer("429 Too Many Requests", id, rejection_line),
};

/// Endpoint that refuses the first request, runs all others, and sends a copy of the refusal in
/// place of the second response on a connection.
class repeating_endpoint {
public:
    explicit repeating_endpoint(std::string refusal) : m_refusal{std::move(refusal)} {}

    scripted_endpoint::script script()
    {
        return [this](std::size_t connection) {
            const bool is_first_request = m_requests++ == 0;
            m_runs += is_first_request ? 0 : 1;
            const bool is_first_on_connection = m_connections.insert(connection).second;
            if (is_first_request || !is_first_on_connection) {
                return scripted_endpoint::step{m_refusal};
            }
            return scripted_endpoint::step{format_answer("200 OK", id, {}, "answer")};
        };
    }

    [[nodiscard]] std::size_t runs() const noexcept { return m_runs; }

private:
    std::string m_refusal;
    std::set<std::size_t> m_connections;
    std::size_t m_requests = 0;
    std::size_t m_runs = 0;
};

} // namespace

// guards against TWICE: a retry went to a new incarnation over the connection on which the request
// had been refused, ran, and ran again elsewhere, since a copy of the refusal was taken for its own
TEST_CASE("regression: a copy of a refusal isn't taken for the refusal of a retry")
{
    for (const std::string& refusal : refusals) {
        CAPTURE(refusal);
        gateway_fixture gateway{make_route(request_kind::non_idempotent, 3)};
        gateway.set_retry_slack(100);
        repeating_endpoint repeating{refusal};
        unsigned port = 0;
        bool is_listed_again = false;
        const auto script = repeating.script();
        scripted_endpoint faulty{gateway, "a", [&](std::size_t connection) {
                                     if (!std::exchange(is_listed_again, true)) {
                                         gateway.remove_endpoint("a");
                                         gateway.add_endpoint_at("a-restarted", port);
                                     }
                                     return script(connection);
                                 }};
        port = faulty.port();
        std::size_t other_runs = 0;
        gateway.add_endpoint("b", [&](const auto& request) {
            ++other_runs;
            request->respond(200, response_headers(), "other");
        });
        const auto response = gateway.send_request();
        gateway.run_to_end(response);
        CHECK(repeating.runs() + other_runs == 1);
        CHECK(response->status == 200);
    }
}

// guards against REFUSED and TWICE: a repeat under the same id ran on the connection on which it
// had been refused, and the caller was told by a copy of the refusal that it had not run
TEST_CASE("regression: a copy of a refusal isn't taken for the refusal of a caller's repeat")
{
    for (const std::string& refusal : refusals) {
        for (const std::string& forwarded_by : {std::string{}, std::string{"other"}}) {
            CAPTURE(refusal);
            CAPTURE(forwarded_by);
            gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
            repeating_endpoint repeating{refusal};
            scripted_endpoint faulty{gateway, "a", repeating.script()};
            const auto refused = gateway.send_request("POST", "question", forwarded_by);
            gateway.run_to_end(refused);
            CHECK(refused->status == 503);
            // a misdirected request takes the endpoint out, a rejection blocks it for a moment
            gateway.remove_endpoint("a");
            gateway.add_endpoint_at("a-restarted", faulty.port());
            const auto response = gateway.send_request("POST", "question", forwarded_by);
            gateway.run_to_end(response);
            CHECK(repeating.runs() == 1);
            CHECK(response->status == 200);
            CHECK(response->body == "answer");
        }
    }
}

// guards against REFUSED: the same for a stream, which may run once
TEST_CASE("regression: a copy of a refusal isn't taken for the refusal of a repeated stream")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 1)};
    const std::string refusal = format_answer("503 Service Unavailable", id, rejection_line);
    const std::string stream =
        format_answer("200 OK", id, "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n");
    std::size_t requests = 0;
    scripted_endpoint faulty{gateway, "a", [&](std::size_t connection) {
                                 ++requests;
                                 return scripted_endpoint::step{connection == 1 ? refusal : stream};
                             }};
    const auto refused = gateway.send_request();
    gateway.run_to_end(refused);
    CHECK(refused->status == 503);
    gateway.remove_endpoint("a");
    gateway.add_endpoint_at("a-restarted", faulty.port());
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(requests == 2);
    CHECK(response->status == 200);
}

// guards against what an endpoint said earlier: a late copy of another request's refusal was read as
// said now
TEST_CASE("regression: a late response to another request says nothing of the endpoint")
{
    const std::string statements = "Server-Leaving: 1\r\nRetry-After: 5\r\nServer-Limit: 2\r\n";
    for (const bool is_own : {false, true}) {
        CAPTURE(is_own);
        gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
        scripted_endpoint faulty{gateway, "a", [&](std::size_t) {
                                     return scripted_endpoint::step{format_answer(
                                         "503 Service Unavailable", is_own ? id : another_id,
                                         rejection_line + statements)};
                                 }};
        const auto response = gateway.send_request();
        gateway.run_to_end(response);
        CHECK(response->status == (is_own ? 503 : 502));
        for (const std::string event :
             {"endpoint_leaving", "endpoint_turned_away", "endpoint_rate_named"}) {
            CAPTURE(event);
            CHECK(gateway.events(event) == (is_own ? 1 : 0));
        }
    }
}

// guards against TWICE: the same between hosts, whose refusals are matched by the id as well
TEST_CASE("a request that a host has refused goes to that host over another connection")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 2)};
    int hops = 0;
    gateway.add_host([&](const auto& request) {
        ++hops;
        refuse_as_host(request);
    });
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->status == 503);
    CHECK(hops == 2);
    CHECK(gateway.connections_opened() == 2);
}

// guards against TWICE: an informational response with a length was taken for the response itself
TEST_CASE("an informational response with a body doesn't count as a refusal")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 3)};
    gateway.set_retry_slack(100);
    const std::string hints =
        format_answer("103 Early Hints", id, rejection_line, std::string(200'000, 'x'));
    const std::string answer = format_answer("200 OK", id, {}, "answer");
    scripted_endpoint faulty{gateway, "a",
                             [&](std::size_t) { return scripted_endpoint::step{hints + answer}; }};
    std::size_t other_runs = 0;
    gateway.add_endpoint("b", [&](const auto& request) {
        ++other_runs;
        request->respond(200, response_headers(), "other");
    });
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(faulty.requests() + other_runs == 1);
}

// guards against a wrong estimate of the endpoint: the time to the late copy of another request's
// success was taken for the endpoint's time to first byte
TEST_CASE("a late response to another request says nothing of the endpoint's speed")
{
    for (const bool is_own : {false, true}) {
        CAPTURE(is_own);
        gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
        scripted_endpoint faulty{gateway, "a", [&](std::size_t) {
                                     return scripted_endpoint::step{
                                         format_answer("200 OK", is_own ? id : another_id)};
                                 }};
        const auto response = gateway.send_request();
        gateway.run_to_end(response);
        CHECK(response->status == (is_own ? 200 : 502));
        CHECK(gateway.first_bytes() == (is_own ? 1 : 0));
    }
}

// guards against ORDER: a stream that is resumed at a new incarnation used the connection that had
// carried its first part, and the copy of that part was taken for its rest
TEST_CASE("a resumed stream isn't sent over the connection that carried its first part")
{
    route served = make_route(request_kind::streaming, 2);
    served.is_resumable = true;
    gateway_fixture gateway{served};
    gateway.set_retry_slack(100);
    const std::string type = "Content-Type: text/event-stream\r\n";
    // ends within its second event
    const std::string first = format_answer("200 OK", id, type, "id: 1\ndata: a\n\nid: 2\nda");
    const std::string rest = format_answer("200 OK", id, type, "id: 2\ndata: b\n\n");
    unsigned port = 0;
    bool is_listed_again = false;
    scripted_endpoint faulty{gateway, "a", [&](std::size_t connection) {
                                 if (!std::exchange(is_listed_again, true)) {
                                     gateway.remove_endpoint("a");
                                     gateway.add_endpoint_at("a-restarted", port);
                                 }
                                 return scripted_endpoint::step{connection == 1 ? first : rest};
                             }};
    port = faulty.port();
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(faulty.requests() == 2);
    CHECK(gateway.connections_opened() == 2);
    CHECK(response->end == call_end::complete);
    CHECK(response->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}
