#include "gateway/gateway_settings.h"

#include <array>    // array
#include <charconv> // from_chars

namespace hickorykeel::gateway {

namespace {

constexpr std::array rules{
    setting_rule{"host", "name", setting_kind::label, true, "", 0, 0, "name of this host"},
    setting_rule{"host", "ip", setting_kind::text, true, "", 0, 0, "IPv4 address of this host"},
    setting_rule{"host", "failure_domain", setting_kind::label, true, "", 0, 0,
                 "where this host stands"},
    setting_rule{"host", "region", setting_kind::label, true, "", 0, 0, "region of that domain"},
    setting_rule{"host", "failure_domains", setting_kind::pair_list, true, "", 0, 0,
                 "domain:region of all failure domains"},
    setting_rule{"listen", "callers", setting_kind::address, true, "", 0, 0,
                 "where callers connect"},
    setting_rule{"listen", "readiness", setting_kind::address, true, "", 0, 0,
                 "where operators ask whether this host is ready"},
    setting_rule{"listen", "directory", setting_kind::address, true, "", 0, 0,
                 "where callers ask which hosts to use"},
    setting_rule{"listen", "peers", setting_kind::address, true, "", 0, 0,
                 "where other hosts connect (TCP) and send heartbeats (UDP)"},
    setting_rule{"listen", "metrics", setting_kind::address, true, "", 0, 0,
                 "counters and histograms at /metrics"},
    setting_rule{"peers", "seeds", setting_kind::address_list, false, "", 0, 0,
                 "peers' addresses of some hosts; they may be stale"},
    setting_rule{"source", "address", setting_kind::address, true, "", 0, 0,
                 "of the published configuration"},
    // a host serves with a default rather than not at all
    setting_rule{"limits", "key_withdrawal_ms", setting_kind::decimal, false, "5000", 1, 86'400'000,
                 "a withdrawn key is refused after so many milliseconds", true},
    setting_rule{"limits", "drain_ms", setting_kind::decimal, false, "4000", 0, 86'400'000,
                 "an endpoint that said it is leaving gets no request after so many milliseconds",
                 true},
    setting_rule{"limits", "retry_ratio", setting_kind::decimal, false, "0.2", 0, 100,
                 "retries for each request", true},
    setting_rule{"limits", "retry_slack", setting_kind::decimal, false, "50", 0, 1'000'000'000,
                 "retries of all hosts together beyond the ratio", true},
    setting_rule{"limits", "stop_grace_s", setting_kind::decimal, false, "8", 0, 86'400,
                 "seconds from the stop signal to the kill", true},
    setting_rule{"limits", "memory_mb", setting_kind::decimal, false, "256", 1, 1'048'576,
                 "MiB of memory of the process; half of it is for requests and responses", true},
    setting_rule{"limits", "max_descriptors", setting_kind::decimal, false, "0", 0, 1'000'000'000,
                 "descriptors that the process may open, if that is less than the system lets it; "
                 "0: as many as the system lets it",
                 true},
    setting_rule{"start", "share_ms", setting_kind::decimal, false, "3000", 0, 60'000,
                 "milliseconds after the start in which a host takes a share of the endpoints that "
                 "state their load, as if peers that it has not heard had sent as much; 0: none",
                 true},
    setting_rule{
        "start", "capacity_percent", setting_kind::decimal, false, "50", 1, 100,
        "percentage of the endpoints' capacity that the starting hosts of a region take together "
        "until they have heard each other",
        true},
    setting_rule{"start", "assumed_hosts", setting_kind::number, false, "32", 1, 4'096,
                 "least number of hosts of its region that a starting host assumes until it has "
                 "heard its peers, and of each region until it has heard any other host",
                 true},
    setting_rule{"start", "load_questions", setting_kind::number, false, "3", 0, 64,
                 "endpoints of each service with engines that a starting host asks for their load",
                 true},
    setting_rule{"log", "request_lines_per_s", setting_kind::number, false, "400", 1, 1'000'000,
                 "lines on requests in a second; the rest is counted"},
};

duration from_ms(double ms) noexcept
{
    constexpr double ms_per_s = 1'000;
    return from_seconds(ms / ms_per_s);
}

} // namespace

std::span<const setting_rule> gateway_rules() noexcept
{
    return rules;
}

std::uint16_t gateway_settings::peers_port() const
{
    std::uint16_t port = 0;
    const std::size_t colon = peers_address.rfind(':');
    std::from_chars(peers_address.data() + colon + 1, peers_address.data() + peers_address.size(),
                    port);
    return port;
}

std::string gateway_settings::region_of(const std::string& failure_domain_name) const
{
    const auto found = regions.find(failure_domain_name);
    return found == regions.end() ? std::string{} : found->second;
}

gateway_settings to_gateway_settings(const settings& loaded)
{
    constexpr double percent = 100;
    gateway_settings result;
    result.host = loaded.text("host", "name");
    result.ip = loaded.text("host", "ip");
    result.failure_domain = loaded.text("host", "failure_domain");
    result.region = loaded.text("host", "region");
    for (const std::string& pair : loaded.list("host", "failure_domains")) {
        const std::size_t colon = pair.find(':');
        result.regions[pair.substr(0, colon)] = pair.substr(colon + 1);
    }
    result.callers_address = loaded.text("listen", "callers");
    result.readiness_address = loaded.text("listen", "readiness");
    result.directory_address = loaded.text("listen", "directory");
    result.peers_address = loaded.text("listen", "peers");
    result.metrics_address = loaded.text("listen", "metrics");
    result.seeds = loaded.list("peers", "seeds");
    result.source_address = loaded.text("source", "address");
    result.key_withdrawal = from_ms(loaded.decimal("limits", "key_withdrawal_ms"));
    result.drain = from_ms(loaded.decimal("limits", "drain_ms"));
    result.retry_ratio = loaded.decimal("limits", "retry_ratio");
    result.retry_slack = loaded.decimal("limits", "retry_slack");
    result.stop_grace = from_seconds(loaded.decimal("limits", "stop_grace_s"));
    result.memory_mb = loaded.decimal("limits", "memory_mb");
    result.max_descriptors = loaded.decimal("limits", "max_descriptors");
    result.start_period = from_ms(loaded.decimal("start", "share_ms"));
    result.start_capacity_share = loaded.decimal("start", "capacity_percent") / percent;
    result.start_assumed_hosts = loaded.number("start", "assumed_hosts");
    result.start_load_questions = loaded.number("start", "load_questions");
    result.request_log_rate = loaded.number("log", "request_lines_per_s");
    for (const settings_fault& fault : loaded.replaced()) {
        result.replaced.push_back(fault.to_string());
    }
    return result;
}

} // namespace hickorykeel::gateway
