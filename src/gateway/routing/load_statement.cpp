#include "gateway/routing/load_statement.h"

#include <array>    // array
#include <charconv> // from_chars
#include <cstddef>  // size_t

namespace hickorykeel::gateway {

std::optional<load_statement> parse_load_statement(std::string_view text) noexcept
{
    constexpr std::size_t pace_at = 3;
    std::array<std::uint32_t, pace_at + 1> values{};
    const char* at = text.data();
    const char* const end = at + text.size();
    std::size_t count = 0;
    for (bool is_last = false; !is_last; ++count) {
        if (count == values.size()) {
            return std::nullopt;
        }
        const auto [next, failure] = std::from_chars(at, end, values[count]);
        is_last = next == end;
        if (failure != std::errc{} || (!is_last && *next != ',') ||
            values[count] > (count == pace_at ? max_stated_pace : max_stated_requests)) {
            return std::nullopt;
        }
        at = is_last ? end : next + 1;
    }
    if (count < pace_at || (count > pace_at && values[pace_at] < min_stated_pace)) {
        return std::nullopt;
    }
    constexpr double percent = 100;
    return load_statement{values[0], values[1], values[2],
                          count > pace_at ? values[pace_at] / percent : 1};
}

} // namespace hickorykeel::gateway
