#include "world.h"

#include <algorithm> // max
#include <csignal>   // kill
#include <cstdlib>   // getenv, mkdtemp
#include <fstream>   // ifstream, ofstream
#include <iostream>  // cerr
#include <thread>    // thread
#include <utility>   // move

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int exit_not_run = 2;
constexpr long beat_ms = 1'200;
constexpr int server_timeout_ms = 60'000;
const std::string program = "target/bin/hickorykeel-gateway"; // `run` of the deploy file

} // namespace

// recorder

recorder::recorder(const std::string& path) : m_file{std::fopen(path.c_str(), "w")}
{
    if (m_file == nullptr) {
        std::cerr << "can't write " << path << '\n';
        std::_Exit(exit_not_run);
    }
}

void recorder::write(const std::string& line)
{
    const std::lock_guard guard{m_mutex};
    std::fprintf(m_file, "%8.3f %s\n", static_cast<double>(now_ms()) / 1'000, line.c_str());
    std::fflush(m_file);
}

// store

store::store(const std::string& address)
{
    listen_at(address, [this](connection& peer) { serve(peer); });
}

void store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard guard{m_mutex};
    const std::string revision = std::to_string(++m_revision);
    m_items[key] = R"({"key":")" + key + R"(","value":")" + to_base64(value) + R"(","revision":)" +
                   revision + R"(,"created":)" + revision + R"(,"lease":0})";
    m_events.emplace_back(m_revision, m_items[key]);
}

void store::remove(const std::string& key)
{
    const std::lock_guard guard{m_mutex};
    m_items.erase(key);
    ++m_revision;
    m_events.emplace_back(m_revision, R"({"key":")" + key + R"(","revision":)" +
                                          std::to_string(m_revision) + R"(,"deleted":true})");
}

void store::serve(connection& peer)
{
    message request;
    while (peer.read(request, server_timeout_ms) == read_result::message) {
        sleep_ms(4);
        const std::string body = answer(request.second_word());
        if (!peer.send(body.empty()
                           ? make_response(404, "", "")
                           : make_response(200, "Content-Type: application/json\r\n", body))) {
            return;
        }
    }
}

std::string store::answer(const std::string& target)
{
    const std::lock_guard guard{m_mutex};
    if (target.starts_with("/hickorykeel/kv-range")) {
        return range(target);
    }
    return target.starts_with("/hickorykeel/kv-watch") ? watch(target) : std::string{};
}

std::string store::range(const std::string& target)
{
    const std::string prefix = query_value(target, "prefix");
    const std::string after = query_value(target, "after");
    std::string items;
    for (auto it = m_items.upper_bound(after); it != m_items.end(); ++it) {
        if (it->first.starts_with(prefix)) {
            items += (items.empty() ? "" : ",") + it->second;
        }
    }
    return R"({"items":[)" + items + R"(],"hasMore":false,"asOf":)" + std::to_string(m_revision) +
           "}";
}

std::string store::watch(const std::string& target)
{
    const unsigned long after = std::stoul(query_value(target, "after"));
    std::string events;
    for (const auto& [revision, event] : m_events) {
        if (revision > after) {
            events += (events.empty() ? "" : ",") + event;
        }
    }
    return R"({"events":[)" + events + R"(],"asOf":)" + std::to_string(m_revision) + "}";
}

// replica

replica::replica(replica_options options, recorder& record)
    : m_options{std::move(options)}, m_record{record}
{
    listen_at(m_options.address, [this](connection& peer) { serve(peer); });
}

std::string replica::entry(unsigned sequence) const
{
    return R"({"service":")" + m_options.service + R"(","address":")" + m_options.address +
           R"(","zone":")" + m_options.zone + R"(","version":"v1","slots":)" +
           std::to_string(m_options.slots) + R"(,"state":"ready","coldRemainingMs":0,"seq":)" +
           std::to_string(sequence) + R"(,"born":1700000000000})";
}

bool replica::has_run(const std::string& attempt)
{
    const std::lock_guard guard{m_mutex};
    return m_attempts.contains(attempt);
}

std::string replica::answer_headers(const message& request) const
{
    return "X-Hickorykeel-Attempt-Id: " + request.header("X-Hickorykeel-Attempt-Id") +
           "\r\nX-Hickorykeel-Response-Seal: 3e1b.07." + m_options.id + "\r\n";
}

void replica::serve(connection& peer)
{
    message request;
    while (peer.read(request, server_timeout_ms) == read_result::message) {
        if (!answer(peer, request)) {
            return;
        }
    }
}

bool replica::answer(connection& peer, const message& request)
{
    const std::string instance = "X-Hickorykeel-Instance-Id: " + m_options.id + "\r\n";
    if (request.second_word() == "/healthz") {
        return peer.send(make_response(200, instance, ""));
    }
    if (request.header("X-Hickorykeel-Target-Instance") != m_options.id) {
        return peer.send(make_response(421, instance, ""));
    }
    if (!take_slot()) {
        return peer.send(make_response(
            503,
            "X-Hickorykeel-Attempt-Id: " + request.header("X-Hickorykeel-Attempt-Id") +
                "\r\nX-Hickorykeel-Not-Executed: 1\r\n",
            ""));
    }
    const bool is_kept = work(peer, request);
    free_slot();
    return is_kept;
}

/// Waits for a slot. Returns false if too many requests wait.
bool replica::take_slot()
{
    std::unique_lock guard{m_mutex};
    if (m_busy >= m_options.slots && m_waiting >= m_options.queue) {
        return false;
    }
    ++m_waiting;
    m_slot_is_free.wait(guard, [this] { return m_busy < m_options.slots; });
    --m_waiting;
    ++m_busy;
    return true;
}

void replica::free_slot()
{
    {
        const std::lock_guard guard{m_mutex};
        --m_busy;
    }
    m_slot_is_free.notify_one();
}

/// Runs a request. Returns whether the connection stays open.
bool replica::work(connection& peer, const message& request)
{
    const std::string attempt = request.header("X-Hickorykeel-Attempt-Id");
    ++m_runs;
    {
        const std::lock_guard guard{m_mutex};
        ++m_attempts[attempt];
    }
    m_record.write("run " + attempt + " at " + m_options.id);
    if (m_special && m_special(peer, request)) {
        return false;
    }
    if (m_options.is_engine) {
        return stream(peer, request);
    }
    sleep_ms(m_options.work_ms);
    return peer.send(make_response(200, answer_headers(request), std::string(800, 'b')));
}

bool replica::stream(const connection& peer, const message& request) const
{
    if (!peer.send("HTTP/1.1 200 OK\r\n" + answer_headers(request) +
                   "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (int at = 1; at <= m_options.events; ++at) {
        sleep_ms(m_options.event_gap_ms);
        const std::string event = "id: " + std::to_string(at) + "\ndata: words\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!peer.send(size + event + "\r\n")) {
            return false;
        }
    }
    return peer.send("0\r\n\r\n");
}

// machine

machine::machine(std::string name, std::string settings, long memory_mb, recorder& record)
    : m_name{std::move(name)}, m_memory_mb{memory_mb}, m_record{record}
{
    char folder[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(folder) == nullptr) {
        std::_Exit(exit_not_run);
    }
    m_folder = folder;
    write_settings(settings);
}

machine::~machine()
{
    stop();
    ::unlink((m_folder + "/node.ini").c_str());
    ::unlink((m_folder + "/log").c_str());
    ::rmdir(m_folder.c_str());
}

void machine::write_settings(const std::string& text) const
{
    std::ofstream{m_folder + "/node.ini"} << text;
}

void machine::start()
{
    m_has_stopped = false;
    std::thread{[this] { watch(); }}.detach();
}

void machine::stop()
{
    m_is_stopping = true;
    while (!m_has_stopped) {
        if (const pid_t process = m_process; process > 0) {
            ::kill(process, SIGKILL);
        }
        sleep_ms(10);
    }
}

void machine::signal(int number)
{
    if (const pid_t process = m_process; process > 0) {
        m_was_signalled = number != SIGHUP;
        m_record.write("signal " + std::to_string(number) + " to " + m_name);
        ::kill(process, number);
    }
}

/// Memory of the process that is not backed by a file.
long machine::anonymous_kb() const
{
    std::ifstream file{"/proc/" + std::to_string(m_process) + "/status"};
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("RssAnon:")) {
            return std::stol(line.substr(8));
        }
    }
    return 0;
}

void machine::watch()
{
    while (!m_is_stopping) {
        const std::string settings = "HICKORYKEEL_BOOT=" + m_folder + "/node.ini";
        const std::string log = m_folder + "/log";
        std::string name = program;
        std::string variable = settings;
        char* const arguments[] = {name.data(), nullptr};
        char* const environment[] = {variable.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        pid_t process = 0;
        if (::posix_spawn(&process, program.c_str(), &actions, nullptr, arguments, environment) !=
            0) {
            std::_Exit(exit_not_run);
        }
        posix_spawn_file_actions_destroy(&actions);
        m_process = process;
        m_was_signalled = false;
        m_record.write("started " + m_name);
        int status = 0;
        long next_sample_ms = 0;
        while (::waitpid(process, &status, WNOHANG) == 0) {
            const long used_kb = anonymous_kb();
            m_peak_kb = std::max(m_peak_kb.load(), used_kb);
            if (now_ms() >= next_sample_ms) {
                m_record.write("memory of " + m_name + " " + std::to_string(used_kb) + " kB");
                next_sample_ms = now_ms() + 1'000;
            }
            if (m_memory_mb > 0 && used_kb > m_memory_mb * 1'024) {
                m_record.write(m_name + " uses " + std::to_string(used_kb) +
                               " kB, over its memory: killed by the platform");
                ::kill(process, SIGKILL);
                ::waitpid(process, &status, 0);
                break;
            }
            sleep_ms(5);
        }
        m_process = 0;
        const bool is_own_end = !m_is_stopping && !m_was_signalled;
        m_own_ends += is_own_end ? 1 : 0;
        m_record.write(m_name + " ended, " +
                       (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                            : "code " + std::to_string(WEXITSTATUS(status))) +
                       (is_own_end ? ", by itself" : ""));
        for (int i = 0; i < 100 && !m_is_stopping; ++i) {
            sleep_ms(10);
        }
    }
    m_has_stopped = true;
}

// deployment

std::string deployment::settings(int at, int machines, const std::string& grace_s) const
{
    const std::string ip = machine_ip(at);
    std::string seeds;
    for (int seed = 0; seed < machines && seed < 3; ++seed) {
        seeds += "  " + machine_ip(seed) + ":7229\n";
    }
    return "[host]\nname = front-" + zone + "-" + std::to_string(at + 1) + "\nip = " + ip +
           "\nfailure_domain = " + zone + "\nregion = " + region + "\nfailure_domains =\n  " +
           zone + ":" + region + "\n[listen]\ncallers = " + front(at) +
           "\nreadiness = " + ready(at) + "\ndirectory = " + ip + ":7220\npeers = " + ip +
           ":7229\nmetrics = " + ip + ":7600\n\n[peers]\nseeds =\n" + seeds +
           "[source]\naddress = " + store_address() +
           "\n\n[limits]\nkey_withdrawal_ms = 5000\ndrain_ms = 4000\nretry_ratio = 0.2\n"
           "retry_slack = 52\nstop_grace_s = " +
           grace_s + "\n";
}

std::string deployment::configuration() const
{
    const std::string head = R"({"host":")" + host + R"(","anonymous":false,"homeRegions":[],)";
    const std::string assist = R"("service":"huvo11a",)";
    const std::string desk = R"("service":"wuno96b",)";
    return R"({"version":7,"routes":[)" + head + assist +
           R"("name":"checklist-hint","prefix":"/pufi791/","kind":"streaming","timeoutMs":15000,"sloMs":600,"priority":0,"maxAttempts":2,"sticky":true,"resumable":true,"gapTargetMs":200},)" +
           head + assist +
           R"("name":"household-review","prefix":"/lohu930/","kind":"streaming","timeoutMs":5000,"sloMs":600,"priority":1,"maxAttempts":1,"sticky":true,"resumable":false,"gapTargetMs":200},)" +
           head + desk +
           R"("name":"visit-booking","prefix":"/pule252/","kind":"non_idempotent","timeoutMs":10000,"sloMs":600,"priority":2,"maxAttempts":1,"sticky":false,"resumable":false},)" +
           head + desk +
           R"("name":"visit-lookup","prefix":"/puxa403/","kind":"safe","timeoutMs":10000,"sloMs":600,"priority":2,"maxAttempts":2,"sticky":false,"resumable":false}],)" +
           R"("services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":290,"protocol":"h1","tls":false,"coldS":3.0,"coldPerS":3.1,"engine":{"slots":48,"kvCapacityTokens":357504,"kvBytes":192512,"linkMbps":350000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},)" +
           R"({"name":"wuno96b","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],)" +
           R"("limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)" +
           R"("tenants":[{"name":")" + tenant + R"(","apiKeys":[")" + key +
           R"("],"priority":1,"unit":"tokens","plainTokens":200,"perS":7743560,"burst":7743560,"homeRegions":[]}]})";
}

// caller

call_result caller::call(const std::string& address, const std::string& method,
                         const std::string& target, const std::string& headers,
                         const std::string& body, int deadline_ms)
{
    call_result result;
    result.attempt = m_name + "-" + std::to_string(++m_count);
    if (m_connection == nullptr || m_address != address) {
        m_connection = std::make_unique<connection>(connection::open(address));
        m_address = address;
        m_served = 0;
    }
    result.was_kept = m_served > 0;
    if (!m_connection->is_open()) {
        m_connection.reset();
        result.is_connected = false;
        return result;
    }
    const std::string request =
        method + " " + target + " HTTP/1.1\r\nHost: " + m_deployment.host +
        "\r\nX-Hickorykeel-Attempt-Id: " + result.attempt +
        "\r\nX-Hickorykeel-Deadline-Ms: " + std::to_string(deadline_ms) +
        "\r\nApi-Key: " + m_deployment.key + "\r\n" + headers +
        (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
        "\r\n" + body;
    const bool was_sent = send(request);
    const auto got = m_connection->read(result.answer, deadline_ms);
    if (got != read_result::message) {
        result.how = got == read_result::timed_out ? outcome::timed_out : outcome::cut;
        result.is_connected = was_sent;
        m_connection.reset();
        return result;
    }
    ++m_served;
    result.status = std::stoi(result.answer.second_word());
    const bool is_promise = result.status == 429 || result.status == 503 || result.status == 408 ||
                            result.status == 421;
    result.how = result.status < 300 ? outcome::answered
                 : is_promise        ? outcome::refused
                                     : outcome::failed;
    if (result.answer.header("connection") == "close") {
        m_connection.reset();
    }
    return result;
}

bool caller::send(const std::string& request)
{
    constexpr std::size_t block = 65'536;
    if (m_link == nullptr) {
        return m_connection->send(request);
    }
    for (std::size_t at = 0; at < request.size(); at += block) {
        const std::string part = request.substr(at, block);
        m_link->pass(part.size());
        if (!m_connection->send(part)) {
            return false;
        }
    }
    return true;
}

// helpers

bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

bool wait_until_ready(const deployment& used, int at)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        connection asked{connection::open(used.ready(at))};
        message answer;
        if (asked.is_open() && asked.send("GET /hickorykeel/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
            asked.read(answer, 1'000) == read_result::message && answer.second_word() == "200") {
            return true;
        }
        sleep_ms(100);
    }
    return false;
}

void keep_beating(store& used, const std::vector<replica*>& replicas)
{
    std::thread{[&used, replicas] {
        for (unsigned sequence = 1;; ++sequence) {
            for (const replica* beating : replicas) {
                used.put("servers/" + beating->id(), beating->entry(sequence));
            }
            sleep_ms(beat_ms);
        }
    }}.detach();
}

void machine_link::pass(std::size_t bytes)
{
    constexpr double bytes_per_ms = 125'000; // 1,000 Mbit/s
    double wait = 0;
    {
        const std::lock_guard guard{m_mutex};
        const auto now = static_cast<double>(now_ms());
        m_free_at_ms = std::max(m_free_at_ms, now) + static_cast<double>(bytes) / bytes_per_ms;
        wait = m_free_at_ms - now;
    }
    if (wait >= 1) {
        sleep_ms(static_cast<long>(wait));
    }
}

} // namespace review
