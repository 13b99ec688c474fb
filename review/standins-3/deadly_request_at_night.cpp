// A request crashes each replica that begins to run it, and comes again each three seconds, the same
// in path, caller and body, at both gateways in turn. There is little other traffic.
#include "deployment.h"

namespace {

using namespace review;

constexpr auto contact_time = 6.0; // contactMs, in seconds
constexpr std::size_t crashes_needed = 3;
constexpr std::size_t most_allowed = 3;
constexpr double repeat_interval = 3; // seconds
constexpr double sound_interval = 8;  // seconds
constexpr double length = 60;         // seconds

int run(record& book)
{
    deployment site{book};
    site.world().put(
        "op/config",
        to_configuration({to_route("booking", "desk", "non_idempotent", 1, false, 5'000)},
                         {{{"name", "desk"}, {"healthPath", "/healthz"}, {"maxConns", 96}}}));
    const auto crashes = [](const message_head&, const std::string& body) {
        return has_trouble() && body == "deadly order";
    };
    for (int i = 1; i <= 3; ++i) {
        site.add_replica("r" + std::to_string(i),
                         {.service = "desk", .events = 1, .first_event = 2'500ms}, crashes);
    }
    site.start_gateways(2);
    site.run_for(2s);

    int sound_sent = 0;
    int deadly_sent = 0;
    const auto send = [&](const std::string& group, int& number, const std::string& body) {
        site.send(1 + number++ % 2, group, "POST", "/booking/x", {{"Api-Key", "key-a"}}, body);
    };
    const double began = book.now_s();
    double next_sound = began;
    double next_deadly = began + 2;
    while (book.now_s() < began + length) {
        if (book.now_s() >= next_sound) {
            next_sound += sound_interval;
            send("sound", sound_sent, fmt::format("order {}", sound_sent));
        }
        if (book.now_s() >= next_deadly) {
            next_deadly += repeat_interval;
            send("deadly", deadly_sent, "deadly order");
        }
        site.run_for(10ms);
    }
    site.run_for(2s);
    site.record_answers();
    if (!site.are_all_running()) {
        book.line("a gateway has ended by itself");
        return broken;
    }

    std::vector<double> crashed;
    std::vector<double> arrived;
    for (const auto& held : site.replicas) {
        crashed.insert(crashed.end(), held->crashes.begin(), held->crashes.end());
        for (const replica::arrival& seen : held->arrivals) {
            if (seen.is_deadly) {
                arrived.push_back(seen.at_s);
            }
        }
    }
    std::sort(crashed.begin(), crashed.end());
    std::size_t counted = 0;
    if (crashed.size() >= crashes_needed) {
        const double from = crashed[crashes_needed - 1] + contact_time;
        counted = static_cast<std::size_t>(
            std::count_if(arrived.begin(), arrived.end(), [from](double at) { return at > from; }));
        book.line(fmt::format("third crash at {:.3f} s; counted from {:.3f} s", from - contact_time,
                              from));
    }
    const auto served =
        std::count_if(site.requests.begin(), site.requests.end(), [](const auto& sent) {
            return sent.group == "sound" && deployment::is_served(sent);
        });
    const auto sound = std::count_if(site.requests.begin(), site.requests.end(),
                                     [](const auto& sent) { return sent.group == "sound"; });
    book.line(fmt::format("crashes {}; arrivals of the request at replicas {}, of them counted {}, "
                          "allowed {}; sound requests served {} of {}, the others lost",
                          crashed.size(), arrived.size(), counted, most_allowed, served, sound));
    if (!has_trouble() && served < sound) {
        return broken;
    }
    return counted > most_allowed ? broken : held;
}

} // namespace

int main()
{
    return review::run_case(run);
}
