// The gateway's own share of a request's latency, and what one pair of entry and dispatch process
// serves, over loopback with the real programs; see docs/design/gateway-latency.md.
#include "connection/messenger.h"
#include "support/fleet.h"

#include <algorithm>          // sort
#include <chrono>             // seconds
#include <condition_variable> // condition_variable
#include <cstdio>             // printf
#include <filesystem>         // directory_iterator
#include <fstream>            // ifstream
#include <functional>         // function
#include <mutex>              // mutex
#include <optional>           // optional
#include <string>             // string
#include <thread>             // jthread, sleep_for
#include <vector>             // vector

#include <httplib.h>
#include <tclap/CmdLine.h>

namespace hickorykeel::bench {

namespace {

constexpr duration longest_wait{std::chrono::seconds{5}}; ///< for one answer
constexpr duration step_length{std::chrono::milliseconds{1'500}};
constexpr std::size_t largest_concurrency = 64;
constexpr std::size_t warm_up_requests = 50;
constexpr std::size_t paused_requests = 50;
constexpr std::size_t stream_tokens = 32;
constexpr std::size_t stream_part = 4; ///< one stream for so many requests
constexpr duration idle_window{std::chrono::milliseconds{500}};
constexpr duration idle_time{std::chrono::milliseconds{50}}; ///< in which idle threads fall asleep

/// One failure domain, one organisation without a limit in reach, one engine.
void make_small(nlohmann::json& entries)
{
    const nlohmann::json organisation{
        {"home", "attica-1"},
        {"rate", 1e9},
        {"burst", 1e9},
        {"key_digests", entries["organisations/volunteers"]["key_digests"]}};
    const nlohmann::json profile{{"regions", {"attica"}},
                                 {"targets", {"assistant"}},
                                 {"idempotent", true},
                                 {"interactive", true},
                                 {"deadline_ms", 20'000}};
    const nlohmann::json engine{{"name", "assistant-1"},
                                {"failure_domain", "attica-1"},
                                {"address", "127.0.0.1:9000"},
                                {"slots", 1024}};
    entries = {
        {"failure_domains/attica-1", {{"region", "attica"}}},
        {"organisations/volunteers", organisation},
        {"profiles/visit-summary", profile},
        {"targets/assistant", {{"kind", "model"}, {"endpoints", nlohmann::json::array({engine})}}}};
}

std::string make_body(std::size_t tokens = 1, bool is_stream = false)
{
    return nlohmann::json{{"model", "assistant"},
                          {"max_tokens", tokens},
                          {"stream", is_stream},
                          {"messages", {{{"role", "user"}, {"content", "hello"}}}}}
        .dump();
}

/// A way to ask once; false where there was no whole answer.
using question = std::function<bool()>;

question make_http(const std::string& address, const std::string& key)
{
    return [address, key, body = make_body()] {
        httplib::Client client{"http://" + address};
        client.set_tcp_nodelay(true);
        const httplib::Headers headers{{"Authorization", "Bearer " + key},
                                       {"X-Hickorykeel-Profile", "visit-summary"},
                                       {"X-Fencing-Token", "1"}};
        const auto answer = client.Post("/v1/chat/completions", headers, body, "application/json");
        return answer && answer->status == 200;
    };
}

/// Times of one stream.
struct stream_times {
    std::vector<double> first{};     ///< to the first bytes of the answer, ms
    std::vector<double> per_token{}; ///< from the first bytes to the end, ms a token

    void ask(const std::string& address, const std::string& key)
    {
        httplib::Client client{"http://" + address};
        client.set_tcp_nodelay(true);
        httplib::Request http;
        http.method = "POST";
        http.path = "/v1/chat/completions";
        http.headers = {{"Authorization", "Bearer " + key},
                        {"X-Hickorykeel-Profile", "visit-summary"},
                        {"X-Fencing-Token", "1"},
                        {"Content-Type", "application/json"}};
        http.body = make_body(stream_tokens, true);
        const time_point begin = boot_clock::now();
        std::optional<time_point> first_bytes;
        http.content_receiver = [&](const char*, std::size_t, std::uint64_t, std::uint64_t) {
            first_bytes = first_bytes.value_or(boot_clock::now());
            return true;
        };
        const auto answer = client.send(http);
        if (answer && first_bytes) {
            first.push_back(to_seconds(*first_bytes - begin) * 1e3);
            per_token.push_back(to_seconds(boot_clock::now() - *first_bytes) * 1e3 / stream_tokens);
        }
    }
};

question make_health(const std::string& address)
{
    return [address] {
        httplib::Client client{"http://" + address};
        client.set_tcp_nodelay(true);
        const auto answer = client.Get("/healthz");
        return answer && answer->status == 200;
    };
}

/// Asks the dispatch process over its link, as an entry process does.
class link_caller {
public:
    link_caller(std::string address, std::string key_digest)
        : m_address(std::move(address)), m_key_digest(std::move(key_digest))
    {
        auto opened = messenger::open({"bench", "", {}, 0}, [this](received_message&& received) {
            on_message(received.message);
        });
        m_links = std::move(std::get<0>(opened));
    }

    bool ask()
    {
        link::envelope message;
        std::unique_lock lock(m_mutex);
        message.set_correlation(++m_correlation);
        m_is_whole = false;
        lock.unlock();
        link::dispatch_request& request = *message.mutable_dispatch_request();
        request.set_organisation("volunteers");
        request.set_key_digest(m_key_digest);
        request.set_profile("visit-summary");
        request.set_target("assistant");
        request.set_method("POST");
        request.set_path("/v1/chat/completions");
        request.set_body(make_body());
        request.set_maximum_age_ms(5'000);
        request.set_deadline_ms(5'000);
        request.set_idempotent(true);
        request.set_interactive(true);
        request.set_reserved_tokens(10);
        request.set_takes_whole(true);
        m_links->send_request(m_address, std::move(message));
        lock.lock();
        return m_changed.wait_for(lock, longest_wait, [this] { return m_is_whole; });
    }

private:
    void on_message(const link::envelope& message)
    {
        const std::lock_guard lock(m_mutex);
        if (message.correlation() == m_correlation &&
            message.dispatch_event().kind() == link::dispatch_event::kind_end) {
            m_is_whole = true;
            m_changed.notify_all();
        }
    }

    const std::string m_address;
    const std::string m_key_digest;
    std::mutex m_mutex; // guards the two below
    std::uint64_t m_correlation = 0;
    bool m_is_whole = false;
    std::condition_variable m_changed;
    std::unique_ptr<messenger> m_links;
};

/// Times of one way to ask.
struct measured {
    std::string name;
    question ask;
    std::vector<double> milliseconds{};
    std::size_t failed = 0;

    void run()
    {
        const time_point start = boot_clock::now();
        const bool is_answered = ask();
        const double elapsed = to_seconds(boot_clock::now() - start) * 1e3;
        if (is_answered) {
            milliseconds.push_back(elapsed);
        }
        else {
            ++failed;
        }
    }
};

/// Asks each way in turn, so that all see the same machine.
void run_rounds(std::vector<measured>& ways, std::size_t rounds, duration wait)
{
    for (std::size_t i = 0; i < rounds; ++i) {
        for (measured& way : ways) {
            std::this_thread::sleep_for(wait);
            way.run();
        }
    }
}

double percentile(std::vector<double> sorted, double part)
{
    if (sorted.empty()) {
        return 0;
    }
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
}

void print_shares(const char* title, const std::vector<measured>& ways)
{
    std::printf("%-34s %8s %8s %8s %7s %7s\n", title, "p50", "p95", "p99", "count", "failed");
    for (const measured& way : ways) {
        std::printf("%-34s %8.3f %8.3f %8.3f %7zu %7zu\n", way.name.c_str(),
                    percentile(way.milliseconds, 0.5), percentile(way.milliseconds, 0.95),
                    percentile(way.milliseconds, 0.99), way.milliseconds.size(), way.failed);
    }
    const auto difference = [&](const char* name, std::size_t more, std::size_t less) {
        std::printf("%-34s", name);
        for (const double part : {0.5, 0.95, 0.99}) {
            std::printf(" %8.3f", percentile(ways[more].milliseconds, part) -
                                      percentile(ways[less].milliseconds, part));
        }
        std::printf("\n");
    };
    difference("own share: gateway - engine", 3, 0);
    difference("  of it dispatch and one link", 2, 0);
    difference("  of it entry", 3, 2);
}

/// Streams of engine and gateway in turn.
void print_streams(const std::string& engine, const std::string& gateway, const std::string& key,
                   std::size_t rounds)
{
    stream_times direct;
    stream_times through;
    for (std::size_t i = 0; i < rounds; ++i) {
        direct.ask(engine, "");
        through.ask(gateway, key);
    }
    std::printf("\n%-34s %8s %8s %7s\n", "streams of 32 tokens, ms", "p50", "p99", "count");
    const auto print = [](const char* name, const std::vector<double>& times) {
        std::printf("%-34s %8.3f %8.3f %7zu\n", name, percentile(times, 0.5),
                    percentile(times, 0.99), times.size());
    };
    print("engine: first bytes", direct.first);
    print("gateway: first bytes", through.first);
    print("engine: each token after them", direct.per_token);
    print("gateway: each token after them", through.per_token);
}

/// Context switches of all threads of a process since its start.
std::uint64_t context_switches(pid_t process)
{
    std::uint64_t sum = 0;
    const std::string threads = "/proc/" + std::to_string(process) + "/task";
    for (const auto& thread : std::filesystem::directory_iterator(threads)) {
        std::ifstream status(thread.path() / "status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.find("ctxt_switches:") != std::string::npos) {
                sum += std::stoull(line.substr(line.find(':') + 1));
            }
        }
    }
    return sum;
}

/// Context switches for each request, without those that the same process makes while idle.
void print_switches(tests::fleet& running, const question& ask, std::size_t requests)
{
    std::printf("\n");
    for (const char* program : {"/entry", "/dispatch"}) {
        const pid_t process = running.process(running.hosts().front().name + program).id();
        const std::uint64_t before_idle = context_switches(process);
        std::this_thread::sleep_for(idle_window);
        const std::uint64_t before = context_switches(process);
        const time_point begin = boot_clock::now();
        for (std::size_t i = 0; i < requests; ++i) {
            static_cast<void>(ask());
        }
        const double windows = to_seconds(boot_clock::now() - begin) / to_seconds(idle_window);
        const double idle = static_cast<double>(before - before_idle) * windows;
        const double all = static_cast<double>(context_switches(process) - before);
        std::printf("context switches a request of %-10s %8.2f\n", program + 1,
                    (all - idle) / static_cast<double>(requests));
    }
}

/// Asks from `concurrency` threads for one step; the times of all.
measured run_step(const question& ask, std::size_t concurrency)
{
    std::mutex mutex; // guards all
    measured all{"", ask};
    const time_point end = boot_clock::now() + step_length;
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < concurrency; ++i) {
        threads.emplace_back([&] {
            measured own{"", ask};
            while (boot_clock::now() < end) {
                own.run();
            }
            const std::lock_guard lock(mutex);
            all.milliseconds.insert(all.milliseconds.end(), own.milliseconds.begin(),
                                    own.milliseconds.end());
            all.failed += own.failed;
        });
    }
    threads.clear(); // joins
    return all;
}

/// Doubles the callers until the p99 has doubled.
void print_throughput(const char* name, const question& ask)
{
    std::printf("\n%-10s %8s %10s %8s %8s %7s\n", name, "callers", "requests/s", "p50", "p99",
                "failed");
    double first_p99 = 0;
    for (std::size_t callers = 1; callers <= largest_concurrency; callers *= 2) {
        const measured step = run_step(ask, callers);
        const double p99 = percentile(step.milliseconds, 0.99);
        std::printf("%-10s %8zu %10.0f %8.3f %8.3f %7zu\n", "", callers,
                    static_cast<double>(step.milliseconds.size()) / to_seconds(step_length),
                    percentile(step.milliseconds, 0.5), p99, step.failed);
        first_p99 = callers == 1 ? p99 : first_p99;
        if (p99 > 2 * first_p99) {
            return;
        }
    }
}

} // namespace

} // namespace hickorykeel::bench

int main(int argc, char** argv)
{
    using namespace hickorykeel;
    using namespace hickorykeel::bench;
    TCLAP::CmdLine line{"Measures the gateway's own latency over loopback.", ' ', "0.1.0"};
    const TCLAP::ValueArg<std::size_t> requests{"n",   "requests", "of each way", false,
                                                1'000, "number",   line};
    TCLAP::SwitchArg is_brief{"b", "brief", "no pauses, no throughput", line};
    line.parse(argc, argv);

    tests::fleet_options options;
    options.engine_arguments = {"--token-ms", "0", "--prefill-tokens-per-s", "1000000000"};
    options.adjust = make_small;
    tests::fleet running{options};
    if (const std::string fault = running.start(); !fault.empty()) {
        std::fprintf(stderr, "the programs did not start: %s\n", fault.c_str());
        return 1;
    }
    const tests::fleet_host& host = running.hosts().front();
    const nlohmann::json& entries = running.entries();
    const std::string engine = entries["targets/assistant"]["endpoints"][0]["address"];
    link_caller linked{host.dispatch_address,
                       entries["organisations/volunteers"]["key_digests"][0].get<std::string>()};
    const question through = make_http(host.caller_address, running.key("volunteers"));
    std::vector<measured> ways{{"engine itself", make_http(engine, "")},
                               {"entry: GET /healthz", make_health(host.caller_address)},
                               {"dispatch over its link", [&] { return linked.ask(); }},
                               {"gateway", through}};
    std::vector<measured> paused = ways;
    run_rounds(ways, warm_up_requests, duration{0});
    for (measured& way : ways) {
        way.milliseconds.clear();
    }
    run_rounds(ways, requests.getValue(), duration{0});
    print_shares("one after the other, ms", ways);
    print_streams(engine, host.caller_address, running.key("volunteers"),
                  requests.getValue() / stream_part);
    print_switches(running, through, requests.getValue());
    if (is_brief.getValue()) {
        return 0;
    }
    run_rounds(paused, paused_requests, idle_time);
    std::printf("\n");
    print_shares("each after a pause of 50 ms, ms", paused);
    print_throughput("engine", ways.front().ask);
    print_throughput("gateway", through);
    return 0;
}
