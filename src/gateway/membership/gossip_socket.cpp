#include "gateway/membership/gossip_socket.h"

#include <asio/buffer.hpp> // buffer

namespace hickorykeel::gateway {

result<bool> gossip_socket::open(const std::string& ip, std::uint16_t port)
{
    asio::error_code failure;
    m_port = port;
    const auto local = asio::ip::make_address_v4(ip, failure);
    if (!failure) {
        m_socket.open(asio::ip::udp::v4(), failure);
    }
    if (!failure) {
        m_socket.bind({local, port}, failure);
    }
    if (!failure) {
        m_socket.non_blocking(true, failure);
    }
    if (failure) {
        asio::error_code ignored; // it was not used
        m_socket.close(ignored);
        return error{error_kind::address_unavailable, "bind", ip + ':' + std::to_string(port),
                     failure.message()};
    }
    m_empty_at = boot_clock::now();
    receive();
    return true;
}

void gossip_socket::send(const std::string& ip, std::string_view datagram)
{
    asio::error_code failure;
    const auto address = asio::ip::make_address_v4(ip, failure);
    if (!failure) {
        m_socket.send_to(asio::buffer(datagram), {address, m_port}, 0, failure);
    }
    if (failure) {
        ++m_send_failures;
    }
}

void gossip_socket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender,
                                [this](const asio::error_code& failure, std::size_t size) {
                                    if (!m_socket.is_open()) {
                                        return;
                                    }
                                    if (!failure) {
                                        on_received(size);
                                    }
                                    receive();
                                });
}

void gossip_socket::on_received(std::size_t size)
{
    m_on_datagram({m_buffer.data(), size}, m_empty_at);
    asio::error_code failure;
    const time_point now = boot_clock::now();
    if (m_socket.available(failure) == 0 && !failure) {
        m_empty_at = now;
    }
}

} // namespace hickorykeel::gateway
