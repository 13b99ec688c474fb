#include "process/entry.h"

#include "connection/exclusive_port.h"
#include "process/admission_actor.h"
#include "process/process_metrics.h"
#include "request/caller_request.h"

#include <mutex>   // lock_guard
#include <random>  // random_device
#include <utility> // move

#include <glog/logging.h>
#include <httplib.h>

namespace hickorykeel {
namespace detail {

constexpr auto poll_interval = std::chrono::milliseconds{200};

// a host that leaves goes on accepting for this long after the last request ended, so that callers
// that still hold an old list of hosts are served
constexpr duration quiet_time = std::chrono::seconds{2};

// callers that go on coming after this long are refused, so that the process ends
constexpr duration acceptance_time = std::chrono::seconds{10};

// time for the last messages to leave the process
constexpr auto goodbye_time = std::chrono::milliseconds{100};

constexpr std::time_t caller_read_timeout_s = 10;
constexpr std::time_t caller_write_timeout_s = 10;
constexpr std::time_t keep_alive_timeout_s = 5;
constexpr std::size_t secret_words = 8;

std::string random_secret()
{
    std::random_device device;
    std::string secret;
    for (std::size_t i = 0; i < secret_words; ++i) {
        const auto word = device();
        secret.append(reinterpret_cast<const char*>(&word), sizeof word);
    }
    return secret;
}

struct listen_address {
    std::string ip;
    int port = 0;
};

listen_address to_listen_address(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    return {address.substr(0, colon), std::stoi(address.substr(colon + 1))};
}

refusal to_withdrawal(refusal why)
{
    // whatever the endpoint did so far has run
    why.ran = ran_state::unknown;
    return why;
}

} // namespace detail

result<std::unique_ptr<entry>> entry::open(const options& chosen)
{
    std::unique_ptr<entry> opened(new entry(chosen));
    if (auto failure = opened->start(chosen)) {
        return *failure;
    }
    return opened;
}

entry::entry(const options& chosen)
    : m_actors(m_actor_config),
      m_context(chosen.host, chosen.failure_domain, chosen.dispatch_address),
      m_server(std::make_unique<caller_server>())
{
}

entry::~entry()
{
    m_is_stopping = true;
    m_server->stop();
    if (m_drainer.joinable()) {
        m_drainer.join();
    }
    if (m_poller.joinable()) {
        m_poller.join();
    }
    if (m_context.admission) {
        caf::scoped_actor self{m_actors};
        self->send_exit(m_context.admission, caf::exit_reason::user_shutdown);
        self->wait_for(m_context.admission);
    }
    m_context.links.reset();
}

std::optional<error> entry::start(const options& chosen)
{
    m_context.actors = &m_actors;
    m_context.ticket_life = chosen.ticket_life;
    if (!chosen.trace_address.empty()) {
        m_context.spans = std::make_unique<trace_exporter>(trace_exporter::options{
            chosen.trace_address, "hickorykeel-entry", chosen.host, chosen.failure_domain});
    }
    auto links =
        messenger::open({chosen.host + "/entry", chosen.link_listen, chosen.keys, 0},
                        [this](received_message&& received) { on_message(std::move(received)); });
    if (auto* failure = std::get_if<error>(&links)) {
        return *failure;
    }
    m_context.links = std::move(std::get<0>(links));
    m_context.desk.limits = std::make_unique<limiter>(chosen.host, chosen.failure_domain,
                                                      m_context.links->incarnation(),
                                                      limiter_options{}, boot_clock::now());
    m_context.admission =
        m_actors.spawn<caf::detached>(admission_actor, m_context.links.get(), &m_context.desk,
                                      chosen.host, &m_context.is_accruing);
    m_context.mint = std::make_unique<ticket_mint>(chosen.host, m_context.links->incarnation(),
                                                   detail::random_secret());
    m_context.published = std::make_unique<configuration_client>(
        *m_context.links, chosen.configd_address,
        configuration_client::handlers{
            [this](const configuration_ptr& in_force) { on_configuration(in_force); },
            [this](const host_list_ptr& listed) { on_hosts(listed); }});
    register_gauges();
    m_is_open = true;
    m_poller = std::thread([this] { poll_peers(); });
    return bind_http(chosen);
}

void entry::register_gauges()
{
    metrics& registry = m_context.registry;
    auto under_way = registry.gauges("hickorykeel_requests_under_way", "Requests being served");
    registry.before_collect([this, under_way, shared = process_metrics{registry}]() mutable {
        under_way.with({}).Set(static_cast<double>(m_context.under_way));
        shared.refresh(*m_context.links, *m_context.published);
    });
}

std::vector<account_status> entry::limits()
{
    std::vector<account_status> all;
    caf::scoped_actor self{m_actors};
    self->request(m_context.admission, caf::infinite, admission::describe_limits{})
        .receive([&](const admission::limits_description& described) { all = described; },
                 [](const caf::error&) {});
    return all;
}

std::optional<error> entry::bind_http(const options& chosen)
{
    // a server with TLS notices a gone caller only when it writes to it
    if (!chosen.tls.certificate.empty()) {
        auto made = to_server(chosen.tls);
        if (auto* failure = std::get_if<error>(&made)) {
            return *failure;
        }
        m_server = std::move(std::get<0>(made));
    }
    require_exclusive_port(*m_server);
    const std::size_t threads = chosen.http_threads;
    m_server->new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    m_server->set_payload_max_length(chosen.maximum_body_bytes);
    m_server->set_read_timeout(detail::caller_read_timeout_s);
    m_server->set_write_timeout(detail::caller_write_timeout_s);
    m_server->set_keep_alive_timeout(detail::keep_alive_timeout_s);
    m_server->set_tcp_nodelay(true);
    m_api.register_calls(*m_server);
    const auto address = detail::to_listen_address(chosen.http_listen);
    int port = address.port;
    if (port == 0) {
        port = m_server->bind_to_any_port(address.ip);
    }
    else if (!m_server->bind_to_port(address.ip, port)) {
        port = -1;
    }
    if (port < 0) {
        return error{error_kind::link_unreachable, "bind", chosen.http_listen,
                     "the address cannot be bound"};
    }
    m_http_address = address.ip + ':' + std::to_string(port);
    return std::nullopt;
}

void entry::serve()
{
    m_server->listen_after_bind();
}

void entry::stop()
{
    if (!m_context.is_leaving.exchange(true)) {
        LOG(INFO) << "leaving";
        m_drainer = std::thread([this] { drain(); });
    }
}

void entry::drain()
{
    time_point quiet_since = boot_clock::now();
    const time_point refuse_at = quiet_since + detail::acceptance_time;
    while (!m_is_stopping && boot_clock::now() - quiet_since < detail::quiet_time) {
        std::this_thread::sleep_for(detail::poll_interval);
        m_context.is_refusing = boot_clock::now() >= refuse_at;
        if (m_context.under_way > 0) {
            quiet_since = boot_clock::now();
        }
    }
    m_server->stop();
    say_goodbye();
}

void entry::say_goodbye()
{
    caf::scoped_actor self{m_actors};
    self->request(m_context.admission, caf::infinite, admission::say_goodbye{})
        .receive([](bool) {}, [](const caf::error&) {});
    std::this_thread::sleep_for(detail::goodbye_time);
}

void entry::on_message(received_message&& received)
{
    if (!m_is_open) {
        return;
    }
    link::envelope& message = received.message;
    if (message.has_dispatch_event()) {
        if (const auto under_way = m_context.exchanges.find(message.correlation())) {
            under_way->deliver(std::move(*message.mutable_dispatch_event()), message.incarnation(),
                               boot_clock::now());
        }
    }
    else if (message.has_pong()) {
        m_context.directory.on_pong(received.peer, message.incarnation(), message.pong(),
                                    received.maximum_age, boot_clock::now());
    }
    else if (message.has_sync_update()) {
        m_context.published->deliver(message.sync_update());
    }
    else if (message.has_ping() && message.ping().leaving()) {
        const std::string& sender = message.sender();
        m_context.leaving_peers.note(sender.substr(0, sender.find('/')), boot_clock::now());
    }
    else {
        caf::anon_send(
            m_context.admission,
            admission::link_message{std::make_shared<received_message>(std::move(received))});
    }
}

void entry::on_hosts(const host_list_ptr& listed)
{
    m_context.directory.apply(*listed, boot_clock::now());
    caf::anon_send(m_context.admission, admission::new_hosts{listed});
}

void entry::on_configuration(const configuration_ptr& in_force)
{
    m_context.directory.apply(*in_force, boot_clock::now());
    m_context.router.apply(*in_force);
    {
        const std::lock_guard lock(m_context.desk.mutex);
        m_context.desk.limits->apply(in_force, boot_clock::now());
    }
    for (const auto& under_way : m_context.exchanges.all()) {
        const exchange::identity& who = under_way->who();
        if (auto why = check_still_allowed(*in_force, who.organisation, who.key_digest, who.profile,
                                           who.target)) {
            under_way->abort(detail::to_withdrawal(*why));
        }
    }
}

void entry::poll_peers()
{
    while (!m_is_stopping) {
        m_context.published->poll();
        m_context.directory.refresh(boot_clock::now());
        for (const std::string& address : m_context.directory.take_due(boot_clock::now())) {
            link::envelope message;
            message.mutable_ping()->set_leaving(m_context.is_leaving);
            m_context.links->send_request(address, std::move(message));
        }
        if (m_context.is_leaving) {
            tell_leaving();
        }
        std::this_thread::sleep_for(detail::poll_interval);
    }
}

void entry::tell_leaving()
{
    const host_list_ptr listed = m_context.published->hosts();
    for (const host& each : listed ? listed->hosts : std::vector<host>{}) {
        if (each.name != m_context.host) {
            link::envelope message;
            message.mutable_ping()->set_leaving(true);
            m_context.links->send_request(each.entry_address, std::move(message));
        }
    }
}

} // namespace hickorykeel
