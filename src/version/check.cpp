#include "version/check.h"

#include "version/detail/member_rules.h"

#include <array>         // array
#include <set>           // set
#include <string_view>   // string_view
#include <unordered_map> // unordered_map

#include <openssl/evp.h> // EVP_Digest

namespace hickorykeel {

namespace detail {
namespace {

constexpr double maximum_tokens = 1e12;
constexpr number_range organisation_rate{0.001, maximum_tokens}; // tokens a second
constexpr number_range organisation_burst{1, maximum_tokens};    // tokens
constexpr number_range profile_limit{0, maximum_tokens};         // 0: no limit of its own
constexpr number_range deadline_range{1, 3'600'000};             // milliseconds
constexpr number_range output_range{1, 1'000'000};               // tokens
constexpr number_range tokens_per_call_range{1, 1'000'000'000};  // tokens
constexpr double minimum_burst = 1;                              // tokens

const std::array failure_domain_rules{
    member_rule<failure_domain>{"region", &failure_domain::region, true},
};

const std::array organisation_rules{
    member_rule<organisation>{"home", &organisation::home, true},
    member_rule<organisation>{"rate", &organisation::rate, true, text_format::name,
                              organisation_rate},
    member_rule<organisation>{"burst", &organisation::burst, true, text_format::name,
                              organisation_burst},
    member_rule<organisation>{"key_digests", &organisation::key_digests, true, text_format::digest},
};

const std::array profile_rules{
    member_rule<profile>{"regions", &profile::regions, true, text_format::name, {}, 1},
    member_rule<profile>{"organisations", &profile::organisations},
    member_rule<profile>{"open", &profile::is_open},
    member_rule<profile>{"targets", &profile::targets, true, text_format::name, {}, 1},
    member_rule<profile>{"idempotent", &profile::is_idempotent},
    member_rule<profile>{"interactive", &profile::is_interactive},
    member_rule<profile>{"deadline_ms", &profile::deadline, false, text_format::name,
                         deadline_range},
    member_rule<profile>{"rate", &profile::rate, false, text_format::name, profile_limit},
    member_rule<profile>{"burst", &profile::burst, false, text_format::name, profile_limit},
    member_rule<profile>{"max_output_tokens", &profile::max_output_tokens, false, text_format::name,
                         output_range},
};

const std::array target_rules{
    member_rule<target>{"kind", &target::kind, true},
    member_rule<target>{"tokens_per_call", &target::tokens_per_call, false, text_format::name,
                        tokens_per_call_range},
    member_rule<target>{"endpoints", &target::endpoints, true},
};

/// State of one validation.
struct check_state {
    configuration built;
    std::set<std::string> regions;
    faults found;
};

template <typename Record>
void read_record(const std::string& key, const std::string& name, const nlohmann::json& value,
                 std::span<const member_rule<Record>> rules, std::map<std::string, Record>& into,
                 faults& found)
{
    Record record;
    record.name = name;
    read_object<Record>(value, key, rules, record, found);
    into.emplace(name, std::move(record));
}

using entry_reader = void (*)(const std::string& key, const std::string& name,
                              const nlohmann::json& value, check_state& state);

/// Kind of entry, named by the first part of its key.
struct entry_kind {
    std::string_view prefix;
    entry_reader read;
};

constexpr std::array entry_kinds{
    entry_kind{"failure_domains",
               [](const auto& key, const auto& name, const auto& value, check_state& state) {
                   read_record<failure_domain>(key, name, value, failure_domain_rules,
                                               state.built.failure_domains, state.found);
               }},
    entry_kind{"organisations",
               [](const auto& key, const auto& name, const auto& value, check_state& state) {
                   read_record<organisation>(key, name, value, organisation_rules,
                                             state.built.organisations, state.found);
               }},
    entry_kind{"profiles",
               [](const auto& key, const auto& name, const auto& value, check_state& state) {
                   read_record<profile>(key, name, value, profile_rules, state.built.profiles,
                                        state.found);
               }},
    entry_kind{"targets",
               [](const auto& key, const auto& name, const auto& value, check_state& state) {
                   read_record<target>(key, name, value, target_rules, state.built.targets,
                                       state.found);
               }},
};

void read_entry(const std::string& key, const nlohmann::json& value, check_state& state)
{
    const auto slash = key.find('/');
    const auto prefix = std::string_view{key}.substr(0, slash);
    const auto* const kind =
        std::find_if(entry_kinds.begin(), entry_kinds.end(),
                     [prefix](const entry_kind& row) { return row.prefix == prefix; });
    if (slash == std::string::npos || kind == entry_kinds.end()) {
        state.found.push_back({key, "must start with failure_domains/, organisations/, profiles/ "
                                    "or targets/"});
        return;
    }
    const auto name = key.substr(slash + 1);
    if (!is_name(name)) {
        state.found.push_back({key, "must end in a name: [a-z0-9][a-z0-9._-]{0,62}"});
        return;
    }
    kind->read(key, name, value, state);
}

/// Adds a validation error unless `name` is known or empty; an empty name was reported when it was
/// read.
template <typename Known>
void check_reference(const std::string& path, const std::string& name, const Known& known,
                     std::string_view kind, faults& found)
{
    if (!name.empty() && !known.contains(name)) {
        found.push_back({path, "names the unknown " + std::string{kind} + " " + name});
    }
}

template <typename Known>
void check_references(const std::string& path, const std::vector<std::string>& names,
                      const Known& known, std::string_view kind, faults& found)
{
    for (std::size_t i = 0; i < names.size(); ++i) {
        check_reference(join(path, i), names[i], known, kind, found);
    }
}

void index_keys(const std::string& path, const organisation& owner, check_state& state)
{
    for (std::size_t i = 0; i < owner.key_digests.size(); ++i) {
        const auto& digest = owner.key_digests[i];
        if (digest.empty()) {
            continue;
        }
        const auto [it, is_new] =
            state.built.organisation_by_key_digest.emplace(digest, owner.name);
        if (!is_new && it->second != owner.name) {
            state.found.push_back({join(join(path, "key_digests"), i),
                                   "is also a key of organisations/" + it->second});
        }
    }
}

void check_organisations(check_state& state)
{
    for (const auto& [name, value] : state.built.organisations) {
        const auto path = join("organisations", name);
        check_reference(join(path, "home"), value.home, state.built.failure_domains,
                        "failure domain", state.found);
        index_keys(path, value, state);
    }
}

void check_limits(const std::string& path, const profile& value, faults& found)
{
    const bool has_rate = value.rate > 0;
    const bool has_burst = value.burst > 0;
    if (value.is_open && !has_rate) {
        found.push_back({join(path, "rate"), "must be above 0: the profile is open"});
    }
    if (value.is_open && !has_burst) {
        found.push_back({join(path, "burst"), "must be at least 1: the profile is open"});
    }
    if (has_burst && value.burst < minimum_burst) {
        found.push_back({join(path, "burst"), "must be 0 or at least 1"});
    }
    if (!value.is_open && has_rate != has_burst) {
        found.push_back({join(path, has_rate ? "burst" : "rate"),
                         "must be above 0: rate and burst come together"});
    }
}

void check_profiles(check_state& state)
{
    for (const auto& [name, value] : state.built.profiles) {
        const auto path = join("profiles", name);
        check_references(join(path, "regions"), value.regions, state.regions, "region",
                         state.found);
        check_references(join(path, "organisations"), value.organisations,
                         state.built.organisations, "organisation", state.found);
        check_references(join(path, "targets"), value.targets, state.built.targets, "target",
                         state.found);
        check_limits(path, value, state.found);
        if (value.is_open && !value.organisations.empty()) {
            state.found.push_back(
                {join(path, "organisations"), "must be empty: the profile is open"});
        }
    }
}

void check_targets(check_state& state)
{
    std::unordered_map<std::string, std::string> path_by_endpoint;
    for (const auto& [name, value] : state.built.targets) {
        const auto path = join(join("targets", name), "endpoints");
        for (std::size_t i = 0; i < value.endpoints.size(); ++i) {
            const auto& item = value.endpoints[i];
            const auto item_path = join(path, i);
            check_reference(join(item_path, "failure_domain"), item.failure_domain,
                            state.built.failure_domains, "failure domain", state.found);
            const auto [it, is_new] = path_by_endpoint.emplace(item.name, item_path);
            if (!is_new && !item.name.empty()) {
                state.found.push_back(
                    {join(item_path, "name"), "is also the name of " + it->second});
            }
        }
    }
}

} // namespace
} // namespace detail

std::variant<configuration, std::vector<configuration_fault>>
check(std::uint64_t revision, const published_entries& entries)
{
    detail::check_state state;
    state.built.revision = revision;
    for (const auto& [key, value] : entries) {
        detail::read_entry(key, value, state);
    }
    for (const auto& [name, value] : state.built.failure_domains) {
        state.regions.insert(value.region);
    }
    detail::check_organisations(state);
    detail::check_profiles(state);
    detail::check_targets(state);
    if (!state.found.empty()) {
        return std::move(state.found);
    }
    return std::move(state.built);
}

std::string to_key_digest(const std::string& key)
{
    constexpr std::string_view hex_digits = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned digit_mask = 0xF;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    EVP_Digest(key.data(), key.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::string text;
    for (unsigned i = 0; i < length; ++i) {
        text += hex_digits[digest.at(i) >> bits_per_digit];
        text += hex_digits[digest.at(i) & digit_mask];
    }
    return text;
}

} // namespace hickorykeel
