#include "process/metrics.h"

#include <sstream> // ostringstream

#include <prometheus/text_serializer.h>

namespace hickorykeel {

metrics::metrics(const std::string& host, const std::string& failure_domain)
{
    if (!host.empty()) {
        m_labels.emplace("host", host);
    }
    if (!failure_domain.empty()) {
        m_labels.emplace("failure_domain", failure_domain);
    }
}

counter_family metrics::counters(const std::string& name, const std::string& help,
                                 std::vector<std::string> labels)
{
    auto shared = std::make_shared<counter_family::series>();
    shared->family =
        &prometheus::BuildCounter().Name(name).Help(help).Labels(m_labels).Register(m_registry);
    shared->labels = std::move(labels);
    return counter_family{std::move(shared)};
}

gauge_family metrics::gauges(const std::string& name, const std::string& help,
                             std::vector<std::string> labels)
{
    auto shared = std::make_shared<gauge_family::series>();
    shared->family =
        &prometheus::BuildGauge().Name(name).Help(help).Labels(m_labels).Register(m_registry);
    shared->labels = std::move(labels);
    return gauge_family{std::move(shared)};
}

histogram_family metrics::histograms(const std::string& name, const std::string& help,
                                     std::vector<double> buckets, std::vector<std::string> labels)
{
    auto shared = std::make_shared<histogram_family::series>();
    shared->family =
        &prometheus::BuildHistogram().Name(name).Help(help).Labels(m_labels).Register(m_registry);
    shared->labels = std::move(labels);
    shared->buckets = std::move(buckets);
    return histogram_family{std::move(shared)};
}

void metrics::before_collect(std::function<void()> refresh)
{
    const std::lock_guard lock{m_mutex};
    m_refreshers.push_back(std::move(refresh));
}

std::string metrics::to_text() const
{
    {
        const std::lock_guard lock{m_mutex};
        for (const auto& refresh : m_refreshers) {
            refresh();
        }
    }
    std::ostringstream text;
    prometheus::TextSerializer{}.Serialize(text, m_registry.Collect());
    return text.str();
}

std::vector<double> time_buckets()
{
    return {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};
}

} // namespace hickorykeel
