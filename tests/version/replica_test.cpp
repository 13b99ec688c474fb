#include "support/published.h"
#include "version/replica.h"

#include <algorithm> // sort, swap
#include <string>    // string
#include <vector>    // vector

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hickorykeel;
using nlohmann::json;

namespace {

entries_update to_snapshot(std::uint64_t revision, const json& object)
{
    entries_update update{0, revision, {}};
    for (const auto& [key, value] : object.items()) {
        update.entries.push_back({key, value, false, revision});
    }
    return update;
}

entries_update one_change(std::uint64_t base, std::uint64_t revision, const std::string& key,
                          const json& value)
{
    return {base, revision, {{key, value, value.is_null(), revision}}};
}

const json crete_two{{"region", "crete"}};

/// All states of the platform, by revision.
class platform_history {
public:
    platform_history() { m_states.push_back({}); }

    void add(const std::string& key, const json& value)
    {
        auto state = m_states.back();
        if (value.is_null()) {
            state.erase(key);
        }
        else {
            state[key] = value;
        }
        m_states.push_back(std::move(state));
        m_changes.push_back({key, value, value.is_null(), newest()});
    }

    [[nodiscard]] std::uint64_t newest() const { return m_states.size() - 1; }
    [[nodiscard]] const published_entries& at(std::uint64_t revision) const
    {
        return m_states.at(revision);
    }

    /// Returns the changes from `base` to `revision`, or the complete state if `base` is 0.
    [[nodiscard]] entries_update update(std::uint64_t base, std::uint64_t revision) const
    {
        std::map<std::string, entry_change> newest_by_key;
        for (std::uint64_t i = base; i < revision; ++i) {
            newest_by_key[m_changes[i].key] = m_changes[i];
        }
        entries_update built{base, revision, {}};
        for (const auto& [key, change] : newest_by_key) {
            if (base != 0 || !change.is_deleted) {
                built.entries.push_back(change);
            }
        }
        return built;
    }

private:
    std::vector<published_entries> m_states;
    std::vector<entry_change> m_changes;
};

platform_history random_history()
{
    platform_history built;
    const auto length = *rc::gen::inRange(1, 40);
    for (int i = 0; i < length; ++i) {
        const auto key = "failure_domains/d" + std::to_string(*rc::gen::inRange(0, 5));
        // one value in four is invalid
        const auto choice = *rc::gen::inRange(0, 4);
        const std::vector<json> values{
            json{}, {{"region", "r" + std::to_string(i)}}, {{"region", "same"}}, {{"region", 7}}};
        built.add(key, values[static_cast<std::size_t>(choice)]);
    }
    return built;
}

entries_update random_platform_update(const platform_history& published)
{
    const auto base = *rc::gen::inRange<std::uint64_t>(0, published.newest() + 1);
    const auto revision = *rc::gen::inRange<std::uint64_t>(base, published.newest() + 1);
    auto update = published.update(base, revision);
    if (update.entries.size() > 1 && *rc::gen::arbitrary<bool>()) {
        std::swap(update.entries.front(), update.entries.back());
    }
    return update;
}

} // namespace

TEST_CASE("updates of a replica")
{
    replica held;
    REQUIRE(held.apply(to_snapshot(5, tests::published_example())) == update_outcome::accepted);

    SUBCASE("older and equal revisions are ignored")
    {
        CHECK(held.apply(to_snapshot(5, {})) == update_outcome::ignored);
        CHECK(held.apply(to_snapshot(4, {})) == update_outcome::ignored);
        CHECK(held.apply(entries_update{3, 5, {}}) == update_outcome::ignored);
        CHECK(held.in_force()->revision == 5);
    }

    SUBCASE("changes after a gap need a snapshot")
    {
        CHECK(held.apply(one_change(6, 7, "failure_domains/crete-2", crete_two)) ==
              update_outcome::needs_snapshot);
        CHECK(held.revision() == 5);
    }

    SUBCASE("changes with an older base apply from the held revision")
    {
        CHECK(held.apply(one_change(2, 6, "failure_domains/crete-2", crete_two)) ==
              update_outcome::accepted);
        CHECK(held.in_force()->failure_domains.size() == 3);
    }

    SUBCASE("an update with inconsistent revisions changes nothing")
    {
        auto update = one_change(5, 6, "failure_domains/crete-2", crete_two);
        update.entries[0].revision = 9;
        CHECK(held.apply(update) == update_outcome::malformed);
        CHECK(held.apply(entries_update{9, 6, {}}) == update_outcome::malformed);
        CHECK(held.revision() == 5);
    }

    SUBCASE("a refused revision changes nothing in force")
    {
        const auto before = held.in_force();
        CHECK(held.apply(one_change(5, 6, "failure_domains/crete-2", {{"region", 1}})) ==
              update_outcome::refused);
        CHECK(held.in_force() == before);
        CHECK(held.revision() == 6);
        REQUIRE(held.refused_entries().has_value());
        CHECK(held.refused_entries()->revision == 6);
        CHECK(held.refused_entries()->faults[0].path == "failure_domains/crete-2/region");

        SUBCASE("and the first valid state after it is accepted whole")
        {
            CHECK(held.apply(one_change(6, 7, "failure_domains/crete-3", crete_two)) ==
                  update_outcome::refused);
            CHECK(held.apply(one_change(7, 8, "failure_domains/crete-2", crete_two)) ==
                  update_outcome::accepted);
            CHECK(held.in_force()->revision == 8);
            CHECK(held.in_force()->failure_domains.size() == 4);
            CHECK_FALSE(held.refused_entries().has_value());
        }

        SUBCASE("and it is relayed")
        {
            replica receiver;
            CHECK(receiver.apply(held.changes_since(0)) == update_outcome::refused);
            CHECK(receiver.revision() == 6);
            CHECK(receiver.in_force() == nullptr);
        }
    }
}

TEST_CASE("changes for relaying")
{
    replica held;
    held.apply(to_snapshot(1, tests::published_example()));
    for (std::uint64_t revision = 2; revision <= replica::maximum_log_changes + 50; ++revision) {
        const json value{{"region", "r" + std::to_string(revision)}};
        held.apply(one_change(revision - 1, revision, "failure_domains/extra", value));
    }

    SUBCASE("a process with a revision in the log gets the newest change of each key")
    {
        const auto update = held.changes_since(held.revision() - 20);
        CHECK(update.base == held.revision() - 20);
        REQUIRE(update.entries.size() == 1);
        CHECK(update.entries[0].revision == held.revision());
    }

    SUBCASE("a process older than the log gets the complete state")
    {
        CHECK(held.changes_since(10).base == 0);
        CHECK(held.changes_since(10).entries.size() == held.entries().size());
        CHECK(held.changes_since(held.revision() - replica::maximum_log_changes).base != 0);
    }

    SUBCASE("a process with the same or a newer revision gets nothing")
    {
        CHECK(held.changes_since(held.revision()).entries.empty());
        CHECK(held.changes_since(held.revision() + 9).revision == held.revision() + 9);
    }
}

TEST_CASE("host lists of a replica")
{
    replica held;
    CHECK(held.apply(hosts_update{4, json::array()}) == update_outcome::accepted);
    CHECK(held.apply(hosts_update{3, json::array()}) == update_outcome::ignored);
    CHECK(held.apply(hosts_update{6, json::object()}) == update_outcome::refused);
    CHECK(held.hosts()->revision == 4);
    CHECK(held.hosts_revision() == 6);
    CHECK(held.refused_hosts()->faults.size() == 1);
    CHECK(held.apply(hosts_update{7, json::array()}) == update_outcome::accepted);
    CHECK_FALSE(held.refused_hosts().has_value());
}

TEST_CASE("time of a replica's last confirmation")
{
    replica held;
    CHECK_FALSE(held.confirmed_at().has_value());
    held.confirm(time_point{std::chrono::seconds{8}});
    held.confirm(time_point{std::chrono::seconds{5}});
    CHECK(held.confirmed_at() == time_point{std::chrono::seconds{8}});
}

TEST_CASE("random interleavings of updates from the platform and from peers")
{
    const bool is_held = rc::check(
        "the revision in force never falls, and equal revisions mean equal configurations", [] {
            const auto published = random_history();
            std::vector<replica> replicas(3);
            const auto steps = *rc::gen::inRange(0, 60);
            for (int i = 0; i < steps; ++i) {
                auto& receiver = replicas[*rc::gen::inRange<std::size_t>(0, replicas.size())];
                const auto before = receiver.revision();
                const auto in_force = receiver.in_force();
                if (*rc::gen::arbitrary<bool>()) {
                    receiver.apply(random_platform_update(published));
                }
                else {
                    const auto& sender =
                        replicas[*rc::gen::inRange<std::size_t>(0, replicas.size())];
                    const auto after = *rc::gen::inRange<std::uint64_t>(0, published.newest() + 1);
                    receiver.apply(sender.changes_since(after));
                }
                RC_ASSERT(receiver.revision() >= before);
                RC_ASSERT(receiver.entries() == published.at(receiver.revision()));
                if (in_force) {
                    RC_ASSERT(receiver.in_force() != nullptr);
                    RC_ASSERT(receiver.in_force()->revision >= in_force->revision);
                }
            }
            for (auto& receiver : replicas) {
                receiver.apply(published.update(0, published.newest()));
                RC_ASSERT(receiver.entries() == published.at(published.newest()));
            }
        });
    CHECK(is_held);
}
