#include "support/free_port.h"

#include <atomic>  // atomic
#include <cstdint> // uint16_t

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorykeel::tests {

namespace detail {

bool is_free(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const bool is_bound =
        ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(socket);
    return is_bound;
}

} // namespace detail

std::string free_address()
{
    constexpr std::uint16_t first_port = 20'000;
    constexpr unsigned numbers = 250; // used of each byte of an IP
    static std::atomic<std::uint16_t> next_port{first_port};
    const auto process = static_cast<unsigned>(::getpid());
    const std::string ip = "127." + std::to_string(1 + process / numbers % numbers) + '.' +
                           std::to_string(1 + process % numbers) + ".1";
    std::uint16_t port = next_port++;
    while (!detail::is_free(ip, port)) {
        port = next_port++;
    }
    return ip + ':' + std::to_string(port);
}

} // namespace hickorykeel::tests
