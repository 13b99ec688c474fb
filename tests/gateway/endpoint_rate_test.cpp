#include "gateway/gateway_fixture.h"
#include "gateway/routes.h"
#include "gateway/serving/exchange.h"

#include <algorithm> // max
#include <chrono>    // milliseconds, seconds
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <memory>    // shared_ptr
#include <optional>  // nullopt, optional
#include <string>    // stod, string
#include <utility>   // move
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

namespace {

constexpr duration window = 4s;

/// Endpoint that names a rate in each response, and records when requests arrive.
class limited_endpoint {
public:
    explicit limited_endpoint(std::optional<std::string> rate) : m_rate{std::move(rate)} {}

    gateway_fixture::behaviour behaviour()
    {
        return [this](const std::shared_ptr<server_exchange>& request) {
            m_arrivals.push_back(boot_clock::now());
            header_list headers = response_headers();
            if (m_rate) {
                headers.add("Server-Limit", *m_rate);
            }
            request->respond(m_status, headers, "answer");
        };
    }

    /// Sets the rate that is named from now on; nothing: none.
    void set_rate(std::optional<std::string> rate) { m_rate = std::move(rate); }

    /// Sets the status of the responses from now on.
    void set_status(int status) noexcept { m_status = status; }

    [[nodiscard]] std::size_t arrivals() const noexcept { return m_arrivals.size(); }

    /// Most requests that arrived within `window`.
    [[nodiscard]] std::size_t most_in_window() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_arrivals.size(); ++last) {
            while (m_arrivals[last] - m_arrivals[first] > window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

private:
    std::optional<std::string> m_rate;
    int m_status = 200;
    std::vector<time_point> m_arrivals;
};

/// Sends a request each 20 ms, whatever becomes of the earlier ones, and returns the responses.
std::vector<std::shared_ptr<received_response>> send_many(gateway_fixture& gateway, int count,
                                                          const std::string& method = "POST",
                                                          const std::string& forwarded_by = {})
{
    std::vector<std::shared_ptr<received_response>> responses;
    for (int i = 0; i < count; ++i) {
        responses.push_back(gateway.send_request(method, "question", forwarded_by));
        gateway.run_for(20ms);
    }
    for (const auto& response : responses) {
        gateway.run_to_end(response);
    }
    return responses;
}

} // namespace

// guards against LIMIT: an endpoint that had named a rate got requests as if it had not
TEST_CASE("regression: an endpoint gets more requests than the rate that it names")
{
    for (const auto kind : {request_kind::non_idempotent, request_kind::safe}) {
        gateway_fixture gateway{make_route(kind, 2)};
        limited_endpoint limited{"1"};
        gateway.add_endpoint("a", limited.behaviour());
        send_many(gateway, 100);
        CHECK(limited.arrivals() >= 2);
        CHECK(limited.most_in_window() <= 11); // 1.5 * 1 * 4 + 5
    }
}

// guards against LIMIT by requests that aren't a caller's first attempt here
TEST_CASE("endpoint that names a rate: retries and forwarded requests count as well")
{
    for (const std::string& forwarded_by : {std::string{}, std::string{"other"}}) {
        CAPTURE(forwarded_by);
        gateway_fixture gateway{make_route(request_kind::safe, 3)};
        gateway.set_retry_slack(1'000);
        limited_endpoint limited{"1"};
        limited.set_status(500);
        gateway.add_endpoint("a", limited.behaviour());
        send_many(gateway, 100, "GET", forwarded_by);
        CHECK(limited.arrivals() >= 2);
        CHECK(limited.most_in_window() <= 11); // 1.5 * 1 * 4 + 5
    }
}

// guards against requests that wait for a rate that can't serve them
TEST_CASE("endpoint that names a rate: what it can't take in time is refused at once")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 2)};
    limited_endpoint limited{"0.5"};
    gateway.add_endpoint("a", limited.behaviour());
    gateway.run_to_end(gateway.send_request()); // names the rate
    const time_point started = boot_clock::now();
    std::vector<double> delays;
    for (int i = 0; i < 3; ++i) {
        const auto refused = gateway.send_request();
        gateway.run_to_end(refused);
        CHECK(refused->status == 503);
        delays.push_back(std::stod(std::string{refused->headers.find("Retry-After")}));
    }
    // the first may return after one interval of the rate, the next ones an interval later each
    CHECK(delays[0] <= 2.0);
    CHECK(delays[1] > delays[0] + 1);
    CHECK(delays[2] <= to_seconds(return_schedule::max_delay));
    CHECK(limited.arrivals() == 1);

    gateway.run_until([&] { return boot_clock::now() - started >= from_seconds(delays[0]); });
    const auto returned = gateway.send_request();
    gateway.run_to_end(returned);
    CHECK(returned->status == 200);
}

// guards against a rate that is obeyed although the endpoint names it no longer, and against one
// that a malformed value lifts
TEST_CASE("endpoint that names a rate: it holds until a response names none")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 2)};
    limited_endpoint limited{"1"};
    gateway.add_endpoint("a", limited.behaviour());
    gateway.run_to_end(gateway.send_request());
    std::uint64_t version = 1;
    const auto serve_next = [&] {
        gateway.publish(++version, {key}); // keys hold for some seconds only
        std::shared_ptr<received_response> response;
        gateway.run_until([&] {
            if (response == nullptr || response->end) {
                if (response != nullptr && response->status == 200) {
                    return true;
                }
                response = gateway.send_request();
            }
            return false;
        });
    };
    const auto is_limited = [&] {
        const auto next = gateway.send_request();
        gateway.run_to_end(next);
        return next->status == 503;
    };
    CHECK(is_limited());
    for (const std::string malformed : {"-1", "nan", "", "1, 2"}) {
        CAPTURE(malformed);
        limited.set_rate(malformed);
        serve_next();
        CHECK(is_limited());
    }
    limited.set_rate(std::nullopt);
    serve_next();
    CHECK_FALSE(is_limited());
    CHECK_FALSE(is_limited());
}

// guards against a prompt's home at an endpoint that takes few requests
TEST_CASE("endpoint that names a rate: the others get the requests")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 2)};
    limited_endpoint limited{"0.5"};
    limited_endpoint other{std::nullopt};
    gateway.add_endpoint("a", limited.behaviour());
    gateway.add_endpoint("b", other.behaviour());
    for (const auto& response : send_many(gateway, 20)) {
        CHECK(response->status == 200);
    }
    CHECK(limited.arrivals() == 1);
    CHECK(other.arrivals() == 19);
}

// guards against a response that was sent before the endpoint named its rate, and arrives later
TEST_CASE("endpoint that names a rate: a response to an earlier request doesn't lift it")
{
    gateway_fixture gateway{make_route(request_kind::non_idempotent, 2)};
    std::vector<std::shared_ptr<server_exchange>> requests;
    gateway.add_endpoint("a", [&](const std::shared_ptr<server_exchange>& request) {
        requests.push_back(request);
        if (requests.size() > 1) {
            header_list headers = response_headers();
            headers.add("Server-Limit", "0.5");
            request->respond(200, headers, "answer");
        }
    });
    const auto early = gateway.send_request();
    gateway.run_until([&] { return requests.size() == 1; });
    gateway.run_to_end(gateway.send_request()); // names the rate
    CHECK(requests.size() == 2);
    requests.front()->respond(200, response_headers(), "answer");
    gateway.run_to_end(early);
    CHECK(early->status == 200);
    const auto refused = gateway.send_request();
    gateway.run_to_end(refused);
    CHECK(refused->status == 503);
    CHECK(requests.size() == 2);
}
