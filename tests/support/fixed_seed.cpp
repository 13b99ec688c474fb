#include <cstdlib> // setenv

namespace {

// property tests repeat the same cases unless the caller sets RC_PARAMS
[[maybe_unused]] const int seed_is_set = setenv("RC_PARAMS", "seed=20261204", 0);

} // namespace
