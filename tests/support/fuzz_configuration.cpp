#include "support/fuzz_configuration.h"

#include "process/platform_answer.h"
#include "version/replica.h"

#include <string>  // string
#include <variant> // get_if

namespace hickorykeel::tests {

int fuzz_configuration(const std::uint8_t* data, std::size_t size)
{
    const std::string body{reinterpret_cast<const char*>(data), size};
    replica held;
    const auto entries = to_entries_update(body);
    if (const auto* update = std::get_if<entries_update>(&entries)) {
        held.apply(*update);
        static_cast<void>(held.changes_since(update->base));
    }
    const auto hosts = to_hosts_update(body);
    if (const auto* update = std::get_if<hosts_update>(&hosts)) {
        held.apply(*update);
    }
    return 0;
}

} // namespace hickorykeel::tests
