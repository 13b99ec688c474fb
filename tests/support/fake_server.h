#pragma once

#include <chrono> // milliseconds
#include <string> // string, to_string
#include <thread> // thread, sleep_for

#include <httplib.h>

namespace hickorykeel::tests {

/// An HTTP server on a free port of the loopback; routes are set before `start`.
class fake_server {
public:
    fake_server() : m_port{server.bind_to_any_port("127.0.0.1")} {}

    fake_server(const fake_server&) = delete;
    fake_server& operator=(const fake_server&) = delete;
    fake_server(fake_server&&) = delete;
    fake_server& operator=(fake_server&&) = delete;

    ~fake_server()
    {
        server.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    void start()
    {
        m_thread = std::thread{[this] { server.listen_after_bind(); }};
        while (!server.is_running()) {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    httplib::Server server;

private:
    int m_port;
    std::thread m_thread;
};

} // namespace hickorykeel::tests
