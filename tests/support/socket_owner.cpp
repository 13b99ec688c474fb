#include "support/socket_owner.h"

#include <array>        // array
#include <cstdint>      // uint16_t, uint32_t
#include <filesystem>   // directory_iterator, read_symlink
#include <system_error> // error_code

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorykeel::tests {

namespace detail {

/// Question to the kernel about one TCP socket.
struct socket_question {
    nlmsghdr header{};
    inet_diag_req_v2 body{};
};

void set_address(const std::string& address, __be16& port, __be32& ip)
{
    const auto colon = address.rfind(':');
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &ip);
    port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
}

/// Inode of the socket from `local` to `remote`; 0 where there is none. The kernel looks it up by its
/// addresses: its table of all sockets may hold ten thousands that are closed already.
std::uint32_t find_inode(const std::string& local, const std::string& remote)
{
    const int netlink = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    socket_question question;
    question.header.nlmsg_len = sizeof question;
    question.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    question.header.nlmsg_flags = NLM_F_REQUEST;
    question.body.sdiag_family = AF_INET;
    question.body.sdiag_protocol = IPPROTO_TCP;
    question.body.idiag_states = ~0U;
    question.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    question.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    set_address(local, question.body.id.idiag_sport, question.body.id.idiag_src[0]);
    set_address(remote, question.body.id.idiag_dport, question.body.id.idiag_dst[0]);

    alignas(nlmsghdr) std::array<char, 4'096> answer{};
    std::uint32_t inode = 0;
    if (::send(netlink, &question, sizeof question, 0) == sizeof question &&
        ::recv(netlink, answer.data(), answer.size(), 0) > 0) {
        const auto* header = reinterpret_cast<const nlmsghdr*>(answer.data());
        if (header->nlmsg_type == SOCK_DIAG_BY_FAMILY) {
            inode = static_cast<const inet_diag_msg*>(NLMSG_DATA(header))->idiag_inode;
        }
    }
    ::close(netlink);
    return inode;
}

bool holds(pid_t process, const std::string& link)
{
    std::error_code fault;
    const std::filesystem::path folder = "/proc/" + std::to_string(process) + "/fd";
    for (std::filesystem::directory_iterator it{folder, fault}, end; it != end;
         it.increment(fault)) {
        if (std::filesystem::read_symlink(it->path(), fault) == link) {
            return true;
        }
    }
    return false;
}

} // namespace detail

std::optional<pid_t> socket_owner(const std::string& local, const std::string& remote,
                                  const std::vector<pid_t>& candidates)
{
    const std::uint32_t inode = detail::find_inode(local, remote);
    if (inode == 0) {
        return std::nullopt;
    }
    for (const pid_t process : candidates) {
        if (detail::holds(process, "socket:[" + std::to_string(inode) + ']')) {
            return process;
        }
    }
    return std::nullopt;
}

} // namespace hickorykeel::tests
