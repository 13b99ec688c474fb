#include "generated/link.pb.h"
#include "support/fuzz_configuration.h"
#include "support/fuzz_corpus.h"
#include "support/fuzz_targets.h"
#include "version/json_text.h"

#include <string> // string

#include <doctest/doctest.h>

using namespace hickorykeel;

namespace {

void feed(tests::fuzz_target target, const std::string& bytes)
{
    target(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

} // namespace

TEST_CASE("JSON nested without bound")
{
    constexpr std::size_t depth = 1'000'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');

    SUBCASE("in a caller's body")
    {
        feed(tests::fuzz_caller_request, "/v1/chat/completions\n\nk\nvisit-summary\n\n\n\n"
                                         R"({"model":"assistant","messages":)" +
                                             nested + "}");
    }
    SUBCASE("in an answer of the platform")
    {
        feed(tests::fuzz_configuration,
             R"({"revision":1,"base":0,"entries":[{"key":"targets/a","revision":1,"value":)" +
                 nested + "}]}");
        feed(tests::fuzz_configuration, R"({"revision":1,"hosts":)" + nested + "}");
    }
    SUBCASE("in an update of a peer")
    {
        link::envelope message;
        auto& update = *message.mutable_sync_update();
        update.set_configuration_revision(9);
        auto& entry = *update.add_entries();
        entry.set_key("targets/a");
        entry.set_revision(9);
        entry.set_value(nested);
        update.set_host_list_revision(9);
        update.set_host_list(nested);
        feed(tests::fuzz_link, message.SerializeAsString());
    }
}

TEST_CASE("the bound of nested JSON")
{
    const auto nest = [](std::size_t depth) {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    CHECK_FALSE(parse_json(nest(maximum_json_depth)).is_discarded());
    CHECK(parse_json(nest(maximum_json_depth + 1)).is_discarded());
    const std::string brackets(300, '[');
    // brackets in a text count for nothing, also after an escaped quote
    CHECK_FALSE(parse_json("[\"" + brackets + "\"]").is_discarded());
    CHECK_FALSE(parse_json("[\"\\\"" + brackets + "\"]").is_discarded());
    CHECK(parse_json("[\"\\\\\"," + brackets).is_discarded());
}
