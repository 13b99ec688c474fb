#pragma once

#include <string> // string

namespace hickorykeel::tests {

/// A loopback address "ip:port" that nothing listens at. Each test process has an IP of its own in
/// 127.0.0.0/8 and uses ports below those that the kernel gives to connecting sockets, so that
/// tests may run side by side. Thread safe; never returns an address twice.
std::string free_address();

} // namespace hickorykeel::tests
