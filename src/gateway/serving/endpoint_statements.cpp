#include "gateway/serving/endpoint_statements.h"

#include <cstdint>     // int64_t, uint32_t
#include <optional>    // optional
#include <string>      // string
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

/// Records the rate that an endpoint names, or that it names none. A response without a rate may have
/// been sent at any time since its request, so it ends no rate that was named after that.
void record_max_rate(const statement_context& context, const endpoint_incarnation& endpoint,
                     const std::optional<double>& max_rate, const statement_times& times)
{
    const rate_statement statement{max_rate, max_rate ? times.received_at : times.asked_at};
    if (!context.pool.on_rate_statement(endpoint, statement, times.received_at)) {
        return;
    }
    context.metrics.count(max_rate ? "endpoint_rate_named" : "endpoint_rate_ended");
    log_line line{max_rate ? "endpoint_rate_named" : "endpoint_rate_ended"};
    line.add("endpoint", endpoint.id).add("started_ms", endpoint.started_ms);
    if (max_rate) {
        line.add_number("per_s", *max_rate);
    }
    context.log.write(line);
}

/// Records the rejection limit that an endpoint names, or that it names none, as for a rate.
void record_rejection_limit(const statement_context& context, const endpoint_incarnation& endpoint,
                            const std::optional<std::uint32_t>& limit, const statement_times& times)
{
    const rejection_statement statement{limit, limit ? times.received_at : times.asked_at};
    if (!context.pool.on_rejection_statement(endpoint, statement, times.received_at)) {
        return;
    }
    const std::string_view event =
        limit ? "endpoint_rejection_limit_named" : "endpoint_rejection_limit_ended";
    context.metrics.count(std::string{event});
    log_line line{event};
    line.add("endpoint", endpoint.id).add("started_ms", endpoint.started_ms);
    if (limit) {
        line.add("per_s", std::int64_t{*limit});
    }
    context.log.write(line);
}

} // namespace

void record_statement(const statement_context& context, const endpoint_incarnation& endpoint,
                      const message_head& head, const statement_times& times)
{
    if (head.status == status_misdirected) {
        return;
    }
    const endpoint_statement statement = context.adapter.read_endpoint_statement(head);
    if (statement.malformed_value) {
        report_malformed(context, endpoint, *statement.malformed_value);
    }
    if (statement.retry_after) {
        record_turn_away(context, endpoint, *statement.retry_after, times.received_at);
    }
    if (!statement.is_max_rate_malformed) {
        record_max_rate(context, endpoint, statement.max_rate, times);
    }
    if (!statement.is_rejection_limit_malformed) {
        record_rejection_limit(context, endpoint, statement.rejection_limit, times);
    }
    if (statement.load) {
        context.metrics.count("endpoint_load_stated");
        context.pool.on_load_statement(endpoint, *statement.load, times.received_at,
                                       times.received_at);
    }
    if (statement.is_leaving && context.pool.on_leaving(endpoint, times.received_at)) {
        context.metrics.count("endpoint_leaving");
        context.log.write(log_line{"endpoint_leaving"}
                              .add("endpoint", endpoint.id)
                              .add("started_ms", endpoint.started_ms));
    }
}

} // namespace hickorykeel::gateway
