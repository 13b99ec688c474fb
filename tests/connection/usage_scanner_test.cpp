#include "connection/usage_scanner.h"

#include <string> // string

#include <doctest/doctest.h>

using namespace hickorykeel;

namespace {

usage_scanner scan(const std::string& answer)
{
    usage_scanner scanner;
    scanner.append(answer);
    return scanner;
}

bool is_done(const std::string& answer)
{
    return scan(answer).is_done();
}

std::uint64_t used_tokens(const std::string& answer)
{
    return scan(answer).used_tokens();
}

} // namespace

TEST_CASE("end of stream and token usage of a response")
{
    CHECK(is_done("data: {}\n\ndata: [DONE]\n\n"));
    CHECK(is_done("data: {}\r\n\r\ndata: [DONE]\r\n"));
    CHECK(is_done("data: [DONE]"));
    // truncated within text that the model wrote
    CHECK_FALSE(is_done(R"(data: {"text":"it ends with data: [DONE])"));
    const std::string padding(4'096, 'x');
    const std::string truncated = padding + "data: [DONE]";
    const std::string complete = padding + "\ndata: [DONE]";
    CHECK_FALSE(is_done(truncated));
    CHECK(is_done(complete));
    CHECK(used_tokens(R"({"total_tokens": 17})") == 17);
    CHECK(used_tokens(R"({"total_tokens":null},"created":1733)") == 0);
}
