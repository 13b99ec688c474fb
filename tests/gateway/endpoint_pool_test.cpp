#include "gateway/routing/endpoint_pool.h"

#include "gateway/routing/rendezvous.h"

#include <chrono> // milliseconds, seconds
#include <map>    // map
#include <set>    // set
#include <string> // string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

/// A pool of engines or plain endpoints in one region.
class fixture {
public:
    explicit fixture(bool is_engine, unsigned slots = 4)
    {
        m_service.name = "s";
        m_service.cold_rate = 3;
        m_service.cold_time = 3s;
        if (is_engine) {
            m_service.engine =
                engine_capacity{.slots = slots, .kv_cache_tokens = 100'000, .transfer_rate = 500};
        }
        m_slots = slots;
    }

    endpoint_entry& add(const std::string& id)
    {
        endpoint_entry& entry = m_entries[id];
        entry.id = id;
        entry.service = "s";
        entry.address = "10.0.0.9:" + std::to_string(80 + m_entries.size());
        entry.failure_domain = "d";
        entry.slots = m_slots;
        entry.started_ms = 1;
        return entry;
    }

    endpoint_entry& entry(const std::string& id) { return m_entries.at(id); }

    void remove(const std::string& id) { m_entries.erase(id); }

    void update(time_point now)
    {
        m_pool.update(
            m_entries,
            [this](const endpoint_entry& entry) {
                return m_evacuated.contains(entry.id) ? endpoint_pool::usability::evacuated
                                                      : endpoint_pool::usability::usable;
            },
            [this](const std::string&) { return &m_service; }, now);
    }

    std::optional<placement> choose(time_point now, const prompt* request_prompt = nullptr,
                                    std::vector<std::string> excluded = {})
    {
        return m_pool.choose({&m_service, request_prompt, std::move(excluded)}, now, m_random);
    }

    /// Sends requests until none can be placed; returns the number sent.
    int fill(time_point now)
    {
        int sent = 0;
        for (auto at = choose(now); at; at = choose(now)) {
            static_cast<void>(m_pool.on_sent(at->endpoint, nullptr, now));
            ++sent;
        }
        return sent;
    }

    endpoint_pool& pool() { return m_pool; }
    const service& requested_service() { return m_service; }
    std::set<std::string>& evacuated() { return m_evacuated; }
    void set_cold_owner(bool owns) { m_owns_cold = owns; }

private:
    service m_service;
    unsigned m_slots = 0;
    std::map<std::string, endpoint_entry> m_entries;
    std::set<std::string> m_evacuated;
    bool m_owns_cold = true;
    random_source m_random{1};
    endpoint_pool m_pool{
        {},
        [this](const std::string&, double rate) { return m_owns_cold ? rate : 0.0; },
        [](const std::string&, double rate) { return rate; }};
};

prompt make_session_prompt(std::uint64_t session)
{
    return make_prompt({{1, 2'500}, {session, 3'800}, {session * 1'000, 2'900}}, 9'200, 50);
}

} // namespace

TEST_CASE("full endpoints: an engine accepts as many requests as its batch has slots")
{
    fixture with{true, 4};
    with.add("a");
    with.add("b");
    with.update(start);
    CHECK(with.fill(start) == 8);
    CHECK(with.pool().free_capacity(with.requested_service(), start).free_places == 0);
    with.pool().on_end("a", 0, endpoint_outcome::answered, start);
    CHECK(with.choose(start)->endpoint == "a");
}

TEST_CASE("full endpoints: the last endpoint of a plain service queues a burst from other regions")
{
    // with a queue of three requests, callers of three regions were refused while it had capacity
    fixture with{false, 6};
    with.add("a");
    with.update(start);
    CHECK(with.fill(start) == 16);
}

TEST_CASE("full endpoints: requests of other hosts occupy slots")
{
    fixture with{true, 4};
    with.add("a");
    with.update(start);
    with.pool().set_peer_loads({{short_hash("a"), {3, 0}}});
    CHECK(with.fill(start) == 1);
}

TEST_CASE("shared prompts: requests of a session go to the engine that cached its prompt")
{
    fixture with{true, 48};
    for (const char* id : {"a", "b", "c", "d"}) {
        with.add(id);
    }
    with.update(start);
    for (std::uint64_t session = 10; session < 40; ++session) {
        const prompt request_prompt = make_session_prompt(session);
        const auto first = with.choose(start, &request_prompt);
        REQUIRE(first);
        const auto waiting = with.pool().on_sent(first->endpoint, &request_prompt, start);
        with.pool().on_first_byte(first->endpoint, waiting, first->expected, first->expected);
        with.pool().on_end(first->endpoint, 0, endpoint_outcome::answered, start);
        CHECK(with.choose(start + 1s, &request_prompt)->endpoint == first->endpoint);
    }
}

TEST_CASE(
    "shared prompts: requests of a session go to an idle engine if the preferred engine is loaded")
{
    fixture with{true, 48};
    with.add("a");
    with.add("b");
    with.update(start);
    const prompt request_prompt = make_session_prompt(10);
    const std::string preferred = with.choose(start, &request_prompt)->endpoint;
    for (int i = 0; i < 4; ++i) {
        const prompt other = make_session_prompt(100 + static_cast<std::uint64_t>(i));
        static_cast<void>(with.pool().on_sent(preferred, &other, start));
    }
    CHECK(with.choose(start, &request_prompt)->endpoint != preferred);
}

TEST_CASE("shared prompts: a prefix sent by another host counts as cached")
{
    fixture with{true, 48};
    with.add("a");
    with.add("b");
    with.update(start);
    const prompt request_prompt = make_session_prompt(10);
    const std::string preferred = with.choose(start, &request_prompt)->endpoint;
    const std::string other = preferred == "a" ? "b" : "a";
    // the queue of the preferred engine outweighs its cache only if the other engine has the prefix
    // too
    static_cast<void>(with.pool().on_sent(preferred, &request_prompt, start));
    CHECK(with.choose(start, &request_prompt)->endpoint == preferred);
    with.pool().on_peer_prefix({request_prompt.shared_id(), short_hash(other)}, start);
    CHECK(with.choose(start, &request_prompt)->endpoint == other);
}

TEST_CASE("shared prompts: each sent prefix is reported once")
{
    fixture with{true, 48};
    with.add("a");
    with.update(start);
    const prompt request_prompt = make_session_prompt(10);
    static_cast<void>(with.pool().on_sent("a", &request_prompt, start));
    const auto sent = with.pool().take_sent_prefixes();
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().prefix == request_prompt.shared_id());
    CHECK(with.pool().take_sent_prefixes().empty());
}

TEST_CASE("shared prompts: an engine fetches a prefix from another that has cached it")
{
    // at peak load, other engines recomputed the whole prompt while the preferred engine was busy
    fixture with{true, 48};
    with.add("a");
    with.add("b");
    with.update(start);
    const prompt request_prompt = make_session_prompt(10);
    const auto preferred = with.choose(start, &request_prompt);
    REQUIRE(preferred);
    CHECK(preferred->prompt_source.empty());
    const auto waiting = with.pool().on_sent(preferred->endpoint, &request_prompt, start);
    CHECK(waiting == 9'200);
    const auto load_preferred = [&](time_point now) {
        for (std::uint64_t session = 100; session < 106; ++session) {
            const prompt other = make_session_prompt(session);
            static_cast<void>(with.pool().on_sent(preferred->endpoint, &other, now));
        }
    };
    const time_point later = start + 1s;
    SUBCASE("another engine fetches what the preferred engine has processed")
    {
        with.pool().on_first_byte(preferred->endpoint, waiting, preferred->expected,
                                  preferred->expected);
        load_preferred(later);
        const auto other = with.choose(later, &request_prompt);
        REQUIRE(other);
        CHECK(other->endpoint != preferred->endpoint);
        CHECK(other->prompt_source == preferred->address);
        CHECK(other->fetched_tokens == 6'300);
        CHECK(with.pool().on_sent(other->endpoint, &request_prompt, later, other->fetched_tokens) ==
              2'900);
        CHECK(with.choose(later, &request_prompt)->prompt_source.empty());
    }
    SUBCASE("not before it is processed")
    {
        load_preferred(start);
        CHECK(with.choose(start, &request_prompt)->prompt_source.empty());
    }
    SUBCASE("not from an engine that is gone")
    {
        with.remove(preferred->endpoint);
        with.update(later);
        CHECK(with.choose(later, &request_prompt)->prompt_source.empty());
    }
    SUBCASE("not if fewer tokens than the minimum would be fetched")
    {
        const prompt small = make_prompt({{7, 100}, {8, 80}, {9, 400}}, 580, 50);
        static_cast<void>(with.pool().on_sent(preferred->endpoint, &small, start));
        load_preferred(later);
        CHECK(with.choose(later, &small)->prompt_source.empty());
    }
}

TEST_CASE("slow endpoint: the estimated slowness moves requests away")
{
    fixture with{true, 48};
    with.add("a");
    with.add("b");
    with.update(start);
    for (int i = 0; i < 20; ++i) {
        with.pool().on_first_byte("a", 0, 200ms, 20ms);
    }
    for (int i = 0; i < 5; ++i) {
        const auto chosen = with.choose(start);
        CHECK(chosen->endpoint == "b");
        static_cast<void>(with.pool().on_sent("b", nullptr, start));
    }
}

TEST_CASE("draining endpoint: nothing more is sent to it")
{
    fixture with{true};
    with.add("a").is_draining = true;
    with.update(start);
    CHECK_FALSE(with.choose(start));
}

TEST_CASE("address of another incarnation: nothing more is sent to the endpoint")
{
    fixture with{true};
    with.add("a");
    with.update(start);
    static_cast<void>(with.pool().on_sent("a", nullptr, start));
    with.pool().on_end("a", 0, endpoint_outcome::gone, start);
    CHECK_FALSE(with.choose(start));
}

// guards against requests that are refused although sound endpoints are there: a host sent to an
// ended incarnation again after each publication, and its retry budget was empty
TEST_CASE("regression: an ended incarnation gets requests again once it is published again")
{
    fixture with{false};
    with.add("a");
    with.update(start);
    CHECK(with.pool().on_ended({"a", 1}, start));
    CHECK_FALSE(with.pool().on_ended({"a", 1}, start)); // not new
    CHECK_FALSE(with.choose(start));
    with.add("b");
    with.update(start + 1s);
    REQUIRE(with.choose(start + 1s));
    CHECK(with.choose(start + 1s)->endpoint == "b");
    with.remove("a");
    with.update(start + 2s);
    with.remove("b");
    with.add("a"); // an older publication
    with.update(start + 3s);
    CHECK_FALSE(with.choose(start + 3s));

    SUBCASE("a new incarnation with its id starts clean")
    {
        with.entry("a").started_ms = 2;
        with.update(start + 4s);
        CHECK(with.choose(start + 4s));
        // news of the former one come late
        with.pool().on_ended({"a", 1}, start + 5s);
        CHECK(with.choose(start + 5s));
    }
    SUBCASE("an incarnation whose start is unknown isn't ended for good")
    {
        with.entry("a").started_ms = 0;
        with.update(start + 4s);
        CHECK_FALSE(with.pool().on_ended({"a", 0}, start + 4s));
        CHECK(with.choose(start + 4s));
    }
    SUBCASE("it is ended before its entry arrives")
    {
        with.pool().on_ended({"c", 1}, start + 4s);
        with.add("c");
        with.update(start + 5s);
        CHECK_FALSE(with.choose(start + 5s));
    }
}

TEST_CASE("an incarnation whose end other hosts have seen gets no request")
{
    fixture with{false};
    with.add("a");
    with.update(start);
    const std::uint32_t former = short_hash(endpoint_incarnation{"a", 1});
    CHECK(with.pool().own_ended_endpoints().empty());
    CHECK(with.pool().set_ended_endpoints({{former, 1}}).empty());
    CHECK(with.choose(start)); // the word of one host isn't enough
    CHECK(with.pool().set_ended_endpoints({{former, 2}}) == std::vector<std::string>{"a"});
    CHECK(with.pool().set_ended_endpoints({{former, 3}}).empty()); // not new
    CHECK_FALSE(with.choose(start));
    CHECK(with.pool().own_ended_endpoints().empty()); // not seen by this host
    with.update(start + 1s);
    CHECK_FALSE(with.choose(start + 1s));

    SUBCASE("a new incarnation with its id starts clean")
    {
        with.entry("a").started_ms = 2;
        with.update(start + 2s);
        static_cast<void>(with.pool().set_ended_endpoints({{former, 3}}));
        CHECK(with.choose(start + 2s));
    }
    SUBCASE("it is sound again once the hosts don't say so any more")
    {
        static_cast<void>(with.pool().set_ended_endpoints({}));
        CHECK(with.choose(start + 1s));
    }
    SUBCASE("this host sees it too")
    {
        with.pool().on_ended({"a", 1}, start + 1s);
        REQUIRE(with.pool().own_ended_endpoints().size() == 1);
        CHECK(with.pool().own_ended_endpoints()[0].incarnation == former);
        CHECK(with.pool().own_ended_endpoints()[0].witnesses == 1);
    }
}

TEST_CASE("unreachable endpoint: it is ejected for a backoff that doubles, then half-open")
{
    fixture with{false};
    with.add("a");
    with.update(start);
    time_point now = start;
    duration last{0};
    for (int failure = 0; failure < 3; ++failure) {
        static_cast<void>(with.pool().on_sent("a", nullptr, now));
        with.pool().on_end("a", 0, endpoint_outcome::unreachable, now);
        duration backoff{0};
        while (!with.choose(now + backoff)) {
            backoff += 10ms;
        }
        CHECK(backoff > last);
        last = backoff;
        now += backoff;
    }
    SUBCASE("one request at a time until a response arrives")
    {
        static_cast<void>(with.pool().on_sent("a", nullptr, now));
        CHECK_FALSE(with.choose(now));
        with.pool().on_end("a", 0, endpoint_outcome::answered, now);
        CHECK(with.choose(now));
    }
}

TEST_CASE("lost responses: one broken connection doesn't eject a service's only endpoint")
{
    fixture with{false};
    with.add("a");
    with.update(start);
    static_cast<void>(with.pool().on_sent("a", nullptr, start));
    with.pool().on_end("a", 0, endpoint_outcome::cut, start);
    CHECK(with.choose(start));
    static_cast<void>(with.pool().on_sent("a", nullptr, start));
    with.pool().on_end("a", 0, endpoint_outcome::cut, start);
    CHECK_FALSE(with.choose(start));
}

TEST_CASE("cold endpoint: only its owner sends, within its cold rate in any second")
{
    fixture with{true, 48};
    with.add("a").cold_remaining = 3s;
    with.update(start);
    with.set_cold_owner(false);
    CHECK_FALSE(with.choose(start));
    with.set_cold_owner(true);
    CHECK(with.fill(start) == 3);
    CHECK(with.fill(start + 1s) == 0);
    CHECK(with.fill(start + 1'200ms) == 3);
    CHECK(with.fill(start + 3'100ms) > 3);
}

// guards against FAILBACK: hosts that could not read the store sent their full load to endpoints
// which had become cold, and these crashed
TEST_CASE("regression: an endpoint that says itself that it is cold gets a warm one's requests")
{
    fixture with{true, 48};
    with.add("a");
    with.update(start);
    REQUIRE(with.pool().assumed_warm(start).size() == 1);
    SUBCASE("it told this host")
    {
        CHECK(with.pool().on_cold("a", 2s, start));
        CHECK_FALSE(with.pool().on_cold("a", 2s, start)); // not new
        REQUIRE(with.pool().own_cold_endpoints(start + 500ms).size() == 1);
        CHECK(with.pool().own_cold_endpoints(start + 500ms)[0].remaining == 1'500ms);
        CHECK(with.pool().own_cold_endpoints(start + 2s).empty());
    }
    SUBCASE("it told another host")
    {
        with.pool().on_peer_cold({short_hash("a"), 2s}, start);
        CHECK(with.pool().own_cold_endpoints(start).empty());
    }
    CHECK(with.pool().assumed_warm(start).empty());
    CHECK(with.fill(start) == 3);
    with.update(start + 1'500ms); // the same entry as before
    CHECK(with.fill(start + 1'500ms) == 3);
    CHECK(with.pool().assumed_warm(start + 2s).size() == 1);
    CHECK(with.fill(start + 2s) > 3);
}

TEST_CASE("cold endpoint: no more than its service's cold time is believed")
{
    fixture with{true, 48};
    with.add("a");
    with.update(start);
    with.pool().on_peer_cold({short_hash("a"), 1h}, start);
    CHECK(with.fill(start + 2s) == 3);
    CHECK(with.fill(start + 3'200ms) > 3);
    CHECK_FALSE(with.pool().on_cold("unknown", 1s, start));
}

TEST_CASE("evacuated endpoint: nothing is sent, and it counts as cold when it is reinstated")
{
    fixture with{true, 48};
    with.add("a");
    with.update(start);
    with.evacuated().insert("a");
    with.update(start + 1s);
    CHECK_FALSE(with.choose(start + 1s));
    with.evacuated().clear();
    with.update(start + 9s);
    CHECK(with.fill(start + 9s) == 3);
}

TEST_CASE("evacuated endpoint: one that is reinstated warm gets its full load at once")
{
    // after the evacuation of the largest region, its engines were idle for three seconds while
    // those of the other regions were full
    fixture with{true, 48};
    with.add("a");
    with.update(start);
    with.evacuated().insert("a");
    with.update(start + 1s);
    CHECK(with.pool().take_reinstated().empty());
    with.evacuated().clear();
    with.update(start + 9s);
    const auto reinstated = with.pool().take_reinstated();
    REQUIRE(reinstated.size() == 1);
    CHECK(reinstated.front().id == "a");
    CHECK(with.pool().take_reinstated().empty());
    CHECK(with.pool().own_warm_endpoints(start + 9s).empty());
    SUBCASE("once it has reported being warm")
    {
        with.pool().on_warm("a", start + 9s);
        CHECK(with.fill(start + 9s) == 48);
        CHECK(with.pool().own_warm_endpoints(start + 9s).size() == 1);
        CHECK(with.pool().own_warm_endpoints(start + 13s).empty());
    }
    SUBCASE("once another host reports it as warm")
    {
        with.pool().on_peer_warm(short_hash("a"));
        CHECK(with.fill(start + 9s) == 48);
    }
    SUBCASE("but not if its heartbeats report it as cold")
    {
        with.entry("a").sequence = 7;
        with.entry("a").cold_remaining = 2s;
        with.update(start + 9s);
        with.pool().on_warm("a", start + 9s);
        CHECK(with.fill(start + 9s) == 3);
    }
    SUBCASE("but not while it is evacuated again")
    {
        with.evacuated().insert("a");
        with.update(start + 10s);
        with.pool().on_warm("a", start + 10s);
        CHECK(with.pool().own_warm_endpoints(start + 10s).empty());
        with.evacuated().clear();
        with.update(start + 12s);
        CHECK(with.fill(start + 12s) == 3);
    }
}

TEST_CASE("restarted endpoint: the same id with a new start time is a new endpoint")
{
    fixture with{true, 48};
    with.add("a");
    with.update(start);
    for (int i = 0; i < 3; ++i) {
        static_cast<void>(with.pool().on_sent("a", nullptr, start));
        with.pool().on_end("a", 0, endpoint_outcome::unreachable, start);
    }
    CHECK_FALSE(with.choose(start));
    with.entry("a").started_ms = 2;
    with.update(start);
    CHECK(with.choose(start));
}

TEST_CASE("failed endpoint: a request is not sent to an excluded endpoint")
{
    fixture with{true};
    with.add("a");
    with.update(start);
    CHECK_FALSE(with.choose(start, nullptr, {"a"}));
    CHECK_FALSE(with.pool().has_candidate({&with.requested_service(), nullptr, {"a"}}, start));
}
