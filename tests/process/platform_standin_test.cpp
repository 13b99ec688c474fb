#include "standins/platform.h"
#include "support/published.h"

#include <chrono> // milliseconds
#include <string> // to_string
#include <thread> // thread

#include <doctest/doctest.h>
#include <httplib.h>

using namespace hickorykeel;
using nlohmann::json;

namespace {

json get(httplib::Client& client, const std::string& path)
{
    const auto answer = client.Get(path);
    REQUIRE(answer);
    return json::parse(answer->body, nullptr, false);
}

int status_of(httplib::Client& client, const std::string& path)
{
    const auto answer = client.Get(path);
    return answer ? answer->status : 0;
}

json put(httplib::Client& client, const std::string& path, const json& body)
{
    const auto answer = client.Put(path, body.dump(), "application/json");
    REQUIRE(answer);
    return json::parse(answer->body, nullptr, false);
}

} // namespace

TEST_CASE("platform stand-in")
{
    standins::platform_server server;
    const int port = server.start("127.0.0.1", 0);
    REQUIRE(port != 0);
    httplib::Client client{"127.0.0.1", port};
    put(client, "/control/entries", tests::published_example());

    SUBCASE("a first read gets the whole, a later one the changes")
    {
        CHECK(get(client, "/v1/entries?after=0")["entries"].size() == 8);
        const json batch{{"failure_domains/crete-2", {{"region", "crete"}}},
                         {"profiles/booking", nullptr}};
        CHECK(put(client, "/control/entries", batch)["revision"] == 2);
        const auto answer = get(client, "/v1/entries?after=1");
        CHECK(answer["base"] == 1);
        CHECK(answer["revision"] == 2);
        REQUIRE(answer["entries"].size() == 2);
        CHECK(answer["entries"][1]["deleted"] == true);
    }

    SUBCASE("a reader above the platform's revision or before its log gets the whole")
    {
        CHECK(get(client, "/v1/entries?after=99&wait_ms=30000")["base"] == 0);
        for (std::size_t i = 0; i <= standins::platform_store::maximum_log; ++i) {
            server.store().put_entries({{"failure_domains/x", {{"region", std::to_string(i)}}}});
        }
        CHECK(get(client, "/v1/entries?after=1")["base"] == 0);
        CHECK(get(client, "/v1/entries?after=900")["base"] == 900);
    }

    SUBCASE("a watch waits until something changes")
    {
        json seen;
        std::thread watcher{[&seen, port] {
            httplib::Client own{"127.0.0.1", port};
            own.set_read_timeout(std::chrono::seconds{40});
            const auto answer = own.Get("/v1/entries?after=1&wait_ms=30000");
            seen = answer ? json::parse(answer->body) : json{};
        }};
        while (server.store().counts().total == 0) {
            std::this_thread::yield();
        }
        server.store().put_entries({{"profiles/booking", nullptr}});
        watcher.join();
        CHECK(seen["revision"] == 2);
        CHECK(get(client, "/v1/entries?after=2&wait_ms=1")["entries"].empty());
    }

    SUBCASE("a stale platform shows the old state, a down one nothing")
    {
        put(client, "/control/mode", {{"mode", "stale"}});
        put(client, "/control/entries", {{"profiles/booking", nullptr}});
        CHECK(get(client, "/v1/entries?after=0")["revision"] == 1);
        put(client, "/control/mode", {{"mode", "down"}});
        CHECK(status_of(client, "/v1/entries?after=0") == 503);
        put(client, "/control/mode", {{"mode", "live"}});
        CHECK(get(client, "/v1/entries?after=0")["revision"] == 2);
    }

    SUBCASE("readers see a list of hosts late")
    {
        server.store().set_mode(standins::platform_mode::live, std::chrono::hours{1});
        CHECK(put(client, "/control/hosts", json::array())["revision"] == 2);
        CHECK(get(client, "/v1/hosts?after=0")["revision"] == 0);
        server.store().set_mode(standins::platform_mode::live, std::chrono::milliseconds{0});
        CHECK(get(client, "/v1/hosts?after=0&wait_ms=30000")["revision"] == 2);
    }

    SUBCASE("reads over the rate are refused and counted")
    {
        standins::platform_server limited{2};
        httplib::Client reader{"127.0.0.1", limited.start("127.0.0.1", 0)};
        int refused = 0;
        for (int i = 0; i < 1'000 && refused == 0; ++i) {
            refused += status_of(reader, "/v1/hosts?after=0&wait_ms=0") == 429 ? 1 : 0;
        }
        CHECK(refused == 1);
        CHECK(get(reader, "/control/counts")["refused"] == 1);
    }

    SUBCASE("values above a megabyte and wrong bodies are refused")
    {
        const std::string large(standins::platform_store::maximum_value, 'x');
        CHECK(put(client, "/control/entries", {{"profiles/x", large}}).contains("error"));
        CHECK(put(client, "/control/entries", json::array()).contains("error"));
        CHECK(put(client, "/control/hosts", json::object()).contains("error"));
        CHECK(put(client, "/control/mode", {{"mode", "odd"}}).contains("error"));
    }
}
