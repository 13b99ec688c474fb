#include "gateway/serving/gateway.h"

#include "gateway/http/tcp_channel.h"
#include "platform/platform.h"

#include <chrono>    // milliseconds
#include <csignal>   // raise, SIGTERM
#include <stdexcept> // runtime_error
#include <string>    // string, to_string
#include <thread>    // thread

#include <asio/buffer.hpp>     // buffer, dynamic_buffer
#include <asio/io_context.hpp> // io_context
#include <asio/ip/tcp.hpp>     // tcp
#include <asio/read_until.hpp> // read_until
#include <asio/write.hpp>      // write
#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

/// Returns an address of this machine at which nobody listens.
std::string free_address()
{
    asio::io_context loop;
    asio::ip::tcp::acceptor probe{loop, {asio::ip::make_address_v4("127.0.0.1"), 0}};
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

gateway_settings make_settings()
{
    gateway_settings settings;
    settings.host = "h";
    settings.ip = "127.0.0.1";
    settings.failure_domain = "a-1";
    settings.region = "a";
    settings.callers_address = free_address();
    settings.readiness_address = free_address();
    settings.directory_address = free_address();
    settings.peers_address = free_address();
    settings.metrics_address = free_address();
    settings.source_address = free_address();
    settings.stop_grace = 500ms;
    return settings;
}

/// Returns the status line of the response to a GET request for `target`.
std::string ask(const std::string& address, const std::string& target)
{
    asio::io_context loop;
    asio::ip::tcp::socket socket{loop};
    socket.connect(*to_tcp_endpoint(address));
    asio::write(socket, asio::buffer("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"));
    std::string received;
    asio::error_code failure;
    asio::read_until(socket, asio::dynamic_buffer(received), "\r\n", failure);
    return received.substr(0, received.find('\r'));
}

} // namespace

// guards against FAULT and LOST: an exception of one handler ended the process with all its requests
TEST_CASE("regression: an unexpected exception ends one request only")
{
    const gateway_settings settings = make_settings();
    gateway_parts parts =
        platform::make_parts([&settings] { return result<gateway_settings>{settings}; });
    parts.adapter.read_caller_fields =
        [read = parts.adapter.read_caller_fields](const message_head& head) {
            if (head.target == "/failing") {
                throw std::runtime_error{"unexpected"};
            }
            return read(head);
        };
    hickorykeel::gateway::gateway tested{settings, parts};
    REQUIRE(is_ok(tested.open()));
    std::thread running{[&tested] { tested.run(); }};
    CHECK(ask(settings.callers_address, "/failing") == "HTTP/1.1 500 Internal Server Error");
    CHECK(ask(settings.callers_address, "/sound").starts_with("HTTP/1.1 400 "));
    std::raise(SIGTERM);
    running.join();
}
