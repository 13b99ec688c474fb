#pragma once

#include "process/error.h"
#include "process/settings.h"
#include "process/stop_signal.h"

#include <functional> // function
#include <iostream>   // cerr
#include <span>       // span
#include <string>     // string
#include <variant>    // get_if
#include <vector>     // vector

namespace hickorykeel {

/// What differs between the programs.
struct program_description {
    std::string name;                    ///< "hickorykeel-entry"
    std::span<const setting_rule> rules; ///< outlives the program's run
    /// The program's work, until the stop; returns the exit code.
    std::function<int(const settings&, stop_signal&)> run;
    /// Checks what one rule cannot, e.g. keys that belong together. `file` need not be filled in.
    std::function<std::vector<settings_fault>(const settings&)> check = {};
};

/// Frame of a program's `main`: command line, log to stderr, settings, signals, then `run`.
///
/// Options: `--settings FILE` (required), `--check` checks the settings and leaves, `--version`,
/// `--describe-settings` prints the keys as a Markdown table and leaves.
///
/// @return the code of `run`; 0 after a passed check; 78 for faulty settings, after each fault was
///         printed on a line of stderr; 64 for a wrong command line
/// Precondition: called once, by the main thread, before any other thread starts.
int run_program(int argc, char** argv, const program_description& description);

/// Prints why `opened` failed on stderr. Thread safe.
/// @return whether it failed
template <typename Value>
[[nodiscard]] bool report_failure(const result<Value>& opened)
{
    const auto* failure = std::get_if<error>(&opened);
    if (failure != nullptr) {
        std::cerr << failure->to_string() << '\n';
    }
    return failure != nullptr;
}

/// Exit code for a wrong command line (EX_USAGE of sysexits.h).
inline constexpr int exit_usage = 64;

} // namespace hickorykeel
