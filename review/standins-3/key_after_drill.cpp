// A key is withdrawn. A second later all gateways lose power, and the store, in a drill, is away for a
// moment and comes back from a copy that is some seconds old. Before the operator has written again,
// the store is down once more.
#include "deployment.h"

namespace {

using namespace review;

constexpr double revoke_time = 5; // revokeMs, in seconds

int run(record& book)
{
    deployment site{book};
    nlohmann::json config =
        to_configuration({to_route("booking", "desk", "non_idempotent", 1, false, 5'000)},
                         {{{"name", "desk"}, {"healthPath", "/healthz"}, {"maxConns", 96}}});
    site.world().put("op/config", config);
    for (int i = 1; i <= 3; ++i) {
        site.add_replica("r" + std::to_string(i), {.service = "desk", .events = 1},
                         [](const message_head&, const std::string&) { return false; });
    }
    site.start_gateways(2);
    site.run_for(7s); // until the gateways are in touch
    site.world().copy_store();
    site.run_for(3s);

    // the operator takes key-b away
    config["version"] = 2;
    config["tenants"][1]["apiKeys"] = nlohmann::json::array({"key-c"});
    site.world().put("op/config", config);
    const double acknowledged = book.now_s();
    book.line("version 2, without key-b, is acknowledged");

    std::size_t sent = 0;
    const auto send_for = [&](double until) {
        for (double next = book.now_s(); book.now_s() < until;) {
            if (book.now_s() >= next) {
                next += 0.1;
                const std::string key = sent % 2 == 0 ? "key-b" : "key-a";
                site.send(1 + static_cast<int>(sent / 2 % 2), key, "POST", "/booking/x",
                          {{"Api-Key", key}}, fmt::format("order {}", sent));
                ++sent;
            }
            site.run_for(10ms);
        }
    };
    send_for(acknowledged + 1);
    if (has_trouble()) {
        for (const int number : {1, 2}) {
            site.signal_gateway(number, SIGKILL);
        }
        site.world().set_refusing(true);
        book.line("all gateways lose power; the store is away");
        site.run_for(1s);
        for (const int number : {1, 2}) {
            site.start_gateway(number);
        }
        site.run_for(500ms);
        site.world().restore_store();
        site.world().set_refusing(false);
        book.line("the store is back from a copy of before version 2");
        send_for(book.now_s() + 0.6);
        site.world().set_refusing(true);
        book.line("the store is down");
        send_for(book.now_s() + 4.5);
        site.world().set_refusing(false);
        book.line("the store is up");
    }
    site.world().put("op/config", config);
    book.line("the operator has written version 2 again");
    send_for(std::max(book.now_s() + 2, acknowledged + 9));
    site.run_for(2s);
    site.record_answers();
    if (!site.are_all_running()) {
        book.line("a gateway has ended by itself");
        return broken;
    }

    std::set<std::string> ran;
    for (const auto& held : site.replicas) {
        for (const replica::arrival& seen : held->arrivals) {
            ran.insert(seen.attempt);
        }
    }
    std::size_t stale = 0;
    std::size_t sound = 0;
    double last = 0;
    for (const auto& request : site.requests) {
        const bool has_run = ran.contains(request.attempt);
        sound += request.group == "key-a" && has_run ? 1 : 0;
        if (request.group == "key-b" && has_run && request.at_s > acknowledged + revoke_time) {
            ++stale;
            last = request.at_s;
        }
    }
    book.line(
        fmt::format("requests that ran with the key taken away, sent later than {} s after the "
                    "acknowledgement at {:.3f} s: {}, the last one sent at {:.3f} s; with the "
                    "other key {} requests ran",
                    revoke_time, acknowledged, stale, last, sound));
    if (sound == 0) {
        return could_not_run;
    }
    return stale > 0 ? broken : held;
}

} // namespace

int main()
{
    return review::run_case(run);
}
