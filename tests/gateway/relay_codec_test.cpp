#include "gateway/configuration/relay_codec.h"

#include <cstdint> // uint64_t
#include <random>  // mt19937_64
#include <string>  // string, to_string
#include <variant> // get

#include <doctest/doctest.h>
#include <zlib.h> // compress2

using namespace hickorykeel;
using namespace hickorykeel::gateway;

namespace {

published_changes make_changes(std::uint64_t count)
{
    published_changes changes{{6, 3}, {6, 500}, {}};
    for (std::uint64_t i = 0; i < count; ++i) {
        changes.items.push_back({"endpoint-" + std::to_string(i), "some value", {6, i + 4}, false});
    }
    changes.items.push_back({"gone", "", {6, 499}, true});
    return changes;
}

} // namespace

TEST_CASE("changes are the same after encoding and decoding")
{
    const published_changes sent = make_changes(3'000);
    const auto decoded = decode_changes(encode_changes(sent), "host");
    REQUIRE(is_ok(decoded));
    const auto& received = std::get<published_changes>(decoded);
    CHECK(received.since == source_position{6, 3});
    CHECK(received.position == source_position{6, 500});
    REQUIRE(received.items.size() == 3'001);
    CHECK(received.items.front().key == "endpoint-0");
    CHECK(received.items.front().value == "some value");
    CHECK(received.items.front().position == source_position{6, 4});
    CHECK_FALSE(received.items.front().is_deleted);
    CHECK(received.items.back().is_deleted);
}

TEST_CASE("a damaged message of changes is an error or a message, never a crash")
{
    const std::string sent = encode_changes(make_changes(20));
    std::mt19937_64 random{7};
    for (int round = 0; round < 2'000; ++round) {
        std::string damaged = sent;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        if (round % 3 == 0) {
            damaged.resize(random() % damaged.size());
        }
        const auto decoded = decode_changes(damaged, "host");
        if (const auto* failure = std::get_if<error>(&decoded)) {
            CHECK(failure->peer == "host");
        }
    }
    CHECK_FALSE(is_ok(decode_changes("", "host")));
    CHECK_FALSE(is_ok(decode_changes("{\"items\":[]}", "host")));
}

TEST_CASE("a small message that grows beyond the limit is an error")
{
    const std::string large(max_relayed_bytes + 1, '\0');
    uLongf size = compressBound(static_cast<uLong>(large.size()));
    std::string compressed(size, '\0');
    REQUIRE(compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                      reinterpret_cast<const Bytef*>(large.data()),
                      static_cast<uLong>(large.size()), 9) == Z_OK);
    compressed.resize(size);
    CHECK(compressed.size() < 100'000);
    CHECK_FALSE(is_ok(decode_changes(compressed, "host")));
}
