#pragma once

#include <cstddef> // size_t
#include <random>  // mt19937_64, uniform distributions

namespace hickorykeel {

/// Source of the random numbers of routing decisions. Not thread-safe: one for each thread, seeded
/// by its owner.
using random_source = std::mt19937_64;

/// Returns a uniformly distributed integer in [0, `count`). Precondition: `count` > 0.
inline std::size_t random_index(random_source& random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>{0, count - 1}(random);
}

/// Returns a uniformly distributed number in [0, 1).
inline double random_fraction(random_source& random)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random);
}

} // namespace hickorykeel
