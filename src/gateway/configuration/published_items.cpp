#include "gateway/configuration/published_items.h"

#include <string_view>   // string_view
#include <unordered_set> // unordered_set
#include <utility>       // move

namespace hickorykeel::gateway {

namespace {

/// Adds what an item means to a reading.
class reading_builder {
public:
    explicit reading_builder(published_reading& reading) : m_reading{reading} {}

    void operator()(const std::monostate&) const {}
    void operator()(const publication_ptr& published) const { m_reading.published = published; }
    void operator()(const evacuated_domain& evacuated) const
    {
        m_reading.evacuated_domains.insert(evacuated.failure_domain);
    }
    void operator()(const endpoint_entry& entry) const { m_reading.endpoints.push_back(entry); }
    void operator()(const unusable_entry&) const { ++m_reading.unusable_entries; }

private:
    published_reading& m_reading;
};

} // namespace

result<merge_outcome> published_items::apply(const published_changes& changes)
{
    if (changes.revision < m_revision || changes.since > m_revision) {
        return merge_outcome::outdated;
    }
    auto decoded = decode_newer(changes);
    if (auto* failure = std::get_if<error>(&decoded)) {
        return std::move(*failure);
    }
    auto& newer = std::get<decoded_items>(decoded);
    bool has_changed = changes.since == 0 && remove_missing(changes);
    has_changed = remove_deleted(changes) || has_changed;
    has_changed = has_changed || !newer.empty() || m_revision == 0;
    for (auto& [key, item] : newer) {
        const auto deleted = m_deletions.find(key);
        if (deleted == m_deletions.end() || deleted->second < item.revision) {
            m_deletions.erase(key);
            m_items.insert_or_assign(key, std::move(item));
        }
    }
    m_revision = changes.revision;
    limit_deletions();
    return has_changed ? merge_outcome::changed : merge_outcome::unchanged;
}

bool published_items::is_newer(const published_item& item) const
{
    const auto held = m_items.find(item.key);
    if (held != m_items.end() && item.revision <= held->second.revision) {
        return false;
    }
    const auto deleted = m_deletions.find(item.key);
    return deleted == m_deletions.end() || item.revision > deleted->second;
}

result<published_items::decoded_items>
published_items::decode_newer(const published_changes& changes) const
{
    decoded_items decoded;
    for (const published_item& item : changes.items) {
        const auto before = decoded.find(item.key);
        const bool is_superseded =
            before != decoded.end() && before->second.revision >= item.revision;
        if (item.is_deleted || is_superseded || !is_newer(item)) {
            continue;
        }
        auto meaning = m_decode(item);
        if (auto* failure = std::get_if<error>(&meaning)) {
            return std::move(*failure);
        }
        decoded.insert_or_assign(
            item.key,
            held_item{item.value, item.revision, std::get<published_value>(std::move(meaning))});
    }
    return decoded;
}

/// Removes the items that `changes`, which lists all items, does not have. An item that is newer
/// than the list is kept. Returns whether any was removed.
bool published_items::remove_missing(const published_changes& changes)
{
    std::unordered_set<std::string_view> listed;
    for (const published_item& item : changes.items) {
        listed.insert(item.key);
    }
    const std::size_t removed = std::erase_if(m_items, [&](const auto& held) {
        return held.second.revision <= changes.revision && !listed.contains(held.first);
    });
    // a list of all items doesn't say when the missing ones were deleted
    m_deletions.clear();
    m_deletions_since = changes.revision;
    return removed > 0;
}

bool published_items::remove_deleted(const published_changes& changes)
{
    bool has_removed = false;
    for (const published_item& item : changes.items) {
        if (!item.is_deleted || !is_newer(item)) {
            continue;
        }
        m_deletions[item.key] = item.revision;
        has_removed = m_items.erase(item.key) > 0 || has_removed;
    }
    return has_removed;
}

void published_items::limit_deletions()
{
    if (m_deletions.size() > max_deletions) {
        m_deletions.clear();
        m_deletions_since = m_revision;
    }
}

published_changes published_items::changes_since(std::uint64_t revision) const
{
    published_changes changes;
    changes.revision = m_revision;
    changes.since = revision < m_deletions_since ? 0 : revision;
    if (revision >= m_revision && m_revision > 0) {
        return changes;
    }
    for (const auto& [key, held] : m_items) {
        if (changes.since == 0 || held.revision > changes.since) {
            changes.items.push_back({key, held.value, held.revision, false});
        }
    }
    if (changes.since == 0) {
        return changes;
    }
    for (const auto& [key, deleted_at] : m_deletions) {
        if (deleted_at > changes.since) {
            changes.items.push_back({key, {}, deleted_at, true});
        }
    }
    return changes;
}

published_reading published_items::to_reading() const
{
    published_reading reading;
    reading.revision = m_revision;
    for (const auto& [key, held] : m_items) {
        std::visit(reading_builder{reading}, held.meaning);
    }
    return reading;
}

} // namespace hickorykeel::gateway
