#pragma once

#include "process/clock.h"

#include <array>   // array
#include <chrono>  // microseconds, milliseconds, seconds
#include <cstddef> // size_t
#include <cstdint> // uint32_t

namespace hickorykeel::gateway {

struct first_byte_model_options {
    /// Nominal time to first byte of an idle endpoint, without reading a prompt.
    duration base = std::chrono::milliseconds{20};
    double rate = 100; ///< nominal; prompt tokens per ms
    /// Time by which each running request lengthens a decoding step of an engine. A step precedes
    /// each chunk.
    duration step_per_request = std::chrono::microseconds{100};
    double chunk_tokens = 1'024; ///< prompt tokens that an engine reads between two steps
    /// Time without a response after which learned times that are longer than the nominal ones
    /// begin to return to these. Without this, a service whose requests are all refused as too late
    /// would never recover.
    duration idle_delay = std::chrono::seconds{1};
    duration idle_half_life = std::chrono::seconds{2}; ///< of the difference
};

/// What the time to first byte of a request depends on when it is sent.
struct first_byte_conditions {
    double own_tokens = 0;   ///< prompt tokens of the request that the endpoint has to read
    double tokens_ahead = 0; ///< unread prompt tokens of other requests at the endpoint
    double running = 0;      ///< requests that the endpoint executes
    double waiting = 0;      ///< accepted requests that the endpoint begins before it
    double pace = 1;         ///< factor on the time that work takes
    double correction = 1;   ///< of the endpoint: factor on the time that work takes
    /// Requests that one slot of a plain endpoint executes until the first byte, with this one.
    double rounds = 1;
    bool is_known = false; ///< whether these conditions were determined for the request
};

/// The parts of an expected time to first byte.
struct first_byte_parts {
    duration work{0};      ///< reading of prompts, steps and base, with pace and correction
    duration admission{0}; ///< until the endpoint begins the request

    [[nodiscard]] duration total() const noexcept { return work + admission; }
};

/// Time to first byte of the endpoints of one service, learned from the responses that this host gets
/// from all of them.
///
/// The time of an idle endpoint and the times per token, own or ahead, are estimated together by a
/// Kalman filter whose residuals are relative and bounded, so that one sample changes an expected
/// time by a factor of at most about 1.8, and by about a fifth after some dozens of samples. Tokens
/// ahead have a separate time, since a part of them has been read when a request is sent.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class first_byte_model {
public:
    explicit first_byte_model(first_byte_model_options options);

    /// Returns the expected time under `conditions`. O(1).
    [[nodiscard]] first_byte_parts expect(const first_byte_conditions& conditions,
                                          time_point now) const;

    /// Records the measured time of a request that was sent under `conditions`. O(1).
    void learn(const first_byte_conditions& conditions, duration elapsed, time_point now);

    /// Records the time from the sending of a request to the end of its complete response.
    void on_complete(duration elapsed);

    /// Returns the time in which an endpoint of normal pace reads `tokens` prompt tokens.
    [[nodiscard]] duration read_time(double tokens) const;

    /// Mean time from the sending of a request to the end of its complete response.
    [[nodiscard]] duration residence() const noexcept { return m_residence; }

    /// Number of samples from which the times were learned.
    [[nodiscard]] std::uint32_t samples() const noexcept { return m_samples; }

private:
    static constexpr std::size_t parameters = 3;
    using vector = std::array<double, parameters>;

    [[nodiscard]] static vector slopes(const first_byte_conditions& conditions) noexcept;
    void update(const vector& slope, double residual);
    [[nodiscard]] vector decayed_times(time_point now) const;
    [[nodiscard]] duration admission_time(const first_byte_conditions& conditions) const;

    first_byte_model_options m_options;
    vector m_nominal;
    /// Learned times in ms: of an idle endpoint, for 1,000 own tokens, and for 1,000 tokens ahead.
    vector m_times;
    std::array<vector, parameters> m_covariance{};
    double m_admission_factor = 1;
    std::uint32_t m_samples = 0;
    time_point m_last_sample{};
    duration m_residence = std::chrono::seconds{1};
};

/// Factor of one endpoint on the times that are learned for its service. It changes slowly, since a
/// host of a large region sees one endpoint once in several seconds.
///
/// Thread safety: none.
class endpoint_correction {
public:
    /// Returns the factor, which tends to 1 while no response arrives.
    [[nodiscard]] double factor(time_point now) const;

    /// Records a time as measured and as expected with the present factor.
    void learn(duration elapsed, duration expected, time_point now);

private:
    double m_log = 0; ///< natural logarithm, at the last sample
    time_point m_last_sample{};
};

} // namespace hickorykeel::gateway
