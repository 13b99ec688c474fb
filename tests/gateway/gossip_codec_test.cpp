#include "gateway/membership/gossip_codec.h"

#include "gateway/membership/fleet_membership.h"
#include "generated/gossip.pb.h"

#include <chrono>  // milliseconds, seconds
#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t
#include <limits>  // numeric_limits
#include <map>     // map
#include <random>  // mt19937_64
#include <string>  // string, to_string

#include <doctest/doctest.h>
#include <google/protobuf/stubs/logging.h> // SetLogHandler

using namespace hickorykeel;
using namespace hickorykeel::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

heartbeat make_digest_heartbeat()
{
    heartbeat sent;
    sent.host = "host-2";
    sent.ip = "10.0.0.2";
    sent.failure_domain = "r-a";
    sent.region = "r";
    sent.incarnation = 7;
    sent.sequence = 4;
    sent.interval = 200ms;
    sent.digests = digest_subscription::primary;
    region_digest digest;
    digest.hosts = 12;
    digest.rotation = 2s;
    digest.used["o"] = 1'234.5;
    digest.refused["o"] = 678;
    digest.endpoints[99] = {4, 5'000};
    digest.prompts = {{77, 99}};
    digest.restarts = {{99, 40ms, 30ms, 50ms}};
    digest.cold_endpoints = {{98, 1'200ms}};
    digest.ended_endpoints = {{97, 3}};
    digest.members = {{"r",
                       "r-b",
                       {{.ip = "10.0.1.3",
                         .incarnation = 9,
                         .sequence = 20,
                         .age = 150ms,
                         .is_ready = true,
                         .has_configuration = true,
                         .configuration_age = 700ms,
                         .lacks_endpoint_path = true}}}};
    digest.regions = {
        {"s", "10.1.0.1", 3, 80ms, 12, true, {{"llm", {45ms, 17}}}, {{"o", 9}}, {{"o", 4}}}};
    sent.digest = digest;
    return sent;
}

gossip::heartbeat make_message()
{
    gossip::heartbeat message;
    message.set_host("host-2");
    message.set_ip("10.0.0.2");
    message.set_region("r");
    message.set_incarnation(7);
    message.set_sequence(1);
    return message;
}

fleet_membership make_membership(const fleet_membership_options& options = {})
{
    return {{"host-1", "10.0.0.1", "r-a", "r", 1}, {}, options};
}

} // namespace

TEST_CASE("a digest is unchanged by encoding and decoding")
{
    const heartbeat sent = make_digest_heartbeat();
    const auto received = decode_heartbeat(encode(sent, heartbeat_scope::own_region));
    REQUIRE(received);
    REQUIRE(received->digest);
    const region_digest& digest = *received->digest;
    CHECK(digest.hosts == 12);
    REQUIRE(digest.members.size() == 1);
    CHECK(digest.members.at(0).members.at(0).lacks_endpoint_path);
    CHECK(digest.rotation == 2s);
    CHECK(digest.used.at("o") == 1'234.5);
    CHECK(digest.refused.at("o") == 678);
    CHECK(digest.endpoints.at(99).waiting_tokens == 5'000);
    CHECK(digest.prompts.at(0).endpoint == 99);
    REQUIRE(digest.restarts.size() == 1);
    CHECK(digest.restarts.at(0).endpoint == 99);
    CHECK(digest.restarts.at(0).sign_age == 40ms);
    CHECK(digest.restarts.at(0).doubt_age == 30ms);
    CHECK(digest.restarts.at(0).known_age == 51ms);
    REQUIRE(digest.cold_endpoints.size() == 1);
    CHECK(digest.cold_endpoints.at(0).endpoint == 98);
    CHECK(digest.cold_endpoints.at(0).remaining == 1'200ms);
    REQUIRE(digest.ended_endpoints.size() == 1);
    CHECK(digest.ended_endpoints.at(0).incarnation == 97);
    CHECK(digest.ended_endpoints.at(0).witnesses == 3);
    const relayed_member& host = digest.members.at(0).members.at(0);
    CHECK(digest.members.at(0).failure_domain == "r-b");
    CHECK(host.ip == "10.0.1.3");
    CHECK(host.sequence == 20);
    CHECK(host.age == 150ms);
    CHECK(host.is_ready);
    CHECK_FALSE(host.is_lost);
    CHECK(host.configuration_age == 700ms);
    const region_state& region = digest.regions.at(0);
    CHECK(region.ip == "10.1.0.1");
    CHECK(region.services.at("llm").free_places == 17);
    CHECK(region.used.at("o") == 9);
    CHECK(region.refused.at("o") == 4);
}

TEST_CASE("a digest for another region omits what only its own region uses")
{
    const auto received = decode_heartbeat(encode(make_digest_heartbeat(), heartbeat_scope::fleet));
    REQUIRE(received);
    REQUIRE(received->digest);
    CHECK(received->digest->endpoints.empty());
    CHECK(received->digest->prompts.empty());
    // which regions a summary passes on is chosen by `fleet_membership`
    CHECK(received->digest->regions.size() == 1);
    CHECK(received->digest->used.size() == 1);
    CHECK(received->digest->members.size() == 1);
}

TEST_CASE("how long services have had single versions is told to hosts of any region")
{
    heartbeat sent = make_digest_heartbeat();
    sent.single_version = {12'345ms, 0xFEDC'BA98};
    for (const heartbeat_scope scope : {heartbeat_scope::own_region, heartbeat_scope::fleet}) {
        const auto received = decode_heartbeat(encode(sent, scope));
        REQUIRE(received);
        CHECK(received->single_version.span == 12'345ms);
        CHECK(received->single_version.versions == 0xFEDC'BA98);
    }
    const std::string datagram = encode(sent, heartbeat_scope::fleet);
    fleet_membership membership = make_membership();
    CHECK(membership.on_datagram(datagram, start - 800ms, start).single_version.span == 12'345ms);
    // the same heartbeat again
    CHECK(membership.on_datagram(datagram, start, start).single_version.span == 0ms);
}

TEST_CASE("how long services have had single versions isn't taken from a datagram that has waited")
{
    heartbeat sent = make_digest_heartbeat();
    sent.single_version = {12'345ms, 7};
    fleet_membership membership = make_membership();
    const auto news =
        membership.on_datagram(encode(sent, heartbeat_scope::fleet), start - 801ms, start);
    CHECK(news.new_host == "host-2");
    CHECK(news.single_version.span == 0ms);
}

TEST_CASE("a heartbeat that was cut or changed on the way never causes more than its rejection")
{
    const std::string sent = encode(make_digest_heartbeat(), heartbeat_scope::own_region);
    std::mt19937_64 random{1};
    fleet_membership membership = make_membership();
    for (std::size_t length = 0; length < sent.size(); ++length) {
        membership.on_datagram(sent.substr(0, length), start);
    }
    for (int i = 0; i < 20'000; ++i) {
        std::string changed = sent;
        for (int n = 0; n < 3; ++n) {
            changed[random() % changed.size()] = static_cast<char>(random());
        }
        membership.on_datagram(changed, start);
        static_cast<void>(membership.peer_loads(start));
    }
    membership.expire(start + 1s);
    CHECK(membership.members().all().size() <= member_table_options{}.max_hosts);
}

TEST_CASE("unreadable datagrams don't cause a line on standard error each")
{
    static_cast<void>(decode_heartbeat("nonsense"));
    // null stands for no output
    const bool is_silent = google::protobuf::SetLogHandler(nullptr) == nullptr;
    CHECK(is_silent);
}

TEST_CASE("absurd figures in a heartbeat are left out or bounded")
{
    gossip::heartbeat message = make_message();
    message.set_interval_ms(std::numeric_limits<std::uint32_t>::max());
    auto& used = *message.add_used();
    used.set_organisation("o");
    used.set_units(std::numeric_limits<double>::quiet_NaN());
    auto& refused = *message.add_used();
    refused.set_organisation("p");
    refused.set_refused(std::numeric_limits<double>::infinity());
    auto& load = *message.add_services();
    load.set_service("llm");
    load.set_expected_wait_ms(std::numeric_limits<float>::infinity());
    message.mutable_digest()->set_rotation_ms(std::numeric_limits<std::uint32_t>::max());
    const auto received = decode_heartbeat(message.SerializeAsString());
    REQUIRE(received);
    CHECK(received->interval <= 5s);
    CHECK(received->used.empty());
    CHECK(received->refused.empty());
    CHECK(received->services.empty());
    CHECK(received->digest->rotation <= 5s);
}

TEST_CASE("a heartbeat that names thousands of hosts doesn't fill the table without limit")
{
    fleet_membership_options options;
    options.members.max_hosts = 500;
    fleet_membership membership = make_membership(options);
    std::uint32_t next_ip = 0x0A000100;
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
        gossip::heartbeat message = make_message();
        message.set_sequence(sequence);
        auto& group = *message.mutable_digest()->add_members();
        group.set_region("r");
        for (int i = 0; i < 3'000; ++i) {
            auto& host = *group.add_members();
            host.set_ip(++next_ip);
            host.set_incarnation(1);
            host.set_sequence(1);
        }
        membership.on_datagram(message.SerializeAsString(), start);
    }
    CHECK(membership.members().all().size() == 500);
}

TEST_CASE("a report about a host that was last seen before the clock's start is ignored")
{
    fleet_membership membership = make_membership();
    gossip::heartbeat message = make_message();
    auto& group = *message.mutable_digest()->add_members();
    group.set_region("s");
    auto& host = *group.add_members();
    host.set_ip(0x0A000102);
    host.set_incarnation(1);
    host.set_sequence(1);
    host.set_age_ms(std::numeric_limits<std::uint32_t>::max());
    membership.on_datagram(message.SerializeAsString(), start);
    CHECK(membership.members().all().size() == 1);
    CHECK(membership.expire(start + 1s).empty());
}

TEST_CASE("a heartbeat of an older incarnation or a repeated one changes nothing")
{
    fleet_membership membership = make_membership();
    gossip::heartbeat message = make_message();
    message.set_is_ready(true);
    message.set_sequence(5);
    const std::string fifth = message.SerializeAsString();
    CHECK(membership.on_datagram(fifth, start).new_host == "host-2");
    message.set_is_ready(false);
    message.set_sequence(4);
    membership.on_datagram(message.SerializeAsString(), start + 100ms);
    CHECK(membership.members().ready(start + 100ms).size() == 1);
    membership.on_datagram(fifth, start + 200ms);
    CHECK(membership.members().find("10.0.0.2")->heard_at == start);
}

TEST_CASE(
    "whether a host takes all endpoints for warm counts for its region, from its newest heartbeat")
{
    fleet_membership membership = make_membership();
    heartbeat sent = make_digest_heartbeat();
    const auto receive = [&] {
        return membership.on_datagram(encode(sent, heartbeat_scope::own_region), start);
    };
    CHECK_FALSE(receive().all_endpoints_warm);
    sent.all_endpoints_warm = true;
    CHECK_FALSE(receive().all_endpoints_warm); // a repeated one
    ++sent.sequence;
    CHECK(receive().all_endpoints_warm);
    sent.region = "s";
    ++sent.sequence;
    CHECK_FALSE(receive().all_endpoints_warm);
}

TEST_CASE("evidence of crashes is unchanged by encoding and decoding, also for other regions")
{
    heartbeat sent = make_digest_heartbeat();
    sent.crashes.crashes = {
        {8, 99, 1'500ms, {3, 0xffff'ffff'ffff'ffff}, {6, 0xffff'ffff'ffff'fffe}, 98, true, true}};
    sent.crashes.answered = {4};
    sent.crashes.verdicts = {{5, 20s}};
    sent.crashes.request_verdicts = {{6, 21s, 2, 30s}};
    sent.crashes.answered_requests = {{7, 300ms, 1}};
    for (const auto scope : {heartbeat_scope::own_region, heartbeat_scope::fleet}) {
        const auto received = decode_heartbeat(encode(sent, scope));
        REQUIRE(received);
        const crash_evidence& crashes = received->crashes;
        REQUIRE(crashes.crashes.size() == 1);
        CHECK(crashes.crashes.front().id == 8);
        CHECK(crashes.crashes.front().endpoint == 99);
        CHECK(crashes.crashes.front().age == 1'500ms);
        CHECK(crashes.crashes.front().parts == sent.crashes.crashes.front().parts);
        CHECK(crashes.answered == sent.crashes.answered);
        REQUIRE(crashes.verdicts.size() == 1);
        CHECK(crashes.verdicts.front().part == 5);
        CHECK(crashes.verdicts.front().age == 20s);
        CHECK(crashes.crashes.front().requests == sent.crashes.crashes.front().requests);
        CHECK(crashes.crashes.front().incarnation == 98);
        CHECK(crashes.crashes.front().is_repeated);
        CHECK(crashes.crashes.front().is_refuted);
        REQUIRE(crashes.request_verdicts.size() == 1);
        CHECK(crashes.request_verdicts.front().request == 6);
        CHECK(crashes.request_verdicts.front().age == 21s);
        CHECK(crashes.request_verdicts.front().renewals == 2);
        CHECK(crashes.request_verdicts.front().evidence_age == 30s);
        REQUIRE(crashes.answered_requests.size() == 1);
        CHECK(crashes.answered_requests.front().request == 7);
        CHECK(crashes.answered_requests.front().age == 300ms);
        CHECK(crashes.answered_requests.front().hops == 1);
    }
}

TEST_CASE("reports on the rejection limits of endpoints become no newer by encoding and decoding")
{
    heartbeat sent = make_digest_heartbeat();
    sent.rejection_limits = {{97, 3, 1'500ms}, {98, std::nullopt, 0ms}, {99, 0, 5'999'999ns}};
    const auto received = decode_heartbeat(encode(sent, heartbeat_scope::own_region));
    REQUIRE(received.has_value());
    REQUIRE(received->rejection_limits.size() == 3);
    CHECK(received->rejection_limits[0].incarnation == 97);
    CHECK(received->rejection_limits[0].limit == 3U);
    CHECK(received->rejection_limits[1].limit == std::nullopt);
    CHECK(received->rejection_limits[2].limit == 0U);
    for (std::size_t i = 0; i < sent.rejection_limits.size(); ++i) {
        CHECK(received->rejection_limits[i].age >= sent.rejection_limits[i].age);
        CHECK(received->rejection_limits[i].age <= sent.rejection_limits[i].age + 1ms);
    }
    const auto elsewhere = decode_heartbeat(encode(sent, heartbeat_scope::fleet));
    REQUIRE(elsewhere.has_value());
    CHECK(elsewhere->rejection_limits.empty());
}

TEST_CASE("reports on the rates of endpoints become no newer by encoding and decoding")
{
    heartbeat sent = make_digest_heartbeat();
    sent.rates = {{97, 3.6, 1'500ms}, {98, std::nullopt, 0ms}, {99, 0.0, 5'999'999ns}};
    const auto received = decode_heartbeat(encode(sent, heartbeat_scope::own_region));
    REQUIRE(received.has_value());
    REQUIRE(received->rates.size() == 3);
    CHECK(received->rates[0].incarnation == 97);
    CHECK(received->rates[0].max_rate == 3.6);
    CHECK(received->rates[1].max_rate == std::nullopt);
    CHECK(received->rates[2].max_rate == 0.0);
    for (std::size_t i = 0; i < sent.rates.size(); ++i) {
        CHECK(received->rates[i].age >= sent.rates[i].age);
        CHECK(received->rates[i].age <= sent.rates[i].age + 1ms);
    }
    const auto elsewhere = decode_heartbeat(encode(sent, heartbeat_scope::fleet));
    REQUIRE(elsewhere.has_value());
    CHECK(elsewhere->rates.empty());
}

TEST_CASE("a rate that is no number or negative isn't read from a heartbeat")
{
    gossip::heartbeat message = make_message();
    for (const double rate : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                              std::numeric_limits<double>::infinity()}) {
        auto& added = *message.add_rates();
        added.set_incarnation(97);
        added.set_max_rate(rate);
    }
    const auto received = decode_heartbeat(message.SerializeAsString());
    REQUIRE(received.has_value());
    CHECK(received->rates.empty());
}

namespace {

/// Largest payload of a UDP datagram over IPv4, in bytes.
constexpr std::size_t max_payload = 65'507;

/// Returns the largest digest for a host of one of three regions in all of which all organisations
/// have used units and every second one has had requests refused.
heartbeat make_usage_digest(int organisations)
{
    heartbeat sent = make_digest_heartbeat();
    region_state region = sent.digest->regions.front();
    region.used.clear();
    region.refused.clear();
    for (int i = 0; i < organisations; ++i) {
        const std::string name = "org-" + std::to_string(1'000 + i);
        region.used[name] = 1e9 + i;
        if (i % 2 == 0) {
            region.refused[name] = 1e8 + i;
        }
    }
    sent.digest->used = region.used;
    sent.digest->refused = region.refused;
    sent.digest->regions = {region, region};
    return sent;
}

} // namespace

// guards against QUOTA: a digest that is larger than a datagram isn't sent, and no usage is heard
TEST_CASE("a digest of three regions with the usage of 660 organisations fits in a datagram")
{
    CHECK(encode(make_usage_digest(16), heartbeat_scope::own_region).size() < 2'000);
    CHECK(encode(make_usage_digest(660), heartbeat_scope::own_region).size() < max_payload);
}

TEST_CASE("streams are unchanged by encoding and decoding, also for other regions")
{
    heartbeat sent = make_digest_heartbeat();
    sent.streams = {{71, 5, 1'200ms}, {72, 6, 9s}, {73, 5, 15s}};
    sent.digest->streams = {{81, 5, 300ms}};
    for (const heartbeat_scope scope : {heartbeat_scope::own_region, heartbeat_scope::fleet}) {
        const auto received = decode_heartbeat(encode(sent, scope));
        REQUIRE(received);
        REQUIRE(received->digest);
        REQUIRE(received->streams.size() == 3);
        std::map<std::uint64_t, stream_report> by_stream;
        for (const stream_report& report : received->streams) {
            by_stream[report.stream] = report;
        }
        CHECK(by_stream[71].software_version == 5);
        CHECK(by_stream[72].software_version == 6);
        CHECK(by_stream[73].software_version == 5);
        CHECK(by_stream[71].remaining == 1'200ms);
        CHECK(by_stream[72].remaining == 9s);
        REQUIRE(received->digest->streams.size() == 1);
        CHECK(received->digest->streams.front().stream == 81);
    }
}

TEST_CASE("streams that lack their time are left out, and their number is bounded")
{
    gossip::heartbeat message;
    message.set_ip("10.0.0.2");
    message.set_incarnation(7);
    gossip::stream_group& group = *message.add_streams();
    group.add_streams(71);
    group.add_streams(72);
    group.add_remaining_ms(100);
    auto received = decode_heartbeat(message.SerializeAsString());
    REQUIRE(received);
    CHECK(received->streams.size() == 1);
    for (int i = 0; i < 4'000; ++i) {
        for (gossip::stream_group* added : {message.mutable_streams(0), message.add_streams()}) {
            added->add_streams(static_cast<std::uint64_t>(i));
            added->add_remaining_ms(100);
        }
    }
    received = decode_heartbeat(message.SerializeAsString());
    REQUIRE(received);
    CHECK(received->streams.size() <= 4'096);
}

TEST_CASE("a stream takes at most 11 bytes, and a digest's streams leave room in a datagram")
{
    heartbeat sent = make_digest_heartbeat();
    const std::size_t without = encode(sent, heartbeat_scope::own_region).size();
    const fleet_membership_options options;
    for (std::size_t i = 0; i < options.max_streams; ++i) {
        sent.digest->streams.push_back({i, 5, 16s});
        sent.digest->streams.push_back({i, 6, 16s});
    }
    const std::size_t with = encode(sent, heartbeat_scope::own_region).size();
    CHECK(with - without < 2 * options.max_streams * 11);
    CHECK(with < 32'768);
}
