#pragma once

#include "process/clock.h"

#include <chrono>   // milliseconds, seconds
#include <cstdint>  // uint8_t
#include <optional> // optional
#include <string>   // string
#include <utility>  // move

namespace hickorykeel::gateway {

/// Interval at which the settings file is looked at.
inline constexpr duration settings_check_interval = std::chrono::seconds{1};

/// The same while it is being changed.
inline constexpr duration settings_recheck_interval = std::chrono::milliseconds{200};

/// What a look at the settings file shows.
enum class settings_change : std::uint8_t {
    none,
    unsettled,  ///< its content isn't that of the last look; it may be being written
    complete,   ///< it has a new content, the same as at the last look
    unreadable, ///< it can't be read any more
};

/// Tells when a settings file that may change without a signal has a new content to be applied.
///
/// Contents are compared, since a file may be written twice within the resolution of its times.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class settings_watch {
public:
    /// @param applied content that is in force; nothing if it isn't known
    explicit settings_watch(std::optional<std::string> applied) : m_applied{std::move(applied)} {}

    /// Takes the content of the file as read now; nothing if it can't be read. A content that is
    /// found `complete`, or a file that is found `unreadable`, is found so once.
    [[nodiscard]] settings_change look(std::optional<std::string> content);

private:
    std::optional<std::string> m_applied;
    std::optional<std::string> m_unsettled;
    bool m_is_unreadable = false;
};

} // namespace hickorykeel::gateway
