#include "connection/messenger.h"

#include <array>              // array
#include <atomic>             // atomic
#include <condition_variable> // condition_variable
#include <deque>              // deque
#include <mutex>              // mutex
#include <thread>             // jthread
#include <vector>             // vector

#include <doctest/doctest.h>
#include <zmq.hpp>

using namespace hickorykeel;

namespace {

constexpr auto patience = std::chrono::seconds{30};
constexpr auto short_wait = std::chrono::milliseconds{300};

class inbox {
public:
    messenger::handler handler()
    {
        return [this](received_message&& message) {
            const std::lock_guard lock(m_mutex);
            m_messages.push_back(std::move(message));
            m_changed.notify_all();
        };
    }

    std::optional<received_message> next(std::chrono::milliseconds limit)
    {
        std::unique_lock lock(m_mutex);
        if (!m_changed.wait_for(lock, limit, [this] { return !m_messages.empty(); })) {
            return std::nullopt;
        }
        received_message message = std::move(m_messages.front());
        m_messages.pop_front();
        return message;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<received_message> m_messages;
};

std::unique_ptr<messenger> open_messenger(const std::string& name, inbox& messages,
                                          const link_keys& keys = {})
{
    auto opened = messenger::open({name, "127.0.0.1:0", keys, 0}, messages.handler());
    REQUIRE(is_ok(opened));
    return std::move(std::get<0>(opened));
}

link::envelope make_ping(std::uint64_t correlation)
{
    link::envelope message;
    message.set_correlation(correlation);
    message.mutable_ping()->set_configuration_revision(7);
    return message;
}

link_keys make_keys()
{
    std::string public_key(41, '\0');
    std::string secret_key(41, '\0');
    zmq_curve_keypair(public_key.data(), secret_key.data());
    return {public_key.substr(0, 40), secret_key.substr(0, 40), {}};
}

} // namespace

TEST_CASE("messenger")
{
    inbox server_inbox;
    inbox client_inbox;

    SUBCASE("a question arrives and its answer returns to the asker")
    {
        const auto server = open_messenger("a/entry", server_inbox);
        const auto client = open_messenger("b/entry", client_inbox);
        client->ask(server->listen_address(), make_ping(5));
        auto question = server_inbox.next(patience);
        REQUIRE(question);
        CHECK(question->message.sender() == "b/entry");
        CHECK(question->message.incarnation() == client->incarnation());
        CHECK_FALSE(question->maximum_age);
        server->answer(question->route, make_ping(5));
        auto answer = client_inbox.next(patience);
        REQUIRE(answer);
        CHECK(answer->peer == server->listen_address());
        REQUIRE(answer->maximum_age);
        CHECK(*answer->maximum_age >= duration::zero());

        client->ask(server->listen_address(), make_ping(6));
        question = server_inbox.next(patience);
        REQUIRE(question);
        CHECK(question->maximum_age);
    }

    SUBCASE("an address in use is an error with step and peer")
    {
        const auto server = open_messenger("a/entry", server_inbox);
        const auto second =
            messenger::open({"b/entry", server->listen_address(), {}, 0}, client_inbox.handler());
        REQUIRE_FALSE(is_ok(second));
        CHECK(std::get<error>(second).kind == error_kind::link_unreachable);
        CHECK(std::get<error>(second).peer == server->listen_address());
    }

    SUBCASE("with keys, members of the fleet talk and strangers are not heard")
    {
        const link_keys fleet = make_keys();
        const auto server = open_messenger("a/entry", server_inbox, fleet);
        const auto stranger = open_messenger("s/entry", client_inbox, make_keys());
        stranger->ask(server->listen_address(), make_ping(1));
        const auto plain = open_messenger("p/entry", client_inbox);
        plain->ask(server->listen_address(), make_ping(2));
        CHECK_FALSE(server_inbox.next(short_wait));
        const auto member = open_messenger("b/entry", client_inbox, fleet);
        member->ask(server->listen_address(), make_ping(3));
        const auto question = server_inbox.next(patience);
        REQUIRE(question);
        CHECK(question->message.correlation() == 3);
    }
}

TEST_CASE("messages sent by several threads hide none that arrives")
{
    constexpr std::uint64_t threads = 4;
    constexpr std::uint64_t rounds = 2'000;
    std::mutex mutex; // guards the two below
    std::condition_variable changed;
    std::array<std::uint64_t, threads> answered{};
    std::unique_ptr<messenger> server;
    // answers from within the handler, as some processes do
    auto opened = messenger::open({"a/entry", "127.0.0.1:0", {}, 0}, [&](received_message&& asked) {
        link::envelope answer;
        answer.set_correlation(asked.message.correlation());
        server->answer(asked.route, std::move(answer));
    });
    REQUIRE(is_ok(opened));
    server = std::move(std::get<0>(opened));
    auto opened_client = messenger::open({"b/entry", "", {}, 0}, [&](received_message&& answer) {
        const std::lock_guard lock(mutex);
        ++answered.at(answer.message.correlation());
        changed.notify_all();
    });
    REQUIRE(is_ok(opened_client));
    const auto client = std::move(std::get<0>(opened_client));
    std::atomic<bool> is_any_lost{false};
    std::vector<std::jthread> askers;
    for (std::uint64_t asker = 0; asker < threads; ++asker) {
        askers.emplace_back([&, asker] {
            for (std::uint64_t round = 1; round <= rounds && !is_any_lost; ++round) {
                client->ask(server->listen_address(), make_ping(asker));
                std::unique_lock lock(mutex);
                if (!changed.wait_for(lock, patience, [&] { return answered[asker] == round; })) {
                    is_any_lost = true;
                }
            }
        });
    }
    askers.clear(); // joins
    CHECK_FALSE(is_any_lost);
}
