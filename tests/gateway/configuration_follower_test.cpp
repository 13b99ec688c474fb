#include "gateway/configuration/configuration_follower.h"

#include "gateway/configuration/reader_choice.h"
#include "gateway/http/http_server.h"

#include <chrono>  // hours, milliseconds, seconds
#include <memory>  // make_shared, make_unique, shared_ptr, unique_ptr
#include <string>  // string
#include <utility> // move

#include <doctest/doctest.h>

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 20s; // of a test, before it counts as stuck
const std::string reader_ip = "127.0.0.1";

/// A source that answers at once.
class counting_source : public publication_source {
public:
    void read(handler on_answer) override
    {
        ++reads;
        on_answer(make_reading("from the source"));
    }

    [[nodiscard]] result<published_reading> decode(const std::string& text) const override
    {
        return make_reading(text);
    }

    static published_reading make_reading(const std::string& text)
    {
        auto made = std::make_shared<publication>();
        made->version = 1;
        published_reading reading;
        reading.published = made;
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

/// An ip of a host of the region that isn't a reader beside `reader_ip`.
std::string other_ip()
{
    for (int i = 1;; ++i) {
        std::string ip = "10.1.0." + std::to_string(i);
        if (choose_readers({ip, reader_ip}, 1).front() == reader_ip) {
            return ip;
        }
    }
}

/// A host that follows the configuration in a region with one reader, whose answers the test gives.
class small_region {
public:
    explicit small_region(http_server::handler reader) : m_reader{m_loop, std::move(reader)}
    {
        REQUIRE(is_ok(m_reader.listen(reader_ip + ":0")));
        m_state.apply(counting_source::make_reading(""), boot_clock::now() - 1h, boot_clock::now());
        hear_reader();
        m_follower = std::make_unique<configuration_follower>(
            configuration_follower::dependencies{m_loop, source, m_state, m_members, m_client,
                                                 m_log, m_metrics},
            follower_options{.read_interval = 1h,
                             .relay_timeout = 100ms,
                             .max_readers = 1,
                             .relay_port = m_reader.port(),
                             .ip = other_ip(),
                             .region = "attica"},
            [this] { m_has_changed = true; });
    }

    small_region(const small_region&) = delete;
    small_region& operator=(const small_region&) = delete;
    small_region(small_region&&) = delete;
    small_region& operator=(small_region&&) = delete;

    ~small_region() = default;

    /// Lets the host read until it has taken something over.
    void read()
    {
        m_follower->start();
        const time_point limit = boot_clock::now() + patience;
        while (!m_has_changed && boot_clock::now() < limit) {
            m_loop.run_one_for(10ms);
        }
        REQUIRE(m_has_changed);
    }

    [[nodiscard]] const std::string& held() const { return m_state.last().text; }
    [[nodiscard]] duration age() const { return m_state.age(boot_clock::now()); }

    counting_source source;

private:
    void hear_reader()
    {
        heartbeat heard;
        heard.ip = reader_ip;
        heard.region = "attica";
        heard.incarnation = 7;
        heard.sequence = 1;
        heard.is_ready = true;
        heard.has_configuration = true;
        m_members.on_heartbeat(heard, boot_clock::now() + 1h);
    }

    asio::io_context m_loop{1};
    http_client m_client{m_loop};
    http_server m_reader;
    event_log m_log{m_loop, "h", {}};
    gateway_metrics m_metrics;
    published_state m_state{{}};
    member_table m_members{other_ip(), {}, {}};
    std::unique_ptr<configuration_follower> m_follower;
    bool m_has_changed = false;
};

} // namespace

TEST_CASE("a host that isn't a reader takes over what a reader knows, with its age")
{
    small_region region{
        [](const auto& request) { request->respond(200, with_age("500"), "from the reader"); }};
    region.read();
    CHECK(region.held() == "from the reader");
    CHECK(region.age() >= 500ms);
    CHECK(region.source.reads == 0);
}

TEST_CASE("a reader that doesn't answer: the source is read after a time limit")
{
    std::shared_ptr<server_exchange> kept;
    small_region region{[&kept](const auto& request) { kept = request; }};
    region.read();
    CHECK(region.held() == "from the source");
    CHECK(region.source.reads == 1);
}

TEST_CASE("a reader whose own reading is old: the source is read")
{
    small_region region{
        [](const auto& request) { request->respond(200, with_age("3000"), "from the reader"); }};
    region.read();
    CHECK(region.source.reads == 1);
}

TEST_CASE("a reader that doesn't say how old its reading is: the source is read")
{
    for (const std::string age : {"", "-1", "5 s", "99999999999"}) {
        CAPTURE(age);
        small_region region{[&age](const auto& request) {
            request->respond(200, with_age(age), "from the reader");
        }};
        region.read();
        CHECK(region.held() == "from the source");
    }
}
