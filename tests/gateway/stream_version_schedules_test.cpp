#include "gateway/configuration/publication.h"
#include "gateway/released_endpoints.h"
#include "gateway/routing/rendezvous.h"
#include "gateway/routing/stream_origins.h"
#include "gateway/routing/version_history.h"
#include "process/clock.h"
#include "process/routing/random_source.h"

#include <algorithm> // count_if, max
#include <chrono>    // milliseconds, seconds
#include <cstddef>   // size_t
#include <cstdint>   // uint32_t, uint64_t
#include <map>       // map
#include <optional>  // optional
#include <set>       // set
#include <string>    // string, to_string
#include <utility>   // exchange, move
#include <vector>    // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace hickorykeel::gateway::tests;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
constexpr duration length = 40s;
constexpr duration step = 50ms;
constexpr duration heartbeat_interval = 200ms;
/// Time in which a client may resume a stream.
constexpr duration deadline = 8s;
/// Age of the published state from which it doesn't show that there is one version only.
/// Time without a start or a cut after which hosts must continue streams.
constexpr duration contact_time = 6s;
constexpr std::uint32_t any_version = 0; // the hash of none here
constexpr std::size_t hosts_per_region = 2;
constexpr std::size_t endpoints_per_region = 4;
constexpr double lost_datagrams = 0.05;
const std::string service_name = "s";

struct schedule_options {
    std::size_t regions = 2;
    bool heeds_versions = true; ///< hosts continue a stream only at the version that began it
    bool has_kills_of_all = false;
    bool has_cuts = false; ///< single hosts are cut off from the others and from the store
};

struct schedule_result {
    unsigned streams = 0;
    unsigned mixed = 0;      ///< streams with events of several versions
    unsigned take_ups = 0;   ///< requests for the rest of a stream with events
    unsigned in_contact = 0; ///< of these, with two endpoints of the version, at a host in contact
    unsigned continued = 0;  ///< of those in contact
};

/// Hosts that begin and continue streams while endpoints of other versions come and go.
class version_schedule {
public:
    version_schedule(const schedule_options& options, std::uint64_t seed)
        : m_options{options}, m_random{seed}, m_hosts(options.regions * hosts_per_region),
          m_endpoints{options.regions * endpoints_per_region, start, m_random}
    {
        m_next_mass_kill = start + span(10s, 20s);
    }

    schedule_result run()
    {
        for (; m_now < start + length; m_now += step) {
            trouble();
            deliver();
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                read(m_hosts[i]);
                send_heartbeat(i);
            }
            if (happens(15)) {
                m_streams.push_back({std::to_string(m_streams.size()), m_now + deadline,
                                     random_index(m_random, 4), m_now});
            }
            for (stream& each : m_streams) {
                serve(each);
            }
        }
        for (const stream& each : m_streams) {
            m_result.mixed += each.versions.size() > 1 ? 1 : 0;
        }
        m_result.streams = static_cast<unsigned>(m_streams.size());
        return m_result;
    }

private:
    struct host {
        time_point starts = start; ///< of its process
        time_point cut_until{};
        time_point read_at{};
        std::vector<std::size_t> view{};                 ///< published endpoints
        std::map<std::string, endpoint_entry> entries{}; ///< of these
        version_history history{};
        stream_origins origins{{}};
        time_point next_heartbeat{};
    };

    struct stream {
        std::string attempt;
        time_point deadline;
        std::size_t tries; ///< that are left to the client
        time_point next;   ///< its next try or event
        unsigned events_left = 12;
        std::optional<std::size_t> at_host{};
        time_point host_started{};
        std::size_t at_endpoint = 0;
        std::set<std::string> versions{}; ///< of its events
    };

    struct datagram {
        std::size_t from;
        std::size_t to;
        time_point arrives;
        std::vector<stream_report> reports;
    };

    bool is_likely(double probability) { return random_fraction(m_random) < probability; }
    bool happens(double per_s) { return is_likely(per_s * to_seconds(step)); }
    duration span(duration from, duration to)
    {
        return from + from_seconds(to_seconds(to - from) * random_fraction(m_random));
    }
    [[nodiscard]] bool is_up(const host& of) const { return of.starts <= m_now; }
    [[nodiscard]] bool is_cut(const host& of) const { return m_now < of.cut_until; }

    /// The host's process ends without a word; the next one knows nothing.
    void kill(host& of, duration down) { of = {m_now + down, of.cut_until}; }

    void trouble()
    {
        for (host& each : m_hosts) {
            if (happens(0.04)) {
                kill(each, span(200ms, 2s));
            }
            if (m_options.has_cuts && happens(0.03)) {
                each.cut_until = m_now + span(500ms, 5s);
            }
        }
        if (m_options.has_kills_of_all && m_now >= m_next_mass_kill) {
            m_next_mass_kill = m_now + span(8s, 15s);
            const duration down = span(300ms, 2s);
            for (host& each : m_hosts) {
                kill(each, down);
            }
        }
        m_endpoints.update(m_now);
    }

    void read(host& reader)
    {
        if (!is_up(reader) || is_cut(reader)) {
            return;
        }
        reader.read_at = std::max(reader.read_at, m_now - span(20ms, 300ms));
        std::vector<std::size_t> published = m_endpoints.published(reader.read_at);
        if (published != reader.view) {
            reader.view = std::move(published);
            reader.entries = m_endpoints.to_entries(reader.view, service_name);
        }
        reader.history.update(reader.entries, reader.read_at, m_now);
    }

    void send_heartbeat(std::size_t from)
    {
        host& sender = m_hosts[from];
        if (!is_up(sender) || m_now < sender.next_heartbeat) {
            return;
        }
        sender.next_heartbeat = m_now + heartbeat_interval;
        const auto has_several = [&](const std::string& service) {
            return sender.history.has_several(service, version_history::retention, m_now);
        };
        const auto reports = sender.origins.take_reports(has_several, m_now);
        for (std::size_t to = 0; to < m_hosts.size(); ++to) {
            if (to != from && !is_likely(lost_datagrams)) {
                m_datagrams.push_back({from, to, m_now + span(1ms, 250ms), reports});
            }
        }
    }

    void deliver()
    {
        for (datagram& each : std::exchange(m_datagrams, {})) {
            host& to = m_hosts[each.to];
            if (each.arrives > m_now) {
                m_datagrams.push_back(std::move(each));
            }
            else if (is_up(to) && !is_cut(to) && !is_cut(m_hosts[each.from])) {
                for (const stream_report& report : each.reports) {
                    to.origins.on_peer_report(report, m_now);
                }
            }
        }
    }

    void serve(stream& of)
    {
        if (of.events_left == 0 || m_now >= of.deadline) {
            return;
        }
        if (!of.at_host) {
            if (m_now >= of.next) {
                take_up(of, random_index(m_random, m_hosts.size()));
            }
            return;
        }
        const std::string& version = m_endpoints.version(of.at_endpoint);
        if (m_hosts[*of.at_host].starts != of.host_started || happens(0.05)) {
            break_off(of);
        }
        else if (!m_endpoints.is_running(of.at_endpoint, m_now)) {
            if (!place(of, *of.at_host, of.versions.empty() ? any_version : short_hash(version))) {
                break_off(of);
            }
        }
        else if (m_now >= of.next) {
            if (of.versions.empty()) {
                m_hosts[*of.at_host].origins.on_begun(of.attempt, service_name, short_hash(version),
                                                      of.deadline, m_now);
            }
            of.versions.insert(version);
            --of.events_left;
            of.next = m_now + span(50ms, 400ms);
        }
    }

    void break_off(stream& of)
    {
        of.at_host.reset();
        of.events_left = of.tries == 0 ? 0 : of.events_left;
        of.tries -= of.tries == 0 ? 0 : 1;
        of.next = m_now + span(50ms, 1s);
    }

    /// The client's request at a host.
    void take_up(stream& of, std::size_t index)
    {
        const host& asked = m_hosts[index];
        if (!is_up(asked)) {
            of.next = m_now + 200ms;
            return;
        }
        if (of.versions.empty()) {
            if (!place(of, index, any_version)) {
                break_off(of);
            }
            return;
        }
        // as exchange::find_origin() does
        auto version = asked.origins.find(of.attempt, m_now);
        if (!version) {
            version = asked.history.only_version(service_name, deadline, m_now);
        }
        const bool is_known = version || !m_options.heeds_versions;
        const bool goes_on = is_known && place(of, index, version.value_or(any_version));
        const time_point since = m_now - contact_time;
        const auto fitting = std::count_if(asked.view.begin(), asked.view.end(), [&](auto i) {
            return of.versions.contains(m_endpoints.version(i)) && m_endpoints.is_running(i, m_now);
        });
        const bool counts = asked.starts <= since && asked.cut_until <= since && fitting >= 2;
        ++m_result.take_ups;
        m_result.in_contact += counts ? 1 : 0;
        m_result.continued += counts && goes_on ? 1 : 0;
        if (!goes_on) {
            break_off(of);
        }
    }

    /// Sends the request to an endpoint of the version; returns whether there is one.
    bool place(stream& of, std::size_t index, std::uint32_t version)
    {
        std::vector<std::size_t> fitting;
        for (const std::size_t i : m_hosts[index].view) {
            const bool fits = version == any_version || !m_options.heeds_versions ||
                              version == short_hash(m_endpoints.version(i));
            if (fits && m_endpoints.is_running(i, m_now)) {
                fitting.push_back(i);
            }
        }
        if (!fitting.empty()) {
            of.at_host = index;
            of.host_started = m_hosts[index].starts;
            of.at_endpoint = fitting[random_index(m_random, fitting.size())];
            of.next = m_now + span(20ms, 200ms);
        }
        return !fitting.empty();
    }

    schedule_options m_options;
    random_source m_random;
    time_point m_now = start;
    std::vector<host> m_hosts;
    released_endpoints m_endpoints;
    std::vector<stream> m_streams;
    std::vector<datagram> m_datagrams;
    time_point m_next_mass_kill{};
    schedule_result m_result;
};

} // namespace

TEST_CASE("no stream holds events of two software versions: random schedules")
{
    schedule_options options;
    SUBCASE("hosts are killed") {}
    SUBCASE("in three regions")
    {
        options.regions = 3;
    }
    SUBCASE("all are killed at once")
    {
        options.has_kills_of_all = true;
    }
    SUBCASE("all are killed at once, and some cut off")
    {
        options.has_kills_of_all = true;
        options.has_cuts = true;
    }
    unsigned in_contact = 0;
    unsigned continued = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        const schedule_result result = version_schedule{options, seed}.run();
        CHECK(result.mixed == 0);
        in_contact += result.in_contact;
        continued += result.continued;
    }
    CHECK(in_contact > 1'000);
    CHECK(2 * continued >= in_contact);
}

TEST_CASE("the schedules mix versions if hosts don't heed them")
{
    CHECK(version_schedule{{.heeds_versions = false}, 1}.run().mixed > 10);
}

// guards against ORDER: a host that had been cut off for less than 2 s took a former version for the
// only one
TEST_CASE("regression: a host that is cut off for a short time continues streams of a new version")
{
    const schedule_options options{.has_kills_of_all = true, .has_cuts = true};
    for (const std::uint64_t seed : {239U, 417U, 512U}) {
        CAPTURE(seed);
        CHECK(version_schedule{options, seed}.run().mixed == 0);
    }
}
