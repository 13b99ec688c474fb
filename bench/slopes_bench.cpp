// Measures the slopes that docs/CAPACITY.md is worked out from: bytes of state, processor time of
// decisions, bytes of link messages, and what the real programs of a small fleet use.
#include "connection/limit_codec.h"
#include "connection/sync_codec.h"
#include "process/dispatch_directory.h"
#include "process/limits/limiter.h"
#include "process/routing/domain_choice.h"
#include "process/routing/endpoint_choice.h"
#include "process/routing/request_queue.h"
#include "process/ticket_book.h"
#include "request/caller_request.h"
#include "request/ticket.h"
#include "sample_state.h"
#include "standins/caller.h"
#include "support/fleet.h"
#include "support/paths.h"
#include "version/check_hosts.h"
#include "version/replica.h"

#include <array>      // array
#include <cstdio>     // popen, printf
#include <ctime>      // clock_gettime
#include <fstream>    // ifstream
#include <functional> // function
#include <map>        // map
#include <set>        // set
#include <sstream>    // istringstream
#include <string>     // string
#include <thread>     // sleep_for
#include <vector>     // vector

#include <malloc.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>
#include <unistd.h>

namespace hickorykeel::bench {
namespace {

using namespace std::chrono_literals;

/// Where rows go: a table, or a JSON object a line.
class report {
public:
    explicit report(bool is_json) : m_is_json{is_json} {}

    void add(const std::string& group, const std::string& what, std::size_t size, double value,
             const std::string& unit) const
    {
        if (m_is_json) {
            const nlohmann::json row{
                {"group", group}, {"what", what}, {"size", size}, {"value", value}, {"unit", unit}};
            std::printf("%s\n", row.dump().c_str());
        }
        else {
            std::printf("%-9s %-52s %6zu %14.3f %s\n", group.c_str(), what.c_str(), size, value,
                        unit.c_str());
        }
        std::fflush(stdout);
    }

private:
    bool m_is_json;
};

/// @name bytes of state
/// @{

double allocated()
{
    const struct mallinfo2 now = mallinfo2();
    return static_cast<double>(now.uordblks) + static_cast<double>(now.hblkhd);
}

/// Bytes that what `make` returns keeps allocated.
template <typename Make>
double bytes_of(Make make)
{
    const double before = allocated();
    const auto kept = make();
    return allocated() - before;
}

/// Bytes for each further item: the difference between twice `count` and `count`.
template <typename Make>
void add_bytes(const report& to, const std::string& what, std::size_t count, Make make)
{
    const double once = bytes_of([&] { return make(count); });
    const double twice = bytes_of([&] { return make(2 * count); });
    to.add("state", what, count, (twice - once) / static_cast<double>(count), "bytes");
}

configuration checked(const state_size& size)
{
    return std::get<configuration>(check(1, make_entries(size)));
}

configuration_ptr published(const state_size& size)
{
    return std::make_shared<const configuration>(checked(size));
}

host_list_ptr listed(std::size_t count, std::size_t failure_domains)
{
    return std::make_shared<const host_list>(
        std::get<host_list>(check_hosts(1, make_hosts(count, failure_domains))));
}

entries_update to_snapshot(const published_entries& entries)
{
    entries_update update{0, 1, {}};
    for (const auto& [key, value] : entries) {
        update.entries.push_back({key, value, false, 1});
    }
    return update;
}

std::shared_ptr<replica> make_replica(const state_size& size)
{
    auto held = std::make_shared<replica>();
    held->apply(to_snapshot(make_entries(size)));
    return held;
}

using resize = std::function<void(state_size& size, std::size_t count)>;

void add_configuration_bytes(const report& to)
{
    const std::vector<std::pair<std::string, resize>> dimensions{
        {"organisation with one key",
         [](state_size& size, std::size_t count) { size.organisations = count; }},
        {"further key", [](state_size& size, std::size_t count) { size.keys = count / 10; }},
        {"profile", [](state_size& size, std::size_t count) { size.profiles = count; }},
        {"endpoint", [](state_size& size, std::size_t count) { size.endpoints = count; }},
        {"failure domain",
         [](state_size& size, std::size_t count) { size.failure_domains = count; }}};
    constexpr std::size_t count = 200;
    for (const auto& dimension : dimensions) {
        const std::string& what = dimension.first;
        const auto sized = [&dimension](std::size_t wanted) {
            state_size size;
            dimension.second(size, wanted);
            return size;
        };
        add_bytes(to, "configuration, " + what, count,
                  [&](std::size_t wanted) { return published(sized(wanted)); });
        add_bytes(to, "replica with its configuration, " + what, count,
                  [&](std::size_t wanted) { return make_replica(sized(wanted)); });
    }
    add_bytes(to, "host list, host", 350, [](std::size_t wanted) { return listed(wanted, 47); });
    add_bytes(to, "replica's log, change", 400, [](std::size_t wanted) {
        auto held = make_replica({});
        const auto entries = make_entries({});
        const auto& value = entries.at("organisations/organisation-1");
        for (std::uint64_t i = 0; i < wanted; ++i) {
            held->apply(entries_update{
                i + 1, i + 2, {{"organisations/organisation-1", value, false, i + 2}}});
        }
        return held;
    });
}

std::vector<std::string> organisation_names(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.push_back(numbered("organisation-", i));
    }
    return names;
}

/// A limiter of the only host, past its start.
std::shared_ptr<limiter> make_limiter(const configuration_ptr& in_force, const host_list_ptr& hosts,
                                      time_point now)
{
    auto made = std::make_shared<limiter>("domain-0-host-0", "domain-0", 1, limiter_options{}, now);
    made->apply(in_force, now);
    made->apply(hosts, now);
    return made;
}

void use_accounts(limiter& used, std::size_t count, time_point now)
{
    for (const std::string& name : organisation_names(count)) {
        used.settle(used.reserve({name}, 1, now).id, 1, now);
    }
}

endpoint_table make_table(std::size_t count)
{
    std::vector<endpoint> endpoints;
    for (std::size_t i = 0; i < count; ++i) {
        endpoint each;
        each.name = numbered("endpoint-", i);
        each.failure_domain = "domain-0";
        each.address = "10.1.0.1:9000";
        endpoints.push_back(each);
    }
    endpoint_table table;
    table.assign(endpoints, boot_clock::now());
    table.refresh(boot_clock::now() + 20s);
    return table;
}

link::pong make_pong(std::size_t targets)
{
    link::pong pong;
    pong.set_configuration_revision(100'000);
    pong.set_host_list_revision(10'000);
    for (std::size_t i = 0; i < targets; ++i) {
        link::target_load& load = *pong.add_loads();
        load.set_target(numbered("model-", i));
        load.set_live_endpoints(6);
        load.set_running(40);
        load.set_queued(3);
        load.set_slots(48);
        load.set_wait_seconds(0.25);
    }
    return pong;
}

std::shared_ptr<dispatch_directory> make_directory(std::size_t hosts, std::size_t targets)
{
    const host_list_ptr all = listed(hosts, 47);
    auto made =
        std::make_shared<dispatch_directory>("domain-0-host-0", "domain-0", "10.2.0.1:7200");
    made->apply(*all, boot_clock::now());
    for (const host& each : all->hosts) {
        made->on_pong(each.dispatch_address, 7, make_pong(targets), std::nullopt,
                      boot_clock::now());
    }
    return made;
}

std::shared_ptr<ticket_book> fill_tickets(std::size_t count, std::size_t body_bytes)
{
    auto book = std::make_shared<ticket_book>();
    const time_point now = boot_clock::now();
    for (std::size_t i = 0; i < count; ++i) {
        const std::string id = to_digest(i).substr(32);
        book->begin(id, now + 1h, to_digest(i), now);
        book->finish(id, {200, "application/json", std::string(body_bytes, 'x'), "endpoint-1"});
    }
    return book;
}

void add_process_bytes(const report& to)
{
    const time_point now = boot_clock::now();
    const configuration_ptr in_force = published({.organisations = 800});
    const host_list_ptr hosts = listed(1, 4);
    add_bytes(to, "limiter, account in use", 400, [&](std::size_t wanted) {
        auto made = make_limiter(in_force, hosts, now);
        use_accounts(*made, wanted, now + 5s);
        return made;
    });
    add_bytes(to, "limiter, reservation under way", 400, [&](std::size_t wanted) {
        auto made = make_limiter(in_force, hosts, now);
        use_accounts(*made, 800, now + 5s);
        for (const std::string& name : organisation_names(wanted)) {
            made->reserve({name}, 1, now + 6s);
        }
        return made;
    });
    add_bytes(to, "limiter, listed host", 350,
              [&](std::size_t wanted) { return make_limiter(in_force, listed(wanted, 47), now); });
    add_bytes(to, "endpoint table, endpoint", 200,
              [](std::size_t wanted) { return make_table(wanted); });
    add_bytes(to, "dispatch directory, host (9 targets)", 350,
              [](std::size_t wanted) { return make_directory(wanted, 9); });
    add_bytes(to, "ticket book, ticket with an answer of 200 bytes", 1'000,
              [](std::size_t wanted) { return fill_tickets(wanted, 200); });
    add_bytes(to, "request queue, waiting request", 500, [&](std::size_t wanted) {
        auto queue = std::make_shared<request_queue>();
        for (std::size_t i = 0; i < wanted; ++i) {
            queue->push({i + 1, numbered("organisation-", i % 20), 100, true, 1, now + 1h}, now);
        }
        return queue;
    });
}

/// @}
/// @name processor time of decisions
/// @{

double processor_seconds()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) + 1e-9 * static_cast<double>(spent.tv_nsec);
}

/// Microseconds of processor time for one call, over as many calls as fill the time of a sample.
double microseconds_of(const std::function<void()>& call)
{
    constexpr double sample = 0.1; // seconds
    call();
    const double begin = processor_seconds();
    std::size_t calls = 0;
    double spent = 0;
    while (spent < sample) {
        call();
        ++calls;
        spent = processor_seconds() - begin;
    }
    return 1e6 * spent / static_cast<double>(calls);
}

// as many calls as make the clock's own cost small
constexpr std::size_t calls_at_once = 200;

double microseconds_of_small(const std::function<void()>& call)
{
    return microseconds_of([&] {
               for (std::size_t i = 0; i < calls_at_once; ++i) {
                   call();
               }
           }) /
           static_cast<double>(calls_at_once);
}

volatile std::size_t sink = 0; // keeps results from being optimised away

caller_request make_caller_request()
{
    caller_request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.profile = "profile-1";
    request.body =
        nlohmann::json{{"model", "model-0"},
                       {"stream", true},
                       {"max_tokens", 200},
                       {"messages", {{{"role", "user"}, {"content", std::string(800, 'a')}}}}}
            .dump();
    return request;
}

void add_entry_decisions(const report& to, std::size_t size)
{
    const std::string key = "a key of an organisation";
    auto entries = make_entries({.organisations = size});
    entries["organisations/organisation-0"]["key_digests"] = {to_key_digest(key)};
    const auto in_force =
        std::make_shared<const configuration>(std::get<configuration>(check(1, entries)));
    caller_request request = make_caller_request();
    request.key = key;
    if (!std::holds_alternative<admitted_request>(admit(*in_force, request))) {
        std::fprintf(stderr, "slopes: the sample request is refused\n");
    }
    to.add("decision", "admit, by organisations", size,
           microseconds_of_small([&] { sink = sink + admit(*in_force, request).index(); }), "us");
    const time_point start = boot_clock::now();
    const auto made = make_limiter(in_force, listed(1, 4), start);
    const time_point now = start + 10s;
    use_accounts(*made, size, now);
    const auto names = organisation_names(size);
    std::size_t turn = 0;
    std::size_t granted = 0;
    to.add("decision", "reserve and settle, by organisations", size, microseconds_of_small([&] {
               const auto result = made->reserve({names[turn++ % size]}, 100, now);
               granted += result.state == reservation_state::granted ? 1 : 0;
               made->settle(result.id, 0, now);
           }),
           "us");
    if (granted == 0) {
        std::fprintf(stderr, "slopes: no reservation was granted\n");
    }
    time_point later = now;
    to.add("decision", "limiter's tick, by organisations", size, microseconds_of_small([&] {
               later += 50ms;
               sink = sink + made->tick(later).messages.size();
           }),
           "us");
}

/// Time of one change of an organisation to `value`. Precondition: `held` is at revision 1.
double microseconds_of_change(replica& held, const nlohmann::json& value)
{
    std::uint64_t revision = 1;
    return microseconds_of([&] {
        held.apply(entries_update{revision,
                                  revision + 1,
                                  {{"organisations/organisation-1", value, false, revision + 1}}});
        ++revision;
    });
}

void add_configuration_decisions(const report& to, std::size_t size)
{
    const auto entries = make_entries({.organisations = size});
    to.add("decision", "check of a whole configuration, by organisations", size,
           microseconds_of([&] { sink = sink + check(1, entries).index(); }), "us");
    const auto held = make_replica({.organisations = size});
    const auto& value = entries.at("organisations/organisation-1");
    to.add("decision", "apply one change, by organisations", size,
           microseconds_of_change(*held, value), "us");
    const auto with_endpoints = make_replica({.targets = 9, .endpoints = size});
    to.add("decision", "apply one change, by endpoints", size,
           microseconds_of_change(*with_endpoints, value), "us");
}

void add_dispatch_decisions(const report& to, std::size_t size)
{
    endpoint_table table = make_table(size);
    weigh_policy policy;
    random_source random{1};
    request_view view;
    view.tokens = 200;
    to.add("decision", "choose an endpoint, by endpoints", size, microseconds_of_small([&] {
               view.prefix_hash = random();
               const auto chosen = choose(view, table, policy, random);
               if (const auto* index = std::get_if<std::size_t>(&chosen)) {
                   table.on_dispatch(*index, boot_clock::now());
                   table.on_success(*index, 1s, 200, boot_clock::now());
               }
           }),
           "us");
    const time_point now = boot_clock::now();
    to.add("decision", "endpoint table's refresh, by endpoints", size,
           microseconds_of([&] { table.refresh(now); }), "us");
    request_queue queue;
    std::uint64_t id = 0;
    const auto push = [&] {
        ++id;
        queue.push({id, numbered("organisation-", id % 20), 100, true, 1, now + 1h}, now);
    };
    for (std::size_t i = 0; i < size; ++i) {
        push();
    }
    to.add("decision", "queue push and pop, by waiting requests", size, microseconds_of_small([&] {
               push();
               sink = sink + (queue.pop(now) ? 1U : 0U);
           }),
           "us");
}

void add_directory_decisions(const report& to, std::size_t hosts)
{
    const auto directory = make_directory(hosts, 9);
    const time_point now = boot_clock::now();
    to.add("decision", "candidates of a target, by hosts", hosts, microseconds_of([&] {
               sink = sink + static_cast<std::size_t>(directory->route_to("model-1") != nullptr);
           }),
           "us");
    const link::pong pong = make_pong(9);
    to.add("decision", "note a heartbeat's answer, by hosts", hosts, microseconds_of_small([&] {
               directory->on_pong("10.2.0.1:7200", 7, pong, std::nullopt, now);
           }),
           "us");
}

/// The whole state of a fleet of the size that docs/CAPACITY.md is about.
void add_whole_state(const report& to)
{
    const state_size size{.failure_domains = 47,
                          .organisations = 660,
                          .keys = 2,
                          .profiles = 200,
                          .targets = 9,
                          .endpoints = 2'700};
    const auto entries = make_entries(size);
    to.add("whole", "replica with its configuration", size.organisations,
           bytes_of([&] { return make_replica(size); }), "bytes");
    to.add("whole", "check", size.organisations,
           microseconds_of([&] { sink = sink + check(1, entries).index(); }), "us");
    const auto held = make_replica(size);
    const auto& value = entries.at("organisations/organisation-1");
    to.add("whole", "apply one change", size.organisations, microseconds_of_change(*held, value),
           "us");
    const link::sync_update update = make_update(*held, link::sync_request{}, boot_clock::now());
    to.add("whole", "sync_update for a new host", size.organisations,
           static_cast<double>(update.ByteSizeLong()), "bytes");
    to.add("whole", "list of hosts as published", 350,
           static_cast<double>(make_hosts(350, 47).dump().size()), "bytes");
}

void add_other_decisions(const report& to)
{
    const ticket_mint mint{"domain-0-host-0", 7, std::string(32, 's')};
    const std::string text =
        mint.make("organisation-1", "profile-1", to_digest(1), boot_clock::now());
    to.add("decision", "verify a ticket", 1,
           microseconds_of_small([&] { sink = sink + (mint.verify(text) ? 1U : 0U); }), "us");
    std::vector<domain_view> views;
    std::vector<std::string> regions;
    for (std::size_t i = 0; i < 47; ++i) {
        views.push_back({{numbered("domain-", i), numbered("region-", i / 3)}, 6, 100ms, 0ms});
        regions.push_back(numbered("region-", i / 3));
    }
    domain_chooser chooser{{"domain-0", "region-0"}};
    const domain_request request{.allowed_regions = regions, .bytes = 1'000};
    to.add("decision", "choose a failure domain, by failure domains", 47,
           microseconds_of_small([&] { sink = sink + chooser.choose(request, views).index(); }),
           "us");
}

/// @}
/// @name bytes of link messages
/// @{

link::envelope make_envelope()
{
    link::envelope message;
    message.set_sender("domain-12-host-3/dispatch");
    message.set_incarnation(1);
    message.set_sent_stamp(1);
    message.set_echo_stamp(1);
    message.set_echo_incarnation(1);
    message.set_correlation(1);
    return message;
}

void add_message(const report& to, const std::string& what, const link::envelope& message,
                 std::size_t size = 1)
{
    to.add("message", what, size, static_cast<double>(message.ByteSizeLong()), "bytes");
}

void add_control_messages(const report& to)
{
    link::envelope message = make_envelope();
    message.mutable_ping();
    add_message(to, "ping", message);
    for (const std::size_t targets : {1U, 9U}) {
        *message.mutable_pong() = make_pong(targets);
        add_message(to, "pong, by targets", message, targets);
    }
    message.mutable_sync_request()->set_configuration_revision(100'000);
    message.mutable_sync_request()->set_host_list_revision(10'000);
    add_message(to, "sync_request", message);
    replica held;
    held.confirm(boot_clock::now());
    *message.mutable_sync_update() = make_update(held, message.sync_request(), boot_clock::now());
    message.mutable_sync_update()->set_configuration_revision(100'000);
    message.mutable_sync_update()->set_host_list_revision(10'000);
    add_message(to, "sync_update without news", message);
    link::published_entry& change = *message.mutable_sync_update()->add_entries();
    change.set_key("organisations/organisation-1");
    change.set_value(make_entries({}).at("organisations/organisation-1").dump());
    change.set_revision(100'000);
    add_message(to, "sync_update with one change", message);
    message.mutable_share_claim()->set_configuration_revision(100'000);
    message.mutable_share_claim()->set_host_list_revision(10'000);
    add_message(to, "share_claim", message);
    share_answer answer{10'000, 100'000, 0.125, {}, true};
    for (std::size_t others = 0; others < 3; ++others) {
        *message.mutable_share_answer() = to_link(answer);
        add_message(to, "share_answer, by hosts named", message, others);
        answer.others.push_back({"domain-12-host-3", 7, 0.125, 10s});
    }
}

void add_request_messages(const report& to)
{
    link::envelope message = make_envelope();
    *message.mutable_loan_request() = to_link(loan_request{"organisation-1", 500, 100, 100'000});
    add_message(to, "loan_request", message);
    *message.mutable_loan_grant() = to_link(loan_grant{"organisation-1", 1ULL << 60, 500, 2s, 900});
    add_message(to, "loan_grant", message);
    *message.mutable_loan_settle() = to_link(loan_settle{1ULL << 60, 300, 200});
    add_message(to, "loan_settle", message);
    link::dispatch_request& request = *message.mutable_dispatch_request();
    request.set_organisation("organisation-1");
    request.set_key_digest(to_digest(1));
    request.set_profile("profile-1");
    request.set_target("model-1");
    request.set_configuration_revision(100'000);
    request.set_method("POST");
    request.set_path("/v1/chat/completions");
    request.set_body(make_caller_request().body);
    request.set_maximum_age_ms(30'000);
    request.set_deadline_ms(30'000);
    request.set_reserved_tokens(400);
    request.set_prefix_hash(1ULL << 60);
    add_message(to, "dispatch_request, prompt of 200 tokens", message);
    link::dispatch_event& event = *message.mutable_dispatch_event();
    event.set_kind(link::dispatch_event::kind_data);
    event.set_sequence(100);
    event.set_data(std::string(180, 'x'));
    add_message(to, "dispatch_event with a token's 180 bytes", message);
}

/// @}
/// @name a running fleet
/// @{

/// What a process has used since its start.
struct usage {
    double processor = 0; // seconds
    double resident = 0;  // bytes
    double link_sent = 0; // bytes to other hosts' processes and own ones
    double link_received = 0;
    std::size_t connections = 0;
};

double processor_of(pid_t process)
{
    std::ifstream file{"/proc/" + std::to_string(process) + "/stat"};
    std::string text;
    std::getline(file, text);
    std::istringstream fields{text.substr(text.rfind(')') + 2)};
    std::string skipped;
    for (int i = 0; i < 11; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_of(pid_t process)
{
    std::ifstream file{"/proc/" + std::to_string(process) + "/statm"};
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

std::string run(const std::string& command)
{
    std::string text;
    if (FILE* pipe = popen(command.c_str(), "r")) {
        std::array<char, 4096> part{};
        while (std::fgets(part.data(), part.size(), pipe) != nullptr) {
            text += part.data();
        }
        pclose(pipe);
    }
    return text;
}

double number_after(const std::string& text, const std::string& name)
{
    const auto found = text.find(name);
    return found == std::string::npos ? 0 : std::atof(text.c_str() + found + name.size());
}

/// Adds up the connections between processes' link sockets, as the kernel counts them.
void add_link_bytes(const std::set<std::string>& link_addresses, std::map<pid_t, usage>& by_process)
{
    std::istringstream lines{run("ss -tinpOH state established 2>/dev/null")};
    for (std::string line; std::getline(lines, line);) {
        std::istringstream fields{line};
        std::string queue;
        std::string local;
        std::string peer;
        fields >> queue >> queue >> local >> peer;
        const auto found = by_process.find(static_cast<pid_t>(number_after(line, "pid=")));
        if (found == by_process.end() ||
            (!link_addresses.contains(local) && !link_addresses.contains(peer))) {
            continue;
        }
        found->second.link_sent += number_after(line, " bytes_sent:");
        found->second.link_received += number_after(line, " bytes_received:");
        ++found->second.connections;
    }
}

constexpr std::array program_names{"entry", "dispatch", "configd"};

std::map<pid_t, usage> read_usage(tests::fleet& running)
{
    std::set<std::string> addresses;
    std::map<pid_t, usage> by_process;
    for (const tests::fleet_host& host : running.hosts()) {
        addresses.insert({host.entry_address, host.dispatch_address, host.configd_address});
        for (const char* name : program_names) {
            const pid_t id = running.process(host.name + '/' + name).id();
            by_process[id] = {processor_of(id), resident_of(id), 0, 0, 0};
        }
    }
    add_link_bytes(addresses, by_process);
    return by_process;
}

/// Mean over the hosts of one program's use between two readings.
usage mean_difference(tests::fleet& running, const std::string& name,
                      const std::map<pid_t, usage>& before, const std::map<pid_t, usage>& after)
{
    usage mean;
    const auto count = static_cast<double>(running.hosts().size());
    for (const tests::fleet_host& host : running.hosts()) {
        const pid_t id = running.process(host.name + '/' + name).id();
        const usage& first = before.at(id);
        const usage& last = after.at(id);
        mean.processor += (last.processor - first.processor) / count;
        mean.resident += last.resident / count;
        mean.link_sent += (last.link_sent - first.link_sent) / count;
        mean.link_received += (last.link_received - first.link_received) / count;
    }
    return mean;
}

void measure_idle(const report& to, tests::fleet& running, const std::string& shape)
{
    constexpr auto settling = 2s;
    constexpr double window = 6; // seconds
    std::this_thread::sleep_for(settling);
    const auto before = read_usage(running);
    const time_point begin = boot_clock::now();
    std::this_thread::sleep_for(from_seconds(window));
    const auto after = read_usage(running);
    const double elapsed = to_seconds(boot_clock::now() - begin);
    const std::size_t hosts = running.hosts().size();
    for (const std::string name : program_names) {
        const usage mean = mean_difference(running, name, before, after);
        std::string what = "idle ";
        what.append(name).append(", ").append(shape).append(", ");
        to.add("fleet", what + "processor", hosts, 100 * mean.processor / elapsed, "% of a core");
        to.add("fleet", what + "resident", hosts, mean.resident / 1e6, "MB");
        to.add("fleet", what + "link sent", hosts, mean.link_sent / elapsed, "bytes/s");
        to.add("fleet", what + "link received", hosts, mean.link_received / elapsed, "bytes/s");
    }
}

void measure_load(const report& to, tests::fleet& running, const std::string& key,
                  std::size_t output_tokens)
{
    standins::load_options load;
    for (const tests::fleet_host& host : running.hosts()) {
        load.entries.push_back(host.caller_address);
    }
    load.key = key;
    load.profile = "visit-summary";
    load.target = "assistant";
    load.is_stream = true;
    load.rate = 20;
    load.length = 4s;
    load.output_tokens = output_tokens;
    const auto before = read_usage(running);
    const time_point begin = boot_clock::now();
    const auto samples = standins::run_load(load);
    const double elapsed = to_seconds(boot_clock::now() - begin);
    const auto after = read_usage(running);
    std::size_t whole = 0;
    for (const auto& sample : samples) {
        whole += sample.received.kind == standins::outcome_kind::whole ? 1 : 0;
    }
    std::string with = "load, answers of ";
    with.append(std::to_string(output_tokens)).append(" tokens, ");
    const std::size_t hosts = running.hosts().size();
    to.add("fleet", with + "requests", hosts, static_cast<double>(samples.size()), "requests");
    to.add("fleet", with + "whole answers", hosts, static_cast<double>(whole), "requests");
    to.add("fleet", with + "length", hosts, elapsed, "s");
    for (const std::string name : program_names) {
        const usage mean = mean_difference(running, name, before, after);
        const double each = static_cast<double>(hosts) / static_cast<double>(samples.size());
        to.add("fleet", with + name + " processor", hosts, 1e3 * mean.processor * each,
               "ms/request, idle time included");
        to.add("fleet", with + name + " link sent", hosts, mean.link_sent * each, "bytes/request");
        to.add("fleet", with + name + " resident", hosts, mean.resident / 1e6, "MB");
    }
}

std::string load_key()
{
    std::ifstream file{tests::source_path("examples/kapnos/keys.json")};
    return nlohmann::json::parse(file).at("volunteers");
}

/// @return whether the fleet started
bool measure_fleet(const report& to, std::size_t failure_domains, std::size_t hosts_each,
                   bool has_load)
{
    tests::fleet_options options;
    options.hosts_per_failure_domain = hosts_each;
    options.engine_arguments = {"--token-ms", "5"};
    options.adjust = [&](nlohmann::json& entries) {
        for (std::size_t i = 3; i < failure_domains; ++i) {
            entries[numbered("failure_domains/attica-", i)] = {{"region", "attica"}};
        }
        entries["organisations/volunteers"]["rate"] = 1e6;
        entries["organisations/volunteers"]["burst"] = 1e7;
    };
    tests::fleet running{options};
    const std::string failure = running.start();
    if (!failure.empty()) {
        std::fprintf(stderr, "slopes: the fleet didn't start: %s\n", failure.c_str());
        return false;
    }
    const std::string shape = std::to_string(failure_domains) + " failure domains";
    measure_idle(to, running, shape);
    if (has_load) {
        measure_load(to, running, load_key(), 16);
        measure_load(to, running, load_key(), 256);
    }
    return true;
}

/// @}

void measure_decisions(const report& to)
{
    for (const std::size_t size : {10U, 100U, 660U, 2'000U}) {
        add_entry_decisions(to, size);
        add_configuration_decisions(to, size);
        add_dispatch_decisions(to, size);
    }
    for (const std::size_t hosts : {7U, 47U, 350U}) {
        add_directory_decisions(to, hosts);
    }
    add_other_decisions(to);
    add_whole_state(to);
}

bool measure_fleets(const report& to)
{
    return measure_fleet(to, 3, 1, true) && measure_fleet(to, 7, 1, false) &&
           measure_fleet(to, 3, 2, false);
}

} // namespace
} // namespace hickorykeel::bench

int main(int argc, char** argv)
{
    using namespace hickorykeel::bench;
    TCLAP::CmdLine command{"Slopes of state, decisions, messages and processes", ' ', "0.1.0"};
    TCLAP::SwitchArg json{"", "json", "a JSON object a line", command};
    TCLAP::SwitchArg no_fleet{"", "no-fleet", "without the running programs", command};
    command.parse(argc, argv);
    const report to{json.getValue()};
    add_configuration_bytes(to);
    add_process_bytes(to);
    add_control_messages(to);
    add_request_messages(to);
    measure_decisions(to);
    return no_fleet.getValue() || measure_fleets(to) ? 0 : 1;
}
