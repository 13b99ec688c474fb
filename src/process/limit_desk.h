#pragma once

#include "process/limits/limiter.h"

#include <memory> // unique_ptr
#include <mutex>  // mutex

namespace hickorykeel {

/// The limiter of an entry process and what serialises its users: the threads that serve requests
/// reserve and settle without a hand-over, the admission actor does all that needs other hosts.
struct limit_desk {
    std::mutex mutex; ///< held while `limits` is used, not while a message is sent
    std::unique_ptr<limiter> limits;
};

} // namespace hickorykeel
