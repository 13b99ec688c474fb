#include "gateway/configuration/reader_choice.h"

#include <algorithm> // find, includes, reverse, sort
#include <cstddef>   // size_t
#include <string>    // string, to_string
#include <vector>    // vector

#include <doctest/doctest.h>

using hickorykeel::gateway::choose_readers;

namespace {

std::vector<std::string> make_ips(int count)
{
    std::vector<std::string> ips;
    ips.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        ips.push_back("10.1.0." + std::to_string(i + 1));
    }
    return ips;
}

} // namespace

TEST_CASE("in a small region every host reads the source")
{
    CHECK(choose_readers(make_ips(3), 3).size() == 3);
}

TEST_CASE("in a large region all hosts agree on the few hosts that read the source")
{
    auto ips = make_ips(26);
    const auto readers = choose_readers(ips, 3);
    CHECK(readers.size() == 3);
    std::reverse(ips.begin(), ips.end());
    CHECK(choose_readers(ips, 3) == readers);
}

TEST_CASE("the loss of a reader leaves the other readers unchanged")
{
    auto ips = make_ips(26);
    auto before = choose_readers(ips, 3);
    ips.erase(std::find(ips.begin(), ips.end(), before.front()));
    auto after = choose_readers(ips, 3);
    before.erase(before.begin());
    std::sort(before.begin(), before.end());
    std::sort(after.begin(), after.end());
    CHECK(std::includes(after.begin(), after.end(), before.begin(), before.end()));
}
