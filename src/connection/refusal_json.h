#pragma once

#include "request/refusal.h"

#include <string> // string

namespace hickorykeel {

/// Returns a refusal as JSON, in the format that docs/API.md describes. Thread safe.
[[nodiscard]] std::string to_json(const refusal& why);

/// Returns the server-sent event that ends a stream which has begun. Thread safe.
[[nodiscard]] std::string to_error_event(const refusal& why);

} // namespace hickorykeel
