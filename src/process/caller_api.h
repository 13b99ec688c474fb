#pragma once

#include "process/entry_context.h"

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace hickorykeel {

/// The calls that callers make, as docs/API.md describes them.
///
/// Thread safety: `register_calls` once, before the server listens; the handlers run on the
/// server's threads.
class caller_api {
public:
    /// @param shared  outlives the server
    explicit caller_api(entry_context& shared) : m_shared(shared) {}

    /// Adds all calls to `server`.
    void register_calls(httplib::Server& server);

private:
    void answer_hosts(const httplib::Request& http, httplib::Response& response);
    void answer_models(const httplib::Request& http, httplib::Response& response);
    void answer_health(httplib::Response& response);
    void answer_readiness(httplib::Response& response);
    void answer_request(const httplib::Request& http, httplib::Response& response);

    entry_context& m_shared;
};

} // namespace hickorykeel
