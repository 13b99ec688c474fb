#include "support/limiter_fleet.h"

#include <algorithm> // max, min
#include <limits>    // numeric_limits
#include <utility>   // move

namespace hickorykeel {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{100};

// bytes of an envelope with its names and stamps, then of each body
constexpr std::uint64_t envelope_bytes = 64;

struct to_bytes {
    std::uint64_t operator()(const loan_request& it) const { return 24 + it.account.size(); }
    std::uint64_t operator()(const loan_grant& it) const { return 32 + it.account.size(); }
    std::uint64_t operator()(const loan_settle&) const { return 26; }
    std::uint64_t operator()(const share_claim&) const { return 6; }
    std::uint64_t operator()(const share_answer& it) const { return 16 + 36 * it.others.size(); }
};

} // namespace

double largest_excess(const std::vector<charge>& charges, double rate, double burst)
{
    double sum = 0;
    double lowest = std::numeric_limits<double>::infinity();
    double excess = -burst;
    for (const charge& it : charges) {
        const double allowed = rate * to_seconds(it.at.time_since_epoch());
        lowest = std::min(lowest, sum - allowed);
        sum += it.tokens;
        excess = std::max(excess, sum - allowed - lowest - burst);
    }
    return excess;
}

limiter_fleet::limiter_fleet(std::uint64_t seed, limiter_options options, link_faults faults)
    : m_random{seed}, m_options{options}, m_faults{faults}
{
}

void limiter_fleet::start(const std::string& name, const std::string& failure_domain)
{
    member& host = m_hosts[name];
    host.failure_domain = failure_domain;
    host.incarnation = m_random() >> 1U;
    host.paused_until = m_now;
    host.host_limiter =
        std::make_unique<limiter>(name, failure_domain, host.incarnation, m_options, m_now);
    tick(name, host.incarnation);
}

void limiter_fleet::stop(const std::string& name)
{
    m_hosts[name].host_limiter.reset();
}

void limiter_fleet::pause(const std::string& name, time_point until)
{
    m_hosts[name].paused_until = until;
}

void limiter_fleet::set_link_cut(const std::string& one, const std::string& other, bool is_cut)
{
    if (is_cut) {
        m_cut_links.insert({one, other});
        m_cut_links.insert({other, one});
        return;
    }
    m_cut_links.erase({one, other});
    m_cut_links.erase({other, one});
}

void limiter_fleet::set_domain_isolated(const std::string& failure_domain, bool is_cut)
{
    for (const auto& [one, inside] : m_hosts) {
        for (const auto& [other, outside] : m_hosts) {
            if (inside.failure_domain == failure_domain &&
                outside.failure_domain != failure_domain) {
                set_link_cut(one, other, is_cut);
            }
        }
    }
}

void limiter_fleet::publish(const std::string& name, const configuration_ptr& published)
{
    run_when_resumed(name, m_hosts[name].incarnation, [this, published](limiter& host_limiter) {
        host_limiter.apply(published, m_now);
    });
}

void limiter_fleet::publish(const std::string& name, const host_list_ptr& hosts)
{
    run_when_resumed(name, m_hosts[name].incarnation,
                     [this, hosts](limiter& host_limiter) { host_limiter.apply(hosts, m_now); });
}

void limiter_fleet::reserve(const std::string& name, const std::vector<std::string>& accounts,
                            double tokens, double used, duration settle_delay)
{
    member& host = m_hosts.at(name);
    if (!host.host_limiter || host.paused_until > m_now) {
        return;
    }
    const reservation_result outcome = host.host_limiter->reserve(accounts, tokens, m_now);
    m_pending[{name, outcome.id}] = {accounts, tokens, used < 0 ? tokens : used, settle_delay,
                                     m_now};
    take(name, outcome);
}

void limiter_fleet::run_until(time_point end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.at);
        next.run();
    }
    m_now = end;
}

bool limiter_fleet::is_running(const std::string& name) const
{
    const auto found = m_hosts.find(name);
    return found != m_hosts.end() && found->second.host_limiter != nullptr;
}

bool limiter_fleet::is_responsive(const std::string& name) const
{
    return is_running(name) && m_hosts.at(name).paused_until <= m_now;
}

void limiter_fleet::schedule(time_point at, std::function<void()> run)
{
    m_events.push({at, ++m_order, std::move(run)});
}

// Runs now, or after the pause of the host; not for an incarnation that has ended.
void limiter_fleet::run_when_resumed(const std::string& name, std::uint64_t incarnation,
                                     const std::function<void(limiter&)>& run)
{
    const member& host = m_hosts.at(name);
    if (!host.host_limiter || host.incarnation != incarnation) {
        return;
    }
    if (host.paused_until > m_now) {
        schedule(host.paused_until,
                 [this, name, incarnation, run] { run_when_resumed(name, incarnation, run); });
        return;
    }
    run(*host.host_limiter);
}

void limiter_fleet::send(const std::string& from, const std::string& to, std::uint64_t query_id,
                         const body& content)
{
    ++m_counts.messages;
    m_counts.bytes += envelope_bytes + std::visit(to_bytes{}, content);
    const member& sender = m_hosts.at(from);
    const auto receiver = m_hosts.find(to);
    if (receiver == m_hosts.end() || m_cut_links.contains({from, to})) {
        return;
    }
    const bool is_same_domain = sender.failure_domain == receiver->second.failure_domain;
    const std::uint64_t incarnation = sender.incarnation;
    const int copies = random() < m_faults.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (random() < m_faults.loss) {
            continue;
        }
        const duration delay =
            (is_same_domain ? m_faults.intra_domain_delay : m_faults.cross_domain_delay) +
            from_seconds(to_seconds(m_faults.jitter) * random());
        schedule(m_now + delay, [=, this] { deliver(from, incarnation, to, query_id, content); });
    }
}

void limiter_fleet::deliver(const std::string& from, std::uint64_t incarnation,
                            const std::string& to, std::uint64_t query_id, const body& content)
{
    if (m_cut_links.contains({from, to})) {
        return;
    }
    run_when_resumed(to, m_hosts.at(to).incarnation, [=, this](limiter& host_limiter) {
        handle(from, incarnation, to, host_limiter, query_id, content);
    });
}

void limiter_fleet::handle(const std::string& from, std::uint64_t incarnation,
                           const std::string& to, limiter& host_limiter, std::uint64_t query_id,
                           const body& content)
{
    if (const auto* request = std::get_if<loan_request>(&content)) {
        send(to, from, query_id, host_limiter.on_loan_request(*request, m_now));
    }
    else if (const auto* grant = std::get_if<loan_grant>(&content)) {
        take(to, host_limiter.on_loan_grant(from, query_id, *grant, m_now));
    }
    else if (const auto* settled = std::get_if<loan_settle>(&content)) {
        host_limiter.on_loan_settle(*settled, m_now);
    }
    else if (const auto* claim = std::get_if<share_claim>(&content)) {
        send(to, from, query_id, host_limiter.on_share_claim(from, incarnation, *claim, m_now));
    }
    else if (const auto* answer = std::get_if<share_answer>(&content)) {
        host_limiter.on_share_answer(from, incarnation, query_id, *answer, m_now);
    }
}

void limiter_fleet::send_all(const std::string& from, const std::vector<limit_message>& messages)
{
    for (const limit_message& message : messages) {
        std::visit(
            [&](const auto& content) { send(from, message.host, message.query_id, content); },
            message.body);
    }
}

void limiter_fleet::take(const std::string& name, const limiter_events& events)
{
    send_all(name, events.messages);
    for (const reservation_result& outcome : events.results) {
        take(name, outcome);
    }
}

void limiter_fleet::take(const std::string& name, const reservation_result& outcome)
{
    send_all(name, outcome.messages);
    if (outcome.state == reservation_state::waiting) {
        return;
    }
    const auto found = m_pending.find({name, outcome.id});
    if (found == m_pending.end()) {
        return; // not reserved by limiter_fleet::reserve
    }
    const pending request = found->second;
    m_pending.erase(found);
    for (const std::string& account : request.accounts) {
        counts& own = m_by_account[account];
        if (outcome.state == reservation_state::refused) {
            ++own.refused;
            continue;
        }
        ++own.granted;
        own.granted_tokens += request.tokens;
        m_charges[account].push_back({m_now, request.tokens});
    }
    if (outcome.state == reservation_state::refused) {
        ++m_counts.refused;
        return;
    }
    ++m_counts.granted;
    m_counts.granted_tokens += request.tokens;
    m_counts.waited += m_now - request.since;
    const std::uint64_t incarnation = m_hosts.at(name).incarnation;
    schedule(m_now + request.settle_delay, [=, this, id = outcome.id] {
        run_when_resumed(name, incarnation, [=, this](limiter& host_limiter) {
            host_limiter.settle(id, request.used, m_now);
            for (const std::string& account : request.accounts) {
                m_charges[account].push_back({m_now, request.used - request.tokens});
            }
        });
    });
}

void limiter_fleet::tick(const std::string& name, std::uint64_t incarnation)
{
    run_when_resumed(name, incarnation, [=, this](limiter& host_limiter) {
        take(name, host_limiter.tick(m_now));
        schedule(m_now + tick_interval, [=, this] { tick(name, incarnation); });
    });
}

double limiter_fleet::random()
{
    return std::uniform_real_distribution<double>{0, 1}(m_random);
}

} // namespace hickorykeel
