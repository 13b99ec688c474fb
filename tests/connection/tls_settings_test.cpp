#include "connection/tls_settings.h"

#include "support/test_certificate.h"

#include <chrono> // milliseconds
#include <string> // string, to_string
#include <thread> // thread, sleep_for

#include <doctest/doctest.h>
#include <httplib.h>

using namespace hickorykeel;
using hickorykeel::tests::test_certificate;

namespace {

/// Serves "hello" by TLS or plainly.
class hello_server {
public:
    explicit hello_server(const tls_settings& files)
    {
        auto made = to_server(files);
        REQUIRE(is_ok(made));
        m_server = std::get<0>(std::move(made));
        m_server->Get("/", [](const auto&, auto& response) { response.body = "hello"; });
        m_port = m_server->bind_to_any_port("127.0.0.1");
        m_thread = std::thread{[this] { m_server->listen_after_bind(); }};
        while (!m_server->is_running()) {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }

    hello_server(const hello_server&) = delete;
    hello_server& operator=(const hello_server&) = delete;
    hello_server(hello_server&&) = delete;
    hello_server& operator=(hello_server&&) = delete;

    ~hello_server()
    {
        m_server->stop();
        m_thread.join();
    }

    /// Body of an answer, or the failure's name.
    [[nodiscard]] std::string ask(const std::string& scheme, const tls_settings& files) const
    {
        httplib::Client client{scheme + "://127.0.0.1:" + std::to_string(m_port)};
        prepare_client(client, files);
        const auto answer = client.Get("/");
        return answer ? answer->body : httplib::to_string(answer.error());
    }

private:
    std::unique_ptr<httplib::Server> m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace

TEST_CASE("TLS")
{
    const test_certificate own;
    const test_certificate other;
    const tls_settings files{own.certificate_path(), own.key_path(), own.certificate_path()};

    SUBCASE("a server and a client that trusts it")
    {
        CHECK(check_tls(files).empty());
        CHECK(hello_server{files}.ask("https", files) == "hello");
    }
    SUBCASE("a client that trusts another authority")
    {
        const tls_settings others{"", "", other.certificate_path()};
        CHECK(hello_server{files}.ask("https", others) ==
              httplib::to_string(httplib::Error::SSLServerVerification));
    }
    SUBCASE("no certificate: plain HTTP")
    {
        const tls_settings none;
        CHECK(check_tls(none).empty());
        CHECK(hello_server{none}.ask("http", none) == "hello");
    }
    SUBCASE("files that cannot be used")
    {
        const auto key_of = [](const tls_settings& faulty) {
            const auto faults = check_tls(faulty);
            REQUIRE(faults.size() == 1);
            return faults.front().key;
        };
        CHECK(key_of({own.certificate_path(), "", ""}) == "private_key");
        CHECK(key_of({"", own.key_path(), ""}) == "certificate");
        CHECK(key_of({"/nowhere", own.key_path(), ""}) == "certificate");
        CHECK(key_of({own.certificate_path(), other.key_path(), ""}) == "private_key");
        CHECK(key_of({"", "", "/nowhere"}) == "endpoint_ca");
        CHECK_FALSE(is_ok(to_server({own.certificate_path(), other.key_path(), ""})));
    }
}
