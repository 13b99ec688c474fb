#include "gateway/serving/health_prober.h"

#include "gateway/http/http_server.h"
#include "gateway/http/tcp_channel.h"
#include "platform/headers.h"

#include <chrono>      // milliseconds, seconds
#include <functional>  // function
#include <memory>      // make_shared, shared_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <thread>      // sleep_for
#include <utility>     // exchange, move, pair
#include <vector>      // vector

#include <asio/buffer.hpp> // buffer
#include <asio/ip/tcp.hpp> // tcp
#include <asio/write.hpp>  // write
#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

const std::string instance = "X-Hickorykeel-Instance-Id";
const std::string cold = "X-Hickorykeel-Cold-Ms";

/// Probes a local endpoint "i-1" with a given behaviour.
class probe_fixture {
public:
    explicit probe_fixture(http_server::handler behaviour)
        : m_endpoint{m_loop, std::move(behaviour)}
    {
        REQUIRE(is_ok(m_endpoint.listen("127.0.0.1:0")));
        m_entry.id = "i-1";
        m_entry.address = "127.0.0.1:" + std::to_string(m_endpoint.port());
    }

    probe_fixture(const probe_fixture&) = delete;
    probe_fixture& operator=(const probe_fixture&) = delete;
    probe_fixture(probe_fixture&&) = delete;
    probe_fixture& operator=(probe_fixture&&) = delete;

    ~probe_fixture()
    {
        m_loop.restart();
        m_loop.run_for(1ms);
    }

    /// Returns whether the prober reported the endpoint as warm.
    bool probe()
    {
        bool is_warm = false;
        m_prober.probe(m_entry, "/healthz",
                       {.on_warm = [&] { is_warm = true; },
                        .on_cold = [&](duration remaining) { m_cold_remaining = remaining; },
                        .on_head =
                            [&](const message_head& head) {
                                m_is_leaving = m_adapter.read_endpoint_statement(head).is_leaving;
                            }});
        // longer than the prober's response timeout
        m_loop.run_for(1s);
        return is_warm;
    }

    /// Time for which the endpoint has said that it is cold; 0 if it hasn't.
    [[nodiscard]] duration cold_remaining() const { return m_cold_remaining; }

    /// Whether the endpoint has said that it is leaving.
    [[nodiscard]] bool is_leaving() const { return m_is_leaving; }

private:
    bool m_is_leaving = false;
    duration m_cold_remaining{0};
    asio::io_context m_loop{1};
    http_server m_endpoint;
    http_client m_client{m_loop};
    protocol_adapter m_adapter = platform::make_protocol_adapter();
    event_log m_log{m_loop, "host", {.request_lines_per_s = 0}};
    health_prober m_prober{{m_loop, m_client, m_adapter, m_log}};
    endpoint_entry m_entry;
};

http_server::handler respond_with(int status,
                                  const std::vector<std::pair<std::string, std::string>>& fields)
{
    return [status, fields](const std::shared_ptr<server_exchange>& request) {
        header_list headers;
        for (const auto& [name, value] : fields) {
            headers.add(name, value);
        }
        request->respond(status, headers, "");
    };
}

} // namespace

TEST_CASE("evacuated endpoint: it is warm only if its own response says so")
{
    CHECK(probe_fixture{respond_with(200, {{instance, "i-1"}})}.probe());
    CHECK(probe_fixture{respond_with(200, {{instance, "i-1"}, {cold, "0"}})}.probe());
    CHECK_FALSE(probe_fixture{respond_with(200, {{instance, "i-1"}, {cold, "2400"}})}.probe());
    CHECK_FALSE(probe_fixture{respond_with(200, {{instance, "i-1"}, {cold, "soon"}})}.probe());
    CHECK_FALSE(probe_fixture{respond_with(200, {{instance, "i-2"}})}.probe());
    CHECK_FALSE(probe_fixture{respond_with(200, {})}.probe());
    CHECK_FALSE(probe_fixture{respond_with(503, {{instance, "i-1"}})}.probe());
    CHECK_FALSE(probe_fixture{[](const auto& request) { request->abort_response(); }}.probe());
}

TEST_CASE("evacuated endpoint: one that doesn't respond isn't reported as warm")
{
    std::shared_ptr<server_exchange> held;
    CHECK_FALSE(probe_fixture{[&](const auto& request) { held = request; }}.probe());
}

TEST_CASE("a probe reports the time for which the endpoint is cold")
{
    const auto found_cold = [](int status, const std::string& id, const std::string& value) {
        probe_fixture fixture{respond_with(status, {{instance, id}, {cold, value}})};
        CHECK_FALSE(fixture.probe());
        return fixture.cold_remaining();
    };
    CHECK(found_cold(200, "i-1", "2400") == 2'400ms);
    CHECK(found_cold(200, "i-1", "2400.5") == 2'400ms);
    CHECK(found_cold(200, "i-1", "9000000000000000000") == 1h);
    CHECK(found_cold(200, "i-1", "-5") == 0ms);
    CHECK(found_cold(200, "i-2", "2400") == 0ms);
    CHECK(found_cold(503, "i-1", "2400") == 0ms);
}

// guards against requests to an endpoint that only its response to a probe reports as leaving
TEST_CASE("leaving endpoint: its response to a health probe isn't heard")
{
    const auto is_leaving = [](int status, const std::string& instance) {
        probe_fixture fixture{respond_with(
            status, {{"X-Hickorykeel-Instance-Id", instance}, {"Server-Leaving", "1"}})};
        CHECK(fixture.probe() == (status == 200 && instance == "i-1"));
        return fixture.is_leaving();
    };
    CHECK(is_leaving(200, "i-1"));
    CHECK(is_leaving(503, "i-1"));
    CHECK_FALSE(is_leaving(503, "i-2"));
}

// guards against what an endpoint said earlier: a late copy of a refusal was read as the response to
// a probe
TEST_CASE("regression: a probe takes a copy of a response to a request for its own")
{
    const std::string attempt = "X-Hickorykeel-Attempt-Id";
    probe_fixture refusing{
        respond_with(503, {{attempt, "9c41d07be2a35f68"}, {"Server-Leaving", "1"}})};
    CHECK_FALSE(refusing.probe());
    CHECK_FALSE(refusing.is_leaving());
    CHECK_FALSE(probe_fixture{respond_with(200, {{attempt, "9c41d07be2a35f68"}, {instance, "i-1"}})}
                    .probe());
}

// guards against FAILBACK: an endpoint was warm when it was probed first, and is cold now. The copy of
// its first response, which names no request, arrives where the next one is due
TEST_CASE("a probe doesn't take a copy of an earlier probe's response for its own")
{
    const std::string warm = "HTTP/1.1 200 OK\r\nX-Hickorykeel-Instance-Id: i-1\r\n"
                             "X-Hickorykeel-Cold-Ms: 0\r\nContent-Length: 0\r\n\r\n";
    const std::string now_cold = "HTTP/1.1 200 OK\r\nX-Hickorykeel-Instance-Id: i-1\r\n"
                                 "X-Hickorykeel-Cold-Ms: 2400\r\nContent-Length: 0\r\n\r\n";
    asio::io_context loop{1};
    asio::ip::tcp::acceptor acceptor{loop, {asio::ip::address_v4::loopback(), 0}};
    std::vector<std::shared_ptr<tcp_channel>> channels;
    int requests = 0;
    std::function<void()> accept = [&] {
        acceptor.async_accept([&](const asio::error_code& failure, asio::ip::tcp::socket socket) {
            if (failure) {
                return;
            }
            const auto channel = std::make_shared<tcp_channel>(std::move(socket));
            channels.push_back(channel);
            channel->set_handlers({
                .on_bytes =
                    [&, channel = channel.get(), is_first = true](std::string_view) mutable {
                        const bool is_first_request = ++requests == 1;
                        const bool is_new_connection = std::exchange(is_first, false);
                        if (is_first_request || !is_new_connection) {
                            channel->send(warm);
                        }
                        if (!is_first_request) {
                            channel->send(now_cold);
                        }
                    },
                .on_end = [](channel_end) {},
            });
            channel->start_reading();
            accept();
        });
    };
    accept();
    {
        http_client client{loop};
        const protocol_adapter adapter = platform::make_protocol_adapter();
        event_log log{loop, "host", {.request_lines_per_s = 0}};
        const health_prober prober{{loop, client, adapter, log}};
        endpoint_entry entry;
        entry.id = "i-1";
        entry.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        std::string said;
        const auto probe = [&] {
            prober.probe(entry, "/healthz",
                         {.on_warm = [&] { said += "warm "; },
                          .on_cold = [&](duration) { said += "cold "; },
                          .on_head = [](const message_head&) {}});
            loop.restart();
            loop.run_for(800ms);
        };
        probe();
        probe();
        CHECK(requests == 2);
        CHECK(said == "warm cold ");
    }
    for (const auto& channel : channels) {
        channel->close();
    }
    acceptor.close();
    loop.restart();
    loop.run_for(10ms);
}

// guards against an end that is counted twice: the response and the timeout were due at once
TEST_CASE("regression: a probe ends twice if its response arrives with its timeout")
{
    asio::io_context loop{1};
    asio::ip::tcp::acceptor acceptor{loop, {asio::ip::address_v4::loopback(), 0}};
    http_client client{loop};
    const protocol_adapter adapter = platform::make_protocol_adapter();
    event_log log{loop, "host", {.request_lines_per_s = 0}};
    const health_prober prober{{loop, client, adapter, log}};
    endpoint_entry entry;
    entry.id = "i-1";
    entry.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    int ends = 0;
    prober.probe(entry, "/healthz", {.on_end = [&](std::optional<probe_failure>) { ++ends; }});
    loop.run_for(100ms);
    asio::ip::tcp::socket accepted = acceptor.accept();
    asio::write(accepted, asio::buffer(std::string{"HTTP/1.1 200 OK\r\n"
                                                   "X-Hickorykeel-Instance-Id: i-1\r\n"
                                                   "Content-Length: 0\r\n\r\n"}));
    std::this_thread::sleep_for(1s); // longer than the prober's response timeout
    loop.restart();
    loop.run_for(100ms);
    CHECK(ends == 1);
}

TEST_CASE("a probe tells a refused connection from one that the endpoint has ended")
{
    asio::io_context loop{1};
    asio::ip::tcp::acceptor acceptor{loop, {asio::ip::address_v4::loopback(), 0}};
    http_client client{loop};
    const protocol_adapter adapter = platform::make_protocol_adapter();
    event_log log{loop, "host", {.request_lines_per_s = 0}};
    const health_prober prober{{loop, client, adapter, log}};
    endpoint_entry entry;
    entry.id = "i-1";
    entry.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    std::optional<probe_failure> found;
    const auto probe = [&] {
        found.reset();
        prober.probe(entry, "/healthz",
                     {.on_failure = [&](probe_failure failure) { found = failure; }});
        loop.restart();
        loop.run_for(100ms);
    };
    probe();
    acceptor.accept().close();
    loop.restart();
    loop.run_for(100ms);
    CHECK(found == probe_failure::disconnected);
    acceptor.close();
    probe();
    CHECK(found == probe_failure::refused);
}
