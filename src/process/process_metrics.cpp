#include "process/process_metrics.h"

namespace hickorykeel {

namespace detail {
namespace {

void raise_to(prometheus::Counter& counter, std::uint64_t total)
{
    counter.Increment(static_cast<double>(total) - counter.Value());
}

} // namespace
} // namespace detail

process_metrics::process_metrics(metrics& registry)
    : m_bytes(registry.counters("hickorykeel_link_bytes_total", "Bytes of the links to processes",
                                {"direction"})),
      m_revisions(registry.gauges("hickorykeel_revision_in_force",
                                  "Revision of what was published; 0: none", {"part"}))
{
}

void process_metrics::refresh(const messenger& links, const configuration_client& published)
{
    detail::raise_to(m_bytes.with({"sent"}), links.bytes_sent());
    detail::raise_to(m_bytes.with({"received"}), links.bytes_received());
    const auto in_force = published.current();
    const auto hosts = published.hosts();
    m_revisions.with({"entries"}).Set(in_force ? static_cast<double>(in_force->revision) : 0);
    m_revisions.with({"hosts"}).Set(hosts ? static_cast<double>(hosts->revision) : 0);
}

} // namespace hickorykeel
