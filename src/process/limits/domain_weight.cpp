#include "process/limits/domain_weight.h"

#include <algorithm> // find, max, min
#include <bit>       // bit_ceil
#include <utility>   // move

namespace hickorykeel {

namespace detail {

constexpr std::string_view open_prefix = "open:";

bool is_open(std::string_view account)
{
    return account.starts_with(open_prefix);
}

std::string to_organisation(std::string_view account)
{
    return std::string{account.substr(0, account.find('/'))};
}

std::size_t count_slots(const configuration& published, const weight_options& options)
{
    return std::bit_ceil(std::max(published.failure_domains.size(), options.minimum_slots));
}

domain_weight to_weight(bool is_home, std::size_t slots, const weight_options& options)
{
    const auto count = static_cast<double>(slots);
    const double floor = options.total_floor / count;
    return {floor, is_home ? 1 - floor * (count - 1) : floor};
}

} // namespace detail

std::string to_organisation_account(std::string_view organisation)
{
    return std::string{organisation};
}

std::string to_profile_account(std::string_view organisation, std::string_view profile)
{
    return std::string{organisation} + '/' + std::string{profile};
}

std::string to_open_account(std::string_view profile)
{
    return std::string{detail::open_prefix} + std::string{profile};
}

account_limit to_limit(const configuration& published, std::string_view account)
{
    if (!detail::is_open(account) && account.find('/') == std::string_view::npos) {
        const auto found = published.organisations.find(std::string{account});
        return found == published.organisations.end()
                   ? account_limit{}
                   : account_limit{found->second.rate, found->second.burst};
    }
    const std::size_t start =
        detail::is_open(account) ? detail::open_prefix.size() : account.find('/') + 1;
    const auto found = published.profiles.find(std::string{account.substr(start)});
    return found == published.profiles.end()
               ? account_limit{}
               : account_limit{found->second.rate, found->second.burst};
}

std::string find_home_domain(const configuration& published, std::string_view account)
{
    if (!detail::is_open(account)) {
        const auto found = published.organisations.find(detail::to_organisation(account));
        return found == published.organisations.end() ? std::string{} : found->second.home;
    }
    const auto found =
        published.profiles.find(std::string{account.substr(detail::open_prefix.size())});
    if (found == published.profiles.end()) {
        return {};
    }
    const std::vector<std::string>& regions = found->second.regions;
    for (const auto& [name, domain] : published.failure_domains) {
        if (std::find(regions.begin(), regions.end(), domain.region) != regions.end()) {
            return name;
        }
    }
    return {};
}

domain_weight to_weight(const configuration& published, std::string_view account,
                        std::string_view failure_domain, const weight_options& options)
{
    if (!published.failure_domains.contains(std::string{failure_domain})) {
        return {};
    }
    const bool is_home = find_home_domain(published, account) == failure_domain;
    return detail::to_weight(is_home, detail::count_slots(published, options), options);
}

held_weights::held_weights(std::string failure_domain, weight_options options)
    : m_failure_domain{std::move(failure_domain)}, m_options{options}
{
}

void held_weights::apply(const configuration_ptr& published)
{
    if (m_published && published->revision <= m_published->revision) {
        return;
    }
    if (m_published) {
        note_moved_accounts(*m_published, *published);
    }
    // weights shrink with the slots, so the maximum holds until the confirmation
    m_slots = std::max(m_slots, detail::count_slots(*published, m_options));
    m_published = published;
}

void held_weights::confirm(std::uint64_t revision)
{
    if (!m_published || revision != m_published->revision) {
        return;
    }
    m_confirmed = revision;
    m_slots = detail::count_slots(*m_published, m_options);
    m_is_all_pending = false;
    m_pending.clear();
}

bool held_weights::is_confirmed() const noexcept
{
    return m_published && m_confirmed == m_published->revision;
}

double held_weights::weight(std::string_view account) const
{
    if (!m_published) {
        return 0;
    }
    if (!m_published->failure_domains.contains(m_failure_domain)) {
        return 0;
    }
    // a profile's account has the home of its organisation
    const std::string key =
        detail::is_open(account) ? std::string{account} : detail::to_organisation(account);
    const bool is_home = find_home_domain(*m_published, account) == m_failure_domain;
    const domain_weight allowed = detail::to_weight(is_home, m_slots, m_options);
    const bool is_pending = m_is_all_pending || m_pending.contains(key);
    return is_pending && m_options.waits_for_confirmation ? allowed.floor : allowed.full;
}

void held_weights::note_moved_accounts(const configuration& before, const configuration& after)
{
    for (const auto& [name, organisation] : after.organisations) {
        if (find_home_domain(before, name) != organisation.home) {
            m_pending.insert(name);
        }
    }
    for (const auto& [name, profile] : after.profiles) {
        const std::string account = to_open_account(name);
        if (profile.is_open &&
            find_home_domain(before, account) != find_home_domain(after, account)) {
            m_pending.insert(account);
        }
    }
}

} // namespace hickorykeel
