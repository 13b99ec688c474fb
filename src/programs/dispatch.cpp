#include "process/dispatch_admin.h"
#include "process/program.h"
#include "process/serving_settings.h"

#include <cstdlib>  // EXIT_FAILURE, EXIT_SUCCESS
#include <iostream> // cout
#include <variant>  // get

namespace {

using namespace hickorykeel;

constexpr auto rules = with_serving_rules(std::array<setting_rule, 0>{});

int run(const settings& chosen, stop_signal& stop)
{
    const auto wanted = to_serving_options<dispatch::options>(chosen);
    auto opened = dispatch::open(wanted);
    if (report_failure(opened)) {
        return EXIT_FAILURE;
    }
    dispatch& serving = *std::get<0>(opened);
    const auto administration = open_admin(chosen, to_admin_options(wanted, serving, stop));
    if (report_failure(administration)) {
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
    return run_program(argc, argv, {"hickorykeel-dispatch", rules, run, check_serving});
}
