#include "platform/headers.h"
#include "platform/publication_decoder.h"

#include <string>  // string
#include <utility> // move
#include <variant> // get, holds_alternative, monostate

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

const std::string complete_entry =
    R"({"service":"s","address":"10.0.0.9:80","zone":"d","version":"v1","slots":4,"state":"ready",)"
    R"("coldRemainingMs":1500,"seq":4,"born":1700000000000})";

const std::string configuration = R"({"version":7,
 "routes":[
  {"name":"a","host":"h.example","prefix":"/a/","kind":"streaming","timeoutMs":15000,"sloMs":600,
   "priority":1,"service":"s","maxAttempts":2,"anonymous":false,"sticky":true,"resumable":true,
   "gapTargetMs":200,"homeRegions":["r"]},
  {"name":"b","host":"h.example","prefix":"/a/b/","kind":"safe","timeoutMs":5000,"sloMs":600,
   "priority":2,"backends":[{"service":"s","weight":90},{"service":"t","weight":10}],
   "maxAttempts":2,"anonymous":true}],
 "services":[{"name":"s","healthPath":"/healthz","maxConns":290,"coldS":3.0,"coldPerS":3.1,
  "engine":{"slots":48,"kvCapacityTokens":357504,"kvBytes":1000,"linkMbps":8000}},{"name":"t","maxConns":96,"coldS":0.0}],
 "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"o","apiKeys":["k1","k2"],"priority":0,"unit":"tokens","plainTokens":200,
  "perS":1000,"burst":2000,"homeRegions":[]}]})";

message_head caller_head()
{
    message_head head;
    head.method = "POST";
    head.target = "/a/x";
    for (const auto& [name, value] :
         {std::pair{"Host", "h.example"},
          {"X-Hickorykeel-Attempt-Id", "9c41"},
          {"X-Hickorykeel-Model", "m"},
          {"X-Hickorykeel-Token-Usage", "1460,80"},
          {"X-Hickorykeel-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
          {"X-Hickorykeel-Deadline-Ms", "4000"},
          {"Api-Key", "secret"},
          {"X-Hickorykeel-Tenant", "forged"},
          {"X-Hickorykeel-Hold", "forged"},
          {"X-Hickorykeel-Kv-Backup", "forged"},
          {"Kv-From", "forged"},
          {"Connection", "keep-alive"},
          {"Keel-Forwarded-By", "forged"},
          {"Content-Length", "3"},
          {"X-Own", "kept"}}) {
        head.headers.add(name, value);
    }
    return head;
}

} // namespace

TEST_CASE("an endpoint's entry with a missing or invalid field is rejected")
{
    const auto entry = platform::decode_endpoint("i-1", complete_entry);
    REQUIRE(entry);
    CHECK(entry->id == "i-1");
    CHECK(entry->failure_domain == "d");
    CHECK(entry->slots == 4);
    CHECK(entry->cold_remaining == 1'500ms);
    CHECK(entry->sequence == 4);
    CHECK(entry->started_ms == 1'700'000'000'000);
    CHECK_FALSE(entry->is_draining);

    const auto document = nlohmann::json::parse(complete_entry);
    for (const auto& item : document.items()) {
        const std::string& name = item.key();
        CAPTURE(name);
        auto other = document;
        other[name] = nlohmann::json::array({1});
        CHECK_FALSE(platform::decode_endpoint("i-1", other.dump()));
        if (name != "born") {
            other.erase(name);
            CHECK_FALSE(platform::decode_endpoint("i-1", other.dump()));
        }
    }
    auto other = document;
    other["state"] = "resting";
    CHECK_FALSE(platform::decode_endpoint("i-1", other.dump()));
    CHECK_FALSE(platform::decode_endpoint("i-1", "\xff\xfe"));
    CHECK_FALSE(platform::decode_endpoint("i-1", "[]"));
}

TEST_CASE("invalid entries are counted, and the others are kept")
{
    // the values are base64 of "{}", invalid base64, and base64 of a complete entry
    const std::string good =
        "eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuOTo4MCIsInpvbmUiOiJkIiwidmVyc2lvbiI6InYxIiwic2"
        "xv"
        "dHMiOjQsInN0YXRlIjoiZHJhaW5pbmciLCJjb2xkUmVtYWluaW5nTXMiOjAsInNlcSI6NH0=";
    const std::string page = R"({"items":[{"key":"servers/i-1","value":"e30=","revision":1},)"
                             R"({"key":"servers/i-2","value":"%%%","revision":2},)"
                             R"({"key":"servers/i-3","value":")" +
                             good + R"(","revision":3}],"hasMore":false,"asOf":12})";
    auto decoded = platform::decode_page(page);
    REQUIRE(std::holds_alternative<platform::store_page>(decoded));
    auto& items = std::get<platform::store_page>(decoded);
    published_items held{platform::decode_item};
    REQUIRE(is_ok(held.apply({0, items.revision, std::move(items.items)})));
    const published_reading read = held.to_reading();
    CHECK(read.unusable_entries == 2);
    CHECK(read.revision == 12);
    REQUIRE(read.endpoints.size() == 1);
    CHECK(read.endpoints.front().is_draining);
}

TEST_CASE("an invalid page is an error")
{
    for (const char* text : {"", "{}", "[]", R"({"items":[]})", R"({"items":{},"asOf":1})",
                             R"({"items":[],"asOf":"1"})"}) {
        CAPTURE(text);
        CHECK(std::holds_alternative<error>(platform::decode_page(text)));
    }
}

TEST_CASE("events of a watch are decoded in their order, deletions too")
{
    const auto decoded = platform::decode_events(
        R"({"events":[{"key":"servers/i-1","value":"e30=","revision":5,"created":2,"lease":0},)"
        R"({"key":"op/evacuate/d","revision":6,"deleted":true},"odd",{"revision":7}],"asOf":7})");
    REQUIRE(std::holds_alternative<platform::store_page>(decoded));
    const auto& page = std::get<platform::store_page>(decoded);
    CHECK(page.revision == 7);
    REQUIRE(page.items.size() == 2);
    CHECK(page.items.front().revision == 5);
    CHECK(page.items.front().value == "{}");
    CHECK_FALSE(page.items.front().is_deleted);
    CHECK(page.items.back().key == "op/evacuate/d");
    CHECK(page.items.back().revision == 6);
    CHECK(page.items.back().is_deleted);
}

TEST_CASE("an item means what its key says")
{
    CHECK(std::holds_alternative<error>(platform::decode_item({"op/config", "{}", 1, false})));
    const auto evacuated = platform::decode_item({"op/evacuate/d", "", 1, false});
    REQUIRE(is_ok(evacuated));
    CHECK(std::get<evacuated_domain>(std::get<published_value>(evacuated)).failure_domain == "d");
    const auto endpoint = platform::decode_item({"servers/i-1", complete_entry, 1, false});
    REQUIRE(is_ok(endpoint));
    CHECK(std::get<endpoint_entry>(std::get<published_value>(endpoint)).id == "i-1");
    const auto other = platform::decode_item({"else/where", "{}", 1, false});
    REQUIRE(is_ok(other));
    CHECK(std::holds_alternative<std::monostate>(std::get<published_value>(other)));
}

TEST_CASE("a configuration is decoded into the gateway's types")
{
    const auto decoded = platform::decode_publication(configuration);
    REQUIRE(std::holds_alternative<publication_ptr>(decoded));
    const publication& published = *std::get<publication_ptr>(decoded);
    CHECK(published.version == 7);
    const route* a = published.find_route("h.example", "/a/x");
    REQUIRE(a != nullptr);
    CHECK(a->name == "a");
    CHECK(a->kind == request_kind::streaming);
    CHECK(a->is_repeatable());
    CHECK(a->home_regions == std::vector<std::string>{"r"});
    const route* b = published.find_route("h.example", "/a/b/x");
    REQUIRE(b != nullptr);
    CHECK(b->name == "b");
    CHECK(b->allows_anonymous);
    CHECK(b->services.size() == 2);
    CHECK(published.find_route("h.example", "/c/") == nullptr);
    CHECK(published.find_route("other", "/a/") == nullptr);
    CHECK(published.find_service("s")->engine->slots == 48);
    CHECK(published.find_service("s")->engine->transfer_rate == doctest::Approx(1'000));
    CHECK_FALSE(published.find_service("t")->engine);
    const organisation* owner = published.find_key_owner("k2");
    REQUIRE(owner != nullptr);
    CHECK(owner->counts_tokens);
    CHECK(owner->burst == 2'000);
    CHECK(published.find_key_owner("k3") == nullptr);
}

TEST_CASE("an invalid configuration is an error")
{
    for (const char* text : {"", "[]", "{}", R"({"version":"x","routes":[],"services":[]})",
                             R"({"version":1,"routes":[{}],"services":[]})"}) {
        CAPTURE(text);
        CHECK(std::holds_alternative<error>(platform::decode_publication(text)));
    }
}

TEST_CASE("a caller's headers are parsed")
{
    const protocol_adapter adapter = platform::make_protocol_adapter();
    const caller_fields fields = adapter.read_caller_fields(caller_head());
    CHECK(fields.id == "9c41");
    CHECK(fields.key == "secret");
    CHECK(fields.deadline == 4'000ms);
    REQUIRE(fields.prompt_size);
    CHECK(fields.prompt_size->prompt_tokens == 1'460);
    CHECK(fields.prompt_size->total_tokens() == 1'540);
    REQUIRE(fields.prompt_size->prefixes.size() == 2);
    CHECK(fields.prompt_size->prefixes.back().tokens == 1'210);
    CHECK(fields.refusal_reason.empty());
    CHECK_FALSE(adapter.read_caller_fields({}).refusal_reason.empty());
}

TEST_CASE("an endpoint gets neither the API key nor callers' values of reserved headers")
{
    const protocol_adapter adapter = platform::make_protocol_adapter();
    endpoint_fields fields;
    fields.deadline = 3'500ms;
    fields.instance = "i-1";
    fields.organisation = "o";
    const header_list sent = adapter.to_endpoint_headers(caller_head(), fields);
    CHECK_FALSE(sent.contains("Api-Key"));
    CHECK_FALSE(sent.contains("X-Hickorykeel-Hold"));
    CHECK_FALSE(sent.contains("X-Hickorykeel-Kv-Backup"));
    CHECK_FALSE(sent.contains("Kv-From"));
    CHECK_FALSE(sent.contains("Connection"));
    CHECK_FALSE(sent.contains("Keel-Forwarded-By"));
    CHECK_FALSE(sent.contains("Content-Length"));
    CHECK(sent.count("X-Hickorykeel-Tenant") == 1);
    CHECK(sent.find("X-Hickorykeel-Tenant") == "o");
    CHECK(sent.find("X-Hickorykeel-Deadline-Ms") == "3500");
    CHECK(sent.find("X-Hickorykeel-Target-Instance") == "i-1");
    CHECK(sent.find("X-Hickorykeel-Attempt-Id") == "9c41");
    CHECK(sent.find("X-Own") == "kept");
    CHECK(sent.find("Host") == "h.example");
}

TEST_CASE("a peer host gets the API key and the remaining deadline")
{
    const protocol_adapter adapter = platform::make_protocol_adapter();
    const header_list sent = adapter.to_host_headers(caller_head(), {1'200ms, "5"});
    CHECK(sent.find("Api-Key") == "secret");
    CHECK(sent.find("X-Hickorykeel-Deadline-Ms") == "1200");
    CHECK(sent.find("Last-Event-ID") == "5");
    CHECK_FALSE(sent.contains("X-Hickorykeel-Hold"));
}

TEST_CASE("the directory's query and response are in the platform's format")
{
    const protocol_adapter adapter = platform::make_protocol_adapter();
    const auto query =
        adapter.read_directory_query("/hickorykeel/resolve?name=h.example&region=r&zone=d%2Da");
    CHECK(query.host == "h.example");
    CHECK(query.region == "r");
    CHECK(query.failure_domain == "d-a");
    CHECK(adapter.format_directory_response({"10.0.0.1:80"}, 2s) ==
          R"({"addresses":["10.0.0.1:80"],"ttlS":2})");
}
