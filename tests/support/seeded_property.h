#pragma once

#include <cstdint>  // uint64_t
#include <iostream> // cerr
#include <utility>  // forward

#include <rapidcheck.h>

namespace hickorykeel {

/// Checks a RapidCheck property on the same cases in each run. Prints the smallest case that fails.
template <typename Testable>
bool holds_with_seed(std::uint64_t seed, Testable&& testable)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = 200;
    const auto outcome = rc::detail::checkTestable(std::forward<Testable>(testable),
                                                   rc::detail::TestMetadata{}, parameters);
    const bool is_success = outcome.template is<rc::detail::SuccessResult>();
    if (!is_success) {
        rc::detail::printResultMessage(outcome, std::cerr);
    }
    return is_success;
}

} // namespace hickorykeel
