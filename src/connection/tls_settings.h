#pragma once

#include "process/error.h"
#include "process/settings.h"

#include <array>  // array
#include <memory> // unique_ptr
#include <string> // string
#include <vector> // vector

namespace httplib {
class Client;
class Server;
} // namespace httplib

namespace hickorykeel {

/// TLS files, in PEM. Read once, at start: a renewed certificate takes effect after a restart.
struct tls_settings {
    std::string certificate; ///< presented to callers, with its chain; empty: plain HTTP
    std::string private_key;
    std::string endpoint_ca; ///< CA of the endpoints' certificates; empty: the system's store
};

/// Keys of `[tls]`, for programs that serve callers or call endpoints.
inline constexpr std::array tls_setting_rules{
    setting_rule{"tls", "certificate", setting_kind::text, false, "", 0, 0,
                 "PEM file with the certificate shown to callers and its chain; empty together "
                 "with `private_key`: plain HTTP"},
    setting_rule{"tls", "private_key", setting_kind::text, false, "", 0, 0,
                 "PEM file with the certificate's private key"},
    setting_rule{"tls", "endpoint_ca", setting_kind::text, false, "", 0, 0,
                 "PEM file with the authorities of endpoints' certificates; empty: the system's"},
};

/// Returns the values of `[tls]`. Precondition: `checked` was loaded with `tls_setting_rules`.
/// Thread safe.
[[nodiscard]] tls_settings to_tls_settings(const settings& checked);

/// Returns the faults of the files: missing, unreadable, or a key that doesn't match the certificate.
/// Thread safe.
[[nodiscard]] std::vector<settings_fault> check_tls(const tls_settings& files);

/// Creates the server for callers: TLS 1.2 or later if a certificate is set, otherwise plain HTTP.
/// @return settings_invalid if the files cannot be used
[[nodiscard]] result<std::unique_ptr<httplib::Server>> to_server(const tls_settings& files);

/// Makes a client for an `https://` address verify the endpoint's certificate and use TLS 1.2 or
/// later; has no effect on a client for `http://`. Call before the first request.
void prepare_client(httplib::Client& client, const tls_settings& files);

} // namespace hickorykeel
