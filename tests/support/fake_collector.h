#pragma once

#include "support/fake_server.h"

#include <mutex>  // mutex, lock_guard
#include <string> // string
#include <vector> // vector

#include <nlohmann/json.hpp>

namespace hickorykeel::tests {

/// Takes spans as OTLP/HTTP JSON and remembers them.
///
/// Thread safety: may be used from any thread.
class fake_collector : public fake_server {
public:
    fake_collector()
    {
        server.Post("/v1/traces", [this](const auto& request, auto&) {
            const auto body = nlohmann::json::parse(request.body);
            const std::lock_guard lock{m_mutex};
            m_text += request.body;
            for (const auto& span : body["resourceSpans"][0]["scopeSpans"][0]["spans"]) {
                m_spans.push_back(span);
            }
        });
        start();
    }

    /// Spans of a trace so far.
    [[nodiscard]] std::vector<nlohmann::json> spans_of(const std::string& trace) const
    {
        const std::lock_guard lock{m_mutex};
        std::vector<nlohmann::json> found;
        for (const auto& span : m_spans) {
            if (span["traceId"] == trace) {
                found.push_back(span);
            }
        }
        return found;
    }

    /// All bodies so far.
    [[nodiscard]] std::string text() const
    {
        const std::lock_guard lock{m_mutex};
        return m_text;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<nlohmann::json> m_spans;
    std::string m_text;
};

} // namespace hickorykeel::tests
