#include "process/admin_server.h"
#include "process/caller_api.h"
#include "support/documented_calls.h"
#include "support/fleet.h"
#include "support/paths.h"
#include "support/wait_for.h"

#include <algorithm> // any_of
#include <fstream>   // ifstream
#include <iterator>  // istreambuf_iterator
#include <regex>     // regex_match

#include <doctest/doctest.h>
#include <httplib.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

std::string read_page()
{
    std::ifstream in{source_path("docs/API.md")};
    return {std::istreambuf_iterator<char>{in}, {}};
}

std::string to_name(std::string_view method, std::string_view path)
{
    return std::string{method} + ' ' + std::string{path};
}

std::vector<std::string> caller_names()
{
    std::vector<std::string> names;
    for (const caller_call& each : caller_api::calls()) {
        names.push_back(to_name(each.method, each.path));
    }
    return names;
}

std::vector<std::string> admin_names()
{
    std::vector<std::string> names{"GET /healthz", "GET /readyz", "GET /metrics"};
    for (const known_admin_call& each : admin_calls) {
        names.push_back(to_name(each.method == admin_method::get ? "GET" : "POST", each.path));
    }
    return names;
}

/// Whether one of `names` is served as `served`, which may hold `.*`.
template <class Names>
bool has(const Names& names, const std::string& served)
{
    const std::regex pattern{served};
    return std::any_of(names.begin(), names.end(),
                       [&](const std::string& each) { return std::regex_match(each, pattern); });
}

bool is_served(const std::string& name, const std::vector<std::string>& served)
{
    return std::any_of(served.begin(), served.end(),
                       [&](const std::string& each) { return has(std::vector{name}, each); });
}

/// Names of the calls that the examples make to callers' addresses or to administration.
std::set<std::string> example_names(const std::vector<documented_call>& examples, bool is_admin)
{
    std::set<std::string> names;
    for (const documented_call& each : examples) {
        if ((each.command.find("$ENTRY/") == std::string::npos) == is_admin) {
            names.insert(to_call_name(each.command));
        }
    }
    return names;
}

/// Runs an example with the variables given.
std::string run(const std::string& command, const named_values& variables)
{
    std::string script = "curl() { command curl --silent --show-error --include --max-time 60 "
                         "\"$@\"; }\n";
    for (const auto& [name, value] : variables) {
        script.append(name).append("='").append(value).append("'\n");
    }
    child_process shell{{"sh", "-c", script + command}};
    shell.wait_for_exit();
    return shell.output() + shell.errors();
}

} // namespace

TEST_CASE("every call of the API page is served, and every call that is served has an example")
{
    const std::string page = read_page();
    const auto examples = to_documented_calls(page);
    const auto named = to_named_calls(page);
    for (const bool is_admin : {false, true}) {
        const auto served = is_admin ? admin_names() : caller_names();
        const auto shown = example_names(examples, is_admin);
        for (const std::string& each : served) {
            INFO(each);
            CHECK(has(named, each));
            CHECK(has(shown, each));
        }
        for (const std::string& each : shown) {
            INFO(each);
            CHECK(is_served(each, served));
        }
    }
    for (const std::string& each : named) {
        INFO(each);
        CHECK((is_served(each, admin_names()) || is_served(each, caller_names())));
    }
}

TEST_CASE("the examples of the API page give the answers that it shows")
{
    const auto examples = to_documented_calls(read_page());
    fleet running;
    REQUIRE(running.start() == "");
    const fleet_host& first = running.hosts()[0];
    const auto is_live = [](const std::string& address, const std::string& path) {
        const auto answer = httplib::Client{"http://" + address}.Get(path);
        return answer && answer->status == 200;
    };
    for (const auto& [part, address] : first.admin_addresses) {
        REQUIRE(wait_for([&, &wanted = address] { return is_live(wanted, "/readyz"); }));
    }
    named_values variables{{"ENTRY", "http://" + first.caller_address},
                           {"KEY", running.key("volunteers")},
                           {"ADMIN", "http://" + first.admin_addresses.at("entry")},
                           {"DISPATCH_ADMIN", "http://" + first.admin_addresses.at("dispatch")},
                           {"CONFIGD_ADMIN", "http://" + first.admin_addresses.at("configd")},
                           {"ADMIN_KEY", fleet::admin_key()}};
    for (const documented_call& each : examples) {
        const std::string answer = run(each.command, variables);
        INFO(each.command);
        INFO(answer);
        CHECK(difference(each, answer, variables) == "");
    }
}

TEST_CASE("an answer that differs from the page is told")
{
    const std::string page =
        "Call `GET /a?b=1`.\n```sh\ncurl -X PUT \"$ENTRY/x/7?y=1\"\n```\n\n"
        "```http\nHTTP/1.1 200 OK\nA: b…\n\n"
        "{\"n\": …, \"list\": [1, …], \"text\": \"<ID>…\", \"none\": null}\n```\n"
        "```sh\ncurl $ADMIN/y -d 1\n```\n";
    const auto calls = to_documented_calls(page);
    REQUIRE(calls.size() == 2);
    CHECK(to_named_calls(page) == std::set<std::string>{"GET /a"});
    CHECK(to_call_name(calls[0].command) == "PUT /x/7");
    CHECK(to_call_name(calls[1].command) == "POST /y");
    CHECK(calls[1].status.empty());
    named_values found;
    const auto compare = [&](const std::string& head, const std::string& body) {
        return difference(calls[0], "HTTP/1.1 " + head + "\r\n\r\n" + body, found);
    };
    const std::string good = "200 OK\r\nA: bc";
    CHECK(compare(good, R"({"n":2,"list":[1,2,3],"text":"id-1 is it","none":null})") == "");
    CHECK(found["ID"] == "id-1");
    CHECK(compare(good, R"({"n":2,"list":[1],"text":"x","none":null})") == "");
    CHECK(compare("201 OK\r\nA: bc", R"({"n":2,"list":[1],"text":"x","none":null})") != "");
    CHECK(compare("200 OK\r\nA: c", R"({"n":2,"list":[1],"text":"x","none":null})") != "");
    for (const char* body :
         {R"({"n":"2","list":[1],"text":"x","none":null})",
          R"({"list":[1],"text":"x","none":null})", R"({"n":2,"list":[2],"text":"x","none":null})",
          R"({"n":2,"list":[],"text":"x","none":null})",
          R"({"n":2,"list":[1],"text":"","none":null})",
          R"({"n":2,"list":[1],"text":"x","none":0})",
          R"({"n":2,"list":[1],"text":"x","none":null,"more":1})", "n"}) {
        INFO(body);
        CHECK(compare(good, body) != "");
    }
    CHECK(is_like("a…b…c", "a--b--c", found));
    CHECK_FALSE(is_like("a…b…c", "a--c--b", found));
    CHECK_FALSE(is_like("a…b", "a--b-", found));
}
