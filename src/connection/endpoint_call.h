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

/// One call to one endpoint over a connection of its own. No library repeats it, and the
/// connection is not used again.
///
/// Thread safety: `run` once, from one thread; `cancel` from any thread.
class endpoint_call {
public:
    /// Status and headers of the answer. False ends the call.
    using head_handler = std::function<bool(int status, const std::vector<link::header>&)>;
    /// Bytes of the answer's body. False ends the call.
    using data_handler = std::function<bool(const char* bytes, std::size_t size)>;

    /// The answer is whole.
    struct is_whole {
        std::uint64_t used_tokens = 0; ///< as reported by a model engine; 0: not reported
    };
    /// The answer is missing or cut.
    struct has_failed {
        error why;
        bool may_have_run = true; ///< false: no byte was handed to the socket
    };
    using outcome = std::variant<is_whole, has_failed>;

    /// What the endpoint knows a call by.
    struct identity {
        std::string request_id;  ///< X-Request-Id, the same for each attempt
        std::string traceparent; ///< empty: none is sent
    };

    endpoint_call(const endpoint& where, target_kind kind);
    endpoint_call(const endpoint_call&) = delete;
    endpoint_call& operator=(const endpoint_call&) = delete;
    endpoint_call(endpoint_call&&) = delete;
    endpoint_call& operator=(endpoint_call&&) = delete;
    ~endpoint_call();

    /// How endpoints with TLS are verified. Call before `run`.
    void set_tls(const tls_settings& files);

    /// Sends the request and passes on its answer. Blocks until the end.
    /// @param budget  longest time for the whole call
    outcome run(const link::dispatch_request& request, const identity& known_by,
                std::chrono::milliseconds budget, const head_handler& on_head,
                const data_handler& on_data);

    /// Ends the call early; the connection closes, which frees the endpoint.
    void cancel();

private:
    endpoint m_where;
    target_kind m_kind;
    std::mutex m_mutex; // guards m_client's life and m_is_cancelled
    std::unique_ptr<httplib::Client> m_client;
    bool m_is_cancelled = false;
};

} // namespace hickorykeel
