#pragma once

#include <cassert>          // assert
#include <cstddef>          // size_t
#include <functional>       // function
#include <initializer_list> // initializer_list
#include <map>              // map
#include <memory>           // make_shared, shared_ptr
#include <mutex>            // mutex, lock_guard
#include <string>           // string
#include <string_view>      // string_view
#include <type_traits>      // is_same_v
#include <utility>          // move
#include <vector>           // vector

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace hickorykeel {

/// Series that one family holds at most; label values beyond them are counted as `other`.
inline constexpr std::size_t maximum_series = 2'000;

/// Label value of all series beyond `maximum_series`.
inline constexpr std::string_view other_series = "other";

/// Metrics of one name that differ by the values of fixed labels.
///
/// `Metric` is prometheus::Counter, Gauge or Histogram. A handle: copies share the series.
/// Thread safety: may be called from any thread.
template <typename Metric>
class metric_family {
public:
    /// The metric with these label values, made on first use.
    /// @param values one for each label of the family, in its order
    /// @return valid as long as the registry: keep it to save the look-up
    Metric& with(std::initializer_list<std::string_view> values)
    {
        const std::lock_guard lock{m_series->mutex};
        assert(values.size() == m_series->labels.size());
        std::vector<std::string> names{values.begin(), values.end()};
        const auto it = m_series->metrics.find(names);
        if (it != m_series->metrics.end()) {
            return *it->second;
        }
        if (m_series->metrics.size() >= maximum_series) {
            names.assign(names.size(), std::string{other_series});
        }
        return add(names);
    }

private:
    friend class metrics;

    struct series {
        prometheus::Family<Metric>* family = nullptr;
        std::vector<std::string> labels;
        std::vector<double> buckets; ///< of histograms
        std::mutex mutex;
        std::map<std::vector<std::string>, Metric*> metrics;
    };

    explicit metric_family(std::shared_ptr<series> shared) : m_series{std::move(shared)} {}

    Metric& add(const std::vector<std::string>& values)
    {
        prometheus::Labels labels;
        for (std::size_t i = 0; i < values.size(); ++i) {
            labels.emplace(m_series->labels[i], values[i]);
        }
        Metric& added = make(labels);
        m_series->metrics.emplace(values, &added);
        return added;
    }

    Metric& make(const prometheus::Labels& labels)
    {
        if constexpr (std::is_same_v<Metric, prometheus::Histogram>) {
            return m_series->family->Add(labels, m_series->buckets);
        }
        else {
            return m_series->family->Add(labels);
        }
    }

    std::shared_ptr<series> m_series;
};

using counter_family = metric_family<prometheus::Counter>;
using gauge_family = metric_family<prometheus::Gauge>;
using histogram_family = metric_family<prometheus::Histogram>;

/// Metrics of one process.
///
/// Thread safety: every public method may be called from any thread.
class metrics {
public:
    /// @param host,failure_domain labels of every series; empty ones are left out
    metrics(const std::string& host, const std::string& failure_domain);

    /// @name families
    /// Declared once each at start. Precondition: `name` is a valid metric name of no other kind.
    /// @{
    counter_family counters(const std::string& name, const std::string& help,
                            std::vector<std::string> labels = {});
    gauge_family gauges(const std::string& name, const std::string& help,
                        std::vector<std::string> labels = {});
    /// @param buckets upper bounds, rising
    histogram_family histograms(const std::string& name, const std::string& help,
                                std::vector<double> buckets, std::vector<std::string> labels = {});
    /// @}

    /// Has `refresh` called before each collection, to set gauges that are read on demand.
    void before_collect(std::function<void()> refresh);

    /// All metrics in Prometheus' text format. Linear in the number of series.
    [[nodiscard]] std::string to_text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Labels m_labels;
    mutable std::mutex m_mutex;
    std::vector<std::function<void()>> m_refreshers;
};

/// Upper bounds of histograms of times in seconds, from a millisecond to a minute.
[[nodiscard]] std::vector<double> time_buckets();

} // namespace hickorykeel
