#include "request/caller_request.h"
#include "support/published.h"
#include "version/check.h"

#include <variant> // get

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace hickorykeel;

TEST_CASE("output limit of a request to a model")
{
    auto object = tests::published_example();
    object["organisations/volunteers"]["key_digests"] = {to_key_digest("k")};
    const auto in_force = std::get<configuration>(check(1, tests::to_entries(object)));
    caller_request request;
    request.path = "/v1/chat/completions";
    request.key = "k";
    request.profile = "visit-summary";
    request.body = R"({"model":"assistant","messages":[],"max_completion_tokens":1,
                       "max_tokens":100000})";
    const auto outcome = admit(in_force, request);
    const auto& admitted = std::get<admitted_request>(outcome);
    const auto body = nlohmann::json::parse(admitted.body);
    CHECK(admitted.reserved_tokens == 1);
    CHECK(body["max_completion_tokens"] == 1);
    CHECK(body["max_tokens"] == 1);
}
