#include "process/platform_answer.h"
#include "support/fuzz_configuration.h"
#include "support/paths.h"

#include <filesystem> // directory_iterator
#include <fstream>    // ifstream
#include <iterator>   // istreambuf_iterator
#include <random>     // mt19937_64
#include <string>     // string
#include <vector>     // vector

#include <doctest/doctest.h>

using namespace hickorykeel;

namespace {

std::vector<std::string> read_corpus()
{
    std::vector<std::string> bodies;
    const auto folder = tests::source_path("tests/corpus/configuration");
    for (const auto& file : std::filesystem::directory_iterator{folder}) {
        std::ifstream stream{file.path()};
        bodies.emplace_back(std::istreambuf_iterator<char>{stream},
                            std::istreambuf_iterator<char>{});
    }
    return bodies;
}

void feed(const std::string& body)
{
    tests::fuzz_configuration(reinterpret_cast<const std::uint8_t*>(body.data()), body.size());
}

/// Changes, removes or doubles a few bytes; most results are no JSON, many still are.
std::string mutate(std::string body, std::mt19937_64& random)
{
    const std::string symbols = "{}[]\",:0123456789eE.-ntfu/ ";
    const auto changes = 1 + random() % 4;
    for (std::uint64_t i = 0; i < changes && !body.empty(); ++i) {
        const auto at = random() % body.size();
        switch (random() % 4) {
        case 0:
            body[at] = symbols[random() % symbols.size()];
            break;
        case 1:
            body[at] = static_cast<char>(random());
            break;
        case 2:
            body.erase(at, 1 + random() % 8);
            break;
        default:
            body.insert(at, body.substr(random() % body.size(), 1 + random() % 32));
            break;
        }
    }
    return body;
}

bool is_entries(const std::string& body)
{
    return is_ok(to_entries_update(body));
}

} // namespace

TEST_CASE("the platform's answers")
{
    SUBCASE("entries, changed and deleted")
    {
        const auto read = to_entries_update(
            R"({"revision": 9, "base": 7, "entries": [{"key": "a", "revision": 8, "deleted": true},
                {"key": "b", "revision": 9, "value": {"x": 1}}]})");
        REQUIRE(is_ok(read));
        const auto& update = std::get<entries_update>(read);
        CHECK(update.base == 7);
        CHECK(update.revision == 9);
        CHECK(update.entries[0].is_deleted);
        CHECK(update.entries[1].value["x"] == 1);
    }

    SUBCASE("anything else is an error")
    {
        CHECK(is_entries(R"({"revision": 9, "base": 0, "entries": []})"));
        CHECK_FALSE(is_entries("no JSON"));
        CHECK_FALSE(is_entries("[]"));
        CHECK_FALSE(is_entries(R"({"revision": 9, "entries": []})"));
        CHECK_FALSE(is_entries(R"({"revision": -9, "base": 0, "entries": []})"));
        CHECK_FALSE(is_entries(R"({"revision": 9, "base": 0, "entries": [7]})"));
        CHECK_FALSE(is_entries(R"({"revision": 9, "base": 0, "entries": [{"key": "a"}]})"));
        CHECK_FALSE(
            is_entries(R"({"revision": 9, "base": 0, "entries": [{"key": "a", "revision": 9}]})"));
        CHECK_FALSE(is_ok(to_hosts_update(R"({"hosts": []})")));
        CHECK(is_ok(to_hosts_update(R"({"revision": 1, "hosts": []})")));
    }
}

TEST_CASE("waits after failed reads")
{
    CHECK(to_backoff(0, 0) == std::chrono::milliseconds{50});
    CHECK(to_backoff(0, 1) == std::chrono::milliseconds{250});
    CHECK(to_backoff(1, 1) == std::chrono::milliseconds{450});
    CHECK(to_backoff(1'000, 1) == std::chrono::milliseconds{5'050});
}

TEST_CASE("random bytes as published state")
{
    constexpr int mutations_each = 2'000;
    std::mt19937_64 random{20261204};
    const auto corpus = read_corpus();
    REQUIRE(corpus.size() >= 4);
    for (const auto& body : corpus) {
        feed(body);
        for (int i = 0; i < mutations_each; ++i) {
            feed(mutate(body, random));
        }
    }
}
