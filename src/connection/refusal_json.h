#pragma once

#include "request/refusal.h"

#include <string> // string

namespace hickorykeel {

/// JSON text of a refusal, as docs/API.md describes it. Thread safe.
[[nodiscard]] std::string to_json(const refusal& why);

/// Server-sent event that ends a stream which has begun.
[[nodiscard]] std::string to_error_event(const refusal& why);

} // namespace hickorykeel
