#pragma once

#include <iosfwd> // ostream
#include <string> // string
#include <vector> // vector

namespace hickorykeel::ctl {

/// Exit codes of hickorykeelctl, for scripts.
enum class exit_code {
    ok = 0,
    refused = 1, ///< the process refused, or faults were found
    usage = 2,
    unreachable = 3,
    unauthorised = 4,
};

/// Runs hickorykeelctl.
///
/// @param arguments the program's name, the command, and the command's options
/// @param out,err   where results and faults are printed
/// Thread safety: one call at a time.
[[nodiscard]] exit_code run(const std::vector<std::string>& arguments, std::ostream& out,
                            std::ostream& err);

} // namespace hickorykeel::ctl
