#pragma once

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <sys/types.h>

namespace hickorykeel::tests {

/// Which of `candidates` holds the IPv4 TCP socket from `local` to `remote` (both "ip:port"); tells
/// a relay which process connected to it. One local address may stand in several connections.
/// Complexity: linear in the descriptors of the candidates. Thread safe.
std::optional<pid_t> socket_owner(const std::string& local, const std::string& remote,
                                  const std::vector<pid_t>& candidates);

} // namespace hickorykeel::tests
