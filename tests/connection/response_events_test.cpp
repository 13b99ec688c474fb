#include "connection/response_events.h"

#include <condition_variable> // condition_variable
#include <mutex>              // mutex, unique_lock

#include <doctest/doctest.h>

using namespace hickorykeel;

namespace {

constexpr auto test_timeout = std::chrono::seconds{30};
constexpr std::uint64_t used_tokens = 7;

/// An entry process that sends one request, and a dispatch process that replies over the link.
class linked_processes {
public:
    linked_processes()
    {
        m_dispatch = open("a/dispatch", [this](received_message&& request) {
            const std::lock_guard lock(m_mutex);
            m_route = request.route;
            m_changed.notify_all();
        });
        m_entry = open("a/entry", [this](received_message&& reply) {
            const std::lock_guard lock(m_mutex);
            m_events.push_back(reply.message.dispatch_event());
            m_changed.notify_all();
        });
        link::envelope request;
        request.mutable_dispatch_request();
        m_entry->send_request(m_dispatch->listen_address(), std::move(request));
        std::unique_lock lock(m_mutex);
        REQUIRE(m_changed.wait_for(lock, test_timeout, [this] { return !m_route.empty(); }));
        sender.emplace(*m_dispatch, m_route, 1);
    }

    /// Returns all events up to the first one of kind `last`.
    std::vector<link::dispatch_event> events_until(link::dispatch_event::kind_t last)
    {
        std::unique_lock lock(m_mutex);
        REQUIRE(m_changed.wait_for(lock, test_timeout, [&] {
            return !m_events.empty() && m_events.back().kind() == last;
        }));
        return m_events;
    }

    std::optional<event_sender> sender;

private:
    static std::unique_ptr<messenger> open(const std::string& name, messenger::handler handler)
    {
        auto opened = messenger::open({name, "127.0.0.1:0", {}, 0}, std::move(handler));
        REQUIRE(is_ok(opened));
        return std::move(std::get<0>(opened));
    }

    std::mutex m_mutex; // guards the three below
    std::condition_variable m_changed;
    std::string m_route;
    std::vector<link::dispatch_event> m_events;
    std::unique_ptr<messenger> m_dispatch;
    std::unique_ptr<messenger> m_entry;
};

std::vector<link::header> make_headers()
{
    link::header type;
    type.set_name("Content-Type");
    type.set_value("application/json");
    return {type};
}

} // namespace

TEST_CASE("events of a response")
{
    using event_t = link::dispatch_event;
    linked_processes processes;

    SUBCASE("a short response is sent as one event if the receiver accepts that")
    {
        response_events response{*processes.sender, "engine-1", true};
        response.on_head(200, make_headers());
        response.on_data("{\"a\":");
        response.on_data("1}");
        response.on_end(used_tokens);
        const auto events = processes.events_until(event_t::kind_end);
        REQUIRE(events.size() == 1);
        CHECK(events[0].sequence() == 0);
        CHECK(events[0].status() == 200);
        CHECK(events[0].headers(0).value() == "application/json");
        CHECK(events[0].data() == "{\"a\":1}");
        CHECK(events[0].endpoint() == "engine-1");
        CHECK(events[0].used_tokens() == used_tokens);
    }
    SUBCASE("another receiver gets head, data and end as events of their own")
    {
        response_events response{*processes.sender, "engine-1", false};
        response.on_head(200, make_headers());
        response.on_data("data");
        response.on_end(used_tokens);
        const auto events = processes.events_until(event_t::kind_end);
        REQUIRE(events.size() == 3);
        CHECK(events[0].kind() == event_t::kind_head);
        CHECK(events[0].status() == 200);
        CHECK(events[1].data() == "data");
        CHECK(events[2].status() == 0);
        CHECK(events[2].data().empty());
    }
    SUBCASE("a response that exceeds the buffer is sent in order")
    {
        const std::string half(response_events::maximum_buffered_bytes / 2, 'a');
        response_events response{*processes.sender, "engine-1", true};
        response.on_head(200, make_headers());
        response.on_data(half);
        response.on_data(half);
        response.on_data("b");
        response.on_data("c");
        response.on_end(0);
        const auto events = processes.events_until(event_t::kind_end);
        REQUIRE(events.size() == 5);
        CHECK(events[0].kind() == event_t::kind_head);
        CHECK(events[0].data().empty());
        CHECK(events[1].data() == half + half);
        CHECK(events[2].data() == "b");
        CHECK(events[3].data() == "c");
        CHECK(events[4].status() == 0);
    }
    SUBCASE("flushing sends the part that arrived before a failure")
    {
        response_events response{*processes.sender, "engine-1", true};
        response.on_head(200, make_headers());
        response.on_data("part");
        response.flush();
        const auto events = processes.events_until(event_t::kind_data);
        REQUIRE(events.size() == 2);
        CHECK(events[0].kind() == event_t::kind_head);
        CHECK(events[1].data() == "part");
    }
}
