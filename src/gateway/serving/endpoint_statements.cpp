#include "gateway/serving/endpoint_statements.h"

#include <string_view> // string_view

#include <fmt/format.h> // format

namespace hickorykeel::gateway {

namespace {

constexpr int status_misdirected = 421;
constexpr std::size_t max_logged_value = 64; // bytes

void report_malformed(const statement_context& context, const endpoint_incarnation& endpoint,
                      std::string_view value)
{
    context.metrics.count("endpoint_statement_malformed");
    context.log.write_request(log_line{"endpoint_statement_malformed"}
                                  .add("endpoint", endpoint.id)
                                  .add("value", value.substr(0, max_logged_value)));
}

void record_turn_away(const statement_context& context, const endpoint_incarnation& endpoint,
                      duration delay, time_point now)
{
    if (delay > endpoint_notices::max_turn_away) {
        report_malformed(
            context, endpoint,
            fmt::format("Retry-After above {} s", to_seconds(endpoint_notices::max_turn_away)));
    }
    context.pool.on_turned_away(endpoint, delay, now);
    context.metrics.count("endpoint_turned_away");
    context.log.write_request(log_line{"endpoint_turned_away"}
                                  .add("endpoint", endpoint.id)
                                  .add_ms("retry_after_ms", delay));
}

} // namespace

void record_statement(const statement_context& context, const endpoint_incarnation& endpoint,
                      const message_head& head, time_point now)
{
    if (head.status == status_misdirected) {
        return;
    }
    const endpoint_statement statement = context.adapter.read_endpoint_statement(head);
    if (statement.malformed_value) {
        report_malformed(context, endpoint, *statement.malformed_value);
    }
    if (statement.retry_after) {
        record_turn_away(context, endpoint, *statement.retry_after, now);
    }
    if (statement.is_leaving && context.pool.on_leaving(endpoint, now)) {
        context.metrics.count("endpoint_leaving");
        context.log.write(log_line{"endpoint_leaving"}
                              .add("endpoint", endpoint.id)
                              .add("started_ms", endpoint.started_ms));
    }
}

} // namespace hickorykeel::gateway
