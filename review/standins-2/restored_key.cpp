#include "small_platform.h"

#include <algorithm> // max, min
#include <exception> // exception

// The store is restored from a copy that still has a key which was taken away since, and a machine is
// restarted at that time. It is counted which requests with the key run.

namespace {

using namespace review;
using hickorykeel::standins::platform_world;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::size_t machine_count = 3;
constexpr std::size_t restarted = 2; // machine; the others are the seeds
constexpr duration revoke_time = 5s; // revokeMs
constexpr duration rewriting_delay = 1s;
constexpr duration sending_interval = 10ms;

json configuration(int version, const std::vector<std::string>& keys)
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
    json tenant{{"name", "t"}, {"apiKeys", keys}, {"perS", 0}, {"burst", 0}};
    return {{"version", version},
            {"routes", {route}},
            {"services", {service}},
            {"limits", limits},
            {"tenants", {tenant}}};
}

struct sent_request {
    std::string id;
    time_point sent_at{};
    std::shared_ptr<hickorykeel::standins::world_answer> answer;
};

int play(std::ofstream& record)
{
    const std::uint16_t ports = free_ports(machine_count);
    const std::string store = own_network() + "1:" + std::to_string(ports + 5);
    platform_world world{store};
    world.put("op/config", configuration(3, {"key-one", "key-two"}));
    auto& endpoint =
        world.add_endpoint("i-1", "s", "a-1", own_network() + "2:" + std::to_string(ports));
    fleet gateways{store, ports};
    for (std::size_t at = 0; at < machine_count; ++at) {
        gateways.add("a-1", "a");
    }
    for (std::size_t at = 0; at < machine_count; ++at) {
        gateways.write_settings(at, {0, 1});
        gateways.start(at);
    }
    for (std::size_t at = 0; at < machine_count; ++at) {
        if (!wait_until_ready(world, gateways, at)) {
            give_up("a gateway is not ready");
        }
    }
    run_for(world, 2s);
    long long number = 0;
    const auto ask = [&](std::size_t at, const std::string& key) {
        const std::string id = "r-" + std::to_string(++number);
        return sent_request{id, boot_clock::now(),
                            world.ask(gateways.callers(at), "GET", "/ask/x",
                                      {{"Host", "h.example"},
                                       {"X-Hickorykeel-Attempt-Id", id},
                                       {"X-Hickorykeel-Deadline-Ms", "5000"},
                                       {"Api-Key", key}})};
    };
    const sent_request allowed = ask(restarted, "key-two");
    if (!run_for(world, 5s, [&] { return allowed.answer->has_ended; }) ||
        allowed.answer->status != 200) {
        give_up("the key is not accepted before it is taken away");
    }
    world.copy_store();
    world.put("op/config", configuration(8, {"key-one"}));
    const time_point revoked = boot_clock::now();
    record << "0 ms: the store acknowledges version 8 without the key\n";
    run_for(world, revoke_time + 1s);
    if (!is_calm()) {
        world.restore_store();
        record << ms_between(revoked, boot_clock::now())
               << " ms: the store comes back from its copy, with the next era\n";
    }
    gateways.kill(restarted);
    gateways.start(restarted);
    record << ms_between(revoked, boot_clock::now()) << " ms: the third machine starts again\n";
    const time_point begun = boot_clock::now();
    time_point next = begun;
    bool is_rewritten = is_calm();
    std::vector<sent_request> sent;
    run_for(world, 4s, [&] {
        const time_point now = boot_clock::now();
        if (!is_rewritten && now - begun >= rewriting_delay) {
            is_rewritten = true;
            world.put("op/config", configuration(8, {"key-one"}));
            record << ms_between(revoked, now) << " ms: the operator writes version 8 again\n";
        }
        if (now >= next) {
            next += sending_interval;
            sent.push_back(ask(restarted, "key-two"));
        }
        return false;
    });
    run_for(world, 2s);
    std::map<int, int> statuses;
    int runs = 0;
    long long first = 0;
    long long last = 0;
    for (const sent_request& each : sent) {
        ++statuses[each.answer->status];
        if (each.sent_at - revoked > revoke_time && endpoint.runs().contains(each.id)) {
            ++runs;
            last = ms_between(revoked, each.sent_at);
            first = first == 0 ? last : first;
        }
    }
    const sent_request still = ask(restarted, "key-one");
    run_for(world, 5s, [&] { return still.answer->has_ended; });
    for (const auto& [status, count] : statuses) {
        record << "requests with the key answered " << status << ": " << count << '\n';
    }
    record << "run: " << runs
           << " requests with the key that were sent later than revokeMs after its "
           << "end";
    if (runs > 0) {
        record << ", sent from " << first << " ms to " << last << " ms";
    }
    record << "\nthe other key is answered " << still.answer->status << '\n';
    if (still.answer->status != 200) {
        give_up("no request is served");
    }
    record << (runs > 0 ? "CONFIG (strictRevoke) is broken\n" : "CONFIG (strictRevoke) holds\n");
    return runs > 0 ? exit_broken : exit_held;
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
