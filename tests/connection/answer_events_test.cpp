#include "connection/answer_events.h"

#include <condition_variable> // condition_variable
#include <mutex>              // mutex, unique_lock

#include <doctest/doctest.h>

using namespace hickorykeel;

namespace {

constexpr auto patience = std::chrono::seconds{30};
constexpr std::uint64_t used_tokens = 7;

/// An entry process that asks once, and a dispatch process that answers over the link.
class answered_question {
public:
    answered_question()
    {
        m_dispatch = open("a/dispatch", [this](received_message&& question) {
            const std::lock_guard lock(m_mutex);
            m_route = question.route;
            m_changed.notify_all();
        });
        m_entry = open("a/entry", [this](received_message&& answer) {
            const std::lock_guard lock(m_mutex);
            m_events.push_back(answer.message.dispatch_event());
            m_changed.notify_all();
        });
        link::envelope question;
        question.mutable_dispatch_request();
        m_entry->ask(m_dispatch->listen_address(), std::move(question));
        std::unique_lock lock(m_mutex);
        REQUIRE(m_changed.wait_for(lock, patience, [this] { return !m_route.empty(); }));
        sender.emplace(*m_dispatch, m_route, 1);
    }

    /// All events up to the one of `last` kind.
    std::vector<link::dispatch_event> events_until(link::dispatch_event::kind_t last)
    {
        std::unique_lock lock(m_mutex);
        REQUIRE(m_changed.wait_for(
            lock, patience, [&] { return !m_events.empty() && m_events.back().kind() == last; }));
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

TEST_CASE("answer events")
{
    using event_t = link::dispatch_event;
    answered_question question;

    SUBCASE("a short answer goes as one event where it is taken whole")
    {
        answer_events answer{*question.sender, "engine-1", true};
        answer.on_head(200, make_headers());
        answer.on_data("{\"a\":");
        answer.on_data("1}");
        answer.on_end(used_tokens);
        const auto events = question.events_until(event_t::kind_end);
        REQUIRE(events.size() == 1);
        CHECK(events[0].sequence() == 0);
        CHECK(events[0].status() == 200);
        CHECK(events[0].headers(0).value() == "application/json");
        CHECK(events[0].data() == "{\"a\":1}");
        CHECK(events[0].endpoint() == "engine-1");
        CHECK(events[0].used_tokens() == used_tokens);
    }
    SUBCASE("a receiver that does not say so gets head, data and end")
    {
        answer_events answer{*question.sender, "engine-1", false};
        answer.on_head(200, make_headers());
        answer.on_data("data");
        answer.on_end(used_tokens);
        const auto events = question.events_until(event_t::kind_end);
        REQUIRE(events.size() == 3);
        CHECK(events[0].kind() == event_t::kind_head);
        CHECK(events[0].status() == 200);
        CHECK(events[1].data() == "data");
        CHECK(events[2].status() == 0);
        CHECK(events[2].data().empty());
    }
    SUBCASE("an answer that grows long is passed on in its order")
    {
        const std::string half(answer_events::maximum_held_bytes / 2, 'a');
        answer_events answer{*question.sender, "engine-1", true};
        answer.on_head(200, make_headers());
        answer.on_data(half);
        answer.on_data(half);
        answer.on_data("b");
        answer.on_data("c");
        answer.on_end(0);
        const auto events = question.events_until(event_t::kind_end);
        REQUIRE(events.size() == 5);
        CHECK(events[0].kind() == event_t::kind_head);
        CHECK(events[0].data().empty());
        CHECK(events[1].data() == half + half);
        CHECK(events[2].data() == "b");
        CHECK(events[3].data() == "c");
        CHECK(events[4].status() == 0);
    }
    SUBCASE("what came before a failure is passed on")
    {
        answer_events answer{*question.sender, "engine-1", true};
        answer.on_head(200, make_headers());
        answer.on_data("part");
        answer.flush();
        const auto events = question.events_until(event_t::kind_data);
        REQUIRE(events.size() == 2);
        CHECK(events[0].kind() == event_t::kind_head);
        CHECK(events[1].data() == "part");
    }
}
