#include "gateway/routing/first_byte_model.h"

#include <algorithm> // clamp, max, min
#include <cmath>     // exp, exp2, log, sqrt
#include <cstddef>   // size_t

namespace hickorykeel::gateway {

namespace {

constexpr double ms_per_s = 1'000;
constexpr double tokens_per_unit = 1'000; ///< unit of tokens in the filter

// the filter

/// Relative standard deviation of the nominal times.
constexpr double nominal_deviation = 0.4;
/// Relative standard deviation of a measured time, which includes what is unknown of the load.
constexpr double sample_deviation = 0.5;
/// Relative change of the times from one sample to the next; gives a sample a weight of about 0.1.
constexpr double drift = 0.05;
/// Bounds of a relative residual, which bound the effect of one sample.
constexpr double min_residual = -0.7;
constexpr double max_residual = 2;
/// Part of the tokens ahead that has not been read yet, on average, when a request is sent.
constexpr double nominal_ahead_part = 0.5;
/// Bounds of the times. A read time of 2.5 ms for 1,000 tokens is a rate of 400 tokens per ms.
constexpr std::array<double, 3> min_ms{2, 2.5, 0.5};
constexpr std::array<double, 3> max_ms{500, 125, 125};
constexpr double min_expected_ms = 1;

/// Fraction of an expected time above which a sample adjusts the wait for admission, not the times
/// of the work.
constexpr double admission_part = 0.3;
constexpr double admission_weight = 0.1;
constexpr double min_admission_factor = 0.2;
constexpr double max_admission_factor = 3;

constexpr double residence_weight = 0.05; ///< of a new sample
constexpr double max_residence_ratio = 4; ///< of a sample to the mean; longer ones count as this

// the correction of an endpoint

constexpr double correction_weight = 0.12;
/// Fraction by which a correction returns towards 1 with each sample. Without it, the corrections
/// of all endpoints and the times of the service could drift in opposite directions.
constexpr double correction_leak = 0.1;
constexpr double max_correction_residual = 1.1; ///< a factor of 3
constexpr double min_correction = 0.4;
constexpr double max_correction = 12;
constexpr duration correction_half_life = std::chrono::seconds{30};

constexpr double square(double value) noexcept
{
    return value * value;
}

duration from_ms(double milliseconds)
{
    return from_seconds(milliseconds / ms_per_s);
}

} // namespace

first_byte_model::first_byte_model(first_byte_model_options options)
    : m_options{options}, m_nominal{to_seconds(options.base) * ms_per_s,
                                    tokens_per_unit / options.rate,
                                    tokens_per_unit / options.rate * nominal_ahead_part},
      m_times{m_nominal}
{
    for (std::size_t i = 0; i < parameters; ++i) {
        m_covariance.at(i).at(i) = square(m_nominal.at(i) * nominal_deviation);
    }
}

/// Returns the learned times after the decay towards the nominal ones in the time without samples.
first_byte_model::vector first_byte_model::decayed_times(time_point now) const
{
    const duration idle = now - m_last_sample - m_options.idle_delay;
    if (m_samples == 0 || idle <= duration{0}) {
        return m_times;
    }
    const double left = std::exp2(-to_seconds(idle) / to_seconds(m_options.idle_half_life));
    vector times = m_times;
    for (std::size_t i = 0; i < parameters; ++i) {
        const double nominal = m_nominal.at(i);
        times.at(i) = std::min(times.at(i), nominal + std::max(0.0, times.at(i) - nominal) * left);
    }
    return times;
}

/// Returns the factors by which the learned times enter an expected time.
first_byte_model::vector first_byte_model::slopes(const first_byte_conditions& conditions) noexcept
{
    return {conditions.rounds, conditions.own_tokens / tokens_per_unit,
            conditions.tokens_ahead / tokens_per_unit};
}

duration first_byte_model::admission_time(const first_byte_conditions& conditions) const
{
    if (conditions.waiting <= 0) {
        return duration{0};
    }
    // the running requests end at equal intervals
    const double interval = to_seconds(m_residence) / std::max(1.0, conditions.running);
    return from_seconds(interval * conditions.waiting * m_admission_factor);
}

first_byte_parts first_byte_model::expect(const first_byte_conditions& conditions,
                                          time_point now) const
{
    const vector times = decayed_times(now);
    const vector slope = slopes(conditions);
    const double steps =
        1 + (conditions.own_tokens + conditions.tokens_ahead) / m_options.chunk_tokens;
    double work_ms = steps * conditions.running * to_seconds(m_options.step_per_request) * ms_per_s;
    for (std::size_t i = 0; i < parameters; ++i) {
        work_ms += times.at(i) * slope.at(i);
    }
    return {from_ms(work_ms * conditions.pace * conditions.correction), admission_time(conditions)};
}

void first_byte_model::learn(const first_byte_conditions& conditions, duration elapsed,
                             time_point now)
{
    m_times = decayed_times(now);
    m_last_sample = now;
    const first_byte_parts expected = expect(conditions, now);
    if (to_seconds(expected.admission) > admission_part * to_seconds(expected.total())) {
        const double ratio = std::clamp(to_seconds(elapsed - expected.work) /
                                            std::max(to_seconds(expected.admission), 1 / ms_per_s),
                                        1 + min_residual, 1 + max_residual);
        m_admission_factor = std::clamp(m_admission_factor * (1 + admission_weight * (ratio - 1)),
                                        min_admission_factor, max_admission_factor);
        return;
    }
    ++m_samples;
    const double expected_ms = std::max(min_expected_ms, to_seconds(expected.total()) * ms_per_s);
    const double residual =
        std::clamp(to_seconds(elapsed) * ms_per_s / expected_ms - 1, min_residual, max_residual);
    // relative to the expected time, so that long and short times count alike
    const double factor = conditions.pace * conditions.correction / expected_ms;
    vector slope = slopes(conditions);
    for (double& part : slope) {
        part *= factor;
    }
    update(slope, residual);
}

/// Updates the times by a sample.
/// @param slope    derivatives of the expected time with respect to the times
/// @param residual measured time relative to the expected one, less 1
void first_byte_model::update(const vector& slope, double residual)
{
    vector cross_covariance{};
    double variance = square(sample_deviation);
    for (std::size_t i = 0; i < parameters; ++i) {
        m_covariance.at(i).at(i) += square(drift * m_times.at(i));
        for (std::size_t k = 0; k < parameters; ++k) {
            cross_covariance.at(i) += m_covariance.at(i).at(k) * slope.at(k);
        }
        variance += cross_covariance.at(i) * slope.at(i);
    }
    vector scale{};
    for (std::size_t i = 0; i < parameters; ++i) {
        m_times.at(i) = std::clamp(m_times.at(i) + cross_covariance.at(i) / variance * residual,
                                   min_ms.at(i), max_ms.at(i));
        // bounds the uncertainty of a time that no sample depends on
        const double own = m_covariance.at(i).at(i) - square(cross_covariance.at(i)) / variance;
        scale.at(i) = std::min(1.0, nominal_deviation * m_times.at(i) / std::sqrt(own));
    }
    for (std::size_t i = 0; i < parameters; ++i) {
        for (std::size_t k = 0; k < parameters; ++k) {
            double& covariance = m_covariance.at(i).at(k);
            covariance -= cross_covariance.at(i) * cross_covariance.at(k) / variance;
            covariance *= scale.at(i) * scale.at(k);
        }
    }
}

void first_byte_model::on_complete(duration elapsed)
{
    const double mean_s = to_seconds(m_residence);
    const double sample_s =
        std::clamp(to_seconds(elapsed), mean_s / max_residence_ratio, mean_s * max_residence_ratio);
    m_residence = from_seconds(mean_s + residence_weight * (sample_s - mean_s));
}

duration first_byte_model::read_time(double tokens) const
{
    return from_ms(tokens / tokens_per_unit * m_times[1]);
}

double endpoint_correction::factor(time_point now) const
{
    const double idle = std::max(0.0, to_seconds(now - m_last_sample));
    return std::exp(m_log * std::exp2(-idle / to_seconds(correction_half_life)));
}

void endpoint_correction::learn(duration elapsed, duration expected, time_point now)
{
    m_log = std::log(factor(now));
    m_last_sample = now;
    const double floor_s = 1 / ms_per_s;
    const double residual = std::clamp(
        std::log(std::max(to_seconds(elapsed), floor_s) / std::max(to_seconds(expected), floor_s)),
        -max_correction_residual, max_correction_residual);
    m_log = std::clamp(m_log + correction_weight * (residual - correction_leak * m_log),
                       std::log(min_correction), std::log(max_correction));
}

} // namespace hickorykeel::gateway
