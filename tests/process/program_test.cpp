#include "process/program.h"
#include "support/scratch_file.h"

#include <array>   // array
#include <atomic>  // atomic
#include <csignal> // kill, SIGTERM
#include <string>  // string
#include <vector>  // vector

#include <unistd.h> // getpid

#include <doctest/doctest.h>

using namespace hickorykeel;
using hickorykeel::tests::scratch_file;

namespace {

constexpr std::array rules{
    setting_rule{"process", "host", setting_kind::name, true, "", 0, 0, "name of the host"},
    setting_rule{"http", "threads", setting_kind::number, false, "8", 1, 64, "threads"},
};

/// Runs a program whose work returns 7, with `arguments` after its name.
int run(std::vector<std::string> arguments, program_description description = {})
{
    arguments.insert(arguments.begin(), "program");
    std::vector<char*> raw;
    raw.reserve(arguments.size());
    for (auto& argument : arguments) {
        raw.push_back(argument.data());
    }
    description.name = "program";
    description.rules = rules;
    if (!description.run) {
        description.run = [](const settings&, stop_signal&) { return 7; };
    }
    return run_program(static_cast<int>(raw.size()), raw.data(), description);
}

} // namespace

TEST_CASE("program frame")
{
    const scratch_file right{"[process]\nhost = a\n"};
    const scratch_file faulty{"[process]\nhost = A\n"};

    SUBCASE("the code of the work is the program's")
    {
        CHECK(run({"--settings", right.path()}) == 7);
    }
    SUBCASE("the work sees the settings")
    {
        std::string host;
        run({"--settings", right.path()},
            {.name = "", .rules = {}, .run = [&](const settings& checked, stop_signal&) {
                 host = checked.text("process", "host");
                 return 0;
             }});
        CHECK(host == "a");
    }
    SUBCASE("--check does not run it")
    {
        CHECK(run({"--settings", right.path(), "--check"}) == 0);
        CHECK(run({"--settings", faulty.path(), "--check"}) == exit_settings);
    }
    SUBCASE("faulty settings")
    {
        CHECK(run({"--settings", faulty.path()}) == exit_settings);
        CHECK(run({"--settings", "/nowhere/at/all.ini"}) == exit_settings);
    }
    SUBCASE("faults found by the program's own check")
    {
        program_description description;
        description.check = [](const settings&) {
            return std::vector<settings_fault>{{"", "process", "host", "a", "not a"}};
        };
        CHECK(run({"--settings", right.path()}, description) == exit_settings);
    }
    SUBCASE("--version")
    {
        CHECK(run({"--version"}) == 0);
    }
    SUBCASE("a wrong command line")
    {
        CHECK(run({}) == exit_usage);
        CHECK(run({"--settings", right.path(), "--chek"}) == exit_usage);
    }
    SUBCASE("SIGTERM stops the work")
    {
        const auto work = [](const settings&, stop_signal& stop) {
            kill(getpid(), SIGTERM);
            stop.wait();
            return stop.is_stopping() ? 0 : 1;
        };
        CHECK(run({"--settings", right.path()}, {.name = "", .rules = {}, .run = work}) == 0);
    }
}

TEST_CASE("stop signal")
{
    stop_signal stop;
    std::atomic<int> calls = 0;
    stop.on_stop([&] { ++calls; });
    CHECK_FALSE(stop.is_stopping());

    SUBCASE("a request and a signal call back once altogether")
    {
        stop.request();
        kill(getpid(), SIGINT);
        stop.wait();
        CHECK(stop.is_stopping());
        CHECK(calls == 1);
    }
    SUBCASE("a callback given late runs at once")
    {
        stop.request();
        stop.on_stop([&] { calls += 10; });
        CHECK(calls == 11);
    }
}

TEST_CASE("description of settings")
{
    CHECK(describe_settings(rules) ==
          "### [process]\n\n| key | allowed | default | meaning |\n|---|---|---|---|\n"
          "| `host` | a name of at most 63 characters: a-z, 0-9, '.', '_' and '-', first a-z or "
          "0-9 | required | name of the host |\n"
          "\n### [http]\n\n| key | allowed | default | meaning |\n|---|---|---|---|\n"
          "| `threads` | a whole number from 1 to 64 | `8` | threads |\n");
}
