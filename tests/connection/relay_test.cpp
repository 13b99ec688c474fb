#include "support/free_port.h"
#include "support/relay.h"
#include "support/wait_for.h"

#include <atomic>   // atomic
#include <optional> // optional
#include <string>   // string
#include <thread>   // thread

#include <doctest/doctest.h>
#include <httplib.h>

using namespace hickorykeel::tests;

namespace {

/// HTTP server that answers "here" to GET /.
class small_server {
public:
    small_server()
    {
        const auto colon = m_address.rfind(':');
        m_server.Get("/", [this](const httplib::Request&, httplib::Response& response) {
            ++m_calls;
            response.set_content("here", "text/plain");
        });
        m_server.bind_to_port(m_address.substr(0, colon), std::stoi(m_address.substr(colon + 1)));
        m_thread = std::thread{[this] { m_server.listen_after_bind(); }};
        wait_for([this] { return m_server.is_running(); });
    }

    small_server(const small_server&) = delete;
    small_server& operator=(const small_server&) = delete;
    small_server(small_server&&) = delete;
    small_server& operator=(small_server&&) = delete;

    ~small_server()
    {
        m_server.stop();
        m_thread.join();
    }

    [[nodiscard]] const std::string& address() const { return m_address; }
    [[nodiscard]] int calls() const { return m_calls; }

private:
    std::string m_address = free_address();
    httplib::Server m_server;
    std::atomic<int> m_calls{0};
    std::thread m_thread;
};

std::string get(const std::string& address)
{
    const httplib::Result answer = httplib::Client{"http://" + address}.Get("/");
    return answer ? answer->body : "";
}

} // namespace

TEST_CASE("relay")
{
    small_server server;
    const std::string address = free_address();

    SUBCASE("an open link passes both directions")
    {
        const relay link{address, server.address()};
        REQUIRE(link.is_listening());
        CHECK(get(address) == "here");
    }

    SUBCASE("a cut link passes nothing, and passes again once it is open")
    {
        relay link{address, server.address()};
        link.set({link_mode::cut, {}});
        CHECK(get(address).empty());
        CHECK(server.calls() == 0);
        link.set({link_mode::open, {}});
        CHECK(get(address) == "here");
    }

    SUBCASE("a cut ends a connection that is in use")
    {
        relay link{address, server.address()};
        httplib::Client client{"http://" + address};
        client.set_keep_alive(true);
        REQUIRE(client.Get("/"));
        REQUIRE(client.is_socket_open());
        link.set({link_mode::cut, {}});
        CHECK_FALSE(client.Get("/"));
    }

    SUBCASE("a held link keeps what arrives until it is open")
    {
        relay link{address, server.address()};
        link.set({link_mode::held, {}});
        std::string answer;
        std::atomic<bool> is_answered{false};
        std::thread caller{[&] {
            answer = get(address);
            is_answered = true;
        }};
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
        CHECK_FALSE(is_answered);
        CHECK(server.calls() == 0);
        link.set({link_mode::open, {}});
        caller.join();
        CHECK(answer == "here");
    }

    SUBCASE("a delayed link passes nothing before its time")
    {
        constexpr std::chrono::milliseconds delay{30};
        relay link{address, server.address()};
        link.set({link_mode::open, delay});
        const auto start = hickorykeel::boot_clock::now();
        CHECK(get(address) == "here");
        CHECK(hickorykeel::boot_clock::now() - start >= 2 * delay);
    }

    SUBCASE("a source's own state doesn't touch other sources")
    {
        std::atomic<int> connections{0};
        relay link{address, server.address(), [&connections](const std::string&) {
                       return std::string{connections++ % 2 == 0 ? "even" : "odd"};
                   }};
        link.set({link_mode::cut, {}}, "odd");
        CHECK(get(address) == "here");
        CHECK(get(address).empty());
        CHECK(get(address) == "here");
    }

    SUBCASE("a connection without a name is closed")
    {
        const relay link{address, server.address(),
                         [](const std::string&) -> std::optional<std::string> { return {}; }};
        CHECK(get(address).empty());
        CHECK(server.calls() == 0);
    }

    SUBCASE("nothing behind the relay looks like a closed connection")
    {
        const relay link{address, free_address()};
        CHECK(get(address).empty());
    }
}
