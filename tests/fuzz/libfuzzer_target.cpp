#include "support/fuzz_configuration.h"
#include "support/fuzz_targets.h"

/// What libFuzzer calls; the build names the target.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    return hickorykeel::tests::HICKORYKEEL_FUZZ_TARGET(data, size);
}
