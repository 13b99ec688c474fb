#pragma once

#include "gateway/http/http_client.h"
#include "gateway/http/http_server.h"
#include "process/clock.h"

#include <chrono>     // milliseconds
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr, unique_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include <asio/io_context.hpp>   // io_context
#include <asio/steady_timer.hpp> // steady_timer
#include <nlohmann/json.hpp>

namespace hickorykeel::standins {

/// An endpoint as the users' platform has them: answers by its own id, streams events, and keeps
/// a book of what it ran.
class endpoint_standin {
public:
    endpoint_standin(asio::io_context& loop, std::string id, std::string service,
                     std::string failure_domain, const std::string& address);

    /// Its entry in the store.
    [[nodiscard]] nlohmann::json entry() const;
    [[nodiscard]] const std::string& id() const noexcept { return m_id; }

    /// How often each attempt ran.
    [[nodiscard]] const std::map<std::string, int>& runs() const noexcept { return m_runs; }
    void set_state(std::string state) { m_state = std::move(state); }
    void set_events(int events) noexcept { m_events = events; }

    /// Sets whether requests run without a response; their connections stay open.
    void set_silent(bool is_silent) noexcept { m_is_silent = is_silent; }

    /// Sets whether the first event of streams and the bodies of other responses have no end; up to
    /// 128 MiB are sent.
    void set_endless(bool is_endless) noexcept { m_is_endless = is_endless; }

    /// Bytes of the longest response without an end.
    [[nodiscard]] std::size_t max_endless_bytes() const noexcept { return m_max_endless_bytes; }

    /// Sets for how long health responses say that it is cold; its entry doesn't.
    void set_cold_ms(int cold_ms) noexcept { m_cold_ms = cold_ms; }

    /// Names, in each response, the requests a second that it takes from all hosts together; 0 none.
    void set_limit(int per_s) noexcept { m_limit = per_s; }

    /// Arrivals of the requests that it ran, in order.
    [[nodiscard]] const std::vector<time_point>& arrivals() const noexcept { return m_arrivals; }

    /// Replaces the body of responses that are not streams.
    void set_body(std::string body) { m_body = std::move(body); }

    /// Ends the process: its connections and its listener are closed. Not to be called from a handler
    /// of a request.
    void crash();

    /// Starts the process again under its id and address, as another incarnation. Its entry in the
    /// store stays as it was. Precondition: it has crashed.
    void restart();

private:
    void open();
    void serve(const std::shared_ptr<gateway::server_exchange>& request);
    void send_endless(const std::shared_ptr<gateway::server_exchange>& request, std::size_t sent);
    void stream(const std::shared_ptr<gateway::server_exchange>& request, int next);

    asio::io_context& m_loop;
    std::string m_id;
    std::string m_service;
    std::string m_failure_domain;
    std::string m_address;
    std::string m_state = "ready";
    int m_events = 5;
    int m_cold_ms = 0;
    int m_limit = 0;
    bool m_is_silent = false;
    bool m_is_endless = false;
    std::size_t m_max_endless_bytes = 0;
    std::vector<std::shared_ptr<gateway::server_exchange>> m_unanswered;
    std::string m_body;
    std::uint64_t m_sequence = 0;
    std::int64_t m_started_ms = 1'700'000'000'000;
    std::map<std::string, int> m_runs;
    std::vector<time_point> m_arrivals;
    std::unique_ptr<gateway::http_server> m_server; ///< null while it has crashed
};

/// Answer that a caller has received.
struct world_answer {
    bool is_whole = false;
    bool has_ended = false;
    int status = 0;
    std::string body;
};

/// The users' platform on one event loop: its store, endpoints, and a caller.
///
/// Thread safety: none; one thread uses it and runs its loop.
class platform_world {
public:
    explicit platform_world(const std::string& store_address);

    /// The loop, for endpoints with faults of their own.
    [[nodiscard]] asio::io_context& loop() noexcept { return m_loop; }

    /// @name store
    /// @{
    void put(const std::string& key, const nlohmann::json& value);
    void remove(const std::string& key);

    /// Keeps a copy of the store's contents and history as they are now.
    void copy_store();

    /// Restores the store from the last copy: what was written since is lost, and its revisions are
    /// given out again. The era that all responses name rises.
    void restore_store();

    /// Sets whether responses name the era.
    void set_names_era(bool names_era) noexcept { m_names_era = names_era; }

    /// Turns every reader away with 503, or serves again.
    void set_refusing(bool refuses) noexcept { m_refuses = refuses; }

    /// Number of calls so far, without watches that wait.
    [[nodiscard]] std::uint64_t reads() const noexcept { return m_reads; }
    /// @}

    /// Adds an endpoint and its entry.
    endpoint_standin& add_endpoint(const std::string& id, const std::string& service,
                                   const std::string& failure_domain, const std::string& address);

    /// Writes an endpoint's entry again.
    void beat(const endpoint_standin& endpoint);

    /// Sends a request; the answer grows while the loop runs.
    std::shared_ptr<world_answer> ask(const std::string& address, const std::string& method,
                                      const std::string& target,
                                      const std::map<std::string, std::string>& headers,
                                      const std::string& body = {});

    /// Runs the loop until `is_done`, or for a minute. @return whether it came true
    bool run_until(const std::function<bool()>& is_done);

private:
    /// Contents and history of the store.
    struct store_state {
        std::map<std::string, nlohmann::json> items; ///< by key: the item as the store shows it
        std::vector<nlohmann::json> events;          ///< in the order of their revisions
        std::uint64_t revision = 0;
    };

    /// A watch without an event so far.
    struct waiting_watch {
        std::string prefix;
        std::uint64_t after = 0;
        std::shared_ptr<gateway::server_exchange> request;
        std::shared_ptr<asio::steady_timer> timer; ///< end of its wait
    };

    void serve_store(const std::shared_ptr<gateway::server_exchange>& request);
    void serve_watch(const std::shared_ptr<gateway::server_exchange>& request);
    void wait(waiting_watch watch, duration max_wait);
    void answer_watches();
    void cut_watches();
    [[nodiscard]] gateway::header_list store_headers() const;
    [[nodiscard]] nlohmann::json range(const std::string& target) const;
    [[nodiscard]] nlohmann::json changes(const std::string& prefix, std::uint64_t after) const;

    asio::io_context m_loop{1};
    gateway::http_server m_store;
    gateway::http_client m_caller;
    store_state m_state;
    store_state m_copy;
    std::uint64_t m_era = 1;
    bool m_names_era = true;
    std::uint64_t m_reads = 0;
    bool m_refuses = false;
    std::vector<waiting_watch> m_watches;
    std::vector<std::unique_ptr<endpoint_standin>> m_endpoints;
};

} // namespace hickorykeel::standins
