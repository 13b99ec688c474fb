#include "gateway/configuration/published_items.h"

#include <algorithm>     // max
#include <string_view>   // string_view
#include <unordered_set> // unordered_set
#include <utility>       // move
#include <variant>       // get, get_if, holds_alternative

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

/// Version of a configuration. Precondition: `meaning` is one.
std::uint64_t version_of(const published_value& meaning)
{
    return std::get<publication_ptr>(meaning)->version;
}

} // namespace

result<merge_outcome> published_items::apply(const published_changes& changes)
{
    if (is_outdated(changes)) {
        return take_ahead(changes);
    }
    const bool is_whole = changes.since.is_none();
    auto decoded = decode_newer(changes);
    if (auto* failure = std::get_if<error>(&decoded)) {
        return std::move(*failure);
    }
    auto& newer = std::get<decoded_items>(decoded);
    keep_configuration(changes, newer);
    bool has_changed = is_whole && remove_missing(changes);
    has_changed = remove_deleted(changes) || has_changed;
    has_changed = has_changed || !newer.empty() || m_position.is_none();
    for (auto& [key, item] : newer) {
        const auto deleted = m_deletions.find(key);
        if (deleted == m_deletions.end() || deleted->second < item.position) {
            m_deletions.erase(key);
            insert(key, std::move(item));
        }
    }
    m_position = changes.position;
    limit_deletions();
    return has_changed ? merge_outcome::changed : merge_outcome::unchanged;
}

bool published_items::is_outdated(const published_changes& changes) const
{
    const bool spans_eras = !changes.since.is_none() && changes.since.era != changes.position.era;
    return changes.position < m_position || changes.since > m_position || spans_eras;
}

/// Takes what is newer than the held state out of changes that are outdated otherwise: items that
/// are ahead of the held position, and the configuration if its version is higher.
result<merge_outcome> published_items::take_ahead(const published_changes& changes)
{
    published_changes ahead{m_position, m_position, {}};
    const bool has_gap = changes.since > m_position;
    for (const published_item& item : changes.items) {
        const bool is_ahead =
            !has_gap && item.position.era == m_position.era && item.position > m_position;
        const bool is_configuration = !item.is_deleted && item.key == m_configuration_key;
        if (is_ahead || is_configuration) {
            ahead.items.push_back(item);
        }
    }
    if (ahead.items.empty() || m_position.is_none()) {
        return merge_outcome::outdated;
    }
    auto merged = apply(ahead);
    const auto* outcome = std::get_if<merge_outcome>(&merged);
    return outcome != nullptr && *outcome == merge_outcome::unchanged
               ? result<merge_outcome>{merge_outcome::outdated}
               : std::move(merged);
}

/// Notes a change of an item with the given meaning.
void published_items::note_change(const published_value& meaning, const source_position& position)
{
    if (std::holds_alternative<publication_ptr>(meaning) ||
        std::holds_alternative<evacuated_domain>(meaning)) {
        m_operator_change = std::max(m_operator_change, position);
    }
}

bool published_items::is_newer(const published_item& item) const
{
    const auto held = m_items.find(item.key);
    if (held != m_items.end() && item.position <= held->second.position) {
        // a configuration may have a higher version all the same
        return item.key == m_configuration_key && item.value != held->second.value;
    }
    const auto deleted = m_deletions.find(item.key);
    return deleted == m_deletions.end() || item.position > deleted->second;
}

void published_items::insert(const std::string& key, held_item item)
{
    if (std::holds_alternative<publication_ptr>(item.meaning)) {
        m_configuration_key = key;
    }
    note_change(item.meaning, item.position);
    m_items.insert_or_assign(key, std::move(item));
}

std::uint64_t published_items::held_version() const
{
    const auto held = m_items.find(m_configuration_key);
    return held == m_items.end() ? 0 : version_of(held->second.meaning);
}

/// Takes a configuration that doesn't replace the held one out of `newer`. The held one is kept as
/// an item of the changes' era if it has the higher version. One with a higher version than the
/// held one counts as a change of its own.
void published_items::keep_configuration(const published_changes& changes, decoded_items& newer)
{
    const auto shown = newer.find(m_configuration_key);
    const auto held = m_items.find(m_configuration_key);
    if (shown == newer.end() || held == m_items.end() ||
        !std::holds_alternative<publication_ptr>(shown->second.meaning)) {
        return;
    }
    const std::uint64_t version = version_of(shown->second.meaning);
    const bool is_later = shown->second.position > held->second.position;
    if (version < held_version()) {
        if (is_later) {
            held->second.position = changes.position;
        }
        newer.erase(shown);
    }
    else if (version > held_version() && !is_later) {
        shown->second.position = changes.position;
    }
    else if (!is_later) {
        newer.erase(shown);
    }
}

result<published_items::decoded_items>
published_items::decode_newer(const published_changes& changes) const
{
    decoded_items decoded;
    for (const published_item& item : changes.items) {
        const auto before = decoded.find(item.key);
        const bool is_superseded =
            before != decoded.end() && before->second.position >= item.position;
        if (item.is_deleted || is_superseded || !is_newer(item)) {
            continue;
        }
        auto meaning = m_decode(item);
        if (auto* failure = std::get_if<error>(&meaning)) {
            return std::move(*failure);
        }
        decoded.insert_or_assign(
            item.key,
            held_item{item.value, item.position, std::get<published_value>(std::move(meaning))});
    }
    return decoded;
}

/// Removes the items that `changes`, which lists all items, does not have. The configuration, and an
/// item that is newer than the list, are kept. Returns whether any was removed.
bool published_items::remove_missing(const published_changes& changes)
{
    std::unordered_set<std::string_view> listed;
    for (const published_item& item : changes.items) {
        listed.insert(item.key);
    }
    if (const auto kept = m_items.find(m_configuration_key);
        kept != m_items.end() && !listed.contains(m_configuration_key)) {
        kept->second.position = std::max(kept->second.position, changes.position);
    }
    const std::size_t removed = std::erase_if(m_items, [&](const auto& held) {
        return held.second.position <= changes.position && held.first != m_configuration_key &&
               !listed.contains(held.first);
    });
    // a list of all items doesn't say when the missing ones were deleted; later deletions, known
    // ahead, still count
    std::erase_if(m_deletions,
                  [&](const auto& deleted) { return deleted.second <= changes.position; });
    m_deletions_since = changes.position;
    return removed > 0;
}

bool published_items::remove_deleted(const published_changes& changes)
{
    bool has_removed = false;
    for (const published_item& item : changes.items) {
        if (!item.is_deleted || !is_newer(item)) {
            continue;
        }
        m_deletions[item.key] = item.position;
        if (const auto held = m_items.find(item.key); held != m_items.end()) {
            note_change(held->second.meaning, item.position);
            m_items.erase(held);
            has_removed = true;
        }
    }
    return has_removed;
}

void published_items::limit_deletions()
{
    if (m_deletions.size() > max_deletions) {
        m_deletions.clear();
        m_deletions_since = m_position;
    }
}

published_changes published_items::changes_since(const source_position& position) const
{
    published_changes changes;
    changes.position = m_position;
    if (position >= m_position && position >= m_operator_change && !m_position.is_none()) {
        changes.since = position;
        return changes;
    }
    const bool is_in_reach = position.era == m_position.era && position >= m_deletions_since;
    changes.since = is_in_reach ? position : source_position{};
    const bool is_whole = changes.since.is_none();
    for (const auto& [key, held] : m_items) {
        if (is_whole || held.position > changes.since) {
            changes.items.push_back({key, held.value, held.position, false});
        }
    }
    if (is_whole) {
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
    reading.position = m_position;
    for (const auto& [key, held] : m_items) {
        std::visit(reading_builder{reading}, held.meaning);
    }
    return reading;
}

} // namespace hickorykeel::gateway
