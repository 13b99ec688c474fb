// Callers' load on the gateway; prints counts and latencies as JSON.
#include "standins/caller.h"

#include <chrono>   // milliseconds
#include <iostream> // cout
#include <sstream>  // istringstream
#include <string>   // string

#include <tclap/CmdLine.h>

using namespace hickorykeel::standins;

namespace {

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream words{text};
    for (std::string part; std::getline(words, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

} // namespace

int main(int argc, char** argv)
{
    using text = TCLAP::ValueArg<std::string>;
    using number = TCLAP::ValueArg<std::uint64_t>;
    const load_options defaults;
    TCLAP::CmdLine command{"Callers' load on the gateway", ' ', "0.1.0"};
    text entries{"", "entry", "entry hosts, comma-separated", true, "", "ip:port", command};
    text key{"", "key", "the organisation's key", false, "", "text", command};
    text profile{"", "profile", "name of the profile", true, "", "name", command};
    text target{"", "target", "model or service", true, "", "name", command};
    TCLAP::ValueArg<double> rate{"",       "rate", "requests a second", false, defaults.rate,
                                 "number", command};
    TCLAP::ValueArg<double> seconds{"", "seconds", "how long", false, 5, "seconds", command};
    number prompt{"", "prompt-tokens", "of each request", false, 50, "tokens", command};
    number output{"", "output-tokens", "of each answer", false, 16, "tokens", command};
    number seed{"", "seed", "of the arrivals", false, defaults.seed, "number", command};
    number deadline{"", "deadline-ms", "0: the profile's", false, 0, "milliseconds", command};
    TCLAP::SwitchArg stream{"", "stream", "ask for streams", command};
    TCLAP::SwitchArg service{"", "service", "the target is a plain service", command};
    TCLAP::SwitchArg tickets{"", "tickets", "ask for a ticket before each call", command};
    command.parse(argc, argv);

    load_options options;
    options.entries = split(entries.getValue());
    options.key = key.getValue();
    options.profile = profile.getValue();
    options.target = target.getValue();
    options.rate = rate.getValue();
    options.length = std::chrono::milliseconds{static_cast<int>(seconds.getValue() * 1000)};
    options.prompt_tokens = prompt.getValue();
    options.output_tokens = output.getValue();
    options.seed = seed.getValue();
    options.deadline_ms = deadline.getValue();
    options.is_stream = stream.getValue();
    options.is_service = service.getValue();
    options.has_tickets = tickets.getValue();
    std::cout << summarise(run_load(options)).dump(2) << '\n';
}
