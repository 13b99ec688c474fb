#pragma once

#include "gateway/http/tcp_channel.h"

#include <algorithm>  // max
#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // make_shared, shared_ptr, weak_ptr
#include <string>     // string, to_string
#include <utility>    // move
#include <vector>     // vector

#include <asio/io_context.hpp> // io_context
#include <asio/ip/tcp.hpp>     // tcp
#include <asio/post.hpp>       // post

namespace hickorykeel::gateway::tests {

/// Bytes that a server sends without an end.
struct endless_bytes {
    std::string beginning;
    std::string repeated;
};

/// Sends `endless_bytes` to each request until the client closes, up to 128 MiB.
///
/// Thread safety: none; used on the loop's thread only.
class endless_server {
public:
    static constexpr std::size_t max_bytes = 134'217'728;

    endless_server(asio::io_context& loop, endless_bytes sent)
        : m_loop{loop}, m_acceptor{loop, {asio::ip::address_v4::loopback(), 0}},
          m_beginning{std::move(sent.beginning)}
    {
        while (m_block.size() < block_bytes) {
            m_block += sent.repeated;
        }
        accept();
    }

    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;
    endless_server(endless_server&&) = delete;
    endless_server& operator=(endless_server&&) = delete;

    ~endless_server()
    {
        for (const auto& channel : m_channels) {
            channel->close();
        }
    }

    [[nodiscard]] unsigned port() const { return m_acceptor.local_endpoint().port(); }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

    /// Number of connections that a client has closed.
    [[nodiscard]] std::size_t closed() const noexcept { return m_closed; }

    /// Bytes sent on the connection on which most were sent.
    [[nodiscard]] std::size_t most_bytes() const noexcept { return m_most_bytes; }

private:
    static constexpr std::size_t block_bytes = 65'536;

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
        const std::weak_ptr<tcp_channel> weak = channel;
        const auto sent = std::make_shared<std::size_t>(0);
        channel->set_handlers({
            .on_bytes =
                [this, weak, sent](std::string_view) {
                    // the first bytes of a request are answered, its rest is read
                    if (const auto open = weak.lock(); open != nullptr && *sent == 0) {
                        open->send(m_beginning);
                        send_block(weak, sent);
                    }
                },
            .on_end = [this](channel_end) { ++m_closed; },
            .on_drained = [this, weak, sent] { send_later(weak, sent); },
        });
        channel->start_reading();
    }

    void send_block(const std::weak_ptr<tcp_channel>& weak,
                    const std::shared_ptr<std::size_t>& sent)
    {
        const auto channel = weak.lock();
        if (channel == nullptr || !channel->is_open() || *sent >= max_bytes) {
            return;
        }
        *sent += m_block.size();
        m_most_bytes = std::max(m_most_bytes, *sent);
        channel->send(m_block);
        if (channel->unsent() == 0) {
            send_later(weak, sent);
        }
    }

    /// From the loop, which notices in between that the client has closed.
    void send_later(const std::weak_ptr<tcp_channel>& weak,
                    const std::shared_ptr<std::size_t>& sent)
    {
        asio::post(m_loop, [this, weak, sent] { send_block(weak, sent); });
    }

    asio::io_context& m_loop;
    asio::ip::tcp::acceptor m_acceptor;
    std::string m_beginning;
    std::string m_block;
    std::vector<std::shared_ptr<tcp_channel>> m_channels;
    std::size_t m_closed = 0;
    std::size_t m_most_bytes = 0;
};

} // namespace hickorykeel::gateway::tests
