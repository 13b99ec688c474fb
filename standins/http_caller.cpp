#include "standins/http_caller.h"

#include "standins/answer.h"

#include <array>    // array
#include <optional> // optional
#include <sstream>  // ostringstream
#include <utility>  // move, pair

#include <httplib.h>

namespace hickorykeel::standins {

namespace detail {

constexpr std::chrono::seconds longest_answer{120};
constexpr const char* chat_path = "/v1/chat/completions";
constexpr const char* service_prefix = "/v1/services/";

httplib::Client make_client(const std::string& entry)
{
    httplib::Client client{"http://" + entry};
    client.set_connection_timeout(longest_answer);
    client.set_read_timeout(longest_answer);
    client.set_tcp_nodelay(true);
    return client;
}

httplib::Headers make_headers(const std::string& key, const std::string& profile,
                              const std::string& idempotency_key,
                              const std::optional<std::uint64_t>& deadline_ms)
{
    httplib::Headers headers;
    if (!key.empty()) {
        headers.emplace("Authorization", "Bearer " + key);
    }
    if (!profile.empty()) {
        headers.emplace("X-Hickorykeel-Profile", profile);
    }
    if (!idempotency_key.empty()) {
        headers.emplace("Idempotency-Key", idempotency_key);
    }
    if (deadline_ms) {
        headers.emplace("X-Hickorykeel-Deadline-Ms", std::to_string(*deadline_ms));
    }
    return headers;
}

/// Sends `request` and keeps what arrives in `received`; false where the connection broke.
bool send(const std::string& entry, httplib::Request request, outcome& received)
{
    const time_point start = boot_clock::now();
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
        if (received.body.empty()) {
            received.first_token = boot_clock::now() - start;
        }
        received.body.append(data, size);
        return true;
    };
    request.response_handler = [&](const httplib::Response& response) {
        received.status = response.status;
        received.endpoint = response.get_header_value("X-Hickorykeel-Endpoint");
        received.host = response.get_header_value("X-Hickorykeel-Host");
        received.is_repeat = response.has_header("X-Hickorykeel-Repeat");
        return true;
    };
    httplib::Client client = make_client(entry);
    const httplib::Result answer = client.send(request);
    received.total = boot_clock::now() - start;
    if (!answer && received.status == 0 && answer.error() == httplib::Error::Connection) {
        received.kind = outcome_kind::unreachable;
        return false;
    }
    received.kind = outcome_kind::cut;
    return static_cast<bool>(answer);
}

/// Reads a refusal from `body` into `received`; false where it is none.
bool read_refusal(const std::string& body, outcome& received)
{
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("error") || !answer["error"].is_object()) {
        return false;
    }
    const nlohmann::json& fault = answer["error"];
    received.code = fault.value("code", "");
    received.ran = fault.value("ran", "");
    received.step = fault.value("step", "");
    received.retry_after_ms = fault.value("retry_after_ms", std::uint64_t{0});
    received.kind = outcome_kind::refused;
    return true;
}

/// Sends `body` for `question` and reads a refusal.
/// @return nothing where no answer of status 200 began; else whether it arrived whole
template <typename Question>
std::optional<bool> post(const std::string& entry, const std::string& key, const std::string& path,
                         const Question& question, const nlohmann::json& body, outcome& received)
{
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.headers =
        make_headers(key, question.profile, question.idempotency_key, question.deadline_ms);
    request.set_header("Content-Type", "application/json");
    request.body = body.dump();
    const bool is_complete = send(entry, request, received);
    if (received.status == 200) {
        return is_complete;
    }
    if (received.status != 0) {
        read_refusal(received.body, received);
    }
    return std::nullopt;
}

/// Reads the events of a streamed answer.
/// @return whether the stream came to its end with usage and "[DONE]"
bool read_stream(outcome& received)
{
    std::istringstream lines{received.body};
    std::string line;
    std::string event;
    bool has_usage = false;
    bool is_done = false;
    while (std::getline(lines, line)) {
        if (line.starts_with("event: ")) {
            event = line.substr(7);
            continue;
        }
        if (!line.starts_with("data: ")) {
            continue;
        }
        const std::string data = line.substr(6);
        if (event == "error") {
            return !read_refusal(data, received);
        }
        if (data == "[DONE]") {
            is_done = true;
            continue;
        }
        const nlohmann::json chunk = nlohmann::json::parse(data, nullptr, false);
        if (!chunk.is_object()) {
            return false;
        }
        has_usage = has_usage || chunk.contains("usage");
        for (const nlohmann::json& choice : chunk.value("choices", nlohmann::json::array())) {
            const std::string piece =
                choice.value("delta", nlohmann::json::object()).value("content", "");
            received.chunks += piece.empty() ? 0 : 1;
            received.text += piece;
        }
    }
    return is_done && has_usage;
}

std::string text_of_whole(const std::string& body)
{
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    const nlohmann::json::json_pointer text{"/choices/0/message/content"};
    const bool has_text = answer.is_object() && answer.contains(text);
    return has_text ? answer[text].get<std::string>() : std::string{};
}

} // namespace detail

std::string outcome::to_string() const
{
    constexpr std::array names{"whole", "wrong", "refused", "cut", "unreachable"};
    std::ostringstream line;
    line << names[static_cast<std::size_t>(kind)] << ", status " << status << ", code " << code
         << ", ran " << ran << ", step " << step << ", endpoint " << endpoint << ", host " << host
         << ", " << to_seconds(total) << " s, body " << body.substr(0, 300);
    return line.str();
}

http_caller::http_caller(std::string entry, std::string key)
    : m_entry(std::move(entry)), m_key(std::move(key))
{
}

nlohmann::json http_caller::hosts(const std::string& profile) const
{
    httplib::Client client = detail::make_client(m_entry);
    const std::string path = profile.empty() ? "/v1/hosts" : "/v1/hosts?profile=" + profile;
    const httplib::Result answer = client.Get(path, detail::make_headers(m_key, profile, "", {}));
    return answer ? nlohmann::json::parse(answer->body, nullptr, false)
                  : nlohmann::json(nlohmann::json::value_t::discarded);
}

std::vector<std::string> http_caller::tickets(const std::string& profile) const
{
    std::vector<std::string> found;
    const nlohmann::json answer = hosts(profile);
    if (answer.is_object()) {
        for (const nlohmann::json& row : answer.value("tickets", nlohmann::json::array())) {
            found.push_back(row.value("ticket", ""));
        }
    }
    return found;
}

outcome http_caller::ask(const chat_question& question) const
{
    const nlohmann::json body{
        {"model", question.model},
        {"messages", {{{"role", "user"}, {"content", question.text}}}},
        {"max_tokens", question.output_tokens},
        {"stream", question.is_stream},
    };
    outcome received;
    const auto is_complete =
        detail::post(m_entry, m_key, detail::chat_path, question, body, received);
    if (!is_complete) {
        return received;
    }
    const bool has_end = question.is_stream ? detail::read_stream(received) : *is_complete;
    if (received.kind == outcome_kind::refused || !*is_complete || !has_end) {
        return received;
    }
    if (!question.is_stream) {
        received.text = detail::text_of_whole(received.body);
    }
    const std::string expected = answer_text(question.text, question.output_tokens);
    received.kind = received.text == expected ? outcome_kind::whole : outcome_kind::wrong;
    return received;
}

outcome http_caller::call(const service_question& question) const
{
    outcome received;
    const std::string path = detail::service_prefix + question.service + '/' + question.path;
    const auto is_complete =
        detail::post(m_entry, m_key, path, question, {{"id", question.id}}, received);
    if (!is_complete.value_or(false)) {
        return received;
    }
    const nlohmann::json answer = nlohmann::json::parse(received.body, nullptr, false);
    const bool is_own = answer.is_object() && answer.value("id", "") == question.id;
    received.kind = is_own ? outcome_kind::whole : outcome_kind::wrong;
    return received;
}

} // namespace hickorykeel::standins
