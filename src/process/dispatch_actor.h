#pragma once

#include "connection/messenger.h"
#include "connection/tls_settings.h"
#include "process/configuration_client.h"
#include "process/dispatch_telemetry.h"
#include "process/dispatcher.h"

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <map>           // map
#include <memory>        // unique_ptr
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include <caf/all.hpp>

namespace hickorykeel {

/// Messages to the actor that owns the dispatcher.
namespace dispatching {

/// A dispatch_request, dispatch_cancel or ping that arrived on the link.
struct link_message {
    std::shared_ptr<received_message> received;
    time_point arrived;
};

struct new_configuration {
    configuration_ptr in_force;
};

struct new_hosts {
    host_list_ptr listed;
};

struct attempt_head {
    std::uint64_t job_id;
};

struct attempt_end {
    std::uint64_t job_id;
    attempt_result result;
    caf::actor worker; ///< idle again
};

/// What an endpoint said of its load; nothing where it did not answer.
struct endpoint_report {
    std::string target_name;
    std::string endpoint_name;
    std::optional<load_report> report;
    caf::actor worker;
};

struct tick {};

/// Leaving begins; new requests are still taken.
struct leave {};

/// Asks for a description.
struct describe {};

/// What is under way.
struct description {
    std::size_t size = 0;    ///< requests that wait or run
    std::size_t waiting = 0; ///< requests
    bool is_leaving = false;
};

} // namespace dispatching

/// What a process provides to its actor; all outlives it.
struct dispatch_environment {
    std::string failure_domain;
    messenger* links = nullptr;
    configuration_client* published = nullptr;
    dispatch_telemetry* telemetry = nullptr;
    tls_settings tls; ///< how endpoints are verified
};

/// State of the actor.
struct dispatch_state {
    std::string failure_domain;
    messenger* links = nullptr;
    configuration_client* published = nullptr;
    dispatch_telemetry* telemetry = nullptr;
    tls_settings tls;
    std::unique_ptr<dispatcher> decisions;
    std::vector<caf::actor> idle_workers;
    std::map<std::string, std::uint64_t> jobs_by_question; ///< "route correlation" to job
    std::unordered_map<std::uint64_t, std::string> questions_by_job;
    std::uint64_t next_job_id = 1;
    std::uint64_t ticks = 0;
    configuration_ptr in_force;
    bool is_leaving = false;
};

/// Behaviour of the actor; messages are structs of `dispatching`.
caf::behavior dispatch_actor(caf::stateful_actor<dispatch_state>* self,
                             dispatch_environment provided);

} // namespace hickorykeel

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::dispatching::link_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::dispatching::new_configuration)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::dispatching::new_hosts)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::dispatching::attempt_head)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::dispatching::attempt_end)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::dispatching::endpoint_report)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::dispatching::tick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::dispatching::leave)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::dispatching::describe)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::dispatching::description)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::dispatch_environment)
