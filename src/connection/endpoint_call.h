#pragma once

#include "connection/tls_settings.h"
#include "generated/link.pb.h"
#include "process/error.h"
#include "version/configuration.h"

#include <chrono>     // milliseconds
#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // unique_ptr
#include <mutex>      // mutex
#include <string>     // string
#include <variant>    // variant
#include <vector>     // vector

namespace httplib {
class Client;
}

namespace hickorykeel {

/// One call to one endpoint over a connection of its own, which is not reused. The HTTP library
/// never retries it.
///
/// Thread safety: `run` once, from one thread; `cancel` from any thread.
class endpoint_call {
public:
    /// Receives status and headers of the response. Returning false ends the call.
    using head_handler = std::function<bool(int status, const std::vector<link::header>&)>;
    /// Receives bytes of the response's body. Returning false ends the call.
    using data_handler = std::function<bool(const char* bytes, std::size_t size)>;

    /// The response is complete.
    struct completed {
        std::uint64_t used_tokens = 0; ///< as reported by a model engine; 0: not reported
    };
    /// There is no response, or it is incomplete.
    struct failed {
        error why;
        bool may_have_run = true; ///< false: no byte was passed to the socket
    };
    using outcome = std::variant<completed, failed>;

    /// Identifiers that are sent to the endpoint.
    struct identity {
        std::string request_id;  ///< X-Request-Id, the same for all attempts
        std::string traceparent; ///< empty: none is sent
    };

    endpoint_call(const endpoint& where, target_kind kind);
    endpoint_call(const endpoint_call&) = delete;
    endpoint_call& operator=(const endpoint_call&) = delete;
    endpoint_call(endpoint_call&&) = delete;
    endpoint_call& operator=(endpoint_call&&) = delete;
    ~endpoint_call();

    /// Sets how endpoints with TLS are verified. Precondition: `run` was not called.
    void set_tls(const tls_settings& files);

    /// Sends the request and passes its response to the handlers. Blocks until the call ends.
    /// @param budget  time limit of the whole call
    outcome run(const link::dispatch_request& request, const identity& identifiers,
                std::chrono::milliseconds budget, const head_handler& on_head,
                const data_handler& on_data);

    /// Ends the call early by closing the connection, so that the endpoint stops working on it.
    void cancel();

private:
    endpoint m_where;
    target_kind m_kind;
    std::mutex m_mutex; // guards m_is_cancelled and the settings of m_client
    std::unique_ptr<httplib::Client> m_client;
    bool m_is_cancelled = false;
};

} // namespace hickorykeel
