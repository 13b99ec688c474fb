#include "process/configd.h"

#include "connection/sync_codec.h"

#include <optional> // optional
#include <utility>  // move

#include <glog/logging.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace hickorykeel {
namespace detail {

constexpr auto peer_interval = std::chrono::milliseconds{500};
constexpr auto platform_retry = std::chrono::milliseconds{500};
constexpr int watch_wait_ms = 2'000;
constexpr std::chrono::seconds watch_timeout{5};

// the platform's answer, or nothing
std::optional<nlohmann::json> read_platform(const std::string& address, const std::string& path)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(watch_timeout);
    client.set_read_timeout(watch_timeout);
    const auto answer = client.Get(path);
    if (!answer || answer->status != 200) {
        return std::nullopt;
    }
    auto body = nlohmann::json::parse(answer->body, nullptr, false);
    return body.is_object() ? std::optional(std::move(body)) : std::nullopt;
}

entries_update to_entries(const nlohmann::json& body)
{
    entries_update update;
    update.base = body.value("base", std::uint64_t{0});
    update.revision = body.value("revision", std::uint64_t{0});
    for (const auto& item : body.value("entries", nlohmann::json::array())) {
        update.entries.push_back({item.value("key", ""), item.value("value", nlohmann::json()),
                                  item.value("deleted", false),
                                  item.value("revision", std::uint64_t{0})});
    }
    return update;
}

std::string watch_path(const char* what, std::uint64_t after)
{
    return std::string("/v1/") + what + "?after=" + std::to_string(after) +
           "&wait_ms=" + std::to_string(watch_wait_ms);
}

} // namespace detail

result<std::unique_ptr<configd>> configd::open(const options& chosen)
{
    std::unique_ptr<configd> opened(new configd(chosen));
    if (auto failure = opened->start()) {
        return *failure;
    }
    return opened;
}

configd::configd(options chosen) : m_options(std::move(chosen)) {}

configd::~configd()
{
    m_is_stopping = true;
    for (std::thread& each : m_threads) {
        each.join();
    }
}

std::optional<error> configd::start()
{
    auto links =
        messenger::open({m_options.host + "/configd", m_options.link_listen, m_options.keys, 0},
                        [this](received_message&& received) { on_message(std::move(received)); });
    if (auto* failure = std::get_if<error>(&links)) {
        return *failure;
    }
    m_links = std::move(std::get<0>(links));
    m_is_open = true;
    m_threads.emplace_back([this] { ask_peers(); });
    m_threads.emplace_back([this] { watch_entries(); });
    m_threads.emplace_back([this] { watch_hosts(); });
    return std::nullopt;
}

const std::string& configd::link_address() const noexcept
{
    return m_links->listen_address();
}

void configd::on_message(received_message&& received)
{
    if (!m_is_open) {
        return;
    }
    const link::envelope& message = received.message;
    if (message.has_sync_request()) {
        link::envelope answer;
        answer.set_correlation(message.correlation());
        {
            const std::lock_guard lock(m_mutex);
            *answer.mutable_sync_update() = make_update(m_replica, message.sync_request());
        }
        m_links->answer(received.route, std::move(answer));
    }
    else if (message.has_sync_update()) {
        const std::lock_guard lock(m_mutex);
        apply_update(m_replica, message.sync_update());
    }
}

void configd::ask_peers()
{
    while (!m_is_stopping) {
        for (const std::string& address : peers()) {
            link::envelope question;
            {
                const std::lock_guard lock(m_mutex);
                *question.mutable_sync_request() = make_request(m_replica);
            }
            m_links->ask(address, std::move(question));
        }
        std::this_thread::sleep_for(detail::peer_interval);
    }
}

void configd::watch_entries()
{
    while (!m_is_stopping) {
        std::uint64_t after = 0;
        {
            const std::lock_guard lock(m_mutex);
            after = m_replica.revision();
        }
        const auto body =
            detail::read_platform(m_options.platform_address, detail::watch_path("entries", after));
        if (!body) {
            std::this_thread::sleep_for(detail::platform_retry);
            continue;
        }
        const std::lock_guard lock(m_mutex);
        if (m_replica.apply(detail::to_entries(*body)) == update_outcome::refused) {
            LOG(WARNING) << "published revision " << m_replica.revision() << " is refused";
        }
    }
}

void configd::watch_hosts()
{
    while (!m_is_stopping) {
        std::uint64_t after = 0;
        {
            const std::lock_guard lock(m_mutex);
            after = m_replica.hosts_revision();
        }
        const auto body =
            detail::read_platform(m_options.platform_address, detail::watch_path("hosts", after));
        if (!body) {
            std::this_thread::sleep_for(detail::platform_retry);
            continue;
        }
        const std::lock_guard lock(m_mutex);
        m_replica.apply(hosts_update{body->value("revision", std::uint64_t{0}),
                                     body->value("hosts", nlohmann::json::array())});
    }
}

std::vector<std::string> configd::peers() const
{
    const std::lock_guard lock(m_mutex);
    if (!m_replica.hosts()) {
        return m_options.seeds;
    }
    std::vector<std::string> addresses;
    for (const host& each : m_replica.hosts()->hosts) {
        if (each.name != m_options.host) {
            addresses.push_back(each.configd_address);
        }
    }
    return addresses;
}

} // namespace hickorykeel
