#pragma once

#include <cstdlib> // setenv
#include <string>  // string
#include <utility> // forward

#include <rapidcheck.h>

namespace hickorykeel::tests {

/// Whether `property` holds for RapidCheck's random input. The seed is fixed unless RC_PARAMS is
/// set, e.g. to the seed of a failure.
template <typename Property>
bool is_held(const std::string& description, Property&& property)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
    return rc::check(description, std::forward<Property>(property));
}

} // namespace hickorykeel::tests
