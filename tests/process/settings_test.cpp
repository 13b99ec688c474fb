#include "process/settings.h"
#include "support/scratch_file.h"

#include <array>  // array
#include <string> // string

#include <doctest/doctest.h>

using namespace hickorykeel;
using hickorykeel::tests::scratch_file;

namespace {

constexpr std::array rules{
    setting_rule{"process", "host", setting_kind::name, true, "", 0, 0, ""},
    setting_rule{"process", "note", setting_kind::text, false, "", 0, 0, ""},
    setting_rule{"http", "listen", setting_kind::address, false, "127.0.0.1:1", 0, 0, ""},
    setting_rule{"http", "threads", setting_kind::number, false, "8", 1, 64, "threads"},
    setting_rule{"http", "quick", setting_kind::flag, false, "false", 0, 0, ""},
    setting_rule{"link", "public_key", setting_kind::z85_key, false, "", 0, 0, ""},
    setting_rule{"link", "accepted_keys", setting_kind::z85_key_list, false, "", 0, 0, ""},
    setting_rule{"peers", "seeds", setting_kind::address_list, false, "", 0, 0, ""},
    setting_rule{"admin", "key_digest", setting_kind::digest, false, "", 0, 0, ""},
};

std::variant<settings, std::vector<settings_fault>> load(std::string_view content)
{
    const scratch_file file{content};
    return settings::load(file.path(), rules);
}

settings load_right(std::string_view content)
{
    auto loaded = load(content);
    REQUIRE(std::holds_alternative<settings>(loaded));
    return std::get<settings>(loaded);
}

std::vector<settings_fault> load_faulty(std::string_view content)
{
    auto loaded = load(content);
    REQUIRE(std::holds_alternative<std::vector<settings_fault>>(loaded));
    return std::get<std::vector<settings_fault>>(loaded);
}

/// The only fault of a file that has a host and `lines`.
settings_fault load_fault(const std::string& lines)
{
    const auto faults = load_faulty("[process]\nhost = a\n" + lines);
    REQUIRE(faults.size() == 1);
    return faults.front();
}

const std::string key_a(40, 'a');
const std::string key_b(40, 'b');

} // namespace

TEST_CASE("settings that are right")
{
    SUBCASE("defaults stand for missing keys")
    {
        const auto loaded = load_right("[process]\nhost = attica-a ; this one\n");
        CHECK(loaded.text("process", "host") == "attica-a");
        CHECK(loaded.text("process", "note").empty());
        CHECK(loaded.text("http", "listen") == "127.0.0.1:1");
        CHECK(loaded.number("http", "threads") == 8);
        CHECK_FALSE(loaded.is_set("http", "quick"));
        CHECK(loaded.list("peers", "seeds").empty());
    }
    SUBCASE("given values")
    {
        const auto loaded = load_right("[process]\nhost = a\nnote = two words\n[http]\n"
                                       "listen = 10.0.0.1:65535\nthreads = 64\nquick = true\n"
                                       "[admin]\nkey_digest = " +
                                       std::string(64, 'f') + "\n");
        CHECK(loaded.text("process", "note") == "two words");
        CHECK(loaded.text("http", "listen") == "10.0.0.1:65535");
        CHECK(loaded.number("http", "threads") == 64);
        CHECK(loaded.is_set("http", "quick"));
    }
    SUBCASE("a list may go on in indented lines")
    {
        const auto loaded = load_right("[process]\nhost = a\n[peers]\n"
                                       "seeds = 10.0.0.1:1, 10.0.0.2:2,\n  10.0.0.3:3\n"
                                       "[link]\naccepted_keys = " +
                                       key_a + "\n  " + key_b + "\n");
        CHECK(loaded.list("peers", "seeds") ==
              std::vector<std::string>{"10.0.0.1:1", "10.0.0.2:2", "10.0.0.3:3"});
        CHECK(loaded.list("link", "accepted_keys") == std::vector<std::string>{key_a, key_b});
    }
    SUBCASE("an empty optional value is the same as none")
    {
        const auto loaded = load_right("[process]\nhost = a\n[link]\npublic_key =\n");
        CHECK(loaded.text("link", "public_key").empty());
    }
}

TEST_CASE("settings faults")
{
    SUBCASE("each names file, section, key, value and what is allowed")
    {
        const scratch_file file{"[process]\nhost = a\n[http]\nthreads = 65\n"};
        const auto loaded = settings::load(file.path(), rules);
        const auto& fault = std::get<std::vector<settings_fault>>(loaded).front();
        CHECK(fault.to_string() ==
              file.path() + ": [http] threads = \"65\": allowed: a whole number from 1 to 64");
    }
    SUBCASE("all are listed at once")
    {
        CHECK(load_faulty("[process]\nhost = A\n[http]\nlisten = here\nquick = yes\n").size() == 3);
    }
    SUBCASE("a required key is missing")
    {
        const auto faults = load_faulty("[http]\nthreads = 2\n");
        REQUIRE(faults.size() == 1);
        CHECK(faults.front().key == "host");
    }
    SUBCASE("an unknown section")
    {
        const auto fault = load_fault("[htpt]\nlisten = 127.0.0.1:1\n");
        CHECK(fault.allowed == "one of the sections process, http, link, peers, admin");
    }
    SUBCASE("an unknown key")
    {
        const auto fault = load_fault("[http]\nlisen = 127.0.0.1:1\n");
        CHECK(fault.allowed == "one of the keys listen, threads, quick");
    }
    SUBCASE("a key given twice")
    {
        CHECK(load_fault("[http]\nthreads = 1\nthreads = 2\n").value == "2");
    }
    SUBCASE("wrong values of each kind")
    {
        for (const std::string line :
             {"[http]\nlisten = localhost:80", "[http]\nlisten = 127.0.0.1", "[http]\nthreads = 0",
              "[http]\nlisten = 127.0.0.1:0", "[http]\nlisten = 127.0.0.1:65536",
              "[http]\nthreads = 1x", "[http]\nthreads =", "[http]\nquick = 1",
              "[link]\npublic_key = short", "[link]\naccepted_keys = a, b",
              "[peers]\nseeds = 10.0.0.1:1, , 10.0.0.2:1", "[admin]\nkey_digest = 00"}) {
            CAPTURE(line);
            load_fault(line + '\n');
        }
    }
    SUBCASE("a line that is no setting")
    {
        CHECK(load_fault("what is this\n").value == "line 3");
    }
    SUBCASE("a line longer than the parser's buffer")
    {
        const auto faults =
            load_faulty("[process]\nhost = a\nnote = " + std::string(300, 'x') + "\n");
        CHECK(faults.front().value == "line 3");
    }
    SUBCASE("a file that cannot be read")
    {
        const auto loaded = settings::load("/nowhere/at/all.ini", rules);
        const auto& faults = std::get<std::vector<settings_fault>>(loaded);
        REQUIRE(faults.size() == 1);
        CHECK(faults.front().to_string() ==
              "[101] read settings /nowhere/at/all.ini: allowed: a file that can be read");
    }
    // guards against a start that fails, or a reload that throws, without naming the file
    SUBCASE("a directory in place of a file")
    {
        const auto loaded = settings::load("/", rules);
        const auto& faults = std::get<std::vector<settings_fault>>(loaded);
        REQUIRE(faults.size() == 1);
        CHECK(faults.front().to_string() ==
              "[101] read settings /: allowed: a file that can be read");
    }
}
