#include "gateway/serving/health_prober.h"

#include "gateway/http/http_server.h"
#include "platform/headers.h"

#include <chrono>  // milliseconds, seconds
#include <string>  // string
#include <utility> // move, pair
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

/// Asks an endpoint "i-1" of the test's own whether it is cold.
class question {
public:
    explicit question(http_server::handler behaviour) : m_endpoint{m_loop, std::move(behaviour)}
    {
        REQUIRE(is_ok(m_endpoint.listen("127.0.0.1:0")));
        m_entry.id = "i-1";
        m_entry.address = "127.0.0.1:" + std::to_string(m_endpoint.port());
    }

    question(const question&) = delete;
    question& operator=(const question&) = delete;
    question(question&&) = delete;
    question& operator=(question&&) = delete;

    ~question()
    {
        m_loop.restart();
        m_loop.run_for(1ms);
    }

    /// Whether the endpoint is taken for warm in the end.
    bool ask()
    {
        bool is_warm = false;
        m_prober.probe(m_entry, "/healthz", [&] { is_warm = true; });
        // longer than the prober waits for an answer
        m_loop.run_for(1s);
        return is_warm;
    }

private:
    asio::io_context m_loop{1};
    http_server m_endpoint;
    http_client m_client{m_loop};
    protocol_adapter m_adapter = platform::make_protocol_adapter();
    event_log m_log{m_loop, "host", {.request_lines_per_s = 0}};
    health_prober m_prober{{m_loop, m_client, m_adapter, m_log}};
    endpoint_entry m_entry;
};

http_server::handler answers(int status,
                             const std::vector<std::pair<std::string, std::string>>& fields)
{
    return [status, fields](const std::shared_ptr<server_exchange>& request) {
        header_list headers;
        for (const auto& [name, value] : fields) {
            headers.add(name, value);
        }
        request->respond(status, headers, "");
    };
}

} // namespace

TEST_CASE("evacuated endpoint: it is warm only where it says so itself")
{
    const std::string instance = "X-Hickorykeel-Instance-Id";
    const std::string cold = "X-Hickorykeel-Cold-Ms";
    CHECK(question{answers(200, {{instance, "i-1"}})}.ask());
    CHECK(question{answers(200, {{instance, "i-1"}, {cold, "0"}})}.ask());
    CHECK_FALSE(question{answers(200, {{instance, "i-1"}, {cold, "2400"}})}.ask());
    CHECK_FALSE(question{answers(200, {{instance, "i-1"}, {cold, "soon"}})}.ask());
    CHECK_FALSE(question{answers(200, {{instance, "i-2"}})}.ask());
    CHECK_FALSE(question{answers(200, {})}.ask());
    CHECK_FALSE(question{answers(503, {{instance, "i-1"}})}.ask());
    CHECK_FALSE(question{[](const auto& request) { request->break_off(); }}.ask());
}

TEST_CASE("evacuated endpoint: one that doesn't answer is no better known than before")
{
    std::shared_ptr<server_exchange> held;
    CHECK_FALSE(question{[&](const auto& request) { held = request; }}.ask());
}
