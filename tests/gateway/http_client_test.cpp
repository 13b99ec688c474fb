#include "gateway/http/http_client.h"
#include "gateway/http/http_server.h"
#include "gateway/http/message.h"

#include <functional> // function
#include <memory>     // make_shared, shared_ptr
#include <optional>   // optional
#include <string>     // string, to_string
#include <utility>    // exchange, move

#include <asio/buffer.hpp>     // buffer
#include <asio/io_context.hpp> // io_context
#include <asio/ip/tcp.hpp>     // tcp
#include <asio/write.hpp>      // write
#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr duration test_timeout = 5s;

/// Client and server on one loop.
class client_fixture {
public:
    explicit client_fixture(http_server::handler on_request)
        : m_server{m_loop, std::move(on_request)}
    {
        REQUIRE(is_ok(m_server.listen("127.0.0.1:0")));
    }

    std::shared_ptr<client_connection> call(call_handlers handlers,
                                            const std::string& request_id = {})
    {
        call_options options;
        options.request_id = request_id;
        options.address = "127.0.0.1:" + std::to_string(m_server.port());
        return m_client.call(options, format_request("GET", "/", {}, {}), std::move(handlers));
    }

    /// Runs the loop until `is_done`, or for `test_timeout`. Returns whether it is done.
    bool run_until(const std::function<bool()>& is_done)
    {
        const time_point limit = boot_clock::now() + test_timeout;
        while (!is_done() && boot_clock::now() < limit) {
            m_loop.restart();
            m_loop.run_one_for(10ms);
        }
        return is_done();
    }

    [[nodiscard]] const http_client& client() const noexcept { return m_client; }

private:
    asio::io_context m_loop{1};
    http_server m_server;
    http_client m_client{m_loop};
};

} // namespace

// guards against LOST: a stream to a slow caller ended while its connection wasn't read, and the
// next request on that connection got no answer
TEST_CASE("regression: a connection is read again for its next call though the last one was paused")
{
    client_fixture fixture{
        [](const std::shared_ptr<server_exchange>& request) { request->respond(200, {}, "text"); }};
    std::optional<call_end> first;
    std::shared_ptr<client_connection> connection;
    call_handlers handlers;
    handlers.on_body = [&connection](std::string& bytes) {
        bytes.clear();
        connection->pause();
    };
    handlers.on_end = [&first](call_end end) { first = end; };
    connection = fixture.call(std::move(handlers));
    REQUIRE(fixture.run_until([&first] { return first.has_value(); }));
    CHECK(first == call_end::complete);

    std::optional<call_end> second;
    call_handlers next;
    next.on_end = [&second](call_end end) { second = end; };
    fixture.call(std::move(next));
    CHECK(fixture.run_until([&second] { return second.has_value(); }));
    CHECK(second == call_end::complete);
    CHECK(fixture.client().connections_opened() == 1);
}

TEST_CASE("an id is sent over a connection only once")
{
    client_fixture fixture{
        [](const std::shared_ptr<server_exchange>& request) { request->respond(200, {}, "text"); }};
    // Returns the number of the connection that was used.
    const auto call = [&fixture](const std::string& request_id) {
        std::optional<call_end> end;
        call_handlers handlers;
        handlers.on_end = [&end](call_end how) { end = how; };
        const auto connection = fixture.call(std::move(handlers), request_id);
        REQUIRE(fixture.run_until([&end] { return end.has_value(); }));
        return connection->number();
    };
    CHECK(call("a") == 1);
    CHECK(call("b") == 1);
    CHECK(call("a") == 2);
    // connections with the id stay open for others
    CHECK(call("c") == 2);
    CHECK(call("d") == 2);
    CHECK(call("a") == 3);

    SUBCASE("requests without an id aren't told apart")
    {
        CHECK(call("") == 3);
        CHECK(call("") == 3);
    }
    SUBCASE("a connection that can't remember more ids is closed")
    {
        for (std::size_t i = 1; i < request_id_set::capacity; ++i) {
            CHECK(call("id-" + std::to_string(i)) == 3);
        }
        CHECK(call("another") != 3);
    }
}

// guards against LOST: the limit on callers' requests was applied to what endpoints send, so that
// long streams were ended
TEST_CASE("regression: a response that is taken as it arrives has no maximum length")
{
    const std::string piece(65'536, 'x');
    constexpr std::size_t pieces = 100;
    client_fixture fixture{[&piece](const std::shared_ptr<server_exchange>& request) {
        request->begin(200, {});
        for (std::size_t i = 0; i < pieces; ++i) {
            request->send(piece);
        }
        request->end();
    }};
    std::optional<call_end> ended;
    std::size_t received = 0;
    call_handlers handlers;
    handlers.on_body = [&received](std::string& bytes) {
        received += bytes.size();
        bytes.clear();
    };
    handlers.on_end = [&ended](call_end end) { ended = end; };
    fixture.call(std::move(handlers));
    REQUIRE(fixture.run_until([&ended] { return ended.has_value(); }));
    CHECK(ended == call_end::complete);
    CHECK(received == pieces * piece.size());
}

// guards against MIXED: with a request still being sent, the write took the error of the reset, so
// that reading reported a normal end and a broken answer without a length passed for complete
TEST_CASE("regression: a response without a length that is reset isn't complete")
{
    asio::io_context loop{1};
    asio::ip::tcp::acceptor acceptor{loop, {asio::ip::address_v4::loopback(), 0}};
    asio::ip::tcp::socket server{loop};
    acceptor.async_accept(server, [&server](const asio::error_code&) {
        asio::write(server, asio::buffer(std::string{"HTTP/1.1 200 OK\r\n\r\npart"}));
    });
    http_client client{loop};
    std::optional<call_end> ended;
    std::string received;
    // more than the kernel takes for a server that doesn't read
    const auto body = std::make_shared<const std::string>(64'000'000, 'x');
    client.call(
        {.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())},
        to_outgoing_request("POST", "/", {}, body),
        {.on_body = [&received](std::string& bytes) { received += std::exchange(bytes, {}); },
         .on_end = [&ended](call_end end) { ended = end; }});
    const auto run_until = [&loop](const auto& is_done) {
        const time_point limit = boot_clock::now() + test_timeout;
        while (!is_done() && boot_clock::now() < limit) {
            loop.restart();
            loop.run_one_for(10ms);
        }
        REQUIRE(is_done());
    };
    run_until([&received] { return received == "part"; });
    server.set_option(asio::socket_base::linger{true, 0});
    server.close();
    run_until([&ended] { return ended.has_value(); });
    CHECK(ended == call_end::broken);
}
