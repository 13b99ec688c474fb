#pragma once

#include "gateway/configuration/publication.h"
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
    std::string value;          ///< as stored; empty if deleted
    std::uint64_t revision = 0; ///< of the source, when the item was last written or deleted
    bool is_deleted = false;
};

/// Changes of the source's contents. They may include items that are newer than `revision`, and
/// items that are older than `since`.
struct published_changes {
    std::uint64_t since = 0;    ///< 0: all items; what is missing does not exist
    std::uint64_t revision = 0; ///< the contents are complete up to this one
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
    changed,
};

/// Copy of the source's contents, kept up to date by changes. Each item has a revision, so changes
/// may overlap and come from different hosts: the newer write or deletion of an item wins.
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
    /// are held with the same revision are not decoded again.
    result<merge_outcome> apply(const published_changes& changes);
    /// @}

    /// @name state
    /// @{

    /// The revision up to which the items are complete; 0 while none are held.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

    /// Changes that bring a copy at `revision` up to date: none if it is at the same or a higher
    /// one, all items if it is too old for the remembered deletions. O(items) unless none.
    [[nodiscard]] published_changes changes_since(std::uint64_t revision) const;

    /// The meaning of all items. O(items).
    [[nodiscard]] published_reading to_reading() const;
    /// @}

private:
    struct held_item {
        std::string value;
        std::uint64_t revision = 0;
        published_value meaning;
    };

    using decoded_items = std::map<std::string, held_item>;

    [[nodiscard]] result<decoded_items> decode_newer(const published_changes& changes) const;
    [[nodiscard]] bool is_newer(const published_item& item) const;
    bool remove_missing(const published_changes& changes);
    bool remove_deleted(const published_changes& changes);
    void limit_deletions();

    decoder m_decode;
    std::map<std::string, held_item> m_items;         // by key
    std::map<std::string, std::uint64_t> m_deletions; // revisions by key
    std::uint64_t m_revision = 0;
    std::uint64_t m_deletions_since = 0; // all later deletions are in m_deletions
};

} // namespace hickorykeel::gateway
