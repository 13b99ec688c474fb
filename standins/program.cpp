#include "standins/program.h"

#include <csignal>    // sigset_t, sigwait
#include <cstdlib>    // strtol
#include <filesystem> // rename
#include <fstream>    // ofstream
#include <iostream>   // cout

namespace hickorykeel::standins {

namespace {

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

} // namespace

listen_address to_listen_address(const std::string& text)
{
    constexpr int decimal = 10;
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return {text, 0};
    }
    const auto port = std::strtol(text.c_str() + colon + 1, nullptr, decimal);
    return {text.substr(0, colon), static_cast<int>(port)};
}

void block_stop_signals()
{
    const auto signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void announce(const std::string& ip, int port, const std::string& port_file)
{
    std::cout << "listening " << ip << ':' << port << std::endl;
    if (port_file.empty()) {
        return;
    }
    const auto unfinished = port_file + ".part";
    std::ofstream{unfinished} << port << '\n';
    std::filesystem::rename(unfinished, port_file);
}

void wait_for_stop()
{
    const auto signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace hickorykeel::standins
