#include "process/admission_actor.h"

#include <utility> // move

namespace hickorykeel {

caf::behavior admission_actor(caf::stateful_actor<ticket_book>* self)
{
    return {
        [self](const admission::begin_ticket& request) {
            return self->state.begin(request.id, request.expiry, request.fingerprint,
                                     boot_clock::now());
        },
        [self](admission::finish_ticket& request) {
            self->state.finish(request.id, std::move(request.answer));
        },
        [self](const admission::lose_ticket& request) { self->state.lose(request.id); },
        [self](const admission::release_ticket& request) { self->state.release(request.id); },
    };
}

} // namespace hickorykeel
