#include "process/platform_answer.h"

#include "version/json_text.h"

#include <algorithm> // min
#include <optional>  // optional
#include <utility>   // move

namespace hickorykeel {

namespace detail {
namespace {

constexpr duration backoff_minimum = std::chrono::milliseconds{50};
constexpr duration backoff_start = std::chrono::milliseconds{200};
constexpr duration backoff_maximum = std::chrono::seconds{5};
constexpr unsigned backoff_doublings = 5;

error to_invalid(const std::string& message)
{
    return {error_kind::platform_answer_invalid, "read", "platform", message};
}

std::optional<std::uint64_t> to_revision(const nlohmann::json& object, const char* member)
{
    const auto it = object.find(member);
    if (it == object.end() || !it->is_number_unsigned()) {
        return std::nullopt;
    }
    return it->get<std::uint64_t>();
}

std::optional<entry_change> to_change(const nlohmann::json& entry)
{
    const auto revision = entry.is_object() ? to_revision(entry, "revision") : std::nullopt;
    if (!revision || !entry.contains("key") || !entry["key"].is_string()) {
        return std::nullopt;
    }
    const auto key = entry["key"].get<std::string>();
    const bool is_deleted = entry.contains("deleted") && entry["deleted"] == true;
    if (!is_deleted && !entry.contains("value")) {
        return std::nullopt;
    }
    return entry_change{key, is_deleted ? nlohmann::json{} : entry["value"], is_deleted, *revision};
}

} // namespace
} // namespace detail

result<entries_update> to_entries_update(const std::string& body)
{
    const auto object = parse_json(body);
    if (!object.is_object() || !object.contains("entries") || !object["entries"].is_array()) {
        return detail::to_invalid("no object with a list of entries");
    }
    const auto revision = detail::to_revision(object, "revision");
    const auto base = detail::to_revision(object, "base");
    if (!revision || !base) {
        return detail::to_invalid("revision or base is missing");
    }
    entries_update update{*base, *revision, {}};
    for (const auto& entry : object["entries"]) {
        auto change = detail::to_change(entry);
        if (!change) {
            return detail::to_invalid("an entry lacks its key, revision or value");
        }
        update.entries.push_back(std::move(*change));
    }
    return update;
}

result<hosts_update> to_hosts_update(const std::string& body)
{
    auto object = parse_json(body);
    if (!object.is_object() || !object.contains("hosts")) {
        return detail::to_invalid("no object with a list of hosts");
    }
    const auto revision = detail::to_revision(object, "revision");
    if (!revision) {
        return detail::to_invalid("the revision is missing");
    }
    return hosts_update{*revision, std::move(object["hosts"])};
}

duration to_backoff(unsigned failures, double draw) noexcept
{
    const auto doublings = std::min(failures, detail::backoff_doublings);
    const auto longest =
        std::min(detail::backoff_start * (1U << doublings), detail::backoff_maximum);
    return detail::backoff_minimum + from_seconds(to_seconds(longest) * draw);
}

} // namespace hickorykeel
