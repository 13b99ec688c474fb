#include "gateway/routing/endpoint_pool.h"
#include "gateway/routing/rendezvous.h"

#include <chrono>   // milliseconds, seconds
#include <cstddef>  // size_t
#include <map>      // map
#include <optional> // nullopt
#include <string>   // string
#include <vector>   // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
constexpr time_point later{1'010s}; // no host has been in contact until then
constexpr double cold_rate = 2.6;
constexpr std::size_t bound = 6; // requests in a second: cold_rate * 1.5 + 3, rounded down

/// The pools of a region's hosts, of which the first one owns the endpoint while it is cold.
class uncontacted_region {
public:
    explicit uncontacted_region(std::size_t hosts)
    {
        m_service.name = "s";
        m_service.cold_rate = cold_rate;
        m_service.cold_time = 3s;
        m_entry.id = "a";
        m_entry.service = "s";
        m_entry.address = "10.0.0.9:80";
        m_entry.slots = 48;
        m_entry.started_ms = 1;
        for (std::size_t host = 0; host < hosts; ++host) {
            m_pools.emplace_back(
                endpoint_pool_options{.contact_retention = 3s},
                [host](const std::string&, double rate) { return host == 0 ? rate : 0.0; },
                [](const std::string&, double rate) { return rate; });
        }
    }

    /// All hosts read the entry, which was written again since they read it last.
    void read_entry(time_point now)
    {
        ++m_entry.sequence;
        for (endpoint_pool& pool : m_pools) {
            pool.update(
                {{m_entry.id, m_entry}},
                [](const endpoint_entry&) { return endpoint_pool::usability::usable; },
                [this](const std::string&) { return &m_service; }, now, now);
        }
    }

    /// A host sends what it may, at most `most`.
    std::size_t fill(std::size_t host, time_point now, std::size_t most = 10)
    {
        std::size_t sent = 0;
        while (sent < most && m_pools[host].choose({&m_service, nullptr, {}}, now, m_random)) {
            static_cast<void>(m_pools[host].on_sent("a", nullptr, now));
            ++sent;
        }
        return sent;
    }

    /// All hosts send what they may within a second.
    std::size_t fill_all(time_point now)
    {
        std::size_t sent = 0;
        for (auto at = now; at < now + 1s; at += 20ms) {
            for (std::size_t host = 0; host < m_pools.size(); ++host) {
                sent += fill(host, at);
            }
        }
        return sent;
    }

    endpoint_pool& pool(std::size_t host) { return m_pools[host]; }
    const service& requested_service() const { return m_service; }

private:
    service m_service;
    endpoint_entry m_entry;
    std::vector<endpoint_pool> m_pools;
    random_source m_random{1};
};

} // namespace

// guards against FAILBACK: an endpoint restarted while no host had a connection to it, and several
// hosts, which couldn't know of it, sent it a warm one's requests
TEST_CASE("regression: an endpoint that no host is in contact with gets a warm one's requests")
{
    uncontacted_region with{4};
    with.read_entry(start);
    with.read_entry(later - 1s);
    CHECK(with.fill_all(later) <= bound);
}

// guards against FAILBACK: contact that begins after a restart was no proof of what was before it
TEST_CASE("regression: an endpoint that a host has just come into contact with counts as warm")
{
    uncontacted_region with{2};
    with.read_entry(start);
    with.read_entry(later - 1s);
    with.pool(1).set_peer_loads({{short_hash("a"), {1, 0}}}, later);
    CHECK(with.fill(1, later + 100ms) == 0);
    // an entry that was written after the beginning
    with.read_entry(later + 1s);
    CHECK(with.fill(1, later + 1s) == 0);
    with.read_entry(later + 2s);
    CHECK(with.fill(1, later + 2s) == 10);
}

TEST_CASE("uncontacted endpoint: its word opens it to all hosts, and is told at once")
{
    uncontacted_region with{2};
    with.read_entry(later - 1s);
    REQUIRE(with.fill(1, later) == 0);
    with.pool(0).on_warm("a", later, later + 10ms);
    CHECK(with.pool(0).has_urgent_news());
    CHECK(with.fill(0, later + 1s) == 10);
    for (const restart_report& report : with.pool(0).own_restarts(later + 30ms)) {
        with.pool(1).on_peer_restart(report, later + 40ms);
    }
    CHECK(with.pool(1).has_urgent_news()); // for those to whom this host passes it on
    CHECK(with.fill(1, later + 40ms) == 10);
}

TEST_CASE("uncontacted endpoint: it is asked before there are requests for it, and again in time")
{
    uncontacted_region with{2};
    with.read_entry(later - 1s);
    CHECK(with.pool(0).needing_contact(later).size() == 1);
    CHECK(with.pool(0).unconfirmed(later).empty()); // silence is no sign of a restart
    with.pool(0).on_warm("a", later, later + 10ms);
    CHECK(with.pool(0).needing_contact(later + 1s).empty());
    CHECK(with.fill(0, later + 1s, 1) == 1);
    // before the contact ends
    CHECK(with.pool(0).needing_contact(later + 2s).size() == 1);
    CHECK(with.fill(0, later + 2s, 1) == 1);
}

TEST_CASE("uncontacted endpoint: it isn't asked for contact while it is cold or in doubt")
{
    uncontacted_region with{1};
    with.read_entry(later - 1s);
    SUBCASE("cold")
    {
        static_cast<void>(with.pool(0).on_cold("a", 2s, later, later));
        CHECK(with.pool(0).needing_contact(later + 1'900ms).empty());
        CHECK(with.pool(0).needing_contact(later + 2'100ms).size() == 1);
    }
    SUBCASE("in doubt, for which it is asked anyway")
    {
        with.pool(0).on_restart_sign("a", restart_sign::refused, later);
        CHECK(with.pool(0).needing_contact(later + 100ms).empty());
        CHECK(with.pool(0).unconfirmed(later + 100ms).size() == 1);
    }
}

// guards against FAILBACK: contact was kept with an endpoint whose end nobody would have seen, since it
// doesn't state for how long it keeps idle connections
TEST_CASE("regression: an endpoint whose end wouldn't be seen is asked ahead of requests")
{
    uncontacted_region with{1};
    with.read_entry(later - 1s);
    with.pool(0).set_end_seen("a", false);
    CHECK(with.pool(0).needing_contact(later).empty());
    static_cast<void>(with.fill(0, later, 1));
    CHECK(with.pool(0).has_wanted()); // it is asked if there are requests for it
    with.pool(0).set_end_seen("a", true);
    CHECK(with.pool(0).needing_contact(later + 600ms).size() == 1);
}

// guards against FAILBACK: a host that hadn't heard of a contact told that all endpoints were warm,
// and so ended another one's doubt of the time before that contact
TEST_CASE("regression: a host's word ends the doubt of a contact that it can't have heard of")
{
    uncontacted_region with{2};
    with.read_entry(start);
    with.read_entry(later - 1s);
    with.pool(1).set_peer_loads({{short_hash("a"), {1, 0}}}, later);
    with.pool(1).on_peer_all_warm(later + 100ms);
    CHECK(with.fill(1, later + 100ms) == 0);
    with.pool(1).on_peer_all_warm(later + 600ms);
    CHECK(with.fill(1, later + 600ms) == 10);
}

// guards against FAILBACK: a report of a known state from before a contact ended the doubt of it
TEST_CASE("regression: a late report ends the doubt of a later contact")
{
    uncontacted_region with{2};
    with.read_entry(start);
    with.read_entry(later - 5s);
    with.pool(1).set_peer_loads({{short_hash("a"), {1, 0}}}, later);
    const duration known_age = 2'900ms; // before the contact
    with.pool(1).on_peer_restart({short_hash("a"), std::nullopt, std::nullopt, known_age},
                                 later + 100ms);
    CHECK(with.fill(1, later + 100ms) == 0);
}

TEST_CASE("uncontacted endpoint: a host that may not ask it makes its owner ask it at once")
{
    uncontacted_region with{2};
    with.read_entry(later - 1s);
    CHECK_FALSE(with.pool(0).has_wanted());
    CHECK(with.fill(1, later) == 0);
    CHECK(with.pool(1).take_wanted().size() == 1);
    CHECK_FALSE(with.pool(1).has_wanted());

    // the owner, which has no requests for it, learns that it has to be asked
    for (const restart_report& report : with.pool(1).own_restarts(later + 100ms)) {
        with.pool(0).on_peer_restart(report, later + 150ms);
    }
    CHECK(with.pool(0).unconfirmed(later + 200ms).size() == 1);

    // it isn't wanted again at once, but after a while
    CHECK(with.fill(1, later + 300ms) == 0);
    CHECK_FALSE(with.pool(1).has_wanted());
    CHECK(with.fill(1, later + 600ms) == 0);
    CHECK(with.pool(1).has_wanted());
}

TEST_CASE("uncontacted endpoint: its region counts its places, and counts as warm")
{
    uncontacted_region with{1};
    with.read_entry(later - 1s);
    CHECK(with.pool(0).free_capacity(with.requested_service(), later).free_places > 0);
    CHECK(with.pool(0).are_all_warm(later));
}
