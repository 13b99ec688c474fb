#include "process/entry_admin.h"

#include "process/common_admin.h"
#include "process/explain.h"

#include <charconv> // from_chars
#include <optional> // optional
#include <utility>  // move

namespace hickorykeel {

namespace detail {
namespace {

std::string to_parameter(const admin_request& request, const std::string& name)
{
    const auto found = request.parameters.find(name);
    return found == request.parameters.end() ? std::string{} : found->second;
}

// nothing where `tokens` is no whole number from 1
std::optional<explain_question> to_question(const admin_request& request)
{
    explain_question asked{to_parameter(request, "organisation"),
                           to_parameter(request, "key_digest"), to_parameter(request, "profile"),
                           to_parameter(request, "target"), 1};
    const std::string tokens = to_parameter(request, "tokens");
    if (tokens.empty()) {
        return asked;
    }
    const char* end = tokens.data() + tokens.size();
    const auto parsed = std::from_chars(tokens.data(), end, asked.tokens);
    if (parsed.ec != std::errc{} || parsed.ptr != end || asked.tokens == 0) {
        return std::nullopt;
    }
    return asked;
}

serving_status to_status(const entry_context& shared)
{
    return {shared.is_leaving, shared.published->current(), shared.published->hosts(),
            shared.under_way, 0};
}

admin_answer answer_limits(entry& process)
{
    auto rows = nlohmann::json::array();
    for (const account_status& each : process.limits()) {
        rows.push_back({{"account", each.account},
                        {"rate", each.rate},
                        {"capacity", each.capacity},
                        {"level", each.level},
                        {"lent", each.lent},
                        {"borrowed", each.borrowed}});
    }
    return {200, {{"accounts", std::move(rows)}}};
}

std::vector<dispatch_address> to_candidates(const dispatch_directory& directory,
                                            const std::string& target_name)
{
    std::vector<dispatch_address> all;
    if (const auto route = directory.route_to(target_name)) {
        for (const auto& members : route->members) {
            all.insert(all.end(), members.begin(), members.end());
        }
    }
    return all;
}

admin_answer answer_explain(entry& process, const admin_request& request)
{
    const auto asked = to_question(request);
    if (!asked) {
        return to_admin_fault(400, "bad_request", "tokens is no whole number from 1");
    }
    const auto in_force = process.context().published->current();
    if (!in_force) {
        return to_admin_fault(503, "not_ready", "no configuration is in force yet");
    }
    const auto accounts = process.limits();
    const auto candidates = to_candidates(process.context().directory, asked->target);
    return {200, to_json(explain(*asked, {*in_force, accounts, candidates}))};
}

} // namespace
} // namespace detail

admin_server::options to_admin_options(entry& process, stop_signal& stop)
{
    entry_context& shared = process.context();
    const process_identity who{"hickorykeel-entry", shared.host, shared.failure_domain,
                               boot_clock::now()};
    admin_server::options built;
    built.registry = &shared.registry;
    built.is_ready = [&shared] { return shared.is_ready(); };
    built.routes = {
        {status_call.method, status_call.path,
         [who, &shared](const admin_request&) {
             return admin_answer{200, to_json(who, detail::to_status(shared), boot_clock::now())};
         }},
        make_hosts_route([&shared] { return shared.published->hosts(); },
                         [&shared](const host& each) {
                             return shared.directory.last_heard(each.dispatch_address);
                         }),
        {limits_call.method, limits_call.path,
         [&process](const admin_request&) { return detail::answer_limits(process); }},
        {explain_call.method, explain_call.path,
         [&process](const admin_request& request) {
             return detail::answer_explain(process, request);
         }},
        make_drain_route([&shared]() -> std::size_t { return shared.under_way; }, stop),
        make_validate_route(),
    };
    return built;
}

} // namespace hickorykeel
