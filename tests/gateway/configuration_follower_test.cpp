#include "gateway/configuration/configuration_follower.h"

#include "gateway/http/http_server.h"
#include "gateway/membership/aggregator_choice.h"

#include <chrono>  // hours, milliseconds, seconds
#include <memory>  // make_shared, make_unique, shared_ptr, unique_ptr
#include <string>  // string
#include <utility> // move

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto read_timeout = 20s; // after which a read in a test counts as stuck
const std::string reader_ip = "127.0.0.1";

/// A source that responds at once and counts its reads.
class counting_source : public publication_source {
public:
    void read(handler on_reading) override
    {
        ++reads;
        on_reading(make_reading("from the source"));
    }

    [[nodiscard]] result<published_reading> decode(const std::string& text) const override
    {
        return make_reading(text);
    }

    static published_reading make_reading(const std::string& text)
    {
        auto published = std::make_shared<publication>();
        published->version = 1;
        published_reading reading;
        reading.published = published;
        reading.revision = 1;
        reading.text = text;
        return reading;
    }

    int reads = 0;
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
    explicit single_reader_region(http_server::handler reader) : m_reader{m_loop, std::move(reader)}
    {
        REQUIRE(is_ok(m_reader.listen(reader_ip + ":0")));
        m_state.apply(counting_source::make_reading(""), boot_clock::now() - 1h, boot_clock::now());
        add_reader();
        m_follower = std::make_unique<configuration_follower>(
            configuration_follower::dependencies{m_loop, source, m_state, m_members, m_client,
                                                 m_log, m_metrics},
            follower_options{.read_interval = 1h,
                             .relay_timeout = 100ms,
                             .max_readers = 1,
                             .relay_port = m_reader.port(),
                             .ip = non_reader_ip(),
                             .failure_domain = "",
                             .region = "attica"},
            [this] { m_has_changed = true; });
    }

    single_reader_region(const single_reader_region&) = delete;
    single_reader_region& operator=(const single_reader_region&) = delete;
    single_reader_region(single_reader_region&&) = delete;
    single_reader_region& operator=(single_reader_region&&) = delete;

    ~single_reader_region() = default;

    /// Runs the host until it has applied a reading.
    void read()
    {
        m_follower->start();
        const time_point deadline = boot_clock::now() + read_timeout;
        while (!m_has_changed && boot_clock::now() < deadline) {
            m_loop.run_one_for(10ms);
        }
        REQUIRE(m_has_changed);
    }

    [[nodiscard]] const std::string& held() const { return m_state.last().text; }
    [[nodiscard]] duration age() const { return m_state.age(boot_clock::now()); }

    counting_source source;

private:
    void add_reader()
    {
        heartbeat received;
        received.ip = reader_ip;
        received.region = "attica";
        received.incarnation = 7;
        received.sequence = 1;
        received.is_ready = true;
        received.has_configuration = true;
        m_members.on_heartbeat(received, boot_clock::now() + 1h);
    }

    asio::io_context m_loop{1};
    http_client m_client{m_loop};
    http_server m_reader;
    event_log m_log{m_loop, "h", {}};
    gateway_metrics m_metrics;
    published_state m_state{{}};
    member_table m_members{non_reader_ip(), {}, {}};
    std::unique_ptr<configuration_follower> m_follower;
    bool m_has_changed = false;
};

} // namespace

TEST_CASE("a host that is not a reader applies a reader's state and its age")
{
    single_reader_region region{
        [](const auto& request) { request->respond(200, with_age("500"), "from the reader"); }};
    region.read();
    CHECK(region.held() == "from the reader");
    CHECK(region.age() >= 500ms);
    CHECK(region.source.reads == 0);
}

TEST_CASE("the source is read after a timeout if the reader does not respond")
{
    std::shared_ptr<server_exchange> pending;
    single_reader_region region{[&pending](const auto& request) { pending = request; }};
    region.read();
    CHECK(region.held() == "from the source");
    CHECK(region.source.reads == 1);
}

TEST_CASE("the source is read if the reader's state is too old")
{
    single_reader_region region{
        [](const auto& request) { request->respond(200, with_age("3000"), "from the reader"); }};
    region.read();
    CHECK(region.source.reads == 1);
}

TEST_CASE("the source is read if the age of the reader's state is missing or invalid")
{
    for (const std::string age : {"", "-1", "5 s", "99999999999"}) {
        CAPTURE(age);
        single_reader_region region{[&age](const auto& request) {
            request->respond(200, with_age(age), "from the reader");
        }};
        region.read();
        CHECK(region.held() == "from the source");
    }
}
