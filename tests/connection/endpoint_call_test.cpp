#include "connection/endpoint_call.h"

#include <array>       // array
#include <chrono>      // seconds
#include <cstddef>     // size_t
#include <string>      // string, to_string
#include <string_view> // string_view
#include <thread>      // jthread
#include <utility>     // move
#include <variant>     // get_if, holds_alternative

#include <asio/buffer.hpp>     // buffer
#include <asio/io_context.hpp> // io_context
#include <asio/ip/tcp.hpp>     // tcp
#include <asio/write.hpp>      // write
#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace std::chrono_literals;

namespace {

/// Answers one request with literal bytes, and closes the connection in order.
class scripted_server {
public:
    explicit scripted_server(std::string bytes)
        : m_bytes{std::move(bytes)}, m_thread{[this] { serve(); }}
    {
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    void serve()
    {
        asio::ip::tcp::socket socket = m_acceptor.accept();
        std::string received;
        std::array<char, 1'024> buffer{};
        while (received.find("\r\n\r\n") == std::string::npos) {
            received.append(buffer.data(), socket.read_some(asio::buffer(buffer)));
        }
        asio::write(socket, asio::buffer(m_bytes));
        socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        asio::error_code ended; // the caller closes
        socket.read_some(asio::buffer(buffer), ended);
    }

    std::string m_bytes;
    asio::io_context m_loop;
    asio::ip::tcp::acceptor m_acceptor{m_loop, {asio::ip::address_v4::loopback(), 0}};
    std::jthread m_thread;
};

endpoint_call::outcome call(const scripted_server& server, target_kind kind)
{
    endpoint where;
    where.name = "e";
    where.address = server.address();
    link::dispatch_request request;
    request.set_method("GET");
    request.set_path("/");
    endpoint_call made{where, kind};
    return made.run(
        request, {"id", {}}, 10s, [](int, const auto&) { return true; },
        [](const char*, std::size_t) { return true; });
}

} // namespace

// guards against an answer that broke off in its head and counted as whole, with an empty body
TEST_CASE("regression: an answer that breaks off in its head is no answer")
{
    for (const std::string_view framing :
         {"Content-Length: 0\r\n\r\n", "Connection: close\r\n\r\n"}) {
        const std::string whole = "HTTP/1.1 200 OK\r\nX-Usage: 3\r\n" + std::string{framing};
        for (const target_kind kind : {target_kind::model, target_kind::service}) {
            for (std::size_t length = 0; length < whole.size(); ++length) {
                CAPTURE(whole.substr(0, length));
                const scripted_server server{whole.substr(0, length)};
                const auto outcome = call(server, kind);
                const auto* const failure = std::get_if<endpoint_call::failed>(&outcome);
                REQUIRE(failure != nullptr);
                CHECK(failure->may_have_run);
            }
            const scripted_server server{whole};
            CHECK(std::holds_alternative<endpoint_call::completed>(call(server, kind)));
        }
    }
}

// guards against an answer that is an informational response's: 103 was taken for the answer, and the
// answer itself for its body
TEST_CASE("an informational response isn't the answer")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext";
    for (const std::string status : {"100 Continue", "102 Processing", "103 Early Hints"}) {
        CAPTURE(status);
        std::string response = "HTTP/1.1 ";
        response.append(status).append("\r\n\r\n").append(answer);
        const scripted_server server{response};
        std::string seen;
        std::string body;
        endpoint where;
        where.name = "e";
        where.address = server.address();
        link::dispatch_request request;
        request.set_method("GET");
        request.set_path("/");
        endpoint_call made{where, target_kind::service};
        const auto outcome = made.run(
            request, {"id", {}}, 10s,
            [&](int code, const auto&) {
                seen += std::to_string(code) + ' ';
                return true;
            },
            [&](const char* bytes, std::size_t size) {
                body.append(bytes, size);
                return true;
            });
        CHECK(std::holds_alternative<endpoint_call::completed>(outcome));
        CHECK(seen == "200 ");
        CHECK(body == "text");
    }
}
