#include "connection/endpoint_call.h"

#include "connection/usage_scanner.h"

#include <algorithm>   // min
#include <chrono>      // milliseconds
#include <string_view> // string_view
#include <utility>     // move

#include <httplib.h>

namespace hickorykeel {
namespace detail {

constexpr std::chrono::milliseconds connect_timeout{1'000};
constexpr std::string_view event_stream_type = "text/event-stream";

error_kind to_kind(httplib::Error failure)
{
    switch (failure) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
    case httplib::Error::SSLConnection:
    case httplib::Error::SSLServerVerification:
    case httplib::Error::SSLLoadingCerts:
        return error_kind::endpoint_unreachable;
    case httplib::Error::Read:
    case httplib::Error::Write:
        return error_kind::endpoint_cut;
    default:
        return error_kind::endpoint_answer_invalid;
    }
}

// whether the failure occurred before the first byte of the request was written
bool is_before_sending(httplib::Error failure)
{
    return to_kind(failure) == error_kind::endpoint_unreachable;
}

httplib::Request to_http(const link::dispatch_request& request,
                         const endpoint_call::identity& identifiers)
{
    httplib::Request http;
    http.method = request.method();
    http.path = request.path();
    for (const link::header& header : request.headers()) {
        http.headers.emplace(header.name(), header.value());
    }
    http.headers.emplace("X-Request-Id", identifiers.request_id);
    http.headers.emplace("X-Priority", request.interactive() ? "interactive" : "batch");
    if (!identifiers.traceparent.empty()) {
        http.headers.emplace("traceparent", identifiers.traceparent);
    }
    http.body = request.body();
    return http;
}

std::vector<link::header> to_headers(const httplib::Response& response)
{
    std::vector<link::header> headers;
    for (const char* name : {"Content-Type", "Retry-After"}) {
        if (response.has_header(name)) {
            link::header& header = headers.emplace_back();
            header.set_name(name);
            header.set_value(response.get_header_value(name));
        }
    }
    return headers;
}

} // namespace detail

endpoint_call::endpoint_call(const endpoint& where, target_kind kind)
    : m_where(where), m_kind(kind), m_client(std::make_unique<httplib::Client>(
                                        (where.uses_tls ? "https://" : "http://") + where.address))
{
}

endpoint_call::~endpoint_call() = default;

void endpoint_call::set_tls(const tls_settings& files)
{
    const std::lock_guard lock(m_mutex);
    prepare_client(*m_client, files);
}

endpoint_call::outcome endpoint_call::run(const link::dispatch_request& request,
                                          const identity& identifiers,
                                          std::chrono::milliseconds budget,
                                          const head_handler& on_head, const data_handler& on_data)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_is_cancelled) {
            return failed{{error_kind::endpoint_timeout, "connect", m_where.name,
                           "cancelled before it began"},
                          false};
        }
        m_client->set_connection_timeout(std::min(budget, detail::connect_timeout));
        m_client->set_read_timeout(budget);
        m_client->set_write_timeout(budget);
        m_client->set_tcp_nodelay(true);
        m_client->set_keep_alive(false);
    }
    usage_scanner scanner;
    bool is_event_stream = false;
    bool is_stopped_by_handler = false;
    httplib::Request http = detail::to_http(request, identifiers);
    http.response_handler = [&](const httplib::Response& head) {
        is_event_stream =
            head.get_header_value("Content-Type").starts_with(detail::event_stream_type);
        is_stopped_by_handler = !on_head(head.status, detail::to_headers(head));
        return !is_stopped_by_handler;
    };
    http.content_receiver = [&](const char* bytes, std::size_t size, std::uint64_t, std::uint64_t) {
        scanner.append({bytes, size});
        is_stopped_by_handler = !on_data(bytes, size);
        return !is_stopped_by_handler;
    };
    httplib::Response response;
    httplib::Error failure = httplib::Error::Success;
    const bool is_answered = m_client->send(http, response, failure);
    if (!is_answered) {
        const bool may_have_run = !detail::is_before_sending(failure);
        const std::string step = may_have_run ? "await answer" : "connect";
        return failed{{detail::to_kind(failure), step, m_where.name, httplib::to_string(failure)},
                      may_have_run};
    }
    const bool must_end_explicitly = m_kind == target_kind::model && is_event_stream;
    if (must_end_explicitly && !scanner.is_done()) {
        return failed{
            {error_kind::endpoint_cut, "await answer", m_where.name, "the stream has no end"},
            true};
    }
    return completed{m_kind == target_kind::model ? scanner.used_tokens() : 0};
}

void endpoint_call::cancel()
{
    const std::lock_guard lock(m_mutex);
    m_is_cancelled = true;
    m_client->stop();
}

} // namespace hickorykeel
