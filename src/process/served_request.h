#pragma once

#include "process/admission_actor.h"
#include "process/entry_context.h"
#include "process/request_record.h"
#include "process/request_runner.h"
#include "process/ticket_book.h"
#include "request/caller_request.h"

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <memory>      // unique_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <variant>     // variant

namespace hickorykeel {

/// One caller's request from its arrival to its last byte: admission, ticket, dispatch, answer.
/// Whatever way it ends, its ticket is settled and its endpoint is freed.
///
/// Thread safety: none; it belongs to the thread that serves the caller.
class served_request {
public:
    /// A whole answer, for a request without a stream.
    struct whole_answer {
        recorded_answer answer;
        std::string dispatch_host;
        bool is_repeat = false; ///< from memory; nothing ran again
    };

    /// The head of a streamed answer; `next_chunk` gives the rest.
    struct stream_begin {
        request_runner::answer_head head;
    };

    using opening = std::variant<whole_answer, stream_begin, refusal>;

    /// The stream ended whole.
    struct stream_end {};
    using chunk = std::variant<std::string, stream_end, refusal>;

    served_request(entry_context& shared, caller_request request,
                   std::function<bool()> is_caller_connected);
    served_request(const served_request&) = delete;
    served_request& operator=(const served_request&) = delete;
    served_request(served_request&&) = delete;
    served_request& operator=(served_request&&) = delete;
    ~served_request();

    /// Runs the request until its whole answer, or the head of its stream. Call it once.
    opening open();

    /// Waits for more of a stream. Precondition: `open` gave stream_begin.
    chunk next_chunk();

private:
    opening run();
    void record_opening(const opening& opened);
    std::optional<refusal> prepare();
    std::optional<std::variant<whole_answer, refusal>> take_ticket();
    std::optional<std::variant<whole_answer, refusal>>
    to_opening(const ticket_book::verdict& verdict);
    static std::string_view
    to_ticket_event(const std::optional<std::variant<whole_answer, refusal>>& early);
    std::optional<refusal> check_ticket(const ticket& presented);
    void start();
    opening read_head();
    opening read_whole(const request_runner::answer_head& head);
    std::optional<refusal> reserve();
    admission::reserve_result ask_limiter();
    void settle(const refusal& why);
    void settle_reservation(std::uint64_t used_tokens);
    [[nodiscard]] std::uint64_t tokens_so_far() const;
    [[nodiscard]] std::uint64_t to_used(const request_runner::answer_end& end) const;
    void settle_ticket(const refusal& why);
    void record(const recorded_answer& answer);

    entry_context& m_shared;
    caller_request m_request;
    request_record m_told;
    std::function<bool()> m_is_caller_connected;
    configuration_ptr m_in_force;
    admitted_request m_admitted;
    std::optional<ticket> m_ticket;  // set while this request holds it
    std::uint64_t m_reservation = 0; // 0: none, or settled
    std::size_t m_received_bytes = 0;
    std::unique_ptr<request_runner> m_runner;
    time_point m_deadline{};
    std::optional<recorded_answer> m_stream_record; // what a stream sent, for repeats
};

} // namespace hickorykeel
