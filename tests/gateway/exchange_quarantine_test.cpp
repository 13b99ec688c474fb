#include "gateway/serving/exchange.h"

#include "gateway/endpoint_behaviours.h"
#include "gateway/gateway_fixture.h"
#include "gateway/http/http_server.h"
#include "gateway/routes.h"

#include <memory> // shared_ptr
#include <string> // string

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;

// guards against BUDGET: each request with a part that crashes engines was sent to the next engine
TEST_CASE("regression: a request whose prompt crashes engines is refused without being sent")
{
    gateway_fixture gateway{make_route(request_kind::streaming, 1)};
    const auto stream = [](const std::shared_ptr<server_exchange>& request) {
        request->begin(200, response_headers());
        request->send("id: 1\ndata: a\n\n");
        request->end();
    };
    SUBCASE("its tokens are stated") {}
    SUBCASE("its tokens are not stated")
    {
        gateway.set_states_tokens(false);
    }
    gateway.set_prompt("bad:10,5:10,1:10");
    for (const std::string endpoint : {"a", "b", "c"}) {
        gateway.add_endpoint(endpoint, cut);
        const auto crashed = gateway.send_request();
        gateway.run_to_end(crashed);
        CHECK(crashed->status == 502);
        gateway.remove_endpoint(endpoint);
        gateway.run_for(prompt_quarantine_options{}.separation);
    }
    int sent = 0;
    gateway.add_endpoint("d", [&](const auto& request) {
        ++sent;
        stream(request);
    });
    gateway.set_prompt("5:10,2:10");
    const auto sound = gateway.send_request();
    gateway.run_to_end(sound);
    CHECK(sound->end == call_end::complete);
    gateway.quarantine().update(boot_clock::now());
    gateway.set_prompt("bad:10,7:10,3:10");
    const auto tainted = gateway.send_request();
    gateway.run_to_end(tainted);
    CHECK(tainted->status == 503);
    CHECK(tainted->body.find("prompt_quarantined") != std::string::npos);
    CHECK(tainted->headers.contains("Retry-After"));
    CHECK(sent == 1);
}
