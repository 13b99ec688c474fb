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

constexpr auto test_timeout = std::chrono::seconds{30};
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

    SUBCASE("a request is received and its reply returned to the sender")
    {
        const auto server = open_messenger("a/entry", server_inbox);
        const auto client = open_messenger("b/entry", client_inbox);
        client->send_request(server->listen_address(), make_ping(5));
        auto request = server_inbox.next(test_timeout);
        REQUIRE(request);
        CHECK(request->message.sender() == "b/entry");
        CHECK(request->message.incarnation() == client->incarnation());
        CHECK_FALSE(request->maximum_age);
        server->send_reply(request->route, make_ping(5));
        auto reply = client_inbox.next(test_timeout);
        REQUIRE(reply);
        CHECK(reply->peer == server->listen_address());
        REQUIRE(reply->maximum_age);
        CHECK(*reply->maximum_age >= duration::zero());

        client->send_request(server->listen_address(), make_ping(6));
        request = server_inbox.next(test_timeout);
        REQUIRE(request);
        CHECK(request->maximum_age);
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

    SUBCASE("with keys, only messages of members of the fleet are received")
    {
        const link_keys fleet = make_keys();
        const auto server = open_messenger("a/entry", server_inbox, fleet);
        const auto outsider = open_messenger("s/entry", client_inbox, make_keys());
        outsider->send_request(server->listen_address(), make_ping(1));
        const auto plain = open_messenger("p/entry", client_inbox);
        plain->send_request(server->listen_address(), make_ping(2));
        CHECK_FALSE(server_inbox.next(short_wait));
        const auto member = open_messenger("b/entry", client_inbox, fleet);
        member->send_request(server->listen_address(), make_ping(3));
        const auto request = server_inbox.next(test_timeout);
        REQUIRE(request);
        CHECK(request->message.correlation() == 3);
    }
}

TEST_CASE("no received message stays unread while several threads send")
{
    constexpr std::uint64_t threads = 4;
    constexpr std::uint64_t rounds = 2'000;
    std::mutex mutex; // guards the two below
    std::condition_variable changed;
    std::array<std::uint64_t, threads> received_replies{};
    std::unique_ptr<messenger> server;
    // replies from within the handler, as some processes do
    auto opened =
        messenger::open({"a/entry", "127.0.0.1:0", {}, 0}, [&](received_message&& request) {
            link::envelope reply;
            reply.set_correlation(request.message.correlation());
            server->send_reply(request.route, std::move(reply));
        });
    REQUIRE(is_ok(opened));
    server = std::move(std::get<0>(opened));
    auto opened_client = messenger::open({"b/entry", "", {}, 0}, [&](received_message&& reply) {
        const std::lock_guard lock(mutex);
        ++received_replies.at(reply.message.correlation());
        changed.notify_all();
    });
    REQUIRE(is_ok(opened_client));
    const auto client = std::move(std::get<0>(opened_client));
    std::atomic<bool> has_lost_reply{false};
    std::vector<std::jthread> senders;
    for (std::uint64_t sender = 0; sender < threads; ++sender) {
        senders.emplace_back([&, sender] {
            for (std::uint64_t round = 1; round <= rounds && !has_lost_reply; ++round) {
                client->send_request(server->listen_address(), make_ping(sender));
                std::unique_lock lock(mutex);
                if (!changed.wait_for(lock, test_timeout,
                                      [&] { return received_replies[sender] == round; })) {
                    has_lost_reply = true;
                }
            }
        });
    }
    senders.clear(); // joins
    CHECK_FALSE(has_lost_reply);
}
