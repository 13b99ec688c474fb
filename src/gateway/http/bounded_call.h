#pragma once

#include "gateway/http/body_buffer.h"
#include "gateway/http/http_client.h"
#include "process/clock.h"

#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // enable_shared_from_this, shared_ptr
#include <string>     // string
#include <variant>    // variant

#include <asio/io_context.hpp>   // io_context
#include <asio/steady_timer.hpp> // steady_timer

namespace hickorykeel::gateway {

/// Complete response to a `bounded_call`.
struct whole_response {
    message_head head;
    std::string body;
};

/// Why a `bounded_call` got no complete response.
struct bounded_call_failure {
    std::string message;
    bool is_too_large = false; ///< the response
};

/// Options of a `bounded_call`.
struct bounded_call_options {
    std::string address; ///< "ip:port"
    duration connect_timeout{0};
    duration timeout{0};       ///< until the response is complete
    std::size_t max_bytes = 0; ///< of the response's body
};

/// A GET request whose response is received whole, within a time and a size.
///
/// Thread safety: none; used on the loop's thread only.
class bounded_call : public std::enable_shared_from_this<bounded_call> {
public:
    using handler = std::function<void(std::variant<whole_response, bounded_call_failure>)>;

    bounded_call(asio::io_context& loop, http_client& client) : m_client{client}, m_timer{loop} {}

    /// Starts the call. Calls `on_end` once, on the loop's thread, unless the call is cancelled.
    /// Precondition: the call has not been started.
    void start(const bounded_call_options& options, const std::string& target, handler on_end);

    /// Ends the call without its handler. Precondition: the call has been started.
    void cancel();

private:
    void on_body(std::string& bytes);
    void on_end(call_end end);
    void give_up(bounded_call_failure failure);
    void finish(std::variant<whole_response, bounded_call_failure> outcome);

    http_client& m_client;
    asio::steady_timer m_timer;
    std::shared_ptr<client_connection> m_connection;
    body_buffer m_body;
    message_head m_head;
    handler m_on_end; ///< null once the call has ended
};

} // namespace hickorykeel::gateway
