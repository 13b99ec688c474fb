#include "process/entry_admin.h"
#include "process/program.h"
#include "process/serving_settings.h"

#include <cstdlib>  // EXIT_FAILURE, EXIT_SUCCESS
#include <iostream> // cout
#include <variant>  // get

namespace {

using namespace hickorykeel;

constexpr auto rules = with_serving_rules(std::array{
    setting_rule{"peers", "dispatch", setting_kind::address, true, "", 0, 0,
                 "link address of this host's hickorykeel-dispatch"},
    setting_rule{"http", "listen", setting_kind::address, true, "", 0, 0, "where callers connect"},
    setting_rule{"http", "threads", setting_kind::number, false, "256", 1, 4096,
                 "callers' connections that are served at once"},
    setting_rule{"http", "maximum_body_bytes", setting_kind::number, false, "4194304", 1024,
                 67'108'864, "largest body of a request, bytes"},
    setting_rule{"tickets", "life_s", setting_kind::number, false, "300", 5, 86'400,
                 "time that a ticket can be used, seconds"},
});

entry::options to_options(const settings& chosen)
{
    auto options = to_serving_options<entry::options>(chosen);
    options.http_listen = chosen.text("http", "listen");
    options.dispatch_address = chosen.text("peers", "dispatch");
    options.http_threads = static_cast<std::size_t>(chosen.number("http", "threads"));
    options.maximum_body_bytes =
        static_cast<std::size_t>(chosen.number("http", "maximum_body_bytes"));
    options.ticket_life = std::chrono::seconds{chosen.number("tickets", "life_s")};
    return options;
}

int run(const settings& chosen, stop_signal& stop)
{
    auto opened = entry::open(to_options(chosen));
    if (report_failure(opened)) {
        return EXIT_FAILURE;
    }
    entry& serving = *std::get<0>(opened);
    const auto administration = open_admin(chosen, to_admin_options(serving, stop));
    if (report_failure(administration)) {
        return EXIT_FAILURE;
    }
    std::cout << "listening " << serving.http_address() << std::endl;
    stop.on_stop([&serving] { serving.stop(); });
    serving.serve();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    return run_program(argc, argv, {"hickorykeel-entry", rules, run, check_serving});
}
