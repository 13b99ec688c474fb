#pragma once

#include "connection/exchange.h"
#include "connection/messenger.h"
#include "process/dispatch_directory.h"
#include "process/entry_router.h"
#include "request/caller_request.h"

#include <cstdint>    // uint64_t
#include <deque>      // deque
#include <functional> // function
#include <memory>     // shared_ptr
#include <string>     // string
#include <variant>    // variant
#include <vector>     // vector

namespace hickorykeel {

/// One admitted request on its way: hands it to a dispatch process, and to another one where that
/// is safe, and passes the answer on.
///
/// Thread safety: none; it belongs to the thread that serves the caller.
class request_runner {
public:
    /// What a process provides to all its requests.
    struct environment {
        messenger& links;
        exchange_table& exchanges;
        dispatch_directory& directory;
        entry_router& router;
        /// Whether the caller is still connected; asked a few times a second.
        std::function<bool()> is_caller_connected;
    };

    /// The endpoint's answer has begun.
    struct answer_head {
        int status = 0;
        std::string content_type;
        std::string endpoint;
        std::string dispatch_host;
    };

    /// More of the answer's body.
    struct answer_data {
        std::string bytes;
    };

    /// The answer is whole.
    struct answer_end {
        std::uint64_t used_tokens = 0;
    };

    using step = std::variant<answer_head, answer_data, answer_end, refusal>;

    request_runner(environment provided, const admitted_request& request, std::string method,
                   std::vector<forwarded_header> headers, std::string traceparent,
                   time_point deadline);
    request_runner(const request_runner&) = delete;
    request_runner& operator=(const request_runner&) = delete;
    request_runner(request_runner&&) = delete;
    request_runner& operator=(request_runner&&) = delete;

    /// Cancels at the dispatch process what has not ended.
    ~request_runner();

    /// Waits for the next step of the answer. After answer_end or a refusal there is none. A further
    /// answer_head, where no stream was asked for, begins the answer anew: what came before is void.
    step next();

    /// Attempts made so far, for metrics.
    [[nodiscard]] unsigned attempts() const noexcept { return m_attempts; }

    /// Failure domain that has the request.
    [[nodiscard]] const std::string& failure_domain_name() const noexcept
    {
        return m_at.failure_domain;
    }

private:
    [[nodiscard]] std::string reason_to_stop(time_point now) const;
    std::variant<std::monostate, step> on_time_out();
    bool start_attempt();
    void end_attempt();
    void note_visit(retry_cause cause);
    [[nodiscard]] link::envelope to_message() const;
    std::variant<std::monostate, step> on_event(link::dispatch_event& event);
    answer_head to_head(const link::dispatch_event& event);
    std::variant<std::monostate, step> on_failure(refusal why, retry_cause cause);
    std::variant<std::monostate, step> on_refused(refusal why);
    std::variant<std::monostate, step> on_lost();
    [[nodiscard]] bool may_try_again(ran_state ran) const;
    [[nodiscard]] refusal to_refusal(const link::dispatch_event& event) const;
    [[nodiscard]] refusal give_up(refusal why);

    environment m_provided;
    const admitted_request& m_request;
    std::string m_method;
    std::vector<forwarded_header> m_headers;
    std::string m_traceparent;
    time_point m_deadline;
    visited_places m_visited;
    std::shared_ptr<exchange> m_exchange;
    dispatch_address m_at; // has the request, or had it last
    unsigned m_attempts = 0;
    std::deque<step> m_ready; // rest of an answer that came in one event
    bool m_has_head = false;
    bool m_has_ended = false;
    refusal m_last_failure;
    retry_cause m_last_cause = retry_cause::endpoint_failed;
};

} // namespace hickorykeel
