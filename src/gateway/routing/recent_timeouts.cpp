#include "gateway/routing/recent_timeouts.h"

#include <algorithm> // max

namespace hickorykeel::gateway {

void recent_timeouts::update(const std::map<std::string, duration>& longest, time_point now)
{
    for (auto& [service, known] : m_services) {
        const auto in_force = longest.find(service);
        std::erase_if(known, [now](const timeout& of) {
            return of.replaced_at && now - *of.replaced_at > retention;
        });
        for (timeout& of : known) {
            if (!of.replaced_at && (in_force == longest.end() || of.value != in_force->second)) {
                of.replaced_at = now;
            }
        }
    }
    std::erase_if(m_services, [](const auto& item) { return item.second.empty(); });
    for (const auto& [service, value] : longest) {
        std::vector<timeout>& known = m_services[service];
        if (known.empty() || known.back().replaced_at) {
            known.push_back({value, std::nullopt});
        }
    }
}

duration recent_timeouts::longest(const std::string& service, time_point now) const
{
    const auto known = m_services.find(service);
    std::optional<duration> found;
    if (known != m_services.end()) {
        for (const timeout& of : known->second) {
            if (!of.replaced_at || now - *of.replaced_at <= retention) {
                found = std::max(found.value_or(of.value), of.value);
            }
        }
    }
    return found.value_or(retention);
}

} // namespace hickorykeel::gateway
