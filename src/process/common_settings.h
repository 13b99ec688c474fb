#pragma once

#include "connection/messenger.h"
#include "process/admin_server.h"
#include "process/settings.h"

#include <array>   // array
#include <cstddef> // size_t
#include <memory>  // unique_ptr
#include <span>    // span
#include <vector>  // vector

namespace hickorykeel {

/// Keys that every program of a host knows.
inline constexpr std::array common_setting_rules{
    setting_rule{"process", "host", setting_kind::name, true, "", 0, 0, "name of this host"},
    setting_rule{"process", "failure_domain", setting_kind::name, true, "", 0, 0,
                 "name of the failure domain this host stands in"},
    setting_rule{"link", "listen", setting_kind::address, true, "", 0, 0,
                 "where other processes of the system connect"},
    setting_rule{"link", "public_key", setting_kind::z85_key, false, "", 0, 0,
                 "CURVE public key of this process; empty together with `secret_key`: links are "
                 "not encrypted"},
    setting_rule{"link", "secret_key", setting_kind::z85_key, false, "", 0, 0,
                 "CURVE secret key of this process"},
    setting_rule{"link", "accepted_keys", setting_kind::z85_key_list, false, "", 0, 0,
                 "public keys of peers; the own one always counts"},
    setting_rule{"admin", "listen", setting_kind::address, true, "", 0, 0,
                 "where health, metrics and administration are served"},
    setting_rule{"admin", "key_digest", setting_kind::digest, false, "", 0, 0,
                 "hex SHA-256 of the administration key; empty: administration is refused"},
    setting_rule{"trace", "otlp", setting_kind::address, false, "", 0, 0,
                 "OTLP/HTTP collector of spans; empty: none are sent"},
};

/// Table of `first` followed by `second`.
template <std::size_t First, std::size_t Second>
[[nodiscard]] constexpr auto join_rules(const std::array<setting_rule, First>& first,
                                        const std::array<setting_rule, Second>& second)
{
    std::array<setting_rule, First + Second> all{};
    std::size_t next = 0;
    for (const auto& rule : first) {
        all[next++] = rule;
    }
    for (const auto& rule : second) {
        all[next++] = rule;
    }
    return all;
}

/// Table of the common rules followed by a program's own.
template <std::size_t Count>
[[nodiscard]] constexpr auto with_common_rules(const std::array<setting_rule, Count>& own)
{
    return join_rules(common_setting_rules, own);
}

/// Faults between the common keys: CURVE keys that do not belong together. Thread safe.
[[nodiscard]] std::vector<settings_fault> check_common(const settings& checked);

/// Serves administration at the address and with the key of `[admin]`.
/// @param program  what the process offers
/// @return link_unreachable where the address cannot be bound
[[nodiscard]] result<std::unique_ptr<admin_server>> open_admin(const settings& checked,
                                                               admin_server::options program);

/// CURVE keys of `[link]`. Precondition: `check_common` found no fault. Thread safe.
[[nodiscard]] link_keys to_link_keys(const settings& checked);

} // namespace hickorykeel
