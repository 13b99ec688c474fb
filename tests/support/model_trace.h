#pragma once

#include "support/paths.h"

#include <cstdint> // uint64_t
#include <fstream> // ifstream
#include <sstream> // istringstream
#include <string>  // string, getline
#include <vector>  // vector

namespace hickorykeel::tests {

/// One printed line of a specification's run: its first word, and the others.
struct model_step {
    std::string name;
    std::vector<std::string> words;

    [[nodiscard]] std::uint64_t number(std::size_t place) const
    {
        return std::stoull(words.at(place));
    }
};

/// Runs of models/<model>.pml, as scripts/model-traces wrote them.
[[nodiscard]] inline std::vector<std::vector<model_step>> read_traces(const std::string& model)
{
    std::vector<std::vector<model_step>> traces;
    std::ifstream file{source_path("tests/corpus/traces/" + model + ".txt")};
    for (std::string line; std::getline(file, line);) {
        std::istringstream text{line};
        model_step step;
        text >> step.name;
        for (std::string word; text >> word;) {
            step.words.push_back(word);
        }
        if (step.name == "trace") {
            traces.emplace_back();
        }
        else {
            traces.at(traces.size() - 1).push_back(std::move(step));
        }
    }
    return traces;
}

} // namespace hickorykeel::tests
