#pragma once

#include "gateway/observability/event_log.h"
#include "gateway/observability/gateway_metrics.h"
#include "gateway/routing/endpoint_pool.h"
#include "gateway/routing/path_monitor.h"
#include "process/clock.h"
#include "process/routing/random_source.h"

#include <asio/io_context.hpp> // io_context

namespace hickorykeel::gateway {

/// Opens connections to some endpoints while this host may have lost its path to all of them, so
/// that no request has to find out whether it has, or has it again. They are closed without a
/// request, which might count at an endpoint that limits requests.
///
/// Thread safety: none; all calls come from the loop's thread. The checker must outlive the loop's
/// run.
class path_checker {
public:
    /// Components used by the checker; they must outlive it.
    struct dependencies {
        asio::io_context& loop;
        endpoint_pool& pool;
        path_monitor& path;
        event_log& log;
        gateway_metrics& metrics;
        random_source& random;
    };

    explicit path_checker(dependencies components) : m_dependencies{components} {}

    /// Opens connections, at intervals, if the path may be lost. To be called at the heartbeat
    /// interval, and after each connection that could not be opened.
    void check(time_point now);

private:
    void connect(const endpoint_entry& entry);
    void update(time_point now);

    dependencies m_dependencies;
    time_point m_checked_at{};
    bool m_was_lost = false; ///< as last logged
};

} // namespace hickorykeel::gateway
