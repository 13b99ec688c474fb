#pragma once

#include "connection/messenger.h"
#include "process/configuration_client.h"
#include "process/metrics.h"

namespace hickorykeel {

/// Metrics that entry and dispatch processes share: bytes of the links, and revisions in force. A
/// handle: copies share the series. Thread safety: as metric_family.
class process_metrics {
public:
    explicit process_metrics(metrics& registry);

    /// Sets them to what they are now; call it before each collection.
    void refresh(const messenger& links, const configuration_client& published);

private:
    counter_family m_bytes;
    gauge_family m_revisions;
};

} // namespace hickorykeel
