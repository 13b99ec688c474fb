#pragma once

#include "gateway/observability/event_log.h"
#include "gateway/observability/gateway_metrics.h"
#include "gateway/routing/endpoint_pool.h"
#include "gateway/serving/protocol_adapter.h"

namespace hickorykeel::gateway {

/// Components that take part when an endpoint's statement is recorded.
struct statement_context {
    const protocol_adapter& adapter;
    endpoint_pool& pool;
    event_log& log;
    gateway_metrics& metrics;
};

/// Times of the response in which an endpoint has said something.
struct statement_times {
    time_point asked_at{}; ///< sending of the request or probe
    time_point received_at{};
};

/// Records what the head of a response to a request or a health probe says of `endpoint`, the
/// incarnation that the request named. The rest of the response doesn't matter. No effect for a
/// misdirected request (421), since another incarnation has responded.
///
/// Thread safety: none; called from the loop's thread.
void record_statement(const statement_context& context, const endpoint_incarnation& endpoint,
                      const message_head& head, const statement_times& times);

} // namespace hickorykeel::gateway
