#pragma once

#include <cstddef> // size_t
#include <random>  // mt19937_64, uniform distributions

namespace hickorykeel {

/// Random numbers of the routing decisions. Callers seed one for each thread.
using random_source = std::mt19937_64;

/// Uniform number below `count`. Precondition: `count` > 0.
inline std::size_t random_index(random_source& random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>{0, count - 1}(random);
}

/// Uniform number in [0, 1).
inline double random_fraction(random_source& random)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random);
}

} // namespace hickorykeel
