#pragma once

#include "small_platform.h"

#include <array>      // array
#include <functional> // function
#include <memory>     // enable_shared_from_this, make_shared
#include <set>        // set
#include <string>     // string
#include <utility>    // move, pair

#include <asio/ip/tcp.hpp> // tcp
#include <asio/ip/udp.hpp> // udp
#include <asio/write.hpp>  // async_write

// Links between regions that can be cut. The machines of each region use a port of their own among
// themselves, and send to a machine of another region at that port too. There a relay of this process
// listens, which passes on what arrives to the port of the machine unless the two regions are cut.

namespace review {

/// Cuts that are in force: pairs of the sending and the receiving region.
using region_cuts = std::set<std::pair<std::string, std::string>>;

/// Passes on datagrams to one machine.
class datagram_relay : public std::enable_shared_from_this<datagram_relay> {
public:
    datagram_relay(asio::io_context& loop, const asio::ip::udp::endpoint& own,
                   asio::ip::udp::endpoint target, std::function<bool()> is_cut)
        : m_socket{loop, own}, m_target{std::move(target)}, m_is_cut{std::move(is_cut)}
    {
    }

    void receive()
    {
        m_socket.async_receive_from(
            asio::buffer(m_bytes), m_sender,
            [self = shared_from_this()](const asio::error_code& failure, std::size_t size) {
                if (!failure && !self->m_is_cut()) {
                    asio::error_code ignored; // a datagram may be lost
                    self->m_socket.send_to(asio::buffer(self->m_bytes, size), self->m_target, 0,
                                           ignored);
                }
                self->receive();
            });
    }

private:
    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_target;
    asio::ip::udp::endpoint m_sender;
    std::function<bool()> m_is_cut;
    std::array<char, 65'536> m_bytes{};
};

/// Passes on the bytes of one connection. From a cut on, it is silent for good.
class connection_relay : public std::enable_shared_from_this<connection_relay> {
public:
    connection_relay(asio::io_context& loop, asio::ip::tcp::socket accepted,
                     std::function<bool()> is_cut)
        : m_accepted{std::move(accepted)}, m_opened{loop}, m_is_cut{std::move(is_cut)}
    {
    }

    void open(const asio::ip::tcp::endpoint& target)
    {
        m_opened.async_connect(target,
                               [self = shared_from_this()](const asio::error_code& failure) {
                                   if (failure) {
                                       self->close();
                                       return;
                                   }
                                   self->pass_on(self->m_accepted, self->m_opened, self->m_forth);
                                   self->pass_on(self->m_opened, self->m_accepted, self->m_back);
                               });
    }

private:
    using bytes = std::array<char, 16'384>;

    void pass_on(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, bytes& held)
    {
        from.async_read_some(
            asio::buffer(held), [self = shared_from_this(), &from, &to,
                                 &held](const asio::error_code& failure, std::size_t size) {
                if (failure) {
                    self->close();
                    return;
                }
                if (self->m_is_cut()) {
                    return;
                }
                asio::async_write(
                    to, asio::buffer(held, size),
                    [self, &from, &to, &held](const asio::error_code& failed, std::size_t) {
                        if (!failed) {
                            self->pass_on(from, to, held);
                        }
                    });
            });
    }

    void close()
    {
        asio::error_code ignored; // it may be closed already
        m_accepted.close(ignored);
        m_opened.close(ignored);
    }

    asio::ip::tcp::socket m_accepted;
    asio::ip::tcp::socket m_opened;
    std::function<bool()> m_is_cut;
    bytes m_forth{};
    bytes m_back{};
};

/// Accepts connections for one machine. While the regions are cut, they are accepted and stay silent.
class connection_acceptor : public std::enable_shared_from_this<connection_acceptor> {
public:
    connection_acceptor(asio::io_context& loop, const asio::ip::tcp::endpoint& own,
                        asio::ip::tcp::endpoint target, std::function<bool()> is_cut)
        : m_loop{loop}, m_acceptor{loop, own}, m_target{std::move(target)}, m_is_cut{
                                                                                std::move(is_cut)}
    {
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const asio::error_code& failure,
                                                            asio::ip::tcp::socket accepted) {
            if (!failure && self->m_is_cut()) {
                self->m_silent.push_back(std::move(accepted));
            }
            else if (!failure) {
                std::make_shared<connection_relay>(self->m_loop, std::move(accepted),
                                                   self->m_is_cut)
                    ->open(self->m_target);
            }
            self->accept();
        });
    }

private:
    asio::io_context& m_loop;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    std::function<bool()> m_is_cut;
    std::vector<asio::ip::tcp::socket> m_silent;
};

/// Starts the relays from the machines of one region to the machine `ip` of another.
/// @param from_port, to_port ports of the machines of the two regions
inline void relay(asio::io_context& loop, const std::string& ip, std::uint16_t from_port,
                  std::uint16_t to_port, const std::function<bool()>& is_cut)
{
    const auto host = asio::ip::make_address_v4(ip);
    std::make_shared<datagram_relay>(loop, asio::ip::udp::endpoint{host, from_port},
                                     asio::ip::udp::endpoint{host, to_port}, is_cut)
        ->receive();
    std::make_shared<connection_acceptor>(loop, asio::ip::tcp::endpoint{host, from_port},
                                          asio::ip::tcp::endpoint{host, to_port}, is_cut)
        ->accept();
}

} // namespace review
