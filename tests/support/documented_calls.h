#pragma once

#include <map>    // map
#include <set>    // set
#include <string> // string
#include <vector> // vector

namespace hickorykeel::tests {

/// A command of a page, and the answer that the page promises.
struct documented_call {
    std::string command; ///< with curl, for sh
    std::string status;  ///< "200"
    std::vector<std::string> header_lines;
    std::string body;
};

/// Values of the names that stand for them.
using named_values = std::map<std::string, std::string>;

/// The pairs of fenced `sh` and `http` blocks of a page, in its order. An `sh` block with curl that
/// no `http` block follows has an empty status. Pure.
[[nodiscard]] std::vector<documented_call> to_documented_calls(const std::string& page);

/// "METHOD /path" of the call's curl command, without its query. Pure.
[[nodiscard]] std::string to_call_name(const std::string& command);

/// Every "METHOD /path" between backticks outside of fenced blocks, without its query; `<...>` of a
/// path stands there as it is. Pure.
[[nodiscard]] std::set<std::string> to_named_calls(const std::string& page);

/// Whether `text` is `pattern`, in which `…` stands for any text, also none, and `<NAME>` for a
/// text without quotes, angles and white space that is put into `found`. Pure.
[[nodiscard]] bool is_like(const std::string& pattern, const std::string& text,
                           named_values& found);

/// How an answer, as `curl -i` prints it, differs from what is promised; empty: it doesn't.
///
/// The header lines that are promised must be there. A JSON body has exactly the members promised,
/// in any order; its texts are compared by `is_like`, a bare `…` is any number, and as the last
/// item of a list any further ones. Other bodies are compared as a whole by `is_like`. Pure.
[[nodiscard]] std::string difference(const documented_call& promised, const std::string& answer,
                                     named_values& found);

} // namespace hickorykeel::tests
