#include "gateway/membership/gossip_codec.h"

#include "generated/gossip.pb.h"

#include <algorithm> // max, min
#include <chrono>    // milliseconds
#include <cmath>     // isfinite, lround
#include <map>       // map
#include <mutex>     // call_once, once_flag
#include <utility>   // move

#include <asio/ip/address_v4.hpp>          // address_v4
#include <google/protobuf/stubs/logging.h> // SetLogHandler

namespace hickorykeel::gateway {

namespace {

using milliseconds = std::chrono::milliseconds;

/// Longer heartbeat intervals stated by a peer are not trusted and are reduced to this one: the
/// interval extends the time for which the peer counts as live.
constexpr milliseconds max_interval{5'000};

constexpr std::uint32_t percent = 100;

/// Maximum number of elements of each list of a heartbeat; further ones are ignored.
constexpr int max_elements = 4'096;

std::uint32_t to_ms(duration span)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, to_milliseconds(span).count()));
}

std::uint32_t to_number(const std::string& ip)
{
    asio::error_code failure;
    const auto address = asio::ip::make_address_v4(ip, failure);
    return failure ? 0 : address.to_uint();
}

std::string to_ip(std::uint32_t number)
{
    return asio::ip::address_v4{number}.to_string();
}

/// Calls `use` for the elements of `list`, up to `max_elements` of them.
template <typename List, typename Use>
void for_each_bounded(const List& list, Use use)
{
    const int count = std::min(list.size(), max_elements);
    for (int i = 0; i < count; ++i) {
        use(list.Get(i));
    }
}

// encoding, of a message that has the fields

template <typename Message>
void add_services(Message& message, const service_loads& services)
{
    for (const auto& [name, load] : services) {
        auto& added = *message.add_services();
        added.set_service(name);
        added.set_expected_wait_ms(static_cast<float>(to_seconds(load.expected_wait) * 1'000));
        added.set_free_places(load.free_places);
    }
}

/// Adds the counts `used` and `refused` of `counted`. Precondition: each organisation in `refused`
/// is also in `used`.
template <typename Message, typename Counted>
void add_usage(Message& message, const Counted& counted)
{
    for (const auto& [organisation, units] : counted.used) {
        auto& added = *message.add_used();
        added.set_organisation(organisation);
        added.set_units(units);
        const auto refused = counted.refused.find(organisation);
        if (refused != counted.refused.end()) {
            added.set_refused(refused->second);
        }
    }
}

void add_restart(gossip::restart_report& added, const restart_report& report)
{
    added.set_endpoint(report.endpoint);
    if (report.sign_age) {
        added.set_sign_age_ms(to_ms(*report.sign_age));
    }
    if (report.doubt_age) {
        added.set_doubt_age_ms(to_ms(*report.doubt_age));
    }
    if (report.known_age) {
        // rounded up, so that it doesn't become later than a sign that came after it
        added.set_known_age_ms(to_ms(*report.known_age) + 1);
    }
}

void add_load(gossip::load_report& added, const load_report& report)
{
    added.set_incarnation(report.incarnation);
    added.set_running(report.load.running);
    added.set_waiting(report.load.waiting);
    added.set_slots(report.load.slots);
    const auto pace = static_cast<std::uint32_t>(std::lround(report.load.pace * percent));
    added.set_pace_percent(pace == percent ? 0 : pace);
    // rounded up, so that forwarding doesn't make a report seem newer
    added.set_age_ms(to_ms(report.age) + 1);
}

/// Adds the fields that only hosts of the sender's region use. `sent` is a heartbeat or a digest.
template <typename Message, typename Sent>
void add_endpoints(Message& message, const Sent& sent)
{
    for (const auto& [hash, load] : sent.endpoints) {
        auto& added = *message.add_endpoints();
        added.set_endpoint(hash);
        added.set_active(load.active);
        added.set_waiting_tokens(load.waiting_tokens);
    }
    for (const sent_prefix& prefix : sent.prompts) {
        auto& added = *message.add_prompts();
        added.set_prefix(prefix.prefix);
        added.set_endpoint(prefix.endpoint);
    }
    for (const restart_report& report : sent.restarts) {
        add_restart(*message.add_restarts(), report);
    }
    for (const cold_report& report : sent.cold_endpoints) {
        auto& added = *message.add_cold_endpoints();
        added.set_endpoint(report.endpoint);
        added.set_remaining_ms(to_ms(report.remaining));
    }
    for (const end_report& report : sent.ended_endpoints) {
        auto& added = *message.add_ended_endpoints();
        added.set_incarnation(report.incarnation);
        added.set_witnesses(report.witnesses);
    }
    for (const load_report& report : sent.loads) {
        add_load(*message.add_loads(), report);
    }
}

void add_rates(gossip::heartbeat& message, const std::vector<rate_report>& reports)
{
    for (const rate_report& report : reports) {
        auto& added = *message.add_rates();
        added.set_incarnation(report.incarnation);
        if (report.max_rate) {
            added.set_max_rate(*report.max_rate);
        }
        // rounded up, so that forwarding doesn't make a report seem newer
        added.set_age_ms(to_ms(report.age) + 1);
    }
}

void add_rejection_limits(gossip::heartbeat& message, const std::vector<rejection_report>& reports)
{
    for (const rejection_report& report : reports) {
        auto& added = *message.add_rejection_limits();
        added.set_incarnation(report.incarnation);
        if (report.limit) {
            added.set_limit(*report.limit);
        }
        // rounded up, so that forwarding doesn't make a report seem newer
        added.set_age_ms(to_ms(report.age) + 1);
    }
}

/// Adds streams, those of one software version together. `Message` is a heartbeat or a digest.
template <typename Message>
void add_streams(Message& message, const std::vector<stream_report>& reports)
{
    std::map<std::uint32_t, gossip::stream_group*> groups; // by software version
    for (const stream_report& report : reports) {
        gossip::stream_group*& group = groups[report.software_version];
        if (group == nullptr) {
            group = message.add_streams();
            group->set_software_version(report.software_version);
        }
        group->add_streams(report.stream);
        group->add_remaining_ms(to_ms(report.remaining));
    }
}

void add_group(gossip::member_group& added_group, const member_group& group)
{
    added_group.set_region(group.region);
    added_group.set_failure_domain(group.failure_domain);
    for (const relayed_member& host : group.members) {
        auto& added = *added_group.add_members();
        added.set_ip(to_number(host.ip));
        added.set_incarnation(host.incarnation);
        added.set_sequence(host.sequence);
        added.set_age_ms(to_ms(host.age));
        added.set_is_ready(host.is_ready);
        added.set_is_leaving(host.is_leaving);
        added.set_is_lost(host.is_lost);
        added.set_has_configuration(host.has_configuration);
        added.set_configuration_age_ms(to_ms(host.configuration_age));
        added.set_lacks_endpoint_path(host.lacks_endpoint_path);
    }
}

void add_region(gossip::region_digest& message, const region_state& region)
{
    auto& added = *message.add_regions();
    added.set_region(region.region);
    added.set_ip(to_number(region.ip));
    added.set_incarnation(region.incarnation);
    added.set_age_ms(to_ms(region.age));
    added.set_known_hosts(region.known_hosts);
    added.set_is_relayed(region.is_relayed);
    add_services(added, region.services);
    add_usage(added, region);
}

void add_digest(gossip::heartbeat& message, const region_digest& digest, heartbeat_scope scope)
{
    gossip::region_digest& added = *message.mutable_digest();
    added.set_hosts(digest.hosts);
    added.set_rotation_ms(to_ms(digest.rotation));
    add_usage(added, digest);
    added.set_known_hosts(digest.known_hosts);
    for (const member_group& group : digest.members) {
        add_group(*added.add_members(), group);
    }
    for (const member_group& group : digest.introduced) {
        add_group(*added.add_introduced(), group);
    }
    for (const region_state& region : digest.regions) {
        add_region(added, region);
    }
    add_streams(added, digest.streams);
    if (scope == heartbeat_scope::own_region) {
        add_endpoints(added, digest);
    }
}

void add_crashes(gossip::heartbeat& message, const crash_evidence& crashes)
{
    if (crashes.is_empty()) {
        return;
    }
    gossip::crash_evidence& added = *message.mutable_crashes();
    for (const crash_report& report : crashes.crashes) {
        gossip::crash_report& crash = *added.add_crashes();
        crash.set_id(report.id);
        crash.set_endpoint(report.endpoint);
        crash.set_age_ms(to_ms(report.age));
        crash.mutable_parts()->Add(report.parts.begin(), report.parts.end());
        crash.mutable_requests()->Add(report.requests.begin(), report.requests.end());
        crash.set_incarnation(report.incarnation);
        crash.set_is_repeated(report.is_repeated);
        crash.set_is_refuted(report.is_refuted);
    }
    added.mutable_answered()->Add(crashes.answered.begin(), crashes.answered.end());
    for (const part_verdict& verdict : crashes.verdicts) {
        gossip::part_verdict& sent = *added.add_verdicts();
        sent.set_part(verdict.part);
        sent.set_age_ms(to_ms(verdict.age));
    }
    for (const request_verdict& verdict : crashes.request_verdicts) {
        gossip::request_verdict& sent = *added.add_request_verdicts();
        sent.set_request(verdict.request);
        sent.set_age_ms(to_ms(verdict.age));
        sent.set_renewals(verdict.renewals);
        sent.set_evidence_age_ms(to_ms(verdict.evidence_age));
    }
    for (const request_answer& answer : crashes.answered_requests) {
        gossip::request_answer& sent = *added.add_answered_requests();
        sent.set_request(answer.request);
        sent.set_age_ms(to_ms(answer.age));
        sent.set_hops(answer.hops);
    }
}

// decoding

crash_evidence to_crashes(const gossip::crash_evidence& message)
{
    crash_evidence evidence;
    for_each_bounded(message.crashes(), [&evidence](const gossip::crash_report& crash) {
        crash_report report{
            crash.id(), crash.endpoint(),    milliseconds{crash.age_ms()}, {},
            {},         crash.incarnation(), crash.is_repeated(),          crash.is_refuted()};
        for_each_bounded(crash.parts(),
                         [&report](std::uint64_t part) { report.parts.push_back(part); });
        for_each_bounded(crash.requests(),
                         [&report](std::uint64_t request) { report.requests.push_back(request); });
        evidence.crashes.push_back(std::move(report));
    });
    for_each_bounded(message.answered(),
                     [&evidence](std::uint64_t part) { evidence.answered.push_back(part); });
    for_each_bounded(message.verdicts(), [&evidence](const gossip::part_verdict& verdict) {
        evidence.verdicts.push_back({verdict.part(), milliseconds{verdict.age_ms()}});
    });
    for_each_bounded(message.request_verdicts(),
                     [&evidence](const gossip::request_verdict& verdict) {
                         evidence.request_verdicts.push_back(
                             {verdict.request(), milliseconds{verdict.age_ms()}, verdict.renewals(),
                              milliseconds{verdict.evidence_age_ms()}});
                     });
    for_each_bounded(message.answered_requests(),
                     [&evidence](const gossip::request_answer& answer) {
                         evidence.answered_requests.push_back(
                             {answer.request(), milliseconds{answer.age_ms()}, answer.hops()});
                     });
    return evidence;
}

template <typename Message>
service_loads to_services(const Message& message)
{
    service_loads services;
    for_each_bounded(message.services(), [&services](const auto& load) {
        if (std::isfinite(load.expected_wait_ms())) {
            services[load.service()] = {from_seconds(load.expected_wait_ms() / 1'000.0),
                                        load.free_places()};
        }
    });
    return services;
}

template <typename Message, typename Counted>
void read_usage(const Message& message, Counted& counted)
{
    for_each_bounded(message.used(), [&counted](const auto& usage) {
        if (!std::isfinite(usage.units()) || !std::isfinite(usage.refused())) {
            return;
        }
        counted.used[usage.organisation()] = usage.units();
        if (usage.refused() != 0) {
            counted.refused[usage.organisation()] = usage.refused();
        }
    });
}

restart_report to_restart(const gossip::restart_report& message)
{
    restart_report report{message.endpoint(), {}, {}, {}};
    if (message.has_sign_age_ms()) {
        report.sign_age = milliseconds{message.sign_age_ms()};
    }
    if (message.has_doubt_age_ms()) {
        report.doubt_age = milliseconds{message.doubt_age_ms()};
    }
    if (message.has_known_age_ms()) {
        report.known_age = milliseconds{message.known_age_ms()};
    }
    return report;
}

/// Reads load statements; those out of bounds are left out.
template <typename Message>
std::vector<load_report> to_load_reports(const Message& message)
{
    std::vector<load_report> reports;
    for_each_bounded(message.loads(), [&reports](const gossip::load_report& report) {
        const std::uint32_t pace = report.pace_percent() == 0 ? percent : report.pace_percent();
        if (std::max({report.running(), report.waiting(), report.slots()}) > max_stated_requests ||
            pace > max_stated_pace) {
            return;
        }
        reports.push_back({report.incarnation(),
                           {report.running(), report.waiting(), report.slots(),
                            static_cast<double>(pace) / percent},
                           milliseconds{report.age_ms()}});
    });
    return reports;
}

template <typename Message, typename Received>
void read_endpoints(const Message& message, Received& received)
{
    for_each_bounded(message.endpoints(), [&received](const auto& load) {
        received.endpoints[load.endpoint()] = {load.active(), load.waiting_tokens()};
    });
    for_each_bounded(message.prompts(), [&received](const auto& prefix) {
        received.prompts.push_back({prefix.prefix(), prefix.endpoint()});
    });
    for_each_bounded(message.restarts(), [&received](const gossip::restart_report& report) {
        received.restarts.push_back(to_restart(report));
    });
    for_each_bounded(message.cold_endpoints(), [&received](const gossip::cold_report& report) {
        received.cold_endpoints.push_back({report.endpoint(), milliseconds{report.remaining_ms()}});
    });
    for_each_bounded(message.ended_endpoints(), [&received](const gossip::end_report& report) {
        received.ended_endpoints.push_back({report.incarnation(), report.witnesses()});
    });
    received.loads = to_load_reports(message);
}

template <typename Message>
std::vector<stream_report> to_streams(const Message& message)
{
    std::vector<stream_report> reports;
    for_each_bounded(message.streams(), [&reports](const gossip::stream_group& group) {
        const int count = std::min({group.streams_size(), group.remaining_ms_size(),
                                    max_elements - static_cast<int>(reports.size())});
        for (int i = 0; i < count; ++i) {
            reports.push_back(
                {group.streams(i), group.software_version(), milliseconds{group.remaining_ms(i)}});
        }
    });
    return reports;
}

std::vector<rate_report> to_rates(const gossip::heartbeat& message)
{
    std::vector<rate_report> reports;
    for_each_bounded(message.rates(), [&reports](const gossip::rate_report& report) {
        const bool has_rate = report.has_max_rate();
        if (has_rate && (!std::isfinite(report.max_rate()) || report.max_rate() < 0)) {
            return;
        }
        reports.push_back({report.incarnation(),
                           has_rate ? std::optional{report.max_rate()} : std::nullopt,
                           milliseconds{report.age_ms()}});
    });
    return reports;
}

member_group to_group(const gossip::member_group& message)
{
    member_group group{message.region(), message.failure_domain(), {}};
    for_each_bounded(message.members(), [&group](const gossip::member_state& host) {
        if (host.ip() == 0 || host.incarnation() == 0) {
            return;
        }
        group.members.push_back({.ip = to_ip(host.ip()),
                                 .incarnation = host.incarnation(),
                                 .sequence = host.sequence(),
                                 .age = milliseconds{host.age_ms()},
                                 .is_ready = host.is_ready(),
                                 .is_leaving = host.is_leaving(),
                                 .is_lost = host.is_lost(),
                                 .has_configuration = host.has_configuration(),
                                 .configuration_age = milliseconds{host.configuration_age_ms()},
                                 .lacks_endpoint_path = host.lacks_endpoint_path()});
    });
    return group;
}

region_digest to_digest(const gossip::region_digest& message)
{
    region_digest digest;
    digest.hosts = message.hosts();
    digest.rotation = std::min(milliseconds{message.rotation_ms()}, max_interval);
    read_usage(message, digest);
    read_endpoints(message, digest);
    for_each_bounded(message.members(),
                     [&digest](const auto& group) { digest.members.push_back(to_group(group)); });
    for_each_bounded(message.introduced(), [&digest](const auto& group) {
        digest.introduced.push_back(to_group(group));
    });
    digest.known_hosts = message.known_hosts();
    for_each_bounded(message.regions(), [&digest](const gossip::region_state& region) {
        region_state state{region.region(),
                           to_ip(region.ip()),
                           region.incarnation(),
                           milliseconds{region.age_ms()},
                           region.known_hosts(),
                           region.is_relayed(),
                           to_services(region),
                           {},
                           {}};
        read_usage(region, state);
        digest.regions.push_back(std::move(state));
    });
    digest.streams = to_streams(message);
    return digest;
}

digest_subscription to_subscription(gossip::subscription wanted)
{
    switch (wanted) {
    case gossip::SUBSCRIPTION_PRIMARY:
        return digest_subscription::primary;
    case gossip::SUBSCRIPTION_STANDBY:
        return digest_subscription::standby;
    default:
        return digest_subscription::none;
    }
}

/// Keeps protobuf from writing a line to standard error for each unreadable datagram; the caller
/// counts them.
void silence_protobuf()
{
    static std::once_flag is_done;
    std::call_once(is_done, [] { google::protobuf::SetLogHandler(nullptr); });
}

} // namespace

std::string encode(const heartbeat& sent, heartbeat_scope scope)
{
    gossip::heartbeat message;
    message.set_host(sent.host);
    message.set_ip(sent.ip);
    message.set_failure_domain(sent.failure_domain);
    message.set_region(sent.region);
    message.set_incarnation(sent.incarnation);
    message.set_sequence(sent.sequence);
    message.set_is_ready(sent.is_ready);
    message.set_is_leaving(sent.is_leaving);
    message.set_has_configuration(sent.has_configuration);
    message.set_configuration_version(sent.configuration_version);
    message.set_configuration_age_ms(to_ms(sent.configuration_age));
    message.set_is_configuration_checked(sent.is_configuration_checked);
    message.set_lacks_endpoint_path(sent.lacks_endpoint_path);
    message.set_change_era(sent.operator_change.era);
    message.set_change_revision(sent.operator_change.revision);
    message.set_all_endpoints_warm(sent.all_endpoints_warm);
    message.set_single_version_ms(to_ms(sent.single_version.span));
    message.set_single_versions(sent.single_version.versions);
    message.mutable_unheard_regions()->Add(sent.unheard_regions.begin(),
                                           sent.unheard_regions.end());
    message.set_interval_ms(to_ms(sent.interval));
    message.set_digests(static_cast<gossip::subscription>(sent.digests));
    add_services(message, sent.services);
    add_usage(message, sent);
    if (scope == heartbeat_scope::own_region) {
        add_endpoints(message, sent);
        add_rates(message, sent.rates);
        add_rejection_limits(message, sent.rejection_limits);
    }
    add_crashes(message, sent.crashes);
    add_streams(message, sent.streams);
    if (sent.digest) {
        add_digest(message, *sent.digest, scope);
    }
    return message.SerializeAsString();
}

std::optional<heartbeat> decode_heartbeat(std::string_view bytes)
{
    silence_protobuf();
    gossip::heartbeat message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        message.ip().empty() || message.incarnation() == 0) {
        return std::nullopt;
    }
    heartbeat received;
    received.host = message.host();
    received.ip = message.ip();
    received.failure_domain = message.failure_domain();
    received.region = message.region();
    received.incarnation = message.incarnation();
    received.sequence = message.sequence();
    received.is_ready = message.is_ready();
    received.is_leaving = message.is_leaving();
    received.has_configuration = message.has_configuration();
    received.configuration_version = message.configuration_version();
    received.configuration_age = milliseconds{message.configuration_age_ms()};
    received.is_configuration_checked = message.is_configuration_checked();
    received.lacks_endpoint_path = message.lacks_endpoint_path();
    received.operator_change = {message.change_era(), message.change_revision()};
    received.all_endpoints_warm = message.all_endpoints_warm();
    received.single_version = {milliseconds{message.single_version_ms()},
                               message.single_versions()};
    received.interval = std::min(milliseconds{message.interval_ms()}, max_interval);
    for_each_bounded(message.unheard_regions(), [&received](const std::string& region) {
        received.unheard_regions.push_back(region);
    });
    received.digests = to_subscription(message.digests());
    received.services = to_services(message);
    read_usage(message, received);
    read_endpoints(message, received);
    received.rates = to_rates(message);
    for_each_bounded(message.rejection_limits(), [&](const gossip::rejection_report& report) {
        received.rejection_limits.push_back(
            {report.incarnation(),
             report.has_limit() ? std::optional{report.limit()} : std::nullopt,
             milliseconds{report.age_ms()}});
    });
    received.crashes = to_crashes(message.crashes());
    received.streams = to_streams(message);
    if (message.has_digest()) {
        received.digest = to_digest(message.digest());
    }
    return received;
}

} // namespace hickorykeel::gateway
