#include "small_platform.h"

#include <algorithm> // max
#include <deque>     // deque
#include <exception> // exception

// Machines restart while the machines that their settings name as seeds are down. The platform then
// names others in the settings files, without a signal. The fleet-wide quota of a tenant is counted.

namespace {

using namespace review;
using hickorykeel::standins::platform_world;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::size_t machine_count = 12;
constexpr std::size_t seed_count = 3; // machines that are lost

constexpr double tokens_per_s = 100'000; // of the tenant
constexpr double burst_tokens = 100'000;
constexpr double request_tokens = 1'000;
constexpr double quota_window_s = 8;
constexpr double quota_overage = 0.25;
constexpr double quota_slack = 72'000; // tokens

constexpr duration sending_interval = 30ms; // of each client: about three times the quota together
constexpr duration test_time = 30s;
constexpr duration dark_time = 1s;
constexpr duration seed_staleness = 3s; // the settings name running machines then

json configuration()
{
    json route{{"name", "ask"},      {"host", "h.example"}, {"prefix", "/ask/"},
               {"kind", "safe"},     {"timeoutMs", 5'000},  {"sloMs", 600},
               {"priority", 1},      {"service", "s"},      {"maxAttempts", 1},
               {"anonymous", false}, {"resumable", false},  {"homeRegions", json::array()}};
    json service{{"name", "s"}, {"healthPath", "/healthz"}, {"maxConns", 290}};
    json limits{{"headerBytes", 16'384},
                {"bodyBytes", 1'000'000},
                {"headerTimeoutMs", 10'000},
                {"idleTimeoutMs", 60'000}};
    json tenant{{"name", "t"},           {"apiKeys", {"key-one"}}, {"perS", tokens_per_s},
                {"burst", burst_tokens}, {"unit", "tokens"},       {"plainTokens", request_tokens}};
    return {{"version", 1},
            {"routes", {route}},
            {"services", {service}},
            {"limits", limits},
            {"tenants", {tenant}}};
}

struct sent_request {
    std::size_t machine = 0;
    time_point sent_at{};
    std::shared_ptr<hickorykeel::standins::world_answer> answer;
};

int play(std::ofstream& record)
{
    const std::uint16_t ports = free_ports(machine_count);
    const std::string store = own_network() + "1:" + std::to_string(ports + 5);
    platform_world world{store};
    world.put("op/config", configuration());
    std::vector<hickorykeel::standins::endpoint_standin*> endpoints;
    for (int i = 0; i < 8; ++i) {
        endpoints.push_back(&world.add_endpoint("i-" + std::to_string(i), "s", "a-1",
                                                own_network() + "2:" + std::to_string(ports + i)));
    }
    fleet gateways{store, ports};
    const std::vector<std::size_t> seeds{0, 1, 2};
    for (std::size_t at = 0; at < machine_count; ++at) {
        gateways.add("a-1", "a");
    }
    for (std::size_t at = 0; at < machine_count; ++at) {
        gateways.write_settings(at, seeds);
        gateways.start(at);
    }
    for (std::size_t at = 0; at < machine_count; ++at) {
        if (!wait_until_ready(world, gateways, at)) {
            give_up("a gateway is not ready");
        }
    }
    run_for(world, 3s);
    const time_point begun = boot_clock::now();
    if (!is_calm()) {
        for (std::size_t at = 0; at < machine_count; ++at) {
            gateways.kill(at);
        }
        record << "0 ms: all machines lose power\n";
        run_for(world, dark_time);
        for (std::size_t at = seed_count; at < machine_count; ++at) {
            gateways.start(at);
        }
        record << ms_between(begun, boot_clock::now())
               << " ms: all but the first three start again; their settings name these three\n";
        run_for(world, seed_staleness);
        for (std::size_t at = seed_count; at < machine_count; ++at) {
            gateways.write_settings(at, {3, 4, 5});
        }
        record << ms_between(begun, boot_clock::now())
               << " ms: the settings files name three running machines, without a signal\n";
        if (std::getenv("SIGNAL") != nullptr) {
            for (std::size_t at = seed_count; at < machine_count; ++at) {
                gateways.signal(at, SIGHUP);
            }
            record << "SIGHUP to all (for comparison, not part of the case)\n";
        }
    }
    // the processes have run for more than contactMs, 6 s
    run_for(world, 8s);
    for (std::size_t at = seed_count; at < machine_count; ++at) {
        if (gateways.has_ended(at) || !wait_until_ready(world, gateways, at)) {
            give_up("a gateway is not ready after the restart");
        }
    }

    const time_point started = boot_clock::now();
    std::vector<sent_request> sent;
    std::vector<time_point> next(machine_count, started);
    long long number = 0;
    run_for(world, test_time, [&] {
        const time_point now = boot_clock::now();
        for (std::size_t at = seed_count; at < machine_count; ++at) {
            if (now < next[at]) {
                continue;
            }
            next[at] += sending_interval;
            sent.push_back({at, now,
                            world.ask(gateways.callers(at), "GET", "/ask/x",
                                      {{"Host", "h.example"},
                                       {"X-Hickorykeel-Attempt-Id", std::to_string(++number)},
                                       {"X-Hickorykeel-Deadline-Ms", "5000"},
                                       {"Api-Key", "key-one"}})});
        }
        return false;
    });
    run_for(world, 2s);

    std::vector<time_point> arrivals;
    for (const auto* endpoint : endpoints) {
        arrivals.insert(arrivals.end(), endpoint->arrivals().begin(), endpoint->arrivals().end());
    }
    std::sort(arrivals.begin(), arrivals.end());
    std::size_t first = 0;
    std::size_t most = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= std::chrono::seconds{8}) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    std::map<int, int> statuses;
    std::vector<int> served(machine_count, 0);
    for (const sent_request& each : sent) {
        ++statuses[each.answer->status];
        served[each.machine] += each.answer->status == 200 ? 1 : 0;
    }
    record << "sent: " << sent.size() << " requests of " << request_tokens << " tokens in "
           << ms_between(started, boot_clock::now()) << " ms\n";
    for (const auto& [status, count] : statuses) {
        record << "answered " << status << ": " << count << '\n';
    }
    for (std::size_t at = seed_count; at < machine_count; ++at) {
        record << gateways.machines()[at].name << " served " << served[at] << '\n';
    }
    const double allowed =
        (tokens_per_s * quota_window_s + burst_tokens) * (1 + quota_overage) + quota_slack;
    const double used = static_cast<double>(most) * request_tokens;
    record << "run: " << arrivals.size() << " requests\nmost tokens that ran in 8 s: " << used
           << "; the rule allows " << allowed << '\n';
    if (statuses[200] == 0) {
        give_up("no request was served");
    }
    record << (used > allowed ? "QUOTA is broken\n" : "QUOTA holds\n");
    return used > allowed ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    std::ofstream record{argc > 1 ? argv[1] : "record.txt"};
    end_processes_on_signals();
    try {
        return play(record);
    }
    catch (const std::string& reason) {
        record << "could not run: " << reason << '\n';
        return exit_not_run;
    }
    catch (const std::exception& failure) {
        record << "could not run: " << failure.what() << '\n';
        return exit_not_run;
    }
}
