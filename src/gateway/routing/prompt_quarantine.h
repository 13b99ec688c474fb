#pragma once

#include "process/clock.h"

#include <chrono>        // milliseconds, seconds
#include <cstddef>       // size_t
#include <cstdint>       // uint32_t, uint64_t
#include <map>           // map
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <vector>        // vector

namespace hickorykeel::gateway {

/// A crash of an engine: the parts of the prompts whose responses it broke off.
struct crash_report {
    std::uint64_t id = 0;       ///< given by the host that saw it
    std::uint32_t endpoint = 0; ///< hash of the endpoint's id
    duration age{0};
    std::vector<std::uint64_t> parts; ///< those of responses that had not begun come first
};

/// A part of a prompt that is refused, since it crashes the engines that process it.
struct part_verdict {
    std::uint64_t part = 0;
    duration age{0};
};

/// What a host knows of parts that crash engines, as sent with its heartbeats.
struct crash_evidence {
    std::vector<crash_report> crashes;
    /// Parts of these crashes with which the sender has seen a complete response of late.
    std::vector<std::uint64_t> answered;
    std::vector<part_verdict> verdicts;

    [[nodiscard]] bool is_empty() const noexcept
    {
        return crashes.empty() && answered.empty() && verdicts.empty();
    }
};

struct prompt_quarantine_options {
    /// Distinguishes the crashes that this host sees from those that other hosts see.
    std::uint64_t salt = 0;
    /// Crashes, at separate moments, that had a part in common before it is refused, if it explains
    /// at least half of all crashes, and more than any other part, and two endpoints have crashed.
    unsigned min_crashes = 3;
    /// The same if it explains fewer, if another part explains as many, or if only one endpoint has
    /// crashed.
    unsigned min_unclear_crashes = 5;
    /// Crashes within this time count as one: they may have one outer cause.
    duration separation = std::chrono::milliseconds{300};
    /// Crashes of one endpoint that different hosts saw within this time are one crash.
    duration merge_range = std::chrono::milliseconds{1'500};
    duration crash_retention = std::chrono::seconds{30};
    /// Time for which a complete response shows that its prompt's parts are sound.
    duration answer_retention = std::chrono::seconds{60};
    duration quarantine = std::chrono::minutes{5}; ///< time for which a part is refused
    std::size_t max_crashes = 64;                  ///< that are kept
    std::size_t max_known_crashes = 65'536;        ///< whose ids are kept; more aren't counted
    std::size_t max_parts = 256;                   ///< of one crash
    std::size_t max_answered = 8'192;              ///< parts that are kept
    std::size_t max_verdicts = 64;
    std::size_t max_sent_crashes = 8; ///< in one heartbeat, the newest ones
    std::size_t max_sent_parts = 24;  ///< of one crash in a heartbeat
    std::size_t max_sent_answered = 128;
};

/// Finds the parts of prompts that crash the engines which process them, and refuses requests with
/// them.
///
/// An engine that crashes breaks off all responses that it works on, so each crash has many
/// suspects. A part is sound if a request with it was answered of late. Of the others, the part
/// that the most crashes have in common is refused; the crashes that it explains are no evidence
/// against the parts that were beside it. Hosts exchange what they have seen, so that few crashes
/// are enough wherever the requests arrive.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class prompt_quarantine {
public:
    explicit prompt_quarantine(prompt_quarantine_options options) : m_options{options} {}

    /// @name observations
    /// @{

    /// Records that an engine broke off the response to a request whose prompt has `parts`.
    /// @param endpoint  hash of the endpoint's id
    /// @param has_begun a part of the response was received
    void on_broken_off(std::uint32_t endpoint, const std::vector<std::uint64_t>& parts,
                       bool has_begun, time_point now);

    /// Records a complete response to a request whose prompt has `parts`.
    void on_answered(const std::vector<std::uint64_t>& parts, time_point now);
    /// @}

    /// @name exchange with other hosts
    /// @{
    [[nodiscard]] crash_evidence evidence(time_point now) const;
    void on_evidence(const crash_evidence& received, time_point now);
    /// @}

    /// @name verdicts
    /// @{

    /// Forgets what is outdated and decides which parts are refused; to be called with each
    /// heartbeat.
    /// @return the parts that are refused from now on
    std::vector<std::uint64_t> update(time_point now);

    /// Returns the remaining time for which a request whose prompt has `parts` is refused, or
    /// nothing if it isn't.
    [[nodiscard]] std::optional<duration> refusal(const std::vector<std::uint64_t>& parts,
                                                  time_point now) const;

    /// Number of crashes whose ids are kept.
    [[nodiscard]] std::size_t known_crashes() const noexcept { return m_heard.size(); }
    /// @}

private:
    struct crash {
        std::uint64_t id = 0;
        std::uint32_t endpoint = 0;
        time_point at{};
        std::vector<std::uint64_t> parts; ///< as in `crash_report`
    };

    struct crash_counts {
        unsigned moments = 0; ///< of all crashes
        std::unordered_map<std::uint64_t, unsigned> by_part;
        std::unordered_map<std::uint64_t, std::unordered_set<std::uint32_t>> endpoints; ///< by part
    };

    crash* find_or_add_crash(const crash_report& seen, time_point now);
    void add_parts(crash& observed, const std::vector<std::uint64_t>& parts,
                   bool comes_first) const;
    void add_verdict(std::uint64_t part, time_point at);
    void remove_outdated(time_point now);
    void withdraw_explained_verdicts();
    [[nodiscard]] std::size_t count_crashes_with(const std::vector<std::uint64_t>& parts) const;
    [[nodiscard]] bool is_sound(std::uint64_t part, time_point now) const;
    [[nodiscard]] bool is_explained(const crash& observed) const;
    [[nodiscard]] crash_counts count_crashes(time_point now) const;
    [[nodiscard]] std::vector<std::uint64_t> find_culprits(time_point now) const;

    prompt_quarantine_options m_options;
    std::vector<crash> m_crashes; ///< oldest first
    /// When each crash that was ever reported was heard of last, by its id. A crash whose
    /// retention is over doesn't count again while hosts still report it.
    std::unordered_map<std::uint64_t, time_point> m_heard;
    std::uint64_t m_own_crashes = 0;
    std::unordered_map<std::uint64_t, time_point> m_answered;      ///< by part, here
    std::unordered_map<std::uint64_t, time_point> m_peer_answered; ///< by part, at other hosts
    std::map<std::uint64_t, time_point> m_verdicts;                ///< by part
    std::vector<std::uint64_t> m_new_verdicts;                     ///< since the last update
};

} // namespace hickorykeel::gateway
