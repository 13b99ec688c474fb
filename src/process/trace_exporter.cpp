#include "process/trace_exporter.h"

#include <algorithm> // all_of, min
#include <iterator>  // make_move_iterator
#include <utility>   // move

#include <httplib.h>

namespace hickorykeel {

namespace {

constexpr std::chrono::milliseconds connect_timeout{500};
constexpr std::chrono::milliseconds transfer_timeout{2'000};
constexpr std::size_t maximum_text = 128; // characters
constexpr std::string_view replaced_text = "(not a name)";

std::string to_nanoseconds(trace_span::clock::time_point moment)
{
    const auto since_epoch = moment.time_since_epoch();
    return std::to_string(
        std::chrono::duration_cast<std::chrono::nanoseconds>(since_epoch).count());
}

/// Names, addresses and codes look like this; a prompt does not.
bool is_name_like(std::string_view text)
{
    constexpr std::string_view symbols =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/-";
    return text.size() <= maximum_text && text.find_first_not_of(symbols) == std::string_view::npos;
}

std::string_view to_key(span_attribute attribute)
{
    return span_attribute_kinds[static_cast<std::size_t>(attribute)].key;
}

nlohmann::json to_value(const std::string& text)
{
    return {{"stringValue", text}};
}

/// OTLP's JSON carries 64-bit numbers as text.
nlohmann::json to_value(std::int64_t number)
{
    return {{"intValue", std::to_string(number)}};
}

template <typename Value>
nlohmann::json to_attribute(std::string_view key, const Value& value)
{
    return {{"key", key}, {"value", to_value(value)}};
}

httplib::Client to_client(const std::string& address)
{
    const auto colon = address.rfind(':');
    httplib::Client client{address.substr(0, colon), std::stoi(address.substr(colon + 1))};
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(transfer_timeout);
    client.set_write_timeout(transfer_timeout);
    return client;
}

} // namespace

trace_span::trace_span(span_name name, span_side side, const trace_context& context, span_id parent,
                       clock::time_point start)
    : m_name{name}, m_side{side}, m_context{context}, m_parent{parent}, m_start{start}, m_end{start}
{
}

void trace_span::set(span_attribute attribute, std::string_view name)
{
    m_names.push_back({attribute, std::string{is_name_like(name) ? name : replaced_text}});
}

void trace_span::set(span_attribute attribute, std::int64_t number)
{
    m_numbers.push_back({attribute, number});
}

void trace_span::end(clock::time_point moment, span_status status)
{
    m_end = moment;
    m_status = status;
}

const trace_context& trace_span::context() const noexcept
{
    return m_context;
}

nlohmann::json trace_span::to_otlp() const
{
    auto attributes = nlohmann::json::array();
    for (const auto& [attribute, name] : m_names) {
        attributes.push_back(to_attribute(to_key(attribute), name));
    }
    for (const auto& [attribute, number] : m_numbers) {
        attributes.push_back(to_attribute(to_key(attribute), number));
    }
    return {{"traceId", m_context.trace.to_hex()},
            {"spanId", m_context.span.to_hex()},
            {"parentSpanId", m_parent == span_id{} ? "" : m_parent.to_hex()},
            {"name", m_name.text()},
            {"kind", static_cast<int>(m_side)},
            {"startTimeUnixNano", to_nanoseconds(m_start)},
            {"endTimeUnixNano", to_nanoseconds(m_end)},
            {"attributes", std::move(attributes)},
            {"status", {{"code", static_cast<int>(m_status)}}}};
}

trace_exporter::trace_exporter(options chosen) : m_options{std::move(chosen)}
{
    if (!m_options.address.empty()) {
        m_thread = std::thread{[this] { run(); }};
    }
}

trace_exporter::~trace_exporter()
{
    {
        const std::lock_guard lock{m_mutex};
        m_is_ending = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void trace_exporter::add(trace_span&& finished)
{
    if (m_options.address.empty() || !finished.context().is_sampled) {
        return;
    }
    bool is_batch_full = false;
    {
        const std::lock_guard lock{m_mutex};
        if (m_waiting.size() >= m_options.capacity) {
            ++m_dropped;
            return;
        }
        m_waiting.push_back(std::move(finished));
        is_batch_full = m_waiting.size() >= m_options.batch;
    }
    if (is_batch_full) {
        m_changed.notify_one();
    }
}

std::uint64_t trace_exporter::exported() const noexcept
{
    return m_exported;
}

std::uint64_t trace_exporter::dropped() const noexcept
{
    return m_dropped;
}

void trace_exporter::run()
{
    while (true) {
        const auto batch = take_batch();
        if (!batch.empty()) {
            const bool is_taken = send(batch);
            (is_taken ? m_exported : m_dropped) += batch.size();
        }
        const std::lock_guard lock{m_mutex};
        if (m_is_ending && m_waiting.empty()) {
            return;
        }
    }
}

std::vector<trace_span> trace_exporter::take_batch()
{
    std::unique_lock lock{m_mutex};
    m_changed.wait_for(lock, m_options.interval,
                       [this] { return m_is_ending || m_waiting.size() >= m_options.batch; });
    const auto count = std::min(m_options.batch, m_waiting.size());
    const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<trace_span> batch{std::make_move_iterator(m_waiting.begin()),
                                  std::make_move_iterator(end)};
    m_waiting.erase(m_waiting.begin(), end);
    return batch;
}

bool trace_exporter::send(const std::vector<trace_span>& batch)
{
    auto client = to_client(m_options.address);
    const auto answer = client.Post("/v1/traces", to_body(batch).dump(), "application/json");
    if (answer && answer->status == 200) {
        return true;
    }
    // a collector that is away must not hold up the end of the process
    const std::lock_guard lock{m_mutex};
    if (m_is_ending) {
        m_dropped += m_waiting.size();
        m_waiting.clear();
    }
    return false;
}

nlohmann::json trace_exporter::to_body(const std::vector<trace_span>& batch) const
{
    auto spans = nlohmann::json::array();
    for (const auto& span : batch) {
        spans.push_back(span.to_otlp());
    }
    const auto resource = nlohmann::json::array(
        {to_attribute("service.name", m_options.program), to_attribute("host.name", m_options.host),
         to_attribute("hickorykeel.failure_domain", m_options.failure_domain)});
    const nlohmann::json scope{{"scope", {{"name", "hickorykeel"}}}, {"spans", std::move(spans)}};
    return {{"resourceSpans",
             nlohmann::json::array({{{"resource", {{"attributes", resource}}},
                                     {"scopeSpans", nlohmann::json::array({scope})}}})}};
}

} // namespace hickorykeel
