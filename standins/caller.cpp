#include "standins/caller.h"

#include <algorithm> // sort
#include <cmath>     // lround
#include <map>       // map
#include <mutex>     // mutex
#include <optional>  // optional
#include <random>    // exponential_distribution, mt19937_64
#include <semaphore> // counting_semaphore
#include <thread>    // jthread, sleep_for
#include <utility>   // move

namespace hickorykeel::standins {

namespace detail {

constexpr std::size_t bytes_per_token = 4;
constexpr std::ptrdiff_t most_under_way = 1'024; // requests; later arrivals wait, and it counts

/// Text of the request number `number`: unlike any other from its first byte on.
std::string make_text(const load_options& options, std::size_t number)
{
    std::string text = std::to_string(options.seed) + '-' + std::to_string(number) + ' ';
    while (text.size() < options.prompt_tokens * bytes_per_token) {
        text += "visit ";
    }
    text.resize(std::max(text.find(' '), options.prompt_tokens * bytes_per_token));
    return text;
}

std::optional<std::uint64_t> deadline_of(const load_options& options)
{
    return options.deadline_ms == 0 ? std::nullopt : std::optional{options.deadline_ms};
}

outcome send_one(const load_options& options, const std::string& entry, std::size_t number)
{
    const http_caller caller{entry, options.key};
    if (!options.is_service) {
        chat_question question;
        question.profile = options.profile;
        question.model = options.target;
        question.text = make_text(options, number);
        question.output_tokens = options.output_tokens;
        question.is_stream = options.is_stream;
        question.deadline_ms = deadline_of(options);
        return caller.ask(question);
    }
    service_question question;
    question.profile = options.profile;
    question.service = options.target;
    question.path = "calls";
    question.id = std::to_string(options.seed) + '-' + std::to_string(number);
    question.deadline_ms = deadline_of(options);
    if (options.has_tickets) {
        const std::vector<std::string> tickets = caller.tickets(options.profile);
        question.idempotency_key = tickets.empty() ? "" : tickets.front();
    }
    return caller.call(question);
}

nlohmann::json percentiles(std::vector<double> samples)
{
    std::sort(samples.begin(), samples.end());
    const auto at = [&samples](double part) -> nlohmann::json {
        if (samples.empty()) {
            return nullptr;
        }
        const auto last = static_cast<double>(samples.size() - 1);
        return samples[static_cast<std::size_t>(std::lround(part * last))];
    };
    return {{"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}};
}

} // namespace detail

std::vector<load_sample> run_load(const load_options& options)
{
    std::mt19937_64 random{options.seed};
    std::exponential_distribution<double> gap{options.rate};
    std::uniform_int_distribution<std::size_t> pick{0, options.entries.size() - 1};
    std::counting_semaphore<detail::most_under_way> free_places{detail::most_under_way};
    std::mutex mutex; // guards samples
    std::vector<load_sample> samples;
    std::vector<std::jthread> requests;
    const time_point start = boot_clock::now();
    time_point planned = start + from_seconds(gap(random));
    for (std::size_t number = 0; planned - start < options.length; ++number) {
        std::this_thread::sleep_for(planned - boot_clock::now());
        free_places.acquire();
        const std::string entry = options.entries[pick(random)];
        requests.emplace_back([&, planned, number, entry] {
            load_sample sample;
            sample.delay = boot_clock::now() - planned;
            sample.received = detail::send_one(options, entry, number);
            free_places.release();
            const std::lock_guard lock{mutex};
            samples.push_back(std::move(sample));
        });
        planned += from_seconds(gap(random));
    }
    requests.clear(); // joins
    return samples;
}

nlohmann::json summarise(const std::vector<load_sample>& samples)
{
    constexpr double milliseconds = 1'000;
    std::map<outcome_kind, std::size_t> counts;
    std::map<std::string, std::size_t> refusals;
    std::vector<double> first_token;
    std::vector<double> total;
    for (const load_sample& sample : samples) {
        ++counts[sample.received.kind];
        if (sample.received.kind == outcome_kind::refused) {
            ++refusals[sample.received.code];
        }
        if (sample.received.kind == outcome_kind::whole) {
            first_token.push_back(milliseconds *
                                  to_seconds(sample.delay + sample.received.first_token));
            total.push_back(milliseconds * to_seconds(sample.delay + sample.received.total));
        }
    }
    return {{"sent", samples.size()},
            {"whole", counts[outcome_kind::whole]},
            {"wrong", counts[outcome_kind::wrong]},
            {"cut", counts[outcome_kind::cut]},
            {"unreachable", counts[outcome_kind::unreachable]},
            {"refused", refusals},
            {"first_token_ms", detail::percentiles(std::move(first_token))},
            {"total_ms", detail::percentiles(std::move(total))}};
}

} // namespace hickorykeel::standins
