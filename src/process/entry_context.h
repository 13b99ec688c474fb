#pragma once

#include "connection/exchange.h"
#include "connection/messenger.h"
#include "process/configuration_client.h"
#include "process/dispatch_directory.h"
#include "process/entry_router.h"
#include "process/leaving_hosts.h"
#include "process/limit_desk.h"
#include "process/metrics.h"
#include "process/request_record.h"
#include "process/trace_exporter.h"
#include "request/ticket.h"

#include <atomic>  // atomic
#include <cstddef> // size_t
#include <memory>  // unique_ptr
#include <random>  // random_device
#include <string>  // string
#include <utility> // move

#include <caf/all.hpp>

namespace hickorykeel {

/// What all requests of an entry process share. Outlives every request.
///
/// Thread safety: each member may be used from any thread, as its type says.
struct entry_context {
    entry_context(std::string own_host, std::string own_failure_domain,
                  const std::string& dispatch_address)
        : host(std::move(own_host)), failure_domain(std::move(own_failure_domain)),
          registry(host, failure_domain), directory(host, failure_domain, dispatch_address),
          router(directory, failure_domain, std::random_device{}())
    {
    }

    const std::string host;
    const std::string failure_domain;
    duration ticket_life = std::chrono::minutes{5};

    metrics registry;
    entry_metrics counts{registry};
    std::unique_ptr<trace_exporter> spans; ///< null: none are sent

    dispatch_directory directory;
    entry_router router;
    exchange_table exchanges;
    std::unique_ptr<messenger> links;
    std::unique_ptr<configuration_client> published;
    std::unique_ptr<ticket_mint> mint;
    caf::actor_system* actors = nullptr;
    limit_desk desk; ///< its limiter is there before the first request
    caf::actor admission;
    std::atomic<bool> is_leaving{false};
    std::atomic<bool> is_refusing{false}; ///< leaving for so long that new requests are refused
    leaving_hosts leaving_peers;
    std::atomic<bool> is_accruing{false};  ///< the limiter's buckets fill
    std::atomic<std::size_t> under_way{0}; ///< requests that are being served

    /// Whether requests can be served now.
    [[nodiscard]] bool is_ready() const
    {
        return !is_leaving && published->current() && published->hosts() &&
               directory.is_any_ready(boot_clock::now()) && is_accruing;
    }
};

} // namespace hickorykeel
