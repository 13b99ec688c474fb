#include "process/common_settings.h"
#include "process/configd_admin.h"
#include "process/program.h"

#include <cstdlib>  // EXIT_FAILURE, EXIT_SUCCESS
#include <iostream> // cout

namespace {

using namespace hickorykeel;

constexpr auto rules = with_common_rules(std::array{
    setting_rule{"peers", "seeds", setting_kind::address_list, false, "", 0, 0,
                 "link addresses of other hosts' hickorykeel-configd, asked first after a start"},
    setting_rule{"platform", "address", setting_kind::address, true, "", 0, 0,
                 "the platform's configuration service"},
});

int run(const settings& chosen, stop_signal& stop)
{
    const configd::options wanted{
        chosen.text("process", "host"), chosen.text("process", "failure_domain"),
        chosen.text("link", "listen"),  chosen.text("platform", "address"),
        chosen.list("peers", "seeds"),  to_link_keys(chosen)};
    auto opened = configd::open(wanted);
    if (report_failure(opened)) {
        return EXIT_FAILURE;
    }
    const configd& process = *std::get<0>(opened);
    metrics registry{wanted.host, wanted.failure_domain};
    const auto server = open_admin(chosen, to_admin_options(wanted, process, registry, stop));
    if (report_failure(server)) {
        return EXIT_FAILURE;
    }
    std::cout << "listening " << process.link_address() << std::endl;
    stop.wait();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    return run_program(argc, argv, {"hickorykeel-configd", rules, run, check_common});
}
