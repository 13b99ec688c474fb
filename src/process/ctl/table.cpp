#include "process/ctl/table.h"

#include <algorithm> // count_if, max
#include <cassert>   // assert
#include <cmath>     // abs
#include <cstddef>   // size_t
#include <iomanip>   // setprecision
#include <sstream>   // ostringstream
#include <utility>   // move

namespace hickorykeel::ctl {

namespace {

constexpr std::size_t gap = 2; // blanks between columns
constexpr int significant_digits = 7;
constexpr double largest_plain = 1e6; // larger ones are shown whole

std::string to_number(double value)
{
    std::ostringstream text;
    text << std::setprecision(significant_digits);
    // levels and rates are read, not computed with: no powers of ten
    if (std::abs(value) >= largest_plain) {
        text << std::fixed << std::setprecision(0);
    }
    text << value;
    return text.str();
}

std::string to_list(const nlohmann::json& values)
{
    std::string text;
    for (const auto& value : values) {
        text += (text.empty() ? "" : ", ") + to_cell(value);
    }
    return text.empty() ? "-" : text;
}

/// Columns of a terminal that UTF-8 text takes: all bytes but those that go on a character.
std::size_t to_width(const std::string& text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) {
        return (static_cast<unsigned char>(c) & 0xc0U) != 0x80U;
    }));
}

std::vector<std::size_t> to_widths(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], to_width(row[i]));
        }
    }
    return widths;
}

/// A terminal would obey control characters of a hostile answer.
std::string without_controls(std::string text)
{
    for (char& c : text) {
        const auto code = static_cast<unsigned char>(c);
        if (code < ' ' || code == 0x7f) {
            c = '?';
        }
    }
    return text;
}

std::vector<std::string> to_cells(const nlohmann::json& row, std::span<const column> columns)
{
    std::vector<std::string> cells;
    for (const auto& shown : columns) {
        const auto it = row.find(shown.member);
        cells.push_back(to_cell(it == row.end() ? nlohmann::json{} : *it));
    }
    return cells;
}

} // namespace

table::table(std::vector<std::string> headers) : m_rows{std::move(headers)} {}

void table::add(std::vector<std::string> cells)
{
    assert(cells.size() == m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

std::string table::to_string() const
{
    const auto widths = to_widths(m_rows);
    std::string text;
    for (const auto& row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line.append(widths[i] - to_width(row[i]) + gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

std::string to_cell(const nlohmann::json& value)
{
    if (value.is_string()) {
        const auto& text = value.get_ref<const std::string&>();
        return text.empty() ? "-" : without_controls(text);
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_number_float()) {
        return to_number(value.get<double>());
    }
    if (value.is_array()) {
        return to_list(value);
    }
    return value.is_null() ? "-" : value.dump();
}

std::string to_text(const nlohmann::json& answer, const view& chosen)
{
    if (!answer.is_object()) {
        return {};
    }
    const bool is_single = chosen.list.empty();
    const auto rows =
        is_single ? nlohmann::json::array({answer}) : answer.value(chosen.list, nlohmann::json{});
    if (!rows.is_array()) {
        return {};
    }
    if (rows.empty()) {
        return "no " + std::string{chosen.list} + '\n';
    }
    std::vector<std::string> headers;
    for (const auto& shown : chosen.columns) {
        headers.emplace_back(shown.header);
    }
    table shown{std::move(headers)};
    for (const auto& row : rows) {
        shown.add(to_cells(row, chosen.columns));
    }
    return shown.to_string();
}

} // namespace hickorykeel::ctl
