#include "standins/service.h"

#include <string> // string

#include <tclap/CmdLine.h>

using namespace hickorykeel::standins;

int main(int argc, char** argv)
{
    TCLAP::CmdLine command{"Stand-in for a plain service."};
    TCLAP::ValueArg<std::string> listen{"", "listen", "address", true, "", "ip:port", command};
    TCLAP::ValueArg<std::string> name{"",     "name", "name of the endpoint", false, "service",
                                      "name", command};
    TCLAP::ValueArg<std::uint32_t> slots{"", "slots",  "reported slots", false,
                                         8,  "number", command};
    TCLAP::ValueArg<int> work{"", "work-ms", "time of one call", false, 2, "milliseconds", command};
    command.parse(argc, argv);

    service_options options;
    options.name = name.getValue();
    options.slots = slots.getValue();
    options.work_time = std::chrono::milliseconds{work.getValue()};
    service plain{options};
    http_server server;
    plain.serve(server);
    return server.run(listen.getValue());
}
