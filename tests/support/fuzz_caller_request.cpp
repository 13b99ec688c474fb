#include "request/caller_request.h"
#include "support/fuzz_targets.h"
#include "support/published.h"
#include "version/check.h"

#include <algorithm> // min
#include <array>     // array
#include <string>    // string
#include <variant>   // get, get_if

namespace hickorykeel::tests {

namespace {

const configuration& in_force()
{
    static const configuration built = [] {
        auto object = published_example();
        object["organisations/volunteers"]["key_digests"] = {to_key_digest("k")};
        return std::get<configuration>(check(1, to_entries(object)));
    }();
    return built;
}

caller_request to_request(std::string_view text)
{
    caller_request request;
    request.method = "POST";
    const std::array lines{&request.path,       &request.query,           &request.key,
                           &request.profile,    &request.idempotency_key, &request.deadline_ms,
                           &request.traceparent};
    for (std::string* line : lines) {
        const auto end = std::min(text.find('\n'), text.size());
        *line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    request.body = text;
    return request;
}

void check_output_limit(const admitted_request& admitted)
{
    const auto body = nlohmann::json::parse(admitted.body);
    for (const char* member : {"max_tokens", "max_completion_tokens"}) {
        hold(!body.contains(member) ||
                 body[member].get<double>() <=
                     static_cast<double>(admitted.reserved_tokens - admitted.prompt_tokens),
             "the engine is asked for no more than was reserved");
    }
}

void check_admitted(const caller_request& request, const admitted_request& admitted)
{
    hold(admitted.deadline.count() > 0, "a deadline is above zero");
    hold(admitted.deadline <= admitted.matched_profile->deadline,
         "no deadline is above the profile's");
    hold(admitted.reserved_tokens >= admitted.prompt_tokens, "a prompt is reserved for");
    if (admitted.matched_target->kind == target_kind::model) {
        check_output_limit(admitted);
    }
    auto again = request;
    again.body = admitted.body;
    const auto outcome = admit(in_force(), again);
    const auto* same = std::get_if<admitted_request>(&outcome);
    hold(same != nullptr && same->body == admitted.body &&
             same->prompt_tokens == admitted.prompt_tokens,
         "what was admitted is admitted again, the same");
}

} // namespace

int fuzz_caller_request(const std::uint8_t* data, std::size_t size)
{
    const auto request = to_request(to_text(data, size));
    const auto outcome = admit(in_force(), request);
    if (const auto* admitted = std::get_if<admitted_request>(&outcome)) {
        check_admitted(request, *admitted);
        return 0;
    }
    const auto& why = std::get<refusal>(outcome);
    hold(why.ran == ran_state::no, "what is refused at admission didn't run");
    hold(!why.step.empty() && !why.message.empty(), "a refusal has its step and its reason");
    hold(to_kind(why.code).http_status >= 400, "a refusal has its status");
    return 0;
}

} // namespace hickorykeel::tests
