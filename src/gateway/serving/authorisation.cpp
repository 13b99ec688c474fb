#include "gateway/serving/authorisation.h"

namespace hickorykeel::gateway {

namespace {

const organisation* find(const publication& published, const std::string& name)
{
    const auto found = published.organisations().find(name);
    return found == published.organisations().end() ? nullptr : &found->second;
}

} // namespace

const organisation* authorisation::find_organisation() const
{
    return find(*published, organisation);
}

const organisation* authorisation::find_key_owner() const
{
    return find(*published, key_owner);
}

authorisation_result authorise_request(const published_state& state, const message_head& head,
                                       const std::string& key, const authorisation_options& options,
                                       time_point now)
{
    authorisation granted;
    granted.published = state.published();
    if (granted.published == nullptr) {
        return authorisation_refusal{503, "no_configuration", options.retry_after};
    }
    const bool is_trusted = state.age(now) < options.max_trusted_age;
    granted.matched_route =
        granted.published->find_route(head.headers.find("Host"), to_path(head.target));
    if (granted.matched_route == nullptr) {
        return is_trusted ? authorisation_refusal{404, "route_unknown", {}}
                          : authorisation_refusal{503, "configuration_stale", options.retry_after};
    }
    granted.priority = granted.matched_route->priority;
    const organisation* owner = granted.published->find_key_owner(key);
    if (owner != nullptr) {
        granted.key_owner = owner->name;
    }
    if (granted.matched_route->allows_anonymous || !granted.published->needs_keys()) {
        return granted;
    }
    if (!state.may_accept_keys(now)) {
        return authorisation_refusal{503, "keys_stale", options.retry_after};
    }
    if (owner == nullptr) {
        return is_trusted ? authorisation_refusal{401, "key_unknown", {}}
                          : authorisation_refusal{503, "keys_stale", options.retry_after};
    }
    granted.organisation = owner->name;
    granted.priority = owner->priority.value_or(granted.priority);
    return granted;
}

} // namespace hickorykeel::gateway
