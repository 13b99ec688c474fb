#include "gateway/configuration/publication.h"
#include "gateway/routing/rendezvous.h"
#include "gateway/routing/version_history.h"
#include "process/clock.h"

#include <chrono> // milliseconds, seconds
#include <map>    // map
#include <string> // string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
constexpr duration interval = 200ms;
constexpr duration window = 8s;
const std::string service_name = "s";

std::map<std::string, endpoint_entry> make_entries(const std::string& version)
{
    std::map<std::string, endpoint_entry> entries;
    entries["a"].service = service_name;
    entries["a"].software_version = version;
    return entries;
}

} // namespace

TEST_CASE("the only version is known once the whole window has been read")
{
    version_history history;
    time_point now = start;
    for (; now < start + window; now += interval) {
        history.update(make_entries("1"), now, now);
        CHECK_FALSE(history.only_version(service_name, window, now));
    }
    history.update(make_entries("1"), now, now);
    CHECK(history.only_version(service_name, window, now) == short_hash("1"));
    history.update(make_entries("2"), now + interval, now + interval);
    CHECK_FALSE(history.only_version(service_name, window, now + interval));
}

// guards against ORDER: a host that was cut off from the store took a version for the only one,
// though another one had come and gone meanwhile
TEST_CASE("regression: the only version isn't known after a time in which nothing was read")
{
    version_history history;
    time_point now = start;
    for (; now < start + 2 * window; now += interval) {
        history.update(make_entries("1"), now, now);
    }
    const time_point last_read = now;
    for (; now < last_read + 7s; now += interval) {
        history.update(make_entries("1"), last_read, now);
    }
    history.update(make_entries("1"), now, now);
    CHECK_FALSE(history.only_version(service_name, window, now));
}
