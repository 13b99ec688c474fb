#include "gateway/configuration/published_items.h"

#include "gateway/configuration/relay_codec.h"

#include <cstdint> // uint64_t
#include <map>     // map
#include <random>  // mt19937_64, uniform_int_distribution
#include <string>  // string, to_string
#include <variant> // get
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;

namespace {

/// Each item is an endpoint called by its key, at the address of its value; "bad" is an error.
result<published_value> decode(const published_item& item)
{
    if (item.value == "bad") {
        return error{error_kind::platform_answer_invalid, "decode", "source", "bad"};
    }
    endpoint_entry entry;
    entry.id = item.key;
    entry.address = item.value;
    return published_value{entry};
}

published_items make_items()
{
    return published_items{decode};
}

merge_outcome apply(published_items& items, const published_changes& changes)
{
    const auto applied = items.apply(changes);
    REQUIRE(is_ok(applied));
    return std::get<merge_outcome>(applied);
}

/// Addresses by id.
std::map<std::string, std::string> contents(const published_items& items)
{
    std::map<std::string, std::string> held;
    for (const endpoint_entry& entry : items.to_reading().endpoints) {
        held[entry.id] = entry.address;
    }
    return held;
}

using address_map = std::map<std::string, std::string>;

} // namespace

TEST_CASE("changes since the held revision are merged")
{
    published_items items = make_items();
    CHECK(apply(items, {0, 10, {{"a", "1", 4, false}, {"b", "1", 9, false}}}) ==
          merge_outcome::changed);
    CHECK(apply(items, {10, 10, {}}) == merge_outcome::unchanged);
    CHECK(apply(items, {10, 12, {{"b", "2", 11, false}, {"a", "", 12, true}}}) ==
          merge_outcome::changed);
    CHECK(contents(items) == address_map{{"b", "2"}});
    CHECK(items.revision() == 12);
}

TEST_CASE("changes that are older than the held state, or with a gap to it, are ignored")
{
    published_items items = make_items();
    apply(items, {0, 10, {{"a", "1", 10, false}}});
    CHECK(apply(items, {0, 9, {{"a", "0", 9, false}}}) == merge_outcome::outdated);
    CHECK(apply(items, {5, 9, {{"a", "", 9, true}}}) == merge_outcome::outdated);
    CHECK(apply(items, {11, 12, {{"a", "2", 12, false}}}) == merge_outcome::outdated);
    CHECK(contents(items) == address_map{{"a", "1"}});
    CHECK(items.revision() == 10);
}

TEST_CASE("the newer of two writes or deletions of an item wins")
{
    published_items items = make_items();
    // pages form no snapshot: an item may be newer than the revision of the whole
    apply(items, {0, 10, {{"a", "new", 15, false}, {"b", "1", 3, false}}});
    CHECK(apply(items, {0, 12, {{"b", "1", 3, false}}}) == merge_outcome::unchanged);
    CHECK(contents(items) == address_map{{"a", "new"}, {"b", "1"}});
    CHECK(apply(items, {12, 14, {{"a", "old", 13, false}, {"a", "", 14, true}}}) ==
          merge_outcome::unchanged);
    CHECK(contents(items).at("a") == "new");
    apply(items, {14,
                  20,
                  {{"a", "", 16, true},
                   {"b", "2", 17, false},
                   {"b", "", 18, true},
                   {"c", "", 18, true},
                   {"c", "1", 19, false}}});
    CHECK(contents(items) == address_map{{"c", "1"}});
}

TEST_CASE("an item that can't be decoded leaves everything as it was")
{
    published_items items = make_items();
    apply(items, {0, 10, {{"a", "1", 4, false}}});
    const auto applied = items.apply({10, 12, {{"b", "1", 11, false}, {"a", "bad", 12, false}}});
    CHECK_FALSE(is_ok(applied));
    CHECK(contents(items) == address_map{{"a", "1"}});
    CHECK(items.revision() == 10);
}

TEST_CASE("an unchanged state of thousands of endpoints costs a host nothing to pass on")
{
    published_items items = make_items();
    published_changes all{0, 5'000, {}};
    for (std::uint64_t i = 1; i <= 3'000; ++i) {
        all.items.push_back({"endpoint-" + std::to_string(i), "10.0.0.1:80", i, false});
    }
    apply(items, all);
    CHECK(items.changes_since(5'000).items.empty());
    CHECK(encode_changes(items.changes_since(5'000)).size() < 100);
    apply(items, {5'000, 5'001, {{"endpoint-7", "", 5'001, true}}});
    CHECK(items.changes_since(5'000).items.size() == 1);
    CHECK(items.changes_since(5'001).items.empty());
    CHECK(items.changes_since(6'000).items.empty()); // the other host is ahead
}

TEST_CASE("a host gets all items where the remembered deletions don't reach back")
{
    published_items items = make_items();
    apply(items, {0, 10, {{"a", "1", 4, false}}});
    SUBCASE("before the first reading")
    {
        CHECK(items.changes_since(9).since == 0);
        CHECK(items.changes_since(9).items.size() == 1);
        CHECK(items.changes_since(0).items.size() == 1);
    }
    SUBCASE("after too many deletions")
    {
        std::uint64_t revision = 10;
        for (std::size_t i = 0; i <= published_items::max_deletions; ++i) {
            const std::string key = "gone-" + std::to_string(i);
            apply(items, {revision, revision + 1, {{key, "", revision + 1, true}}});
            ++revision;
        }
        CHECK(items.changes_since(10).since == 0);
        CHECK(items.changes_since(10).items.size() == 1);
    }
}

namespace {

/// A source whose items change at random, and hosts that learn of it from the source and from
/// each other, partly late.
class random_fleet {
public:
    explicit random_fleet(std::uint64_t seed) : m_random{seed}
    {
        for (int i = 0; i < 5; ++i) {
            m_hosts.push_back(make_items());
        }
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            step();
        }
        for (published_items& host : m_hosts) {
            learn(host, from_source(host.revision()));
            CHECK(contents(host) == m_contents);
        }
    }

private:
    std::uint64_t below(std::uint64_t limit)
    {
        return std::uniform_int_distribution<std::uint64_t>{0, limit - 1}(m_random);
    }

    published_items& any_host() { return m_hosts[below(m_hosts.size())]; }

    void step()
    {
        switch (below(5)) {
        case 0:
        case 1:
            change_source();
            break;
        case 2: {
            published_items& host = any_host();
            learn(host, from_source(below(4) == 0 ? 0 : host.revision()));
            break;
        }
        case 3: {
            published_items& host = any_host();
            learn(host, any_host().changes_since(host.revision()));
            break;
        }
        default:
            deliver_late();
            break;
        }
    }

    void change_source()
    {
        const std::string key(1, static_cast<char>('a' + below(12)));
        ++m_revision;
        if (below(3) == 0) {
            m_contents.erase(key);
            m_events.push_back({key, "", m_revision, true});
            return;
        }
        m_contents[key] = std::to_string(m_revision);
        m_events.push_back({key, m_contents[key], m_revision, false});
    }

    /// What the source tells of the changes since a revision; 0: all items, of which some may be
    /// newer than the first page.
    published_changes from_source(std::uint64_t since)
    {
        if (since > 0) {
            published_changes changes{since, m_revision, {}};
            for (const published_item& event : m_events) {
                if (event.revision > since) {
                    changes.items.push_back(event);
                }
            }
            return changes;
        }
        const std::uint64_t first_page = m_revision;
        if (below(2) == 0) {
            change_source();
        }
        published_changes all{0, first_page, {}};
        for (const auto& [key, value] : m_contents) {
            all.items.push_back({key, value, std::stoull(value), false});
        }
        return all;
    }

    /// Keeps a message for later, or delivers one that was kept.
    void deliver_late()
    {
        if (below(2) == 0 || m_late.empty()) {
            m_late.push_back(any_host().changes_since(below(m_revision + 1)));
            return;
        }
        learn(any_host(), m_late[below(m_late.size())]);
    }

    void learn(published_items& host, const published_changes& changes)
    {
        const std::uint64_t before = host.revision();
        const address_map held = contents(host);
        if (changes.revision == 0) {
            return; // a host without a state has nothing to pass on
        }
        apply(host, changes);
        CHECK(host.revision() >= before);
        for (const auto& [key, value] : contents(host)) {
            const auto former = held.find(key);
            if (former != held.end()) {
                CHECK(std::stoull(value) >= std::stoull(former->second));
            }
        }
    }

    std::mt19937_64 m_random;
    std::uint64_t m_revision = 0;
    address_map m_contents;
    std::vector<published_item> m_events;
    std::vector<published_items> m_hosts;
    std::vector<published_changes> m_late;
};

} // namespace

TEST_CASE("copies follow the source in random schedules, and no item goes back")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        random_fleet fleet{seed};
        fleet.run(150);
    }
}
