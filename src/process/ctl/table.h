#pragma once

#include <span>        // span
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <nlohmann/json.hpp>

namespace hickorykeel::ctl {

/// Text in columns that are as wide as their widest cell.
///
/// Thread safety: none; one owner.
class table {
public:
    explicit table(std::vector<std::string> headers);

    /// Precondition: as many cells as there are headers.
    void add(std::vector<std::string> cells);

    /// Linear in the size of all cells.
    [[nodiscard]] std::string to_string() const;

private:
    std::vector<std::vector<std::string>> m_rows; // the first one holds the headers
};

/// A column of a view: which member of each row it shows.
struct column {
    std::string_view header;
    std::string_view member;
};

/// How a part of an answer is shown. Members it does not name are left out.
struct view {
    std::string_view list; ///< member with the rows; empty: the answer is the only row
    std::span<const column> columns;
};

/// A value as a cell: "-" where there is none. Thread safe.
[[nodiscard]] std::string to_cell(const nlohmann::json& value);

/// Rows of `answer` as `chosen` shows them; empty where the answer has no such rows. Thread safe.
[[nodiscard]] std::string to_text(const nlohmann::json& answer, const view& chosen);

} // namespace hickorykeel::ctl
