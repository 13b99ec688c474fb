#pragma once

#include "process/clock.h"

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <nlohmann/json.hpp>

namespace hickorykeel::standins {

/// A question to a model engine, whose whole answer is known beforehand.
struct chat_question {
    std::string profile;
    std::string model;
    std::string text;
    std::size_t output_tokens = 16;
    bool is_stream = false;
    std::optional<std::uint64_t> deadline_ms;
    std::string idempotency_key; ///< empty: none
};

/// A call to a plain service that echoes `id`.
struct service_question {
    std::string profile;
    std::string service;
    std::string path; ///< at the service, without a leading slash
    std::string id;
    std::optional<std::uint64_t> deadline_ms;
    std::string idempotency_key; ///< empty: none
};

enum class outcome_kind {
    whole,       ///< exactly the answer to the question
    wrong,       ///< complete, but not the answer to the question
    refused,     ///< a refusal, before the answer or within its stream
    cut,         ///< the connection ended before the answer did
    unreachable, ///< no connection
};

/// What a caller got.
struct outcome {
    outcome_kind kind = outcome_kind::unreachable;
    int status = 0;
    std::string code; ///< of a refusal
    std::string ran;  ///< of a refusal: "no" or "unknown"
    std::string step; ///< of a refusal
    std::uint64_t retry_after_ms = 0;
    std::string body;       ///< as received
    std::string text;       ///< of the model's answer
    std::string endpoint;   ///< X-Hickorykeel-Endpoint
    std::string host;       ///< X-Hickorykeel-Host
    bool is_repeat = false; ///< X-Hickorykeel-Repeat: the outcome of an earlier request
    std::size_t chunks = 0;
    duration first_token{0};
    duration total{0};

    /// One line for the messages of failed tests.
    [[nodiscard]] std::string to_string() const;
};

/// Caller of the gateway that keeps to one entry host.
///
/// Thread safety: a value without state beside its settings; share it freely.
class http_caller {
public:
    /// @param entry "ip:port" of an entry host
    /// @param key empty: none is shown
    http_caller(std::string entry, std::string key);

    /// Answer of GET /v1/hosts; discarded JSON where there is none.
    [[nodiscard]] nlohmann::json hosts(const std::string& profile = {}) const;

    /// Tickets for requests of `profile`, which is not idempotent; empty where there are none.
    /// Only the entry host of this caller runs them.
    [[nodiscard]] std::vector<std::string> tickets(const std::string& profile) const;

    /// Sends the question and verifies the answer.
    /// @{
    [[nodiscard]] outcome ask(const chat_question& question) const;
    [[nodiscard]] outcome call(const service_question& question) const;
    /// @}

private:
    std::string m_entry;
    std::string m_key;
};

} // namespace hickorykeel::standins
