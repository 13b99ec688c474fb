#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint8_t

namespace hickorykeel::tests {

/// Feeds bytes to everything that reads published state: the platform's answers, the check of
/// entries and hosts, and a replica. Has the shape of a libFuzzer target.
/// @return 0; faults of the code show as a crash or a sanitizer's report
int fuzz_configuration(const std::uint8_t* data, std::size_t size);

} // namespace hickorykeel::tests
