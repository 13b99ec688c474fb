#include "support/documented_calls.h"

#include <algorithm>   // any_of
#include <regex>       // regex
#include <sstream>     // istringstream
#include <string_view> // string_view
#include <utility>     // move

#include <nlohmann/json.hpp>

namespace hickorykeel::tests {

namespace detail {
namespace {

constexpr std::string_view gap = "…";
constexpr std::string_view fence = "```";

/// What stands for a bare `…` while the promise is read as JSON.
constexpr std::string_view any_value = "(any)";

struct block {
    std::string kind; ///< "sh"
    std::string text;
};

std::vector<block> to_blocks(const std::string& page, std::string& outside)
{
    std::vector<block> blocks;
    std::istringstream lines{page};
    bool is_inside = false;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(fence)) {
            is_inside = !is_inside;
            if (is_inside) {
                blocks.push_back({line.substr(fence.size()), ""});
            }
        }
        else if (is_inside) {
            blocks.back().text += line + '\n';
        }
        else {
            outside += line + '\n';
        }
    }
    return blocks;
}

/// Splits "status line, header lines, empty line, body".
documented_call to_answer(const std::string& text)
{
    documented_call read;
    std::istringstream lines{text};
    std::string line;
    std::getline(lines, line);
    read.status = line.substr(line.find(' ') + 1, 3);
    while (std::getline(lines, line) && !line.empty() && line != "\r") {
        read.header_lines.push_back(line.ends_with('\r') ? line.substr(0, line.size() - 1) : line);
    }
    std::getline(lines, read.body, '\0');
    return read;
}

std::string trim(const std::string& text)
{
    const auto end = text.find_last_not_of(" \n\r");
    return end == std::string::npos ? std::string{} : text.substr(0, end + 1);
}

/// The promise as JSON; a bare `…` becomes the text `any_value`.
nlohmann::json to_json(const std::string& promised)
{
    std::string text;
    bool is_quoted = false;
    for (std::size_t i = 0; i < promised.size(); ++i) {
        is_quoted = is_quoted != (promised[i] == '"');
        if (!is_quoted && promised.compare(i, gap.size(), gap) == 0) {
            text += '"' + std::string{any_value} + '"';
            i += gap.size() - 1;
        }
        else {
            text += promised[i];
        }
    }
    return nlohmann::json::parse(text, nullptr, false);
}

std::string compare(const nlohmann::json& promised, const nlohmann::json& given,
                    const std::string& path, named_values& found);

std::string compare_objects(const nlohmann::json& promised, const nlohmann::json& given,
                            const std::string& path, named_values& found)
{
    for (const auto& item : given.items()) {
        if (!promised.contains(item.key())) {
            return path + '/' + item.key() + " isn't promised";
        }
    }
    for (const auto& item : promised.items()) {
        const std::string below = path + '/' + item.key();
        if (!given.contains(item.key())) {
            return below + " is missing";
        }
        if (auto fault = compare(item.value(), given[item.key()], below, found); !fault.empty()) {
            return fault;
        }
    }
    return {};
}

std::string compare_lists(const nlohmann::json& promised, const nlohmann::json& given,
                          const std::string& path, named_values& found)
{
    const bool is_open = !promised.empty() && promised.back() == any_value;
    const std::size_t fixed = promised.size() - (is_open ? 1 : 0);
    if (given.size() < fixed || (!is_open && given.size() > fixed)) {
        return path + " has " + std::to_string(given.size()) + " items";
    }
    for (std::size_t i = 0; i < fixed; ++i) {
        auto fault = compare(promised[i], given[i], path + '/' + std::to_string(i), found);
        if (!fault.empty()) {
            return fault;
        }
    }
    return {};
}

std::string compare(const nlohmann::json& promised, const nlohmann::json& given,
                    const std::string& path, named_values& found)
{
    if (promised.is_object() && given.is_object()) {
        return compare_objects(promised, given, path, found);
    }
    if (promised.is_array() && given.is_array()) {
        return compare_lists(promised, given, path, found);
    }
    const bool is_same = promised == any_value ? given.is_number()
                         : promised.is_string() && given.is_string()
                             ? is_like(promised, given, found)
                             : promised == given;
    return is_same ? std::string{}
                   : path + " is " + given.dump() + ", promised is " + promised.dump();
}

std::string compare_bodies(const std::string& promised, const std::string& given,
                           named_values& found)
{
    if (promised.starts_with('{')) {
        const auto wanted = to_json(promised);
        const auto body = nlohmann::json::parse(given, nullptr, false);
        if (wanted.is_discarded() || body.is_discarded()) {
            return wanted.is_discarded() ? "the promise is no JSON" : "the body is no JSON";
        }
        return compare(wanted, body, "", found);
    }
    return is_like(trim(promised), trim(given), found) ? "" : "another body";
}

std::vector<std::string_view> split_at_gaps(std::string_view pattern)
{
    std::vector<std::string_view> parts;
    for (auto end = pattern.find(gap); end != std::string_view::npos; end = pattern.find(gap)) {
        parts.push_back(pattern.substr(0, end));
        pattern.remove_prefix(end + gap.size());
    }
    parts.push_back(pattern);
    return parts;
}

/// Where `part` ends in `text` if it begins at `at`; npos: it isn't there.
std::size_t match(std::string_view part, std::string_view text, std::size_t at, named_values& found)
{
    while (!part.empty()) {
        const auto name_end = part.front() == '<' ? part.find('>') : std::string_view::npos;
        if (name_end == std::string_view::npos) {
            if (at >= text.size() || text[at] != part.front()) {
                return std::string_view::npos;
            }
            part.remove_prefix(1);
            ++at;
            continue;
        }
        const auto value = text.substr(at, text.substr(at).find_first_of("\"<> \r\n"));
        if (value.empty()) {
            return std::string_view::npos;
        }
        found[std::string{part.substr(1, name_end - 1)}] = value;
        part.remove_prefix(name_end + 1);
        at += value.size();
    }
    return at;
}

} // namespace
} // namespace detail

std::vector<documented_call> to_documented_calls(const std::string& page)
{
    std::vector<documented_call> calls;
    std::string outside;
    bool is_open = false; // the last command waits for its answer
    for (const detail::block& each : detail::to_blocks(page, outside)) {
        if (each.kind == "sh" && each.text.find("curl") != std::string::npos) {
            calls.push_back({each.text, "", {}, ""});
            is_open = true;
        }
        else if (each.kind == "http" && is_open) {
            documented_call answer = detail::to_answer(each.text);
            answer.command = std::move(calls.back().command);
            calls.back() = std::move(answer);
            is_open = false;
        }
    }
    return calls;
}

std::string to_call_name(const std::string& command)
{
    static const std::regex method{R"(-X ([A-Z]+))"};
    static const std::regex path{R"(\$[A-Z_]+(/[^ ?"'\n]*))"};
    std::smatch found;
    std::string name =
        command.find(" -d ") != std::string::npos || command.find("--data") != std::string::npos
            ? "POST"
            : "GET";
    if (std::regex_search(command, found, method)) {
        name = found[1];
    }
    return std::regex_search(command, found, path) ? name + ' ' + found[1].str() : std::string{};
}

std::set<std::string> to_named_calls(const std::string& page)
{
    static const std::regex named{R"(`((GET|POST|PUT|PATCH|DELETE) /[^`?]*)(\?[^`]*)?`)"};
    std::string outside;
    detail::to_blocks(page, outside);
    std::set<std::string> names;
    for (std::sregex_iterator it{outside.begin(), outside.end(), named}, end; it != end; ++it) {
        names.insert((*it)[1]);
    }
    return names;
}

bool is_like(const std::string& pattern, const std::string& text, named_values& found)
{
    const auto parts = detail::split_at_gaps(pattern);
    std::size_t end = detail::match(parts.front(), text, 0, found);
    for (std::size_t i = 1; i < parts.size() && end != std::string::npos; ++i) {
        const bool is_last = i + 1 == parts.size();
        std::size_t next = std::string::npos;
        for (std::size_t at = end; at <= text.size() && next == std::string::npos; ++at) {
            next = detail::match(parts[i], text, at, found);
            if (is_last && next != text.size()) {
                next = std::string::npos;
            }
        }
        end = next;
    }
    return end == text.size();
}

std::string difference(const documented_call& promised, const std::string& answer,
                       named_values& found)
{
    const documented_call given = detail::to_answer(answer);
    if (given.status != promised.status) {
        return "status " + given.status + ", promised is " + promised.status;
    }
    for (const std::string& line : promised.header_lines) {
        if (std::none_of(given.header_lines.begin(), given.header_lines.end(),
                         [&](const std::string& each) { return is_like(line, each, found); })) {
            return "no header line " + line;
        }
    }
    return detail::compare_bodies(promised.body, given.body, found);
}

} // namespace hickorykeel::tests
