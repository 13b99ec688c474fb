#include "support/fuzz_corpus.h"

#include "support/paths.h"

#include <algorithm>  // sort
#include <exception>  // exception
#include <filesystem> // directory_iterator, path
#include <fstream>    // ifstream
#include <iterator>   // istreambuf_iterator

#include <nlohmann/json.hpp>

namespace hickorykeel::tests {

namespace {

constexpr std::uint64_t seed = 20261204;

std::string feed(fuzz_target target, const std::string& bytes)
{
    try {
        target(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    }
    catch (const std::exception& broken) {
        constexpr auto replace = nlohmann::json::error_handler_t::replace;
        return std::string{broken.what()} + ": " +
               nlohmann::json(bytes).dump(-1, ' ', true, replace);
    }
    return {};
}

} // namespace

std::vector<std::string> read_corpus(const std::string& subject)
{
    std::vector<std::filesystem::path> paths;
    const auto folder = source_path("tests/corpus/" + subject);
    for (const auto& file : std::filesystem::directory_iterator{folder}) {
        paths.push_back(file.path());
    }
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> files;
    for (const auto& path : paths) {
        std::ifstream stream{path, std::ios::binary};
        files.emplace_back(std::istreambuf_iterator<char>{stream},
                           std::istreambuf_iterator<char>{});
    }
    return files;
}

std::string mutate(std::string bytes, std::mt19937_64& random)
{
    const std::string symbols = "{}[]\",:0123456789eE.-ntfu/ ~\r\n";
    const auto changes = 1 + random() % 4;
    for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
        const auto at = random() % bytes.size();
        switch (random() % 6) {
        case 0:
            bytes[at] = symbols[random() % symbols.size()];
            break;
        case 1:
            bytes[at] = static_cast<char>(random());
            break;
        case 2:
            bytes[at] = static_cast<char>(bytes[at] ^ (1U << random() % 8));
            break;
        case 3:
            bytes.erase(at, 1 + random() % 8);
            break;
        case 4:
            bytes.resize(at);
            break;
        default:
            bytes.insert(at, bytes.substr(random() % bytes.size(), 1 + random() % 32));
            break;
        }
    }
    return bytes;
}

std::string feed_corpus(const std::string& subject, fuzz_target target, int mutations)
{
    std::mt19937_64 random{seed};
    const auto corpus = read_corpus(subject);
    if (corpus.empty()) {
        return "no corpus";
    }
    for (const auto& bytes : corpus) {
        auto broken = feed(target, bytes);
        for (int i = 0; i < mutations && broken.empty(); ++i) {
            broken = feed(target, mutate(bytes, random));
        }
        if (!broken.empty()) {
            return broken;
        }
    }
    return {};
}

} // namespace hickorykeel::tests
