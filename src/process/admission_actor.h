#pragma once

#include "connection/messenger.h"
#include "process/clock.h"
#include "process/limit_desk.h"
#include "process/ticket_book.h"
#include "request/caller_request.h"

#include <atomic>        // atomic
#include <cstdint>       // uint64_t
#include <map>           // map
#include <memory>        // shared_ptr, unique_ptr
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include <caf/all.hpp>

namespace hickorykeel {

/// Messages to the actor that owns the ticket book of an entry process, and that talks to other
/// hosts for its limiter.
namespace admission {

/// Answered with a ticket_book::verdict.
struct begin_ticket {
    std::string id;
    time_point expiry;
    std::string fingerprint;
};

struct finish_ticket {
    std::string id;
    recorded_answer answer;
};

struct lose_ticket {
    std::string id;
};

struct release_ticket {
    std::string id;
};

/// A reservation of the limiter's that waits for other hosts, or has messages for them. Answered
/// with a reserve_result.
struct await {
    reservation_result begun;
};

struct reserve_result {
    std::uint64_t reservation; ///< 0: refused
    std::chrono::milliseconds retry_after;
};

/// A loan or share message, or a ping, of another host's entry process.
struct link_message {
    std::shared_ptr<received_message> received;
};

struct new_hosts {
    host_list_ptr listed;
};

/// Tells the other entry processes that this one uses no rights any more. Answered when sent.
struct say_goodbye {};

/// Answered with the accounts' states.
struct describe_limits {};

using limits_description = std::vector<account_status>;

struct tick {};

} // namespace admission

/// Precondition: the reservation does not wait.
[[nodiscard]] admission::reserve_result to_result(const reservation_result& ended);

/// State of the actor.
struct admission_state {
    ticket_book tickets;
    limit_desk* desk = nullptr;
    messenger* links = nullptr;
    std::atomic<bool>* is_accruing = nullptr;
    std::string host;
    std::map<std::string, std::string> entry_addresses;               ///< of other hosts, by name
    std::unordered_map<std::uint64_t, caf::response_promise> waiting; ///< by reservation
    /// Of reservations that ended before the actor heard of them, by reservation.
    std::unordered_map<std::uint64_t, admission::reserve_result> ended;
};

/// Behaviour of the actor. Precondition: `links`, `desk` and `is_accruing` outlive it.
/// @param is_accruing  kept at whether the limiter's buckets fill
caf::behavior admission_actor(caf::stateful_actor<admission_state>* self, messenger* links,
                              limit_desk* desk, std::string host, std::atomic<bool>* is_accruing);

} // namespace hickorykeel

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::begin_ticket)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::finish_ticket)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::lose_ticket)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::release_ticket)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::await)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::reserve_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::link_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::new_hosts)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::say_goodbye)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::describe_limits)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::limits_description)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::tick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::ticket_book::verdict)
