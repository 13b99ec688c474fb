#pragma once

#include "process/clock.h"

#include <chrono>        // hours, milliseconds, minutes, seconds
#include <cstddef>       // size_t
#include <cstdint>       // uint32_t, uint64_t
#include <deque>         // deque
#include <map>           // map
#include <optional>      // optional
#include <set>           // set
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <utility>       // pair
#include <vector>        // vector

namespace hickorykeel::gateway {

/// A crash of an endpoint, with the requests whose responses it broke off and the parts of their
/// prompts.
struct crash_report {
    std::uint64_t id = 0;       ///< assigned by the host that observed the crash
    std::uint32_t endpoint = 0; ///< hash of the endpoint's id
    duration age{0};
    std::vector<std::uint64_t> parts;         ///< first those of responses that had not begun
    std::vector<std::uint64_t> requests = {}; ///< fingerprints, in the same order
    std::uint32_t incarnation = 0;            ///< hash of the endpoint's id and start; 0: unknown
    /// Since its previous crash, the endpoint isn't known to have completed a response.
    bool is_repeated = false;
    /// The endpoint has completed a response to a request sent before the crash, so that it only
    /// ended connections.
    bool is_refuted = false;
};

/// A part of a prompt with which requests are refused, since it crashes the engines that process
/// it.
struct part_verdict {
    std::uint64_t part = 0;
    duration age{0};
};

/// A request that is refused, since it crashes the endpoints that run it.
struct request_verdict {
    std::uint64_t request = 0; ///< fingerprint
    duration age{0};           ///< since the verdict or its last renewal
    unsigned renewals = 0;     ///< number of crashes after the ends of its quarantines
    duration evidence_age{0};  ///< since the first of its crashes; no complete response came since
};

/// A complete response to a request that an endpoint had broken off.
struct request_answer {
    std::uint64_t request = 0; ///< fingerprint
    duration age{0};
    unsigned hops = 0; ///< times that the observation was forwarded before this report
};

/// What a host knows of what crashes endpoints, as sent with its heartbeats.
struct crash_evidence {
    std::vector<crash_report> crashes;
    /// Parts of these crashes with which the sender has recently seen a complete response.
    std::vector<std::uint64_t> answered;
    std::vector<part_verdict> verdicts;
    std::vector<request_verdict> request_verdicts = {};
    std::vector<request_answer> answered_requests = {};

    [[nodiscard]] bool is_empty() const noexcept
    {
        return crashes.empty() && answered.empty() && verdicts.empty() &&
               request_verdicts.empty() && answered_requests.empty();
    }
};

/// A response that an endpoint broke off.
struct broken_response {
    std::uint32_t endpoint = 0;    ///< hash of the endpoint's id
    std::uint32_t incarnation = 0; ///< hash of the endpoint's id and start; 0: unknown
    std::uint64_t request = 0;     ///< fingerprint; 0: none
    bool has_begun = false;        ///< a part of the response was received
};

/// Returns a hash of a request, which is the same at all hosts and never 0. Not resistant to
/// collisions made on purpose. O(size of the body). Thread safe.
[[nodiscard]] std::uint64_t request_fingerprint(std::string_view method, std::string_view target,
                                                std::string_view organisation,
                                                std::string_view body) noexcept;

struct prompt_quarantine_options {
    /// Distinguishes the crashes that this host sees from those that other hosts see.
    std::uint64_t salt = 0;
    /// Crashes, at separate moments, needed before a part that they have in common is refused, if
    /// it explains at least half of all crashes and more than any other part, and two endpoints
    /// have crashed.
    unsigned min_crashes = 3;
    /// The same if it explains fewer, if another part explains as many, or if only one endpoint has
    /// crashed.
    unsigned min_unclear_crashes = 5;
    /// The same if one request may explain all of them: it is the likelier cause, and is refused by
    /// itself once that is proven.
    unsigned min_crashes_of_one_request = 10;
    /// Crashes within this time count as one: they may have one outer cause.
    duration separation = std::chrono::milliseconds{300};
    /// Crashes of one endpoint that different hosts saw within this time are one crash.
    duration merge_range = std::chrono::milliseconds{1'500};
    duration crash_retention = std::chrono::seconds{30};
    /// Time for which a complete response clears its prompt's parts of suspicion.
    duration answer_retention = std::chrono::seconds{60};
    duration quarantine = std::chrono::minutes{5}; ///< time for which a part is refused
    /// Crashes that are enough to refuse a request if they were at two separate moments, on the
    /// conditions of `min_crashes`.
    unsigned min_crashes_at_two_moments = 4;
    /// Time between the last crash that is needed and the refusal of a request, in which other
    /// hosts may report that it was answered.
    duration settling_time = std::chrono::milliseconds{500};
    /// Time after the first of the crashes before which a request isn't refused. In a cut that ends
    /// many endpoints within a second, a request that is sent often was taken for the cause.
    duration min_evidence_time = std::chrono::seconds{2};
    /// Complete responses that this host must have received since the last crash that is needed:
    /// while no endpoint works, it says nothing of a request that it isn't answered.
    std::size_t min_answers = 4;
    /// Time for which crashes are kept as evidence against requests, which may be sent rarely.
    duration request_retention = std::chrono::minutes{5};
    /// Maximum time for which a request is refused; each renewal of a verdict doubles it up to this.
    duration max_quarantine = std::chrono::hours{1};
    /// Period over which the hosts' ends of a request's quarantine are spread at random. If the
    /// first host's attempt causes a crash, the others learn of it before they make one.
    duration quarantine_stagger = std::chrono::seconds{60};
    /// Time after a quarantine in which a host allows one attempt at a time.
    duration trial_period = std::chrono::minutes{10};
    /// Remaining time reported while another attempt of the request is on trial.
    duration retry_after_trial = std::chrono::seconds{5};
    std::size_t max_crashes = 256;          ///< that are kept
    std::size_t max_known_crashes = 65'536; ///< whose ids are kept; more aren't counted
    std::size_t max_parts = 256;            ///< of one crash
    std::size_t max_answered = 8'192;       ///< parts that are kept
    std::size_t max_verdicts = 64;
    std::size_t max_sent_crashes = 8; ///< in one heartbeat, the newest ones
    std::size_t max_sent_parts = 24;  ///< of one crash in a heartbeat
    std::size_t max_sent_answered = 128;
    std::size_t max_requests = 256; ///< of one crash
    std::size_t max_answered_requests = 8'192;
    std::size_t max_request_verdicts = 64;
    std::size_t max_sent_requests = 32; ///< of one crash in a heartbeat
    std::size_t max_sent_request_answers = 128;
    /// Hops after which an answer isn't reported further: to the host's aggregator, to that of
    /// another region, and to a host there.
    unsigned max_answer_hops = 3;
    std::size_t max_endpoints = 4'096; ///< whose last answer is kept
};

/// Finds the requests, and the parts of prompts, that crash the endpoints which process them, and
/// decides which are refused.
///
/// An endpoint that crashes breaks off all its responses, so that each crash has many suspects. A
/// part is cleared if a request with it was answered recently; against a request, only crashes
/// after its last complete response count. Of the other suspects, the one that is common to the
/// most crashes is refused. The crashes that it explains are no evidence against other suspects. If
/// a request explains as many crashes as a part does, the request is refused, since other requests
/// with that part may be harmless. Hosts exchange their observations, so that a few crashes suffice
/// whichever hosts receive the requests.
///
/// An endpoint that breaks off responses several times without a complete response or a known
/// restart in between is faulty itself: only the first of these crashes counts against requests. An
/// endpoint that completes a response to a request sent before the crash has not crashed.
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

    /// Records that an endpoint broke off the response to a request whose prompt has `parts`, which
    /// may be empty.
    void on_broken_off(const broken_response& broken, const std::vector<std::uint64_t>& parts,
                       time_point now);

    /// Records a complete response to a request whose prompt has `parts`.
    void on_answered(const std::vector<std::uint64_t>& parts, time_point now);

    /// Records a complete response of `endpoint`, given by the hash of its id, to any request.
    /// @param sent_at when the request was sent; `now` if the response may have waited to be read
    void on_endpoint_answered(std::uint32_t endpoint, time_point sent_at, time_point now);

    /// Records a complete response to the request with the fingerprint `request`.
    void on_request_answered(std::uint64_t request, time_point now);
    /// @}

    /// @name exchange with other hosts
    /// @{

    /// Returns what is sent with the next heartbeat. Its size is bounded by the options.
    [[nodiscard]] crash_evidence evidence(time_point now) const;

    /// Records what another host has sent.
    void on_evidence(const crash_evidence& received, time_point now);
    /// @}

    /// @name verdicts
    /// @{

    /// Removes what is outdated and decides which parts and requests are refused. To be called with
    /// each heartbeat.
    /// @return the parts whose refusal has begun since the last call
    std::vector<std::uint64_t> update(time_point now);

    /// Returns the remaining time for which a request whose prompt has `parts` is refused, or
    /// nothing if it isn't.
    [[nodiscard]] std::optional<duration> refusal(const std::vector<std::uint64_t>& parts,
                                                  time_point now) const;

    /// Whether any request is a suspect or refused. If not, no fingerprint needs to be computed.
    [[nodiscard]] bool has_request_suspects() const noexcept
    {
        return !m_suspects.empty() || has_request_verdicts();
    }

    /// Whether any request is refused.
    [[nodiscard]] bool has_request_verdicts() const noexcept { return !m_request_verdicts.empty(); }

    /// Returns the remaining time for which a request is refused, or nothing if it isn't.
    [[nodiscard]] std::optional<duration> request_refusal(std::uint64_t request,
                                                          time_point now) const;

    /// Whether a request may be sent again at once after its response was broken off: not if it is
    /// likely to crash the next endpoint as well. Precondition: `on_broken_off()` has recorded
    /// `broken`.
    [[nodiscard]] bool may_retry(const broken_response& broken, time_point now) const;

    /// Records that the request is sent to an endpoint. Returns whether this attempt is the trial
    /// after its quarantine. The request is refused then until `end_trial()`.
    bool begin_trial(std::uint64_t request, time_point now);
    void end_trial(std::uint64_t request);

    /// Returns the fingerprints of the requests whose refusal has begun, or begun again, since the
    /// last call.
    [[nodiscard]] std::vector<std::uint64_t> take_new_request_verdicts();

    /// Number of crashes whose ids are kept.
    [[nodiscard]] std::size_t known_crashes() const noexcept { return m_heard.size(); }
    /// @}

private:
    struct crash {
        std::uint64_t id = 0;
        std::uint32_t endpoint = 0;
        time_point at{};
        std::vector<std::uint64_t> parts;    ///< as in `crash_report`
        std::vector<std::uint64_t> requests; ///< as in `crash_report`
        std::uint32_t incarnation = 0;       ///< 0: unknown
        bool is_repeated = false;            ///< as in `crash_report`
        bool is_refuted = false;             ///< as in `crash_report`
    };

    /// Crashes that a request may have caused, as indices into `m_crashes`, oldest first.
    struct request_record {
        std::vector<std::size_t> crashes;
        std::vector<time_point> moments; ///< at which they were, oldest first
        std::unordered_set<std::uint32_t> endpoints;
        std::unordered_set<std::uint32_t> incarnations;
    };
    using request_records = std::unordered_map<std::uint64_t, request_record>; // by fingerprint

    /// Requests that may be refused.
    struct request_candidates {
        std::vector<std::pair<std::uint64_t, const request_record*>> all;
        std::unordered_set<std::uint64_t> distinct; ///< those told apart from all other requests
        std::set<std::size_t> explained;            ///< crashes that distinct requests explain
    };

    struct held_request_verdict {
        time_point at{};
        unsigned renewals = 0;
        time_point first_crash{}; ///< of those that led to it
        bool is_on_trial = false; ///< this host makes an attempt after the quarantine
    };

    struct held_answer {
        time_point at{};
        unsigned hops = 0; ///< 0: observed by this host
    };

    struct crash_counts {
        unsigned moments = 0; ///< of all crashes
        std::unordered_map<std::uint64_t, unsigned> by_part;
        std::unordered_map<std::uint64_t, std::unordered_set<std::uint32_t>> endpoints; ///< by part
    };

    crash* find_or_add_crash(const crash_report& seen, time_point now);
    void add_parts(crash& observed, const std::vector<std::uint64_t>& parts,
                   bool comes_first) const;
    void add_requests(crash& observed, const std::vector<std::uint64_t>& requests,
                      bool comes_first);
    void add_verdict(std::uint64_t part, time_point at);
    void remove_outdated(time_point now);
    void withdraw_explained_verdicts();
    [[nodiscard]] std::size_t count_crashes_with(const std::vector<std::uint64_t>& parts) const;
    [[nodiscard]] bool is_sound(std::uint64_t part, time_point now) const;
    [[nodiscard]] bool is_explained(const crash& observed) const;
    [[nodiscard]] bool counts_against_requests(const crash& observed, bool with_repeated) const;
    [[nodiscard]] crash_counts count_crashes(time_point now) const;
    [[nodiscard]] std::vector<std::uint64_t> find_culprits(time_point now) const;
    void add_refused_requests(crash_counts& counts, time_point now) const;
    [[nodiscard]] bool is_explained_by_part(const crash& observed) const;
    [[nodiscard]] bool may_have_common_request(std::uint64_t part) const;
    [[nodiscard]] bool has_common_refused_request(std::uint64_t part) const;

    // requests
    [[nodiscard]] bool has_worked_since_crash(std::uint32_t endpoint,
                                              std::uint32_t incarnation) const;
    [[nodiscard]] bool may_have_caused(const crash& observed, std::uint64_t request) const;
    [[nodiscard]] bool is_answered_since(std::uint64_t request, time_point at) const;
    void add_crash(request_record& record, std::size_t index) const;
    [[nodiscard]] request_record find_record(std::uint64_t request) const;
    [[nodiscard]] request_records find_records() const;
    [[nodiscard]] bool is_only_suspect(std::uint64_t request, const request_record& record) const;
    [[nodiscard]] bool is_part_likelier(const request_record& record, const crash_counts& parts,
                                        time_point now) const;
    [[nodiscard]] std::size_t count_unexplained_since(std::size_t first, bool with_repeated) const;
    [[nodiscard]] std::optional<time_point> find_proof(const request_record& record,
                                                       bool is_clear) const;
    [[nodiscard]] bool has_settled(const request_record& record, time_point proof,
                                   time_point now) const;
    [[nodiscard]] request_candidates find_request_candidates(const request_records& records,
                                                             time_point now) const;
    [[nodiscard]] std::vector<std::uint64_t> find_request_culprits(time_point now) const;
    [[nodiscard]] duration quarantine_of(std::uint64_t request,
                                         const held_request_verdict& verdict) const;
    void add_request_verdict(std::uint64_t request, const held_request_verdict& verdict);
    void add_answer(std::uint64_t request, const held_answer& answer);
    void renew_after_trial(std::uint64_t request, time_point now);
    void remove_outdated_requests(time_point now);
    void withdraw_explained_request_verdicts();
    void add_request_evidence(crash_evidence& sent, time_point now) const;
    [[nodiscard]] std::unordered_map<std::uint64_t, unsigned> count_crashes_by_request() const;
    [[nodiscard]] std::vector<std::uint64_t>
    find_requests_to_send(const crash& observed,
                          const std::unordered_map<std::uint64_t, unsigned>& counts) const;
    void read_request_answers(const crash_evidence& received, time_point now);
    void read_request_verdicts(const crash_evidence& received, time_point now);

    prompt_quarantine_options m_options;
    std::vector<crash> m_crashes; ///< oldest first
    /// Time of the last report of each crash, by its id. A crash whose retention is over doesn't
    /// count again while hosts still report it.
    std::unordered_map<std::uint64_t, time_point> m_heard;
    std::uint64_t m_own_crashes = 0;
    std::unordered_map<std::uint64_t, time_point> m_answered;           ///< by part, here
    std::unordered_map<std::uint64_t, time_point> m_peer_answered;      ///< by part, at other hosts
    std::map<std::uint64_t, time_point> m_verdicts;                     ///< by part
    std::vector<std::uint64_t> m_new_verdicts;                          ///< since the last update
    std::map<std::uint64_t, held_request_verdict> m_request_verdicts;   ///< by fingerprint
    std::vector<std::uint64_t> m_new_request_verdicts;                  ///< not yet taken
    std::unordered_map<std::uint64_t, held_answer> m_answered_requests; ///< by fingerprint
    /// Time of each endpoint's last complete response to this host, by hash of the id. Recorded
    /// only while crashes are kept.
    std::unordered_map<std::uint32_t, time_point> m_endpoint_answers;
    std::deque<time_point> m_latest_answers;      ///< `min_answers` of them, oldest first
    std::unordered_set<std::uint64_t> m_suspects; ///< requests that may have caused kept crashes
};

} // namespace hickorykeel::gateway
