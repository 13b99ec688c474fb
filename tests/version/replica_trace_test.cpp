#include "support/model_trace.h"
#include "version/replica.h"

#include <array>    // array
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <utility>  // move

#include <doctest/doctest.h>

using namespace hickorykeel;
using nlohmann::json;

namespace {

constexpr std::size_t hosts = 3;
constexpr std::uint64_t platform = hosts;
const std::string even_key = "organisations/even";
const std::string odd_key = "organisations/odd";

// newest revision that set each key; an even revision sets even_key, an odd one odd_key
std::uint64_t even_of(std::uint64_t revision)
{
    return revision - revision % 2;
}

std::uint64_t odd_of(std::uint64_t revision)
{
    return revision == 0 ? 0 : revision - 1 + revision % 2;
}

/// Returns the change of `key` at `revision`. Its rate is the revision. Revision 2 is invalid: it
/// has the key digest of revision 1.
entry_change to_change(const std::string& key, std::uint64_t revision)
{
    const std::string digest(64, static_cast<char>('a' + (revision == 2 ? 1 : revision % 6)));
    // six digests suffice: two values are in force together only if their revisions are consecutive
    return {key,
            {{"home", "d"}, {"rate", revision}, {"burst", 1}, {"key_digests", {digest}}},
            false,
            revision};
}

/// Returns the response of the platform: the changes after `base`, or the complete state if it is
/// 0.
entries_update to_update(std::uint64_t base, std::uint64_t revision)
{
    entries_update update{base, revision, {}};
    if (base == 0) {
        update.entries.push_back({"failure_domains/d", {{"region", "attica"}}, false, 1});
    }
    if (even_of(revision) > base) {
        update.entries.push_back(to_change(even_key, even_of(revision)));
    }
    if (odd_of(revision) > base) {
        update.entries.push_back(to_change(odd_key, odd_of(revision)));
    }
    return update;
}

bool is_same(const entries_update& lhs, const entries_update& rhs)
{
    std::map<std::string, json> left;
    std::map<std::string, json> right;
    for (const auto& change : lhs.entries) {
        left[change.key] = {change.value, change.is_deleted, change.revision};
    }
    for (const auto& change : rhs.entries) {
        right[change.key] = {change.value, change.is_deleted, change.revision};
    }
    return lhs.base == rhs.base && lhs.revision == rhs.revision && left == right;
}

std::uint64_t held_at(const replica& held, const std::string& key)
{
    const auto found = held.entries().find(key);
    return found == held.entries().end() ? 0 : found->second.at("rate").get<std::uint64_t>();
}

std::uint64_t in_force_at(const replica& held, const std::string& name)
{
    if (!held.in_force() || !held.in_force()->organisations.contains(name)) {
        return 0;
    }
    return static_cast<std::uint64_t>(held.in_force()->organisations.at(name).rate);
}

std::string to_trace_name(update_outcome outcome)
{
    const std::array names{"accepted", "ignored", "needs_snapshot", "refused", "malformed"};
    return names.at(static_cast<std::size_t>(outcome));
}

/// The hosts of models/configuration.pml and the updates on their way.
class replica_fleet {
public:
    void apply_step(const tests::model_step& step)
    {
        if (step.name == "send") {
            send(step.number(0), step.number(1), step.number(2), step.number(3));
        }
        else if (step.name == "take") {
            m_outcome =
                to_trace_name(m_hosts.at(step.number(1)).apply(m_updates.at(step.number(0))));
        }
        else if (step.name == "outcome") {
            REQUIRE(m_outcome == step.words.at(0));
        }
        else if (step.name == "restart") {
            m_hosts.at(step.number(0)) = {};
        }
        else {
            REQUIRE(step.name == "state");
            check_state(m_hosts.at(step.number(0)), step);
        }
    }

private:
    void send(std::size_t place, std::uint64_t sender, std::uint64_t revision, std::uint64_t after)
    {
        auto update = to_update(after, revision);
        if (sender != platform) {
            const auto answer = m_hosts.at(sender).changes_since(after);
            // the model doesn't have the complete state that a sender returns if its log begins
            // later
            REQUIRE(is_same(answer, answer.base == 0 ? to_update(0, revision) : update));
        }
        m_updates.at(place) = std::move(update);
    }

    static void check_state(const replica& held, const tests::model_step& step)
    {
        CHECK(held.revision() == step.number(1));
        CHECK(held_at(held, even_key) == step.number(2));
        CHECK(held_at(held, odd_key) == step.number(3));
        CHECK((held.in_force() ? held.in_force()->revision : 0) == step.number(4));
        CHECK(in_force_at(held, "even") == step.number(5));
        CHECK(in_force_at(held, "odd") == step.number(6));
    }

    std::array<replica, hosts> m_hosts;
    std::array<entries_update, 2> m_updates;
    std::string m_outcome;
};

} // namespace

TEST_CASE("replicas follow the traces of models/configuration.pml")
{
    const auto traces = tests::read_traces("configuration");
    REQUIRE(traces.size() >= 20);
    std::map<std::string, int> outcomes;
    for (std::size_t i = 0; i < traces.size(); ++i) {
        replica_fleet fleet;
        for (std::size_t at = 0; at < traces[i].size(); ++at) {
            CAPTURE(i);
            CAPTURE(at);
            fleet.apply_step(traces[i][at]);
            if (traces[i][at].name == "outcome") {
                ++outcomes[traces[i][at].words.at(0)];
            }
        }
    }
    // the traces reach each outcome of the specification
    CHECK(outcomes.size() == 4);
}
