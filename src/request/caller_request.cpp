#include "request/caller_request.h"

#include "version/check.h"
#include "version/json_text.h"

#include <algorithm>   // find, min
#include <array>       // array
#include <cctype>      // tolower
#include <charconv>    // from_chars
#include <functional>  // hash
#include <string_view> // string_view

#include <nlohmann/json.hpp>

namespace hickorykeel {
namespace detail {

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view completion_path = "/v1/completions";
constexpr std::string_view service_prefix = "/v1/services/";

// start of a prompt, by which a request goes to the endpoint that has it cached
constexpr std::size_t maximum_prefix_bytes = 256;

constexpr std::array<std::string_view, 4> forwarded_header_names{"accept", "accept-language",
                                                                 "content-type", "user-agent"};

using outcome = std::variant<admitted_request, refusal>;

refusal refuse(refusal_code code, std::string step, std::string message)
{
    return {code, ran_state::no, std::move(step), "", std::move(message), {}};
}

bool is_listed(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// sets the organisation of the key, or returns a refusal
std::optional<refusal> authenticate(const configuration& in_force, const caller_request& request,
                                    admitted_request& admitted)
{
    if (request.key.empty()) {
        if (admitted.matched_profile->is_open) {
            return std::nullopt;
        }
        return refuse(refusal_code::unauthorised, "authenticate",
                      "send the key as 'Authorization: Bearer <key>'");
    }
    admitted.key_digest = to_key_digest(request.key);
    const auto known = in_force.organisation_by_key_digest.find(admitted.key_digest);
    if (known == in_force.organisation_by_key_digest.end()) {
        return refuse(refusal_code::unauthorised, "authenticate", "the key is not in force");
    }
    admitted.organisation = known->second;
    return std::nullopt;
}

std::optional<refusal> check_profile(const profile& requested, const std::string& organisation)
{
    const bool is_open_to_all = requested.organisations.empty() || requested.is_open;
    if (is_open_to_all || is_listed(requested.organisations, organisation)) {
        return std::nullopt;
    }
    return refuse(refusal_code::profile_forbidden, "authorise",
                  "the organisation may not use this profile");
}

std::optional<refusal> find_target(const configuration& in_force, const std::string& name,
                                   target_kind kind, admitted_request& admitted)
{
    const auto found = in_force.targets.find(name);
    if (found == in_force.targets.end() || found->second.kind != kind ||
        !is_listed(admitted.matched_profile->targets, name)) {
        return refuse(refusal_code::target_unknown, "authorise",
                      "the profile has no such model or service");
    }
    admitted.matched_target = &found->second;
    return std::nullopt;
}

std::size_t count_text_bytes(const nlohmann::json& value)
{
    if (value.is_string()) {
        return value.get_ref<const std::string&>().size();
    }
    std::size_t total = 0;
    if (value.is_structured()) {
        for (const nlohmann::json& part : value) {
            total += count_text_bytes(part);
        }
    }
    return total;
}

void append_prefix(const nlohmann::json& value, std::string& prefix)
{
    if (value.is_string()) {
        const auto& text = value.get_ref<const std::string&>();
        prefix.append(text, 0,
                      maximum_prefix_bytes - std::min(maximum_prefix_bytes, prefix.size()));
    }
    else if (value.is_structured()) {
        for (const nlohmann::json& part : value) {
            if (prefix.size() >= maximum_prefix_bytes) {
                return;
            }
            append_prefix(part, prefix);
        }
    }
}

std::optional<refusal> read_output_limit(nlohmann::json& body, std::uint64_t allowed,
                                         std::uint64_t& limit)
{
    const char* member =
        body.contains("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    limit = allowed;
    if (body.contains(member)) {
        if (!body[member].is_number_unsigned() || body[member] == 0U) {
            return refuse(refusal_code::bad_request, "parse",
                          std::string(member) + " must be a whole number above 0");
        }
        limit = std::min(allowed, body[member].get<std::uint64_t>());
    }
    body[member] = limit;
    if (body.contains("max_tokens")) {
        // engines that know only the older member apply the same limit
        body["max_tokens"] = limit;
    }
    return std::nullopt;
}

std::optional<refusal> admit_model(const configuration& in_force, const caller_request& request,
                                   admitted_request& admitted)
{
    nlohmann::json body = parse_json(request.body);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string()) {
        return refuse(refusal_code::bad_request, "parse",
                      "the body must be a JSON object with the text member 'model'");
    }
    const char* prompt = request.path == chat_path ? "messages" : "prompt";
    if (!body.contains(prompt)) {
        return refuse(refusal_code::bad_request, "parse",
                      std::string("the body lacks '") + prompt + "'");
    }
    if (auto refused =
            find_target(in_force, body["model"].get<std::string>(), target_kind::model, admitted)) {
        return refused;
    }
    std::uint64_t output = 0;
    if (auto refused =
            read_output_limit(body, admitted.matched_profile->max_output_tokens, output)) {
        return refused;
    }
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean()) {
        return refuse(refusal_code::bad_request, "parse", "'stream' must be true or false");
    }
    std::string prefix = admitted.organisation + '\n';
    append_prefix(body[prompt], prefix);
    admitted.is_stream = stream != body.end() && stream->get<bool>();
    admitted.prefix_hash = std::hash<std::string>{}(prefix);
    admitted.prompt_tokens = estimate_tokens(count_text_bytes(body[prompt]));
    admitted.reserved_tokens = admitted.prompt_tokens + output;
    admitted.endpoint_path = request.path;
    admitted.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return std::nullopt;
}

std::optional<refusal> admit_service(const configuration& in_force, const caller_request& request,
                                     admitted_request& admitted)
{
    const std::string rest = request.path.substr(service_prefix.size());
    const std::string name = rest.substr(0, rest.find('/'));
    if (auto refused = find_target(in_force, name, target_kind::service, admitted)) {
        return refused;
    }
    const std::string path = rest.substr(name.size());
    admitted.endpoint_path = (path.empty() ? "/" : path) + request.query;
    admitted.reserved_tokens = admitted.matched_target->tokens_per_call;
    admitted.body = request.body;
    return std::nullopt;
}

std::optional<refusal> read_deadline(const caller_request& request, admitted_request& admitted)
{
    admitted.deadline = admitted.matched_profile->deadline;
    if (request.deadline_ms.empty()) {
        return std::nullopt;
    }
    std::int64_t requested = 0;
    const char* end = request.deadline_ms.data() + request.deadline_ms.size();
    const auto parsed = std::from_chars(request.deadline_ms.data(), end, requested);
    if (parsed.ec != std::errc{} || parsed.ptr != end || requested <= 0) {
        return refuse(refusal_code::bad_request, "parse",
                      "X-Hickorykeel-Deadline-Ms must be a whole number above 0");
    }
    admitted.deadline = std::min(admitted.deadline, std::chrono::milliseconds{requested});
    return std::nullopt;
}

} // namespace detail

std::variant<admitted_request, refusal> admit(const configuration& in_force,
                                              const caller_request& request)
{
    admitted_request admitted;
    admitted.revision = in_force.revision;
    const auto found = in_force.profiles.find(request.profile);
    if (found == in_force.profiles.end()) {
        // without a valid key, the response must not reveal which profiles exist
        const bool is_known =
            in_force.organisation_by_key_digest.contains(to_key_digest(request.key));
        return is_known ? detail::refuse(refusal_code::profile_unknown, "authorise",
                                         "name a published profile in X-Hickorykeel-Profile")
                        : detail::refuse(refusal_code::unauthorised, "authenticate",
                                         "the key is not in force");
    }
    admitted.matched_profile = &found->second;
    if (auto refused = detail::authenticate(in_force, request, admitted)) {
        return *refused;
    }
    if (auto refused = detail::check_profile(found->second, admitted.organisation)) {
        return *refused;
    }
    if (auto refused = detail::read_deadline(request, admitted)) {
        return *refused;
    }
    const bool is_model =
        request.path == detail::chat_path || request.path == detail::completion_path;
    if (!is_model && !request.path.starts_with(detail::service_prefix)) {
        return detail::refuse(refusal_code::bad_request, "parse", "no such call");
    }
    auto refused = is_model ? detail::admit_model(in_force, request, admitted)
                            : detail::admit_service(in_force, request, admitted);
    if (refused) {
        return *refused;
    }
    admitted.accounts = to_accounts(*admitted.matched_profile, admitted.organisation);
    return admitted;
}

std::vector<account_name> to_accounts(const profile& matched, const std::string& organisation)
{
    std::vector<account_name> accounts;
    if (matched.is_open) {
        accounts.push_back("open:" + matched.name);
    }
    else if (matched.rate > 0) {
        accounts.push_back(organisation + '/' + matched.name);
    }
    if (!organisation.empty()) {
        accounts.push_back(organisation);
    }
    return accounts;
}

std::optional<refusal> check_still_allowed(const configuration& in_force,
                                           const std::string& organisation,
                                           const std::string& key_digest,
                                           const std::string& profile_name,
                                           const std::string& target_name)
{
    const auto known = in_force.profiles.find(profile_name);
    if (known == in_force.profiles.end()) {
        return detail::refuse(refusal_code::profile_unknown, "authorise",
                              "the profile was withdrawn");
    }
    if (!key_digest.empty()) {
        const auto owner = in_force.organisation_by_key_digest.find(key_digest);
        if (owner == in_force.organisation_by_key_digest.end() || owner->second != organisation) {
            return detail::refuse(refusal_code::key_withdrawn, "authenticate",
                                  "the key was withdrawn");
        }
    }
    else if (!known->second.is_open) {
        return detail::refuse(refusal_code::unauthorised, "authenticate", "a key is needed");
    }
    if (auto refused = detail::check_profile(known->second, organisation)) {
        return refused;
    }
    if (!detail::is_listed(known->second.targets, target_name)) {
        return detail::refuse(refusal_code::target_unknown, "authorise",
                              "the target was withdrawn from the profile");
    }
    return std::nullopt;
}

bool is_forwarded_header(const std::string& name)
{
    std::string lower = name;
    for (char& letter : lower) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    const auto& allowed = detail::forwarded_header_names;
    return std::find(allowed.begin(), allowed.end(), lower) != allowed.end();
}

} // namespace hickorykeel
