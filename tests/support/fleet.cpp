#include "support/fleet.h"

#include "support/free_port.h"
#include "support/paths.h"
#include "support/socket_owner.h"
#include "support/wait_for.h"
#include "version/check.h"

#include <array>   // array
#include <cstdlib> // mkdtemp
#include <fstream> // ifstream, ofstream
#include <sstream> // ostringstream
#include <utility> // move

#include <httplib.h>
#include <zmq.h> // zmq_curve_keypair

namespace hickorykeel::tests {

namespace detail {

constexpr std::string_view target_prefix = "targets/";
constexpr std::string_view failure_domain_prefix = "failure_domains/";

std::filesystem::path make_folder()
{
    std::string path = std::filesystem::temp_directory_path() / "hickorykeel-fleet-XXXXXX";
    return ::mkdtemp(path.data());
}

nlohmann::json read_sample(const std::string& sample, const std::string& file)
{
    std::ifstream in{source_path("examples/" + sample + '/' + file)};
    return nlohmann::json::parse(in, nullptr, false);
}

/// Answer of a control call as JSON; discarded where it failed.
nlohmann::json to_json(const httplib::Result& answer)
{
    const bool is_good = answer && answer->status == 200;
    return is_good ? nlohmann::json::parse(answer->body, nullptr, false)
                   : nlohmann::json(nlohmann::json::value_t::discarded);
}

nlohmann::json get(const std::string& address, const std::string& path)
{
    return to_json(httplib::Client{"http://" + address}.Get(path));
}

bool put(const std::string& address, const std::string& path, const nlohmann::json& body)
{
    httplib::Client client{"http://" + address};
    const httplib::Result answer = client.Put(path, body.dump(), "application/json");
    return answer && answer->status >= 200 && answer->status < 300;
}

std::string join(const std::vector<std::string>& words)
{
    std::string text;
    for (const std::string& word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

} // namespace detail

/// How a process is started, and the one that runs.
struct fleet::program {
    std::string name;
    std::vector<std::string> arguments;
    std::string failure_domain;
    std::unique_ptr<child_process> running;
};

fleet::fleet(fleet_options options)
    : m_options(std::move(options)), m_folder(detail::make_folder()),
      m_entries(detail::read_sample(m_options.sample, "entries.json")),
      m_keys(detail::read_sample(m_options.sample, "keys.json")), m_platform_address(free_address())
{
    for (const auto& [name, key] : m_options.further_keys) {
        m_keys[name] = key;
    }
    if (m_options.is_link_encrypted) {
        make_link_keys();
    }
    if (m_options.adjust) {
        m_options.adjust(m_entries);
    }
}

fleet::~fleet()
{
    for (auto& [name, item] : m_programs) {
        item.running.reset();
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::string fleet::start()
{
    place_endpoints();
    place_hosts();
    if (m_options.has_relays) {
        place_relays();
    }
    add_platform();
    add_endpoints();
    for (const fleet_host& item : m_hosts) {
        add_host(item);
    }
    // all processes start side by side
    for (const std::string& name : m_order) {
        if (!process(name).wait_until_listening()) {
            return name + " doesn't listen: " + process(name).errors();
        }
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (!wait_until_ready(i)) {
            return m_hosts[i].name + " isn't ready";
        }
    }
    return {};
}

const std::vector<fleet_host>& fleet::hosts() const noexcept
{
    return m_hosts;
}

std::vector<std::string> fleet::failure_domains() const
{
    std::vector<std::string> names;
    for (const auto& item : m_entries.items()) {
        if (item.key().starts_with(detail::failure_domain_prefix)) {
            names.push_back(item.key().substr(detail::failure_domain_prefix.size()));
        }
    }
    return names;
}

const nlohmann::json& fleet::entries() const noexcept
{
    return m_entries;
}

const std::vector<std::string>& fleet::process_names() const noexcept
{
    return m_order;
}

std::string fleet::admin_key()
{
    return "sample-key-of-operators";
}

const std::string& fleet::link_secret_key() const noexcept
{
    return m_link_secret_key;
}

void fleet::make_link_keys()
{
    constexpr std::size_t z85_key_size = 41; // with the closing zero
    std::array<char, z85_key_size> public_key{};
    std::array<char, z85_key_size> secret_key{};
    zmq_curve_keypair(public_key.data(), secret_key.data());
    m_link_public_key = public_key.data();
    m_link_secret_key = secret_key.data();
}

std::string fleet::link_section(const std::string& address) const
{
    std::string text = "[link]\nlisten = " + address + '\n';
    if (!m_link_secret_key.empty()) {
        text += "public_key = " + m_link_public_key + "\nsecret_key = " + m_link_secret_key + '\n';
    }
    return text;
}

http_caller fleet::caller(std::size_t host, const std::string& organisation) const
{
    return http_caller{m_hosts.at(host).caller_address, key(organisation)};
}

std::string fleet::key(const std::string& organisation) const
{
    return organisation.empty() ? "" : m_keys.value(organisation, "");
}

nlohmann::json fleet::ledger(const std::string& endpoint) const
{
    return detail::get(address_of_endpoint(endpoint), "/control/ledger");
}

std::map<std::string, nlohmann::json> fleet::ledgers(const std::string& target) const
{
    std::map<std::string, nlohmann::json> found;
    for (const nlohmann::json& item :
         m_entries.at(std::string{detail::target_prefix} + target).at("endpoints")) {
        const std::string name = item.at("name");
        found[name] = ledger(name);
    }
    return found;
}

std::map<std::string, std::uint64_t> fleet::service_runs(const std::string& target) const
{
    std::map<std::string, std::uint64_t> runs;
    for (const auto& [endpoint, book] : ledgers(target)) {
        for (const auto& item : book.at("counts").items()) {
            runs[item.key()] += item.value().get<std::uint64_t>();
        }
    }
    return runs;
}

child_process& fleet::process(const std::string& name)
{
    return *m_programs.at(name).running;
}

bool fleet::restart(const std::string& name)
{
    program& item = m_programs.at(name);
    item.running.reset();
    item.running = std::make_unique<child_process>(item.name, item.arguments);
    {
        const std::lock_guard lock{m_mutex};
        m_failure_domain_by_process[item.running->id()] = item.failure_domain;
    }
    return item.running->wait_until_listening();
}

bool fleet::wait_until_ready(std::size_t host) const
{
    return wait_for([&] {
        httplib::Client client{"http://" + m_hosts.at(host).admin_addresses.at("entry")};
        const httplib::Result answer = client.Get("/readyz");
        return answer && answer->status == 200;
    });
}

bool fleet::publish(const nlohmann::json& change)
{
    for (const auto& item : change.items()) {
        if (item.value().is_null()) {
            m_entries.erase(item.key());
        }
        else {
            m_entries[item.key()] = item.value();
        }
    }
    return detail::put(m_platform_address, "/control/entries", change);
}

bool fleet::publish_hosts(const std::map<std::string, std::string>& state_by_host)
{
    return detail::put(m_platform_address, "/control/hosts", host_list(state_by_host));
}

bool fleet::set_platform_mode(const std::string& mode)
{
    return detail::put(m_platform_address, "/control/mode", {{"mode", mode}});
}

nlohmann::json fleet::platform_counts() const
{
    return detail::get(m_platform_address, "/control/counts");
}

bool fleet::set_faults(const std::string& endpoint, const nlohmann::json& faults)
{
    return detail::put(address_of_endpoint(endpoint), "/control/faults", faults);
}

void fleet::set_link(const std::string& from, const std::string& to, const link_state& state)
{
    for (const std::unique_ptr<relay>& item : m_relays.at(to)) {
        item->set(state, from);
    }
}

void fleet::isolate(const std::string& failure_domain, const link_state& state)
{
    for (const std::string& other : failure_domains()) {
        if (other != failure_domain) {
            set_link(failure_domain, other, state);
            set_link(other, failure_domain, state);
        }
    }
    set_platform_link(failure_domain, state);
}

void fleet::set_platform_link(const std::string& failure_domain, const link_state& state)
{
    m_platform_relays.at(failure_domain)->set(state);
}

void fleet::place_endpoints()
{
    for (auto& item : m_entries.items()) {
        if (item.key().starts_with(detail::target_prefix)) {
            for (nlohmann::json& endpoint : item.value().at("endpoints")) {
                endpoint["address"] = free_address();
            }
        }
    }
}

void fleet::place_hosts()
{
    for (const std::string& failure_domain : failure_domains()) {
        for (std::size_t i = 0; i < m_options.hosts_per_failure_domain; ++i) {
            fleet_host item;
            item.name = failure_domain + '-' + static_cast<char>('a' + i);
            item.failure_domain = failure_domain;
            item.caller_address = free_address();
            item.entry_address = free_address();
            item.dispatch_address = free_address();
            item.configd_address = free_address();
            for (const char* name : {"entry", "dispatch", "configd"}) {
                item.admin_addresses[name] = free_address();
            }
            m_hosts.push_back(std::move(item));
        }
    }
}

void fleet::place_relays()
{
    for (const fleet_host& item : m_hosts) {
        for (const std::string& address :
             {item.entry_address, item.dispatch_address, item.configd_address}) {
            const std::string front = free_address();
            m_relay_addresses[address] = front;
            m_relays[item.failure_domain].push_back(
                std::make_unique<relay>(front, address, [this, front](const std::string& source) {
                    return source_of(source, front);
                }));
        }
    }
    for (const std::string& failure_domain : failure_domains()) {
        const std::string address = free_address();
        m_platform_relay_addresses[failure_domain] = address;
        m_platform_relays[failure_domain] = std::make_unique<relay>(address, m_platform_address);
    }
}

void fleet::add_platform()
{
    add("platform", "standin-platform",
        {"--listen", m_platform_address, "--entries", write_file("entries.json", m_entries.dump(2)),
         "--hosts", write_file("hosts.json", host_list({}).dump(2))},
        "");
}

void fleet::add_endpoints()
{
    for (const auto& item : m_entries.items()) {
        if (!item.key().starts_with(detail::target_prefix)) {
            continue;
        }
        const bool is_model = item.value().at("kind") == "model";
        for (const nlohmann::json& endpoint : item.value().at("endpoints")) {
            const std::string name = endpoint.at("name");
            std::vector<std::string> arguments{
                "--name",   name,
                "--listen", endpoint.at("address"),
                "--slots",  std::to_string(endpoint.value("slots", 8))};
            if (is_model) {
                if (endpoint.value("checks_fencing", false)) {
                    arguments.emplace_back("--checks-fencing");
                }
                arguments.insert(arguments.end(), m_options.engine_arguments.begin(),
                                 m_options.engine_arguments.end());
            }
            add(name, is_model ? "standin-engine" : "standin-service", std::move(arguments),
                endpoint.at("failure_domain"));
        }
    }
}

void fleet::add_host(const fleet_host& item)
{
    std::vector<std::string> seeds;
    for (const fleet_host& other : m_hosts) {
        if (other.name != item.name) {
            seeds.push_back(listed(other.configd_address));
        }
    }
    const auto platform = m_platform_relay_addresses.find(item.failure_domain);
    const std::string platform_address =
        platform == m_platform_relay_addresses.end() ? m_platform_address : platform->second;
    const std::map<std::string, std::pair<std::string, std::string>> parts{
        {"configd",
         {item.configd_address, "[peers]\nseeds = " + detail::join(seeds) +
                                    "\n[platform]\naddress = " + platform_address + '\n'}},
        {"dispatch", {item.dispatch_address, "[peers]\nconfigd = " + item.configd_address + '\n'}},
        {"entry",
         {item.entry_address, "[peers]\nconfigd = " + item.configd_address +
                                  "\ndispatch = " + item.dispatch_address +
                                  "\n[http]\nlisten = " + item.caller_address + '\n'}},
    };
    for (const char* part : {"configd", "dispatch", "entry"}) {
        const auto& [link_address, own_sections] = parts.at(part);
        std::ostringstream text;
        text << "[process]\nhost = " << item.name << "\nfailure_domain = " << item.failure_domain
             << '\n'
             << link_section(link_address) << own_sections
             << "[admin]\nlisten = " << item.admin_addresses.at(part)
             << "\nkey_digest = " << to_key_digest(admin_key()) << '\n';
        if (!m_options.trace_address.empty()) {
            text << "[trace]\notlp = " << m_options.trace_address << '\n';
        }
        if (std::string_view{part} != "configd") {
            text << m_options.own_settings;
        }
        const std::string file = write_file(item.name + '-' + part + ".ini", text.str());
        add(item.name + '/' + part, std::string{"hickorykeel-"} + part, {"--settings", file},
            item.failure_domain);
    }
}

void fleet::add(const std::string& name, const std::string& program_name,
                std::vector<std::string> arguments, const std::string& failure_domain)
{
    program& item = m_programs[name];
    item.name = program_name;
    item.arguments = std::move(arguments);
    item.failure_domain = failure_domain;
    item.running = std::make_unique<child_process>(item.name, item.arguments);
    m_order.push_back(name);
    const std::lock_guard lock{m_mutex};
    m_failure_domain_by_process[item.running->id()] = failure_domain;
}

/// Address that the list of hosts gives for `address`: its relay where there is one.
std::string fleet::listed(const std::string& address) const
{
    const auto found = m_relay_addresses.find(address);
    return found == m_relay_addresses.end() ? address : found->second;
}

std::string fleet::write_file(const std::string& name, const std::string& text) const
{
    const std::filesystem::path path = m_folder / name;
    std::ofstream{path} << text;
    return path;
}

nlohmann::json fleet::host_list(const std::map<std::string, std::string>& state_by_host) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const fleet_host& item : m_hosts) {
        const auto state = state_by_host.find(item.name);
        list.push_back({{"name", item.name},
                        {"failure_domain", item.failure_domain},
                        {"state", state == state_by_host.end() ? "live" : state->second},
                        {"caller_address", item.caller_address},
                        {"entry_address", listed(item.entry_address)},
                        {"dispatch_address", listed(item.dispatch_address)},
                        {"configd_address", listed(item.configd_address)}});
    }
    return list;
}

std::optional<std::string> fleet::source_of(const std::string& address,
                                            const std::string& relay_address) const
{
    // the kernel's table of sockets may lack a row while it changes
    constexpr int attempts = 5;
    for (int i = 0; i < attempts; ++i) {
        const std::map<pid_t, std::string> known = failure_domain_by_process();
        std::vector<pid_t> processes;
        processes.reserve(known.size());
        for (const auto& [process, failure_domain] : known) {
            processes.push_back(process);
        }
        if (const std::optional<pid_t> owner = socket_owner(address, relay_address, processes)) {
            return known.at(*owner);
        }
    }
    return std::nullopt;
}

std::map<pid_t, std::string> fleet::failure_domain_by_process() const
{
    const std::lock_guard lock{m_mutex};
    return m_failure_domain_by_process;
}

std::string fleet::address_of_endpoint(const std::string& endpoint) const
{
    for (const auto& item : m_entries.items()) {
        if (!item.key().starts_with(detail::target_prefix)) {
            continue;
        }
        for (const nlohmann::json& row : item.value().at("endpoints")) {
            if (row.at("name") == endpoint) {
                return row.at("address");
            }
        }
    }
    return {};
}

} // namespace hickorykeel::tests
