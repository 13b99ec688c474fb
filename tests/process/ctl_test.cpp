#include "process/ctl/ctl.h"

#include "process/ctl/table.h"
#include "support/fake_server.h"
#include "support/free_port.h"
#include "support/published.h"
#include "support/scratch_file.h"

#include <mutex>   // mutex, lock_guard
#include <sstream> // ostringstream
#include <string>  // string
#include <vector>  // vector

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace hickorykeel;
using hickorykeel::ctl::exit_code;
using hickorykeel::tests::fake_server;
using hickorykeel::tests::scratch_file;

namespace {

/// What a run of hickorykeelctl left behind.
struct run_result {
    exit_code code;
    std::string out;
    std::string err;
};

run_result run(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "hickorykeelctl");
    std::ostringstream out;
    std::ostringstream err;
    const auto code = ctl::run(arguments, out, err);
    return {code, out.str(), err.str()};
}

/// Administration of a process: answers what it is told to, and remembers what was asked.
struct fake_admin : fake_server {
    std::mutex mutex;
    std::string last_call; ///< "POST /admin/v1/drain", with the query
    int status = 200;
    std::string answer = "{}";

    fake_admin()
    {
        const auto serve = [this](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard lock{mutex};
            last_call = request.method + ' ' + request.target;
            const bool is_right = request.get_header_value("Authorization") == "Bearer s3cret";
            response.status = is_right ? status : 401;
            response.set_content(is_right ? answer
                                          : R"({"error":{"code":"unauthorised","message":"no"}})",
                                 "application/json");
        };
        server.Get("/admin/v1/.*", serve);
        server.Post("/admin/v1/.*", serve);
        start();
    }
};

} // namespace

TEST_CASE("hickorykeelctl asks a process")
{
    fake_admin process;
    const scratch_file key{"s3cret\n"};
    const auto ask = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.end(),
                         {"--admin", process.address(), "--admin-key-file", key.path()});
        return run(arguments);
    };

    SUBCASE("status as an aligned table; members it does not know are left out")
    {
        process.answer = R"({"program":"hickorykeel-entry","host":"attica-a","revision":12,)"
                         R"("state":"live","new_member":[1]})";
        const auto result = ask({"status"});
        CHECK(result.code == exit_code::ok);
        CHECK(result.out ==
              "PROGRAM            VERSION  HOST      FAILURE DOMAIN  STATE  REVISION  HOST LIST  "
              "RUNNING  WAITING  UP MS\n"
              "hickorykeel-entry  -        attica-a  -               live   12        -          "
              "-        -        -\n");
        CHECK(process.last_call == "GET /admin/v1/status");
    }
    SUBCASE("hosts and limits")
    {
        process.answer = R"({"hosts":[{"name":"attica-a"},{"name":"crete-a"}]})";
        CHECK(ask({"hosts"}).out.find("crete-a") != std::string::npos);
        process.answer = R"({"accounts":[{"account":"volunteers","level":12.5}]})";
        CHECK(ask({"limits"}).out.find("12.5") != std::string::npos);
    }
    SUBCASE("an empty list")
    {
        process.answer = R"({"accounts":[]})";
        CHECK(ask({"limits"}).out == "no accounts\n");
    }
    SUBCASE("columns stand under each other also after other letters than ASCII's")
    {
        process.answer =
            R"({"accounts":[{"account":"χώρος","rate":1},{"account":"depot","rate":2}]})";
        const auto out = ask({"limits"}).out;
        CHECK(out.find("\nχώρος    1 ") != std::string::npos);
        CHECK(out.find("\ndepot    2 ") != std::string::npos);
    }
    SUBCASE("drain is a POST")
    {
        CHECK(ask({"drain"}).code == exit_code::ok);
        CHECK(process.last_call == "POST /admin/v1/drain");
    }
    SUBCASE("explain for an organisation")
    {
        process.answer = R"({"decision":"refuse","code":"over_limit","steps":[)"
                         R"({"step":"admit","outcome":"refuse","reason":"level 3 of 10"}]})";
        const auto result = ask({"explain", "--organisation", "a&b", "--profile", "p", "--target",
                                 "assistant", "--tokens", "10"});
        CHECK(result.out.find("level 3 of 10") != std::string::npos);
        CHECK(process.last_call == "GET /admin/v1/explain?organisation=a%26b&profile=p&target="
                                   "assistant&tokens=10");
    }
    SUBCASE("explain for a key sends its digest only")
    {
        const scratch_file caller_key{"open sesame"};
        ask({"explain", "--key-file", caller_key.path(), "--profile", "p", "--target", "t"});
        CHECK(process.last_call.find(to_key_digest("open sesame")) != std::string::npos);
        CHECK(process.last_call.find("open") == std::string::npos);
    }
    SUBCASE("JSON passes the answer on whole")
    {
        process.answer = R"({"new_member":[1]})";
        CHECK(nlohmann::json::parse(ask({"status", "--json"}).out) ==
              nlohmann::json::parse(process.answer));
    }
    SUBCASE("a refusal")
    {
        process.status = 409;
        process.answer = R"({"error":{"code":"leaving","message":"drains already"}})";
        const auto result = ask({"drain"});
        CHECK(result.code == exit_code::refused);
        CHECK(result.err ==
              "administer " + process.address() + ": status 409, leaving: drains already\n");
    }
    SUBCASE("no key or a wrong one")
    {
        CHECK(run({"status", "--admin", process.address()}).code == exit_code::unauthorised);
        const scratch_file wrong{"other"};
        CHECK(
            run({"status", "--admin", process.address(), "--admin-key-file", wrong.path()}).code ==
            exit_code::unauthorised);
    }
    SUBCASE("an answer that is no JSON")
    {
        process.answer = "hello";
        CHECK(ask({"status"}).code == exit_code::unreachable);
    }
    SUBCASE("an answer of another form")
    {
        process.answer = R"(["hosts"])";
        CHECK(ask({"hosts"}).code == exit_code::ok);
        process.answer = R"({"hosts":["attica-a"]})";
        CHECK(ask({"hosts"}).code == exit_code::ok);
    }
}

TEST_CASE("hickorykeelctl without a process")
{
    SUBCASE("nobody listens")
    {
        const std::string closed = tests::free_address();
        const auto result = run({"status", "--admin", closed});
        CHECK(result.code == exit_code::unreachable);
        CHECK(result.err == "[401] administer " + closed + ": no connection\n");
    }
    SUBCASE("somebody listens and never answers")
    {
        const std::string silent = [] { return fake_server{}.address(); }();
        const auto result = run({"status", "--admin", silent});
        CHECK(result.code == exit_code::unreachable);
        CHECK(result.err.starts_with("[401] administer " + silent + ": "));
    }
    SUBCASE("wrong usage")
    {
        CHECK(run({}).code == exit_code::usage);
        CHECK(run({"statsu"}).code == exit_code::usage);
        CHECK(run({"status"}).code == exit_code::usage);
        CHECK(run({"status", "--admin", "here"}).code == exit_code::usage);
        CHECK(run({"validate", "/nowhere/at/all.json"}).code == exit_code::usage);
        CHECK(run({"status", "--admin", "127.0.0.1:1", "--admin-key-file", "/nowhere"}).code ==
              exit_code::usage);
    }
    SUBCASE("wrong usage is told with the command and what is wrong")
    {
        CHECK(run({"statsu"}).err.starts_with("hickorykeelctl: no command statsu\n"));
        CHECK(run({"status"}).err.starts_with("hickorykeelctl status: Required argument missing"));
        CHECK(run({"status", "--nope"}).err.starts_with("hickorykeelctl status: "));
        CHECK(run({"status", "--admin", "here"}).err == "--admin here: not ip:port\n");
    }
    SUBCASE("help of each command")
    {
        for (const std::string command :
             {"validate", "diff", "status", "hosts", "limits", "explain", "drain"}) {
            CAPTURE(command);
            const auto result = run({command, "--help"});
            CHECK(result.code == exit_code::ok);
            CHECK(result.out.starts_with("hickorykeelctl " + command + ": "));
            CHECK(result.out.find("OPTION") != std::string::npos);
            CHECK(result.out.find("--json") != std::string::npos);
            CHECK(run({command, "--version"}).out == run({"--version"}).out);
        }
    }
    SUBCASE("help and version")
    {
        CHECK(run({"--help"}).out.find("validate") != std::string::npos);
        CHECK(run({"--version"}).code == exit_code::ok);
    }
}

TEST_CASE("hickorykeelctl validate")
{
    auto entries = tests::published_example();

    SUBCASE("entries without faults")
    {
        const scratch_file file{entries.dump()};
        const auto result = run({"validate", file.path()});
        CHECK(result.code == exit_code::ok);
        CHECK(result.out == "valid: " + std::to_string(entries.size()) + " entries\n");
    }
    SUBCASE("every fault with its path")
    {
        entries["profiles/booking"]["idempotent"] = "no";
        entries["targets/bookings"]["colour"] = "red";
        const scratch_file file{entries.dump()};
        const auto result = run({"validate", file.path()});
        CHECK(result.code == exit_code::refused);
        CHECK(result.out.find("profiles/booking/idempotent") != std::string::npos);
        CHECK(result.out.find("targets/bookings/colour") != std::string::npos);
        const auto json = nlohmann::json::parse(run({"validate", file.path(), "--json"}).out);
        CHECK(json["is_valid"] == false);
        CHECK(json["faults"].size() == 2);
    }
    SUBCASE("a file of another form")
    {
        for (const char* content : {"", "[]", "{", "1"}) {
            const scratch_file file{content};
            CHECK(run({"validate", file.path()}).code == exit_code::usage);
        }
    }
}

TEST_CASE("hickorykeelctl diff")
{
    const auto entries = tests::published_example();
    auto changed = entries;
    changed["organisations/offices"]["rate"] = 20;
    const scratch_file before{entries.dump()};
    const scratch_file after{changed.dump()};
    CHECK(run({"diff", before.path(), before.path()}).out == "no changes\n");
    const auto result = run({"diff", before.path(), after.path()});
    CHECK(result.code == exit_code::ok);
    CHECK(result.out.find("organisations/offices/rate") != std::string::npos);
    const auto json = run({"diff", before.path(), after.path(), "--json"}).out;
    CHECK(nlohmann::json::parse(json)["changes"].size() == 1);
    const scratch_file faulty{R"({"what/is": {}})"};
    CHECK(run({"diff", before.path(), faulty.path()}).code == exit_code::refused);
}

TEST_CASE("cells")
{
    CHECK(ctl::to_cell(nullptr) == "-");
    CHECK(ctl::to_cell(true) == "yes");
    CHECK(ctl::to_cell(0.5) == "0.5");
    CHECK(ctl::to_cell(40'000'000.0) == "40000000");
    CHECK(ctl::to_cell(12'345'678) == "12345678");
    CHECK(ctl::to_cell({"a", "b"}) == "a, b");
    CHECK(ctl::to_cell("a\x1b[2Jb") == "a?[2Jb");
}
