#include "platform/store_client.h"

#include "gateway/http/http_server.h"

#include <chrono>     // milliseconds, seconds
#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // make_shared, shared_ptr
#include <string>     // string, to_string
#include <utility>    // move
#include <variant>    // get, get_if
#include <vector>     // vector

#include <asio/steady_timer.hpp> // steady_timer
#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto read_limit = 20s; // after which a read in a test counts as stuck

std::string item(const std::string& key, int revision)
{
    return R"({"key":")" + key + R"(","value":"e30=","revision":)" + std::to_string(revision) + '}';
}

std::string page(const std::string& items, int revision, bool has_more = false)
{
    return R"({"items":[)" + items + R"(],"hasMore":)" + (has_more ? "true" : "false") +
           R"(,"asOf":)" + std::to_string(revision) + '}';
}

std::string events(const std::string& items, int revision)
{
    return R"({"events":[)" + items + R"(],"asOf":)" + std::to_string(revision) + '}';
}

/// A store whose responses the test provides, and a client of it.
class store_and_client {
public:
    struct response {
        int status = 200;
        std::string body;
        std::string era = {}; ///< empty: not named
    };
    using responder = std::function<response(const std::string& target)>;

    explicit store_and_client(responder respond, duration delay = 0ms)
        : m_respond{std::move(respond)}, m_delay{delay}, m_store{m_loop,
                                                                 [this](const auto& request) {
                                                                     serve(request);
                                                                 }}
    {
        REQUIRE(is_ok(m_store.listen("127.0.0.1:0")));
    }

    result<published_changes> read(const source_position& since)
    {
        platform::store_client client{m_loop, m_client,
                                      "127.0.0.1:" + std::to_string(m_store.port())};
        std::shared_ptr<result<published_changes>> received;
        client.read(since, [&received](result<published_changes> changes) {
            CHECK(received == nullptr);
            received = std::make_shared<result<published_changes>>(std::move(changes));
        });
        const time_point deadline = boot_clock::now() + read_limit;
        while (received == nullptr && boot_clock::now() < deadline) {
            m_loop.run_one_for(10ms);
        }
        REQUIRE(received != nullptr);
        return *received;
    }

    /// Watches for 300 ms.
    result<watched_changes> watch(const source_position& since)
    {
        platform::store_client client{m_loop, m_client,
                                      "127.0.0.1:" + std::to_string(m_store.port())};
        std::shared_ptr<result<watched_changes>> received;
        client.watch(since, 300ms, [&received](result<watched_changes> changes) {
            CHECK(received == nullptr);
            received = std::make_shared<result<watched_changes>>(std::move(changes));
        });
        const time_point deadline = boot_clock::now() + read_limit;
        while (received == nullptr && boot_clock::now() < deadline) {
            m_loop.run_one_for(10ms);
        }
        REQUIRE(received != nullptr);
        return *received;
    }

    /// Starts a read and a watch, and destroys the client before they have ended.
    void abandon()
    {
        platform::store_client client{m_loop, m_client,
                                      "127.0.0.1:" + std::to_string(m_store.port())};
        client.read({0, 41}, [](const auto&) { FAIL("the read has ended"); });
        client.watch({0, 41}, 300ms, [](const auto&) { FAIL("the watch has ended"); });
        m_loop.run_for(10ms);
    }

    void run_for(duration span)
    {
        m_loop.restart();
        m_loop.run_for(span);
    }

    std::vector<std::string> targets;

private:
    void serve(const std::shared_ptr<server_exchange>& request)
    {
        targets.push_back(request->head().target);
        const response answer = m_respond(request->head().target);
        const auto timer = std::make_shared<asio::steady_timer>(m_loop, m_delay);
        timer->async_wait([timer, request, answer](const asio::error_code&) {
            header_list headers;
            if (!answer.era.empty()) {
                headers.add("Store-Era", answer.era);
            }
            request->respond(answer.status, headers, answer.body);
        });
    }

    responder m_respond;
    duration m_delay;
    asio::io_context m_loop{1};
    http_client m_client{m_loop};
    http_server m_store;
};

bool is_watch(const std::string& target)
{
    return target.find("kv-watch") != std::string::npos;
}

bool is_revision_query(const std::string& target)
{
    return target.find("prefix=op") != std::string::npos;
}

} // namespace

TEST_CASE("an unchanged store is read with one small call")
{
    store_and_client store{[](const std::string&) {
        return store_and_client::response{200, page("", 41)};
    }};
    const auto changes = store.read({0, 41});
    REQUIRE(is_ok(changes));
    CHECK(std::get<published_changes>(changes).since.revision == 41);
    CHECK(std::get<published_changes>(changes).position.revision == 41);
    CHECK(std::get<published_changes>(changes).items.empty());
    REQUIRE(store.targets.size() == 1);
    CHECK(is_revision_query(store.targets.front()));
}

TEST_CASE("changes are read from the history, in several calls if one does not list them all")
{
    store_and_client store{[](const std::string& target) {
        const bool is_second = target.find("after=42") != std::string::npos;
        return store_and_client::response{200, !is_watch(target) ? page("", 44)
                                               : is_second       ? events(item("servers/b", 44), 44)
                                                           : events(item("servers/a", 42), 42)};
    }};
    const auto changes = store.read({0, 41});
    REQUIRE(is_ok(changes));
    CHECK(std::get<published_changes>(changes).since.revision == 41);
    CHECK(std::get<published_changes>(changes).position.revision == 44);
    CHECK(std::get<published_changes>(changes).items.size() == 2);
    CHECK(store.targets.size() == 3);
}

TEST_CASE("all items are read if the history is lost or the watch misses changes")
{
    for (const int status : {410, 200}) {
        CAPTURE(status);
        store_and_client store{[status](const std::string& target) {
            if (is_watch(target)) {
                return store_and_client::response{status, status == 410 ? "gone" : events("", 44)};
            }
            return store_and_client::response{
                200, page(is_revision_query(target) ? "" : item("servers/a", 42), 44)};
        }};
        const auto changes = store.read({0, 41});
        REQUIRE(is_ok(changes));
        CHECK(std::get<published_changes>(changes).since.is_none());
        CHECK(std::get<published_changes>(changes).position.revision == 44);
        CHECK(std::get<published_changes>(changes).items.size() == 1);
    }
}

TEST_CASE("regression: thousands of endpoints in small pages far from the store")
{
    // 50 pages of 40 ms each took longer than a read of the store was allowed to
    constexpr int pages = 50;
    int served = 0;
    store_and_client store{[&served](const std::string&) {
                               ++served;
                               const std::string key = "servers/" + std::to_string(1'000 + served);
                               return store_and_client::response{
                                   200, page(item(key, served), 100 + served, served < pages)};
                           },
                           40ms};
    const auto changes = store.read({});
    REQUIRE(is_ok(changes));
    CHECK(std::get<published_changes>(changes).items.size() == pages);
    CHECK(std::get<published_changes>(changes).position.revision == 101); // of the first page
    CHECK(store.targets.at(1).find("after=servers%2F1001") != std::string::npos);
}

TEST_CASE("a refusal or an invalid response of the store is an error")
{
    for (const store_and_client::response& answer : {store_and_client::response{503, ""},
                                                     {429, page("", 41)},
                                                     {200, "{}"},
                                                     {200, "[]"},
                                                     {410, ""}}) {
        CAPTURE(answer.status);
        store_and_client store{[&answer](const std::string&) { return answer; }};
        CHECK_FALSE(is_ok(store.read({})));
        CHECK_FALSE(is_ok(store.read({0, 40})));
    }
}

// guards against CONFIG: a restored store's lower revision was taken for "no changes"
TEST_CASE("a store that was restored from a copy is read from the beginning")
{
    std::string era;
    std::uint64_t expected_era = 0;
    SUBCASE("its era has risen")
    {
        era = "4";
        expected_era = 4;
    }
    SUBCASE("its revision has gone back, and it doesn't name its era")
    {
        expected_era = 4; // the next one
    }
    SUBCASE("its revision has gone back, and its era is no number")
    {
        era = "four";
        expected_era = 4;
    }
    store_and_client store{[&era](const std::string& target) {
        const bool is_query = is_revision_query(target);
        return store_and_client::response{200, page(is_query ? "" : item("servers/a", 18), 20),
                                          era};
    }};
    const auto changes = store.read({3, 26});
    REQUIRE(is_ok(changes));
    const auto& read = std::get<published_changes>(changes);
    CHECK(read.since.is_none());
    CHECK(read.position == source_position{expected_era, 20});
    REQUIRE(read.items.size() == 1);
    CHECK(read.items.front().position == source_position{expected_era, 18});
}

TEST_CASE("a store whose era has risen is read from the beginning though its revision is higher")
{
    store_and_client store{[](const std::string& target) {
        return store_and_client::response{
            200, page(is_revision_query(target) ? "" : item("servers/a", 18), 30), "4"};
    }};
    const auto changes = store.read({3, 26});
    REQUIRE(is_ok(changes));
    CHECK(std::get<published_changes>(changes).since.is_none());
    CHECK(std::get<published_changes>(changes).position == source_position{4, 30});
}

TEST_CASE("a read in which the store is restored begins anew")
{
    int served = 0;
    SUBCASE("between two pages")
    {
        store_and_client store{[&served](const std::string&) {
            ++served;
            return served == 1 ? store_and_client::response{200, page(item("a", 25), 26, true), "3"}
                               : store_and_client::response{200, page(item("b", 18), 20), "4"};
        }};
        const auto changes = store.read({});
        REQUIRE(is_ok(changes));
        REQUIRE(std::get<published_changes>(changes).items.size() == 1);
        CHECK(std::get<published_changes>(changes).items.front().key == "b");
        CHECK(std::get<published_changes>(changes).position == source_position{4, 20});
        CHECK(store.targets.size() == 3);
    }
    SUBCASE("between the revision and the changes")
    {
        store_and_client store{[](const std::string& target) {
            if (is_revision_query(target)) {
                return store_and_client::response{200, page("", 28), "3"};
            }
            return is_watch(target) ? store_and_client::response{410, "{}", "4"}
                                    : store_and_client::response{200, page(item("b", 18), 20), "4"};
        }};
        const auto changes = store.read({3, 26});
        REQUIRE(is_ok(changes));
        CHECK(std::get<published_changes>(changes).since.is_none());
        CHECK(std::get<published_changes>(changes).position == source_position{4, 20});
    }
    SUBCASE("again and again")
    {
        store_and_client store{[&served](const std::string&) {
            ++served;
            return store_and_client::response{200, page(item("a", 20), 20, true),
                                              std::to_string(served)};
        }};
        CHECK_FALSE(is_ok(store.read({})));
        CHECK(served < 20);
    }
}

TEST_CASE("a response of a past era is an error")
{
    store_and_client store{[](const std::string&) {
        return store_and_client::response{200, page("", 40), "2"};
    }};
    CHECK_FALSE(is_ok(store.read({3, 26})));
}

TEST_CASE("the era of the first response is taken over")
{
    store_and_client store{[](const std::string&) {
        return store_and_client::response{200, page(item("a", 20), 20), "7"};
    }};
    const auto changes = store.read({});
    REQUIRE(is_ok(changes));
    CHECK(std::get<published_changes>(changes).position == source_position{7, 20});
    CHECK(store.targets.size() == 1);
}

TEST_CASE("a watch lists the operator's changes")
{
    store_and_client store{[](const std::string&) {
        return store_and_client::response{200, events(item("op/evacuate/d", 43), 44), "2"};
    }};
    const auto changes = store.watch({2, 41});
    REQUIRE(is_ok(changes));
    const auto& watched = std::get<watched_changes>(changes);
    CHECK(watched.reached == source_position{2, 44});
    REQUIRE(watched.items.size() == 1);
    CHECK(watched.items.front().key == "op/evacuate/d");
    CHECK(watched.items.front().position == source_position{2, 43});
    REQUIRE(store.targets.size() == 1);
    CHECK(store.targets.front() == "/hickorykeel/kv-watch?prefix=op%2F&after=41&waitMs=300");
}

TEST_CASE("a watch fails if the store can't list the changes since a position")
{
    const auto fails = [](const store_and_client::response& answer) {
        store_and_client store{[&answer](const std::string&) { return answer; }};
        return !is_ok(store.watch({2, 41}));
    };
    CHECK(fails({410, "{}", "2"}));
    CHECK(fails({200, events("", 12), "3"}));
    CHECK(fails({200, "{}", "2"}));
    CHECK(fails({503, "", "2"}));
    CHECK_FALSE(fails({200, events("", 41), "2"}));
    CHECK_FALSE(fails({200, events("", 41)}));
}

TEST_CASE("a watch that the store doesn't answer fails some time after its wait")
{
    store_and_client store{[](const std::string&) { return store_and_client::response{}; }, 1h};
    const time_point started = boot_clock::now();
    CHECK_FALSE(is_ok(store.watch({2, 41})));
    CHECK(boot_clock::now() - started >= 300ms);
}

TEST_CASE("a client of the store that is destroyed ends its read and its watch")
{
    store_and_client store{[](const std::string&) { return store_and_client::response{}; }, 50ms};
    store.abandon();
    store.run_for(200ms);
}
