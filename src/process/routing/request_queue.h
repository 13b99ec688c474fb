#pragma once

#include "process/clock.h"

#include <array>         // array
#include <chrono>        // seconds
#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <list>          // list
#include <map>           // map
#include <optional>      // optional
#include <set>           // set
#include <string>        // string
#include <unordered_map> // unordered_map
#include <utility>       // pair
#include <vector>        // vector

namespace hickorykeel {

/// Request that waits for an endpoint.
struct queued_request {
    std::uint64_t id = 0; ///< unique in the queue
    std::string organisation;
    std::uint64_t tokens = 1; ///< reserved tokens; 0 counts as 1
    bool is_interactive = true;
    double weight = 1;     ///< weight of its organisation, e.g. its rate; above 0
    time_point deadline{}; ///< latest time at which it is of use to start the request
};

/// Result of request_queue::push().
enum class push_outcome {
    queued,
    queue_full,
    organisation_full, ///< the organisation has its maximum number of requests waiting
    expired,           ///< the deadline has passed
    duplicate,         ///< a request with the same id is waiting
};

/// Settings of a request queue.
struct request_queue_settings {
    std::size_t capacity = 4096;              ///< max. waiting requests
    std::size_t organisation_capacity = 1024; ///< max. waiting requests of an organisation
    /// Interactive requests of an organisation lose their precedence over the batch requests of
    /// another one if its recent usage / weight exceeds that of the other, the waiting batch
    /// request included, by this factor.
    double excess_factor = 2;
    /// Time constant of the decay of recent usage.
    duration usage_decay_time{std::chrono::seconds{60}};
    /// Min. share of the tokens that batch requests get while both classes wait.
    double batch_share = 0.15;
};

/// Returns whether a wait of `expected_wait` would end after `deadline`, so that an early refusal
/// is better than a late one.
constexpr bool would_miss_deadline(duration expected_wait, time_point now,
                                   time_point deadline) noexcept
{
    return now + expected_wait > deadline;
}

/// Queue of one target with two classes of requests. Interactive requests precede batch requests,
/// but batch requests get a minimum share of the tokens, and interactive requests of an
/// organisation whose recent usage by weight exceeds that of another organisation by
/// `excess_factor` do not precede the batch requests of that one.
///
/// Each class is fair between organisations, as in "Fairness in Serving Large Language Models"
/// (Sheng et al., OSDI 2024): each organisation has a counter of the tokens served to it, and the
/// one with the smallest counter is next. The counter of an organisation that begins to wait is
/// raised to at least the largest counter at which a request was popped, so that idle time saves up
/// no credit. An organisation that sends too much thus lengthens only its own queue.
///
/// All operations are O(log n) for n waiting requests where no other cost is given; a pop may also
/// scan the m idle organisations, O(m). Thread safety: none.
class request_queue {
public:
    explicit request_queue(request_queue_settings settings = {});

    /// @name modifiers
    /// @{

    /// Appends a request to the queue of its organisation and class.
    push_outcome push(queued_request request, time_point now);

    /// Removes and returns the next request, if any. Expired requests are set aside for
    /// take_expired().
    std::optional<queued_request> pop(time_point now);

    /// Removes and returns the next request of one class, even if the other class is next: used
    /// when the next request of the queue does not suit an endpoint with a free slot.
    std::optional<queued_request> pop_class(bool is_interactive, time_point now);

    /// Returns a popped request, for which there was no endpoint, to the head of the queue of its
    /// organisation and takes back the charge of its tokens. Precondition: it is not waiting.
    void requeue(queued_request request);

    /// Removes a request whose caller has disconnected. Returns whether it was waiting.
    bool remove(std::uint64_t id);

    /// Removes and returns the requests that expired since the last call. O(k log n) for k
    /// requests.
    std::vector<queued_request> take_expired(time_point now);

    /// Corrects the charge of a request to the tokens that it used instead of those it reserved.
    void settle(const queued_request& request, std::uint64_t used_tokens);

    /// @}
    /// @name element access
    /// @{

    [[nodiscard]] std::size_t size() const noexcept { return m_positions.size(); }
    [[nodiscard]] bool is_empty() const noexcept { return m_positions.empty(); }
    [[nodiscard]] std::size_t size_of(const std::string& organisation) const;

    /// Estimated tokens of the class that are served before a new request of the organisation: the
    /// tokens of its own waiting requests, plus, for each other waiting organisation, the larger of
    /// that number and the mean tokens of a waiting request; at most the tokens of all waiting
    /// requests of the class.
    [[nodiscard]] std::uint64_t tokens_ahead(const std::string& organisation,
                                             bool is_interactive) const;

    /// Tokens of the waiting requests of a class and of the class that precedes it: the backlog
    /// that another failure domain could take over.
    [[nodiscard]] std::uint64_t backlog_tokens(bool is_interactive) const;

    /// @}

private:
    struct organisation_queue {
        std::list<queued_request> waiting;
        /// Tokens served; raised to counter_floor when the organisation begins to wait.
        double counter = 0;
        std::uint64_t tokens = 0;
    };

    /// Waiting requests of one class.
    struct class_queue {
        std::map<std::string, organisation_queue> organisations;
        std::set<std::pair<double, std::string>> order; ///< counter, name; waiting ones only
        double counter_floor = 0; ///< largest counter at which a request was popped
        std::uint64_t tokens = 0;
        std::size_t size = 0;
    };

    /// Reserved tokens of the popped requests of an organisation in both classes, not corrected by
    /// settle(), with exponential decay since `time`.
    struct recent_usage {
        double tokens = 0;
        time_point time{};
    };

    struct position {
        bool is_interactive = true;
        std::list<queued_request>::iterator element;
    };

    [[nodiscard]] class_queue& queue_of(bool is_interactive);
    [[nodiscard]] const class_queue& queue_of(bool is_interactive) const;
    [[nodiscard]] const queued_request& head_of(const class_queue& queue) const;
    [[nodiscard]] bool is_batch_next(time_point now) const;
    [[nodiscard]] bool is_in_excess(const queued_request& interactive, const queued_request& batch,
                                    time_point now) const;
    [[nodiscard]] double recent_tokens_of(const std::string& organisation, time_point now) const;
    void record_usage(const std::string& organisation, double tokens, time_point now);
    queued_request pop_from(class_queue& queue, time_point now);
    void insert(queued_request request, bool at_front);
    queued_request extract(const position& from);
    void charge(class_queue& queue, const std::string& organisation, double tokens);
    void erase_idle(class_queue& queue);
    void update_batch_credit(const queued_request& popped);
    [[nodiscard]] double batch_credit_for(double tokens) const;

    request_queue_settings m_settings;
    std::array<class_queue, 2> m_classes; // batch, interactive
    std::unordered_map<std::uint64_t, position> m_positions;
    std::set<std::pair<time_point, std::uint64_t>> m_deadlines;
    std::vector<queued_request> m_expired;
    std::map<std::string, recent_usage> m_recent_usage;
    double m_batch_credit = 0; // tokens that batch requests may use before interactive ones
};

} // namespace hickorykeel
