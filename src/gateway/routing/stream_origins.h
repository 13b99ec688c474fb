#pragma once

#include "process/clock.h"

#include <cstddef>       // size_t
#include <cstdint>       // uint32_t, uint64_t
#include <deque>         // deque
#include <functional>    // function
#include <map>           // map
#include <optional>      // optional
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace hickorykeel::gateway {

/// Which software version has begun a stream, as one host tells it to others.
struct stream_report {
    std::uint64_t stream = 0; ///< hash of the id of the attempt that brought its first event
    std::uint32_t software_version = 0; ///< hash of its name
    duration remaining{0};              ///< time in which its caller may resume it
};

struct stream_origins_options {
    /// Streams that are remembered, and those of one service that wait to be told. The largest
    /// measure: 1,050 streams a second for 30 s.
    std::size_t max_streams = 32'768;
    /// Streams told in one heartbeat. At 10 bytes each, 512 of them are 5 KB.
    std::size_t max_reports = 512;
    /// Heartbeats that tell of a stream, since datagrams may be lost.
    int tellings = 2;
};

/// The software versions that have begun the streams which callers may resume.
///
/// A stream may go on only at the version that began it, whichever host its caller turns to. So each
/// host remembers the streams that it has begun, and tells the others of those of services of which
/// endpoints of several versions are or were in service. Who doesn't know a stream doesn't guess.
///
/// Thread safety: none; the owner serialises calls. No I/O.
class stream_origins {
public:
    explicit stream_origins(stream_origins_options options) : m_options{options} {}

    /// Records that this host has relayed the first event of a stream.
    /// @param attempt_id of the caller's attempt that brought it
    /// @param expires end of the time in which the caller may resume the stream
    void on_begun(std::string_view attempt_id, const std::string& service,
                  std::uint32_t software_version, time_point expires, time_point now);

    /// Records what another host tells.
    void on_peer_report(const stream_report& report, time_point now);

    /// Whether a version is recorded for the stream, or two were named.
    [[nodiscard]] bool is_recorded(std::string_view attempt_id, time_point now) const;

    /// Returns the hash of the software version that has begun the stream whose first event the
    /// attempt brought; nothing if that isn't known, or if two versions were named.
    [[nodiscard]] std::optional<std::uint32_t> find(std::string_view attempt_id,
                                                    time_point now) const;

    /// Returns what the next heartbeat tells of the streams begun here, the oldest first.
    /// @param has_several whether a service has or had several software versions; the streams of the
    /// others are kept, and told if that changes while they may be resumed
    std::vector<stream_report>
    take_reports(const std::function<bool(const std::string& service)>& has_several,
                 time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return m_streams.size(); }

private:
    struct origin {
        std::optional<std::uint32_t> software_version; ///< nothing: two were named
        time_point expires{};
    };

    /// A stream begun here of which other hosts have yet to be told.
    struct untold_stream {
        std::uint64_t stream = 0;
        int tellings_left = 0;
    };

    void record(std::uint64_t stream, std::uint32_t software_version, time_point expires,
                time_point now);
    void make_room(time_point now);

    stream_origins_options m_options;
    std::unordered_map<std::uint64_t, origin> m_streams;       ///< by hash of the attempt id
    std::deque<std::uint64_t> m_order;                         ///< of the first records
    std::map<std::string, std::deque<untold_stream>> m_untold; ///< by service
};

} // namespace hickorykeel::gateway
