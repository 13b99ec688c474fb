#include "gateway/settings_watch.h"

namespace hickorykeel::gateway {

settings_change settings_watch::look(std::optional<std::string> content)
{
    const bool was_unreadable = m_is_unreadable;
    m_is_unreadable = !content;
    if (!content) {
        m_unsettled.reset();
        return was_unreadable ? settings_change::none : settings_change::unreadable;
    }
    if (content == m_applied) {
        m_unsettled.reset();
        return settings_change::none;
    }
    if (content != m_unsettled) {
        m_unsettled = std::move(content);
        return settings_change::unsettled;
    }
    m_applied = std::move(content);
    m_unsettled.reset();
    return settings_change::complete;
}

} // namespace hickorykeel::gateway
