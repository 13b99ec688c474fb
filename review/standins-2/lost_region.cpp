#include "region_links.h"

#include <algorithm> // max
#include <deque>     // deque
#include <exception> // exception

// Two of three regions lose each other for more than a minute; both reach the third one and the store
// all the time. The fleet-wide quota of a tenant is counted.

namespace {

using namespace review;
using hickorykeel::standins::platform_world;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::size_t machine_count = 15;
constexpr std::size_t machines_of_region = 5;
constexpr std::size_t first_asked = 5; // the machines of the first region get no requests

constexpr double tokens_per_s = 100'000; // of the tenant
constexpr double burst_tokens = 100'000;
constexpr double request_tokens = 1'000;
constexpr double quota_window_s = 8;
constexpr double quota_overage = 0.25;
constexpr double quota_slack = 72'000; // tokens

constexpr duration sending_interval = 33ms; // of each client: about three times the quota together
constexpr duration test_time = 20s;
constexpr duration time_before_test = 64s; // of the cut

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
    const std::vector<std::string> regions{"a", "b", "c"};
    const auto peers_port = [ports](std::size_t region) {
        return static_cast<std::uint16_t>(ports + 6 + region);
    };
    std::vector<hickorykeel::standins::endpoint_standin*> endpoints;
    fleet gateways{store, ports};
    for (std::size_t region = 0; region < regions.size(); ++region) {
        const std::string zone = regions[region] + "-1";
        for (int i = 0; i < 3; ++i) {
            const std::string id = "i-" + regions[region] + std::to_string(i);
            const auto port = ports + static_cast<int>(region) * 3 + i;
            endpoints.push_back(
                &world.add_endpoint(id, "s", zone, own_network() + "2:" + std::to_string(port)));
        }
        for (std::size_t i = 0; i < machines_of_region; ++i) {
            gateways.add(zone, regions[region], peers_port(region));
        }
    }
    region_cuts cuts;
    for (std::size_t at = 0; at < machine_count; ++at) {
        const std::size_t to = at / machines_of_region;
        for (std::size_t from = 0; from < regions.size(); ++from) {
            if (from != to) {
                const std::pair<std::string, std::string> link{regions[from], regions[to]};
                relay(world.loop(), gateways.machines()[at].ip, peers_port(from), peers_port(to),
                      [&cuts, link] { return cuts.contains(link); });
            }
        }
    }
    for (std::size_t at = 0; at < machine_count; ++at) {
        gateways.write_settings(at, {0, 5, 10});
        gateways.start(at);
    }
    for (std::size_t at = 0; at < machine_count; ++at) {
        if (!wait_until_ready(world, gateways, at)) {
            give_up("a gateway is not ready");
        }
    }
    run_for(world, 4s);
    const auto record_live_hosts = [&] {
        for (std::size_t at = 0; at < machine_count; ++at) {
            const auto answer = world.ask(gateways.metrics(at), "GET", "/metrics", {});
            run_for(world, 2s, [&] { return answer->has_ended; });
            const std::string name = "live_hosts\"} ";
            const std::size_t found = answer->body.find(name);
            record << gateways.machines()[at].name << " counts "
                   << (found == std::string::npos ? "?"
                                                  : answer->body.substr(found + name.size(), 2))
                   << " live hosts\n";
        }
    };
    record_live_hosts();
    const time_point begun = boot_clock::now();
    if (!is_calm()) {
        cuts = {{"b", "c"}, {"c", "b"}};
        record << "0 ms: the regions b and c lose each other\n";
    }
    run_for(world, time_before_test);
    record_live_hosts();
    record << ms_between(begun, boot_clock::now()) << " ms: the requests begin\n";

    const time_point started = boot_clock::now();
    std::vector<sent_request> sent;
    std::vector<time_point> next(machine_count, started);
    long long number = 0;
    run_for(world, test_time, [&] {
        const time_point now = boot_clock::now();
        for (std::size_t at = first_asked; at < machine_count; ++at) {
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
    record_live_hosts();

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
    for (std::size_t at = first_asked; at < machine_count; ++at) {
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
