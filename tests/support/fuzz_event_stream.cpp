#include "connection/usage_scanner.h"
#include "support/fuzz_targets.h"

#include <algorithm> // max, min
#include <string>    // string

namespace hickorykeel::tests {

namespace {

constexpr std::size_t offsets_tried = 64;

/// Read by its lines, as the format of event streams says.
bool ends_with_done(std::string_view text)
{
    const auto last = text.find_last_not_of("\r\n");
    if (last == std::string_view::npos) {
        return false;
    }
    text = text.substr(0, last + 1);
    const auto line = text.find_last_of("\r\n");
    return text.substr(line == std::string_view::npos ? 0 : line + 1) == "data: [DONE]";
}

void check_same(const usage_scanner& whole, const usage_scanner& cut)
{
    hold(whole.used_tokens() == cut.used_tokens(), "pieces give the same usage");
    hold(whole.is_done() == cut.is_done(), "pieces give the same end");
}

} // namespace

int fuzz_event_stream(const std::uint8_t* data, std::size_t size)
{
    const auto text = to_text(data, size);
    usage_scanner whole;
    whole.append(text);
    const std::size_t stride = std::max<std::size_t>(1, size / offsets_tried);
    for (std::size_t at = 0; at <= size; at += stride) {
        usage_scanner halves;
        halves.append(text.substr(0, at));
        halves.append(text.substr(at));
        check_same(whole, halves);
    }
    usage_scanner bytes;
    for (std::size_t at = 0; at < size; ++at) {
        bytes.append(text.substr(at, 1));
    }
    check_same(whole, bytes);
    constexpr std::size_t seen_whole = 2000;
    if (size < seen_whole) {
        hold(whole.is_done() == ends_with_done(text), "the end is a line of its own");
    }
    return 0;
}

} // namespace hickorykeel::tests
