#include "process/admin_server.h"
#include "support/child_process.h"

#include <memory>    // unique_ptr
#include <stdexcept> // runtime_error
#include <string>    // string

#include <doctest/doctest.h>
#include <httplib.h>

using namespace hickorykeel;

namespace {

/// SHA-256 of "open sesame".
const std::string key_digest = "41ef4bb0b23661e66301aac36066912dac037827b4ae63a7b1165a5aa93ed4eb";

admin_server::options to_options()
{
    admin_server::options chosen;
    chosen.listen = "127.0.0.1:0";
    chosen.key_digest = key_digest;
    chosen.routes = {
        {admin_method::get, "/admin/v1/echo",
         [](const admin_request& request) {
             return admin_answer{200, request.parameters};
         }},
        {admin_method::post, "/admin/v1/size",
         [](const admin_request& request) {
             return admin_answer{200, request.body.size()};
         }},
        {admin_method::get, "/admin/v1/broken",
         [](const admin_request&) -> admin_answer { throw std::runtime_error{"secret detail"}; }},
    };
    return chosen;
}

std::unique_ptr<admin_server> open(admin_server::options chosen)
{
    auto opened = admin_server::open(std::move(chosen));
    REQUIRE(is_ok(opened));
    return std::get<0>(std::move(opened));
}

std::string code_of(const httplib::Result& result)
{
    return nlohmann::json::parse(result->body).at("error").at("code");
}

const httplib::Headers right_key{{"Authorization", "Bearer open sesame"}};

} // namespace

TEST_CASE("an address is bound by one server alone")
{
    const auto first = open(to_options());
    auto chosen = to_options();
    chosen.listen = "127.0.0.1:" + std::to_string(first->port());
    CHECK(!is_ok(admin_server::open(chosen)));
}

TEST_CASE("administration server")
{
    metrics registry{"attica-a", "attica-1"};
    bool is_ready = false;
    auto chosen = to_options();
    chosen.registry = &registry;
    chosen.is_ready = [&] { return is_ready; };

    SUBCASE("health, readiness and metrics need no key")
    {
        const auto server = open(chosen);
        httplib::Client client{"127.0.0.1", server->port()};
        CHECK(client.Get("/healthz")->status == 200);
        CHECK(client.Get("/readyz")->status == 503);
        is_ready = true;
        CHECK(client.Get("/readyz")->status == 200);
        registry.counters("calls_total", "calls").with({}).Increment();
        CHECK(client.Get("/metrics")->body.find("calls_total{") != std::string::npos);
    }
    SUBCASE("routes with the key")
    {
        const auto server = open(chosen);
        httplib::Client client{"127.0.0.1", server->port()};
        CHECK(client.Get("/admin/v1/echo?a=1&b=x%20y", right_key)->body ==
              R"({"a":"1","b":"x y"})");
        CHECK(client.Post("/admin/v1/size", right_key, "12345", "text/plain")->body == "5");
    }
    SUBCASE("a call that tells no length has no body (RFC 9112, section 6.3)")
    {
        const auto server = open(chosen);
        const std::string address = "http://127.0.0.1:" + std::to_string(server->port());
        const auto post = [&](const std::string& path, const std::string& key) {
            tests::child_process curl{{"curl", "--silent", "--max-time", "60", "--request", "POST",
                                       "--header", "Authorization: Bearer " + key, address + path}};
            curl.wait_for_exit();
            return curl.output();
        };
        CHECK(post("/admin/v1/size", "open sesame") == "0");
        CHECK(post("/admin/v1/size", "another").find("unauthorised") != std::string::npos);
        CHECK(post("/admin/v1/nothing", "open sesame").find("not_found") != std::string::npos);
    }
    SUBCASE("a missing or wrong key")
    {
        const auto server = open(chosen);
        httplib::Client client{"127.0.0.1", server->port()};
        for (const std::string header : {"", "open sesame", "Bearer ", "Bearer open sesam",
                                         "bearer open sesame", "Bearer open sesame "}) {
            CAPTURE(header);
            const auto answer = client.Get("/admin/v1/echo", {{"Authorization", header}});
            // a header's trailing blanks are no part of its value (RFC 9110, section 5.5)
            CHECK(answer->status == (header == "Bearer open sesame " ? 200 : 401));
        }
        CHECK(code_of(client.Get("/admin/v1/echo")) == "unauthorised");
        CHECK(client.Get("/admin/no/such/path")->status == 401);
    }
    SUBCASE("no key is set")
    {
        chosen.key_digest.clear();
        const auto server = open(chosen);
        httplib::Client client{"127.0.0.1", server->port()};
        CHECK(client.Get("/admin/v1/echo", right_key)->status == 403);
        CHECK(code_of(client.Get("/admin/v1/echo")) == "administration_off");
    }
    SUBCASE("unknown paths and failing handlers answer in JSON")
    {
        const auto server = open(chosen);
        httplib::Client client{"127.0.0.1", server->port()};
        const auto unknown = client.Get("/admin/v1/nothing", right_key);
        CHECK(unknown->status == 404);
        CHECK(code_of(unknown) == "not_found");
        const auto broken = client.Get("/admin/v1/broken", right_key);
        CHECK(broken->status == 500);
        CHECK(broken->body.find("secret detail") == std::string::npos);
    }
    SUBCASE("an address in use")
    {
        const auto server = open(chosen);
        auto second = to_options();
        second.listen = "127.0.0.1:" + std::to_string(server->port());
        const auto outcome = admin_server::open(second);
        REQUIRE_FALSE(is_ok(outcome));
        CHECK(std::get<error>(outcome).kind == error_kind::link_unreachable);
    }
}
