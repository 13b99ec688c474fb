// What the heartbeats cost a host in a quiet fleet: bytes, datagrams and processor time a second, by
// the fleet's size, beside heartbeats from every host to every other one of its region; see
// docs/design/fleet-size.md.
#include "gateway/membership/gossip_codec.h"
#include "gateway/simulated_fleet.h"

#include <chrono>  // seconds, steady_clock
#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t
#include <cstdio>  // printf
#include <ctime>   // clock
#include <string>  // string, to_string
#include <vector>  // vector

#include <tclap/CmdLine.h>

namespace hickorykeel::bench {

namespace {

using namespace gateway;

constexpr int regions = 3;
constexpr int domains_per_region = 2;
constexpr int endpoints_in_use = 3;      ///< of a host, at a time
constexpr int endpoints_per_region = 50; ///< known to each host
constexpr int organisations = 19;
constexpr duration settling_time{std::chrono::seconds{4}};
constexpr duration measured_time{std::chrono::seconds{5}};
constexpr double heartbeats_per_s = 5;

/// Cost of a host's heartbeats for one second.
struct cost {
    double bytes = 0;
    double bytes_between_regions = 0;
    double datagrams = 0;
    double microseconds = 0; ///< of processor time, sent and received
};

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Sets load and usage as of a host that serves a few requests a second.
void set_state(heartbeat& state, std::size_t host)
{
    for (int i = 0; i < endpoints_in_use; ++i) {
        state.endpoints[static_cast<std::uint32_t>((host * 7 + static_cast<std::size_t>(i) * 13) %
                                                   endpoints_per_region)] = {2, 4'000};
    }
    state.prompts.push_back({host * 31, 5});
    for (int i = 0; i < organisations; ++i) {
        state.used["organisation-" + std::to_string(i)] = 1'000.0 * i;
    }
    state.services["assistant"] = {std::chrono::milliseconds{60}, 200};
    state.services["records"] = {std::chrono::milliseconds{50}, 12};
}

/// Heartbeats through aggregators, as sent and received by `fleet_membership`.
cost measure_aggregated(int hosts)
{
    simulated_fleet fleet{{.regions = regions,
                           .domains_per_region = domains_per_region,
                           .hosts_per_domain = hosts / (regions * domains_per_region)}};
    for (std::size_t i = 0; i < fleet.hosts().size(); ++i) {
        set_state(fleet.hosts()[i].state, i);
    }
    fleet.start_all();
    fleet.run_for(settling_time);
    fleet.reset_counters();
    const double before = processor_seconds();
    fleet.run_for(measured_time);
    const double used = processor_seconds() - before;
    cost sum;
    for (const simulated_fleet::host& host : fleet.hosts()) {
        sum.bytes += static_cast<double>(host.sent_bytes);
        sum.bytes_between_regions += static_cast<double>(host.sent_bytes_between_regions);
        sum.datagrams += static_cast<double>(host.sent_datagrams);
    }
    const double host_seconds = static_cast<double>(fleet.running()) * to_seconds(measured_time);
    return {sum.bytes / host_seconds, sum.bytes_between_regions / host_seconds,
            sum.datagrams / host_seconds, used * 1e6 / host_seconds};
}

/// Each host sends its state to all others of its region, which decode and record it.
cost measure_all_to_all(int hosts)
{
    const int peers = hosts / regions - 1;
    std::vector<heartbeat> states(static_cast<std::size_t>(peers));
    for (std::size_t i = 0; i < states.size(); ++i) {
        states[i].host = "host-" + std::to_string(i);
        states[i].ip = "10.1." + std::to_string(i / 250) + '.' + std::to_string(i % 250 + 1);
        states[i].region = "region-1";
        states[i].failure_domain = "region-1-1";
        states[i].incarnation = i + 1;
        set_state(states[i], i);
    }
    member_table members{"10.9.0.1", {}, {}};
    const time_point start{std::chrono::seconds{1'000}};
    const int rounds = 1 + 2'000 / peers;
    double bytes = 0;
    const double before = processor_seconds();
    for (int round = 1; round <= rounds; ++round) {
        for (heartbeat& state : states) {
            state.sequence = static_cast<std::uint64_t>(round);
            const std::string datagram = encode(state, heartbeat_scope::own_region);
            bytes += static_cast<double>(datagram.size());
            members.on_heartbeat(*decode_heartbeat(datagram), start);
        }
    }
    const double used = processor_seconds() - before;
    const double per_s = heartbeats_per_s / rounds;
    return {bytes * per_s, 0, peers * heartbeats_per_s, used * 1e6 * per_s};
}

void print(const char* name, int hosts, const cost& measured)
{
    std::printf("%-12s %5d %12.0f %12.0f %12.0f %12.0f\n", name, hosts, measured.bytes,
                measured.bytes_between_regions, measured.datagrams, measured.microseconds);
}

void run(const std::vector<int>& sizes)
{
    std::printf("%-12s %5s %12s %12s %12s %12s\n", "heartbeats", "hosts", "B/s", "between B/s",
                "datagrams/s", "cpu us/s");
    for (const int hosts : sizes) {
        const cost aggregated = measure_aggregated(hosts);
        const cost all_to_all = measure_all_to_all(hosts);
        print("aggregated", hosts, aggregated);
        print("all to all", hosts, all_to_all);
        std::printf("%-12s %5d %12.3f %12s %12.3f %12.3f\n", "ratio", hosts,
                    aggregated.bytes / all_to_all.bytes, "",
                    aggregated.datagrams / all_to_all.datagrams,
                    aggregated.microseconds / all_to_all.microseconds);
    }
}

} // namespace

} // namespace hickorykeel::bench

int main(int argc, char** argv)
{
    TCLAP::CmdLine line{"Measures the cost of heartbeats by the size of the fleet"};
    TCLAP::MultiArg<int> sizes{"n",   "hosts", "size of the fleet; default: 30, 100, 300, 1000",
                               false, "hosts", line};
    line.parse(argc, argv);
    hickorykeel::bench::run(sizes.isSet() ? sizes.getValue()
                                          : std::vector<int>{30, 100, 300, 1'000});
}
