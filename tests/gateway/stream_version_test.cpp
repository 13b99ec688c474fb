#include "gateway/endpoint_behaviours.h"
#include "gateway/gateway_fixture.h"
#include "gateway/routes.h"
#include "gateway/routing/rendezvous.h"
#include "gateway/serving/exchange.h"

#include <memory> // shared_ptr
#include <string> // string, to_string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;

namespace {

/// Sends the first event of a stream, and breaks it off.
void break_off_stream(const std::shared_ptr<server_exchange>& request)
{
    request->begin(200, response_headers());
    request->send("id: 1\ndata: a\n\n");
    request->abort_response();
}

/// Sends the rest of a stream.
void end_stream(const std::shared_ptr<server_exchange>& request)
{
    request->begin(200, response_headers());
    request->send("id: 2\ndata: b\n\n");
    request->end();
}

std::string to_header(const std::string& version)
{
    return std::to_string(short_hash(version));
}

} // namespace

// guards against ORDER: a stream that broke off went on at an endpoint of another software version
TEST_CASE("regression: an interrupted stream is resumed at the version that began it")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    recording_endpoint other;
    gateway.add_endpoint("a", break_off_stream);
    gateway.add_endpoint("b", other.behaviour());
    gateway.set_software_version("a", "1");
    gateway.set_software_version("b", "2");
    SUBCASE("another endpoint of the version exists")
    {
        gateway.add_endpoint("c", end_stream);
        gateway.set_software_version("c", "1");
        const auto response = gateway.send_request();
        gateway.run_to_end(response);
        CHECK(response->end == call_end::complete);
        CHECK(response->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }
    SUBCASE("none does")
    {
        const auto response = gateway.send_request();
        gateway.run_to_end(response);
        CHECK(response->end == call_end::broken);
    }
    CHECK(other.heads().empty());
}

TEST_CASE("a stream without an event so far may begin at any version")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    gateway.add_endpoint("a", [](const std::shared_ptr<server_exchange>& request) {
        request->begin(200, response_headers());
        request->send("id: 1\nda");
        request->abort_response();
    });
    gateway.add_endpoint("b", end_stream);
    gateway.set_software_version("a", "1");
    gateway.set_software_version("b", "2");
    const auto response = gateway.send_request();
    gateway.run_to_end(response);
    CHECK(response->end == call_end::complete);
    CHECK(response->body == "id: 2\ndata: b\n\n");
}

// guards against ORDER: a stream that a host of another region had begun went on at any version
TEST_CASE("regression: a stream that another host has begun is resumed at the version it names")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    recording_endpoint other;
    header_list named = response_headers();
    bool is_resumed = false;
    SUBCASE("it names the version of an endpoint here")
    {
        named.add(std::string{software_version_header}, to_header("1"));
        is_resumed = true;
    }
    SUBCASE("it names another version")
    {
        named.add(std::string{software_version_header}, to_header("3"));
    }
    SUBCASE("it names none") {}
    int hops = 0;
    gateway.add_host([&](const std::shared_ptr<server_exchange>& request) {
        if (++hops > 1) {
            request->abort_response();
            return;
        }
        request->begin(200, named);
        request->send("id: 1\ndata: a\n\n");
        request->abort_response();
    });
    const auto response = gateway.send_request();
    gateway.run_until([&] { return !response->body.empty(); });
    CHECK_FALSE(response->headers.contains(software_version_header));
    gateway.add_endpoint("b", other.behaviour());
    gateway.add_endpoint("a", end_stream);
    gateway.set_software_version("a", "1");
    gateway.set_software_version("b", "2");
    gateway.run_to_end(response);
    CHECK(other.heads().empty());
    CHECK((response->end == call_end::complete) == is_resumed);
}

TEST_CASE("a forwarded stream is served by the version that the forwarding host requires")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    recording_endpoint other;
    gateway.add_endpoint("b", other.behaviour());
    gateway.add_endpoint("a", end_stream);
    gateway.set_software_version("a", "1");
    gateway.set_software_version("b", "2");
    header_list required;
    SUBCASE("one is here")
    {
        required.add(std::string{software_version_header}, to_header("1"));
        const auto response = gateway.send_request("POST", "question", "other", required);
        gateway.run_to_end(response);
        CHECK(response->end == call_end::complete);
        CHECK(response->headers.find(software_version_header) == to_header("1"));
    }
    SUBCASE("none is here")
    {
        required.add(std::string{software_version_header}, to_header("3"));
        const auto response = gateway.send_request("POST", "question", "other", required);
        gateway.run_to_end(response);
        CHECK(response->status == 503);
        CHECK(response->headers.find(ran_header) == "no");
    }
    CHECK(other.heads().empty());
}
