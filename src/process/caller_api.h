#pragma once

#include "process/entry_context.h"

#include <span>        // span
#include <string_view> // string_view

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace hickorykeel {

/// One call of the callers' API.
struct caller_call {
    std::string_view method;
    std::string_view path; ///< `/v1/services/.*` stands for every path below it
};

/// The calls that callers make, as docs/API.md describes them.
///
/// Thread safety: `register_calls` once, before the server listens; the handlers run on the
/// server's threads.
class caller_api {
public:
    /// @param shared  outlives the server
    explicit caller_api(entry_context& shared) : m_shared(shared) {}

    /// All calls, in no particular order. Thread safe.
    [[nodiscard]] static std::span<const caller_call> calls() noexcept;

    /// Adds all calls to `server`.
    void register_calls(httplib::Server& server);

private:
    using answer = void (caller_api::*)(const httplib::Request&, httplib::Response&);

    [[nodiscard]] static answer answer_of(std::string_view path) noexcept;
    void answer_hosts(const httplib::Request& http, httplib::Response& response);
    void answer_models(const httplib::Request& http, httplib::Response& response);
    void answer_health(const httplib::Request& http, httplib::Response& response);
    void answer_readiness(const httplib::Request& http, httplib::Response& response);
    void answer_request(const httplib::Request& http, httplib::Response& response);

    entry_context& m_shared;
};

} // namespace hickorykeel
