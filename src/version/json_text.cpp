#include "version/json_text.h"

namespace hickorykeel {

namespace {

/// Exact for valid JSON; for other texts, exact up to the first error.
bool is_too_deep(std::string_view text)
{
    std::size_t depth = 0;
    bool is_in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char symbol = text[i];
        if (is_in_string) {
            // an escaped quote doesn't end the string
            i += symbol == '\\' ? 1 : 0;
            is_in_string = symbol != '"';
        }
        else if (symbol == '"') {
            is_in_string = true;
        }
        else if (symbol == '[' || symbol == '{') {
            if (++depth > maximum_json_depth) {
                return true;
            }
        }
        else if ((symbol == ']' || symbol == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

} // namespace

nlohmann::json parse_json(std::string_view text)
{
    if (is_too_deep(text)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace hickorykeel
