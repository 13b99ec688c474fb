#pragma once

#include "gateway/gateway_fixture.h"
#include "gateway/http/tcp_channel.h"

#include <cstddef>     // size_t
#include <functional>  // function
#include <memory>      // make_shared, shared_ptr
#include <string>      // string, to_string
#include <string_view> // string_view
#include <utility>     // move
#include <vector>      // vector

#include <asio/ip/tcp.hpp> // tcp

namespace hickorykeel::gateway::tests {

/// Endpoint that sends literal bytes, among them such as `http_server` never sends.
///
/// Expects requests with the default body of `gateway_fixture::send_request`.
class scripted_endpoint {
public:
    struct step {
        std::string bytes;
        bool closes = false; ///< the connection is closed in order after the bytes
    };
    /// Returns the response to a request.
    /// @param connection number of the connection, from 1
    using script = std::function<step(std::size_t connection)>;

    scripted_endpoint(gateway_fixture& gateway, const std::string& name, script respond)
        : m_acceptor{gateway.loop(), {asio::ip::address_v4::loopback(), 0}}, m_respond{
                                                                                 std::move(respond)}
    {
        accept();
        gateway.add_endpoint_at(name, m_acceptor.local_endpoint().port());
    }

    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;
    scripted_endpoint(scripted_endpoint&&) = delete;
    scripted_endpoint& operator=(scripted_endpoint&&) = delete;

    ~scripted_endpoint()
    {
        for (const auto& channel : m_channels) {
            channel->close();
        }
    }

    [[nodiscard]] unsigned port() const { return m_acceptor.local_endpoint().port(); }
    [[nodiscard]] std::size_t requests() const noexcept { return m_requests; }
    /// Returns the number of connections that the gateway has closed.
    [[nodiscard]] std::size_t closed() const noexcept { return m_closed; }

private:
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
        const std::size_t number = m_channels.size();
        channel->set_handlers({
            .on_bytes =
                [this, number, received = std::string{}](std::string_view bytes) mutable {
                    received += bytes;
                    if (received.ends_with("\r\n\r\nquestion")) {
                        received.clear();
                        respond(number);
                    }
                },
            .on_end = [this](channel_end) { ++m_closed; },
        });
        channel->start_reading();
    }

    void respond(std::size_t number)
    {
        ++m_requests;
        const step next = m_respond(number);
        const auto& channel = m_channels[number - 1];
        channel->send(next.bytes);
        if (next.closes) {
            channel->close_after_sending();
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    script m_respond;
    std::vector<std::shared_ptr<tcp_channel>> m_channels;
    std::size_t m_requests = 0;
    std::size_t m_closed = 0;
};

/// Formats a response with a body of known length.
/// @param status status code and reason
/// @param more further header lines, each with its line end
inline std::string format_answer(const std::string& status, const std::string& attempt,
                                 const std::string& more = {}, const std::string& body = {})
{
    return "HTTP/1.1 " + status + "\r\nX-Hickorykeel-Attempt-Id: " + attempt +
           "\r\nX-Hickorykeel-Response-Seal: seal\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline const std::string rejection_line = "X-Hickorykeel-Not-Executed: 1\r\n";
inline const std::string another_id = "0000000000000001";

} // namespace hickorykeel::gateway::tests
