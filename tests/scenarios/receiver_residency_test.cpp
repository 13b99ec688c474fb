#include "connection/messenger.h"
#include "support/fleet.h"
#include "support/wait_for.h"

#include <mutex>    // mutex
#include <optional> // optional

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::tests;

namespace {

/// A process that hands requests to dispatch processes past every check of an entry process.
class stranger {
public:
    stranger()
    {
        auto opened = messenger::open({"stranger", "", {}, 0}, [this](received_message&& received) {
            const std::lock_guard lock(m_mutex);
            const link::envelope& message = received.message;
            const bool is_wanted =
                message.has_dispatch_event() && message.correlation() == m_correlation &&
                message.dispatch_event().kind() != link::dispatch_event::kind_accepted;
            if (is_wanted && !m_first) {
                m_first = message.dispatch_event();
            }
        });
        REQUIRE(is_ok(opened));
        m_links = std::move(std::get<0>(opened));
    }

    /// The first event of a kind other than `accepted` that comes back.
    std::optional<link::dispatch_event> send(const std::string& address,
                                             const link::dispatch_request& request)
    {
        link::envelope message;
        {
            const std::lock_guard lock(m_mutex);
            m_first.reset();
            message.set_correlation(++m_correlation);
        }
        *message.mutable_dispatch_request() = request;
        m_links->send_request(address, std::move(message));
        std::optional<link::dispatch_event> answer;
        wait_for([&] {
            const std::lock_guard lock(m_mutex);
            answer = m_first;
            return answer.has_value();
        });
        return answer;
    }

private:
    std::mutex m_mutex; // guards m_first and m_correlation
    std::optional<link::dispatch_event> m_first;
    std::uint64_t m_correlation = 0;
    std::unique_ptr<messenger> m_links;
};

link::dispatch_request make_request(const fleet& running, const std::string& profile)
{
    link::dispatch_request request;
    request.set_organisation("volunteers");
    request.set_key_digest(
        running.entries()["organisations/volunteers"]["key_digests"][0].get<std::string>());
    request.set_profile(profile);
    request.set_target("assistant");
    request.set_method("POST");
    request.set_path("/v1/chat/completions");
    request.set_body(R"({"model":"assistant","messages":[{"role":"user","content":"hello"}]})");
    request.set_maximum_age_ms(5000);
    request.set_deadline_ms(10'000);
    request.set_idempotent(true);
    request.set_interactive(true);
    request.set_reserved_tokens(10);
    return request;
}

} // namespace

TEST_CASE("a dispatch process does not run what its region may not see")
{
    fleet running;
    REQUIRE(running.start().empty());
    stranger sender;
    for (const fleet_host& each : running.hosts()) {
        const auto request = make_request(running, "visit-summary-crete");
        const auto answer = sender.send(each.dispatch_address, request);
        INFO(each.name);
        REQUIRE(answer);
        INFO(answer->ShortDebugString());
        if (each.failure_domain == "crete-1") {
            CHECK(answer->kind() == link::dispatch_event::kind_head);
            continue;
        }
        CHECK(answer->kind() == link::dispatch_event::kind_failed);
        CHECK_FALSE(answer->ran());
        CHECK(answer->error_step() == "residency");
    }
}
