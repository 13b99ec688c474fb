#include "process/admission_actor.h"

#include <chrono>   // seconds
#include <memory>   // make_shared, make_unique
#include <mutex>    // lock_guard
#include <optional> // optional
#include <string>   // string
#include <thread>   // sleep_for

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 30s;
constexpr auto tick_interval = 50ms;

configuration_ptr make_configuration()
{
    auto published = std::make_shared<configuration>();
    published->revision = 1;
    published->failure_domains["a"] = {"a", "a"};
    published->organisations["volunteers"] = {"volunteers", "a", 1000, 2000, {}};
    return published;
}

host_list_ptr make_list()
{
    auto list = std::make_shared<host_list>();
    list->revision = 1;
    list->hosts.push_back({"a1", "a", host_state::live, {}, {}, {}, {}});
    return list;
}

/// The actor of a host with the only share, and its limiter.
class admission_desk {
public:
    admission_desk()
    {
        auto opened = messenger::open({"a1/entry", "", {}, 0}, [](received_message&&) {});
        REQUIRE(is_ok(opened));
        m_links = std::move(std::get<0>(opened));
        limiter_options options;
        options.waits_after_start = false;
        desk.limits = std::make_unique<limiter>("a1", "a", 1, options, boot_clock::now());
        desk.limits->apply(make_configuration(), boot_clock::now());
        actor = m_actors.spawn<caf::detached>(admission_actor, m_links.get(), &desk, "a1",
                                              &is_accruing);
        caf::anon_send(actor, admission::new_hosts{make_list()});
    }

    admission_desk(const admission_desk&) = delete;
    admission_desk& operator=(const admission_desk&) = delete;
    admission_desk(admission_desk&&) = delete;
    admission_desk& operator=(admission_desk&&) = delete;

    ~admission_desk()
    {
        caf::scoped_actor self{m_actors};
        self->send_exit(actor, caf::exit_reason::user_shutdown);
        self->wait_for(actor);
        actor = nullptr; // its thread ends with the last handle
    }

    reservation_result reserve(double tokens)
    {
        const std::lock_guard lock(desk.mutex);
        return desk.limits->reserve({"volunteers"}, tokens, boot_clock::now());
    }

    std::optional<admission::reserve_result> await(reservation_result begun)
    {
        std::optional<admission::reserve_result> answered;
        caf::scoped_actor self{m_actors};
        self->request(actor, patience, admission::await{std::move(begun)})
            .receive([&](const admission::reserve_result& result) { answered = result; },
                     [](const caf::error&) {});
        return answered;
    }

    limit_desk desk;
    std::atomic<bool> is_accruing{false};
    caf::actor actor;

private:
    caf::actor_system_config m_settings;
    caf::actor_system m_actors{m_settings};
    std::unique_ptr<messenger> m_links;
};

} // namespace

TEST_CASE("admission actor")
{
    admission_desk admission;
    reservation_result begun = admission.reserve(1500);
    REQUIRE(begun.state == reservation_state::waiting);

    SUBCASE("a reservation that waits is answered when it ends")
    {
        CHECK(admission.await(begun).has_value());
    }
    SUBCASE("so is one that ended before the actor heard of it")
    {
        // many of the actor's ticks, of which one ends what waits
        std::this_thread::sleep_for(40 * tick_interval);
        CHECK(admission.await(begun).has_value());
    }
}
