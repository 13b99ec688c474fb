#include "process/settings.h"

#include "process/error.h"

#include <algorithm>  // all_of, any_of, find_if, transform
#include <array>      // array
#include <cassert>    // assert
#include <charconv>   // from_chars
#include <cstddef>    // size_t
#include <fstream>    // ifstream
#include <functional> // less
#include <optional>   // optional
#include <sstream>    // istringstream
#include <utility>    // move

#include <arpa/inet.h> // inet_pton
#include <ini.h>       // ini_parse_string

namespace hickorykeel {

namespace {

constexpr std::size_t maximum_name_length = 63;
constexpr std::size_t z85_key_length = 40;
constexpr std::size_t digest_length = 64;
constexpr std::int64_t maximum_port = 65'535;

/// A line as long as inih's buffer would be split into two.
constexpr std::size_t maximum_line_length = INI_MAX_LINE - 2;

constexpr std::string_view z85_symbols =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^!/*?&<>()[]{}@%$#";

using value_map = std::map<std::string, std::string, std::less<>>;

std::string to_path(std::string_view section, std::string_view key)
{
    return std::string{section} + '.' + std::string{key};
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// Parts between commas; a list that goes on in an indented line arrives with a line end in it.
std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> parts;
    while (!trim(text).empty()) {
        const auto end = text.find_first_of(",\n");
        const auto part = trim(text.substr(0, end));
        const bool is_line_end = end != std::string_view::npos && text[end] == '\n';
        if (!part.empty() || !is_line_end) {
            parts.emplace_back(part);
        }
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return parts;
}

std::optional<std::int64_t> to_number(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

// --- one check for each kind ---------------------------------------------------------------

bool is_text(std::string_view text)
{
    return text.find('\n') == std::string_view::npos;
}

bool is_lower_or_digit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= maximum_name_length && is_lower_or_digit(text.front()) &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return is_lower_or_digit(c) || c == '.' || c == '_' || c == '-';
           });
}

bool is_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto port = to_number(text.substr(colon + 1));
    if (!port || *port < 1 || *port > maximum_port) {
        return false;
    }
    const std::string ip{text.substr(0, colon)};
    in_addr parsed{};
    return inet_pton(AF_INET, ip.c_str(), &parsed) == 1;
}

bool is_number(std::string_view text)
{
    return to_number(text).has_value();
}

std::optional<double> to_decimal(std::string_view text)
{
    double number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

bool is_decimal(std::string_view text)
{
    return to_decimal(text).has_value();
}

bool is_label(std::string_view text)
{
    std::string lower{text};
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c | 0x20) : c; });
    return is_name(lower);
}

bool is_pair(std::string_view text)
{
    const auto colon = text.find(':');
    return colon != std::string_view::npos && is_label(text.substr(0, colon)) &&
           is_label(text.substr(colon + 1));
}

bool is_flag(std::string_view text)
{
    return text == "true" || text == "false";
}

bool is_z85_key(std::string_view text)
{
    return text.size() == z85_key_length &&
           text.find_first_not_of(z85_symbols) == std::string_view::npos;
}

bool is_digest(std::string_view text)
{
    return text.size() == digest_length &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

template <bool (*is_part)(std::string_view)>
bool is_list(std::string_view text)
{
    const auto parts = split(text);
    return std::all_of(parts.begin(), parts.end(),
                       [](const std::string& part) { return is_part(part); });
}

struct kind_row {
    setting_kind kind;
    bool (*is_right)(std::string_view);
    std::string_view allowed;
};

constexpr std::array kind_rows{
    kind_row{setting_kind::text, is_text, "one line of text"},
    kind_row{setting_kind::name, is_name,
             "a name of at most 63 characters: a-z, 0-9, '.', '_' and '-', first a-z or 0-9"},
    kind_row{setting_kind::address, is_address, "ip:port with an IPv4 number and a port from 1"},
    kind_row{setting_kind::address_list, is_list<is_address>, "ip:port, comma-separated"},
    kind_row{setting_kind::number, is_number, "a whole number"},
    kind_row{setting_kind::flag, is_flag, "true or false"},
    kind_row{setting_kind::z85_key, is_z85_key, "a Z85 key of 40 characters"},
    kind_row{setting_kind::z85_key_list, is_list<is_z85_key>,
             "Z85 keys of 40 characters, comma-separated"},
    kind_row{setting_kind::digest, is_digest, "64 hex digits in lower case"},
    kind_row{setting_kind::decimal, is_decimal, "a number"},
    kind_row{setting_kind::label, is_label,
             "a name of at most 63 characters: letters, 0-9, '.', '_' and '-', first a letter or "
             "0-9"},
    kind_row{setting_kind::pair_list, is_list<is_pair>, "name:name, comma-separated"},
};

const kind_row& to_row(setting_kind kind)
{
    return kind_rows[static_cast<std::size_t>(kind)];
}

bool is_allowed(const setting_rule& rule, std::string_view value)
{
    if (value.empty()) {
        return !rule.is_required && rule.default_value.empty();
    }
    if (!to_row(rule.kind).is_right(value)) {
        return false;
    }
    if (rule.kind == setting_kind::decimal) {
        const double number = *to_decimal(value);
        return static_cast<double>(rule.minimum) <= number &&
               number <= static_cast<double>(rule.maximum);
    }
    if (rule.kind != setting_kind::number) {
        return true;
    }
    const auto number = *to_number(value);
    return rule.minimum <= number && number <= rule.maximum;
}

/// A wrong value as a fault shows it; a mistyped secret stays out of the log.
std::string to_shown(const setting_rule& rule, const std::string& value)
{
    if (rule.kind != setting_kind::z85_key || rule.key != "secret_key") {
        return value;
    }
    return "(hidden, " + std::to_string(value.size()) + " characters)";
}

// --- reading -------------------------------------------------------------------------------

const setting_rule* find_rule(std::span<const setting_rule> rules, std::string_view section,
                              std::string_view key)
{
    const auto it = std::find_if(rules.begin(), rules.end(), [&](const setting_rule& rule) {
        return rule.section == section && rule.key == key;
    });
    return it == rules.end() ? nullptr : &*it;
}

bool has_section(std::span<const setting_rule> rules, std::string_view section)
{
    return std::any_of(rules.begin(), rules.end(),
                       [&](const setting_rule& rule) { return rule.section == section; });
}

/// Returns the content of a file, or nothing if it can't be read.
std::optional<std::string> read_file(const std::string& path)
{
    constexpr std::size_t block_bytes = 4'096;
    std::ifstream file{path};
    std::string content;
    std::array<char, block_bytes> block{};
    // a stream buffer's iterators would throw where the stream only reports the failure: a directory
    // opens, but can't be read
    while (file.read(block.data(), block.size()) || file.gcount() > 0) {
        content.append(block.data(), static_cast<std::size_t>(file.gcount()));
    }
    return file.bad() || !file.is_open() ? std::nullopt : std::optional{std::move(content)};
}

/// Collects values and faults while the file is parsed.
class reader {
public:
    reader(std::string file, std::span<const setting_rule> rules)
        : m_file{std::move(file)}, m_rules{rules}
    {
    }

    void parse(const std::string& content)
    {
        find_long_lines(content);
        const int line = ini_parse_string(content.c_str(), &reader::on_value, this);
        if (line != 0) {
            add("", "", "line " + std::to_string(line), "[section], key = value, or a comment");
        }
        for (const auto& rule : m_rules) {
            check(rule);
        }
    }

    void add(std::string_view section, std::string_view key, std::string_view value,
             std::string allowed)
    {
        m_faults.push_back({m_file, std::string{section}, std::string{key}, std::string{value},
                            std::move(allowed)});
    }

    value_map take_values() { return std::move(m_values); }

    std::vector<settings_fault> take_faults() { return std::move(m_faults); }

    std::vector<settings_fault> take_replaced() { return std::move(m_replaced); }

private:
    static int on_value(void* self, const char* section, const char* key, const char* value)
    {
        static_cast<reader*>(self)->take(section, key, value);
        return 1;
    }

    void take(const std::string& section, const std::string& key, const std::string& value)
    {
        const auto* rule = find_rule(m_rules, section, key);
        if (rule == nullptr) {
            add(section, key, value, to_known(section));
            return;
        }
        // inih reports an indented line like a second value of the same key
        const auto [it, is_new] = m_values.try_emplace(to_path(section, key), value);
        if (is_new) {
            return;
        }
        const bool takes_list = rule->kind == setting_kind::address_list ||
                                rule->kind == setting_kind::z85_key_list ||
                                rule->kind == setting_kind::pair_list;
        if (takes_list) {
            it->second += '\n' + value;
        }
        else {
            add(section, key, value, "the key once in its section");
        }
    }

    /// The keys of a section, or the sections where it is unknown itself.
    [[nodiscard]] std::string to_known(std::string_view section) const
    {
        const bool is_section = has_section(m_rules, section);
        std::string known;
        std::string_view last;
        for (const auto& rule : m_rules) {
            const auto name = is_section ? rule.key : rule.section;
            if ((is_section && rule.section != section) || name == last) {
                continue;
            }
            known += (known.empty() ? "" : ", ") + std::string{name};
            last = name;
        }
        return (is_section ? "one of the keys " : "one of the sections ") + known;
    }

    void check(const setting_rule& rule)
    {
        const auto [it, is_missing] =
            m_values.try_emplace(to_path(rule.section, rule.key), rule.default_value);
        if (is_missing && !rule.is_required) {
            return;
        }
        if (is_allowed(rule, it->second)) {
            return;
        }
        if (rule.falls_back) {
            replace(rule, it->second);
            return;
        }
        add(rule.section, rule.key, to_shown(rule, it->second), to_allowed(rule));
    }

    void replace(const setting_rule& rule, std::string& value)
    {
        if (!value.empty()) {
            m_replaced.push_back({m_file, std::string{rule.section}, std::string{rule.key},
                                  to_shown(rule, value), to_allowed(rule)});
        }
        value = rule.default_value;
    }

    void find_long_lines(const std::string& content)
    {
        std::istringstream lines{content};
        std::string line;
        for (std::size_t number = 1; std::getline(lines, line); ++number) {
            if (line.size() > maximum_line_length) {
                add("", "", "line " + std::to_string(number),
                    "at most " + std::to_string(maximum_line_length) +
                        " characters; a list may go on in an indented line");
            }
        }
    }

    std::string m_file;
    std::span<const setting_rule> m_rules;
    value_map m_values;
    std::vector<settings_fault> m_faults;
    std::vector<settings_fault> m_replaced;
};

} // namespace

std::string to_allowed(const setting_rule& rule)
{
    if (rule.kind != setting_kind::number && rule.kind != setting_kind::decimal) {
        return std::string{to_row(rule.kind).allowed};
    }
    return std::string{to_row(rule.kind).allowed} + " from " + std::to_string(rule.minimum) +
           " to " + std::to_string(rule.maximum);
}

std::string describe_settings(std::span<const setting_rule> rules)
{
    std::string text;
    std::string_view section;
    for (const auto& rule : rules) {
        if (rule.section != section) {
            section = rule.section;
            text += (text.empty() ? "" : "\n") + std::string{"### ["} + std::string{section} +
                    "]\n\n| key | allowed | default | meaning |\n|---|---|---|---|\n";
        }
        const std::string standard = rule.is_required ? "required"
                                     : rule.default_value.empty()
                                         ? "empty"
                                         : '`' + std::string{rule.default_value} + '`';
        text += "| `" + std::string{rule.key} + "` | " + to_allowed(rule) + " | " + standard +
                " | " + std::string{rule.help} + " |\n";
    }
    return text;
}

std::string settings_fault::to_string() const
{
    if (section.empty() && key.empty() && value.empty()) {
        return error{error_kind::settings_invalid, "read settings", file, "allowed: " + allowed}
            .to_string();
    }
    std::string where = file + ": ";
    if (!section.empty()) {
        where += '[' + section + "] ";
    }
    if (!key.empty()) {
        where += key + " = ";
    }
    return where + '"' + value + "\": allowed: " + allowed;
}

std::variant<settings, std::vector<settings_fault>>
settings::load(const std::string& path, std::span<const setting_rule> rules)
{
    reader reading{path, rules};
    const std::optional<std::string> content = read_file(path);
    if (!content) {
        reading.add("", "", "", "a file that can be read");
        return reading.take_faults();
    }
    reading.parse(*content);
    auto faults = reading.take_faults();
    if (!faults.empty()) {
        return faults;
    }
    settings loaded;
    loaded.m_values = reading.take_values();
    loaded.m_replaced = reading.take_replaced();
    return loaded;
}

const std::string& settings::text(std::string_view section, std::string_view key) const
{
    const auto it = m_values.find(to_path(section, key));
    assert(it != m_values.end());
    return it->second;
}

std::int64_t settings::number(std::string_view section, std::string_view key) const
{
    const auto value = to_number(text(section, key));
    assert(value.has_value());
    return value.value_or(0);
}

double settings::decimal(std::string_view section, std::string_view key) const
{
    const auto value = to_decimal(text(section, key));
    assert(value.has_value());
    return value.value_or(0);
}

bool settings::is_set(std::string_view section, std::string_view key) const
{
    return text(section, key) == "true";
}

std::vector<std::string> settings::list(std::string_view section, std::string_view key) const
{
    return split(text(section, key));
}

} // namespace hickorykeel
