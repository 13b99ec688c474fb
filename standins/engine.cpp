#include "standins/engine.h"

#include "standins/answer.h"

#include <algorithm> // min, max
#include <array>     // array
#include <utility>   // move

namespace hickorykeel::standins {

namespace detail {

constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t tokens_per_block = 64;
constexpr std::size_t default_output_tokens = 16;
constexpr double batch_growth = 0.1; // of a token's time, for each further request of the batch
constexpr std::array<std::string_view, 5> run_state_names{"waiting", "running", "completed",
                                                          "cancelled", "cut"};

std::size_t count_tokens(std::string_view text)
{
    return (text.size() + bytes_per_token - 1) / bytes_per_token;
}

std::string text_of(const nlohmann::json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// The part of a request that the answer depends on.
struct question {
    std::string prompt; // all of it
    std::string last;   // last user message
    std::size_t output_tokens = default_output_tokens;
    bool is_stream = false;
};

question to_question(const nlohmann::json& body, bool is_chat)
{
    question found;
    found.output_tokens = body.value("max_tokens", default_output_tokens);
    found.is_stream = body.value("stream", false);
    if (!is_chat) {
        found.prompt = text_of(body.value("prompt", nlohmann::json("")));
        found.last = found.prompt;
        return found;
    }
    for (const auto& message : body.value("messages", nlohmann::json::array())) {
        const std::string content = text_of(message.value("content", nlohmann::json("")));
        found.prompt += content + '\n';
        if (message.value("role", "") == "user") {
            found.last = content;
        }
    }
    return found;
}

void refuse(httplib::Response& response, int status, std::string_view message)
{
    response.status = status;
    response.set_content(nlohmann::json{{"error", {{"message", message}}}}.dump(),
                         "application/json");
}

} // namespace detail

prefix_counts prefix_cache::use(std::string_view prompt)
{
    constexpr std::size_t block_bytes = detail::bytes_per_token * detail::tokens_per_block;
    prefix_counts counts;
    std::uint64_t hash = hash_text("");
    bool is_prefix_cached = true;
    for (std::size_t at = 0; at < prompt.size(); at += block_bytes) {
        const std::string_view block = prompt.substr(at, block_bytes);
        const std::size_t tokens = detail::count_tokens(block);
        hash = hash_text(block, hash);
        is_prefix_cached = is_prefix_cached && m_blocks.contains(hash);
        if (is_prefix_cached) {
            counts.cached += tokens;
        }
        else if (m_seen.contains(hash)) {
            counts.recomputed += tokens;
        }
        else {
            counts.computed += tokens;
        }
        store(hash);
    }
    return counts;
}

void prefix_cache::store(std::uint64_t block)
{
    if (const auto found = m_blocks.find(block); found != m_blocks.end()) {
        m_order.splice(m_order.begin(), m_order, found->second);
        return;
    }
    m_seen.insert(block);
    m_order.push_front(block);
    m_blocks.emplace(block, m_order.begin());
    if (m_blocks.size() > m_capacity) {
        m_blocks.erase(m_order.back());
        m_order.pop_back();
    }
}

void lagging_load::record(time_point now, const engine_load& load)
{
    m_samples.emplace_back(now, load);
    static_cast<void>(at(now));
}

engine_load lagging_load::at(time_point now)
{
    // the first sample stays until the second one is old enough to take its place
    while (m_samples.size() > 1 && now - m_samples[1].first >= m_lag) {
        m_samples.pop_front();
    }
    const bool is_due = !m_samples.empty() && now - m_samples.front().first >= m_lag;
    return is_due ? m_samples.front().second : engine_load{};
}

/// A request in work.
struct engine::job {
    const httplib::Request* request = nullptr; // outlives the job's use of the connection
    detail::question question;
    std::shared_ptr<engine_run> run;
    fault_settings faults;
    bool is_chat = true;
    bool is_interactive = true;
    bool holds_slot = false;
    std::size_t next_word = 0;
    std::size_t sent_chunks = 0;
    double prefill_seconds = 0;
};

engine::engine(engine_options options)
    : m_options(std::move(options)), m_report(m_options.load_lag), m_cache(m_options.cached_blocks)
{
}

void engine::serve(http_server& server)
{
    m_server = &server;
    m_faults.serve(server);
    server.Post("/v1/chat/completions",
                [this](const httplib::Request& request, httplib::Response& response) {
                    complete(request, response, true);
                });
    server.Post("/v1/completions",
                [this](const httplib::Request& request, httplib::Response& response) {
                    complete(request, response, false);
                });
    server.Get("/v1/load", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(load().dump(), "application/json");
    });
    server.Get("/control/ledger", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(ledger().dump(), "application/json");
    });
}

void engine::complete(const httplib::Request& request, httplib::Response& response, bool is_chat)
{
    const fault_settings faults = m_faults.current();
    if (faults.silent) {
        m_server->wait_for_hang_up(request);
        return;
    }
    if (faults.refuse) {
        return detail::refuse(response, 503, "engine refuses work");
    }
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return detail::refuse(response, 400, "body is no JSON object");
    }
    if (is_fenced_off(request)) {
        return detail::refuse(response, 409, "fencing token is old or missing");
    }
    auto work = std::make_shared<job>();
    work->request = &request;
    work->question = detail::to_question(body, is_chat);
    work->faults = faults;
    work->is_chat = is_chat;
    work->is_interactive = request.get_header_value("X-Priority") != "batch";
    work->run = std::make_shared<engine_run>();
    work->run->id = request.get_header_value("X-Request-Id");
    work->run->stamp = to_stamp(boot_clock::now());
    work->run->headers = http_server::headers_of(request);
    work->run->is_stream = work->question.is_stream;
    if (request.has_header("X-Resume-Offset")) {
        work->run->resumed_at = std::stoul(request.get_header_value("X-Resume-Offset"));
        work->next_word = work->run->resumed_at;
    }
    if (!start(*work)) {
        return cancel(*work);
    }
    work->question.is_stream ? answer_stream(work, response) : answer_whole(work, response);
}

bool engine::is_fenced_off(const httplib::Request& request)
{
    if (!m_options.checks_fencing) {
        return false;
    }
    const std::string text = request.get_header_value("X-Fencing-Token");
    if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos) {
        return true;
    }
    const std::uint64_t token = std::stoull(text);
    const std::lock_guard lock{m_mutex};
    std::uint64_t& newest = m_fencing_tokens[request.get_header_value("X-Request-Id")];
    if (token < newest) {
        return true;
    }
    newest = token;
    return false;
}

bool engine::start(job& work)
{
    {
        const std::lock_guard lock{m_mutex};
        m_runs.push_back(work.run);
    }
    if (!wait_for_slot(work)) {
        return false;
    }
    return m_server->wait(*work.request,
                          from_seconds(work.prefill_seconds * work.faults.slow_factor));
}

bool engine::may_enter(bool is_interactive) const
{
    const bool has_slot = m_load.running < m_options.slots;
    return has_slot && (is_interactive || m_waiting_interactive == 0);
}

bool engine::wait_for_slot(job& work)
{
    constexpr duration slice = std::chrono::milliseconds{1};
    const auto count_waiting = [this, &work](std::uint32_t change) {
        m_load.waiting += change;
        m_waiting_interactive += work.is_interactive ? change : 0;
        record_load();
    };
    std::unique_lock lock{m_mutex};
    count_waiting(1);
    while (!may_enter(work.is_interactive)) {
        lock.unlock();
        const bool is_connected = m_server->wait(*work.request, slice);
        lock.lock();
        if (!is_connected) {
            count_waiting(static_cast<std::uint32_t>(-1));
            return false;
        }
    }
    ++m_load.running;
    count_waiting(static_cast<std::uint32_t>(-1));
    work.holds_slot = true;
    work.run->state = run_state::running;
    work.run->prompt_tokens = detail::count_tokens(work.question.prompt);
    const prefix_counts counts = m_cache.use(work.question.prompt);
    m_prefix_counts.cached += counts.cached;
    m_prefix_counts.computed += counts.computed;
    m_prefix_counts.recomputed += counts.recomputed;
    work.prefill_seconds = static_cast<double>(counts.computed + counts.recomputed) /
                           m_options.prefill_tokens_per_second;
    return true;
}

bool engine::wait_while_held(const job& work)
{
    constexpr duration slice = std::chrono::milliseconds{10};
    const auto is_held = [&] {
        const int limit = m_faults.current().hold_at_tokens;
        return limit >= 0 && work.next_word >= static_cast<std::size_t>(limit);
    };
    while (is_held()) {
        if (!m_server->wait(*work.request, slice)) {
            return false;
        }
    }
    return true;
}

bool engine::make_token(job& work)
{
    if (!wait_while_held(work)) {
        return false;
    }
    duration span{m_options.token_time};
    {
        const std::lock_guard lock{m_mutex};
        const double others = m_load.running - 1.0;
        const double factor = (1 + detail::batch_growth * others) * work.faults.slow_factor;
        span = from_seconds(to_seconds(span) * factor);
    }
    if (!m_server->wait(*work.request, span)) {
        return false;
    }
    const std::lock_guard lock{m_mutex};
    ++work.run->output_tokens;
    ++work.next_word;
    return true;
}

void engine::finish(job& work, run_state state)
{
    const std::lock_guard lock{m_mutex};
    if (work.run->state != run_state::waiting && work.run->state != run_state::running) {
        return;
    }
    work.run->state = state;
    if (work.holds_slot) {
        --m_load.running;
        record_load();
    }
}

void engine::cancel(job& work)
{
    finish(work, run_state::cancelled);
    // a stopping engine must not send an empty answer
    http_server::cut(*work.request);
}

void engine::answer_whole(const std::shared_ptr<job>& work, httplib::Response& response)
{
    while (work->next_word < work->question.output_tokens) {
        if (!make_token(*work)) {
            return cancel(*work);
        }
    }
    if (!m_server->wait(*work->request, work->faults.late)) {
        return cancel(*work);
    }
    if (work->faults.cut_after_chunks >= 0) {
        http_server::cut(*work->request);
        return finish(*work, run_state::cut);
    }
    const std::string text = answer_text(work->question.last, work->question.output_tokens);
    const nlohmann::json choice =
        work->is_chat ? nlohmann::json{{"index", 0},
                                       {"message", {{"role", "assistant"}, {"content", text}}},
                                       {"finish_reason", "stop"}}
                      : nlohmann::json{{"index", 0}, {"text", text}, {"finish_reason", "stop"}};
    const nlohmann::json answer{
        {"id", work->run->id},
        {"object", work->is_chat ? "chat.completion" : "text_completion"},
        {"choices", nlohmann::json::array({choice})},
        {"usage",
         {{"prompt_tokens", work->run->prompt_tokens},
          {"completion_tokens", work->question.output_tokens},
          {"total_tokens", work->run->prompt_tokens + work->question.output_tokens}}}};
    finish(*work, run_state::completed);
    response.set_content(answer.dump(), "application/json");
}

void engine::answer_stream(const std::shared_ptr<job>& work, httplib::Response& response)
{
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, work](std::size_t, httplib::DataSink& sink) { return stream_next(*work, sink); },
        [this, work](bool) { finish(*work, run_state::cancelled); });
}

bool engine::stream_next(job& work, httplib::DataSink& sink)
{
    const auto send = [&sink](const std::string& data) {
        const std::string event = "data: " + data + "\n\n";
        return sink.write(event.data(), event.size());
    };
    nlohmann::json chunk{{"id", work.run->id},
                         {"object", work.is_chat ? "chat.completion.chunk" : "text_completion"}};
    if (work.faults.cut_after_chunks >= 0 &&
        work.sent_chunks >= static_cast<std::size_t>(work.faults.cut_after_chunks)) {
        finish(work, run_state::cut);
        http_server::cut(*work.request);
        return false;
    }
    if (work.next_word < work.question.output_tokens) {
        const std::string word = answer_word(work.question.last, work.next_word) + ' ';
        if (!make_token(work)) {
            return false;
        }
        ++work.sent_chunks;
        nlohmann::json choice{{"index", 0}, {"finish_reason", nullptr}};
        choice.update(work.is_chat ? nlohmann::json{{"delta", {{"content", word}}}}
                                   : nlohmann::json{{"text", word}});
        chunk["choices"] = nlohmann::json::array({choice});
        return send(chunk.dump());
    }
    if (!m_server->wait(*work.request, work.faults.late)) {
        return false;
    }
    nlohmann::json choice{{"index", 0}, {"finish_reason", "stop"}};
    choice.update(work.is_chat ? nlohmann::json{{"delta", nlohmann::json::object()}}
                               : nlohmann::json{{"text", ""}});
    chunk["choices"] = nlohmann::json::array({choice});
    chunk["usage"] = {{"prompt_tokens", work.run->prompt_tokens},
                      {"completion_tokens", work.question.output_tokens},
                      {"total_tokens", work.run->prompt_tokens + work.question.output_tokens}};
    if (!send(chunk.dump()) || !send("[DONE]")) {
        return false;
    }
    finish(work, run_state::completed);
    sink.done();
    return true;
}

void engine::record_load()
{
    m_load.cached_prefixes = m_cache.size();
    m_report.record(boot_clock::now(), m_load);
}

nlohmann::json engine::load()
{
    const std::lock_guard lock{m_mutex};
    const engine_load reported = m_report.at(boot_clock::now());
    return {{"running", reported.running},
            {"waiting", reported.waiting},
            {"slots", m_options.slots},
            {"cached_prefixes", reported.cached_prefixes},
            {"age_ms", m_options.load_lag.count()}};
}

nlohmann::json engine::ledger() const
{
    const std::lock_guard lock{m_mutex};
    nlohmann::json requests = nlohmann::json::array();
    for (const auto& run : m_runs) {
        requests.push_back(
            {{"id", run->id},
             {"stamp", run->stamp},
             {"headers", run->headers},
             {"state", detail::run_state_names[static_cast<std::size_t>(run->state)]},
             {"stream", run->is_stream},
             {"resumed_at", run->resumed_at},
             {"prompt_tokens", run->prompt_tokens},
             {"output_tokens", run->output_tokens}});
    }
    return {{"name", m_options.name},
            {"running", m_load.running},
            {"waiting", m_load.waiting},
            {"prefix_tokens",
             {{"cached", m_prefix_counts.cached},
              {"computed", m_prefix_counts.computed},
              {"recomputed", m_prefix_counts.recomputed}}},
            {"requests", requests}};
}

} // namespace hickorykeel::standins
