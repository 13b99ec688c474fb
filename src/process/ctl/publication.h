#pragma once

#include "process/ctl/ctl.h"
#include "process/error.h"
#include "version/check.h"

#include <ostream> // ostream
#include <string>  // string

namespace hickorykeel::ctl {

/// Reads a file of entries: one JSON object of keys and values.
/// @return configuration_invalid where it cannot be read or is of another form
[[nodiscard]] result<published_entries> read_entries(const std::string& path);

/// Checks the entries as every process does, and prints the result.
[[nodiscard]] exit_code validate(const published_entries& entries, bool is_json, std::ostream& out);

/// Prints what changes from `before` to `after`; both must be without faults.
[[nodiscard]] exit_code print_diff(const published_entries& before, const published_entries& after,
                                   bool is_json, std::ostream& out, std::ostream& err);

} // namespace hickorykeel::ctl
