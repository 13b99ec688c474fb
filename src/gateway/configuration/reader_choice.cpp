#include "gateway/configuration/reader_choice.h"

#include "gateway/routing/rendezvous.h"

#include <algorithm> // sort

namespace hickorykeel::gateway {

namespace {

constexpr std::uint64_t reader_key =
    1; // hash key that separates this choice from other rendezvous hashes

} // namespace

std::vector<std::string> choose_readers(std::vector<std::string> ips, std::size_t max_readers)
{
    std::sort(ips.begin(), ips.end(), [](const std::string& lhs, const std::string& rhs) {
        return rendezvous_weight(reader_key, lhs) > rendezvous_weight(reader_key, rhs);
    });
    if (ips.size() > max_readers) {
        ips.resize(max_readers);
    }
    return ips;
}

} // namespace hickorykeel::gateway
