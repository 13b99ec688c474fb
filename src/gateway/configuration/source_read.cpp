#include "gateway/configuration/source_read.h"

#include <algorithm> // max
#include <utility>   // exchange, move

namespace hickorykeel::gateway {

namespace {

/// Most times that one read begins anew.
constexpr unsigned max_restarts = 3;

} // namespace

source_read::source_read(const source_position& held)
    : m_held{held}, m_changes{held, held, {}}, m_era{held.era}, m_last_revision{held.revision}
{
}

read_step source_read::first_step() const noexcept
{
    return m_held.is_none() ? read_step::page : read_step::revision;
}

std::string source_read::after_key() const
{
    return m_changes.items.empty() ? std::string{} : m_changes.items.back().key;
}

read_step source_read::fail(std::string_view reason)
{
    m_failure = reason;
    return read_step::failed;
}

read_step source_read::read_all()
{
    m_changes = {};
    return read_step::page;
}

read_step source_read::on_unlisted_changes()
{
    return read_all();
}

/// Takes over the era of a response, whose revision is at least `expected` unless the source was
/// restored. A source that doesn't name its era has begun another one then.
source_read::era_change source_read::note_era(const source_response& received,
                                              std::uint64_t expected)
{
    const bool has_gone_back = received.revision < expected;
    const std::uint64_t era = received.era.value_or(has_gone_back ? m_era + 1 : m_era);
    if (era < m_held.era || (era == m_era && has_gone_back)) {
        return era_change::past;
    }
    return std::exchange(m_era, era) == era ? era_change::none : era_change::begun;
}

/// Notes the era of a response. Returns the next step if the response is of no use.
std::optional<read_step> source_read::check_era(const source_response& received,
                                                std::uint64_t expected)
{
    const era_change change = note_era(received, expected);
    if (change == era_change::past) {
        return fail("response of an era before that of the held state");
    }
    const bool is_first_page = m_changes.position.is_none();
    if (change == era_change::none || is_first_page) {
        return std::nullopt;
    }
    if (++m_restarts > max_restarts) {
        return fail("the era has changed again and again");
    }
    m_last_revision = 0;
    return read_all();
}

read_step source_read::on_revision(const source_response& received)
{
    if (const auto next = check_era(received, m_last_revision)) {
        return *next;
    }
    m_last_revision = received.revision;
    m_source_revision = received.revision;
    return m_source_revision == m_changes.since.revision ? read_step::done : read_step::changes;
}

read_step source_read::on_changes(source_response received)
{
    std::uint64_t& reached = m_changes.position.revision;
    if (const auto next = check_era(received, reached)) {
        return *next;
    }
    const std::uint64_t before = reached;
    append(received);
    for (const published_item& item : m_changes.items) {
        reached = std::max(reached, item.position.revision);
    }
    if (reached >= m_source_revision) {
        return read_step::done;
    }
    // a watch may miss changes while the source drops its history
    return reached > before ? read_step::changes : read_all();
}

read_step source_read::on_page(source_response received)
{
    if (const auto next = check_era(received, m_last_revision)) {
        return *next;
    }
    m_last_revision = received.revision;
    // pages form no snapshot: the items are only known to be as recent as the first page
    if (m_changes.position.is_none()) {
        m_changes.position = {m_era, received.revision};
    }
    const bool has_more = received.has_more && !received.items.empty();
    append(received);
    return has_more ? read_step::page : read_step::done;
}

/// Adds the items of a response of the present era.
void source_read::append(source_response& received)
{
    for (published_item& item : received.items) {
        item.position.era = m_era;
        m_changes.items.push_back(std::move(item));
    }
}

} // namespace hickorykeel::gateway
