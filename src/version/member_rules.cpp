#include "version/detail/member_rules.h"

#include <array>    // array
#include <charconv> // from_chars
#include <cmath>    // isfinite
#include <sstream>  // ostringstream

#include <arpa/inet.h> // inet_pton

namespace hickorykeel::detail {

namespace {

constexpr std::size_t maximum_name_length = 63;
constexpr std::size_t digest_length = 64;
constexpr unsigned maximum_port = 65'535;

constexpr number_range slots_range{1, 65'536};

/// Name of an enumerator in published values.
template <typename Enum>
struct named_value {
    std::string_view name;
    Enum value;
};

constexpr std::array kind_names{named_value<target_kind>{"model", target_kind::model},
                                named_value<target_kind>{"service", target_kind::service}};
constexpr std::array state_names{named_value<host_state>{"live", host_state::live},
                                 named_value<host_state>{"leaving", host_state::leaving}};

/// Endpoint as published; `state` becomes a flag.
struct endpoint_value {
    std::string name;
    std::string failure_domain;
    std::string address;
    host_state state = host_state::live;
    bool checks_fencing = false;
    bool uses_tls = false;
    std::uint32_t slots = 8;
};

const std::array endpoint_rules{
    member_rule<endpoint_value>{"name", &endpoint_value::name, true},
    member_rule<endpoint_value>{"failure_domain", &endpoint_value::failure_domain, true},
    member_rule<endpoint_value>{"address", &endpoint_value::address, true, text_format::address},
    member_rule<endpoint_value>{"state", &endpoint_value::state},
    member_rule<endpoint_value>{"checks_fencing", &endpoint_value::checks_fencing},
    member_rule<endpoint_value>{"tls", &endpoint_value::uses_tls},
    member_rule<endpoint_value>{"slots", &endpoint_value::slots, false, text_format::name,
                                slots_range},
};

endpoint to_endpoint(endpoint_value&& from)
{
    return {std::move(from.name),
            std::move(from.failure_domain),
            std::move(from.address),
            from.state == host_state::leaving,
            from.checks_fencing,
            from.uses_tls,
            from.slots};
}

bool is_lower_or_digit(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool is_port(std::string_view text) noexcept
{
    unsigned port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    return parsed.ec == std::errc{} && parsed.ptr == end && port >= 1 && port <= maximum_port;
}

bool is_ip(int family, std::string_view text)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(family, std::string{text}.c_str(), parsed.data()) == 1;
}

bool has_format(std::string_view text, text_format format)
{
    switch (format) {
    case text_format::name:
        return is_name(text);
    case text_format::address:
        return is_address(text);
    case text_format::digest:
        return is_digest(text);
    }
    return false;
}

std::string_view to_requirement(text_format format) noexcept
{
    switch (format) {
    case text_format::name:
        return "must be a name: [a-z0-9][a-z0-9._-]{0,62}";
    case text_format::address:
        return "must be ip:port with a port of 1 to 65535";
    case text_format::digest:
        return "must be 64 lower-case hex digits";
    }
    return {};
}

std::string to_requirement(std::string_view type, number_range range)
{
    std::ostringstream out;
    out.precision(15);
    out << "must be " << type << " from " << range.minimum << " to " << range.maximum;
    return out.str();
}

template <typename Enum, std::size_t N>
void read_enumerator(const nlohmann::json& value, const std::string& path,
                     const std::array<named_value<Enum>, N>& names, Enum& into, faults& found)
{
    std::string allowed;
    for (const auto& row : names) {
        if (value.is_string() && value.get_ref<const std::string&>() == row.name) {
            into = row.value;
            return;
        }
        allowed += allowed.empty() ? "must be \"" : " or \"";
        allowed += std::string{row.name} + '"';
    }
    found.push_back({path, allowed});
}

} // namespace

bool is_name(std::string_view text) noexcept
{
    if (text.empty() || text.size() > maximum_name_length || !is_lower_or_digit(text.front())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) {
        return is_lower_or_digit(c) || c == '.' || c == '_' || c == '-';
    });
}

bool is_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_port(text.substr(colon + 1))) {
        return false;
    }
    const auto ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        return is_ip(AF_INET6, ip.substr(1, ip.size() - 2));
    }
    return is_ip(AF_INET, ip);
}

bool is_digest(std::string_view text) noexcept
{
    return text.size() == digest_length && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

std::string join(std::string_view path, std::string_view member)
{
    std::string joined{path};
    joined += '/';
    joined += member;
    return joined;
}

std::string join(std::string_view path, std::size_t index)
{
    return join(path, std::to_string(index));
}

void read_value(const nlohmann::json& value, const std::string& path, text_format format,
                std::string& into, faults& found)
{
    if (!value.is_string() || !has_format(value.get_ref<const std::string&>(), format)) {
        found.push_back({path, std::string{to_requirement(format)}});
        return;
    }
    into = value.get<std::string>();
}

void read_list(const nlohmann::json& value, const std::string& path, text_format format,
               std::size_t minimum_items, std::vector<std::string>& into, faults& found)
{
    if (!value.is_array()) {
        found.push_back({path, "must be a list"});
        return;
    }
    if (value.size() < minimum_items) {
        found.push_back({path, "must have at least " + std::to_string(minimum_items) + " item"});
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        std::string item;
        read_value(value[i], join(path, i), format, item, found);
        if (!item.empty() && std::find(into.begin(), into.end(), item) != into.end()) {
            found.push_back({join(path, i), "is in the list twice"});
        }
        // invalid items keep their position, so that the paths of later errors have the right index
        into.push_back(std::move(item));
    }
}

void read_boolean(const nlohmann::json& value, const std::string& path, bool& into, faults& found)
{
    if (!value.is_boolean()) {
        found.push_back({path, "must be true or false"});
        return;
    }
    into = value.get<bool>();
}

bool read_number(const nlohmann::json& value, const std::string& path, number_range range,
                 double& into, faults& found)
{
    const double number = value.is_number() ? value.get<double>() : 0;
    if (!value.is_number() || !std::isfinite(number) || number < range.minimum ||
        number > range.maximum) {
        found.push_back({path, to_requirement("a number", range)});
        return false;
    }
    into = number;
    return true;
}

bool read_integer(const nlohmann::json& value, const std::string& path, number_range range,
                  std::uint64_t& into, faults& found)
{
    const double number = value.is_number_integer() ? value.get<double>() : -1;
    if (!value.is_number_integer() || number < range.minimum || number > range.maximum) {
        found.push_back({path, to_requirement("a whole number", range)});
        return false;
    }
    into = value.get<std::uint64_t>();
    return true;
}

void read_kind(const nlohmann::json& value, const std::string& path, target_kind& into,
               faults& found)
{
    read_enumerator(value, path, kind_names, into, found);
}

void read_state(const nlohmann::json& value, const std::string& path, host_state& into,
                faults& found)
{
    read_enumerator(value, path, state_names, into, found);
}

void read_endpoints(const nlohmann::json& value, const std::string& path,
                    std::vector<endpoint>& into, faults& found)
{
    if (!value.is_array()) {
        found.push_back({path, "must be a list"});
        return;
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        endpoint_value item;
        read_object<endpoint_value>(value[i], join(path, i), endpoint_rules, item, found);
        into.push_back(to_endpoint(std::move(item)));
    }
}

} // namespace hickorykeel::detail
