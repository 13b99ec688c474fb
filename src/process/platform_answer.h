#pragma once

#include "process/clock.h"
#include "process/error.h"
#include "version/replica.h"

#include <string> // string

namespace hickorykeel {

/// Reads the body of an answer to `GET /v1/entries`. Pure; thread safe.
/// @return platform_answer_invalid where it isn't what the platform's protocol says
[[nodiscard]] result<entries_update> to_entries_update(const std::string& body);

/// Reads the body of an answer to `GET /v1/hosts`. Pure; thread safe.
/// @return platform_answer_invalid where it isn't what the platform's protocol says
[[nodiscard]] result<hosts_update> to_hosts_update(const std::string& body);

/// Wait before the next read after `failures` in a row: exponential, with full jitter.
/// @param draw a random number from 0 up to 1
[[nodiscard]] duration to_backoff(unsigned failures, double draw) noexcept;

} // namespace hickorykeel
