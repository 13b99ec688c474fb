#include "platform/headers.h"
#include "platform/publication_decoder.h"

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <random>  // mt19937_64
#include <string>  // string
#include <utility> // move
#include <variant> // get, get_if, holds_alternative, monostate
#include <vector>  // vector

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
    REQUIRE(std::holds_alternative<source_response>(decoded));
    auto& items = std::get<source_response>(decoded);
    published_items held{platform::decode_item};
    REQUIRE(is_ok(held.apply({{}, {1, items.revision}, std::move(items.items)})));
    const published_reading read = held.to_reading();
    CHECK(read.unusable_entries == 2);
    CHECK(read.position.revision == 12);
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
    REQUIRE(std::holds_alternative<source_response>(decoded));
    const auto& page = std::get<source_response>(decoded);
    CHECK(page.revision == 7);
    REQUIRE(page.items.size() == 2);
    CHECK(page.items.front().position.revision == 5);
    CHECK(page.items.front().value == "{}");
    CHECK_FALSE(page.items.front().is_deleted);
    CHECK(page.items.back().key == "op/evacuate/d");
    CHECK(page.items.back().position.revision == 6);
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
                             R"({"version":-1,"routes":[],"services":[]})",
                             R"({"version":1e300,"routes":[],"services":[]})",
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

// guards against a request that was refused at once as late: a caller's long deadline overflowed
TEST_CASE("regression: a caller's deadline of any length can be added to a time")
{
    const protocol_adapter adapter = platform::make_protocol_adapter();
    for (const char* text :
         {"9223372036854775807", "9223372036855", "99999999999999999999", "-1", "-9223372036855"}) {
        CAPTURE(text);
        message_head head;
        head.headers.add("X-Hickorykeel-Attempt-Id", "9c41");
        head.headers.add("X-Hickorykeel-Deadline-Ms", text);
        const auto deadline = adapter.read_caller_fields(head).deadline;
        CHECK((!deadline || (*deadline >= 0ms && *deadline <= std::chrono::hours{24})));
    }
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

TEST_CASE("the attempt that brought a stream's first event is read and passed on")
{
    const protocol_adapter adapter = platform::make_protocol_adapter();
    message_head head = caller_head();
    CHECK_FALSE(adapter.read_caller_fields(head).resumed_id);
    head.headers.add("Resumes", "5b1f");
    CHECK(adapter.read_caller_fields(head).resumed_id == "5b1f");
    CHECK(adapter.to_host_headers(head, {1'200ms, "5"}).find("Resumes") == "5b1f");
    head.headers.add("resumes", "5b1f");
    CHECK(adapter.read_caller_fields(head).resumed_id == "");
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

namespace {

constexpr auto day = std::chrono::hours{24};
constexpr std::size_t deep = 100'000;

std::string nest(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string nest_objects(std::size_t depth)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += R"({"a":)";
    }
    return text + '0' + std::string(depth, '}');
}

/// `complete_entry` with another value, which is JSON, of the field `name`.
std::string entry_with(const std::string& name, const std::string& value)
{
    auto document = nlohmann::json::parse(complete_entry);
    document.erase(name);
    std::string text = document.dump();
    text.pop_back();
    return text + ",\"" + name + "\":" + value + "}";
}

bool is_within_bounds(const endpoint_entry& entry)
{
    return entry.slots >= 1 && entry.slots <= 1'000'000 && entry.cold_remaining >= 0ms &&
           entry.cold_remaining <= day && entry.started_ms >= 0 && !entry.address.ends_with(":0") &&
           entry.address.find('\0') == std::string::npos;
}

bool is_within_bounds(std::chrono::milliseconds value)
{
    return value >= 0ms && value <= day;
}

bool is_within_bounds(const publication& published)
{
    for (const auto& [name, of] : published.services()) {
        if (!is_within_bounds(of.cold_time) || of.cold_rate < 0 || of.cold_rate > 1e9 ||
            of.max_connections > 1'000'000 ||
            (of.engine && (of.engine->slots < 1 || of.engine->slots > 1'000'000 ||
                           of.engine->kv_cache_tokens > 1'000'000'000'000'000 ||
                           of.engine->transfer_rate < 0 || of.engine->transfer_rate > 1e9))) {
            return false;
        }
    }
    const route* a = published.find_route("h.example", "/a/");
    return is_within_bounds(published.limits.header_timeout) &&
           is_within_bounds(published.limits.idle_timeout) &&
           published.limits.max_header_bytes <= 1'073'741'824 &&
           published.limits.max_body_bytes <= 1'073'741'824 &&
           (a == nullptr || (is_within_bounds(a->timeout) && is_within_bounds(a->objective) &&
                             a->max_attempts <= 1'000'000 && a->services.front().weight >= 0));
}

/// Changes `text` at a few places: other bytes, numbers out of range, parts removed or repeated.
std::string mutate(std::string text, std::mt19937_64& random)
{
    static const std::vector<std::string> parts{"1e300",
                                                "-1e300",
                                                "-1",
                                                "0",
                                                "4294967296",
                                                "18446744073709551615",
                                                "99999999999999999999",
                                                "1e999",
                                                "null",
                                                "[]",
                                                "{}",
                                                "\"\"",
                                                "\"\\u0000\\r\\n\"",
                                                "\xff",
                                                "0.5",
                                                "true",
                                                nest(500)};
    const auto pick = [&](std::size_t count) { return random() % count; };
    for (std::size_t changes = 1 + pick(3); changes > 0 && !text.empty(); --changes) {
        const std::size_t at = pick(text.size());
        const std::size_t value = text.find(':', at);
        switch (pick(4)) {
        case 0:
            text[at] = static_cast<char>(pick(256));
            break;
        case 1:
            text.erase(at, pick(8));
            break;
        case 2:
            text.insert(at, text.substr(pick(text.size()), pick(16)));
            break;
        default:
            if (value != std::string::npos) {
                const std::size_t end = text.find_first_of(",}", value);
                text.replace(value + 1, end == std::string::npos ? end : end - value - 1,
                             parts[pick(parts.size())]);
            }
        }
    }
    return text;
}

} // namespace

// guards against an odd entry of the store that a host took for an endpoint: cast to no slots,
// cold until a time that overflowed, at port 0, or with a line end in a header sent to it
TEST_CASE("regression: an entry with values out of range names no endpoint")
{
    REQUIRE(platform::decode_endpoint("i-1", entry_with("slots", "4")));
    for (const auto& field : std::vector<std::pair<std::string, std::string>>{
             {"slots", "4294967296"},
             {"slots", "4294967297"},
             {"slots", "18446744073709551615"},
             {"slots", "1e300"},
             {"slots", nest(deep)},
             {"coldRemainingMs", "1e300"},
             {"coldRemainingMs", "9223372036854775807"},
             {"coldRemainingMs", "86400001"},
             {"coldRemainingMs", "1e999"},
             {"seq", "18446744073709551615"},
             {"born", "-1"},
             {"born", "18446744073709551615"},
             {"address", R"("10.0.0.9:0")"},
             {"address", R"("10.0.0.9:65536")"},
             {"address", R"("10.0.0.9:-1")"},
             {"address", R"("10.0.0.9\u0000\r\nX: y:80")"},
             {"address", R"("0.0.0.0:80")"},
             {"address", R"("224.0.0.1:80")"},
             {"address", R"("255.255.255.255:80")"},
             {"other", nest(deep)},
         }) {
        const auto& name = field.first;
        const auto& value = field.second;
        CAPTURE(name);
        CAPTURE(value.substr(0, 40));
        CHECK_FALSE(platform::decode_endpoint("i-1", entry_with(name, value)));
    }
    for (const std::string& id : std::vector<std::string>{"", "i\r\nX-Other: 1", "i\n", "i\t",
                                                          "i 1", std::string{"i\0", 2}, "i\x7f"}) {
        CAPTURE(id);
        CHECK_FALSE(platform::decode_endpoint(id, complete_entry));
    }
}

// guards against a host that stops following the store because of one deeply nested item
TEST_CASE("regression: the other items of a page with a deeply nested item hold")
{
    auto decoded = platform::decode_page(R"({"items":[{"key":"servers/i-1","value":)" + nest(deep) +
                                         R"(},{"key":"servers/i-2","value":"e30=","other":)" +
                                         nest_objects(deep) + R"(}],"asOf":12})");
    REQUIRE(std::holds_alternative<source_response>(decoded));
    auto& page = std::get<source_response>(decoded);
    CHECK(page.items.size() == 2);
    // the configuration and a sound endpoint beside entries out of range
    page.items.push_back({"op/config", configuration, 3, false});
    page.items.push_back({"servers/i-3", complete_entry, 4, false});
    page.items.push_back({"servers/i-4", entry_with("slots", "4294967296"), 5, false});
    page.items.push_back({"servers/i-5", entry_with("other", nest(deep)), 6, false});
    published_items held{platform::decode_item};
    REQUIRE(is_ok(held.apply({{}, {1, page.revision}, std::move(page.items)})));
    const published_reading read = held.to_reading();
    CHECK(read.position.revision == 12);
    CHECK(read.published != nullptr);
    CHECK(read.unusable_entries == 4);
    REQUIRE(read.endpoints.size() == 1);
    CHECK(read.endpoints.front().id == "i-3");
}

// guards against a timeout, limit or count that overflows when it is converted or added to a time
TEST_CASE("regression: numbers of a configuration are held within their bounds")
{
    const auto document = nlohmann::json::parse(configuration);
    const auto values = document.flatten();
    for (const auto& item : values.items()) {
        if (!item.value().is_number() || item.key() == "/version") {
            continue;
        }
        for (const nlohmann::json& value :
             std::vector<nlohmann::json>{1e300, -1e300, -1, 4'294'967'296, UINT64_MAX, INT64_MIN}) {
            CAPTURE(item.key());
            CAPTURE(value.dump());
            auto changed = document;
            changed[nlohmann::json::json_pointer{item.key()}] = value;
            const auto decoded = platform::decode_publication(changed.dump());
            REQUIRE(std::holds_alternative<publication_ptr>(decoded));
            CHECK(is_within_bounds(*std::get<publication_ptr>(decoded)));
        }
    }
}

// guards against bytes of the store that end the process or are decoded to values out of range
TEST_CASE("regression: mutated documents of the store are decoded within bounds or not at all")
{
    const std::string page = R"({"items":[{"key":"servers/i-1","value":"e30=","revision":1},)"
                             R"({"key":"op/evacuate/d","deleted":true}],"hasMore":false,"asOf":9})";
    std::mt19937_64 random{5};
    std::size_t decoded_count = 0;
    for (int i = 0; i < 8'000; ++i) {
        CAPTURE(i);
        const std::string text = mutate(complete_entry, random);
        const auto entry = platform::decode_endpoint("i-1", text);
        decoded_count += entry ? 1 : 0;
        CHECK((!entry || is_within_bounds(*entry)));
        static_cast<void>(platform::decode_page(mutate(page, random)));
        const auto published = platform::decode_publication(mutate(configuration, random));
        if (const auto* sound = std::get_if<publication_ptr>(&published)) {
            ++decoded_count;
            CHECK(is_within_bounds(**sound));
        }
    }
    CHECK(decoded_count > 1'000);
}

// guards against the end of the process by a configuration whose values are copied recursively
TEST_CASE("regression: a deeply nested configuration is an error")
{
    const auto decoded = platform::decode_publication(
        R"({"version":1,"routes":[],"services":[],"limits":)" + nest(deep) + "}");
    CHECK(std::holds_alternative<error>(decoded));
}

// guards against a lost statement beside others, and against obeying one that can't be read
TEST_CASE("leaving endpoint: its header is missed or misread")
{
    const protocol_adapter adapter = platform::make_protocol_adapter();
    const auto read = [&](const std::vector<std::string>& values) {
        static message_head head;
        head = {};
        for (const std::string& value : values) {
            head.headers.add("server-leaving", value);
        }
        return adapter.read_endpoint_statement(head);
    };
    CHECK_FALSE(read({}).is_leaving);
    CHECK(read({"1"}).is_leaving);
    CHECK(read({"0", "1"}).is_leaving);
    CHECK_FALSE(read({"0"}).is_leaving);
    CHECK_FALSE(read({"soon"}).is_leaving);
    CHECK(read({"soon"}).malformed_value == "soon");
    CHECK(read({"1", ""}).is_leaving);
}

// guards against obeying a delay that is negative, no number or said twice, and against overflow
TEST_CASE("endpoint that turns away: its delay is misread")
{
    const protocol_adapter adapter = platform::make_protocol_adapter();
    const auto read = [&](int status, const std::vector<std::string>& values) {
        static message_head head;
        head = {};
        head.status = status;
        for (const std::string& value : values) {
            head.headers.add("retry-after", value);
        }
        return adapter.read_endpoint_statement(head);
    };
    CHECK(read(503, {"2"}).retry_after == 2s);
    CHECK(read(503, {"0.25"}).retry_after == 250ms);
    CHECK(read(503, {"0"}).retry_after == 0s);
    CHECK_FALSE(read(503, {}).retry_after.has_value());
    CHECK_FALSE(read(429, {"2"}).retry_after.has_value());
    CHECK_FALSE(read(200, {"2"}).retry_after.has_value());
    for (const std::string& value :
         {std::string{}, std::string{"-1"}, std::string{"-0"}, std::string{"soon"},
          std::string{"1e3"}, std::string{"inf"}, std::string{"nan"}, std::string{"2 s"},
          std::string{"1, 2"}, std::string{"0x10"}, std::string{"Wed, 21 Oct 2026 07:28:00 GMT"},
          std::string(400, '9')}) {
        CAPTURE(value);
        CHECK_FALSE(read(503, {value}).retry_after.has_value());
        CHECK(read(503, {value}).malformed_value == value);
    }
    CHECK(read(503, {std::string(30, '9')}).retry_after == 24h);
    CHECK(read(503, {"1", "3", "2"}).retry_after == 3s);
    CHECK(read(503, {"1", "3"}).malformed_value == "3");
    CHECK(read(503, {"soon", "3"}).retry_after == 3s);
}

// guards against LIMIT, and against obeying a rate that is negative, no number or named twice
TEST_CASE("endpoint that names a rate: it is missed or misread")
{
    const protocol_adapter adapter = platform::make_protocol_adapter();
    const auto read = [&](const std::vector<std::string>& values) {
        static message_head head;
        head = {};
        for (const std::string& value : values) {
            head.headers.add("server-limit", value);
        }
        return adapter.read_endpoint_statement(head);
    };
    CHECK(read({"3.6"}).max_rate == 3.6);
    CHECK(read({"1"}).max_rate == 1);
    CHECK(read({"0"}).max_rate == 0);
    CHECK_FALSE(read({"3.6"}).is_max_rate_malformed);
    CHECK_FALSE(read({}).max_rate.has_value());
    CHECK_FALSE(read({}).is_max_rate_malformed);
    for (const std::string& value :
         {std::string{}, std::string{"-1"}, std::string{"-0"}, std::string{"soon"},
          std::string{"1e3"}, std::string{"inf"}, std::string{"nan"}, std::string{"2 /s"},
          std::string{"1, 2"}, std::string{"0x10"}, std::string{"1000001"},
          std::string(400, '9')}) {
        CAPTURE(value);
        CHECK_FALSE(read({value}).max_rate.has_value());
        CHECK(read({value}).is_max_rate_malformed);
        CHECK(read({value}).malformed_value == value);
    }
    for (const auto& values : {std::vector<std::string>{"1", "2"}, {"1", "1"}, {"soon", "1"}}) {
        CHECK_FALSE(read(values).max_rate.has_value());
        CHECK(read(values).is_max_rate_malformed);
    }
}

// guards against LIMIT, and against obeying a rejection limit that is negative, no number or named
// twice
TEST_CASE("endpoint that names a rejection limit: it is missed or misread")
{
    const protocol_adapter adapter = platform::make_protocol_adapter();
    const auto read = [&](const std::vector<std::string>& values) {
        static message_head head;
        head = {};
        for (const std::string& value : values) {
            head.headers.add("server-brittle", value);
        }
        return adapter.read_endpoint_statement(head);
    };
    CHECK(read({"0"}).rejection_limit == 0U);
    CHECK(read({"1"}).rejection_limit == 1U);
    CHECK(read({"3.6"}).rejection_limit == 3U); // a fourth rejection is one too many
    CHECK(read({"500"}).rejection_limit == 500U);
    CHECK_FALSE(read({"4"}).is_rejection_limit_malformed);
    CHECK_FALSE(read({"4"}).malformed_value.has_value());
    CHECK_FALSE(read({}).rejection_limit.has_value());
    CHECK_FALSE(read({}).is_rejection_limit_malformed);
    for (const std::string& value :
         {std::string{}, std::string{"-1"}, std::string{"-0"}, std::string{"soon"},
          std::string{"1e3"}, std::string{"inf"}, std::string{"nan"}, std::string{"2 /s"},
          std::string{"1, 2"}, std::string{"0x10"}, std::string{"1000001"},
          std::string(400, '9')}) {
        CAPTURE(value);
        CHECK_FALSE(read({value}).rejection_limit.has_value());
        CHECK(read({value}).is_rejection_limit_malformed);
        CHECK(read({value}).malformed_value == value);
    }
    for (const auto& values : {std::vector<std::string>{"1", "2"}, {"1", "1"}, {"soon", "1"}}) {
        CHECK_FALSE(read(values).rejection_limit.has_value());
        CHECK(read(values).is_rejection_limit_malformed);
    }
    CHECK_FALSE(read({"2"}).max_rate.has_value());
}
