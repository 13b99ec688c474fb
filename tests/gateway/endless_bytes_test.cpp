#include "gateway/endless_server.h"
#include "gateway/gateway_fixture.h"
#include "gateway/http/http_client.h"
#include "gateway/limits/memory_budget.h"
#include "gateway/serving/health_prober.h"
#include "platform/headers.h"
#include "platform/store_client.h"

#include <algorithm> // max
#include <cstddef>   // size_t
#include <memory>    // make_shared, shared_ptr
#include <optional>  // optional
#include <string>    // string
#include <variant>   // get_if
#include <vector>    // vector

#include <doctest/doctest.h>

// Bytes without an end in each place of a response. They guard against LOST and FAULT: a gateway
// that kept them was killed for its memory, with all requests that it had open.

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t budget_bytes = 16'777'216;

/// The budget's largest buffer, or the limit of a head, and what the kernel's buffers take.
constexpr std::size_t allowed_bytes = 33'554'432;

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string sealed =
    "X-Hickorykeel-Attempt-Id: " + id + "\r\nX-Hickorykeel-Response-Seal: seal\r\n";
const std::string rejected = "X-Hickorykeel-Not-Executed: 1\r\n";

struct endless_case {
    std::string place;
    endless_bytes bytes;
};

/// Runs the loop until `is_done`, or for `limit`. Returns whether it is done.
template <typename Condition>
bool run_until(asio::io_context& loop, Condition is_done, duration limit = test_timeout)
{
    const time_point end = boot_clock::now() + limit;
    while (!is_done() && boot_clock::now() < end) {
        loop.restart();
        loop.run_one_for(10ms);
    }
    return is_done();
}

/// A call to an `endless_server` that takes bodies as they arrive.
struct endless_call {
    explicit endless_call(const endless_bytes& sent) : server{loop, sent}
    {
        client.set_memory(budget);
        connection = client.call({.address = server.address()}, format_request("GET", "/", {}, {}),
                                 {.on_body =
                                      [this](std::string& bytes) {
                                          body_bytes += bytes.size();
                                          bytes = {};
                                      },
                                  .on_end = [this](call_end how) { end = how; }});
    }

    /// Runs the loop until `is_done` and returns the most that the budget held in the meantime.
    template <typename Condition>
    std::size_t most_held(Condition is_done, duration limit)
    {
        std::size_t most = 0;
        run_until(
            loop,
            [&] {
                most = std::max(most, budget->used());
                return is_done();
            },
            limit);
        return most;
    }

    asio::io_context loop{1};
    std::shared_ptr<memory_budget> budget = std::make_shared<memory_budget>(budget_bytes);
    endless_server server;
    http_client client{loop};
    std::shared_ptr<client_connection> connection;
    std::optional<call_end> end;
    std::size_t body_bytes = 0;
};

} // namespace

TEST_CASE("a head or a trailer without an end ends the call")
{
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    const std::vector<endless_case> cases{
        {"reason", {"HTTP/1.1 200 ", "x"}},
        {"field name", {ok, "x"}},
        {"field value", {ok + "A: ", "x"}},
        {"fields", {ok, "A: b\r\n"}},
        {"informational responses", {"", "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"}},
        {"empty lines before the head", {"", "\r\n"}},
        {"trailer name", {chunked, "x"}},
        {"trailer value", {chunked + "A: ", "x"}},
        {"trailer fields", {chunked, "A: b\r\n"}},
        {"no HTTP", {"", "x"}},
    };
    for (const endless_case& tested : cases) {
        CAPTURE(tested.place);
        endless_call call{tested.bytes};
        const std::size_t most = call.most_held([&] { return call.end.has_value(); }, 5s);
        CHECK(call.end.has_value());
        CHECK(call.server.most_bytes() < allowed_bytes);
        CHECK(most < 1'048'576);
    }
}

TEST_CASE("of a chunk's extension without an end nothing is kept")
{
    endless_call call{{ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x"}};
    const auto is_sent = [&] { return call.server.most_bytes() >= endless_server::max_bytes; };
    const std::size_t most =
        call.most_held([&] { return call.end.has_value() || is_sent(); }, test_timeout);
    CHECK(most < 1'048'576);
    CHECK(call.body_bytes == 0);
    // its owner has a deadline
    call.connection->cancel();
    CHECK(run_until(call.loop, [&] { return call.server.closed() == 1; }));
}

TEST_CASE("regression: a body without an end costs its attempt only")
{
    const std::vector<endless_case> cases{
        {"without length", {ok + sealed + "\r\n", "x"}},
        {"in chunks", {ok + sealed + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"}},
        {"with a length", {ok + sealed + "Content-Length: 1000000000\r\n\r\n", "x"}},
        {"of a failure", {"HTTP/1.1 500 X\r\n" + sealed + "\r\n", "x"}},
        {"of a rejection", {"HTTP/1.1 503 X\r\n" + sealed + rejected + "\r\n", "x"}},
        {"of a misdirected request", {"HTTP/1.1 421 X\r\n" + sealed + "\r\n", "x"}},
        {"of another request", {ok + "\r\n", "x"}},
    };
    for (const request_kind kind : {request_kind::non_idempotent, request_kind::streaming}) {
        for (const endless_case& tested : cases) {
            CAPTURE(tested.place);
            const auto budget = std::make_shared<memory_budget>(budget_bytes);
            gateway_fixture gateway{make_route(kind, 1)};
            gateway.set_memory(budget);
            endless_server server{gateway.loop(), tested.bytes};
            gateway.add_endpoint_at("a", server.port());
            const auto response = gateway.send_request();
            std::size_t most = 0;
            gateway.run_until([&] {
                most = std::max(most, budget->used());
                return response->end.has_value();
            });
            // it may have run, unless a whole response says otherwise
            CHECK(response->status == 502);
            CHECK(server.most_bytes() < allowed_bytes);
            CHECK(most <= budget_bytes);
            gateway.run_until([&] { return budget->used() < 65'536; });
        }
    }
}

TEST_CASE("regression: another host's answer without an end costs its attempt only")
{
    const auto budget = std::make_shared<memory_budget>(budget_bytes);
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 1)};
    gateway.set_memory(budget);
    gateway.add_host([](const std::shared_ptr<server_exchange>& request) {
        header_list headers = response_headers();
        headers.add(std::string{refusal_header}, "overloaded");
        headers.add(std::string{refused_id_header}, id);
        headers.add(std::string{ran_header}, "no");
        request->begin(503, headers);
        request->send(std::string(budget_bytes, 'x'));
    });
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->status == 502);
    gateway.run_until([&] { return budget->used() < 65'536; });
}

TEST_CASE("a probe's answer without an end is dropped and ended")
{
    asio::io_context loop{1};
    const auto budget = std::make_shared<memory_budget>(budget_bytes);
    http_client client{loop};
    client.set_memory(budget);
    const protocol_adapter adapter = platform::make_protocol_adapter();
    event_log log{loop, "host", {.request_lines_per_s = 0}};
    const health_prober prober{{loop, client, adapter, log}};
    endless_server server{loop, {ok + "X-Hickorykeel-Instance-Id: i-1\r\n\r\n", "x"}};
    endpoint_entry entry;
    entry.id = "i-1";
    entry.address = server.address();
    bool is_warm = false;
    prober.probe(entry, "/healthz", {.on_warm = [&] { is_warm = true; }});
    std::size_t most = 0;
    CHECK(run_until(loop, [&] {
        most = std::max(most, budget->used());
        return server.closed() == 1;
    }));
    CHECK_FALSE(is_warm);
    CHECK(most < 1'048'576);
}

TEST_CASE("regression: an answer of the store without an end fails the read")
{
    asio::io_context loop{1};
    http_client client{loop};
    endless_server server{loop, {ok + "\r\n", "x"}};
    platform::store_client store{loop, client, server.address()};
    std::optional<result<published_changes>> received;
    store.read({}, [&](result<published_changes> changes) { received = std::move(changes); });
    CHECK(run_until(loop, [&] { return received.has_value(); }));
    CHECK(std::get_if<error>(&*received) != nullptr);
    CHECK(server.most_bytes() < allowed_bytes);
    CHECK(run_until(loop, [&] { return server.closed() == 1; }));
}
