#include "process/configd.h"
#include "process/configuration_client.h"
#include "standins/platform.h"
#include "support/free_port.h"
#include "support/published.h"
#include "support/wait_for.h"

#include <memory> // unique_ptr
#include <string> // string, to_string
#include <vector> // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using nlohmann::json;

namespace {

/// A process that follows one hickorykeel-configd.
class follower {
public:
    explicit follower(const std::string& address)
    {
        auto opened =
            messenger::open({"test/entry", "", {}, 0}, [this](received_message&& received) {
                if (m_client && received.message.has_sync_update()) {
                    m_client->deliver(received.message.sync_update());
                }
            });
        m_links = std::move(std::get<0>(opened));
        m_client = std::make_unique<configuration_client>(
            *m_links, address,
            configuration_client::handlers{[](const auto&) {}, [](const auto&) {}});
    }

    /// Revision in force; 0: none.
    std::uint64_t revision()
    {
        m_client->poll();
        const auto current = m_client->current();
        return current ? current->revision : 0;
    }

    std::uint64_t hosts_revision()
    {
        m_client->poll();
        const auto hosts = m_client->hosts();
        return hosts ? hosts->revision : 0;
    }

private:
    std::unique_ptr<configuration_client> m_client;
    std::unique_ptr<messenger> m_links;
};

/// A platform and the configd processes of one failure domain, all in this process.
class small_fleet {
public:
    explicit small_fleet(int hosts)
    {
        m_platform_address = "127.0.0.1:" + std::to_string(m_platform.start("127.0.0.1", 0));
        for (int i = 0; i < hosts; ++i) {
            m_addresses.push_back(tests::free_address());
        }
    }

    standins::platform_store& platform() { return m_platform.store(); }

    std::uint64_t publish_hosts()
    {
        auto hosts = json::array();
        for (std::size_t i = 0; i < m_addresses.size(); ++i) {
            hosts.push_back({{"name", to_name(i)},
                             {"failure_domain", "attica-1"},
                             {"state", "live"},
                             {"caller_address", "127.0.0.1:1"},
                             {"entry_address", "127.0.0.1:1"},
                             {"dispatch_address", "127.0.0.1:1"},
                             {"configd_address", m_addresses[i]}});
        }
        return std::get<std::uint64_t>(platform().put_hosts(hosts));
    }

    std::unique_ptr<configd> start(std::size_t index)
    {
        configd::options chosen;
        chosen.host = to_name(index);
        chosen.failure_domain = "attica-1";
        chosen.link_listen = m_addresses[index];
        chosen.platform_address = m_platform_address;
        for (std::size_t i = 0; i < m_addresses.size(); ++i) {
            if (i != index) {
                chosen.seeds.push_back(m_addresses[i]);
            }
        }
        auto opened = configd::open(chosen);
        REQUIRE(is_ok(opened));
        return std::move(std::get<0>(opened));
    }

    [[nodiscard]] const std::string& address(std::size_t index) const { return m_addresses[index]; }

private:
    static std::string to_name(std::size_t index) { return "attica-h" + std::to_string(index); }

    standins::platform_server m_platform;
    std::string m_platform_address;
    std::vector<std::string> m_addresses;
};

std::uint64_t publish(small_fleet& fleet, const std::string& key, const json& value)
{
    return std::get<std::uint64_t>(fleet.platform().put_entries({{key, value}}));
}

const json crete_two{{"region", "crete"}};

} // namespace

TEST_CASE("configd follows the platform")
{
    small_fleet fleet{1};
    fleet.platform().put_entries(tests::published_example());
    const auto hosts = fleet.publish_hosts();
    const auto process = fleet.start(0);
    follower reader{fleet.address(0)};
    REQUIRE(tests::wait_for([&] { return reader.revision() == 1; }));
    REQUIRE(tests::wait_for([&] { return reader.hosts_revision() == hosts; }));

    SUBCASE("a change reaches the processes of the host")
    {
        const auto revision = publish(fleet, "failure_domains/crete-2", crete_two);
        CHECK(tests::wait_for([&] { return reader.revision() == revision; }));
    }

    SUBCASE("a refused state does not, the next valid one does")
    {
        const auto refused = publish(fleet, "failure_domains/crete-2", {{"region", 7}});
        REQUIRE(tests::wait_for([&] { return process->status().held.entries == refused; }));
        REQUIRE(process->status().in_force);
        CHECK(process->status().in_force->revision == 1);
        CHECK(process->status().refused_entries->faults.size() == 1);
        CHECK(reader.revision() == 1);
        publish(fleet, "failure_domains/crete-3", crete_two);
        const auto revision = publish(fleet, "failure_domains/crete-2", crete_two);
        CHECK(tests::wait_for([&] { return reader.revision() > 1; }));
        CHECK(reader.revision() == revision);
    }

    SUBCASE("a platform that is down for a while")
    {
        fleet.platform().set_mode(standins::platform_mode::down, std::chrono::milliseconds{0});
        const auto revision = publish(fleet, "failure_domains/crete-2", crete_two);
        CHECK(reader.revision() == 1);
        fleet.platform().set_mode(standins::platform_mode::live, std::chrono::milliseconds{0});
        CHECK(tests::wait_for([&] { return reader.revision() == revision; }));
    }
}

TEST_CASE("configd relays to its peers")
{
    small_fleet fleet{3};
    fleet.platform().put_entries(tests::published_example());
    fleet.publish_hosts();
    std::vector<std::unique_ptr<configd>> processes;
    std::vector<std::unique_ptr<follower>> readers;
    for (std::size_t i = 0; i < 3; ++i) {
        processes.push_back(fleet.start(i));
        readers.push_back(std::make_unique<follower>(fleet.address(i)));
    }
    const auto have_all = [&](std::uint64_t revision) {
        return tests::wait_for([&] {
            return readers[0]->revision() == revision && readers[1]->revision() == revision &&
                   readers[2]->revision() == revision;
        });
    };
    REQUIRE(have_all(1));

    SUBCASE("every host gets a change")
    {
        CHECK(have_all(publish(fleet, "failure_domains/crete-2", crete_two)));
    }

    SUBCASE("a host that is no watcher stops reading the platform")
    {
        // three reads a second come from each watcher; the third host stays where it is
        const auto is_one_still = [&] {
            std::vector<std::uint64_t> before;
            before.reserve(processes.size());
            for (const auto& process : processes) {
                before.push_back(process->platform_reads());
            }
            const auto total = fleet.platform().counts().total;
            tests::wait_for([&] { return fleet.platform().counts().total >= total + 12; });
            int still = 0;
            for (std::size_t i = 0; i < 3; ++i) {
                still += processes[i]->platform_reads() == before[i] ? 1 : 0;
            }
            return still == 1;
        };
        CHECK(tests::wait_for(is_one_still));
    }

    SUBCASE("a started host takes the newer state of its peers, not the platform's older one")
    {
        fleet.platform().set_mode(standins::platform_mode::stale, std::chrono::milliseconds{0});
        processes[2].reset();
        fleet.platform().set_mode(standins::platform_mode::live, std::chrono::milliseconds{0});
        const auto revision = publish(fleet, "failure_domains/crete-2", crete_two);
        REQUIRE(tests::wait_for([&] {
            return readers[0]->revision() == revision && readers[1]->revision() == revision;
        }));
        fleet.platform().set_mode(standins::platform_mode::down, std::chrono::milliseconds{0});
        processes[2] = fleet.start(2);
        follower reader{fleet.address(2)};
        REQUIRE(tests::wait_for([&] { return reader.revision() != 0; }));
        CHECK(reader.revision() == revision);
    }
}
