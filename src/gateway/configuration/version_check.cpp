#include "gateway/configuration/version_check.h"

#include <algorithm> // any_of
#include <vector>    // vector

namespace hickorykeel::gateway {

bool version_check::is_passed(const member_table& members, std::uint64_t held, time_point now) const
{
    std::vector<const member*> heard;
    for (const auto& [ip, host] : members.all()) {
        if (members.is_heard(host, now)) {
            heard.push_back(&host);
        }
    }
    const bool has_higher = std::any_of(heard.begin(), heard.end(), [held](const member* host) {
        return host->last.configuration_version > held;
    });
    if (has_higher) {
        return false;
    }
    const bool is_vouched = std::any_of(heard.begin(), heard.end(), [&](const member* host) {
        return host->last.is_configuration_checked &&
               host->last.configuration_age + (now - host->last_seen) < m_options.max_age;
    });
    return is_vouched || m_rounds >= (heard.empty() ? m_options.rounds_alone : m_options.rounds);
}

} // namespace hickorykeel::gateway
