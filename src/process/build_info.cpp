#include "process/build_info.h"

namespace hickorykeel {

std::string_view build_version() noexcept
{
    return "0.1.0";
}

} // namespace hickorykeel
