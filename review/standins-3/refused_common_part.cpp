// A part of prompts crashes each replica that begins to answer it. The sound requests of the same
// caller share their first part with the requests that have it, and come after these, following a
// pause of the caller of a bit over a minute.
#include "deployment.h"

namespace {

using namespace review;

constexpr auto contact_time = 6.0; // contactMs, in seconds
constexpr std::size_t crashes_needed = 5;
constexpr std::size_t min_requests = 20; // of each kind, by the rule
constexpr int outside_requests = 24;
constexpr int inside_requests = 28;
constexpr double pause = 62; // seconds without requests of the caller

int run(record& book)
{
    deployment site{book};
    site.world().put(
        "op/config",
        to_configuration({to_route("hint", "llm", "streaming", 2, true, 15'000)},
                         {{{"name", "llm"},
                           {"healthPath", "/healthz"},
                           {"maxConns", 290},
                           {"engine", {{"slots", 8}, {"kvCapacityTokens", 357'504}}}}}));
    const auto crashes = [](const message_head& head, const std::string&) {
        return has_trouble() &&
               head.headers.find("X-Hickorykeel-Prompt-Prefix").find("dead:") != std::string::npos;
    };
    for (int i = 1; i <= 8; ++i) {
        site.add_replica("r" + std::to_string(i),
                         {.service = "llm", .events = 10, .event_interval = 50ms}, crashes);
    }
    site.start_gateways(2);
    site.run_for(3s);

    int number = 0;
    const auto send = [&](const std::string& group, const std::string& key,
                          const std::string& parts) {
        ++number;
        site.send(1 + number % 2, group, "POST", "/hint/x",
                  {{"Api-Key", key},
                   {"X-Hickorykeel-Model", "m"},
                   {"X-Hickorykeel-Token-Usage", "300,80"},
                   {"X-Hickorykeel-Prompt-Prefix", fmt::format("{},f{:05x}:100", parts, number)}},
                  fmt::format("prompt {}", number));
    };
    const double began = book.now_s();
    const double outside_end = began + outside_requests * 0.25;
    const double deadly_from = outside_end + pause;
    std::size_t inside = 0;
    std::size_t outside = 0;
    double next_other = began;
    double next_deadly = deadly_from;
    double next_sound = began;
    const auto crash_times = [&] {
        std::vector<double> times;
        for (const auto& held : site.replicas) {
            times.insert(times.end(), held->crashes.begin(), held->crashes.end());
        }
        std::sort(times.begin(), times.end());
        return times;
    };
    double inside_from = deadly_from + 2 * contact_time + 3;
    while (inside < inside_requests && book.now_s() < 112) {
        const double now = book.now_s();
        if (now >= next_other) {
            next_other += 0.5;
            send("other caller", "key-b", fmt::format("e1:100,b{}:100", number % 5));
        }
        if (now >= next_deadly) {
            next_deadly += 1;
            send("deadly part", "key-a", "c0:100,dead:100");
        }
        if (outside < outside_requests && now >= next_sound) {
            next_sound += 0.25;
            ++outside;
            send("sound, outside", "key-a", fmt::format("c0:100,b{}:100", number % 5));
        }
        if (const auto times = crash_times(); times.size() >= crashes_needed) {
            inside_from = times[crashes_needed - 1] + 2 * contact_time;
        }
        if (now >= std::max(inside_from, next_sound) && now > deadly_from) {
            next_sound = now + 0.5;
            ++inside;
            send("sound, beside", "key-a", fmt::format("c0:100,b{}:100", number % 5));
        }
        site.run_for(10ms);
    }
    site.run_for(3s);
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
    const auto count = [&](const std::string& group, bool of_those_that_ran) {
        return static_cast<std::size_t>(
            std::count_if(site.requests.begin(), site.requests.end(), [&](const auto& sent) {
                return sent.group == group && (!of_those_that_ran || ran.contains(sent.attempt));
            }));
    };
    const double share_outside = static_cast<double>(count("sound, outside", true)) /
                                 static_cast<double>(count("sound, outside", false));
    const double share_beside = static_cast<double>(count("sound, beside", true)) /
                                static_cast<double>(count("sound, beside", false));
    book.line(fmt::format("crashes {}; sound requests that began: outside {} of {}, beside the "
                          "part {} of {}; requests "
                          "of the other caller {} of {}",
                          crash_times().size(), count("sound, outside", true),
                          count("sound, outside", false), count("sound, beside", true),
                          count("sound, beside", false), count("other caller", true),
                          count("other caller", false)));
    if (count("sound, outside", false) < min_requests ||
        count("sound, beside", false) < min_requests || share_outside < 1) {
        return could_not_run;
    }
    return share_beside < share_outside / 2 ? broken : held;
}

} // namespace

int main()
{
    return review::run_case(run);
}
