#include "gateway/gateway_fixture.h"
#include "gateway/routes.h"
#include "gateway/serving/exchange.h"

#include <algorithm> // max
#include <chrono>    // milliseconds, seconds
#include <cstddef>   // size_t
#include <memory>    // shared_ptr
#include <string>    // string
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
    explicit limited_endpoint(std::string rate) : m_rate{std::move(rate)} {}

    gateway_fixture::behaviour behaviour()
    {
        return [this](const std::shared_ptr<server_exchange>& request) {
            m_arrivals.push_back(boot_clock::now());
            header_list headers = response_headers();
            if (!m_rate.empty()) {
                headers.add("Server-Limit", m_rate);
            }
            request->respond(200, headers, "answer");
        };
    }

    /// Sets the rate that is named from now on; empty: none.
    void set_rate(std::string rate) { m_rate = std::move(rate); }

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
    std::string m_rate;
    std::vector<time_point> m_arrivals;
};

/// Sends a request each 20 ms, whatever becomes of the earlier ones, and returns the responses.
std::vector<std::shared_ptr<received_response>> send_many(gateway_fixture& gateway, int count)
{
    std::vector<std::shared_ptr<received_response>> responses;
    for (int i = 0; i < count; ++i) {
        responses.push_back(gateway.send_request());
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
