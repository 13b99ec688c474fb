#include "connection/tls_settings.h"
#include "process/common_settings.h"
#include "process/dispatch_admin.h"
#include "process/program.h"

#include <iostream> // cout, cerr

namespace {

using namespace hickorykeel;

constexpr auto rules =
    join_rules(with_common_rules(std::array{
                   setting_rule{"peers", "configd", setting_kind::address, true, "", 0, 0,
                                "link address of this host's hickorykeel-configd"},
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

int run(const settings& chosen, stop_signal& stop)
{
    const dispatch::options wanted{
        chosen.text("process", "host"), chosen.text("process", "failure_domain"),
        chosen.text("link", "listen"),  chosen.text("peers", "configd"),
        to_link_keys(chosen),           chosen.text("trace", "otlp"),
        to_tls_settings(chosen)};
    auto opened = dispatch::open(wanted);
    if (const auto* failure = std::get_if<error>(&opened)) {
        std::cerr << failure->to_string() << '\n';
        return EXIT_FAILURE;
    }
    dispatch& serving = *std::get<0>(opened);
    const auto administration = open_admin(chosen, to_admin_options(wanted, serving, stop));
    if (const auto* failure = std::get_if<error>(&administration)) {
        std::cerr << failure->to_string() << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "listening " << serving.link_address() << std::endl;
    stop.wait();
    serving.drain();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    return run_program(argc, argv, {"hickorykeel-dispatch", rules, run, check_all});
}
