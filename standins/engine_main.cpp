#include "standins/engine.h"

#include <chrono>   // milliseconds, microseconds
#include <iostream> // cerr
#include <string>   // string

#include <tclap/CmdLine.h>

using namespace hickorykeel::standins;

int main(int argc, char** argv)
{
    TCLAP::CmdLine command{"Stand-in for a model engine."};
    const engine_options defaults;
    TCLAP::ValueArg<std::string> listen{"", "listen", "address", true, "", "ip:port", command};
    TCLAP::ValueArg<std::string> name{"",     "name", "name of the endpoint", false, "engine",
                                      "name", command};
    TCLAP::ValueArg<std::uint32_t> slots{
        "", "slots", "requests in one batch", false, defaults.slots, "number", command};
    TCLAP::ValueArg<double> prefill{"",
                                    "prefill-tokens-per-s",
                                    "prompt tokens a second",
                                    false,
                                    defaults.prefill_tokens_per_second,
                                    "number",
                                    command};
    TCLAP::ValueArg<double> token{
        "", "token-ms", "time of one output token", false, 2, "milliseconds", command};
    TCLAP::ValueArg<int> lag{
        "", "load-lag-ms", "age of load reports", false, 500, "milliseconds", command};
    TCLAP::ValueArg<std::size_t> cache{
        "",     "cached-blocks",        "capacity of the prefix cache, in blocks of 64 tokens",
        false,  defaults.cached_blocks, "number",
        command};
    TCLAP::SwitchArg fencing{"", "checks-fencing", "refuse old fencing tokens", command};
    command.parse(argc, argv);

    engine_options options;
    options.name = name.getValue();
    options.slots = slots.getValue();
    options.prefill_tokens_per_second = prefill.getValue();
    options.token_time = std::chrono::microseconds{static_cast<int>(token.getValue() * 1000)};
    options.load_lag = std::chrono::milliseconds{lag.getValue()};
    options.cached_blocks = cache.getValue();
    options.checks_fencing = fencing.getValue();
    engine model{options};
    http_server server;
    model.serve(server);
    return server.run(listen.getValue());
}
