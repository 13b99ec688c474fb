#pragma once

#include "process/ctl/admin_client.h"
#include "process/ctl/ctl.h"

#include <ostream> // ostream
#include <span>    // span
#include <string>  // string
#include <vector>  // vector

#include <tclap/CmdLine.h>

namespace hickorykeel::ctl {

/// Options of every command that asks a process.
struct remote_options {
    explicit remote_options(TCLAP::CmdLine& line);

    TCLAP::ValueArg<std::string> address;
    TCLAP::ValueArg<std::string> key_file;
    TCLAP::SwitchArg is_json;
};

/// Content of a file that holds one key, without blanks around it.
/// @return settings_invalid where it cannot be read
[[nodiscard]] result<std::string> read_key(const std::string& path);

/// Prints why a call of the process at `address` failed or was refused.
/// @return ok where `answer` is a success, and nothing was printed
[[nodiscard]] exit_code check_answer(const std::string& address, const result<admin_answer>& answer,
                                     std::ostream& err);

/// Asks the process that `options` name.
/// @return the exit code with which to end where there is no successful answer
[[nodiscard]] std::variant<nlohmann::json, exit_code>
ask(const remote_options& options, const admin_call& wanted, std::ostream& err);

} // namespace hickorykeel::ctl
