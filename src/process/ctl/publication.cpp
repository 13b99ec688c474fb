#include "process/ctl/publication.h"

#include "process/ctl/table.h"
#include "version/diff.h"

#include <fstream> // ifstream

namespace hickorykeel::ctl {

namespace {

/// A revision that is not 0, which stands for no state at all.
constexpr std::uint64_t any_revision = 1;

error to_error(const std::string& path, const std::string& message)
{
    return {error_kind::configuration_invalid, "read", path, message};
}

nlohmann::json to_json(const std::vector<configuration_fault>& faults)
{
    auto list = nlohmann::json::array();
    for (const auto& fault : faults) {
        list.push_back({{"path", fault.path}, {"message", fault.message}});
    }
    return {{"is_valid", faults.empty()}, {"faults", std::move(list)}};
}

std::string to_text(const std::vector<configuration_fault>& faults)
{
    table shown{{"PATH", "FAULT"}};
    for (const auto& fault : faults) {
        shown.add({fault.path, fault.message});
    }
    return shown.to_string();
}

std::string_view to_name(change_kind kind)
{
    return change_kind_names[static_cast<std::size_t>(kind)];
}

std::string_view to_name(change_warning warning)
{
    return change_warning_names[static_cast<std::size_t>(warning)];
}

nlohmann::json to_json(const std::vector<configuration_change>& changes)
{
    auto list = nlohmann::json::array();
    for (const auto& change : changes) {
        list.push_back({{"path", change.path},
                        {"kind", to_name(change.kind)},
                        {"before", change.before},
                        {"after", change.after},
                        {"warning", to_name(change.warning)}});
    }
    return {{"changes", std::move(list)}};
}

std::string to_text(const std::vector<configuration_change>& changes)
{
    table shown{{"CHANGE", "PATH", "BEFORE", "AFTER", "WARNING"}};
    for (const auto& change : changes) {
        shown.add({std::string{to_name(change.kind)}, change.path, to_cell(change.before),
                   to_cell(change.after), to_cell(to_name(change.warning))});
    }
    return shown.to_string();
}

} // namespace

result<published_entries> read_entries(const std::string& path)
{
    std::ifstream file{path};
    if (!file.is_open()) {
        return to_error(path, "cannot be read");
    }
    const auto content = nlohmann::json::parse(file, nullptr, false);
    if (content.is_discarded()) {
        return to_error(path, "is no JSON");
    }
    if (!content.is_object()) {
        return to_error(path, "is no object of keys and values");
    }
    return content.get<published_entries>();
}

exit_code validate(const published_entries& entries, bool is_json, std::ostream& out)
{
    const auto outcome = check(any_revision, entries);
    const auto* found = std::get_if<std::vector<configuration_fault>>(&outcome);
    const auto faults = found == nullptr ? std::vector<configuration_fault>{} : *found;
    if (is_json) {
        out << to_json(faults).dump(2) << '\n';
    }
    else if (faults.empty()) {
        out << "valid: " << entries.size() << " entries\n";
    }
    else {
        out << to_text(faults);
    }
    return faults.empty() ? exit_code::ok : exit_code::refused;
}

exit_code print_diff(const published_entries& before, const published_entries& after, bool is_json,
                     std::ostream& out, std::ostream& err)
{
    const auto old_state = check(any_revision, before);
    const auto new_state = check(any_revision, after);
    for (const auto* state : {&old_state, &new_state}) {
        if (const auto* faults = std::get_if<std::vector<configuration_fault>>(state)) {
            err << (state == &old_state ? "old" : "new") << " entries:\n" << to_text(*faults);
            return exit_code::refused;
        }
    }
    const auto changes =
        diff(std::get<configuration>(old_state), std::get<configuration>(new_state));
    if (is_json) {
        out << to_json(changes).dump(2) << '\n';
    }
    else {
        out << (changes.empty() ? "no changes\n" : to_text(changes));
    }
    return exit_code::ok;
}

} // namespace hickorykeel::ctl
