#pragma once

#include "connection/tls_settings.h"
#include "process/dispatch_job.h"
#include "process/routing/endpoint_table.h"
#include "version/configuration.h"

#include <string> // string

#include <caf/all.hpp>

namespace hickorykeel {

/// Messages to a worker. It runs on a thread of its own and does one thing at a time.
namespace working {

struct run {
    dispatch_attempt attempt;
};

struct ask_load {
    std::string target_name;
    endpoint where;
    tls_settings tls; ///< how it is verified
};

} // namespace working

/// Behaviour of a worker; answers go to `owner` as messages of `dispatching`.
caf::behavior dispatch_worker(caf::event_based_actor* self, const caf::actor& owner);

} // namespace hickorykeel

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::working::run)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::working::ask_load)
