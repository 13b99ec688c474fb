#include "process/entry_router.h"

#include <chrono> // milliseconds
#include <set>    // set

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{std::chrono::hours{1}};

/// Two hosts in attica-1, two in crete-1, one in epirus-1; the own one is "attica-1-a".
class fixture {
public:
    fixture()
    {
        m_in_force.failure_domains = {{"attica-1", {"attica-1", "attica"}},
                                      {"crete-1", {"crete-1", "crete"}},
                                      {"epirus-1", {"epirus-1", "epirus"}}};
        m_profile.regions = {"attica", "crete", "epirus"};
        m_target.name = "assistant";
        m_in_force.targets[m_target.name] = m_target;
        m_admitted.matched_profile = &m_profile;
        m_admitted.matched_target = &m_target;
        host_list listed;
        for (const char* name :
             {"attica-1-a", "attica-1-b", "crete-1-a", "crete-1-b", "epirus-1-a"}) {
            host each;
            each.name = name;
            each.failure_domain = each.name.substr(0, each.name.size() - 2);
            each.dispatch_address = each.name;
            listed.hosts.push_back(each);
        }
        m_directory.apply(listed, start);
        m_directory.apply(m_in_force, start);
        m_router.apply(m_in_force);
    }

    void pong(const std::string& address, std::uint32_t live_endpoints, double wait = 0,
              double batch_wait = 0, duration round_trip = 1ms)
    {
        link::pong message;
        link::target_load& load = *message.add_loads();
        load.set_target("assistant");
        load.set_live_endpoints(live_endpoints);
        load.set_wait_seconds(wait);
        load.set_batch_wait_seconds(batch_wait);
        m_directory.on_pong(address, 7, message, round_trip, start);
    }

    void pong_all()
    {
        for (const char* address :
             {"attica-1-a", "attica-1-b", "crete-1-a", "crete-1-b", "epirus-1-a"}) {
            pong(address, 2);
        }
    }

    /// Host chosen, or "" for none.
    std::string choose(const visited_places& visited = {})
    {
        const auto chosen = m_router.choose(m_admitted, visited);
        return chosen ? chosen->host : "";
    }

    dispatch_directory& directory() { return m_directory; }
    entry_router& router() { return m_router; }
    profile& matched_profile() { return m_profile; }

private:
    configuration m_in_force;
    profile m_profile;
    target m_target;
    admitted_request m_admitted;
    dispatch_directory m_directory{"attica-1-a", "attica-1", "attica-1-a"};
    entry_router m_router{m_directory, "attica-1", 1};
};

} // namespace

TEST_CASE("entry router")
{
    fixture fleet;

    SUBCASE("nothing was heard yet")
    {
        CHECK(fleet.choose().empty());
    }
    SUBCASE("the own host's dispatch process, as long as it can")
    {
        fleet.pong_all();
        CHECK(fleet.choose() == "attica-1-a");
        CHECK(fleet.choose({{}, {"attica-1-a"}}) == "attica-1-b");
        fleet.pong("attica-1-a", 0);
        CHECK(fleet.choose() == "attica-1-b");
    }
    SUBCASE("another failure domain gets requests at each of its hosts")
    {
        fleet.pong("crete-1-a", 2);
        fleet.pong("crete-1-b", 2);
        std::set<std::string> seen;
        for (int i = 0; i < 100; ++i) {
            seen.insert(fleet.choose());
        }
        CHECK(seen == std::set<std::string>{"crete-1-a", "crete-1-b"});
    }
    SUBCASE("a region that the profile does not allow is never chosen")
    {
        fleet.pong_all();
        fleet.matched_profile().regions = {"epirus"};
        CHECK(fleet.choose() == "epirus-1-a");
        CHECK(fleet.choose({{"epirus-1"}, {"epirus-1-a"}}).empty());
        fleet.matched_profile().regions = {};
        CHECK(fleet.choose().empty());
    }
    SUBCASE("at most one forward to another failure domain")
    {
        fleet.pong_all();
        const std::string forwarded = fleet.choose({{"attica-1"}, {"attica-1-a"}});
        CHECK_FALSE(forwarded.empty());
        CHECK_FALSE(forwarded.starts_with("attica-1"));
        CHECK(fleet.choose({{"attica-1", "crete-1"}, {"attica-1-a", "crete-1-a"}}).empty());
    }
    SUBCASE("after each host of the own failure domain another one")
    {
        fleet.pong_all();
        const std::string other = fleet.choose({{}, {"attica-1-a", "attica-1-b"}});
        CHECK_FALSE(other.empty());
        CHECK_FALSE(other.starts_with("attica-1"));
    }
    SUBCASE("waits of interactive and batch requests are told apart")
    {
        fleet.pong_all();
        fleet.pong("attica-1-a", 2, 0, 60);
        fleet.directory().refresh(start);
        CHECK(fleet.choose() == "attica-1-a");
        fleet.matched_profile().is_interactive = false;
        CHECK_FALSE(fleet.choose().starts_with("attica-1"));
    }
    SUBCASE("a measured slow way costs more than the wait that it saves")
    {
        fleet.pong("attica-1-a", 2, 2, 2);
        fleet.pong("crete-1-a", 2, 0, 0, 6s);
        fleet.directory().refresh(start);
        CHECK(fleet.choose() == "attica-1-a");
        fleet.pong("crete-1-a", 2, 0, 0, 100ms);
        fleet.directory().refresh(start);
        CHECK(fleet.choose() == "crete-1-a");
    }
    SUBCASE("a dispatch process that is silent gets nothing")
    {
        fleet.pong("attica-1-a", 2);
        fleet.directory().refresh(start + dispatch_directory::silence_limit);
        CHECK(fleet.choose().empty());
    }
    SUBCASE("a suspected dispatch process gets only what no other may have")
    {
        fleet.pong_all();
        fleet.directory().suspect("attica-1-a", start);
        CHECK(fleet.choose() == "attica-1-b");
        fleet.directory().suspect("attica-1-b", start);
        CHECK_FALSE(fleet.choose().starts_with("attica-1"));
        fleet.matched_profile().regions = {"attica"};
        CHECK(fleet.choose() == "attica-1-a");
        CHECK(fleet.choose({{}, {"attica-1-a"}}) == "attica-1-b");
    }
    SUBCASE("what a lost process had under way is not paid by the endpoints' budget")
    {
        int lost = 0;
        while (fleet.router().may_retry(retry_cause::process_lost)) {
            ++lost;
        }
        CHECK(lost == 1'000);
        CHECK(fleet.router().may_retry(retry_cause::endpoint_failed));
        // one for each request from here on
        fleet.router().on_request();
        CHECK(fleet.router().may_retry(retry_cause::process_lost));
        CHECK_FALSE(fleet.router().may_retry(retry_cause::process_lost));
    }
    SUBCASE("retries are a part of the requests")
    {
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            fleet.router().on_request();
            retries += fleet.router().may_retry(retry_cause::endpoint_failed) ? 1 : 0;
        }
        CHECK(retries <= 110);
        CHECK(retries >= 100);
    }
}
