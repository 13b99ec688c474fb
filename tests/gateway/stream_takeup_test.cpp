#include "gateway/endpoint_behaviours.h"
#include "gateway/gateway_fixture.h"
#include "gateway/routes.h"
#include "gateway/routing/rendezvous.h"
#include "gateway/routing/stream_origins.h"
#include "gateway/serving/exchange.h"

#include <memory> // shared_ptr
#include <string> // string, to_string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;

namespace {

const std::string first_attempt = "5b1fb2b9d1a44c0e";

/// Time for which a host knows the versions, longer than the timeout of the route.
constexpr auto long_known = 50s;

header_list own_headers(const std::shared_ptr<server_exchange>& request)
{
    return response_headers(std::string{request->head().headers.find("X-Hickorykeel-Attempt-Id")});
}

/// Sends the first event of a stream, and breaks it off.
void break_off_stream(const std::shared_ptr<server_exchange>& request)
{
    request->begin(200, own_headers(request));
    request->send("id: 1\ndata: a\n\n");
    request->abort_response();
}

/// Sends the rest of a stream.
void end_stream(const std::shared_ptr<server_exchange>& request)
{
    request->begin(200, own_headers(request));
    request->send("id: 2\ndata: b\n\n");
    request->end();
}

/// Two versions side by side: an endpoint of version "2", which is preferred, and one of "1".
struct two_versions {
    two_versions()
    {
        gateway.add_endpoint("new", other.behaviour());
        gateway.add_endpoint("old", end_stream);
        gateway.set_software_version("new", "2");
        gateway.set_software_version("old", "1");
        gateway.know_versions(long_known);
    }

    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    recording_endpoint other;
};

/// Takes a stream up after its first event.
/// @param resumes id of the attempt with the first event; empty: none is named
std::shared_ptr<received_response> take_up(gateway_fixture& gateway, const std::string& resumes,
                                           const std::string& attempt = id)
{
    header_list headers;
    headers.add("Last-Event-ID", "1");
    if (!resumes.empty()) {
        headers.add("Resumes", resumes);
    }
    auto response = gateway.send_request("POST", "question", {}, headers, attempt);
    gateway.run_to_end(response);
    return response;
}

void check_refused(const received_response& response, const std::string& code)
{
    CHECK(response.status == 503);
    CHECK(response.body == R"({"error":")" + code + R"(","ran":"no"})");
    CHECK(response.headers.contains("Retry-After"));
}

void tell(gateway_fixture& gateway, const std::string& version)
{
    gateway.origins().on_peer_report({long_hash(first_attempt), short_hash(version), 5s},
                                     boot_clock::now());
}

} // namespace

// guards against ORDER: a caller that took its stream up at another host got the rest of it from an
// endpoint of another software version
TEST_CASE("regression: a take-up at a host that was told goes to the version that began the stream")
{
    two_versions side_by_side;
    tell(side_by_side.gateway, "1");
    const auto response = take_up(side_by_side.gateway, first_attempt);
    CHECK(response->status == 200);
    CHECK(response->body == "id: 2\ndata: b\n\n");
    CHECK(side_by_side.other.heads().empty());
}

// guards against ORDER: a host that knew nothing of a stream continued it at any version
TEST_CASE("regression: a take-up of an unknown stream is refused while there are several versions")
{
    two_versions side_by_side;
    SUBCASE("its id isn't known")
    {
        check_refused(*take_up(side_by_side.gateway, first_attempt), "stream_version_unknown");
    }
    SUBCASE("it names none")
    {
        check_refused(*take_up(side_by_side.gateway, ""), "stream_version_unknown");
    }
    SUBCASE("it names two")
    {
        tell(side_by_side.gateway, "1");
        header_list headers;
        headers.add("Last-Event-ID", "1");
        headers.add("Resumes", first_attempt);
        headers.add("Resumes", "another");
        const auto response = side_by_side.gateway.send_request("POST", "question", {}, headers);
        side_by_side.gateway.run_to_end(response);
        check_refused(*response, "stream_version_unknown");
    }
    SUBCASE("it names one without the last event")
    {
        header_list headers;
        headers.add("Resumes", first_attempt);
        const auto response = side_by_side.gateway.send_request("POST", "question", {}, headers);
        side_by_side.gateway.run_to_end(response);
        check_refused(*response, "stream_version_unknown");
    }
    CHECK(side_by_side.other.heads().empty());
}

// guards against ORDER: a stream went on at the new version after the last endpoint of its own left
TEST_CASE("regression: a take-up of a stream whose version is gone is refused at once")
{
    two_versions side_by_side;
    tell(side_by_side.gateway, "1");
    side_by_side.gateway.remove_endpoint("old");
    check_refused(*take_up(side_by_side.gateway, first_attempt), "stream_version_gone");
    CHECK(side_by_side.other.heads().empty());
}

// guards against ORDER: one version that is published now is no proof that there was no other
TEST_CASE("regression: an unknown stream goes on only where its service had one version for long")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    gateway.add_endpoint("a", end_stream);
    gateway.set_software_version("a", "1");
    SUBCASE("for long")
    {
        gateway.know_versions(long_known);
        CHECK(take_up(gateway, first_attempt)->body == "id: 2\ndata: b\n\n");
        CHECK(take_up(gateway, "")->body == "id: 2\ndata: b\n\n");
    }
    SUBCASE("for less than a timeout that a route to it had of late")
    {
        gateway.have_had_timeout(long_known);
        gateway.know_versions(long_known);
        check_refused(*take_up(gateway, first_attempt), "stream_version_unknown");
    }
    SUBCASE("not known for long")
    {
        gateway.know_versions(1s);
        check_refused(*take_up(gateway, first_attempt), "stream_version_unknown");
    }
}

// guards against ORDER: the take-up of a take-up went on at any version
TEST_CASE("regression: a stream that is taken up twice stays at the version that began it")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 1, true)};
    recording_endpoint other;
    gateway.add_endpoint("old", break_off_stream);
    gateway.set_software_version("old", "1");
    gateway.know_versions(long_known);
    const auto begun = gateway.send_request("POST", "question", {}, {}, first_attempt);
    gateway.run_to_end(begun);
    CHECK(begun->body == "id: 1\ndata: a\n\n");
    gateway.add_endpoint("new", other.behaviour());
    gateway.set_software_version("new", "2");
    gateway.add_endpoint("old-2", end_stream); // the other one may be left alone after its failures
    gateway.set_software_version("old-2", "1");
    gateway.know_versions(long_known);
    for (const std::string& attempt : {std::string{"second"}, std::string{"third"}}) {
        CAPTURE(attempt);
        const auto response = take_up(gateway, first_attempt, attempt);
        CHECK(response->status == 200);
    }
    CHECK(other.heads().empty());
    CHECK(gateway.origins().find(first_attempt, boot_clock::now()) == short_hash("1"));
    // a caller never names these, and to record them would cost room
    CHECK_FALSE(gateway.origins().find("second", boot_clock::now()));
}

TEST_CASE("a retry of a take-up within its response stays at the version that began the stream")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 3, true)};
    recording_endpoint other;
    gateway.add_endpoint("failing", cut);
    gateway.add_endpoint("new", other.behaviour());
    gateway.add_endpoint("old", end_stream);
    gateway.set_software_version("failing", "1");
    gateway.set_software_version("new", "2");
    gateway.set_software_version("old", "1");
    gateway.know_versions(long_known);
    tell(gateway, "1");
    CHECK(take_up(gateway, first_attempt)->body == "id: 2\ndata: b\n\n");
    CHECK(other.heads().empty());
}

TEST_CASE("a forwarded take-up is served by the version that the forwarding host requires")
{
    two_versions side_by_side;
    header_list headers;
    headers.add("Last-Event-ID", "1");
    headers.add("Resumes", first_attempt);
    headers.add(std::string{software_version_header}, std::to_string(short_hash("1")));
    const auto response = side_by_side.gateway.send_request("POST", "question", "peer", headers);
    side_by_side.gateway.run_to_end(response);
    CHECK(response->body == "id: 2\ndata: b\n\n");
    CHECK(side_by_side.other.heads().empty());
}

TEST_CASE("a take-up is forwarded with the version that began the stream")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    gateway.add_endpoint("old", end_stream);
    gateway.set_software_version("old", "1");
    gateway.know_versions(1s);
    tell(gateway, "1");
    std::string required;
    std::string resumed;
    gateway.add_host([&](const std::shared_ptr<server_exchange>& request) {
        required = request->head().headers.find(software_version_header);
        resumed = request->head().headers.find("Resumes");
        header_list headers = own_headers(request);
        headers.add(std::string{software_version_header}, required);
        request->begin(200, headers);
        request->send("id: 2\ndata: b\n\n");
        request->end();
    });
    gateway.occupy("old");
    gateway.publish_elsewhere("other", "1");
    CHECK(take_up(gateway, first_attempt)->status == 200);
    CHECK(required == std::to_string(short_hash("1")));
    CHECK(resumed == first_attempt);
}

// guards against ORDER: the rest of a stream was relayed from a host that served another version
TEST_CASE("regression: the rest of a stream isn't relayed from a host that names another version")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    header_list named;
    SUBCASE("another one")
    {
        named.add(std::string{software_version_header}, std::to_string(short_hash("2")));
    }
    SUBCASE("none") {}
    tell(gateway, "1");
    gateway.publish_elsewhere("far", "1");
    gateway.add_host([&](const std::shared_ptr<server_exchange>& request) {
        header_list headers = own_headers(request);
        for (const header& field : named) {
            headers.add(field.name, field.value);
        }
        request->begin(200, headers);
        request->send("id: 2\ndata: b\n\n");
        request->end();
    });
    const auto response = take_up(gateway, first_attempt);
    CHECK(response->status != 200);
    CHECK(response->body.find("data") == std::string::npos);
}

// guards against ORDER: a stream for which two versions were named went on at the only one published
TEST_CASE("regression: a take-up of a stream for which two versions are named is refused")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 2, true)};
    gateway.add_endpoint("a", end_stream);
    gateway.set_software_version("a", "1");
    gateway.know_versions(long_known);
    tell(gateway, "1");
    tell(gateway, "2");
    check_refused(*take_up(gateway, first_attempt), "stream_version_unknown");
}

TEST_CASE("a stream that a host only forwards for another one is recorded by that one")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 1, true)};
    gateway.add_endpoint("old", end_stream);
    gateway.set_software_version("old", "1");
    gateway.run_to_end(gateway.send_request("POST", "question", "peer", {}, first_attempt));
    CHECK_FALSE(gateway.origins().find(first_attempt, boot_clock::now()));
    gateway.run_to_end(gateway.send_request("POST", "question", {}, {}, first_attempt));
    CHECK(gateway.origins().find(first_attempt, boot_clock::now()) == short_hash("1"));
}

TEST_CASE("a request that isn't for a stream may name one")
{
    gateway_fixture gateway{make_route(request_kind::safe, 1)};
    recording_endpoint endpoint;
    gateway.add_endpoint("a", endpoint.behaviour());
    CHECK(take_up(gateway, first_attempt)->status == 200);
}
