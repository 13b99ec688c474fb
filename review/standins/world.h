#pragma once

#include "net.h"

#include <atomic> // atomic
#include <condition_variable>
#include <cstdio>     // FILE
#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <mutex>      // mutex
#include <set>        // set
#include <string>     // string
#include <vector>     // vector

#include <sys/types.h>

namespace review {

/// Writes lines with a time to the record of a case. Thread safe.
class recorder {
public:
    explicit recorder(const std::string& path);
    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

/// The platform's store: read calls on a few items. Thread safe.
class store {
public:
    explicit store(const std::string& address);
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

private:
    void serve(connection& peer);
    std::string answer(const std::string& target);
    std::string range(const std::string& target);
    std::string watch(const std::string& target);

    std::mutex m_mutex;
    std::map<std::string, std::string> m_items;             // key to item in JSON
    std::vector<std::pair<unsigned, std::string>> m_events; // revision, event in JSON
    unsigned m_revision = 100;
};

struct replica_options {
    std::string id;
    std::string service;
    std::string zone;
    std::string address;
    int slots = 6;  ///< requests that it works on at once
    int queue = 24; ///< requests that wait for a slot; it rejects more
    int work_ms = 60;
    int events = 13; ///< of a stream
    int event_gap_ms = 40;
    bool is_engine = false;
};

/// A replica of a service. Answers with its id and a seal, and keeps a list of what it ran.
/// Thread safe.
class replica {
public:
    /// Answers a request in place of the usual answer. Returns false for the usual one.
    using special_answer = std::function<bool(connection&, const message& request)>;

    replica(replica_options options, recorder& record);
    [[nodiscard]] std::string entry(unsigned sequence) const;
    [[nodiscard]] const std::string& id() const { return m_options.id; }
    [[nodiscard]] bool has_run(const std::string& attempt);
    [[nodiscard]] int runs() const { return m_runs; }

    /// Headers with which an answer to `request` begins.
    [[nodiscard]] std::string answer_headers(const message& request) const;

    /// Makes this a replica in trouble.
    void set_special(special_answer special) { m_special = std::move(special); }
    [[nodiscard]] bool is_sound() const { return !m_special; }

private:
    void serve(connection& peer);
    bool answer(connection& peer, const message& request);
    bool take_slot();
    void free_slot();
    bool work(connection& peer, const message& request);
    [[nodiscard]] bool stream(const connection& peer, const message& request) const;

    replica_options m_options;
    recorder& m_record;
    special_answer m_special;
    std::atomic<int> m_runs = 0;
    std::mutex m_mutex;
    std::condition_variable m_slot_is_free;
    int m_busy = 0;
    int m_waiting = 0;
    std::map<std::string, int> m_attempts;
};

/// A machine with one gateway process, which the platform starts, and kills above its memory.
class machine {
public:
    /// @param memory_mb the process is killed above it; 0: no limit
    machine(std::string name, std::string settings, long memory_mb, recorder& record);
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;
    machine(machine&&) = delete;
    machine& operator=(machine&&) = delete;
    ~machine();

    /// Starts the process, and starts it again a second after its end until `stop()`.
    void start();
    void stop();

    /// Replaces the settings file.
    void write_settings(const std::string& text) const;

    void signal(int number);

    /// Ends of the process that nothing outside caused, killed for its memory included.
    [[nodiscard]] int own_ends() const { return m_own_ends; }
    [[nodiscard]] long peak_kb() const { return m_peak_kb; }
    [[nodiscard]] const std::string& name() const { return m_name; }

private:
    void watch();
    [[nodiscard]] long anonymous_kb() const;

    std::string m_name;
    std::string m_folder;
    long m_memory_mb;
    recorder& m_record;
    std::atomic<pid_t> m_process = 0;
    std::atomic<bool> m_is_stopping = false;
    std::atomic<bool> m_was_signalled = false;
    std::atomic<int> m_own_ends = 0;
    std::atomic<long> m_peak_kb = 0;
    std::atomic<bool> m_has_stopped = true;
};

/// Values of one deployment: a few machines in one zone, with the ports of its front machines.
struct deployment {
    std::string network = own_network();
    std::string zone = "attica-a";
    std::string region = "attica";
    std::string host = "ficu95.example";
    std::string key = "i9n73hh2b9wu3fexd9dn";
    std::string tenant = "huka270";

    [[nodiscard]] std::string store_address() const { return network + "250:7225"; }
    [[nodiscard]] std::string machine_ip(int at) const { return network + std::to_string(1 + at); }
    [[nodiscard]] std::string front(int at) const { return machine_ip(at) + ":7221"; }
    [[nodiscard]] std::string ready(int at) const { return machine_ip(at) + ":7224"; }
    [[nodiscard]] std::string replica_address(int at) const
    {
        return network + std::to_string(100 + at) + ":7080";
    }

    /// Settings of machine `at` out of `machines`, as the template gives them.
    [[nodiscard]] std::string settings(int at, int machines, const std::string& grace_s) const;

    /// The operator's configuration.
    [[nodiscard]] std::string configuration() const;
};

/// Part of the work of a machine's link of 1,000 Mbit/s: waits until `bytes` more may be sent.
class machine_link {
public:
    void pass(std::size_t bytes);

private:
    std::mutex m_mutex;
    double m_free_at_ms = 0;
};

/// How a caller's request ended.
enum class outcome { answered, refused, failed, cut, timed_out };

struct call_result {
    outcome how = outcome::cut;
    int status = 0;
    std::string attempt;
    bool was_kept = false; ///< the connection had served another request before
    bool is_connected = true;
    message answer;
};

/// A caller with one connection, kept from request to request.
class caller {
public:
    caller(const deployment& used, std::string name) : m_deployment{used}, m_name{std::move(name)}
    {
    }

    /// Sends a request to `address` and reads the answer.
    call_result call(const std::string& address, const std::string& method,
                     const std::string& target, const std::string& headers, const std::string& body,
                     int deadline_ms);

    /// Sends bodies at the rate of `used`, which outlives the caller.
    void set_link(machine_link& used) { m_link = &used; }

private:
    bool send(const std::string& request);

    const deployment& m_deployment;
    machine_link* m_link = nullptr;
    std::string m_name;
    int m_count = 0;
    std::string m_address;
    std::unique_ptr<connection> m_connection;
    int m_served = 0;
};

/// Whether the variable TROUBLE asks for the disruption; it does unless it is 0.
bool has_trouble();

/// Waits until machine `at` is ready. Returns false after 20 s.
bool wait_until_ready(const deployment& used, int at);

/// Writes the entries of `replicas` every 1,200 ms.
void keep_beating(store& used, const std::vector<replica*>& replicas);

} // namespace review
