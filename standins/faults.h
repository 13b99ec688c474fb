#pragma once

#include "standins/http_server.h"

#include <chrono> // milliseconds
#include <mutex>  // mutex

#include <nlohmann/json.hpp>

namespace hickorykeel::standins {

/// Faults that a test sets at an endpoint.
struct fault_settings {
    bool silent = false;       ///< accepts requests and never answers
    double slow_factor = 1;    ///< multiplies the time of every step
    int cut_after_chunks = -1; ///< runs, then cuts after so many chunks; -1: never
    int hold_at_tokens = -1;   ///< a run makes no more tokens until this is raised; -1: never
    bool refuse = false;       ///< answers 503 without running
    std::chrono::milliseconds late{0}; ///< waits before the answer of a request that ran
};

/// Fault settings that handlers read while a test changes them. Thread safe.
class fault_switch {
public:
    [[nodiscard]] fault_settings current() const;

    /// Applies the members of `change`; others stay.
    /// @return false where a member is unknown or of a wrong type; then nothing is applied
    bool apply(const nlohmann::json& change);

    /// Serves PUT and GET /control/faults.
    void serve(http_server& server);

private:
    mutable std::mutex m_mutex;
    fault_settings m_settings;
};

} // namespace hickorykeel::standins
