#pragma once

#include "gateway/http/message.h"
#include "gateway/http/message_parser.h"
#include "gateway/http/tcp_channel.h"
#include "standins/gateway/platform_world.h"

#include <cstddef>     // size_t
#include <cstdint>     // uint8_t, uint64_t
#include <functional>  // function
#include <map>         // map
#include <memory>      // shared_ptr, weak_ptr
#include <random>      // mt19937_64
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <asio/ip/tcp.hpp>       // tcp
#include <asio/steady_timer.hpp> // steady_timer

namespace hickorykeel::standins {

/// An endpoint of a plain service that refuses some requests, and later sends copies of such
/// refusals on the connections of the refused requests.
///
/// A refusal is 503 or 429 with the statement that the request hasn't run, or 421 for a request to
/// a former incarnation at the address. The copy of a refusal is sent at one of three times, chosen
/// at random: when its id comes again, when the next request comes on the same connection, or a
/// little later, whatever the connection does then. A request that meets a copy runs, and its own
/// response follows the copy.
///
/// Thread safety: none; it is used on the thread of the world's loop. The world must outlive it.
class repeating_endpoint {
public:
    /// What happened so far, in requests and responses.
    struct counts {
        std::size_t rejected = 0;    ///< 503 or 429
        std::size_t misdirected = 0; ///< 421
        std::size_t returned = 0;    ///< requests with an id that was refused here before
        std::size_t copies = 0;      ///< of refusals
        std::size_t matched = 0;     ///< copies sent while the same id ran on the same connection
        std::size_t interjected = 0; ///< copies sent while another id ran on the same connection
    };

    /// Listens at `address` and lists the first incarnation. Aborts if the address is in use.
    repeating_endpoint(platform_world& world, std::string name, std::string service,
                       std::string failure_domain, const std::string& address, std::uint64_t seed);

    repeating_endpoint(const repeating_endpoint&) = delete;
    repeating_endpoint& operator=(const repeating_endpoint&) = delete;
    repeating_endpoint(repeating_endpoint&&) = delete;
    repeating_endpoint& operator=(repeating_endpoint&&) = delete;

    /// Closes all connections.
    ~repeating_endpoint();

    /// Goes on as another incarnation, which is listed. Its connections stay open. The entry of the
    /// incarnation before it stays until the next restart, as hosts read the store late.
    void restart();

    /// How often each attempt ran.
    [[nodiscard]] const std::map<std::string, int>& runs() const noexcept { return m_runs; }
    [[nodiscard]] const counts& events() const noexcept { return m_counts; }

private:
    struct connection;

    enum class copy_time : std::uint8_t { on_return, on_next_request, later };

    /// The copy of a refusal that is still to be sent.
    struct held_copy {
        std::weak_ptr<connection> of;
        std::string id;
        std::string bytes;
        copy_time when;
    };

    void accept();
    void serve(asio::ip::tcp::socket socket);
    void on_bytes(const std::shared_ptr<connection>& from, std::string_view bytes);
    void on_request(const std::shared_ptr<connection>& from, const gateway::message_head& head);
    void run(const std::shared_ptr<connection>& from, const std::string& id);
    void refuse(const std::shared_ptr<connection>& from, const std::string& id, int status);
    void send_due_copies(const std::shared_ptr<connection>& from, const std::string& id);
    void send_copy(const held_copy& copy);
    void after(int milliseconds, std::function<void()> action);
    [[nodiscard]] std::string incarnation(int number) const;
    [[nodiscard]] gateway::header_list headers(const std::string& id) const;
    int random(int last); ///< 0 to `last`

    platform_world& m_world;
    std::string m_name;
    std::string m_service;
    std::string m_failure_domain;
    std::string m_address;
    std::mt19937_64 m_random;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::vector<held_copy> m_held;
    std::map<std::string, int> m_refusals; // by id
    std::map<std::string, int> m_runs;
    counts m_counts;
    int m_incarnation = 0;
    std::shared_ptr<bool> m_lives = std::make_shared<bool>(true); // for timers
};

} // namespace hickorykeel::standins
