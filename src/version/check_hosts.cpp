#include "version/check_hosts.h"

#include "version/detail/member_rules.h"

#include <array>   // array
#include <set>     // set
#include <string>  // string
#include <utility> // move

namespace hickorykeel {

namespace detail {
namespace {

const std::array host_rules{
    member_rule<host>{"name", &host::name, true},
    member_rule<host>{"failure_domain", &host::failure_domain, true},
    member_rule<host>{"state", &host::state, true},
    member_rule<host>{"caller_address", &host::caller_address, true, text_format::address},
    member_rule<host>{"entry_address", &host::entry_address, true, text_format::address},
    member_rule<host>{"dispatch_address", &host::dispatch_address, true, text_format::address},
    member_rule<host>{"configd_address", &host::configd_address, true, text_format::address},
};

} // namespace
} // namespace detail

std::variant<host_list, std::vector<configuration_fault>> check_hosts(std::uint64_t revision,
                                                                      const nlohmann::json& hosts)
{
    if (!hosts.is_array()) {
        return detail::faults{{"hosts", "must be a list"}};
    }
    host_list built;
    built.revision = revision;
    detail::faults found;
    std::set<std::string> names;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const auto path = detail::join("hosts", i);
        host item;
        detail::read_object<host>(hosts[i], path, detail::host_rules, item, found);
        if (!item.name.empty() && !names.insert(item.name).second) {
            found.push_back({detail::join(path, "name"), "is the name of two hosts"});
        }
        built.hosts.push_back(std::move(item));
    }
    if (!found.empty()) {
        return found;
    }
    return built;
}

} // namespace hickorykeel
