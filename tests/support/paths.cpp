#include "support/paths.h"

namespace hickorykeel::tests {

std::string source_path(const std::string& relative)
{
    return std::string{HICKORYKEEL_SOURCE_DIR}.append("/").append(relative);
}

std::string program_path(const std::string& name)
{
    return std::string{HICKORYKEEL_BIN_DIR}.append("/").append(name);
}

} // namespace hickorykeel::tests
