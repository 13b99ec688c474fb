#pragma once

#include "version/check.h"
#include "version/configuration.h"

#include <algorithm>   // none_of
#include <chrono>      // milliseconds
#include <cstddef>     // size_t
#include <cstdint>     // uint32_t, uint64_t
#include <span>        // span
#include <string>      // string
#include <string_view> // string_view
#include <type_traits> // is_same_v
#include <utility>     // move
#include <variant>     // variant, visit
#include <vector>      // vector

#include <nlohmann/json.hpp>

namespace hickorykeel::detail {

using faults = std::vector<configuration_fault>;

/// Format of a string value.
enum class text_format { name, address, digest };

/// Whether `text` matches `[a-z0-9][a-z0-9._-]{0,62}`.
[[nodiscard]] bool is_name(std::string_view text) noexcept;

/// Whether `text` is "IPv4:port" or "[IPv6]:port" with a port from 1 to 65535.
[[nodiscard]] bool is_address(std::string_view text);

/// Whether `text` is 64 lower-case hex digits.
[[nodiscard]] bool is_digest(std::string_view text) noexcept;

/// Path of a member below `path`.
[[nodiscard]] std::string join(std::string_view path, std::string_view member);
[[nodiscard]] std::string join(std::string_view path, std::size_t index);

/// Range of a number; both ends are allowed.
struct number_range {
    double minimum = 0;
    double maximum = 0;
};

/// Pointer to the field that holds a member's value; the field's type decides the JSON type.
template <typename Record>
using member_pointer =
    std::variant<std::string Record::*, std::vector<std::string> Record::*, bool Record::*,
                 double Record::*, std::uint32_t Record::*, std::uint64_t Record::*,
                 std::chrono::milliseconds Record::*, target_kind Record::*, host_state Record::*,
                 std::vector<endpoint> Record::*>;

/// How one member of a published value is validated and where it is stored.
template <typename Record>
struct member_rule {
    std::string_view name;
    member_pointer<Record> pointer;
    bool is_required = false;
    text_format format = text_format::name; ///< of a string, or of each string of a list
    number_range range = {};                ///< of a number
    std::size_t minimum_items = 0;          ///< of a list
};

/// @name readers
/// Each reports validation errors at `path`, and sets `into` only if the value is valid.
/// @{
void read_value(const nlohmann::json& value, const std::string& path, text_format format,
                std::string& into, faults& found);
void read_list(const nlohmann::json& value, const std::string& path, text_format format,
               std::size_t minimum_items, std::vector<std::string>& into, faults& found);
void read_boolean(const nlohmann::json& value, const std::string& path, bool& into, faults& found);
bool read_number(const nlohmann::json& value, const std::string& path, number_range range,
                 double& into, faults& found);
bool read_integer(const nlohmann::json& value, const std::string& path, number_range range,
                  std::uint64_t& into, faults& found);
void read_kind(const nlohmann::json& value, const std::string& path, target_kind& into,
               faults& found);
void read_state(const nlohmann::json& value, const std::string& path, host_state& into,
                faults& found);
void read_endpoints(const nlohmann::json& value, const std::string& path,
                    std::vector<endpoint>& into, faults& found);
/// @}

/// Reads one member into its field.
template <typename Record>
void read_member(const nlohmann::json& value, const std::string& path,
                 const member_rule<Record>& rule, Record& record, faults& found)
{
    const auto read = [&](auto pointer) {
        auto& field = record.*pointer;
        using field_type = std::remove_reference_t<decltype(field)>;
        if constexpr (std::is_same_v<field_type, std::string>) {
            read_value(value, path, rule.format, field, found);
        }
        else if constexpr (std::is_same_v<field_type, std::vector<std::string>>) {
            read_list(value, path, rule.format, rule.minimum_items, field, found);
        }
        else if constexpr (std::is_same_v<field_type, bool>) {
            read_boolean(value, path, field, found);
        }
        else if constexpr (std::is_same_v<field_type, double>) {
            read_number(value, path, rule.range, field, found);
        }
        else if constexpr (std::is_same_v<field_type, target_kind>) {
            read_kind(value, path, field, found);
        }
        else if constexpr (std::is_same_v<field_type, host_state>) {
            read_state(value, path, field, found);
        }
        else if constexpr (std::is_same_v<field_type, std::vector<endpoint>>) {
            read_endpoints(value, path, field, found);
        }
        else {
            std::uint64_t integer = 0;
            if (read_integer(value, path, rule.range, integer, found)) {
                field = field_type(integer);
            }
        }
    };
    std::visit(read, rule.pointer);
}

/// Reads an object by its table of rules; unknown, missing and invalid members are errors.
template <typename Record>
void read_object(const nlohmann::json& value, const std::string& path,
                 std::span<const member_rule<Record>> rules, Record& record, faults& found)
{
    if (!value.is_object()) {
        found.push_back({path, "must be an object"});
        return;
    }
    for (const auto& [name, member] : value.items()) {
        const auto is_named = [&name = name](const auto& rule) { return rule.name == name; };
        if (std::none_of(rules.begin(), rules.end(), is_named)) {
            found.push_back({join(path, name), "is not a known member"});
        }
    }
    for (const auto& rule : rules) {
        const auto it = value.find(std::string{rule.name});
        if (it != value.end()) {
            read_member(*it, join(path, rule.name), rule, record, found);
        }
        else if (rule.is_required) {
            found.push_back({join(path, rule.name), "is missing"});
        }
    }
}

} // namespace hickorykeel::detail
