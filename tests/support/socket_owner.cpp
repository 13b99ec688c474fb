#include "support/socket_owner.h"

#include <array>        // array
#include <cstdio>       // snprintf
#include <filesystem>   // directory_iterator, read_symlink
#include <fstream>      // ifstream
#include <sstream>      // istringstream
#include <system_error> // error_code

#include <arpa/inet.h>

namespace hickorykeel::tests {

namespace detail {

/// Address as /proc/net/tcp writes it: the IP as a number of the machine's byte order, in hex.
std::string to_kernel_text(const std::string& address)
{
    const auto colon = address.rfind(':');
    in_addr ip{};
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &ip);
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%08X:%04X", ip.s_addr,
                  static_cast<unsigned>(std::stoi(address.substr(colon + 1))));
    return text.data();
}

/// Inode of the socket from `local` to `remote`; empty where there is none.
std::string find_inode(const std::string& local, const std::string& remote)
{
    constexpr std::size_t local_field = 1;
    constexpr std::size_t inode_field = 9;
    constexpr std::size_t remote_field = 2;
    const std::string wanted_local = to_kernel_text(local);
    const std::string wanted_remote = to_kernel_text(remote);
    std::ifstream table{"/proc/net/tcp"};
    std::string line;
    while (std::getline(table, line)) {
        std::istringstream words{line};
        std::array<std::string, inode_field + 1> fields;
        for (std::string& field : fields) {
            words >> field;
        }
        if (fields[local_field] == wanted_local && fields[remote_field] == wanted_remote &&
            fields[inode_field] != "0") {
            return fields[inode_field];
        }
    }
    return {};
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
    const std::string inode = detail::find_inode(local, remote);
    if (inode.empty()) {
        return std::nullopt;
    }
    for (const pid_t process : candidates) {
        if (detail::holds(process, "socket:[" + inode + ']')) {
            return process;
        }
    }
    return std::nullopt;
}

} // namespace hickorykeel::tests
