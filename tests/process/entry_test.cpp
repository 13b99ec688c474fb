#include "process/entry.h"

#include "support/free_port.h"

#include <doctest/doctest.h>

using namespace hickorykeel;
using hickorykeel::tests::free_address;

namespace {

entry::options to_options(const std::string& http_listen)
{
    entry::options chosen;
    chosen.host = "attica-a";
    chosen.failure_domain = "attica-1";
    chosen.http_listen = http_listen;
    chosen.link_listen = free_address();
    chosen.configd_address = free_address();
    chosen.dispatch_address = free_address();
    return chosen;
}

} // namespace

TEST_CASE("callers' address is bound by one process alone")
{
    const std::string address = free_address();
    const auto first = entry::open(to_options(address));
    REQUIRE(is_ok(first));
    const auto second = entry::open(to_options(address));
    REQUIRE(!is_ok(second));
    CHECK(std::get<error>(second).kind == error_kind::link_unreachable);
}
