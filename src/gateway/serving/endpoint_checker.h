#pragma once

#include "gateway/configuration/published_state.h"
#include "gateway/observability/event_log.h"
#include "gateway/observability/gateway_metrics.h"
#include "gateway/routing/endpoint_pool.h"
#include "gateway/serving/health_prober.h"
#include "gateway/serving/protocol_adapter.h"
#include "process/clock.h"
#include "process/routing/random_source.h"

#include <cstddef>    // size_t
#include <functional> // function
#include <map>        // map
#include <optional>   // optional
#include <string>     // string
#include <utility>    // move

#include <asio/io_context.hpp>   // io_context
#include <asio/steady_timer.hpp> // steady_timer

namespace hickorykeel::gateway {

/// Asks endpoints for their health where it is in doubt whether they are warm: after signs of a
/// restart, after an evacuation, while the published state is old, and where no host would see a
/// restart, since none has requests for them.
///
/// An endpoint that ends a connection is asked at once by the host that has seen it, which tells a
/// single response that is broken off from the end of the process. If it ends the connection of the
/// question as well, it may be ending or have too many connections, so it is asked a few times
/// more: an endpoint that has ended refuses the next connection. All other questions come from the
/// owner of the endpoint alone, since a question may count as a request to a cold endpoint. Shortly
/// after a start, when nobody owns it, the host asks that takes itself for the next owner.
///
/// Thread safety: none; all calls come from the loop's thread. The checker must outlive its probes.
class endpoint_checker {
public:
    /// Components used by the checker; they must outlive it.
    struct dependencies {
        asio::io_context& loop;
        endpoint_pool& pool;
        const health_prober& prober;
        const published_state& state;
        const protocol_adapter& adapter;
        event_log& log;
        gateway_metrics& metrics;
        /// Whether this host owns the endpoint while it is cold and may send it requests.
        std::function<bool(const endpoint_entry&, const service&)> is_owner;
        /// Whether this host has the largest weight for the endpoint among the hosts of its region
        /// that it has heard, though it may not have been up for long enough to own the endpoint.
        std::function<bool(const endpoint_entry&)> is_first_candidate;
        /// Whether this host would see the endpoint's end for as long as a contact at that time
        /// counts, though it has no request there.
        std::function<bool(const endpoint_entry&, time_point)> sees_end;
        /// Called when an endpoint has turned out to be warm.
        std::function<void()> on_warm;
        /// Called when an endpoint has given a sign of a restart, or has turned out to be cold, or
        /// warm.
        std::function<void()> on_urgent_news;
    };

    explicit endpoint_checker(dependencies components)
        : m_dependencies{std::move(components)}, m_start_timer{m_dependencies.loop}
    {
    }

    /// Asks the endpoints that have ended a connection with this host since the last call.
    void check_disconnected();

    /// Asks the endpoints that could get requests since the last call if it were proven that they are
    /// warm.
    void check_wanted();

    /// Asks the endpoints of which this host doesn't know, since it started, whether they had
    /// restarted before: once, `delay` from now.
    void check_after_start(duration delay);

    /// Asks some endpoints for their load, which a host doesn't know when it starts.
    /// @param count of each service with engines
    void ask_for_load(std::size_t count, random_source& random);

    /// Asks the endpoints whose evacuation has ended since the last call.
    void check_reinstated();

    /// Asks, at intervals, the endpoints that are in doubt, those with which the region would be out
    /// of contact, and all of them while the published state is old. To be called at the heartbeat
    /// interval.
    void check_periodically(time_point now);

private:
    /// What a question is for: it decides what follows from the answer, and from none.
    enum class purpose {
        state,   ///< no answer means nothing
        doubt,   ///< no answer is a sign of a restart
        contact, ///< only an end of the connection is one; an answer counts if it makes a contact
    };

    void ask_owned(const endpoint_entry& entry, purpose asked_for, const std::string& counter,
                   time_point now);
    void ask_past_unknown(time_point now);
    [[nodiscard]] const service* askable_service(const endpoint_entry& entry) const;
    /// Questions to an endpoint that has ended a connection.
    struct disconnection_check {
        explicit disconnection_check(asio::io_context& loop) : pause_timer{loop} {}

        asio::steady_timer pause_timer; ///< between two questions
        unsigned questions = 0;
        bool has_ended_connection = false; ///< the endpoint has ended another connection since
    };

    void ask_disconnected(const endpoint_entry& entry);
    bool try_ask(const endpoint_entry& entry, disconnection_check& check);
    void ask_again(const endpoint_entry& entry, disconnection_check& check);
    void on_asked(const endpoint_entry& entry, std::optional<probe_failure> failure);
    void ask(const endpoint_entry& entry, const std::string& health_path, purpose asked_for,
             std::function<void(std::optional<probe_failure>)> on_end = {});
    void on_warm(const endpoint_entry& entry, time_point asked_at, purpose asked_for);
    void on_cold(const std::string& endpoint, duration remaining, time_point asked_at);
    void on_failure(const std::string& endpoint, purpose asked_for, probe_failure why);

    dependencies m_dependencies;
    asio::steady_timer m_start_timer;
    std::map<std::string, disconnection_check> m_checks; ///< under way, by the endpoint's id
    time_point m_unconfirmed_asked_at{};
};

} // namespace hickorykeel::gateway
