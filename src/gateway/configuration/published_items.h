#pragma once

#include "gateway/configuration/publication.h"
#include "gateway/configuration/source_position.h"
#include "process/error.h"

#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <string>     // string
#include <variant>    // monostate, variant
#include <vector>     // vector

namespace hickorykeel::gateway {

/// An item of the source, or its deletion.
struct published_item {
    std::string key;
    std::string value;        ///< as stored; empty if deleted
    source_position position; ///< of the source, when the item was last written or deleted
    bool is_deleted = false;
};

/// Changes of the source's contents. They may include items that are newer than `position`, and
/// items that are older than `since`. Changes within one era only, or all items.
struct published_changes {
    source_position since;    ///< none: all items; what is missing does not exist
    source_position position; ///< the contents are complete up to this one
    std::vector<published_item> items;
};

/// A failure domain whose endpoints get no requests.
struct evacuated_domain {
    std::string failure_domain;
};

/// An endpoint entry that could not be decoded.
struct unusable_entry {};

/// What an item means; `std::monostate`: nothing to a gateway.
using published_value =
    std::variant<std::monostate, publication_ptr, evacuated_domain, endpoint_entry, unusable_entry>;

/// Effect of changes on the held items.
enum class merge_outcome {
    outdated,  ///< older than what is held, or with a gap to it; nothing was applied
    unchanged, ///< the held items are confirmed
    changed,   ///< also by single items that are newer although the changes are outdated
};

/// Copy of the source's contents, kept up to date by changes. Each item has a position, so changes
/// may overlap and come from different hosts: the newer write or deletion of an item wins.
///
/// The configuration is the exception: the higher version wins, whatever the positions. A source
/// that was restored from an older copy may show a lower one until the higher one is written again,
/// so the held one counts as an item of the new era then, and is passed on as such. A host that has
/// started meanwhile gets it from the others, whose changes may be outdated otherwise.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class published_items {
public:
    /// Returns what an item means, or why the whole state is unusable with it.
    using decoder = std::function<result<published_value>(const published_item&)>;

    /// Deletions remembered for `changes_since()`.
    static constexpr std::size_t max_deletions = 4'096;

    explicit published_items(decoder decode) : m_decode{std::move(decode)} {}

    /// @name modifiers
    /// @{

    /// Merges `changes`. On an error, which is that of the decoder, nothing is applied. Items that
    /// are held with the same position are not decoded again.
    result<merge_outcome> apply(const published_changes& changes);
    /// @}

    /// @name state
    /// @{

    /// The position up to which the items are complete; none while none are held.
    [[nodiscard]] const source_position& position() const noexcept { return m_position; }

    /// Newest known change of the configuration or of an evacuation, which may be known ahead of
    /// the position up to which all items are complete.
    [[nodiscard]] const source_position& operator_change() const noexcept
    {
        return m_operator_change;
    }

    /// Changes that bring a copy at `position` up to date: none if it is at the same or a higher
    /// one and no newer change of the operator is known, all items if it is of another era or too
    /// old for the remembered deletions. O(items) unless none.
    [[nodiscard]] published_changes changes_since(const source_position& position) const;

    /// The meaning of all items. O(items).
    [[nodiscard]] published_reading to_reading() const;
    /// @}

private:
    struct held_item {
        std::string value;
        source_position position;
        published_value meaning;
    };

    using decoded_items = std::map<std::string, held_item>;

    [[nodiscard]] result<decoded_items> decode_newer(const published_changes& changes) const;
    [[nodiscard]] bool is_newer(const published_item& item) const;
    bool remove_missing(const published_changes& changes);
    bool remove_deleted(const published_changes& changes);
    void insert(const std::string& key, held_item item);
    [[nodiscard]] bool is_outdated(const published_changes& changes) const;
    result<merge_outcome> take_ahead(const published_changes& changes);
    void note_change(const published_value& meaning, const source_position& position);
    void keep_configuration(const published_changes& changes, decoded_items& newer);
    [[nodiscard]] std::uint64_t held_version() const;
    void limit_deletions();

    decoder m_decode;
    std::map<std::string, held_item> m_items;           // by key
    std::map<std::string, source_position> m_deletions; // by key
    source_position m_position;
    source_position m_operator_change;
    source_position m_deletions_since; // all later deletions are in m_deletions
    std::string m_configuration_key;   // empty while no configuration is held
};

} // namespace hickorykeel::gateway
