#include "gateway/serving/gateway.h"
#include "platform/platform.h"
#include "process/build_info.h"

#include <chrono>       // milliseconds
#include <csignal>      // signal, sigprocmask, SIGPIPE
#include <cstdlib>      // EXIT_FAILURE, EXIT_SUCCESS
#include <exception>    // exception
#include <filesystem>   // is_regular_file
#include <fstream>      // ifstream
#include <iostream>     // cerr, cout
#include <iterator>     // istreambuf_iterator
#include <optional>     // nullopt, optional
#include <string>       // string
#include <system_error> // error_code
#include <thread>       // this_thread::sleep_for
#include <utility>      // move
#include <variant>      // get, get_if
#include <vector>       // vector

#include <fcntl.h>  // fcntl, open
#include <malloc.h> // mallopt
#include <tclap/CmdLine.h>
#include <unistd.h> // STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO

namespace {

using namespace hickorykeel;
using gateway::gateway_settings;

constexpr int exit_usage = 64; // EX_USAGE of sysexits.h
constexpr int max_settings_reads = 10;
constexpr auto settings_read_interval = std::chrono::milliseconds{100};

/// What the command line asks for.
struct command_line {
    std::string settings_path;
    bool checks_only = false;
    bool describes_settings = false;
};

command_line parse(int argc, char** argv)
{
    TCLAP::CmdLine line{"Gateway for callers' requests. Without --settings the platform's "
                        "environment names the settings file.",
                        ' ', std::string{build_version()}};
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> path{
        "s",   "settings", "settings of this process (INI)", false, platform::settings_path(),
        "FILE"};
    TCLAP::SwitchArg check{"", "check", "check the settings and leave"};
    line.add(path);
    TCLAP::SwitchArg describe{"", "describe-settings", "print the keys of the settings and leave"};
    line.add(check);
    line.add(describe);
    line.parse(argc, argv);
    return {path.getValue(), check.getValue(), describe.getValue()};
}

/// Blocks the signals that the gateway handles, so that one that arrives during the start waits for
/// its handler instead of ending the process. Created by the first statement of the process.
class startup_signal_mask {
public:
    startup_signal_mask() noexcept
    {
        sigemptyset(&m_signals);
        for (const int signal : gateway::handled_signals) {
            sigaddset(&m_signals, signal);
        }
        sigprocmask(SIG_BLOCK, &m_signals, nullptr);
    }

    /// Delivers what has arrived. Precondition: the handlers are installed.
    void release() const noexcept { sigprocmask(SIG_UNBLOCK, &m_signals, nullptr); }

private:
    sigset_t m_signals{};
};

/// Opens the standard streams that are closed, so that no socket gets their descriptors and the log
/// with them. Precondition: no other descriptor was opened.
void open_standard_streams()
{
    for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        if (::fcntl(stream, F_GETFD) < 0) {
            ::open("/dev/null", O_RDWR); // gets the lowest free descriptor, which is `stream`
        }
    }
}

/// Returns the content of a regular file, or nothing if it can't be read. Others could block.
std::optional<std::string> read_file(const std::string& path)
{
    std::error_code failure;
    if (!std::filesystem::is_regular_file(path, failure)) {
        return std::nullopt;
    }
    std::ifstream file{path, std::ios::binary};
    std::string content{std::istreambuf_iterator<char>{file}, {}};
    return file.bad() || !file.is_open() ? std::nullopt : std::optional{std::move(content)};
}

using settings_result = std::variant<gateway_settings, std::vector<settings_fault>>;

settings_result load(const std::string& path)
{
    auto loaded = settings::load(path, gateway::gateway_rules());
    if (auto* faults = std::get_if<std::vector<settings_fault>>(&loaded)) {
        return std::move(*faults);
    }
    return gateway::to_gateway_settings(std::get<settings>(loaded));
}

/// The same at a start. A file with faults may be about to be replaced, so it is read again for a
/// while.
settings_result load_at_start(const std::string& path)
{
    settings_result loaded = load(path);
    for (int reads = 1; reads < max_settings_reads; ++reads) {
        if (std::holds_alternative<gateway_settings>(loaded)) {
            break;
        }
        std::this_thread::sleep_for(settings_read_interval);
        loaded = load(path);
    }
    return loaded;
}

int report(const std::vector<settings_fault>& faults)
{
    for (const settings_fault& fault : faults) {
        std::cerr << fault.to_string() << '\n';
    }
    return exit_settings;
}

int serve(const command_line& chosen, const startup_signal_mask& signals)
{
    if (chosen.describes_settings) {
        std::cout << describe_settings(gateway::gateway_rules());
        return EXIT_SUCCESS;
    }
    const std::optional<std::string> content = read_file(chosen.settings_path);
    auto loaded =
        chosen.checks_only ? load(chosen.settings_path) : load_at_start(chosen.settings_path);
    if (const auto* faults = std::get_if<std::vector<settings_fault>>(&loaded)) {
        return report(*faults);
    }
    if (chosen.checks_only) {
        for (const std::string& fault : std::get<gateway_settings>(loaded).replaced) {
            std::cout << fault << "; the default is used\n";
        }
        std::cout << "settings: right\n";
        return EXIT_SUCCESS;
    }
    const auto reload = [path = chosen.settings_path]() -> result<gateway_settings> {
        auto again = load(path);
        if (const auto* faults = std::get_if<std::vector<settings_fault>>(&again)) {
            report(*faults);
            return error{error_kind::settings_invalid, "reload", path, "the settings have faults"};
        }
        return std::get<gateway_settings>(std::move(again));
    };
    gateway::gateway_parts parts = platform::make_parts(reload);
    parts.read_settings_file = [path = chosen.settings_path] { return read_file(path); };
    parts.loaded_settings_file = content;
    gateway::gateway serving{std::get<gateway_settings>(std::move(loaded)), std::move(parts)};
    signals.release();
    const auto opened = serving.open();
    if (const auto* failure = std::get_if<error>(&opened)) {
        std::cerr << failure->to_string() << '\n';
        return EXIT_FAILURE;
    }
    serving.run();
    return EXIT_SUCCESS;
}

/// Makes the allocator release the memory of large buffers to the system when they are freed. By
/// default it keeps them in its heap, whose gaps may grow to a multiple of what is in use.
void configure_allocator() noexcept
{
    constexpr int min_mapped_bytes = 131'072;
    ::mallopt(M_MMAP_THRESHOLD, min_mapped_bytes);
    ::mallopt(M_TRIM_THRESHOLD, min_mapped_bytes);
}

} // namespace

int main(int argc, char** argv)
{
    const startup_signal_mask signals;
    configure_allocator();
    open_standard_streams();
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return serve(parse(argc, argv), signals);
    }
    catch (const TCLAP::ExitException& leave) {
        return leave.getExitStatus();
    }
    catch (const TCLAP::ArgException& fault) {
        std::cerr << fault.argId() << ": " << fault.error() << '\n';
        return exit_usage;
    }
    catch (const std::exception& failure) {
        std::cerr << "start failed: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
}
