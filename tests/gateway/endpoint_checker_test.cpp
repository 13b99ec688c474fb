#include "gateway/serving/endpoint_checker.h"

#include "gateway/http/tcp_channel.h"
#include "platform/headers.h"

#include <chrono>      // milliseconds, seconds
#include <cstddef>     // size_t
#include <functional>  // function
#include <map>         // map
#include <memory>      // make_shared, shared_ptr
#include <string>      // string, to_string
#include <string_view> // string_view
#include <utility>     // move
#include <vector>      // vector

#include <asio/ip/tcp.hpp> // tcp
#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

const std::string warm_response = "HTTP/1.1 200 OK\r\nX-Hickorykeel-Instance-Id: i-1\r\n"
                                  "X-Hickorykeel-Cold-Ms: 0\r\nContent-Length: 0\r\n\r\n";

const std::string cold_response = "HTTP/1.1 200 OK\r\nX-Hickorykeel-Instance-Id: i-1\r\n"
                                  "X-Hickorykeel-Cold-Ms: 3000\r\nContent-Length: 0\r\n\r\n";

/// Endpoint that accepts connections, and ends them without a response or answers whether it is warm.
class ending_endpoint {
public:
    /// What it does with a request.
    enum class reaction {
        answer,
        answer_cold,
        disconnect,
        disconnect_and_end, ///< nothing listens at its address from then on
    };
    using script = std::function<reaction(std::size_t connection)>; ///< connections count from 1

    ending_endpoint(asio::io_context& loop, script react)
        : m_acceptor{loop, {asio::ip::address_v4::loopback(), 0}}, m_react{std::move(react)}
    {
        accept();
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    [[nodiscard]] std::size_t connections() const noexcept { return m_channels.size(); }

    /// Closes the listener. Connections that haven't been accepted are reset.
    void stop_listening() { m_acceptor.close(); }

    /// Closes all connections. To be called before the loop ends.
    void end()
    {
        stop_listening();
        for (const auto& channel : m_channels) {
            channel->close();
        }
    }

private:
    void accept()
    {
        m_acceptor.async_accept(
            [this](const asio::error_code& failure, asio::ip::tcp::socket socket) {
                if (!failure) {
                    serve(std::move(socket));
                    accept();
                }
            });
    }

    void serve(asio::ip::tcp::socket socket)
    {
        const auto channel = std::make_shared<tcp_channel>(std::move(socket));
        m_channels.push_back(channel);
        channel->set_handlers({
            .on_bytes = [this, number = m_channels.size()](std::string_view) { react(number); },
            .on_end = [](channel_end) {},
        });
        channel->start_reading();
    }

    void react(std::size_t number)
    {
        const reaction chosen = m_react(number);
        if (chosen == reaction::answer || chosen == reaction::answer_cold) {
            m_channels[number - 1]->send(chosen == reaction::answer ? warm_response
                                                                    : cold_response);
            return;
        }
        if (chosen == reaction::disconnect_and_end) {
            m_acceptor.close();
        }
        m_channels[number - 1]->close();
    }

    asio::ip::tcp::acceptor m_acceptor;
    unsigned m_port = m_acceptor.local_endpoint().port();
    script m_react;
    std::vector<std::shared_ptr<tcp_channel>> m_channels;
};

using reaction = ending_endpoint::reaction;

/// A host's checker, and an endpoint of which it has a connection that ends.
class checker_fixture {
public:
    explicit checker_fixture(ending_endpoint::script react) : m_endpoint{m_loop, std::move(react)}
    {
        auto published = std::make_shared<publication>();
        published->version = 1;
        published->add(m_service);
        published_reading reading;
        reading.published = published;
        reading.position.revision = 1;
        m_state.apply(reading, boot_clock::now(), boot_clock::now());
        endpoint_entry entry;
        entry.id = "i-1";
        entry.service = "s";
        entry.address = m_endpoint.address();
        entry.slots = 4;
        entry.started_ms = 1;
        const time_point now = boot_clock::now();
        m_pool.update(
            {{entry.id, entry}},
            [](const endpoint_entry&) { return endpoint_pool::usability::usable; },
            [this](const std::string&) { return &m_service; }, now, now);
    }

    checker_fixture(const checker_fixture&) = delete;
    checker_fixture& operator=(const checker_fixture&) = delete;
    checker_fixture(checker_fixture&&) = delete;
    checker_fixture& operator=(checker_fixture&&) = delete;

    ~checker_fixture()
    {
        m_endpoint.end();
        run_for(1ms);
    }

    /// Lets a connection to the endpoint end, and waits until all questions have ended.
    void disconnect()
    {
        m_pool.on_idle_connection_ended(m_endpoint.address(), boot_clock::now());
        m_checker.check_disconnected();
        run_for(500ms);
    }

    /// Lets a connection to the endpoint end, and then the endpoint, before it accepts the question's
    /// connection. Waits until all questions have ended.
    void disconnect_and_stop_listening()
    {
        m_pool.on_idle_connection_ended(m_endpoint.address(), boot_clock::now());
        m_checker.check_disconnected();
        m_endpoint.stop_listening();
        run_for(500ms);
    }

    /// Starts the host: it knows nothing of the endpoint's past. Waits until all questions have ended.
    void start_host(bool is_candidate)
    {
        m_is_first_candidate = is_candidate;
        m_pool.on_host_start(boot_clock::now());
        m_checker.check_after_start(100ms);
        run_for(50ms);
        CHECK(questions() == 0);
        run_for(500ms);
    }

    [[nodiscard]] std::size_t questions() const noexcept { return m_endpoint.connections(); }
    [[nodiscard]] const endpoint_pool& pool() const noexcept { return m_pool; }

    /// Whether the checker has called for urgent news to be told, and there were any.
    [[nodiscard]] bool has_told_news() const noexcept { return m_has_told_news; }
    [[nodiscard]] bool is_in_doubt() const
    {
        return !m_pool.unconfirmed(boot_clock::now()).empty();
    }

private:
    void run_for(duration span)
    {
        m_loop.restart();
        m_loop.run_for(span);
    }

    bool m_is_first_candidate = true;
    bool m_has_told_news = false;
    asio::io_context m_loop{1};
    service m_service = [] {
        service result;
        result.name = "s";
        result.health_path = "/healthz";
        result.cold_rate = 3;
        result.cold_time = 60s;
        return result;
    }();
    published_state m_state{{}};
    endpoint_pool m_pool{{},
                         [](const std::string&, double rate) { return rate; },
                         [](const std::string&, double rate) { return rate; }};
    protocol_adapter m_adapter = platform::make_protocol_adapter();
    event_log m_log{m_loop, "host", {.request_lines_per_s = 0}};
    gateway_metrics m_metrics;
    ending_endpoint m_endpoint;
    http_client m_client{m_loop};
    health_prober m_prober{{m_loop, m_client, m_adapter, m_log}};
    endpoint_checker m_checker{
        {.loop = m_loop,
         .pool = m_pool,
         .prober = m_prober,
         .state = m_state,
         .adapter = m_adapter,
         .log = m_log,
         .metrics = m_metrics,
         .is_owner = [](const endpoint_entry&, const service&) { return true; },
         .is_first_candidate = [this](const endpoint_entry&) { return m_is_first_candidate; },
         .sees_end = [](const endpoint_entry&, time_point) { return true; },
         .on_warm = [] {},
         .on_urgent_news =
             [this] { m_has_told_news = m_has_told_news || m_pool.has_urgent_news(); }}};
};

} // namespace

// guards against refusals after each start of a region's hosts: they waited for new entries, or until
// one of them owned the endpoint, before they sent it more than a cold one's requests
TEST_CASE(
    "regression: an endpoint is asked late after the start of a host that doesn't know its past")
{
    checker_fixture with{[](std::size_t) { return reaction::answer; }};
    SUBCASE("by the host with the largest weight, which tells the others")
    {
        with.start_host(true);
        CHECK(with.questions() == 1);
        CHECK_FALSE(with.is_in_doubt());
        CHECK(with.pool().has_urgent_news());
    }
    SUBCASE("by no other host")
    {
        with.start_host(false);
        CHECK(with.questions() == 0);
        CHECK(with.is_in_doubt());
    }
}

// guards against FAILBACK: the question that follows a disconnection met an endpoint that was still
// ending, which ended its connection too, and the region wasn't told of the restart
TEST_CASE("regression: a restart isn't told if the question's connection is ended as well")
{
    checker_fixture with{[](std::size_t) { return reaction::disconnect_and_end; }};
    with.disconnect();
    CHECK(with.questions() == 1);
    CHECK(with.pool().has_urgent_news());
    CHECK(with.is_in_doubt());
}

// guards against FAILBACK: the endpoint's machine had established the question's connection, which was
// reset when the listener closed, and the region wasn't told of the restart: 44 requests in a second
TEST_CASE("regression: a restart isn't told if the question's connection isn't accepted any more")
{
    checker_fixture with{[](std::size_t) { return reaction::answer; }};
    with.disconnect_and_stop_listening();
    CHECK(with.questions() == 0);
    CHECK(with.pool().has_urgent_news());
    CHECK(with.is_in_doubt());
}

// guards against FAILBACK: an endpoint that listened again before the question arrived said that it was
// cold, and the other hosts of the region, which had seen nothing, were told up to 200 ms later
TEST_CASE("regression: a restart isn't told at once if the endpoint answers that it is cold")
{
    checker_fixture with{[](std::size_t) { return reaction::answer_cold; }};
    with.disconnect();
    CHECK(with.questions() == 1);
    CHECK(with.has_told_news());
    CHECK_FALSE(with.is_in_doubt()); // its state is known
}

// an endpoint that has as many connections as it takes ends all others
TEST_CASE("an endpoint that ends each connection is asked three times, and the region isn't told")
{
    checker_fixture with{[](std::size_t) { return reaction::disconnect; }};
    with.disconnect();
    CHECK(with.questions() == 3);
    CHECK_FALSE(with.pool().has_urgent_news());
    CHECK(with.is_in_doubt());
}

TEST_CASE("an endpoint that answers after it has ended a question's connection is warm again")
{
    checker_fixture with{[](std::size_t connection) {
        return connection == 1 ? reaction::disconnect : reaction::answer;
    }};
    with.disconnect();
    CHECK(with.questions() == 2);
    CHECK_FALSE(with.pool().has_urgent_news());
    CHECK_FALSE(with.is_in_doubt());
}

TEST_CASE("an endpoint that answers the question is asked once")
{
    checker_fixture with{[](std::size_t) { return reaction::answer; }};
    with.disconnect();
    CHECK(with.questions() == 1);
    CHECK_FALSE(with.is_in_doubt());
}
