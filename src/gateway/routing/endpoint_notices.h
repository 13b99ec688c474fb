#pragma once

#include "process/clock.h"

#include <compare> // strong_ordering
#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map>     // map
#include <string>  // string

namespace hickorykeel::gateway {

/// One life of an endpoint, from its start to its end.
struct endpoint_incarnation {
    std::string id;
    std::int64_t started_ms = 0; ///< Unix milliseconds; 0: unknown

    [[nodiscard]] auto operator<=>(const endpoint_incarnation&) const = default;
};

/// What endpoints have said of themselves in the heads of their responses.
///
/// A notice concerns one incarnation and ends with it only: it outlives the endpoint's entry in the
/// published state. An incarnation whose start time is unknown can't be told apart from others with
/// its id, so it shares their notices. At most `max_notices` are kept; the oldest is dropped first.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class endpoint_notices {
public:
    static constexpr std::size_t max_notices = 4'096;

    /// @name modifiers
    /// @{

    /// Records that `endpoint` has said that it is leaving. Returns whether that is new.
    bool on_leaving(const endpoint_incarnation& endpoint, time_point now);
    /// @}

    /// @name state
    /// @{

    /// Whether `endpoint` has said that it is leaving.
    [[nodiscard]] bool is_leaving(const endpoint_incarnation& endpoint) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_notices.size(); }
    /// @}

private:
    struct notice {
        bool is_leaving = false;
        time_point updated{};
    };

    notice& find_or_add(const endpoint_incarnation& endpoint, time_point now);
    void drop_oldest();

    std::map<endpoint_incarnation, notice> m_notices;
};

} // namespace hickorykeel::gateway
