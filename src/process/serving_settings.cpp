#include "process/serving_settings.h"

namespace hickorykeel {

std::vector<settings_fault> check_serving(const settings& checked)
{
    auto faults = check_common(checked);
    const auto further = check_tls(to_tls_settings(checked));
    faults.insert(faults.end(), further.begin(), further.end());
    return faults;
}

} // namespace hickorykeel
