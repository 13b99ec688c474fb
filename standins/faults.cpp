#include "standins/faults.h"

namespace hickorykeel::standins {

namespace detail {

nlohmann::json to_json(const fault_settings& faults)
{
    return {{"silent", faults.silent},
            {"slow_factor", faults.slow_factor},
            {"cut_after_chunks", faults.cut_after_chunks},
            {"hold_at_tokens", faults.hold_at_tokens},
            {"refuse", faults.refuse},
            {"late_ms", faults.late.count()}};
}

} // namespace detail

fault_settings fault_switch::current() const
{
    const std::lock_guard lock{m_mutex};
    return m_settings;
}

bool fault_switch::apply(const nlohmann::json& change)
{
    const std::lock_guard lock{m_mutex};
    nlohmann::json whole = detail::to_json(m_settings);
    if (!change.is_object()) {
        return false;
    }
    for (const auto& item : change.items()) {
        const bool is_same_kind = whole.contains(item.key()) &&
                                  whole[item.key()].is_number() == item.value().is_number() &&
                                  whole[item.key()].is_boolean() == item.value().is_boolean();
        if (!is_same_kind) {
            return false;
        }
    }
    whole.update(change);
    m_settings.silent = whole["silent"];
    m_settings.slow_factor = whole["slow_factor"];
    m_settings.cut_after_chunks = whole["cut_after_chunks"];
    m_settings.hold_at_tokens = whole["hold_at_tokens"];
    m_settings.refuse = whole["refuse"];
    m_settings.late = std::chrono::milliseconds{whole["late_ms"].get<std::int64_t>()};
    return true;
}

void fault_switch::serve(http_server& server)
{
    const auto answer = [this](httplib::Response& response) {
        response.set_content(detail::to_json(current()).dump(), "application/json");
    };
    server.Get("/control/faults", [answer](const httplib::Request&, httplib::Response& response) {
        answer(response);
    });
    server.Put("/control/faults",
               [this, answer](const httplib::Request& request, httplib::Response& response) {
                   if (!apply(nlohmann::json::parse(request.body, nullptr, false))) {
                       response.status = 400;
                       return;
                   }
                   answer(response);
               });
}

} // namespace hickorykeel::standins
