#pragma once

#include "fake_endpoint.h"
#include "process/routing/random_source.h"

#include <array>       // array
#include <chrono>      // seconds
#include <cmath>       // sin, pow
#include <cstddef>     // size_t
#include <string_view> // string_view

namespace hickorykeel::bench {

inline constexpr std::size_t region_count = 3;
inline constexpr std::size_t organisation_count = 5;

/// Prompt, output and time limits of one kind of request.
struct request_kind {
    std::string_view name;
    std::uint64_t prefix_count; ///< different prefixes of an organisation; 0: none
    std::uint64_t prefix_tokens;
    std::uint64_t own_tokens;
    std::uint64_t output_tokens;
    bool is_interactive;
    bool is_idempotent;
    bool is_service; ///< goes to the plain service, not to the model
    duration deadline;
};

inline constexpr std::array kinds{
    request_kind{"quick question", 40, 1500, 100, 100, true, true, false, std::chrono::seconds{30}},
    request_kind{"long summary", 20, 3000, 2000, 300, false, true, false, std::chrono::seconds{60}},
    request_kind{"booking", 0, 0, 10, 10, true, false, true, std::chrono::seconds{30}},
};

/// A user's mix of requests and of organisations.
struct user_shape {
    std::string_view name;
    std::array<double, kinds.size()> mix;
    std::array<double, organisation_count> organisations; ///< share of each; sums to 1
};

inline constexpr std::array users{
    user_shape{"kapnos", {0.70, 0.20, 0.10}, {0.40, 0.30, 0.14, 0.10, 0.06}},
    user_shape{"bogbussen", {0.45, 0.40, 0.15}, {0.45, 0.35, 0.10, 0.06, 0.04}},
};

/// Daily peak of a region above its mean, as a part of the mean.
inline constexpr double peak = 0.25;

/// Length of a simulated day; the regions' peaks are a third of it apart.
inline constexpr duration day{std::chrono::seconds{300}};

/// Rate of a region at a moment, as a factor of its mean.
inline double daily_factor(time_point moment, std::size_t region)
{
    constexpr double whole_turn = 6.283185307179586;
    const double phase = to_seconds(moment.time_since_epoch()) / to_seconds(day) +
                         static_cast<double>(region) / region_count;
    return 1 + peak * std::sin(whole_turn * phase);
}

/// Place of a weighted random choice.
template <std::size_t Count>
std::size_t weighted_index(random_source& random, const std::array<double, Count>& weights)
{
    double left = random_fraction(random);
    for (std::size_t i = 0; i + 1 < Count; ++i) {
        if (left < weights[i]) {
            return i;
        }
        left -= weights[i];
    }
    return Count - 1;
}

/// What a request of `kind` asks of an endpoint: sizes vary by half, and some prefixes are used
/// much more than others.
inline work make_work(const request_kind& kind, std::size_t organisation, random_source& random)
{
    const auto vary = [&random](std::uint64_t mean) {
        return static_cast<std::uint64_t>(static_cast<double>(mean) *
                                          (0.5 + random_fraction(random)));
    };
    work made;
    made.is_interactive = kind.is_interactive;
    made.own_tokens = vary(kind.own_tokens);
    made.output_tokens = vary(kind.output_tokens);
    if (kind.prefix_count > 0) {
        const double skewed = std::pow(random_fraction(random), 2);
        const auto number =
            static_cast<std::uint64_t>(skewed * static_cast<double>(kind.prefix_count));
        made.prefix = (organisation + 1) * 100'000 + kind.output_tokens * 100 + number;
        made.prefix_tokens = kind.prefix_tokens;
    }
    return made;
}

/// Seconds of a slot at speed 1 that a mean request of the model takes, half of the prefixes
/// being cached. Defines what is called a load of 100 %.
inline double slot_seconds(const user_shape& user, std::uint32_t slots)
{
    double sum = 0;
    double share = 0;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        if (kinds[i].is_service) {
            continue;
        }
        const double slowdown = 1 + fake_endpoint::batch_cost * (slots - 1);
        const double decode = static_cast<double>(kinds[i].output_tokens) * slowdown;
        const double prefill = static_cast<double>(kinds[i].prefix_tokens) / 2 +
                               static_cast<double>(kinds[i].own_tokens);
        sum += user.mix[i] *
               (decode / fake_endpoint::decode_rate + prefill / fake_endpoint::prefill_rate);
        share += user.mix[i];
    }
    return sum / share;
}

} // namespace hickorykeel::bench
