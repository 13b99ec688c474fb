#include "process/common_settings.h"
#include "support/scratch_file.h"

#include <array>  // array
#include <string> // string

#include <doctest/doctest.h>
#include <zmq.h> // zmq_curve_keypair

using namespace hickorykeel;
using hickorykeel::tests::scratch_file;

namespace {

struct key_pair {
    std::array<char, 41> public_key{};
    std::array<char, 41> secret_key{};

    key_pair() { REQUIRE(zmq_curve_keypair(public_key.data(), secret_key.data()) == 0); }
};

settings load(const std::string& link_lines)
{
    const scratch_file file{"[process]\nhost = attica-a\nfailure_domain = attica-1\n"
                            "[admin]\nlisten = 127.0.0.1:8201\n[link]\nlisten = 127.0.0.1:7101\n" +
                            link_lines};
    auto loaded = settings::load(file.path(), common_setting_rules);
    REQUIRE(std::holds_alternative<settings>(loaded));
    return std::get<settings>(loaded);
}

std::string to_lines(const char* public_key, const char* secret_key)
{
    return std::string{"public_key = "} + public_key + "\nsecret_key = " + secret_key + '\n';
}

} // namespace

TEST_CASE("common settings")
{
    const key_pair own;
    const key_pair other;

    SUBCASE("no keys: links are not encrypted")
    {
        const auto checked = load("");
        CHECK(check_common(checked).empty());
        CHECK(to_link_keys(checked).public_key.empty());
    }
    SUBCASE("a pair of keys and those of a peer")
    {
        const auto checked = load(to_lines(own.public_key.data(), own.secret_key.data()) +
                                  "accepted_keys = " + other.public_key.data() + '\n');
        CHECK(check_common(checked).empty());
        const auto keys = to_link_keys(checked);
        CHECK(keys.public_key == own.public_key.data());
        CHECK(keys.secret_key == own.secret_key.data());
        CHECK(keys.accepted_keys == std::vector<std::string>{other.public_key.data()});
    }
    SUBCASE("one key alone")
    {
        CHECK(check_common(load(to_lines(own.public_key.data(), ""))).size() == 1);
        CHECK(check_common(load(to_lines("", own.secret_key.data()))).size() == 1);
    }
    SUBCASE("keys that do not belong together")
    {
        CHECK(check_common(load(to_lines(other.public_key.data(), own.secret_key.data()))).size() ==
              1);
    }
    SUBCASE("keys of peers without own ones")
    {
        CHECK(check_common(load(std::string{"accepted_keys = "} + other.public_key.data() + '\n'))
                  .size() == 1);
    }
    SUBCASE("a mistyped secret is not shown")
    {
        const scratch_file file{"[link]\nsecret_key = verysecret\n"};
        const auto loaded = settings::load(file.path(), common_setting_rules);
        for (const auto& fault : std::get<std::vector<settings_fault>>(loaded)) {
            CHECK(fault.to_string().find("verysecret") == std::string::npos);
        }
    }
}
