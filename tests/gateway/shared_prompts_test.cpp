#include "gateway/endpoint_pool_fixture.h"
#include "gateway/routing/endpoint_pool.h"
#include "gateway/routing/rendezvous.h"

#include <chrono>  // seconds
#include <cstdint> // uint64_t
#include <string>  // string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

namespace {

prompt make_session_prompt(std::uint64_t session)
{
    return make_prompt({{1, 2'500}, {session, 3'800}, {session * 1'000, 2'900}}, 9'200, 50);
}

} // namespace

TEST_CASE("shared prompts: requests of a session go to the engine that cached its prompt")
{
    endpoint_pool_fixture with{true, 48};
    for (const char* id : {"a", "b", "c", "d"}) {
        with.add(id);
    }
    with.update(start);
    for (std::uint64_t session = 10; session < 40; ++session) {
        const prompt request_prompt = make_session_prompt(session);
        const auto first = with.choose(start, &request_prompt);
        REQUIRE(first);
        const auto waiting = with.pool().on_sent(first->endpoint, &request_prompt, start);
        with.pool().on_first_byte({first->endpoint, 1}, waiting, first->expected, first->expected);
        with.pool().on_end({first->endpoint, 1}, 0, endpoint_outcome::answered, start);
        CHECK(with.choose(start + 1s, &request_prompt)->endpoint == first->endpoint);
    }
}

TEST_CASE(
    "shared prompts: requests of a session go to an idle engine if the preferred engine is loaded")
{
    endpoint_pool_fixture with{true, 48};
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
    endpoint_pool_fixture with{true, 48};
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
    endpoint_pool_fixture with{true, 48};
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
    endpoint_pool_fixture with{true, 48};
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
        with.pool().on_first_byte({preferred->endpoint, 1}, waiting, preferred->expected,
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
