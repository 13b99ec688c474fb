#include "process/explain.h"

#include "request/caller_request.h"
#include "request/residency.h"

#include <algorithm> // find, find_if, none_of
#include <utility>   // move

namespace hickorykeel {

namespace detail {
namespace {

/// Goes through the checks in order; after the first that fails none is made.
class explainer {
public:
    explainer(const explain_question& asked, const explain_state& state)
        : m_asked(asked), m_state(state), m_organisation(asked.organisation)
    {
        m_explained.revision = state.in_force.revision;
    }

    explanation run()
    {
        if (find_profile() && find_organisation() && check_organisation() && find_target() &&
            check_residency() && check_candidates() && check_limits()) {
            m_explained.message = "the request would be handed to a dispatch process";
        }
        return std::move(m_explained);
    }

private:
    bool pass(const std::string& step, const std::string& reason)
    {
        m_explained.steps.push_back({step, true, reason});
        return true;
    }

    bool fail(const std::string& step, refusal_code code, const std::string& reason)
    {
        m_explained.steps.push_back({step, false, reason});
        m_explained.code = code;
        m_explained.message = reason;
        return false;
    }

    bool find_profile()
    {
        const auto found = m_state.in_force.profiles.find(m_asked.profile);
        if (found == m_state.in_force.profiles.end()) {
            return fail("profile", refusal_code::profile_unknown, "no such profile is published");
        }
        m_profile = &found->second;
        return pass("profile", "published");
    }

    bool find_organisation()
    {
        if (!m_asked.key_digest.empty()) {
            const auto& known = m_state.in_force.organisation_by_key_digest;
            const auto found = known.find(m_asked.key_digest);
            if (found == known.end()) {
                return fail("authenticate", refusal_code::unauthorised, "the key is not in force");
            }
            m_organisation = found->second;
        }
        if (m_organisation.empty()) {
            return m_profile->is_open ? pass("authenticate", "the profile needs no key")
                                      : fail("authenticate", refusal_code::unauthorised,
                                             "the profile needs a key");
        }
        if (!m_state.in_force.organisations.contains(m_organisation)) {
            return fail("authenticate", refusal_code::unauthorised,
                        "no such organisation is published");
        }
        return pass("authenticate", "the organisation is published");
    }

    bool check_organisation()
    {
        const auto& allowed = m_profile->organisations;
        if (!allowed.empty() &&
            std::find(allowed.begin(), allowed.end(), m_organisation) == allowed.end()) {
            return fail("authorise", refusal_code::profile_forbidden,
                        "the organisation may not use the profile");
        }
        return pass("authorise", "the organisation may use the profile");
    }

    bool find_target()
    {
        const auto& listed = m_profile->targets;
        const auto found = m_state.in_force.targets.find(m_asked.target);
        if (found == m_state.in_force.targets.end() ||
            std::find(listed.begin(), listed.end(), m_asked.target) == listed.end()) {
            return fail("target", refusal_code::target_unknown,
                        "the profile has no such model or service");
        }
        m_target = &found->second;
        return pass("target", "the profile lists it");
    }

    [[nodiscard]] bool is_allowed(const std::string& failure_domain_name) const
    {
        const auto& known = m_state.in_force.failure_domains;
        const auto found = known.find(failure_domain_name);
        return found != known.end() && is_allowed_region(m_profile->regions, found->second.region);
    }

    [[nodiscard]] explained_endpoint to_explained(const endpoint& each) const
    {
        explained_endpoint row{each.name, each.failure_domain, false, "may be used"};
        if (!is_allowed(each.failure_domain)) {
            row.reason = "its region is not one of the profile's";
        }
        else if (each.is_leaving) {
            row.reason = "it is leaving";
        }
        else {
            row.is_allowed = true;
        }
        return row;
    }

    bool check_residency()
    {
        for (const endpoint& each : m_target->endpoints) {
            m_explained.endpoints.push_back(to_explained(each));
        }
        const auto& rows = m_explained.endpoints;
        if (std::none_of(rows.begin(), rows.end(),
                         [](const auto& row) { return row.is_allowed; })) {
            return fail("residency", refusal_code::no_endpoint,
                        "no endpoint can be used where the data may be");
        }
        return pass("residency", "endpoints are where the data may be");
    }

    bool check_candidates()
    {
        const auto& peers = m_state.candidates;
        const auto first = std::find_if(peers.begin(), peers.end(), [&](const auto& peer) {
            return is_allowed(peer.failure_domain);
        });
        if (first == peers.end()) {
            return fail("candidates", refusal_code::no_endpoint,
                        "no dispatch process that is heard has a live endpoint there");
        }
        return pass("candidates", "a live endpoint is heard of in " + first->failure_domain);
    }

    // fleet-wide: what a full account holds
    [[nodiscard]] double burst_of(const account_name& account) const
    {
        const auto found = m_state.in_force.organisations.find(account);
        return found == m_state.in_force.organisations.end() ? m_profile->burst
                                                             : found->second.burst;
    }

    [[nodiscard]] std::optional<double> level_of(const account_name& account) const
    {
        const auto& all = m_state.accounts;
        const auto found = std::find_if(
            all.begin(), all.end(), [&](const auto& status) { return status.account == account; });
        return found == all.end() ? std::nullopt : std::optional{found->level};
    }

    bool check_limits()
    {
        const auto needed = static_cast<double>(m_asked.tokens);
        bool has_enough = true;
        for (const account_name& account : to_accounts(*m_profile, m_organisation)) {
            const auto level = level_of(account);
            m_explained.accounts.push_back({account, m_asked.tokens, level});
            if (needed > burst_of(account)) {
                return fail("limits", refusal_code::over_limit,
                            "the tokens are above the burst of " + account);
            }
            has_enough = has_enough && level && *level >= needed;
        }
        return pass("limits", has_enough ? "this host holds the tokens"
                                         : "other hosts would be asked for what lacks here");
    }

    const explain_question& m_asked;
    const explain_state& m_state;
    std::string m_organisation;
    const profile* m_profile = nullptr;
    const target* m_target = nullptr;
    explanation m_explained;
};

} // namespace
} // namespace detail

explanation explain(const explain_question& asked, const explain_state& state)
{
    return detail::explainer{asked, state}.run();
}

nlohmann::json to_json(const explanation& explained)
{
    auto steps = nlohmann::json::array();
    for (const auto& each : explained.steps) {
        steps.push_back({{"step", each.step},
                         {"outcome", each.is_passed ? "passed" : "refused"},
                         {"reason", each.reason}});
    }
    auto accounts = nlohmann::json::array();
    for (const auto& each : explained.accounts) {
        nlohmann::json row{{"account", each.account}, {"needed", each.needed}, {"level", nullptr}};
        if (each.level) {
            row["level"] = *each.level;
        }
        accounts.push_back(std::move(row));
    }
    auto endpoints = nlohmann::json::array();
    for (const auto& each : explained.endpoints) {
        endpoints.push_back({{"name", each.name},
                             {"failure_domain", each.failure_domain},
                             {"is_allowed", each.is_allowed},
                             {"reason", each.reason}});
    }
    return {{"decision", explained.code ? "refuse" : "admit"},
            {"code", explained.code ? std::string{to_kind(*explained.code).name} : ""},
            {"message", explained.message},
            {"revision", explained.revision},
            {"steps", std::move(steps)},
            {"accounts", std::move(accounts)},
            {"endpoints", std::move(endpoints)}};
}

} // namespace hickorykeel
