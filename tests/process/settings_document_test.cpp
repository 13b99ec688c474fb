#include "support/child_process.h"
#include "support/paths.h"

#include <algorithm> // min
#include <fstream>   // ifstream
#include <iterator>  // istreambuf_iterator
#include <string>    // string

#include <doctest/doctest.h>

using namespace hickorykeel::tests;

namespace {

std::string read_document()
{
    std::ifstream file{source_path("docs/CONFIGURATION.md")};
    return {std::istreambuf_iterator<char>{file}, {}};
}

/// Tables below the heading of `program`, with their headings one level up.
std::string documented(const std::string& document, const std::string& program)
{
    const std::string heading = "\n### " + program + "\n\n";
    const auto begin = document.find(heading);
    if (begin == std::string::npos) {
        return {};
    }
    const auto from = begin + heading.size();
    auto end = document.find("\n### ", from);
    end = std::min(end, document.find("\n## ", from));
    std::string text = document.substr(from, end == std::string::npos ? end : end - from);
    for (auto at = text.find("#### "); at != std::string::npos; at = text.find("#### ", at)) {
        text.erase(at, 1);
    }
    return text;
}

std::string without_end(std::string text)
{
    text.erase(text.find_last_not_of('\n') + 1);
    return text;
}

} // namespace

TEST_CASE("the documented settings are those of the programs")
{
    const std::string document = read_document();
    for (const std::string program : {"hickorykeel-configd", "hickorykeel-dispatch",
                                      "hickorykeel-entry", "hickorykeel-gateway"}) {
        CAPTURE(program);
        child_process described{program, {"--describe-settings"}};
        REQUIRE(described.wait_for_exit() == 0);
        CHECK(without_end(documented(document, program)) == without_end(described.output()));
    }
}
