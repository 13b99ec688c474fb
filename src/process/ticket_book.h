#pragma once

#include "process/clock.h"

#include <cstddef>       // size_t
#include <functional>    // greater
#include <memory>        // shared_ptr
#include <queue>         // priority_queue
#include <string>        // string
#include <unordered_map> // unordered_map
#include <variant>       // variant
#include <vector>        // vector

namespace hickorykeel {

/// Answer kept for a repeat of the same request.
struct recorded_answer {
    int status = 0;
    std::string content_type;
    std::string body;
    std::string endpoint;
};

/// Remembers, until its ticket expires, that a request was begun here and how it ended. One per
/// incarnation of an entry process.
///
/// Thread safety: none; one owner at a time.
class ticket_book {
public:
    /// What the caller of `begin` may do.
    struct may_run {};      ///< first use: run it now, then call `finish` or `release`
    struct is_running {};   ///< a request with this ticket is under way
    struct may_have_run {}; ///< it was begun and its outcome is not known
    struct body_differs {}; ///< the ticket was used for another request
    struct is_full {};      ///< no room to remember one more
    struct has_expired {};  ///< it may have run: its record may be gone
    using has_run = std::shared_ptr<const recorded_answer>;
    using verdict = std::variant<may_run, is_running, may_have_run, body_differs, is_full,
                                 has_expired, has_run>;

    explicit ticket_book(std::size_t capacity = default_capacity) : m_capacity(capacity) {}

    /// @name modifiers
    /// @{

    /// Records the first use of ticket `id` before anything leaves the process.
    /// @param expiry       until when the record is kept
    /// @param fingerprint  digest of method, path and body
    verdict begin(const std::string& id, time_point expiry, const std::string& fingerprint,
                  time_point now);

    /// Keeps the whole answer for repeats. Precondition: `begin` gave may_run.
    void finish(const std::string& id, recorded_answer answer);

    /// The outcome is not known and never will be.
    void lose(const std::string& id);

    /// Nothing ran and nothing can run any more: the ticket may be used again.
    void release(const std::string& id);

    /// @}

    [[nodiscard]] std::size_t size() const noexcept { return m_records.size(); }

    static constexpr std::size_t default_capacity = 100'000;

private:
    struct record {
        std::string fingerprint;
        bool is_running = true;
        has_run answer;
    };
    struct expiry_entry {
        time_point when;
        std::string id;
        bool operator>(const expiry_entry& other) const { return when > other.when; }
    };

    void expire(time_point now);

    std::size_t m_capacity;
    std::unordered_map<std::string, record> m_records;
    std::priority_queue<expiry_entry, std::vector<expiry_entry>, std::greater<>> m_expiries;
};

} // namespace hickorykeel
