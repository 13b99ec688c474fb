#include "gateway/serving/exchange.h"

#include "gateway/serving/region_options.h"

#include <optional> // optional

// Which software version may serve a request that continues a stream of an earlier one.

namespace hickorykeel::gateway {

/// Whether the caller asks for the rest of a stream that an earlier request of it has begun.
bool exchange::resumes_stream() const
{
    return is_stream() && (m_fields.resumed_id || !m_fields.last_event_id.empty());
}

/// Returns the hash of the software version that has begun the stream that the request resumes;
/// nothing if that can't be told.
std::optional<std::uint32_t> exchange::find_origin(time_point now) const
{
    if (m_fields.resumed_id && m_context.origins.is_recorded(*m_fields.resumed_id, now)) {
        return m_context.origins.find(*m_fields.resumed_id, now);
    }
    return m_context.versions.only_version(m_service, m_context.timeouts.longest(m_service, now),
                                           now);
}

/// Lets only the software version serve the request that has begun the stream which it resumes.
/// Refuses the request if that version isn't known, or has no endpoint. Returns whether it was
/// refused. Precondition: the service is chosen.
bool exchange::refuse_unknown_origin(time_point now)
{
    // the forwarding host knows the version
    if (m_is_forwarded || !resumes_stream()) {
        return false;
    }
    m_software_version = find_origin(now);
    if (!m_software_version) {
        m_context.metrics.count("stream_version_unknown");
        refuse(503, "stream_version_unknown", "no", m_context.options.retry_after_unknown_stream);
        return true;
    }
    if (!has_version(m_context, m_service, *m_software_version)) {
        m_context.metrics.count("stream_version_gone");
        refuse(503, "stream_version_gone", "no", m_context.options.retry_after_outage);
        return true;
    }
    m_context.metrics.count("stream_resumed_by_caller");
    return false;
}

/// Records which software version has begun the stream of which the first event is relayed.
void exchange::record_origin(time_point now)
{
    // the forwarding host records it; a caller always names its attempt that brought the first event
    if (m_is_forwarded || resumes_stream() || !m_software_version) {
        return;
    }
    const duration allowed = m_fields.deadline ? duration{*m_fields.deadline}
                                               : duration{m_authorised.matched_route->timeout};
    m_context.origins.on_begun(m_fields.id, m_service, *m_software_version, m_received + allowed,
                               now);
}

} // namespace hickorykeel::gateway
