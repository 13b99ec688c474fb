#pragma once

#include <cstdint>     // int64_t
#include <map>         // map
#include <span>        // span
#include <string>      // string
#include <string_view> // string_view
#include <variant>     // variant
#include <vector>      // vector

namespace hickorykeel {

/// What a setting's value must look like.
enum class setting_kind {
    text,
    name,
    address,
    address_list,
    number,
    flag,
    z85_key,
    z85_key_list,
    digest,
    decimal,   ///< a number with an optional fraction
    label,     ///< like a name, with capitals too
    pair_list, ///< label:label, comma-separated
};

/// One key that a program knows. The tables of rules are the only place that lists keys.
struct setting_rule {
    std::string_view section;
    std::string_view key;
    setting_kind kind;
    bool is_required;
    std::string_view default_value;
    std::int64_t minimum;  ///< of a number
    std::int64_t maximum;  ///< of a number
    std::string_view help; ///< with the unit
    /// Whether the default takes the place of a value that is empty or not allowed.
    bool falls_back = false;
};

/// What a value of `rule` must look like, for faults and docs. Thread safe.
[[nodiscard]] std::string to_allowed(const setting_rule& rule);

/// Markdown tables of `rules`, one a section: key, kind, default and meaning. Thread safe.
[[nodiscard]] std::string describe_settings(std::span<const setting_rule> rules);

/// A fault in a settings file.
struct settings_fault {
    std::string file;
    std::string section;
    std::string key;
    std::string value;   ///< a secret is hidden; as section and key, empty: the file as a whole
    std::string allowed; ///< what would be right

    [[nodiscard]] std::string to_string() const;
};

/// Checked settings of one process. Immutable; share it freely.
class settings {
public:
    /// Reads `path` and checks it against `rules`: every fault is listed, unknown keys are faults.
    /// A value that its default replaces is none.
    static std::variant<settings, std::vector<settings_fault>>
    load(const std::string& path, std::span<const setting_rule> rules);

    /// Values that were not allowed and that their defaults have replaced. Empty values, of which
    /// nothing is known, aren't among them.
    [[nodiscard]] const std::vector<settings_fault>& replaced() const noexcept
    {
        return m_replaced;
    }

    /// @name element access
    /// Precondition: a rule of that section and key exists, of a matching kind.
    /// @{
    [[nodiscard]] const std::string& text(std::string_view section, std::string_view key) const;
    [[nodiscard]] std::int64_t number(std::string_view section, std::string_view key) const;
    [[nodiscard]] double decimal(std::string_view section, std::string_view key) const;
    [[nodiscard]] bool is_set(std::string_view section, std::string_view key) const; ///< of a flag
    [[nodiscard]] std::vector<std::string> list(std::string_view section,
                                                std::string_view key) const;
    /// @}

private:
    std::map<std::string, std::string, std::less<>> m_values; // "section.key"
    std::vector<settings_fault> m_replaced;
};

/// Exit code for faulty settings (EX_CONFIG of sysexits.h).
inline constexpr int exit_settings = 78;

} // namespace hickorykeel
