#pragma once

#include "process/clock.h"
#include "process/ticket_book.h"

#include <string> // string

#include <caf/all.hpp>

namespace hickorykeel {

/// Messages to the actor that owns what all requests of an entry process share: the ticket book.
namespace admission {

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

} // namespace admission

/// Behaviour of that actor. `begin_ticket` answers with a ticket_book::verdict, in the order of
/// arrival; the others answer nothing.
caf::behavior admission_actor(caf::stateful_actor<ticket_book>* self);

} // namespace hickorykeel

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::begin_ticket)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::finish_ticket)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::lose_ticket)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::admission::release_ticket)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(hickorykeel::ticket_book::verdict)
