#include "connection/tls_settings.h"
#include "process/common_settings.h"
#include "process/entry_admin.h"
#include "process/program.h"

#include <iostream> // cout, cerr

namespace {

using namespace hickorykeel;

constexpr auto rules =
    join_rules(with_common_rules(std::array{
                   setting_rule{"peers", "configd", setting_kind::address, true, "", 0, 0,
                                "link address of this host's hickorykeel-configd"},
                   setting_rule{"peers", "dispatch", setting_kind::address, true, "", 0, 0,
                                "link address of this host's hickorykeel-dispatch"},
                   setting_rule{"http", "listen", setting_kind::address, true, "", 0, 0,
                                "where callers connect"},
                   setting_rule{"http", "threads", setting_kind::number, false, "256", 1, 4096,
                                "callers' connections that are served at once"},
                   setting_rule{"http", "maximum_body_bytes", setting_kind::number, false,
                                "4194304", 1024, 67'108'864, "largest body of a request, bytes"},
                   setting_rule{"tickets", "life_s", setting_kind::number, false, "300", 5, 86'400,
                                "time that a ticket can be used, seconds"},
               }),
               tls_setting_rules);

// faults of the keys and of the files that they name
std::vector<settings_fault> check_all(const settings& checked)
{
    auto faults = check_common(checked);
    const auto further = check_tls(to_tls_settings(checked));
    faults.insert(faults.end(), further.begin(), further.end());
    return faults;
}

entry::options to_options(const settings& chosen)
{
    entry::options options;
    options.host = chosen.text("process", "host");
    options.failure_domain = chosen.text("process", "failure_domain");
    options.http_listen = chosen.text("http", "listen");
    options.link_listen = chosen.text("link", "listen");
    options.configd_address = chosen.text("peers", "configd");
    options.dispatch_address = chosen.text("peers", "dispatch");
    options.keys = to_link_keys(chosen);
    options.trace_address = chosen.text("trace", "otlp");
    options.tls = to_tls_settings(chosen);
    options.http_threads = static_cast<std::size_t>(chosen.number("http", "threads"));
    options.maximum_body_bytes =
        static_cast<std::size_t>(chosen.number("http", "maximum_body_bytes"));
    options.ticket_life = std::chrono::seconds{chosen.number("tickets", "life_s")};
    return options;
}

int run(const settings& chosen, stop_signal& stop)
{
    auto opened = entry::open(to_options(chosen));
    if (const auto* failure = std::get_if<error>(&opened)) {
        std::cerr << failure->to_string() << '\n';
        return EXIT_FAILURE;
    }
    entry& serving = *std::get<0>(opened);
    const auto administration = open_admin(chosen, to_admin_options(serving, stop));
    if (const auto* failure = std::get_if<error>(&administration)) {
        std::cerr << failure->to_string() << '\n';
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
    return run_program(argc, argv, {"hickorykeel-entry", rules, run, check_all});
}
