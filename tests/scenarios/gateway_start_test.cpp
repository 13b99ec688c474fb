#include "gateway/http/tcp_channel.h"
#include "support/child_process.h"
#include "support/free_port.h"
#include "support/paths.h"
#include "support/scratch_file.h"
#include "support/wait_for.h"

#include <cstdio>     // rename
#include <filesystem> // read_symlink
#include <fstream>    // ofstream
#include <string>     // string
#include <thread>     // sleep_for
#include <vector>     // vector

#include <asio/io_context.hpp> // io_context
#include <asio/ip/tcp.hpp>     // tcp
#include <doctest/doctest.h>
#include <fcntl.h>    // fcntl
#include <sys/stat.h> // mkfifo
#include <unistd.h>   // unlink

using namespace hickorykeel::tests;
using hickorykeel::gateway::to_tcp_endpoint;
using namespace std::chrono_literals;

namespace {

/// Addresses of one gateway.
struct host_addresses {
    std::string callers = free_address();
    std::string readiness = free_address();
    std::string directory = free_address();
    std::string peers = free_address();
    std::string metrics = free_address();
};

std::string make_settings(const host_addresses& used)
{
    const std::string ip = used.peers.substr(0, used.peers.rfind(':'));
    return "[host]\nname = h\nip = " + ip +
           "\nfailure_domain = a-1\nregion = a\nfailure_domains =\n  a-1:a\n[listen]\ncallers = " +
           used.callers + "\nreadiness = " + used.readiness + "\ndirectory = " + used.directory +
           "\npeers = " + used.peers + "\nmetrics = " + used.metrics +
           "\n[source]\naddress = " + free_address() + "\n";
}

bool logs(const child_process& process, const std::string& event)
{
    return process.output().find(R"("event":")" + event + '"') != std::string::npos;
}

/// The same for an event with this cause.
bool logs(const child_process& process, const std::string& event, const std::string& cause)
{
    return process.output().find(R"("event":")" + event + R"(","cause":")" + cause + '"') !=
           std::string::npos;
}

bool accepts(const std::string& address)
{
    asio::io_context loop;
    asio::ip::tcp::socket socket{loop};
    asio::error_code failure;
    socket.connect(*to_tcp_endpoint(address), failure);
    return !failure;
}

/// A settings file that the gateway reads only when the test writes it.
class settings_pipe {
public:
    settings_pipe()
    {
        ::unlink(m_file.path().c_str());
        REQUIRE(::mkfifo(m_file.path().c_str(), 0600) == 0);
    }

    [[nodiscard]] const std::string& path() const { return m_file.path(); }

    /// Waits until the gateway reads the file.
    [[nodiscard]] std::ofstream open() const { return std::ofstream{m_file.path()}; }

    /// Puts a file with `content` in its place. A read under way goes on.
    void replace(const std::string& content) const
    {
        const std::string next = m_file.path() + "-next";
        std::ofstream{next} << content;
        REQUIRE(std::rename(next.c_str(), m_file.path().c_str()) == 0);
    }

private:
    scratch_file m_file{""};
};

} // namespace

// guards against FAULT: a signal that came before the gateway had its handlers ended the process
TEST_CASE("regression: a signal during the start waits for its handler")
{
    const std::string settings = make_settings({});
    const settings_pipe pipe;
    child_process process{"hickorykeel-gateway", {"--settings", pipe.path()}};
    {
        std::ofstream read_at_start = pipe.open();
        process.hang_up();
        std::this_thread::sleep_for(100ms);
        REQUIRE_FALSE(process.exit_code());
        pipe.replace(settings);
        read_at_start << settings;
    }
    CHECK(wait_for([&] { return logs(process, "reload", "signal"); }));
    CHECK_FALSE(process.exit_code());
}

// guards against FAULT: a port that was still in use ended the process
TEST_CASE("regression: an address in use is tried again")
{
    const host_addresses used;
    asio::io_context loop;
    asio::ip::tcp::acceptor other{loop, *to_tcp_endpoint(used.callers)};
    ::fcntl(other.native_handle(), F_SETFD, FD_CLOEXEC); // not for the gateway
    const scratch_file settings{make_settings(used)};
    child_process process{"hickorykeel-gateway", {"--settings", settings.path()}};
    CHECK(wait_for([&] { return logs(process, "address_unavailable"); }));
    REQUIRE_FALSE(process.exit_code());
    // the others serve meanwhile
    CHECK(wait_for([&] { return accepts(used.metrics); }));
    other.close();
    CHECK(wait_for([&] { return logs(process, "address_available"); }));
    CHECK(accepts(used.callers));
    CHECK_FALSE(process.exit_code());
}

// guards against FAULT: the start of a process whose settings file was being written ended it
TEST_CASE("regression: a settings file with faults is read again for a while")
{
    const std::string whole = make_settings({});
    scratch_file settings{whole.substr(0, whole.size() / 2)};
    child_process process{"hickorykeel-gateway", {"--settings", settings.path()}};
    std::this_thread::sleep_for(200ms);
    REQUIRE_FALSE(process.exit_code());
    std::ofstream{settings.path()} << whole;
    CHECK(wait_for([&] { return logs(process, "start"); }));
    CHECK_FALSE(process.exit_code());
}

TEST_CASE("a settings file that keeps its faults ends the start")
{
    const scratch_file settings{"[host]\n"};
    child_process process{"hickorykeel-gateway", {"--settings", settings.path()}};
    CHECK(process.wait_for_exit() == 78);
    CHECK(process.errors().find("[listen] callers") != std::string::npos);
}

// guards against FAULT: with closed standard streams, sockets got their descriptors, and the log was
// written into them
TEST_CASE("regression: no socket takes the place of a closed standard stream")
{
    const host_addresses used;
    const scratch_file settings{make_settings(used)};
    child_process process{{"sh", "-c",
                           "exec " + program_path("hickorykeel-gateway") + " --settings " +
                               settings.path() + " <&- >&- 2>&-"}};
    CHECK(wait_for([&] { return accepts(used.metrics); }));
    for (const std::string stream : {"0", "1", "2"}) {
        const std::string link = "/proc/" + std::to_string(process.id()) + "/fd/" + stream;
        CHECK(std::filesystem::read_symlink(link) == "/dev/null");
    }
}

// guards against QUOTA: seeds that the settings came to name without a signal were never used, and
// hosts that knew nobody each gave out a part of the quota
TEST_CASE("a settings file that changes without a signal is applied, one with faults isn't")
{
    const std::string first = make_settings({});
    const std::string next = first + "[peers]\nseeds = " + free_address() + "\n";
    const scratch_file settings{first};
    child_process process{"hickorykeel-gateway", {"--settings", settings.path()}};
    REQUIRE(wait_for([&] { return logs(process, "start"); }));
    std::ofstream{settings.path()} << next.substr(0, next.size() / 2);
    CHECK(wait_for([&] { return logs(process, "reload_failed", "file_changed"); }));
    ::unlink(settings.path().c_str());
    CHECK(wait_for([&] { return logs(process, "settings_unreadable"); }));
    std::ofstream{settings.path()} << next;
    CHECK(wait_for([&] { return logs(process, "reload", "file_changed"); }));
    CHECK_FALSE(process.exit_code());
    const std::string output = process.output();
    CHECK(output.find("reload_failed") == output.rfind("reload_failed")); // one line for each fault
}
