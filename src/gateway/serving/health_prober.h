#pragma once

#include "gateway/configuration/publication.h"
#include "gateway/http/http_client.h"
#include "gateway/observability/event_log.h"
#include "gateway/serving/protocol_adapter.h"

#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <string>     // string

#include <asio/io_context.hpp> // io_context

namespace hickorykeel::gateway {

/// Why a probe got no complete response.
enum class probe_failure {
    refused,      ///< nothing listens at the endpoint's address
    disconnected, ///< the endpoint ended the connection that had been established
    unanswered,   ///< no connection or no complete response in time, or none that can be read
};

/// Probes endpoints to find out whether they are warm or cold.
///
/// Thread safety: none; all calls come from the loop's thread. The prober must outlive its probes.
class health_prober {
public:
    /// Components used by the prober; they must outlive it.
    struct dependencies {
        asio::io_context& loop;
        http_client& client;
        const protocol_adapter& adapter;
        event_log& log;
    };

    explicit health_prober(dependencies components) : m_dependencies{components} {}

    /// Handlers of a probe. They run on the loop's thread.
    struct probe_handlers {
        std::function<void()> on_warm = {};
        /// Receives the time for which the endpoint stays cold.
        std::function<void(duration)> on_cold = {};
        /// The endpoint gave no complete response in time.
        std::function<void(probe_failure)> on_failure = {};
        /// Receives the head of a response that isn't another incarnation's.
        std::function<void(const message_head&)> on_head = {};
        /// Called last and once, however the probe ends. Receives why it has failed, if it has.
        std::function<void(std::optional<probe_failure>)> on_end = {};
    };

    /// Sends a probe for `path` to `endpoint`. Calls `on_warm` or `on_cold` once if the endpoint
    /// responds that it is warm or cold, `on_failure` if there is no complete response in time, and
    /// none of these if it responds with a failure or is another incarnation.
    void probe(const endpoint_entry& endpoint, const std::string& path,
               probe_handlers handlers) const;

private:
    struct probe_state;

    void on_head(probe_state& state, const message_head& head) const;
    void on_response(probe_state& state, call_end end) const;
    static void fail(probe_state& state, probe_failure why);
    static void finish(probe_state& state, std::optional<probe_failure> failure = {});

    dependencies m_dependencies;
};

} // namespace hickorykeel::gateway
