#include "gateway/membership/gossip_codec.h"

#include "generated/gossip.pb.h"

#include <algorithm> // min
#include <chrono>    // milliseconds
#include <cmath>     // isfinite

namespace hickorykeel::gateway {

namespace {

using milliseconds = std::chrono::milliseconds;

/// Longer heartbeat intervals stated by a peer are not trusted and are reduced to this one: the
/// interval extends the time for which the peer counts as live.
constexpr milliseconds max_interval{5'000};

std::uint32_t to_ms(duration span)
{
    return static_cast<std::uint32_t>(to_milliseconds(span).count());
}

/// Adds the fields that only hosts of the sender's region use.
void add_endpoints(gossip::heartbeat& message, const heartbeat& sent)
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
    for (const std::uint32_t hash : sent.warm_endpoints) {
        message.add_warm_endpoints(hash);
    }
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
    message.set_interval_ms(to_ms(sent.interval));
    for (const auto& [name, load] : sent.services) {
        auto& added = *message.add_services();
        added.set_service(name);
        added.set_expected_wait_ms(static_cast<float>(to_seconds(load.expected_wait) * 1'000));
        added.set_free_places(load.free_places);
    }
    for (const auto& [organisation, units] : sent.used) {
        auto& added = *message.add_used();
        added.set_organisation(organisation);
        added.set_units(units);
    }
    for (const std::string& ip : sent.known_ips) {
        message.add_known_ips(ip);
    }
    if (scope == heartbeat_scope::own_region) {
        add_endpoints(message, sent);
    }
    return message.SerializeAsString();
}

std::optional<heartbeat> decode_heartbeat(std::string_view bytes)
{
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
    received.interval = std::min(milliseconds{message.interval_ms()}, max_interval);
    for (const auto& load : message.services()) {
        if (std::isfinite(load.expected_wait_ms())) {
            received.services[load.service()] = {from_seconds(load.expected_wait_ms() / 1'000.0),
                                                 load.free_places()};
        }
    }
    for (const auto& load : message.endpoints()) {
        received.endpoints[load.endpoint()] = {load.active(), load.waiting_tokens()};
    }
    for (const auto& used : message.used()) {
        if (std::isfinite(used.units())) {
            received.used[used.organisation()] = used.units();
        }
    }
    for (const auto& prefix : message.prompts()) {
        received.prompts.push_back({prefix.prefix(), prefix.endpoint()});
    }
    received.warm_endpoints.assign(message.warm_endpoints().begin(),
                                   message.warm_endpoints().end());
    received.known_ips.assign(message.known_ips().begin(), message.known_ips().end());
    return received;
}

} // namespace hickorykeel::gateway
