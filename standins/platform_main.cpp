// Stand-in for the platform's configuration service and its list of hosts.
#include "standins/platform.h"
#include "standins/program.h"

#include <cstdlib>  // EXIT_FAILURE
#include <fstream>  // ifstream
#include <iostream> // cerr

#include <tclap/CmdLine.h>

using namespace hickorykeel::standins;

namespace {

nlohmann::json read_file(const std::string& path)
{
    std::ifstream file{path};
    return nlohmann::json::parse(file, nullptr, false);
}

/// Whether `outcome` of loading `path` is a revision; prints the reason where it isn't.
bool is_loaded(const std::string& path, const std::variant<std::uint64_t, std::string>& outcome)
{
    if (const auto* message = std::get_if<std::string>(&outcome)) {
        std::cerr << path << ": " << *message << '\n';
        return false;
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine command{"Stand-in for the platform", ' ', "0.1.0"};
    TCLAP::ValueArg<std::string> listen{
        "", "listen", "where to listen; port 0: any", false, "127.0.0.1:0", "ip:port", command};
    TCLAP::ValueArg<std::string> entries{
        "", "entries", "JSON object of keys and values", false, "", "file", command};
    TCLAP::ValueArg<std::string> hosts{"", "hosts", "JSON list", false, "", "file", command};
    TCLAP::ValueArg<std::uint64_t> read_rate{
        "", "read-rate", "reads answered a second; 0: all", false, 0, "number", command};
    TCLAP::ValueArg<std::string> port_file{
        "", "port-file", "where to write the bound port", false, "", "file", command};
    command.parse(argc, argv);

    block_stop_signals();
    platform_server server{read_rate.getValue()};
    auto& store = server.store();
    if (entries.isSet() &&
        !is_loaded(entries.getValue(), store.put_entries(read_file(entries.getValue())))) {
        return EXIT_FAILURE;
    }
    if (hosts.isSet() &&
        !is_loaded(hosts.getValue(), store.put_hosts(read_file(hosts.getValue())))) {
        return EXIT_FAILURE;
    }
    const auto address = to_listen_address(listen.getValue());
    const int port = server.start(address.ip, address.port);
    if (port == 0) {
        std::cerr << "can't listen on " << listen.getValue() << '\n';
        return EXIT_FAILURE;
    }
    announce(address.ip, port, port_file.getValue());
    wait_for_stop();
    server.stop();
}
