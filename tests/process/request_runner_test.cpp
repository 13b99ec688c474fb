#include "process/request_runner.h"

#include "process/dispatch_directory.h"
#include "process/entry_router.h"

#include <chrono>  // milliseconds, seconds
#include <cstddef> // size_t
#include <memory>  // unique_ptr
#include <string>  // string
#include <utility> // move
#include <variant> // get, get_if
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace std::chrono_literals;

namespace {

/// One request of an idempotent profile, with a host of the own failure domain and one of another.
class runner_fixture {
public:
    runner_fixture()
    {
        configuration in_force;
        in_force.failure_domains = {{"attica-1", {"attica-1", "attica"}},
                                    {"crete-1", {"crete-1", "crete"}}};
        m_profile.regions = {"attica", "crete"};
        m_profile.is_idempotent = true;
        m_target.name = "assistant";
        in_force.targets[m_target.name] = m_target;
        m_request.matched_profile = &m_profile;
        m_request.matched_target = &m_target;
        const time_point now = boot_clock::now();
        host_list listed;
        for (const char* name : {"attica-1-a", "crete-1-a"}) {
            host each;
            each.name = name;
            each.failure_domain = each.name.substr(0, each.name.size() - 2);
            each.dispatch_address = to_address(name);
            listed.hosts.push_back(each);
        }
        m_directory.apply(listed, now);
        m_directory.apply(in_force, now);
        m_router.apply(in_force);
        link::pong message;
        link::target_load& load = *message.add_loads();
        load.set_target(m_target.name);
        load.set_live_endpoints(2);
        for (const host& each : listed.hosts) {
            m_directory.on_pong(each.dispatch_address, 7, message, 1ms, now);
        }
        for (int i = 0; i < 100; ++i) {
            m_router.on_request();
        }
        messenger::options settings;
        settings.name = "attica-1-a/entry";
        auto opened = messenger::open(settings, [](received_message&&) {});
        REQUIRE(is_ok(opened));
        m_links = std::move(std::get<std::unique_ptr<messenger>>(opened));
    }

    /// Returns how the request ends if its attempts are refused one after another.
    /// @param may_have_run by attempt, as the dispatch process says
    refusal run(const std::vector<bool>& may_have_run)
    {
        std::size_t answered = 0;
        request_runner runner{{*m_links, m_exchanges, m_directory, m_router,
                               [&] {
                                   for (const auto& under_way : m_exchanges.all()) {
                                       refuse(*under_way, may_have_run.at(answered++));
                                   }
                                   return true;
                               }},
                              m_request,
                              "POST",
                              {},
                              {},
                              boot_clock::now() + 5s};
        const auto step = runner.next();
        CHECK(runner.attempts() == may_have_run.size());
        const auto* refused = std::get_if<refusal>(&step);
        REQUIRE(refused != nullptr);
        return *refused;
    }

private:
    static std::string to_address(const std::string& name)
    {
        return name == "attica-1-a" ? "127.0.0.1:1" : "127.0.0.2:1";
    }

    static void refuse(exchange& under_way, bool may_have_run)
    {
        link::dispatch_event event;
        event.set_kind(link::dispatch_event::kind_failed);
        event.set_ran(may_have_run);
        event.set_error_code(std::string(to_kind(refusal_code::endpoint_failed).name));
        under_way.deliver(std::move(event), 7, boot_clock::now());
    }

    profile m_profile;
    target m_target;
    admitted_request m_request;
    dispatch_directory m_directory{"attica-1-a", "attica-1", "127.0.0.1:1"};
    entry_router m_router{m_directory, "attica-1", 1};
    exchange_table m_exchanges;
    std::unique_ptr<messenger> m_links;
};

} // namespace

// guards against REFUSED: the caller is told "not run" by the last attempt, though an earlier one may
// have run
TEST_CASE("a refused request has not run only if none of its attempts may have run")
{
    CHECK(runner_fixture{}.run({false, false}).ran == ran_state::no);
    CHECK(runner_fixture{}.run({false, true}).ran == ran_state::unknown);
    CHECK(runner_fixture{}.run({true, true}).ran == ran_state::unknown);
    CHECK(runner_fixture{}.run({true, false}).ran == ran_state::unknown);
}
