#include "gateway/endpoint_behaviours.h"
#include "gateway/gateway_fixture.h"
#include "gateway/http/tcp_channel.h"
#include "gateway/routes.h"
#include "gateway/scripted_endpoint.h"

#include <cstddef> // size_t
#include <memory>  // make_unique, shared_ptr, unique_ptr
#include <string>  // string, to_string
#include <utility> // move
#include <vector>  // vector

#include <asio/ip/tcp.hpp> // tcp
#include <doctest/doctest.h>
#include <sys/socket.h> // connect

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;

namespace {

/// How a partition shows at a host.
enum class partition {
    hanging,  ///< nothing is answered any more, and no connection comes about
    reset,    ///< connections are reset, and new ones refused
    refusing, ///< connections live on, and new ones are refused
};

/// Endpoint from which the gateway can be cut off.
class severable_endpoint {
public:
    severable_endpoint(gateway_fixture& gateway, const std::string& name)
        : m_loop{gateway.loop()}, m_acceptor{m_loop, {asio::ip::address_v4::loopback(), 0}}
    {
        accept();
        gateway.add_endpoint_at(name, m_acceptor.local_endpoint().port());
    }

    severable_endpoint(const severable_endpoint&) = delete;
    severable_endpoint& operator=(const severable_endpoint&) = delete;
    severable_endpoint(severable_endpoint&&) = delete;
    severable_endpoint& operator=(severable_endpoint&&) = delete;

    ~severable_endpoint()
    {
        for (const auto& channel : m_channels) {
            channel->close();
        }
    }

    void sever(partition how)
    {
        m_is_silent = how == partition::hanging;
        if (how == partition::hanging) {
            fill_backlog();
            return;
        }
        m_acceptor.close();
        if (how == partition::reset) {
            for (const auto& channel : m_channels) {
                channel->abort();
            }
        }
    }

    [[nodiscard]] std::size_t requests() const noexcept { return m_requests; }

private:
    /// Makes the kernel drop the packets of further connections.
    void fill_backlog()
    {
        m_acceptor.cancel();
        m_acceptor.listen(0);
        for (int i = 0; i < 4; ++i) {
            auto& waiting = m_waiting.emplace_back(m_loop, asio::ip::tcp::v4());
            waiting.native_non_blocking(true);
            const auto address = m_acceptor.local_endpoint();
            static_cast<void>(::connect(waiting.native_handle(), address.data(),
                                        static_cast<socklen_t>(address.size()))); // in progress
        }
    }

    void accept()
    {
        m_acceptor.async_accept(
            [this](const asio::error_code& failure, asio::ip::tcp::socket socket) {
                if (!failure) {
                    serve(std::move(socket));
                    accept();
                }
            });
    }

    void serve(asio::ip::tcp::socket socket)
    {
        const auto channel = std::make_shared<tcp_channel>(std::move(socket));
        m_channels.push_back(channel);
        channel->set_handlers({
            .on_bytes =
                [this, channel = channel.get(),
                 received = std::string{}](std::string_view bytes) mutable {
                    received += bytes;
                    if (!received.ends_with("\r\n\r\nquestion") || m_is_silent) {
                        return;
                    }
                    ++m_requests;
                    const std::string name = "X-Hickorykeel-Attempt-Id: ";
                    const std::size_t at = received.find(name) + name.size();
                    channel->send(
                        format_answer("200 OK", received.substr(at, id.size()), {}, "answer"));
                    received.clear();
                },
            .on_end = [](channel_end) {},
        });
        channel->start_reading();
    }

    asio::io_context& m_loop;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<tcp_channel>> m_channels;
    std::vector<asio::ip::tcp::socket> m_waiting;
    std::size_t m_requests = 0;
    bool m_is_silent = false;
};

std::string attempt_id(std::size_t number)
{
    const std::string text = std::to_string(number);
    return std::string(id.size() - text.size(), '0') + text;
}

/// A host with four endpoints, beside one of the same region that reaches them.
struct region_of_two {
    explicit region_of_two(request_kind kind) : gateway{make_route(kind, 2)}
    {
        gateway.set_route_homes(2, {"r"});
        gateway.begin_path_checks();
        for (const char* name : {"i-1", "i-2", "i-3", "i-4"}) {
            endpoints.push_back(std::make_unique<severable_endpoint>(gateway, name));
        }
        REQUIRE(is_ok(peer.listen("127.0.0.2:0")));
        gateway.add_host_at(peer.port(), "r");
    }

    /// Sends `count` requests one after the other and returns how many are answered with success.
    std::size_t count_served(std::size_t count, duration pause)
    {
        std::vector<std::shared_ptr<received_response>> responses;
        for (std::size_t i = 0; i < count; ++i) {
            responses.push_back(
                gateway.send_request("POST", "question", {}, {}, attempt_id(++requests)));
            gateway.run_for(pause);
        }
        std::size_t served = 0;
        for (const auto& response : responses) {
            gateway.run_to_end(response);
            served += response->status == 200 ? 1 : 0;
        }
        return served;
    }

    gateway_fixture gateway;
    std::vector<std::unique_ptr<severable_endpoint>> endpoints;
    std::size_t forwarded = 0;
    std::size_t requests = 0;
    http_server peer{gateway.loop(), [this](const auto& request) {
                         ++forwarded;
                         const std::string attempt{
                             request->head().headers.find("X-Hickorykeel-Attempt-Id")};
                         request->respond(200, response_headers(attempt), "answer");
                     }};
};

} // namespace

// guards against RECOVER: a host that had lost its path to all endpoints never forwarded requests to
// the other host of its region, which is the only home of their data and reaches the endpoints
TEST_CASE("regression: a host without a path to endpoints has requests served by one beside it")
{
    for (const auto how : {partition::hanging, partition::reset, partition::refusing}) {
        for (const auto kind : {request_kind::safe, request_kind::non_idempotent}) {
            CAPTURE(static_cast<int>(how));
            CAPTURE(static_cast<int>(kind));
            region_of_two region{kind};
            CHECK(region.count_served(6, 5ms) == 6);
            CHECK(region.forwarded == 0);
            for (const auto& endpoint : region.endpoints) {
                endpoint->sever(how);
            }
            // the time in which the host may find out
            static_cast<void>(region.count_served(10, 300ms));
            region.gateway.set_route_homes(3, {"r"}); // the keys' lease may have ended
            constexpr std::size_t count = 30;
            // the other host serves all of its requests
            CHECK(region.count_served(count, 20ms) * 3 >= count * 2);
        }
    }
}
