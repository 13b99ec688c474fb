// A part of prompts crashes each replica that begins to answer it. Requests with it come rarely: one
// each 16 s, no two alike, at both gateways in turn.
#include "deployment.h"

namespace {

using namespace review;

constexpr auto contact_time = 6.0; // contactMs, in seconds
constexpr std::size_t crashes_needed = 5;
constexpr std::size_t most_allowed = 3;
constexpr auto interval = 16s; // between requests with the part
constexpr int deadly_requests = 6;

int run(record& book)
{
    deployment site{book};
    site.world().put(
        "op/config",
        to_configuration({to_route("hint", "llm", "streaming", 2, true, 15'000),
                          to_route("review", "llm", "streaming", 1, false, 5'000)},
                         {{{"name", "llm"},
                           {"healthPath", "/healthz"},
                           {"maxConns", 290},
                           {"engine", {{"slots", 8}, {"kvCapacityTokens", 357'504}}}}}));
    const auto crashes = [](const message_head& head, const std::string&) {
        return has_trouble() &&
               head.headers.find("X-Hickorykeel-Prompt-Prefix").find("dead:") != std::string::npos;
    };
    for (int i = 1; i <= 6; ++i) {
        site.add_replica("r" + std::to_string(i), {.service = "llm", .events = 20}, crashes);
    }
    site.start_gateways(2);
    site.run_for(3s);

    int sound = 0;
    const auto send_sound = [&] {
        ++sound;
        // every second one may be resumed; the others are lost if their replica crashes
        const std::string route = sound % 2 == 0 ? "hint" : "review";
        site.send(1 + sound % 2, "sound " + route, "POST", "/" + route + "/x",
                  {{"Api-Key", "key-a"},
                   {"X-Hickorykeel-Model", "m"},
                   {"X-Hickorykeel-Token-Usage", "300,80"},
                   {"X-Hickorykeel-Prompt-Prefix",
                    fmt::format("a1:100,b{}:100,c{:05x}:100", sound % 7, sound)}},
                  fmt::format("sound prompt {}", sound));
    };
    const double first_at = book.now_s() + 2;
    int deadly = 0;
    const double last_at = first_at + to_seconds(interval) * (deadly_requests - 1);
    for (double next_sound = book.now_s(); book.now_s() < last_at + 3;) {
        if (book.now_s() >= next_sound) {
            next_sound += 0.2;
            send_sound();
        }
        if (deadly < deadly_requests && book.now_s() >= first_at + to_seconds(interval) * deadly) {
            ++deadly;
            site.send(1 + deadly % 2, "deadly part", "POST", "/hint/x",
                      {{"Api-Key", "key-a"},
                       {"X-Hickorykeel-Model", "m"},
                       {"X-Hickorykeel-Token-Usage", "300,80"},
                       {"X-Hickorykeel-Prompt-Prefix",
                        fmt::format("a1:100,dead:100,d{:05x}:100", deadly)}},
                      fmt::format("prompt {} with the part", deadly));
        }
        site.run_for(10ms);
    }
    site.run_for(4s);
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
        book.line(fmt::format("fifth crash at {:.3f} s; counted from {:.3f} s", from - contact_time,
                              from));
    }
    std::size_t lost = 0;
    std::size_t served = 0;
    for (const auto& sent : site.requests) {
        const bool is_sound = sent.group.starts_with("sound");
        served += is_sound && deployment::is_served(sent) ? 1 : 0;
        lost += is_sound && !deployment::is_served(sent) ? 1 : 0;
    }
    book.line(fmt::format("crashes {}; requests with the part at replicas {}, of them counted {}, "
                          "allowed {}; sound requests served whole {}, lost {}",
                          crashed.size(), arrived.size(), counted, most_allowed, served, lost));
    if (!has_trouble() && lost > 0) {
        return broken;
    }
    return counted > most_allowed ? broken : held;
}

} // namespace

int main()
{
    return review::run_case(run);
}
