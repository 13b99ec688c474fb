#pragma once

#include "connection/tls_settings.h"
#include "process/common_settings.h"

#include <array>   // array
#include <cstddef> // size_t
#include <vector>  // vector

namespace hickorykeel {

/// Table of what hickorykeel-entry and hickorykeel-dispatch share, with a program's own rules
/// between the common ones and those of `[tls]`.
template <std::size_t Count>
[[nodiscard]] constexpr auto with_serving_rules(const std::array<setting_rule, Count>& own)
{
    constexpr std::array configd_rule{
        setting_rule{"peers", "configd", setting_kind::address, true, "", 0, 0,
                     "link address of this host's hickorykeel-configd"}};
    return join_rules(with_common_rules(join_rules(configd_rule, own)), tls_setting_rules);
}

/// Faults between the keys of such a table, and of the files that they name. Thread safe.
[[nodiscard]] std::vector<settings_fault> check_serving(const settings& checked);

/// A program's options with the members that both programs have.
/// Precondition: `check_serving` found no fault. Thread safe.
template <typename Options>
[[nodiscard]] Options to_serving_options(const settings& chosen)
{
    Options options;
    options.host = chosen.text("process", "host");
    options.failure_domain = chosen.text("process", "failure_domain");
    options.link_listen = chosen.text("link", "listen");
    options.configd_address = chosen.text("peers", "configd");
    options.keys = to_link_keys(chosen);
    options.trace_address = chosen.text("trace", "otlp");
    options.tls = to_tls_settings(chosen);
    return options;
}

} // namespace hickorykeel
