#include "gateway/configuration/configuration_follower.h"

#include "gateway/configuration/relay_codec.h"
#include "gateway/http/http_server.h"
#include "gateway/membership/aggregator_choice.h"

#include <chrono>  // hours, milliseconds, seconds
#include <cstdint> // uint64_t
#include <memory>  // make_shared, make_unique, shared_ptr, unique_ptr
#include <string>  // string, to_string
#include <utility> // exchange, move
#include <variant> // get
#include <vector>  // vector

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto read_timeout = 20s; // after which a read in a test counts as stuck
const std::string reader_ip = "127.0.0.1";
const std::string evacuation = "evacuation of "; // a failure domain follows

/// All items at `revision`: a configuration, and one endpoint called `endpoint`.
published_changes make_changes(const std::string& endpoint, std::uint64_t revision = 1)
{
    return {{},
            {0, revision},
            {{"configuration", "", {0, revision}, false}, {endpoint, "", {0, revision}, false}}};
}

published_reading make_reading()
{
    auto published = std::make_shared<publication>();
    published->version = 1;
    published_reading reading;
    reading.published = published;
    reading.position.revision = 1;
    return reading;
}

/// A source that responds at once, or never, and counts its reads.
class counting_source : public publication_source {
public:
    void read(const source_position& since, handler on_changes) override
    {
        ++reads;
        last_since = since;
        if (is_failing) {
            on_changes(error{error_kind::platform_unreachable, "read", "source", "down"});
        }
        else if (!is_silent) {
            on_changes(make_changes("from the source"));
        }
    }

    void cancel_read() override { ++cancelled_reads; }

    void watch(const source_position& since, duration max_wait, watch_handler on_changes) override
    {
        CHECK(on_watched == nullptr);
        CHECK(max_wait > 0ms);
        watched_since.push_back(since);
        on_watched = std::move(on_changes);
    }

    void cancel_watch() override
    {
        ++cancelled_watches;
        on_watched = nullptr;
    }

    /// Ends the watch under way.
    void end_watch(result<watched_changes> changes)
    {
        REQUIRE(on_watched != nullptr);
        std::exchange(on_watched, nullptr)(std::move(changes));
    }

    [[nodiscard]] result<published_value> decode(const published_item& item) const override
    {
        if (item.key == "configuration") {
            return published_value{make_reading().published};
        }
        if (item.key.starts_with(evacuation)) {
            return published_value{evacuated_domain{item.key.substr(evacuation.size())}};
        }
        endpoint_entry entry;
        entry.id = item.key;
        return published_value{entry};
    }

    bool is_silent = false;
    bool is_failing = false;
    int reads = 0;
    int cancelled_reads = 0;
    int cancelled_watches = 0;
    source_position last_since;
    std::vector<source_position> watched_since; ///< of all watches, in their order
    watch_handler on_watched;                   ///< of the watch under way; null: none
};

header_list with_age(const std::string& ms)
{
    header_list headers;
    headers.add(std::string{relay_age_header}, ms);
    return headers;
}

/// An ip for which `choose_aggregators()` prefers `reader_ip` as the only reader.
std::string non_reader_ip()
{
    for (int i = 1;; ++i) {
        std::string ip = "10.1.0." + std::to_string(i);
        if (choose_aggregators({{ip, ""}, {reader_ip, ""}}, 1).front() == reader_ip) {
            return ip;
        }
    }
}

/// A host that follows the configuration in a region with one reader; the test provides the
/// reader's responses.
class single_reader_region {
public:
    explicit single_reader_region(http_server::handler reader, duration read_interval = 100ms)
        : m_reader{m_loop, std::move(reader)}
    {
        REQUIRE(is_ok(m_reader.listen(reader_ip + ":0")));
        add_reader();
        m_follower = std::make_unique<configuration_follower>(
            configuration_follower::dependencies{m_loop, source, m_state, m_members, m_client,
                                                 m_log, m_metrics},
            follower_options{.read_interval = read_interval,
                             .relay_timeout = 100ms,
                             .initial_relay_timeout = 100ms,
                             .relay_port = m_reader.port(),
                             .choice = {.max_readers = 1,
                                        .max_unconfigured_read = 100ms,
                                        .ip = non_reader_ip(),
                                        .failure_domain = "",
                                        .region = "attica"}},
            [this] { ++m_changes; });
    }

    single_reader_region(const single_reader_region&) = delete;
    single_reader_region& operator=(const single_reader_region&) = delete;
    single_reader_region(single_reader_region&&) = delete;
    single_reader_region& operator=(single_reader_region&&) = delete;

    ~single_reader_region() = default;

    /// Gives the host an old configuration, so that it isn't a reader.
    void hold_old_state()
    {
        m_state.apply(make_reading(), boot_clock::now() - 1h, boot_clock::now());
    }

    /// Runs the host until it has applied changes.
    void read()
    {
        m_follower->start();
        run_until([this] { return m_changes > 0; });
    }

    template <typename Condition>
    void run_until(Condition is_met)
    {
        const time_point deadline = boot_clock::now() + read_timeout;
        while (!is_met() && boot_clock::now() < deadline) {
            m_loop.run_one_for(10ms);
        }
        REQUIRE(is_met());
    }

    /// The endpoint that the host knows.
    [[nodiscard]] std::string held() const
    {
        REQUIRE(m_state.endpoints().size() == 1);
        return m_state.endpoints().begin()->first;
    }
    /// Hears that the reader knows a change of the operator.
    void hear(const source_position& operator_change)
    {
        heartbeat received = make_heartbeat();
        received.sequence = 2;
        received.operator_change = operator_change;
        m_members.on_heartbeat(received, boot_clock::now() + 1h);
    }

    [[nodiscard]] bool is_evacuated(const std::string& failure_domain) const
    {
        return m_state.is_evacuated(failure_domain);
    }
    [[nodiscard]] duration age() const { return m_state.age(boot_clock::now()); }

    /// Number of changes that the host has passed on to its other parts.
    [[nodiscard]] int changes() const noexcept { return m_changes; }

    void serve_peer(server_exchange& request) { m_follower->serve_peer(request); }
    [[nodiscard]] asio::io_context& loop() noexcept { return m_loop; }

    counting_source source;

private:
    static heartbeat make_heartbeat()
    {
        heartbeat received;
        received.ip = reader_ip;
        received.region = "attica";
        received.incarnation = 7;
        received.sequence = 1;
        received.is_ready = true;
        received.has_configuration = true;
        return received;
    }

    void add_reader() { m_members.on_heartbeat(make_heartbeat(), boot_clock::now() + 1h); }

    asio::io_context m_loop{1};
    http_client m_client{m_loop};
    http_server m_reader;
    event_log m_log{m_loop, "h", {}};
    gateway_metrics m_metrics;
    published_state m_state{{}};
    member_table m_members{non_reader_ip(), {}, {}};
    std::unique_ptr<configuration_follower> m_follower;
    int m_changes = 0;
};

/// Response to a query of a peer host.
struct relay_response {
    int status = 0;
    published_changes changes;
};

/// A peer host that queries the host of a `single_reader_region`.
class relay_client {
public:
    explicit relay_client(single_reader_region& region)
        : m_region{region}, m_server{m_region.loop(),
                                     [this](const auto& request) { m_region.serve_peer(*request); }}
    {
        REQUIRE(is_ok(m_server.listen(reader_ip + ":0")));
    }

    relay_response query(const std::string& revision)
    {
        relay_response response;
        std::string body;
        bool has_ended = false;
        header_list headers;
        headers.add(std::string{relay_revision_header}, revision);
        m_client.call({.address = reader_ip + ':' + std::to_string(m_server.port())},
                      format_request("GET", relay_path, headers, {}),
                      {.on_head = [&](const message_head& head) { response.status = head.status; },
                       .on_body = [&](std::string& bytes) { body += std::exchange(bytes, {}); },
                       .on_end = [&](call_end) { has_ended = true; }});
        m_region.run_until([&] { return has_ended; });
        if (response.status == 200) {
            response.changes = std::get<published_changes>(decode_changes(body, "host"));
        }
        return response;
    }

private:
    single_reader_region& m_region;
    http_server m_server;
    http_client m_client{m_region.loop()};
};

} // namespace

TEST_CASE("a host that is not a reader applies a reader's state and its age")
{
    single_reader_region region{[](const auto& request) {
        request->respond(200, with_age("500"), encode_changes(make_changes("from the reader")));
    }};
    region.hold_old_state();
    region.read();
    CHECK(region.held() == "from the reader");
    CHECK(region.age() >= 500ms);
    CHECK(region.source.reads == 0);
}

TEST_CASE("the source is read after a timeout if the reader does not respond")
{
    std::shared_ptr<server_exchange> pending;
    single_reader_region region{[&pending](const auto& request) { pending = request; }};
    region.hold_old_state();
    region.read();
    CHECK(region.held() == "from the source");
    CHECK(region.source.reads == 1);
}

TEST_CASE("the source is read if the reader's state is too old")
{
    single_reader_region region{[](const auto& request) {
        request->respond(200, with_age("3000"), encode_changes(make_changes("from the reader")));
    }};
    region.hold_old_state();
    region.read();
    CHECK(region.source.reads == 1);
}

TEST_CASE("the source is read if the age of the reader's state is missing or invalid")
{
    for (const std::string age : {"", "-1", "5 s", "99999999999"}) {
        CAPTURE(age);
        single_reader_region region{[&age](const auto& request) {
            request->respond(200, with_age(age), encode_changes(make_changes("from the reader")));
        }};
        region.hold_old_state();
        region.read();
        CHECK(region.held() == "from the source");
    }
}

TEST_CASE("the source is read if the reader's response is no message of changes")
{
    for (const int status : {200, 404, 503}) {
        CAPTURE(status);
        single_reader_region region{[status](const auto& request) {
            request->respond(status, with_age("0"), "from the reader");
        }};
        region.hold_old_state();
        region.read();
        CHECK(region.held() == "from the source");
    }
}

TEST_CASE("a reader is queried for the changes since the held revision, and none change nothing")
{
    std::vector<std::string> revisions;
    single_reader_region region{[&revisions](const auto& request) {
        revisions.emplace_back(request->head().headers.find(relay_revision_header));
        const bool is_first = revisions.size() == 1;
        request->respond(200, with_age(is_first ? "1500" : "0"),
                         encode_changes(is_first ? make_changes("from the reader", 7)
                                                 : published_changes{{0, 7}, {0, 7}, {}}));
    }};
    region.hold_old_state();
    region.read();
    region.run_until([&] { return region.age() < 1s; }); // the second response confirms the state
    REQUIRE(revisions.size() >= 2);
    CHECK(revisions.at(0) == "0");
    CHECK(revisions.at(1) == "7");
    CHECK(region.held() == "from the reader");
    CHECK(region.changes() == 1);
    CHECK(region.source.reads == 0);
}

TEST_CASE("regression: a mass restart with many endpoints far from the source")
{
    // reading all items from the source takes long there, so the first host that has them helps
    single_reader_region region{[](const auto& request) {
        request->respond(200, with_age("0"), encode_changes(make_changes("from the reader")));
    }};
    region.source.is_silent = true;
    region.read();
    CHECK(region.held() == "from the reader");
    CHECK(region.source.reads == 1);
    CHECK(region.source.cancelled_reads == 1);
}

TEST_CASE("a host passes on the changes that a peer host lacks")
{
    single_reader_region region{[](const auto& request) {
        request->respond(200, with_age("0"), encode_changes(make_changes("from the reader", 7)));
    }};
    region.hold_old_state();
    relay_client peer{region};
    CHECK(peer.query("0").status == 503); // it holds none yet
    region.read();
    for (const std::string revision : {"0", "6", "", "7 or so", "99999999999999999999"}) {
        CAPTURE(revision);
        const relay_response response = peer.query(revision);
        CHECK(response.status == 200);
        CHECK(response.changes.since.is_none());
        CHECK(response.changes.items.size() == 2);
    }
    const relay_response response = peer.query("7");
    CHECK(response.changes.position.revision == 7);
    CHECK(response.changes.items.empty());
}

// guards against LOST and FAULT: what a faulty host sends without an end fills the memory
TEST_CASE("another host's state without an end is given up")
{
    std::weak_ptr<server_exchange> answered;
    single_reader_region region{[&answered](const std::shared_ptr<server_exchange>& request) {
        answered = request;
        request->begin(200, with_age("500"));
        for (int i = 0; i < 4; ++i) {
            request->send(std::string(8'000'000, 'x'));
        }
    }};
    region.hold_old_state();
    region.read(); // from the source
    CHECK(region.source.reads > 0);
    region.run_until([&] { return answered.expired() || !answered.lock()->is_open(); });
}

namespace {

/// A host of which nobody else has a usable state, so that it reads the source itself.
std::unique_ptr<single_reader_region> make_source_reader()
{
    auto region = std::make_unique<single_reader_region>(
        [](const auto& request) { request->respond(503, {}, {}); });
    region->hold_old_state();
    region->read();
    return region;
}

watched_changes make_evacuation(const std::string& failure_domain, std::uint64_t revision,
                                bool has_ended = false)
{
    return {{{evacuation + failure_domain, "", {0, revision}, has_ended}}, {0, revision}};
}

} // namespace

// guards against FAILBACK: hosts heard of an evacuation with their next read only, when the
// endpoints there had become cold
TEST_CASE("regression: an evacuation isn't heard of before the next read")
{
    const auto region = make_source_reader();
    counting_source& source = region->source;
    REQUIRE(source.watched_since == std::vector<source_position>{{0, 1}});
    const int reads = source.reads;
    const time_point confirmed_at = boot_clock::now() - region->age();
    source.end_watch(make_evacuation("d", 4));
    CHECK(region->is_evacuated("d"));
    CHECK(region->held() == "from the source");
    CHECK(source.reads == reads);
    // it says nothing of the endpoints
    CHECK(boot_clock::now() - region->age() <= confirmed_at + 1ms);

    SUBCASE("nor is its end, which another watch after the first one tells")
    {
        region->run_until([&] { return source.reads > reads; });
        CHECK(source.watched_since.back() == source_position{0, 4});
        source.end_watch(make_evacuation("d", 6, true));
        CHECK_FALSE(region->is_evacuated("d"));
    }
    SUBCASE("an earlier state that is read afterwards doesn't end it")
    {
        region->run_until([&] { return source.reads > reads; });
        CHECK(region->is_evacuated("d"));
    }
}

TEST_CASE("a watch of the source that ends early starts again after the next read")
{
    const auto region = make_source_reader();
    counting_source& source = region->source;
    SUBCASE("with an error")
    {
        source.end_watch(error{error_kind::platform_unreachable, "watch", "source", "cut"});
    }
    SUBCASE("without changes")
    {
        source.end_watch(watched_changes{{}, {0, 1}});
    }
    CHECK(source.on_watched == nullptr);
    region->run_until([&] { return source.on_watched != nullptr; });
    CHECK(source.reads >= 2);
    CHECK(source.watched_since.size() == 2);
}

TEST_CASE("a watch of the source is begun anew after a read that fails")
{
    const auto region = make_source_reader();
    counting_source& source = region->source;
    const int reads = source.reads;
    source.is_failing = true;
    region->run_until([&] { return source.reads > reads; });
    CHECK(source.cancelled_watches == 0);
    int cancelled = 1;
    SUBCASE("and may tell something meanwhile")
    {
        source.end_watch(make_evacuation("d", 4));
        CHECK(region->is_evacuated("d"));
        cancelled = 0;
    }
    SUBCASE("") {}
    source.is_failing = false;
    region->run_until([&] { return source.watched_since.size() == 2; });
    CHECK(source.on_watched != nullptr);
    CHECK(source.cancelled_watches == cancelled);
}

TEST_CASE("watched changes of another era are left to the next read")
{
    const auto region = make_source_reader();
    region->source.end_watch(watched_changes{{{evacuation + "d", "", {1, 4}, false}}, {1, 4}});
    CHECK_FALSE(region->is_evacuated("d"));
}

// guards against FAILBACK: only the readers of a region heard of an evacuation in time; the other
// hosts found the store slow and the readers' state stale
TEST_CASE("regression: the change that a peer host tells isn't queried before the next read")
{
    std::vector<std::string> revisions;
    const auto respond = [&revisions](const auto& request) {
        revisions.emplace_back(request->head().headers.find(relay_revision_header));
        const bool is_first = revisions.size() == 1;
        // a stale state, in which a change is known ahead
        request->respond(
            200, with_age(is_first ? "0" : "3000"),
            encode_changes(
                is_first
                    ? make_changes("from the reader", 7)
                    : published_changes{{0, 7}, {0, 7}, {{evacuation + "d", "", {0, 9}, false}}}));
    };
    single_reader_region region{respond, 1h};
    region.hold_old_state();
    region.read();
    region.source.is_silent = true;
    region.hear({0, 9});
    region.run_until([&] { return region.is_evacuated("d"); });
    CHECK(revisions.at(1) == "7");
    CHECK(region.held() == "from the reader");
}
