#include "gateway/routing/stream_origins.h"

#include "gateway/routing/rendezvous.h"

#include <chrono>  // milliseconds, seconds
#include <cstddef> // size_t
#include <string>  // string, to_string
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

std::vector<stream_report> take(stream_origins& origins, bool has_several, time_point now)
{
    return origins.take_reports([has_several](const std::string&) { return has_several; }, now);
}

} // namespace

TEST_CASE("the version that has begun a stream is known until its caller can't resume it")
{
    stream_origins origins{{}};
    origins.on_begun("own", "s", 7, start + 2s, start);
    origins.on_peer_report({long_hash("told"), 8, 3s}, start);
    CHECK(origins.find("own", start + 1'999ms) == 7);
    CHECK(origins.find("told", start + 2'999ms) == 8);
    CHECK_FALSE(origins.find("own", start + 2s));
    CHECK_FALSE(origins.find("told", start + 3s));
    CHECK_FALSE(origins.find("another", start));
    CHECK_FALSE(origins.find("", start));
}

// guards against ORDER: a stream whose id two versions were named for went on at either
TEST_CASE("regression: a stream for which two versions are named has none")
{
    stream_origins origins{{}};
    origins.on_begun("id", "s", 7, start + 2s, start);
    origins.on_peer_report({long_hash("id"), 8, 1s}, start);
    origins.on_peer_report({long_hash("id"), 7, 2s}, start);
    CHECK_FALSE(origins.find("id", start));
    CHECK(take(origins, true, start).empty());
}

TEST_CASE("a repeated report extends the time in which a stream is known")
{
    stream_origins origins{{}};
    origins.on_peer_report({long_hash("id"), 8, 1s}, start);
    origins.on_peer_report({long_hash("id"), 8, 1s}, start + 500ms);
    CHECK(origins.find("id", start + 1'400ms) == 8);
    CHECK(origins.size() == 1);
}

TEST_CASE("streams are told twice while a service has several versions")
{
    stream_origins origins{{}};
    origins.on_begun("id", "s", 7, start + 2s, start);
    for (int round = 0; round < 2; ++round) {
        const auto reports = take(origins, true, start + 500ms);
        REQUIRE(reports.size() == 1);
        CHECK(reports.front().stream == long_hash("id"));
        CHECK(reports.front().software_version == 7);
        CHECK(reports.front().remaining == 1'500ms);
    }
    CHECK(take(origins, true, start + 500ms).empty());
}

// guards against LOST: streams begun before a roll-out were known to the host that began them only
TEST_CASE("regression: streams begun while a service had one version are told once it has several")
{
    stream_origins origins{{}};
    origins.on_begun("over", "s", 7, start + 1s, start);
    origins.on_begun("open", "s", 7, start + 9s, start);
    CHECK(take(origins, false, start + 500ms).empty());
    const auto reports = take(origins, true, start + 2s);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().stream == long_hash("open"));
}

TEST_CASE("only streams of services with several versions are told")
{
    stream_origins origins{{}};
    origins.on_begun("a", "one", 7, start + 2s, start);
    origins.on_begun("b", "several", 7, start + 2s, start);
    const auto reports = origins.take_reports(
        [](const std::string& service) { return service == "several"; }, start);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().stream == long_hash("b"));
}

TEST_CASE("what one heartbeat doesn't hold is told by the next ones")
{
    stream_origins origins{{.max_reports = 4, .tellings = 2}};
    for (int i = 0; i < 10; ++i) {
        origins.on_begun(std::to_string(i), "s", 7, start + 2s, start);
    }
    std::size_t told = 0;
    for (int round = 0; round < 5; ++round) {
        const auto reports = take(origins, true, start);
        CHECK(reports.size() == 4);
        told += reports.size();
    }
    CHECK(told == 20);
    CHECK(take(origins, true, start).empty());
}

TEST_CASE("the oldest streams are forgotten where there are too many")
{
    stream_origins origins{{.max_streams = 3}};
    for (int i = 0; i < 5; ++i) {
        origins.on_begun(std::to_string(i), "s", 7, start + 2s, start);
    }
    CHECK(origins.size() == 3);
    CHECK_FALSE(origins.find("1", start));
    CHECK(origins.find("2", start) == 7);
    CHECK(take(origins, true, start).size() == 3);
    origins.on_begun("late", "s", 7, start + 4s, start + 3s);
    CHECK(origins.size() == 1);
}
