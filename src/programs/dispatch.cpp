#include "process/dispatch.h"
#include "process/common_settings.h"
#include "process/program.h"

#include <iostream> // cout, cerr

namespace {

using namespace hickorykeel;

constexpr auto rules = with_common_rules(std::array{
    setting_rule{"peers", "configd", setting_kind::address, true, "", 0, 0,
                 "link address of this host's hickorykeel-configd"},
});

int run(const settings& chosen, stop_signal& stop)
{
    auto opened = dispatch::open(
        {chosen.text("process", "host"), chosen.text("process", "failure_domain"),
         chosen.text("link", "listen"), chosen.text("peers", "configd"), to_link_keys(chosen)});
    if (const auto* failure = std::get_if<error>(&opened)) {
        std::cerr << failure->to_string() << '\n';
        return EXIT_FAILURE;
    }
    dispatch& serving = *std::get<0>(opened);
    std::cout << "listening " << serving.link_address() << std::endl;
    stop.wait();
    serving.drain();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    return run_program(argc, argv, {"hickorykeel-dispatch", rules, run, check_common});
}
