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

/// A request that waits for an endpoint.
struct queued_request {
    std::uint64_t id = 0; ///< unique in the queue
    std::string organisation;
    std::uint64_t tokens = 1; ///< reserved; at least 1
    bool is_interactive = true;
    double weight = 1;     ///< share of its organisation, e.g. its rate; above 0
    time_point deadline{}; ///< when an answer must have begun to be of use
};

/// What became of a request that was pushed.
enum class push_outcome {
    queued,
    queue_full,
    organisation_full, ///< the organisation has its largest number of requests waiting
    expired,           ///< the deadline has passed
    duplicate,         ///< the id is waiting already
};

/// Bounds and shares of a queue.
struct request_queue_settings {
    std::size_t capacity = 4096;
    std::size_t organisation_capacity = 1024;
    /// Times the use of another organisation, each by its weight, from which on interactive
    /// requests do not go before the other's batch requests.
    double excess_factor = 2;
    duration use_memory{std::chrono::seconds{60}}; ///< tokens served count less over this
    double batch_share = 0.15; ///< of the tokens, least share of batch work while both kinds wait
};

/// Whether waiting cannot end in time, so that a refusal now is better than one later.
constexpr bool is_hopeless(duration expected_wait, time_point now, time_point deadline) noexcept
{
    return now + expected_wait > deadline;
}

/// Queue of one target. Between interactive and batch work: interactive first, but batch work gets
/// its share of the tokens, and interactive requests of an organisation far above its share do not go
/// before batch requests of others. Within each: fair by organisation, after "Fairness in Serving Large
/// Language Models" (Sheng et al., OSDI 2024): each organisation has a counter of tokens served,
/// the smallest is next, and an organisation that starts to wait is lifted to the counters of
/// those that wait. So one that sends too much lengthens only its own queue.
///
/// All operations are O(log n) amortised where no other cost is given. Thread safety: none.
class request_queue {
public:
    explicit request_queue(request_queue_settings settings = {});

    /// @name modifiers
    /// @{

    push_outcome push(queued_request request, time_point now);

    /// The request that is next, if any. Expired ones are skipped; see take_expired.
    std::optional<queued_request> pop(time_point now);

    /// The request that is next in one class, out of turn: for an endpoint that the request whose
    /// turn it is does not take.
    std::optional<queued_request> pop_class(bool is_interactive, time_point now);

    /// Puts back a request that was popped and found no endpoint: it is next in its organisation
    /// again and its tokens are not charged. Precondition: not waiting.
    void put_back(queued_request request);

    /// Removes a request whose caller went away. Returns whether it waited.
    bool remove(std::uint64_t id);

    /// Requests that expired since the last call. O(k log n) for k of them.
    std::vector<queued_request> take_expired(time_point now);

    /// Corrects the charge of a request that used other than its reserved tokens.
    void settle(const queued_request& request, std::uint64_t used_tokens);

    /// @}
    /// @name element access
    /// @{

    [[nodiscard]] std::size_t size() const noexcept { return m_places.size(); }
    [[nodiscard]] bool is_empty() const noexcept { return m_places.empty(); }
    [[nodiscard]] std::size_t size_of(const std::string& organisation) const;

    /// Tokens that will be served before a new request of the organisation: its own ones that wait
    /// and as many of each other organisation that waits, at most all that wait.
    [[nodiscard]] std::uint64_t tokens_ahead(const std::string& organisation,
                                             bool is_interactive) const;

    /// Tokens that wait in a class and in the one before it: the backlog that another failure
    /// domain could take over.
    [[nodiscard]] std::uint64_t backlog_tokens(bool is_interactive) const;

    /// @}

private:
    struct organisation_queue {
        std::list<queued_request> waiting;
        double served = 0; ///< tokens, lifted to m_floor when the organisation starts to wait
        std::uint64_t tokens = 0;
    };

    /// Interactive or batch requests.
    struct class_queue {
        std::map<std::string, organisation_queue> organisations;
        std::set<std::pair<double, std::string>> order; ///< served, organisation; those that wait
        double floor = 0;                               ///< served of the one popped last
        std::uint64_t tokens = 0;
        std::size_t size = 0;
    };

    /// Tokens served lately to an organisation in both classes, fading with time.
    struct recent_use {
        double tokens = 0;
        time_point moment{};
    };

    struct place {
        bool is_interactive = true;
        std::list<queued_request>::iterator at;
    };

    [[nodiscard]] class_queue& queue_of(bool is_interactive);
    [[nodiscard]] const class_queue& queue_of(bool is_interactive) const;
    [[nodiscard]] const queued_request& head_of(const class_queue& queue) const;
    [[nodiscard]] bool is_batch_next(time_point now) const;
    [[nodiscard]] bool is_in_excess(const queued_request& interactive, const queued_request& batch,
                                    time_point now) const;
    [[nodiscard]] double use_of(const std::string& organisation, time_point now) const;
    void note_use(const std::string& organisation, double tokens, time_point now);
    queued_request pop_from(class_queue& queue, time_point now);
    void insert(queued_request request, bool at_front);
    queued_request extract(const place& from);
    void charge(class_queue& queue, const std::string& organisation, double tokens);
    void forget_idle(class_queue& queue);
    void note_classes(const queued_request& popped);
    [[nodiscard]] double batch_part_of(double tokens) const;

    request_queue_settings m_settings;
    std::array<class_queue, 2> m_classes; // batch, interactive
    std::unordered_map<std::uint64_t, place> m_places;
    std::set<std::pair<time_point, std::uint64_t>> m_deadlines;
    std::vector<queued_request> m_expired;
    std::map<std::string, recent_use> m_uses;
    double m_batch_credit = 0; // tokens that batch work may use before interactive work
};

} // namespace hickorykeel
