#include "process/program.h"

#include "process/build_info.h"

#include <csignal>  // signal, SIGPIPE
#include <iostream> // cerr, cout
#include <optional> // optional
#include <variant>  // get, holds_alternative

#include <glog/logging.h>
#include <tclap/CmdLine.h>

namespace hickorykeel {

namespace {

/// What the command line asks for.
struct command_line {
    std::string settings_path;
    bool checks_only = false;
    bool describes_settings = false;
};

command_line parse(int argc, char** argv, const std::string& name)
{
    TCLAP::CmdLine line{name, ' ', std::string{build_version()}};
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> path{"s",  "settings", "settings of this process (INI)",
                                      true, "",         "FILE"};
    TCLAP::SwitchArg describe{"", "describe-settings", "print the keys of the settings and leave"};
    TCLAP::SwitchArg check{"", "check", "check the settings and leave with 0 or 78"};
    line.xorAdd(path, describe);
    line.add(check);
    line.parse(argc, argv);
    return {path.getValue(), check.getValue(), describe.getValue()};
}

void start_log(const char* name)
{
    FLAGS_logtostderr = true;
    if (!google::IsGoogleLoggingInitialized()) {
        google::InitGoogleLogging(name);
    }
}

void print(const std::vector<settings_fault>& faults)
{
    for (const auto& fault : faults) {
        std::cerr << fault.to_string() << '\n';
    }
}

/// Loads and checks the settings; prints every fault.
std::optional<settings> load(const std::string& path, const program_description& description)
{
    auto loaded = settings::load(path, description.rules);
    if (const auto* faults = std::get_if<std::vector<settings_fault>>(&loaded)) {
        print(*faults);
        return std::nullopt;
    }
    auto& checked = std::get<settings>(loaded);
    if (!description.check) {
        return std::move(checked);
    }
    auto faults = description.check(checked);
    for (auto& fault : faults) {
        fault.file = path;
    }
    print(faults);
    if (!faults.empty()) {
        return std::nullopt;
    }
    return std::move(checked);
}

int run(const command_line& line, const char* path_of_program,
        const program_description& description)
{
    if (line.describes_settings) {
        std::cout << describe_settings(description.rules);
        return 0;
    }
    const auto checked = load(line.settings_path, description);
    if (!checked) {
        return exit_settings;
    }
    if (line.checks_only) {
        return 0;
    }
    start_log(path_of_program);
    // a caller that left is an error of one write, never the end of the process
    std::signal(SIGPIPE, SIG_IGN);
    stop_signal stop;
    LOG(INFO) << description.name << ' ' << build_version() << " starts";
    const int code = description.run(*checked, stop);
    LOG(INFO) << description.name << " ends with " << code;
    return code;
}

} // namespace

int run_program(int argc, char** argv, const program_description& description)
{
    try {
        return run(parse(argc, argv, description.name), argv[0], description);
    }
    catch (const TCLAP::ArgException& fault) {
        std::cerr << description.name << ": " << fault.error() << ' ' << fault.argId() << '\n';
        return exit_usage;
    }
    catch (const TCLAP::ExitException& done) {
        return done.getExitStatus();
    }
}

} // namespace hickorykeel
