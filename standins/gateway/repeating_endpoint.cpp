#include "standins/gateway/repeating_endpoint.h"

#include <chrono>   // milliseconds
#include <cstdlib>  // abort
#include <iostream> // cerr
#include <utility>  // move

namespace hickorykeel::standins {

using gateway::header_list;
using gateway::message_head;
using gateway::parse_state;
using gateway::tcp_channel;

namespace {

constexpr int longest_run_ms = 12;
constexpr int longest_copy_delay_ms = 40;
constexpr int refusals_percent = 20;
constexpr int copies_percent = 80;
constexpr int status_misdirected = 421;
constexpr std::int64_t first_start_ms = 1'700'000'000'000;

} // namespace

/// A host's connection. It carries one request at a time.
struct repeating_endpoint::connection {
    explicit connection(asio::ip::tcp::socket socket)
        : channel{std::make_shared<tcp_channel>(std::move(socket))}
    {
    }

    std::shared_ptr<tcp_channel> channel;
    gateway::message_parser parser{gateway::message_role::request, {}};
    std::string running; ///< id of the request that runs; empty: none
};

repeating_endpoint::repeating_endpoint(platform_world& world, std::string name, std::string service,
                                       std::string failure_domain, const std::string& address,
                                       std::uint64_t seed)
    : m_world{world}, m_name{std::move(name)}, m_service{std::move(service)},
      m_failure_domain{std::move(failure_domain)}, m_address{address}, m_random{seed},
      m_acceptor{world.loop()}
{
    const auto local = gateway::to_tcp_endpoint(address);
    asio::error_code failure;
    if (local) {
        m_acceptor.open(local->protocol(), failure);
        m_acceptor.bind(*local, failure);
        m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (!local || failure) {
        std::cerr << address << ": " << failure.message() << '\n';
        std::abort();
    }
    accept();
    restart();
}

repeating_endpoint::~repeating_endpoint()
{
    for (const auto& open : m_connections) {
        open->channel->close();
    }
}

void repeating_endpoint::restart()
{
    ++m_incarnation;
    m_world.put("servers/" + incarnation(m_incarnation),
                {{"service", m_service},
                 {"address", m_address},
                 {"zone", m_failure_domain},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", "ready"},
                 {"seq", 0},
                 {"coldRemainingMs", 0},
                 {"born", first_start_ms + m_incarnation}});
    if (m_incarnation > 2) {
        m_world.remove("servers/" + incarnation(m_incarnation - 2));
    }
}

void repeating_endpoint::accept()
{
    m_acceptor.async_accept([this](const asio::error_code& failure, asio::ip::tcp::socket socket) {
        if (!failure) {
            serve(std::move(socket));
            accept();
        }
    });
}

void repeating_endpoint::serve(asio::ip::tcp::socket socket)
{
    const auto open = std::make_shared<connection>(std::move(socket));
    std::erase_if(m_connections, [](const auto& each) { return !each->channel->is_open(); });
    m_connections.push_back(open);
    // the channel doesn't own its connection
    const std::weak_ptr<connection> weak = open;
    open->channel->set_handlers({
        .on_bytes =
            [this, weak](std::string_view bytes) {
                if (const auto from = weak.lock()) {
                    on_bytes(from, bytes);
                }
            },
        .on_end = [](gateway::channel_end) {},
    });
    open->channel->start_reading();
}

void repeating_endpoint::on_bytes(const std::shared_ptr<connection>& from, std::string_view bytes)
{
    const std::size_t used = from->parser.feed(bytes);
    if (from->parser.is_failed() || used < bytes.size()) {
        // hosts send no request before the response to the last one
        from->channel->close();
        return;
    }
    if (from->parser.state() == parse_state::complete) {
        const message_head head = from->parser.head();
        from->parser.restart();
        on_request(from, head);
    }
}

void repeating_endpoint::on_request(const std::shared_ptr<connection>& from,
                                    const message_head& head)
{
    const std::string id{head.headers.find("X-Hickorykeel-Attempt-Id")};
    if (head.target == "/healthz") {
        header_list fields = headers(id);
        fields.add("X-Hickorykeel-Cold-Ms", "0");
        from->channel->send(gateway::format_response(200, fields, {}, true));
        return;
    }
    m_counts.returned += m_refusals.contains(id) ? 1 : 0;
    if (head.headers.find("X-Hickorykeel-Target-Instance") != incarnation(m_incarnation)) {
        ++m_counts.misdirected;
        refuse(from, id, status_misdirected);
        return;
    }
    if (random(99) < refusals_percent) {
        ++m_counts.rejected;
        refuse(from, id, random(1) == 0 ? 503 : 429);
        return;
    }
    from->running = id;
    send_due_copies(from, id);
    run(from, id);
}

void repeating_endpoint::run(const std::shared_ptr<connection>& from, const std::string& id)
{
    ++m_runs[id];
    after(random(longest_run_ms), [this, from, id] {
        header_list fields = headers(id);
        fields.add("X-Hickorykeel-Response-Seal", "seal-of-" + m_name);
        from->channel->send(gateway::format_response(200, fields, "answer of " + m_name, true));
        from->running.clear();
    });
}

void repeating_endpoint::refuse(const std::shared_ptr<connection>& from, const std::string& id,
                                int status)
{
    ++m_refusals[id];
    header_list fields = headers(id);
    if (status != status_misdirected) {
        fields.add("X-Hickorykeel-Not-Executed", "1");
    }
    const std::string bytes = gateway::format_response(status, fields, {}, true);
    from->channel->send(bytes);
    if (random(99) >= copies_percent) {
        return;
    }
    // most copies wait for their id
    const int chosen = random(7);
    copy_time when = copy_time::on_return;
    if (chosen == 0) {
        when = copy_time::on_next_request;
    }
    else if (chosen == 1) {
        when = copy_time::later;
    }
    const held_copy copy{from, id, bytes, when};
    if (copy.when == copy_time::later) {
        after(random(longest_copy_delay_ms), [this, copy] { send_copy(copy); });
        return;
    }
    m_held.push_back(copy);
}

/// Sends the copies that wait for a request with `id`, or for one on the connection `from`.
void repeating_endpoint::send_due_copies(const std::shared_ptr<connection>& from,
                                         const std::string& id)
{
    std::erase_if(m_held, [&](const held_copy& copy) {
        const bool is_due =
            copy.when == copy_time::on_return ? copy.id == id : copy.of.lock() == from;
        if (is_due) {
            send_copy(copy);
        }
        return is_due || copy.of.expired();
    });
}

void repeating_endpoint::send_copy(const held_copy& copy)
{
    const auto to = copy.of.lock();
    if (to == nullptr || !to->channel->is_open()) {
        return;
    }
    ++m_counts.copies;
    m_counts.matched += to->running == copy.id ? 1 : 0;
    m_counts.interjected += !to->running.empty() && to->running != copy.id ? 1 : 0;
    to->channel->send(copy.bytes);
}

void repeating_endpoint::after(int milliseconds, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(m_world.loop(),
                                                      std::chrono::milliseconds{milliseconds});
    timer->async_wait([timer, lives = std::weak_ptr{m_lives},
                       action = std::move(action)](const asio::error_code& failure) {
        if (!failure && !lives.expired()) {
            action();
        }
    });
}

std::string repeating_endpoint::incarnation(int number) const
{
    return m_name + "-" + std::to_string(number);
}

header_list repeating_endpoint::headers(const std::string& id) const
{
    header_list fields;
    fields.add("X-Hickorykeel-Attempt-Id", id);
    fields.add("X-Hickorykeel-Instance-Id", incarnation(m_incarnation));
    return fields;
}

int repeating_endpoint::random(int last)
{
    // a remainder rather than a distribution, whose results differ between standard libraries
    return static_cast<int>(m_random() % (static_cast<std::uint64_t>(last) + 1));
}

} // namespace hickorykeel::standins
