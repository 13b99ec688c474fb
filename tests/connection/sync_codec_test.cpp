#include "connection/sync_codec.h"
#include "support/published.h"

#include <string> // string, to_string

#include <doctest/doctest.h>

using namespace hickorykeel;

namespace {

constexpr time_point now{std::chrono::seconds{100}};

entries_update to_snapshot(std::uint64_t revision, const nlohmann::json& object)
{
    entries_update update{0, revision, {}};
    for (const auto& [key, value] : object.items()) {
        update.entries.push_back({key, value, false, revision});
    }
    return update;
}

replica make_replica(const nlohmann::json& object)
{
    replica held;
    held.apply(to_snapshot(1, object));
    held.apply(hosts_update{2, nlohmann::json::array()});
    return held;
}

} // namespace

TEST_CASE("sync messages")
{
    auto sender = make_replica(tests::published_example());

    SUBCASE("a complete state is received unchanged")
    {
        replica receiver;
        const auto update = make_update(sender, make_request(receiver), now);
        CHECK(apply_update(receiver, update).entries == update_outcome::accepted);
        CHECK(receiver.entries() == sender.entries());
        CHECK(receiver.hosts()->revision == 2);
    }

    SUBCASE("later changes and deletions are received")
    {
        auto receiver = sender;
        sender.apply(entries_update{1, 3, {{"profiles/booking", nullptr, true, 3}}});
        const auto update = make_update(sender, make_request(receiver), now);
        CHECK(update.entries_size() == 1);
        CHECK(update.host_list().empty());
        CHECK(apply_update(receiver, update).entries == update_outcome::accepted);
        CHECK(receiver.entries() == sender.entries());
    }

    SUBCASE("a requester with the same or a newer revision gets only the revision")
    {
        const auto update = make_update(replica{}, make_request(sender), now);
        CHECK(update.configuration_revision() == 0);
        CHECK(update.entries_size() == 0);
        auto receiver = sender;
        CHECK(apply_update(receiver, update).entries == update_outcome::ignored);
        CHECK(apply_update(receiver, update).hosts == update_outcome::ignored);
        CHECK(make_update(sender, make_request(sender), now).configuration_revision() == 1);
    }

    SUBCASE("the age of the confirmation is sent, rounded up")
    {
        CHECK_FALSE(make_update(sender, make_request(sender), now).has_confirmed_age_ms());
        sender.confirm(now - std::chrono::microseconds{1'500});
        CHECK(make_update(sender, make_request(sender), now).confirmed_age_ms() == 2);
    }

    SUBCASE("values that aren't JSON are malformed and change nothing")
    {
        replica receiver;
        auto update = make_update(sender, make_request(receiver), now);
        update.mutable_entries(0)->set_value("{");
        update.set_host_list("[");
        const auto outcome = apply_update(receiver, update);
        CHECK(outcome.entries == update_outcome::malformed);
        CHECK(outcome.hosts == update_outcome::malformed);
        CHECK(receiver.revision() == 0);
        CHECK(receiver.hosts_revision() == 0);
    }
}

TEST_CASE("size of a change")
{
    auto object = tests::published_example();
    for (int i = 0; i < 500; ++i) {
        object["failure_domains/d" + std::to_string(i)] = {{"region", "attica"}};
    }
    auto sender = make_replica(object);
    const auto request = make_request(sender);
    const auto value = object["profiles/visit-summary"];
    sender.apply(entries_update{1, 3, {{"profiles/visit-summary", value, false, 3}}});
    const auto change = make_update(sender, request, now).ByteSizeLong();
    const auto snapshot = make_update(sender, {}, now).ByteSizeLong();
    MESSAGE("bytes of a change " << change << ", of a snapshot " << snapshot << ", of a request "
                                 << request.ByteSizeLong());
    // a change costs its own entry, however many others there are
    CHECK(change < value.dump().size() + 64);
    CHECK(snapshot > 50 * change);
}
