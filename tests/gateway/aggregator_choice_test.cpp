#include "gateway/membership/aggregator_choice.h"

#include <algorithm> // count, find_if, includes, reverse, sort
#include <cstddef>   // size_t
#include <set>       // set
#include <string>    // string, to_string
#include <vector>    // vector

#include <doctest/doctest.h>

using hickorykeel::gateway::aggregator_candidate;

namespace {

struct test_host {
    std::string ip;
    std::string failure_domain;
};

std::vector<std::string> choose_aggregators(const std::vector<test_host>& hosts,
                                            std::size_t max_hosts)
{
    std::vector<aggregator_candidate> candidates;
    candidates.reserve(hosts.size());
    for (const test_host& host : hosts) {
        candidates.push_back({host.ip, host.failure_domain});
    }
    return hickorykeel::gateway::choose_aggregators(candidates, max_hosts);
}

std::vector<test_host> make_hosts(int count, int domains = 1)
{
    std::vector<test_host> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        hosts.push_back(
            {"10.1.0." + std::to_string(i + 1), "domain-" + std::to_string(i % domains)});
    }
    return hosts;
}

} // namespace

TEST_CASE("in a small region every host is chosen")
{
    CHECK(choose_aggregators(make_hosts(3), 3).size() == 3);
}

TEST_CASE("in a large region all hosts agree on the few hosts that are chosen")
{
    auto hosts = make_hosts(26);
    const auto chosen = choose_aggregators(hosts, 3);
    CHECK(chosen.size() == 3);
    std::reverse(hosts.begin(), hosts.end());
    CHECK(choose_aggregators(hosts, 3) == chosen);
}

TEST_CASE("the loss of a chosen host leaves the others chosen")
{
    auto hosts = make_hosts(26);
    auto before = choose_aggregators(hosts, 3);
    std::erase_if(hosts, [&before](const auto& host) { return host.ip == before.front(); });
    auto after = choose_aggregators(hosts, 3);
    before.erase(before.begin());
    std::sort(before.begin(), before.end());
    std::sort(after.begin(), after.end());
    CHECK(std::includes(after.begin(), after.end(), before.begin(), before.end()));
}

TEST_CASE("the chosen hosts are of as many failure domains as there are")
{
    constexpr int domains = 4;
    const auto hosts = make_hosts(40, domains);
    std::set<std::string> chosen_domains;
    for (const std::string& ip : choose_aggregators(hosts, domains)) {
        const auto found = std::find_if(hosts.begin(), hosts.end(),
                                        [&ip](const auto& host) { return host.ip == ip; });
        chosen_domains.insert(found->failure_domain);
    }
    CHECK(chosen_domains.size() == domains);
}

TEST_CASE("a failure domain with few hosts: the rest are of the others")
{
    auto hosts = make_hosts(6);
    hosts.push_back({"10.2.0.1", "small"});
    const auto chosen = choose_aggregators(hosts, 4);
    CHECK(chosen.size() == 4);
    CHECK(std::count(chosen.begin(), chosen.end(), "10.2.0.1") == 1);
    CHECK(std::set<std::string>(chosen.begin(), chosen.end()).size() == 4);
}
