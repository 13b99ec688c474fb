#include "process/common_settings.h"

#include <array>   // array
#include <string>  // string
#include <utility> // move

#include <zmq.h> // zmq_curve_public

namespace hickorykeel {

namespace {

/// Whether `public_key` is the one that `secret_key` yields.
bool is_pair(const std::string& public_key, const std::string& secret_key)
{
    constexpr std::size_t z85_key_size = 41; // with the closing zero
    std::array<char, z85_key_size> derived{};
    return zmq_curve_public(derived.data(), secret_key.c_str()) == 0 &&
           public_key == derived.data();
}

} // namespace

std::vector<settings_fault> check_common(const settings& checked)
{
    const auto& public_key = checked.text("link", "public_key");
    const auto& secret_key = checked.text("link", "secret_key");
    if (public_key.empty() && secret_key.empty()) {
        if (checked.list("link", "accepted_keys").empty()) {
            return {};
        }
        return {{"", "link", "accepted_keys", checked.text("link", "accepted_keys"),
                 "empty while public_key and secret_key are"}};
    }
    if (public_key.empty() || secret_key.empty()) {
        return {{"", "link", "public_key", public_key, "set exactly when secret_key is"}};
    }
    if (!is_pair(public_key, secret_key)) {
        return {{"", "link", "public_key", public_key, "the public key of secret_key"}};
    }
    return {};
}

result<std::unique_ptr<admin_server>> open_admin(const settings& checked,
                                                 admin_server::options program)
{
    program.listen = checked.text("admin", "listen");
    program.key_digest = checked.text("admin", "key_digest");
    return admin_server::open(std::move(program));
}

link_keys to_link_keys(const settings& checked)
{
    return {checked.text("link", "public_key"), checked.text("link", "secret_key"),
            checked.list("link", "accepted_keys")};
}

} // namespace hickorykeel
