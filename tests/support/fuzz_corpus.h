#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint8_t
#include <random>  // mt19937_64
#include <string>  // string
#include <vector>  // vector

namespace hickorykeel::tests {

using fuzz_target = int (*)(const std::uint8_t* data, std::size_t size);

/// Files of tests/corpus/<subject>, in the order of their names.
[[nodiscard]] std::vector<std::string> read_corpus(const std::string& subject);

/// Changes, flips, cuts or doubles a few parts of `bytes`; most results are malformed, many aren't.
[[nodiscard]] std::string mutate(std::string bytes, std::mt19937_64& random);

/// Feeds the corpus of `subject` and `mutations` mutations of each file, the same in each run.
/// @return the first input that breaks a property, printable; empty: none
[[nodiscard]] std::string feed_corpus(const std::string& subject, fuzz_target target,
                                      int mutations);

} // namespace hickorykeel::tests
