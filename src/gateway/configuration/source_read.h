#pragma once

#include "gateway/configuration/published_items.h"
#include "gateway/configuration/source_position.h"

#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace hickorykeel::gateway {

/// A response of the source: items, or changes of them.
struct source_response {
    std::vector<published_item> items; ///< without an era
    /// Of the source when it responded; of changes, the one up to which they are listed.
    std::uint64_t revision = 0;
    bool has_more = false;            ///< further pages follow
    std::optional<std::uint64_t> era; ///< if the source names it
};

/// What a read of the source asks for next.
enum class read_step {
    revision, ///< the source's revision, without items
    changes,  ///< what has changed since `source_read::after_revision()`
    page,     ///< items whose keys follow `source_read::after_key()`
    done,
    failed,
};

/// One read of the source, from one response to the next: what has changed since the position that is
/// held, or all items if none is held, if the source can't list the changes, or if it was restored
/// from a copy since.
///
/// Each response tells the era of the source. Without that, a revision that has gone back tells that
/// the source was restored. A read that meets two eras begins anew, and fails if that goes on; so does
/// one with a response of an era before the held one.
///
/// Thread safety: none. No I/O.
class source_read {
public:
    explicit source_read(const source_position& held);

    /// @name responses
    /// Each returns the next step.
    /// @{
    [[nodiscard]] read_step first_step() const noexcept;
    [[nodiscard]] read_step on_revision(const source_response& received);
    [[nodiscard]] read_step on_changes(source_response received);
    [[nodiscard]] read_step on_page(source_response received);

    /// The source can't list the changes, or not in one response.
    [[nodiscard]] read_step on_unlisted_changes();
    /// @}

    /// @name state
    /// @{
    [[nodiscard]] std::uint64_t after_revision() const noexcept
    {
        return m_changes.position.revision;
    }

    /// Key of the last item that was read; empty: none.
    [[nodiscard]] std::string after_key() const;

    /// Why the read has failed.
    [[nodiscard]] std::string_view failure() const noexcept { return m_failure; }

    /// What was read. Precondition: the read is done.
    [[nodiscard]] published_changes take_changes() { return std::move(m_changes); }
    /// @}

private:
    enum class era_change {
        none,
        begun, ///< another one than that of the responses before
        past,  ///< one before that of the held state
    };

    [[nodiscard]] era_change note_era(const source_response& received, std::uint64_t expected);
    [[nodiscard]] std::optional<read_step> check_era(const source_response& received,
                                                     std::uint64_t expected);
    [[nodiscard]] read_step read_all();
    [[nodiscard]] read_step fail(std::string_view reason);
    void append(source_response& received);

    source_position m_held;
    published_changes m_changes;
    std::uint64_t m_era = 0;             ///< of the responses so far
    std::uint64_t m_last_revision = 0;   ///< of the source, by the last response that told it
    std::uint64_t m_source_revision = 0; ///< as told before the changes were read
    unsigned m_restarts = 0;             ///< of the read, after changes of the era
    std::string_view m_failure;
};

} // namespace hickorykeel::gateway
